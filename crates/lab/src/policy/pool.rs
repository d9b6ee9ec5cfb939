//! The endpoints that a textbook policy knows: which of them are ready, and how many attempts of this proxy
//! each has in flight.
//!
//! An endpoint costs about 30 bytes. No function iterates over the whole list for a request, except
//! [`EndpointPool::candidates`] for a request that is not confined to a cell.

use olivecart_decisions::{
    CellId, DeduplicationScope, EndpointEntry, EndpointId, EndpointState, EndpointUpdate, Nanos, ZoneId,
};
use std::collections::BTreeSet;

/// The index of an endpoint that is not in the ready list.
const NOT_READY: u32 = u32::MAX;

/// The record of one endpoint.
#[derive(Clone, Copy)]
struct EndpointSlot {
    cell: CellId,
    in_flight: u32,
    /// Index into the ready list, or [`NOT_READY`].
    ready_index: u32,
    zone: ZoneId,
}

const UNKNOWN: EndpointSlot =
    EndpointSlot { cell: CellId(0), in_flight: 0, ready_index: NOT_READY, zone: ZoneId(0) };

/// A request for which an endpoint is to be picked.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest {
    /// The current time.
    pub now: Nanos,
    /// The hash of the request's key, or of its id if it has no key.
    pub hash: u64,
    /// The expected work, as time on a standard core.
    pub estimated_work: Nanos,
    /// The endpoint of the previous attempt, which must not be picked again.
    pub excluded: Option<EndpointId>,
    /// The only deduplication group to which the request may be sent: that of this endpoint.
    pub restricted_to: Option<(DeduplicationScope, EndpointId)>,
}

/// The endpoints of one proxy.
pub struct EndpointPool {
    slots: Vec<EndpointSlot>,
    ready: Vec<EndpointId>,
    /// The ready endpoints by cell; maintained only if retries of some class are confined to a cell.
    ready_by_cell: Option<BTreeSet<(CellId, EndpointId)>>,
}

impl EndpointPool {
    /// Creates an empty pool. `index_cells` is set if retries of some class are confined to a cell.
    pub fn new(index_cells: bool) -> EndpointPool {
        let ready_by_cell = index_cells.then(BTreeSet::new);
        EndpointPool { slots: Vec::new(), ready: Vec::new(), ready_by_cell }
    }

    /// The ready endpoints, in an arbitrary but deterministic order.
    pub fn ready(&self) -> &[EndpointId] {
        &self.ready
    }

    /// The number of attempts of this proxy in flight at an endpoint.
    pub fn in_flight(&self, id: EndpointId) -> u32 {
        self.slot(id).in_flight
    }

    /// Whether an endpoint is ready.
    pub fn is_ready(&self, id: EndpointId) -> bool {
        self.slot(id).ready_index != NOT_READY
    }

    /// Whether a ready endpoint may be picked for a request.
    pub fn allows(&self, request: &PickRequest, id: EndpointId) -> bool {
        let is_excluded = request.excluded == Some(id);
        let is_in_group = match request.restricted_to {
            None | Some((DeduplicationScope::All, _)) => true,
            Some((DeduplicationScope::Zone, member)) => self.slot(member).zone == self.slot(id).zone,
            Some((DeduplicationScope::Cell, member)) => self.slot(member).cell == self.slot(id).cell,
        };
        !is_excluded && is_in_group
    }

    /// Whether a request is confined to one cell. A cell has so few of the ready endpoints that random
    /// probing would rarely find one.
    pub fn is_confined_to_cell(&self, request: &PickRequest) -> bool {
        self.ready_by_cell.is_some() && matches!(request.restricted_to, Some((DeduplicationScope::Cell, _)))
    }

    /// All endpoints that may be picked for a request. Iterates over one cell if the request is confined to
    /// it, otherwise over the whole list: use it for short lists, and for retries where random probing found
    /// no endpoint.
    pub fn candidates(&self, request: &PickRequest) -> impl Iterator<Item = EndpointId> {
        let cell = match (&self.ready_by_cell, request.restricted_to) {
            (Some(by_cell), Some((DeduplicationScope::Cell, member))) => {
                Some((by_cell, self.slot(member).cell))
            }
            _ => None,
        };
        let in_cell = cell.map(|(by_cell, cell)| {
            let first = (cell, EndpointId(0));
            let last = (cell, EndpointId(u32::MAX));
            by_cell.range(first..=last).map(|(_, id)| *id)
        });
        let whole_list = if cell.is_none() { self.ready.as_slice() } else { &[] };
        let considered = in_cell.into_iter().flatten().chain(whole_list.iter().copied());
        let request = *request;
        considered.filter(move |id| self.allows(&request, *id))
    }

