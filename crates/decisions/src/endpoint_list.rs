//! The endpoints, and this replica's order of preference among the ready ones.
//!
//! Owns every [`Endpoint`], in the slot given by its ID, and the order of preference. The balancer applies
//! list updates; other modules only look endpoints up. The module does not request lists; [`ListPolling`]
//! only computes when to do so.

use crate::endpoint::Endpoint;
use crate::event::{EndpointEntry, EndpointState};
use crate::id::{Nanos, ZoneId};
use std::ops::{Index, IndexMut};
use xxhash_rust::xxh3::xxh3_64;

/// The fractional part of the golden ratio. Its multiples, modulo 1, are evenly spread.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_894_9;
/// The divisor of the poll interval that gives the base delay of list requests after a failure.
const RETRY_DELAY_DIVISOR: Nanos = 16;
/// The maximum number of times that the delay doubles.
const MAX_RETRY_DOUBLINGS: u32 = 3;

/// All endpoints that have appeared in a list of this replica.
#[derive(Default)]
pub(crate) struct EndpointList {
    /// Endpoints by ID. A slot is never reused for another endpoint.
    endpoints: Vec<Endpoint>,
    /// The slots of the ready endpoints, preferred first.
    preference: Vec<usize>,
}

impl EndpointList {
    pub(crate) fn get(&self, slot: usize) -> Option<&Endpoint> {
        self.endpoints.get(slot)
    }

    pub(crate) fn get_mut(&mut self, slot: usize) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(slot)
    }

    /// Returns the ready endpoint at a position in the order of preference.
    pub(crate) fn listed_mut(&mut self, position: usize) -> &mut Endpoint {
        &mut self.endpoints[self.preference[position]]
    }

    /// Returns the slots of the ready endpoints, preferred first.
    pub(crate) fn slots(&self) -> &[usize] {
        &self.preference
    }

    /// Returns the number of ready endpoints.
    pub(crate) fn len(&self) -> usize {
        self.preference.len()
    }

    /// Returns the ready endpoints, preferred first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.preference.iter().map(|&slot| &self.endpoints[slot])
    }

    /// Returns all endpoints, in the order of their IDs.
    pub(crate) fn all_mut(&mut self) -> impl Iterator<Item = &mut Endpoint> {
        self.endpoints.iter_mut()
    }

    /// Returns the mean failure average of the ready endpoints, from 0 to 1.
    pub(crate) fn mean_failure_ewma(&self) -> f64 {
        let total: f64 = self.iter().map(|endpoint| endpoint.outlier.failure_ewma).sum();
        total / self.len().max(1) as f64
    }

    /// Marks all endpoints as removed, before a complete list is applied.
    pub(crate) fn mark_all_removed(&mut self) {
        for endpoint in &mut self.endpoints {
            endpoint.entry.state = EndpointState::Removed;
        }
    }

    /// Applies one entry of a list. Returns whether its endpoint becomes ready.
    ///
    /// If the process has restarted, its state is reset except for the attempts in flight.
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

    /// Recomputes the order of preference, after the last entry of an update.
    ///
    /// Ready endpoints are ordered on a ring by the hash of their names, those of the local zone before
    /// the others, and each replica starts at a position given by its index. The start positions are
    /// evenly spread, so that each endpoint is preferred by about the same number of replicas and their
    /// own counts reflect most of its load.
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

/// Computes the delays before requests for the endpoint list.
#[derive(Default)]
pub(crate) struct ListPolling {
    /// Consecutive failures, up to [`MAX_RETRY_DOUBLINGS`].
    failures: u32,
}

impl ListPolling {
    /// Returns the delay before a replica with a cached list requests a fresh one.
    pub(crate) fn initial_delay(poll_interval: Nanos, rng: &mut fastrand::Rng) -> Nanos {
        rng.u64(0..=poll_interval / 2)
    }

    pub(crate) fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Records a failed request and returns the delay before the next one. All replicas share one small
    /// discovery service, so their requests are spread at random and back off exponentially.
    pub(crate) fn record_failure(&mut self, poll_interval: Nanos, rng: &mut fastrand::Rng) -> Nanos {
        self.failures = (self.failures + 1).min(MAX_RETRY_DOUBLINGS);
        let base = (poll_interval / RETRY_DELAY_DIVISOR) << self.failures;
        base + rng.u64(0..=base)
    }
}
