//! What a textbook policy knows of the endpoints: which of them take requests, and how many attempts of its
//! own each has out. Some 30 bytes for each, and nothing here walks the list for a request, but
//! [`Pool::candidates`] on a list restricted to a zone.

use olivecart_decisions::{
    CellId, DeduplicationScope, EndpointEntry, EndpointId, EndpointState, EndpointUpdate, Nanos, ZoneId,
};
use std::collections::BTreeSet;

/// Place of an endpoint that is not among the ready ones.
const NOWHERE: u32 = u32::MAX;

/// What is remembered of an endpoint.
#[derive(Clone, Copy)]
struct Slot {
    cell: CellId,
    in_flight: u32,
    /// Index into the ready ones, or [`NOWHERE`].
    place: u32,
    zone: ZoneId,
}

const UNHEARD: Slot = Slot { cell: CellId(0), in_flight: 0, place: NOWHERE, zone: ZoneId(0) };

/// What one choice is about.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    /// The time.
    pub now: Nanos,
    /// Hash of the request's subject, or of the request itself where it names none.
    pub key: u64,
    /// Expected work, as time on a standard core.
    pub work: Nanos,
    /// Where it was tried before.
    pub not: Option<EndpointId>,
    /// The only group it may still be sent to: that of this endpoint.
    pub within: Option<(DeduplicationScope, EndpointId)>,
}

/// The endpoints of one proxy.
pub struct Pool {
    slots: Vec<Slot>,
    ready: Vec<EndpointId>,
    /// The ready ones by cell; only kept where a class of requests has to stay in its cell.
    cells: Option<BTreeSet<(CellId, EndpointId)>>,
}

impl Pool {
    /// An empty one. `by_cell`: some class of requests has to stay in its cell.
    pub fn new(by_cell: bool) -> Pool {
        Pool { slots: Vec::new(), ready: Vec::new(), cells: by_cell.then(BTreeSet::new) }
    }

    /// Those that take requests, in no order that means anything; the same events give the same order.
    pub fn ready(&self) -> &[EndpointId] {
        &self.ready
    }

    /// Attempts of this proxy that are out at an endpoint.
    pub fn in_flight(&self, id: EndpointId) -> u32 {
        self.slot(id).in_flight
    }

    /// Whether an endpoint takes requests.
    pub fn is_ready(&self, id: EndpointId) -> bool {
        self.slot(id).place != NOWHERE
    }

    /// Whether a ready endpoint may be chosen for `ask`.
    pub fn allows(&self, ask: &Ask, id: EndpointId) -> bool {
        let joins = |(group, like)| match group {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => self.slot(like).zone == self.slot(id).zone,
            DeduplicationScope::Cell => self.slot(like).cell == self.slot(id).cell,
        };
        ask.not != Some(id) && ask.within.is_none_or(joins)
    }

    /// Whether only a handful of the ready endpoints can be chosen, so that trying some at random is no use.
    pub fn confines(&self, ask: &Ask) -> bool {
        self.cells.is_some() && matches!(ask.within, Some((DeduplicationScope::Cell, _)))
    }

    /// All that may be chosen for `ask`. Walks a cell where that is what the request is confined to, else the
    /// whole list: for short lists, and for the rare repeat for which trying some at random found none.
    pub fn candidates(&self, ask: &Ask) -> impl Iterator<Item = EndpointId> {
        let cell = match (&self.cells, ask.within) {
            (Some(cells), Some((DeduplicationScope::Cell, like))) => Some((cells, self.slot(like).cell)),
            _ => None,
        };
        let in_cell = cell.map(|(cells, cell)| {
            let (first, last) = ((cell, EndpointId(0)), (cell, EndpointId(u32::MAX)));
            cells.range(first..=last).map(|(_, id)| *id)
        });
        let whole = if cell.is_none() { self.ready.as_slice() } else { &[] };
        let all = in_cell.into_iter().flatten().chain(whole.iter().copied());
        let ask = *ask;
        all.filter(move |id| self.allows(&ask, *id))
    }

    fn slot(&self, id: EndpointId) -> &Slot {
        self.slots.get(id.0 as usize).unwrap_or(&UNHEARD)
    }

    /// Counts an attempt that goes out.
    pub(super) fn sent(&mut self, id: EndpointId) {
        if let Some(slot) = self.slots.get_mut(id.0 as usize) {
            slot.in_flight += 1;
        }
    }

    /// Counts an attempt that came to its end; says whether there was one.
    pub(super) fn ended(&mut self, id: EndpointId) -> bool {
        let Some(slot) = self.slots.get_mut(id.0 as usize).filter(|slot| slot.in_flight > 0) else {
            return false;
        };
        slot.in_flight -= 1;
        true
    }

    /// Takes news of the list. `moved` is told of each endpoint that began (true) or ceased to take requests,
    /// with its entry where there is one.
    pub(super) fn follow(
        &mut self,
        change: EndpointUpdate,
        mut moved: impl FnMut(&Pool, EndpointId, Option<&EndpointEntry>),
    ) {
        let (entries, whole) = match change {
            EndpointUpdate::Failed => return,
            EndpointUpdate::Delta(entries) => (entries, false),
            EndpointUpdate::Snapshot(entries) | EndpointUpdate::Cached(entries) => (entries, true),
        };
        if whole {
            let mut named = vec![false; self.slots.len()];
            for entry in entries.iter().filter(|e| e.state == EndpointState::Ready) {
                if let Some(mark) = named.get_mut(entry.id.0 as usize) {
                    *mark = true;
                }
            }
            let missing: Vec<_> = self.ready.iter().filter(|id| !named[id.0 as usize]).copied().collect();
            for id in missing {
                self.leave(id);
                moved(self, id, None);
            }
        }
        for entry in &entries {
            let (id, was) = (entry.id, self.is_ready(entry.id));
            self.list(entry);
            if was != self.is_ready(id) {
                moved(self, id, Some(entry));
            }
        }
    }

    fn list(&mut self, entry: &EndpointEntry) {
        let at = entry.id.0 as usize;
        if self.slots.len() <= at {
            self.slots.resize(at + 1, UNHEARD);
        }
        let ready = self.is_ready(entry.id);
        let moves = ready && self.slots[at].cell != entry.cell;
        if moves || ready && entry.state != EndpointState::Ready {
            self.leave(entry.id);
        }
        self.slots[at].cell = entry.cell;
        self.slots[at].zone = entry.zone;
        if entry.state == EndpointState::Ready && !self.is_ready(entry.id) {
            self.slots[at].place = self.ready.len() as u32;
            self.ready.push(entry.id);
            if let Some(cells) = &mut self.cells {
                cells.insert((entry.cell, entry.id));
            }
        }
    }

    fn leave(&mut self, id: EndpointId) {
        let Slot { place, cell, .. } = *self.slot(id);
        if place == NOWHERE {
            return;
        }
        self.ready.swap_remove(place as usize);
        if let Some(moved) = self.ready.get(place as usize) {
            self.slots[moved.0 as usize].place = place;
        }
        self.slots[id.0 as usize].place = NOWHERE;
        if let Some(cells) = &mut self.cells {
            cells.remove(&(cell, id));
        }
    }
}
