//! The requests that have not yet completed, and their attempts.
//!
//! The balancer updates this state with each event; `retry_policy` and `endpoint_selection` read it.

use crate::event::Outcome;
use crate::id::{Nanos, RequestId};
use crate::request_queue::QueueDeadlines;
use std::collections::BTreeMap;

/// One attempt of a request.
pub(crate) struct Attempt {
    /// The slot of the endpoint.
    pub(crate) slot: usize,
    pub(crate) sent_at: Nanos,
    /// How the attempt ended; `None` while it is in flight.
    pub(crate) outcome: Option<Outcome>,
}

impl Attempt {
    pub(crate) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    fn was_never_sent(&self) -> bool {
        self.outcome == Some(Outcome::NotSent)
    }

    /// Returns whether the attempt may have run. Returns `true` if in doubt.
    pub(crate) fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::was_never_executed)
    }
}

/// A request that has not yet completed.
pub(crate) struct InFlightRequest {
    /// The index of its class.
    pub(crate) class: usize,
    /// The work of the request relative to the mean of its class.
    pub(crate) work_scale: f64,
    /// The expected duration, in nanoseconds.
    pub(crate) work: f64,
    /// The time at which the client gives up.
    pub(crate) deadline: Nanos,
    /// The times until which the request may wait for an endpoint.
    pub(crate) queue_deadlines: QueueDeadlines,
    /// The attempts, in the order in which they were sent.
    pub(crate) attempts: Vec<Attempt>,
    /// Whether the response to an attempt has started, after which no further attempt is sent.
    pub(crate) response_started: bool,
}

impl InFlightRequest {
    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    pub(crate) fn was_sent_to(&self, slot: usize) -> bool {
        self.attempts.iter().any(|attempt| attempt.slot == slot)
    }

    /// Returns whether another attempt may be made. Attempts that were never sent, such as those to an endpoint that
    /// began to drain before the first byte, do not count, up to as many as may be sent: without local resources no
    /// attempt is sent at any endpoint.
    pub(crate) fn has_attempts_left(&self, max_attempts: usize) -> bool {
        let unsent = self.attempts.iter().filter(|attempt| attempt.was_never_sent()).count();
        self.attempts.len() - unsent.min(max_attempts) < max_attempts
    }

    /// Returns whether the request waits for an endpoint or for the response to its last attempt.
    pub(crate) fn is_waiting(&self) -> bool {
        !self.response_started && self.attempts.last().is_none_or(Attempt::is_in_flight)
    }
}

/// The requests in flight by ID.
pub(crate) type InFlightRequests = BTreeMap<RequestId, InFlightRequest>;
