//! Slow start: an endpoint that started a short while ago gets a growing share of its load, from a token
//! budget.
//!
//! The sum over all replicas must stay below what makes a cold endpoint fall over, and the replicas tell each
//! other nothing. So each gives it what a warm endpoint answers this replica, times its slow start fraction,
//! times part of the multiple that [`Rules::overload_multiple`] allows. A token is an attempt of mean work.
//! Read by `endpoint_selection`, which refills the budget as it looks at an endpoint; the balancer takes the
//! tokens out.

use crate::capacity::RESPONSE_RATE_TIME_CONSTANT;
use crate::id::Nanos;
use crate::settings::Rules;

#[cfg(test)]
mod tests;

/// Part of the overload multiple that the budget uses; the rest is margin for health checks, handshakes and
/// chance.
const OVERLOAD_MULTIPLE_SHARE: f64 = 0.6;
/// What the budget yields in this part of the overload window may be saved up beside warm endpoints.
const SAVED_WINDOW_SHARE: f64 = 0.5;
/// The same, as a multiple, where none is warm: there, a rare request would wait in vain for half a token.
const SAVED_WINDOW_MULTIPLE: f64 = 1.5;

/// What an endpoint is sure to be capable of by its age, as a share of what it can do when warm: from
/// [`Rules::slow_start_initial_share`] up, 1 or more after [`Rules::slow_start_window`].
pub(crate) fn slow_start_fraction(started: Option<Nanos>, now: Nanos, rules: &Rules) -> f64 {
    let initial = rules.slow_start_initial_share;
    let window = rules.slow_start_window.max(1) as f64;
    let elapsed = started.map_or(1.0, |started| now.saturating_sub(started) as f64 / window);
    initial + (1.0 - initial) * elapsed
}

/// The listed endpoints that are available and past their slow start.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WarmEndpoints {
    count: f64,
    total_size: f64,
    /// Sum of their decayed responses.
    responses: f64,
}

impl WarmEndpoints {
    pub(crate) fn add(&mut self, size: f64, responses: f64) {
        self.count += 1.0;
        self.total_size += size;
        self.responses += responses;
    }

    fn is_empty(&self) -> bool {
        self.count <= 0.0
    }

    /// Responses a nanosecond that an endpoint of some size would give if warm. Danger: one smaller than the
    /// mean can do less than an ordinary load.
    fn response_rate(&self, size: f64) -> f64 {
        let part = (size / self.total_size).min(1.0 / self.count);
        self.responses / RESPONSE_RATE_TIME_CONSTANT * part
    }
}

/// How fast the budget of one endpoint fills.
pub(crate) struct BudgetRefill {
    /// Tokens a nanosecond.
    rate: f64,
    /// The same over one [`Rules::overload_window`].
    per_window: f64,
    beside_warm: bool,
}

impl BudgetRefill {
    /// For an endpoint of some size and slow start fraction. Where none is warm it gets a share of
    /// `mean_sent_rate`, attempts of mean work that this replica sent to one endpoint, a nanosecond. A
    /// replica that knows no rate yet sends next to nothing.
    pub(crate) fn new(
        warm: &WarmEndpoints,
        size: f64,
        fraction: f64,
        mean_sent_rate: f64,
        rules: &Rules,
    ) -> BudgetRefill {
        let ordinary_rate = if warm.is_empty() { mean_sent_rate } else { warm.response_rate(size) };
        let rate = ordinary_rate * fraction * rules.overload_multiple * OVERLOAD_MULTIPLE_SHARE;
        BudgetRefill { rate, per_window: rate * rules.overload_window as f64, beside_warm: !warm.is_empty() }
    }
}

/// Token budget of one endpoint in slow start.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlowStartBudget {
    /// Attempts of mean work that may be sent; below 0, those that are owed.
    pub(crate) tokens: f64,
    /// When it was last refilled.
    pub(crate) refilled_at: Nanos,
}

impl SlowStartBudget {
    pub(crate) fn new(now: Nanos, tokens: f64) -> SlowStartBudget {
        SlowStartBudget { tokens, refilled_at: now }
    }

    /// Refills it and says whether a request of `work` attempts of mean work may be sent: the last token may
    /// be overdrawn by one such attempt.
    pub(crate) fn allows(&mut self, now: Nanos, work: f64, refill: &BudgetRefill) -> bool {
        let excess_work = (work - 1.0).max(0.0);
        let most = if refill.beside_warm {
            refill.per_window * SAVED_WINDOW_SHARE
        } else {
            SAVED_WINDOW_MULTIPLE * refill.per_window.max(1.0 + excess_work) - 1.0
        };
        self.tokens += refill.rate * now.saturating_sub(self.refilled_at) as f64;
        self.refilled_at = now;
        let surplus = self.tokens - most;
        // Danger: thirty replicas with an attempt saved up each send them at once. Beside warm endpoints,
        // what is left unused goes by whole attempts, never rounded up; where none is warm, a rare request
        // would wait in vain.
        let discarded = if refill.beside_warm { surplus.ceil() } else { surplus };
        self.tokens -= discarded.max(0.0);
        self.tokens >= excess_work
    }

    /// An attempt of `work` attempts of mean work was sent.
    pub(crate) fn withdraw(&mut self, work: f64) {
        self.tokens -= work;
    }

    /// So much may be sent again.
    pub(crate) fn deposit(&mut self, work: f64) {
        self.tokens += work;
    }
}