    fn slot(&self, id: EndpointId) -> &EndpointSlot {
        self.slots.get(id.0 as usize).unwrap_or(&UNKNOWN)
    }

    /// Counts a started attempt.
    pub(super) fn attempt_started(&mut self, id: EndpointId) {
        if let Some(slot) = self.slots.get_mut(id.0 as usize) {
            slot.in_flight += 1;
        }
    }

    /// Counts the end of an attempt. Returns whether any attempt was in flight.
    pub(super) fn attempt_ended(&mut self, id: EndpointId) -> bool {
        let Some(slot) = self.slots.get_mut(id.0 as usize).filter(|slot| slot.in_flight > 0) else {
            return false;
        };
        slot.in_flight -= 1;
        true
    }

    /// Applies an update of the list. Calls `on_change` for each endpoint that became ready or ceased to be
    /// ready, with its entry if the update contains one.
    pub(super) fn apply_update(
        &mut self,
        update: EndpointUpdate,
        mut on_change: impl FnMut(&EndpointPool, EndpointId, Option<&EndpointEntry>),
    ) {
        let entries = match update {
            EndpointUpdate::Failed => return,
            EndpointUpdate::Delta(entries) => entries,
            EndpointUpdate::Snapshot(entries) | EndpointUpdate::Cached(entries) => {
                for id in self.ready_but_missing_from(&entries) {
                    self.remove_ready(id);
                    on_change(self, id, None);
                }
                entries
            }
        };
        for entry in &entries {
            let was_ready = self.is_ready(entry.id);
            self.apply_entry(entry);
            if was_ready != self.is_ready(entry.id) {
                on_change(self, entry.id, Some(entry));
            }
        }
    }

    /// The ready endpoints that a complete list does not contain as ready.
    fn ready_but_missing_from(&self, entries: &[EndpointEntry]) -> Vec<EndpointId> {
        let mut is_listed = vec![false; self.slots.len()];
        for entry in entries.iter().filter(|entry| entry.state == EndpointState::Ready) {
            if let Some(listed) = is_listed.get_mut(entry.id.0 as usize) {
                *listed = true;
            }
        }
        self.ready.iter().filter(|id| !is_listed[id.0 as usize]).copied().collect()
    }

    fn apply_entry(&mut self, entry: &EndpointEntry) {
        let index = entry.id.0 as usize;
        if self.slots.len() <= index {
            self.slots.resize(index + 1, UNKNOWN);
        }
        let changes_cell = self.slots[index].cell != entry.cell;
        if self.is_ready(entry.id) && (changes_cell || entry.state != EndpointState::Ready) {
            self.remove_ready(entry.id);
        }
        self.slots[index].cell = entry.cell;
        self.slots[index].zone = entry.zone;
        if entry.state == EndpointState::Ready && !self.is_ready(entry.id) {
            self.add_ready(entry.id, entry.cell);
        }
    }

    fn add_ready(&mut self, id: EndpointId, cell: CellId) {
        self.slots[id.0 as usize].ready_index = self.ready.len() as u32;
        self.ready.push(id);
        if let Some(by_cell) = &mut self.ready_by_cell {
            by_cell.insert((cell, id));
        }
    }

    fn remove_ready(&mut self, id: EndpointId) {
        let EndpointSlot { ready_index, cell, .. } = *self.slot(id);
        if ready_index == NOT_READY {
            return;
        }
        self.ready.swap_remove(ready_index as usize);
        if let Some(moved) = self.ready.get(ready_index as usize) {
            self.slots[moved.0 as usize].ready_index = ready_index;
        }
        self.slots[id.0 as usize].ready_index = NOT_READY;
        if let Some(by_cell) = &mut self.ready_by_cell {
            by_cell.remove(&(cell, id));
        }
    }
}
