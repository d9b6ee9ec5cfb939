//! Active health checks: how often an endpoint is checked, and what the last check said.
//!
//! Every listed endpoint is checked periodically and marked healthy or unhealthy by the result alone, as in
//! FAS (Fault Avoidance Service; `docs/design.md`). The balancer starts the checks and feeds in their
//! results; what ordinary attempts tell is in `outlier_detection`.

use crate::id::Nanos;

#[cfg(test)]
mod tests;

/// Checks are meant to be this share of the attempts sent.
const CHECKS_PER_ATTEMPT: f64 = 0.1;
/// One that is unhealthy or ejected is checked this many times as often: its place waits for it.
const URGENT_CHECK_FACTOR: Nanos = 8;
/// Checks come later by up to this part of the period, so that replicas do not fall into step.
const JITTER_DIVISOR: Nanos = 8;

/// The health of one endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct HealthCheckState {
    /// Its last check passed, or none has ended yet.
    pub(crate) is_healthy: bool,
    /// The next check is due then; a timer that fires before is an old one.
    pub(crate) next_check_at: Nanos,
}

impl HealthCheckState {
    pub(crate) fn is_due(&self, now: Nanos) -> bool {
        self.next_check_at <= now
    }
}

/// The interval between two checks of an endpoint, in nanoseconds.
///
/// The base is `poll_interval`, the time in which a view of the list has to be renewed. The period shortens
/// or grows from there, to half and to three times, so that checks stay a small share of this replica's
/// attempts, however long the list is. `recent_attempts` is their number in about one `poll_interval`.
pub(crate) fn check_period(poll_interval: Nanos, endpoints: usize, recent_attempts: f64) -> Nanos {
    let wanted = poll_interval as f64 * endpoints as f64 / (recent_attempts.max(1.0) * CHECKS_PER_ATTEMPT);
    (wanted as Nanos).clamp(poll_interval / 2, 3 * poll_interval)
}

/// The most by which a check is delayed at random.
pub(crate) fn max_jitter(period: Nanos) -> Nanos {
    period / JITTER_DIVISOR
}

/// The interval for an endpoint that is unhealthy or ejected.
pub(crate) fn urgent_check_period(period: Nanos) -> Nanos {
    period / URGENT_CHECK_FACTOR
}

/// When an endpoint that was found unhealthy is checked again: before then there is little use in asking, for
/// clients too.
pub(crate) fn recheck_delay(poll_interval: Nanos) -> Nanos {
    poll_interval / URGENT_CHECK_FACTOR
}
