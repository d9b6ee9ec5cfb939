//! The queue of requests for which no endpoint could be selected.
//!
//! A request waits until an endpoint has capacity again or its queue deadline passes. The balancer drains
//! the queue after every event that may have made an endpoint eligible, and sets the timers. The requests
//! themselves are in `in_flight`.

use crate::id::{Nanos, RequestId};
use std::collections::BTreeSet;
use std::ops::Bound;

#[cfg(test)]
mod tests;

/// The share of its time left for which a request waits while no endpoint is available.
const UNAVAILABLE_WAIT_SHARE: f64 = 0.4;
/// The share of its latency objective for which a request waits for capacity. After a longer wait it would
/// miss the objective in any case.
const CAPACITY_WAIT_SHARE: f64 = 0.25;
/// The number of queued requests without an eligible endpoint after which draining stops.
pub(crate) const MAX_FAILED_DRAIN_ATTEMPTS: u32 = 3;

/// The times until which a request may wait in the queue.
pub(crate) struct QueueDeadlines {
    /// While no endpoint is available.
    unavailable: Nanos,
    /// While the available endpoints have no capacity.
    at_capacity: Nanos,
}

impl QueueDeadlines {
    /// `time_left` and `latency_objective` are in nanoseconds.
    pub(crate) fn new(now: Nanos, time_left: Nanos, latency_objective: Nanos) -> QueueDeadlines {
        let unavailable = now + (time_left as f64 * UNAVAILABLE_WAIT_SHARE) as Nanos;
        let at_capacity = now + (latency_objective as f64 * CAPACITY_WAIT_SHARE) as Nanos;
        QueueDeadlines { unavailable, at_capacity: unavailable.min(at_capacity) }
    }

    /// Returns the deadline that applies now.
    pub(crate) fn current(&self, any_endpoint_available: bool) -> Nanos {
        debug_assert!(self.at_capacity <= self.unavailable);
        if any_endpoint_available { self.at_capacity } else { self.unavailable }
    }
}

/// The requests that wait for an endpoint, oldest first, since IDs are assigned in the order of arrival.
#[derive(Default)]
pub(crate) struct RequestQueue {
    waiting: BTreeSet<RequestId>,
}

impl RequestQueue {
    pub(crate) fn insert(&mut self, id: RequestId) {
        self.waiting.insert(id);
    }

    pub(crate) fn remove(&mut self, id: RequestId) {
        self.waiting.remove(&id);
    }

    /// Returns the oldest request, or the oldest one after `previous`.
    pub(crate) fn next_after(&self, previous: Option<RequestId>) -> Option<RequestId> {
        let from = previous.map_or(Bound::Unbounded, Bound::Excluded);
        self.waiting.range((from, Bound::Unbounded)).next().copied()
    }
}
