//! Outlier detection: ejects an endpoint whose attempts fail or hang while its health checks pass.
//!
//! An ejected endpoint receives only trials: single attempts, each after an exponential backoff. It
//! returns when an attempt that started after its ejection succeeds. Each endpoint has its own state; the
//! balancer records the start and the outcome of attempts. Health checks are in `health_check`.

use crate::id::Nanos;

#[cfg(test)]
mod tests;

/// The weight of one attempt in the failure average. Two consecutive failures exceed
/// [`EJECTION_THRESHOLD`], one does not.
const FAILURE_WEIGHT: f64 = 0.3;
/// The maximum by which an endpoint's failure average may exceed the mean over all ready endpoints.
const EJECTION_THRESHOLD: f64 = 0.35;
/// The maximum number of times that the backoff before a trial doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// The failures and the ejection of one endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct OutlierState {
    /// The average over attempts, with 1 for a failure and 0 for a success.
    pub(crate) failure_ewma: f64,
    /// When the endpoint was last ejected; `None` if it is not ejected.
    pub(crate) ejected_since: Option<Nanos>,
    /// The earliest time of the next trial.
    pub(crate) trial_at: Nanos,
    /// The number of times that the backoff has doubled.
    pub(crate) backoff_doublings: u32,
}

impl OutlierState {
    pub(crate) fn is_ejected(&self) -> bool {
        self.ejected_since.is_some()
    }

    /// Returns whether the endpoint is ejected and may receive a trial.
    pub(crate) fn is_trial_due(&self, now: Nanos) -> bool {
        self.is_ejected() && self.trial_at <= now
    }

    /// Ejects the endpoint. `base_backoff` is the backoff of the first ejection, in nanoseconds.
    pub(crate) fn eject(&mut self, now: Nanos, base_backoff: Nanos) {
        self.ejected_since = Some(now);
        self.trial_at = now + (base_backoff << self.backoff_doublings);
        self.backoff_doublings = (self.backoff_doublings + 1).min(MAX_BACKOFF_DOUBLINGS);
    }

    /// Records that an attempt was sent. No trial is due before `next_trial_at`.
    pub(crate) fn on_attempt_started(&mut self, next_trial_at: Nanos) {
        self.trial_at = next_trial_at;
    }

    /// Records the success of an attempt that started at `started_at`. An attempt that started before the
    /// ejection does not end it. The backoff is reset only by a success while the endpoint is not ejected,
    /// so that a flapping endpoint is tried less and less often.
    pub(crate) fn record_success(&mut self, started_at: Nanos) {
        self.failure_ewma *= 1.0 - FAILURE_WEIGHT;
        match self.ejected_since {
            None => self.backoff_doublings = 0,
            Some(since) if started_at >= since => self.ejected_since = None,
            Some(_) => {}
        }
    }

    /// Records a failed attempt that may be the endpoint's fault.
    pub(crate) fn record_failure(&mut self) {
        self.failure_ewma += FAILURE_WEIGHT * (1.0 - self.failure_ewma);
        debug_assert!((0.0..=1.0).contains(&self.failure_ewma), "failure average {}", self.failure_ewma);
    }

    /// Returns whether the endpoint fails so much more than the mean that the fault is its own. Failures
    /// of a lower tier fail attempts at all endpoints alike, and none of these is at fault.
    pub(crate) fn is_outlier(&self, mean_failure_ewma: f64) -> bool {
        self.failure_ewma - mean_failure_ewma > EJECTION_THRESHOLD
    }
}
