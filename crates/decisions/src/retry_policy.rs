//! Whether a request may be sent again, to which endpoints, and until when.
//!
//! Retries are limited by the idempotency of the class ([`AttemptPermit`]) and by a retry budget, which
//! keeps a tier from multiplying the failures of the next one. New requests add to the budget; attempts
//! after one that may have run, including hedged attempts, are charged to it. See "Addressing Cascading
//! Failures" in "Site Reliability Engineering" (2016) for the method. The balancer consults this module
//! before every attempt and every rejection.

use crate::event::Outcome;
use crate::id::Nanos;
use crate::in_flight::{Attempt, InFlightRequest};
use crate::settings::{DeduplicationScope, Idempotency};

#[cfg(test)]
mod tests;

/// The number of retries and hedged attempts that one new request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.15;
/// The maximum number of retries in the budget.
const MAX_SAVED_RETRIES: f64 = 10.0;
/// The divisor of the deduplication window that gives the margin before its end within which no retry is
/// sent, because a retry has to arrive inside the window.
const WINDOW_MARGIN_DIVISOR: Nanos = 8;

/// The permission for further attempts of a request and for shedding it.
pub(crate) struct AttemptPermit {
    /// The time before which an attempt may be sent.
    pub(crate) until: Nanos,
    /// If set, the attempt must go to an endpoint that shares this scope with the endpoint in this slot.
    pub(crate) scope: Option<(DeduplicationScope, usize)>,
    /// Whether the client may be told that a retry is harmless.
    pub(crate) may_shed: bool,
}

impl AttemptPermit {
    const UNLIMITED: AttemptPermit = AttemptPermit { until: Nanos::MAX, scope: None, may_shed: true };
    const DENIED: AttemptPermit = AttemptPermit { until: 0, scope: None, may_shed: false };

    /// Returns the permission for a request. This is the only place that decides on repeated execution.
    pub(crate) fn of(request: &InFlightRequest, idempotency: Idempotency) -> AttemptPermit {
        let Some(first) = request.attempts.iter().find(|attempt| attempt.may_have_run()) else {
            return AttemptPermit::UNLIMITED;
        };
        match idempotency {
            Idempotency::Idempotent => AttemptPermit::UNLIMITED,
            Idempotency::Keyed { scope, window } => AttemptPermit::within_window(first, scope, window),
            Idempotency::NonIdempotent => AttemptPermit::DENIED,
        }
    }

    fn within_window(first: &Attempt, scope: DeduplicationScope, window: Nanos) -> AttemptPermit {
        AttemptPermit {
            until: first.sent_at + window - window / WINDOW_MARGIN_DIVISOR,
            scope: Some((scope, first.slot)),
            may_shed: scope == DeduplicationScope::All,
        }
    }
}

/// The budget of retries and hedged attempts after attempts that may have run.
pub(crate) struct RetryBudget {
    pub(crate) tokens: f64,
}

impl RetryBudget {
    pub(crate) fn new() -> RetryBudget {
        RetryBudget { tokens: 1.0 }
    }

    /// Records a new request.
    pub(crate) fn deposit(&mut self) {
        self.tokens = (self.tokens + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Returns whether a retry after `outcome` may be sent. Retries in every tier would multiply a
    /// failure, so only a retry of an attempt that never ran needs no token.
    pub(crate) fn allows_retry_after(&self, outcome: Outcome) -> bool {
        outcome.was_never_executed() || self.has_token()
    }

    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    pub(crate) fn withdraw(&mut self) {
        debug_assert!(self.has_token(), "retry budget overdrawn: {}", self.tokens);
        self.tokens -= 1.0;
    }
}
