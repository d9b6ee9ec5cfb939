//! The queue of requests for which no endpoint could be selected.
//!
//! A request waits there until an endpoint has capacity again or its deadline in the queue passes. The
//! balancer drains it after every event that may have helped, and arms the timers. The requests themselves
//! are in `in_flight`.

use crate::id::{Nanos, RequestId};
use std::collections::BTreeSet;
use std::ops::Bound;

#[cfg(test)]
mod tests;

/// Part of its time for which a request waits while no endpoint is available at all.
const UNAVAILABLE_WAIT_SHARE: f64 = 0.4;
/// Part of its latency objective for which it waits for capacity: what waits longer is late in any case.
const CAPACITY_WAIT_SHARE: f64 = 0.25;
/// Queued requests for which no endpoint is found before the rest is left for later.
pub(crate) const MAX_FAILED_DRAIN_ATTEMPTS: u32 = 3;

/// Until when a request may wait in the queue.
pub(crate) struct QueueDeadlines {
    /// While no endpoint is available.
    unavailable: Nanos,
    /// While those available have no capacity.
    at_capacity: Nanos,
}

impl QueueDeadlines {
    /// `time_left` and `latency_objective` are in nanoseconds.
    pub(crate) fn new(now: Nanos, time_left: Nanos, latency_objective: Nanos) -> QueueDeadlines {
        let unavailable = now + (time_left as f64 * UNAVAILABLE_WAIT_SHARE) as Nanos;
        let at_capacity = now + (latency_objective as f64 * CAPACITY_WAIT_SHARE) as Nanos;
        QueueDeadlines { unavailable, at_capacity: unavailable.min(at_capacity) }
    }

    /// The one that holds now.
    pub(crate) fn current(&self, any_endpoint_available: bool) -> Nanos {
        debug_assert!(self.at_capacity <= self.unavailable);
        if any_endpoint_available { self.at_capacity } else { self.unavailable }
    }
}

/// Requests that wait for an endpoint, oldest first: numbers are given in the order of arrival.
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

    /// The oldest one, or the oldest after another.
    pub(crate) fn next_after(&self, previous: Option<RequestId>) -> Option<RequestId> {
        let from = previous.map_or(Bound::Unbounded, Bound::Excluded);
        self.waiting.range((from, Bound::Unbounded)).next().copied()
    }
}
