//! Whether a request may be sent again, where to, and until when.
//!
//! Two things limit retries: what a second execution would do ([`AttemptPermit`], from the idempotency of the
//! class), and a retry budget, so that no tier multiplies the failures of the next. The budget is earned by
//! new requests and spent by attempts after one that may have run, hedged ones too; see "Addressing Cascading
//! Failures" in "Site Reliability Engineering" (2016) for the method. The balancer asks before every attempt
//! and every rejection.

use crate::event::Outcome;
use crate::id::Nanos;
use crate::in_flight::{Attempt, InFlightRequest};
use crate::settings::{DeduplicationScope, Idempotency};

#[cfg(test)]
mod tests;

/// Retries and hedged attempts that one new request earns.
const RETRIES_PER_REQUEST: f64 = 0.15;
/// Most that may be saved up.
const MAX_SAVED_RETRIES: f64 = 10.0;
/// A keyed retry is sent this part of the window before its end: it has to arrive inside the window too.
const WINDOW_MARGIN_DIVISOR: Nanos = 8;

/// What may still be done with a request.
pub(crate) struct AttemptPermit {
    /// An attempt may be sent before then.
    pub(crate) until: Nanos,
    /// It has to go to an endpoint of the same scope as the one in this slot.
    pub(crate) scope: Option<(DeduplicationScope, usize)>,
    /// A client may be told that trying again is harmless.
    pub(crate) may_shed: bool,
}

impl AttemptPermit {
    const UNLIMITED: AttemptPermit = AttemptPermit { until: Nanos::MAX, scope: None, may_shed: true };
    const NOTHING: AttemptPermit = AttemptPermit { until: 0, scope: None, may_shed: false };

    /// The one place that says what may still be done with a request.
    pub(crate) fn of(request: &InFlightRequest, idempotency: Idempotency) -> AttemptPermit {
        let Some(first) = request.attempts.iter().find(|attempt| attempt.may_have_run()) else {
            return AttemptPermit::UNLIMITED;
        };
        match idempotency {
            Idempotency::Idempotent => AttemptPermit::UNLIMITED,
            Idempotency::Keyed { scope, window } => AttemptPermit::within_window(first, scope, window),
            Idempotency::NonIdempotent => AttemptPermit::NOTHING,
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

/// Retries that may be sent after attempts that may have run.
pub(crate) struct RetryBudget {
    pub(crate) tokens: f64,
}

impl RetryBudget {
    pub(crate) fn new() -> RetryBudget {
        RetryBudget { tokens: 1.0 }
    }

    /// A new request was taken.
    pub(crate) fn deposit(&mut self) {
        self.tokens = (self.tokens + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Whether a retry after `outcome` may be sent. Danger: every tier retrying multiplies a failure; only an
    /// attempt that never ran is repeated for free.
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
