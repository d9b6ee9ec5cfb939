//! The endpoints, and this replica's order of preference among those that take requests.
//!
//! Owns every [`Endpoint`], in the slot that its number says, and the order. The balancer applies updates of
//! the list; everything else looks endpoints up. It asks for no list itself: [`ListPolling`] only says when
//! to.

use crate::endpoint::Endpoint;
use crate::event::{EndpointEntry, EndpointState};
use crate::id::{Nanos, ZoneId};
use std::ops::{Index, IndexMut};
use xxhash_rust::xxh3::xxh3_64;

/// The fractional part of the golden ratio: its multiples, modulo one, are spread evenly.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_894_9;
/// The delay before the list is asked for again starts at this part of the poll interval, before doubling.
const RETRY_DELAY_DIVISOR: Nanos = 16;
/// And doubles this many times at most.
const MAX_RETRY_DOUBLINGS: u32 = 3;

/// All endpoints that this replica has heard of.
#[derive(Default)]
pub(crate) struct EndpointList {
    /// By number; a slot is never given to another endpoint.
    endpoints: Vec<Endpoint>,
    /// Slots of the endpoints that take requests, preferred first.
    preference: Vec<usize>,
}

impl EndpointList {
    pub(crate) fn get(&self, slot: usize) -> Option<&Endpoint> {
        self.endpoints.get(slot)
    }

    pub(crate) fn get_mut(&mut self, slot: usize) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(slot)
    }

    /// The listed endpoint in a position of the order of preference.
    pub(crate) fn listed_mut(&mut self, position: usize) -> &mut Endpoint {
        &mut self.endpoints[self.preference[position]]
    }

    /// The slots of the listed endpoints, preferred first.
    pub(crate) fn slots(&self) -> &[usize] {
        &self.preference
    }

    /// How many endpoints are listed as taking requests.
    pub(crate) fn len(&self) -> usize {
        self.preference.len()
    }

    /// Those endpoints, preferred first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.preference.iter().map(|&slot| &self.endpoints[slot])
    }

    /// Every endpoint that this replica has heard of.
    pub(crate) fn all_mut(&mut self) -> impl Iterator<Item = &mut Endpoint> {
        self.endpoints.iter_mut()
    }

    /// Mean over the listed endpoints of how often they failed lately, 0 to 1.
    pub(crate) fn mean_failure_ewma(&self) -> f64 {
        let total: f64 = self.iter().map(|endpoint| endpoint.outlier.failure_ewma).sum();
        total / self.len().max(1) as f64
    }

    /// Before a complete list: what it does not name is removed.
    pub(crate) fn mark_all_removed(&mut self) {
        for endpoint in &mut self.endpoints {
            endpoint.entry.state = EndpointState::Removed;
        }
    }

    /// Takes in one entry, and says whether its endpoint takes requests from now on and did not before.
    ///
    /// A process that started anew owes nothing to its predecessor but the attempts still in flight.
    pub(crate) fn upsert(&mut self, entry: EndpointEntry, now: Nanos, slow_start_tokens: f64) -> bool {
        let slot = entry.id.0 as usize;
        self.endpoints.resize_with(self.endpoints.len().max(slot + 1), Endpoint::default);
        let endpoint = &mut self.endpoints[slot];
        let restarted = entry.started.is_some() && entry.started != endpoint.entry.started;
        let is_new = !endpoint.is_known() || restarted;
        if is_new {
            *endpoint = Endpoint::new(now, endpoint.in_flight, slow_start_tokens);
        }
        let was_ready = !is_new && endpoint.is_ready();
        endpoint.entry = entry;
        endpoint.is_ready() && !was_ready
    }

    /// Orders the endpoints that take requests, after the last entry of an update.
    ///
    /// They stand on a ring by the hash of their names, this zone's before the others', and each replica
    /// starts where its index points. Starts are evenly spread, so that each endpoint is the favourite of
    /// about as many replicas and their own counts tell of most of its load.
    pub(crate) fn reorder(&mut self, zone: ZoneId, replica_index: u32) {
        let mut ring: Vec<_> = self.endpoints.iter().filter(|endpoint| endpoint.is_ready()).collect();
        ring.sort_by_cached_key(|endpoint| {
            let entry = &endpoint.entry;
            (entry.zone != zone, xxh3_64(entry.name.as_bytes()), entry.id)
        });
        let local = ring.iter().take_while(|endpoint| endpoint.entry.zone == zone).count();
        let start = (f64::from(replica_index) * GOLDEN_RATIO_FRACTION).fract();
        let (local, remote) = ring.split_at_mut(local);
        for part in [local, remote] {
            part.rotate_left((start * part.len() as f64) as usize);
        }
        self.preference = ring.iter().map(|endpoint| endpoint.entry.id.0 as usize).collect();
        debug_assert!(self.preference.iter().all(|&slot| self.endpoints[slot].is_ready()));
    }
}

impl Index<usize> for EndpointList {
    type Output = Endpoint;

    fn index(&self, slot: usize) -> &Endpoint {
        &self.endpoints[slot]
    }
}

impl IndexMut<usize> for EndpointList {
    fn index_mut(&mut self, slot: usize) -> &mut Endpoint {
        &mut self.endpoints[slot]
    }
}

/// When the list has to be asked for, where it does not come unasked.
#[derive(Default)]
pub(crate) struct ListPolling {
    /// Failures in a row, as far as they count.
    failures: u32,
}

impl ListPolling {
    /// The delay before a replica that starts with a cached list asks for a fresh one.
    pub(crate) fn initial_delay(poll_interval: Nanos, rng: &mut fastrand::Rng) -> Nanos {
        rng.u64(0..=poll_interval / 2)
    }

    pub(crate) fn record_success(&mut self) {
        self.failures = 0;
    }

    /// The delay after a failure. Discovery is one small service for all: the replicas ask again spread out,
    /// and further apart each time.
    pub(crate) fn record_failure(&mut self, poll_interval: Nanos, rng: &mut fastrand::Rng) -> Nanos {
        self.failures = (self.failures + 1).min(MAX_RETRY_DOUBLINGS);
        let base = (poll_interval / RETRY_DELAY_DIVISOR) << self.failures;
        base + rng.u64(0..=base)
    }
}
