//! The requests that were taken and not yet completed, and their attempts.
//!
//! Plain state: the balancer writes it as events come in; `retry_policy` and `endpoint_selection` read it.

use crate::event::Outcome;
use crate::id::{Nanos, RequestId};
use crate::request_queue::QueueDeadlines;
use std::collections::BTreeMap;

/// One attempt.
pub(crate) struct Attempt {
    /// Where it went.
    pub(crate) slot: usize,
    pub(crate) sent_at: Nanos,
    /// How it ended; none while it is in flight.
    pub(crate) outcome: Option<Outcome>,
}

impl Attempt {
    pub(crate) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    /// Unsure means that it may have run.
    pub(crate) fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::was_never_executed)
    }
}

/// A request that was taken and not yet completed.
pub(crate) struct InFlightRequest {
    /// Index of its class.
    pub(crate) class: usize,
    /// Size relative to its class.
    pub(crate) work_scale: f64,
    /// What it should take, in nanoseconds.
    pub(crate) work: f64,
    /// The client gives up then.
    pub(crate) deadline: Nanos,
    /// Until when it may wait for an endpoint.
    pub(crate) queue_deadlines: QueueDeadlines,
    /// In the order in which they were sent.
    pub(crate) attempts: Vec<Attempt>,
    /// The response of one attempt has begun; no further attempt follows.
    pub(crate) response_started: bool,
}

impl InFlightRequest {
    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    pub(crate) fn was_sent_to(&self, slot: usize) -> bool {
        self.attempts.iter().any(|attempt| attempt.slot == slot)
    }

    /// It waits for an endpoint, or for the end of its last attempt.
    pub(crate) fn is_waiting(&self) -> bool {
        !self.response_started && self.attempts.last().is_none_or(Attempt::is_in_flight)
    }
}

/// All of them by their number.
pub(crate) type InFlightRequests = BTreeMap<RequestId, InFlightRequest>;
