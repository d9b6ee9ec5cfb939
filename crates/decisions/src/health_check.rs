//! Active health checks: the check intervals, and the health of an endpoint.
//!
//! Every ready endpoint is checked periodically, and only the result makes it healthy or unhealthy, as in
//! FAS (Fault Avoidance Service; `docs/design.md`). The balancer starts the checks and records their
//! results. Ordinary attempts are evaluated in `outlier_detection`.

use crate::id::Nanos;

#[cfg(test)]
mod tests;

/// The target number of health checks per attempt sent.
const CHECKS_PER_ATTEMPT: f64 = 0.1;
/// How many times as often an unhealthy or ejected endpoint is checked, so that it returns soon after it
/// recovers.
const URGENT_CHECK_FACTOR: Nanos = 8;
/// The divisor of the period that gives the maximum jitter. Jitter keeps replicas from synchronizing.
const JITTER_DIVISOR: Nanos = 8;

/// The health of one endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct HealthCheckState {
    /// Whether the last check passed; `true` until a check has ended.
    pub(crate) is_healthy: bool,
    /// The time of the next check. A timer that fires earlier is outdated.
    pub(crate) next_check_at: Nanos,
}

impl HealthCheckState {
    pub(crate) fn is_due(&self, now: Nanos) -> bool {
        self.next_check_at <= now
    }
}

/// Returns the interval between two checks of an endpoint, in nanoseconds.
///
/// The base is `poll_interval`, the time within which the list has to be renewed. The interval varies
/// between half and three times that, so that checks remain a small share of this replica's attempts for
/// lists of any length. `recent_attempts` is the number of attempts in about one `poll_interval`.
pub(crate) fn check_period(poll_interval: Nanos, endpoints: usize, recent_attempts: f64) -> Nanos {
    let target_interval =
        poll_interval as f64 * endpoints as f64 / (recent_attempts.max(1.0) * CHECKS_PER_ATTEMPT);
    (target_interval as Nanos).clamp(poll_interval / 2, 3 * poll_interval)
}

/// Returns the maximum random delay of a check.
pub(crate) fn max_jitter(period: Nanos) -> Nanos {
    period / JITTER_DIVISOR
}

/// Returns the check interval of an endpoint that is unhealthy or ejected.
pub(crate) fn urgent_check_period(period: Nanos) -> Nanos {
    period / URGENT_CHECK_FACTOR
}

/// Returns the delay before an endpoint that failed a check is checked again. It is also the retry delay
/// for clients, because an earlier retry has little chance of success.
pub(crate) fn recheck_delay(poll_interval: Nanos) -> Nanos {
    poll_interval / URGENT_CHECK_FACTOR
}
