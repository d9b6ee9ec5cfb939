//! Slow start: a recently started endpoint receives a growing share of its load, limited by a token
//! budget.
//!
//! The sum over all replicas must stay below the load at which a cold endpoint fails, and replicas do not
//! communicate. Each replica therefore sends it at most the rate at which a warm endpoint answers this
//! replica, times the slow start fraction, times a part of [`Rules::overload_multiple`]. A token is an
//! attempt of mean work. `endpoint_selection` refills the budget when it considers an endpoint; the
//! balancer withdraws tokens for attempts.

use crate::capacity::RESPONSE_RATE_TIME_CONSTANT;
use crate::id::Nanos;
use crate::settings::Rules;

#[cfg(test)]
mod tests;

/// The share of the overload multiple that the budget uses. The rest is a margin for health checks,
/// handshakes and random variation.
const OVERLOAD_MULTIPLE_SHARE: f64 = 0.6;
/// The maximum savings while there are warm endpoints: the refill in this share of the overload window.
const SAVED_WINDOW_SHARE: f64 = 0.5;
/// The maximum savings without warm endpoints, as a multiple of the refill in one overload window or
/// of the request's work. With less, a rare request would wait in vain for half a token.
const SAVED_WINDOW_MULTIPLE: f64 = 1.5;

/// Returns the least capacity that an endpoint has at its age, as a share of its warm capacity. It grows
/// from [`Rules::slow_start_initial_share`] and is 1 or more after [`Rules::slow_start_window`].
pub(crate) fn slow_start_fraction(started: Option<Nanos>, now: Nanos, rules: &Rules) -> f64 {
    let initial = rules.slow_start_initial_share;
    let window = rules.slow_start_window.max(1) as f64;
    let elapsed = started.map_or(1.0, |started| now.saturating_sub(started) as f64 / window);
    initial + (1.0 - initial) * elapsed
}

/// Totals over the ready endpoints that are available and past their slow start.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WarmEndpoints {
    count: f64,
    total_capacity: f64,
    /// The sum of their decayed responses.
    responses: f64,
}

impl WarmEndpoints {
    pub(crate) fn add(&mut self, relative_capacity: f64, responses: f64) {
        self.count += 1.0;
        self.total_capacity += relative_capacity;
        self.responses += responses;
    }

    fn is_empty(&self) -> bool {
        self.count <= 0.0
    }

    /// Returns the responses per nanosecond of a warm endpoint with this capacity, at most the mean rate.
    /// An endpoint smaller than the mean cannot handle the mean load.
    fn response_rate(&self, relative_capacity: f64) -> f64 {
        let share = (relative_capacity / self.total_capacity).min(1.0 / self.count);
        self.responses / RESPONSE_RATE_TIME_CONSTANT * share
    }
}

/// The refill rate of the budget of one endpoint.
pub(crate) struct BudgetRefill {
    /// Tokens per nanosecond.
    rate: f64,
    /// Tokens per [`Rules::overload_window`].
    per_window: f64,
    has_warm_endpoints: bool,
}

impl BudgetRefill {
    /// Computes the refill for an endpoint with this capacity and slow start fraction. Without warm
    /// endpoints, it is based on `mean_sent_rate`, the attempts of mean work per nanosecond that this
    /// replica sent to one endpoint on average. A replica that knows no rate yet sends next to nothing.
    pub(crate) fn new(
        warm: &WarmEndpoints,
        relative_capacity: f64,
        fraction: f64,
        mean_sent_rate: f64,
        rules: &Rules,
    ) -> BudgetRefill {
        let full_rate = if warm.is_empty() { mean_sent_rate } else { warm.response_rate(relative_capacity) };
        let rate = full_rate * fraction * rules.overload_multiple * OVERLOAD_MULTIPLE_SHARE;
        BudgetRefill {
            rate,
            per_window: rate * rules.overload_window as f64,
            has_warm_endpoints: !warm.is_empty(),
        }
    }
}

/// The token budget of one endpoint in slow start.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlowStartBudget {
    /// The attempts of mean work that may be sent; negative after an overdraft.
    pub(crate) tokens: f64,
    /// The time of the last refill.
    pub(crate) refilled_at: Nanos,
}

impl SlowStartBudget {
    pub(crate) fn new(now: Nanos, tokens: f64) -> SlowStartBudget {
        SlowStartBudget { tokens, refilled_at: now }
    }

    /// Refills the budget and returns whether a request of `work` attempts of mean work may be sent. The
    /// budget may be overdrawn by one attempt of mean work.
    pub(crate) fn allows(&mut self, now: Nanos, work: f64, refill: &BudgetRefill) -> bool {
        let excess_work = (work - 1.0).max(0.0);
        let max_tokens = if refill.has_warm_endpoints {
            refill.per_window * SAVED_WINDOW_SHARE
        } else {
            SAVED_WINDOW_MULTIPLE * refill.per_window.max(1.0 + excess_work) - 1.0
        };
        self.tokens += refill.rate * now.saturating_sub(self.refilled_at) as f64;
        self.refilled_at = now;
        let surplus = self.tokens - max_tokens;
        // Thirty replicas that each saved one attempt would send them all at once. With warm endpoints,
        // the surplus is therefore discarded in whole attempts, rounded up. Without one, a rare request
        // would never be sent that way.
        let discarded = if refill.has_warm_endpoints { surplus.ceil() } else { surplus };
        self.tokens -= discarded.max(0.0);
        self.tokens >= excess_work
    }

    /// Charges an attempt with the work of `work` mean attempts.
    pub(crate) fn withdraw(&mut self, work: f64) {
        self.tokens -= work;
    }

    /// Returns `work`, in attempts of mean work, to the budget.
    pub(crate) fn deposit(&mut self, work: f64) {
        self.tokens += work;
    }
}
