//! Outlier detection: ejects an endpoint whose attempts fail or hang while its health checks pass.
//!
//! An ejected endpoint gets no ordinary requests. It returns when an attempt that started after its ejection
//! succeeds: a trial, of which there is one at a time, each after an exponential backoff. State is held for
//! each endpoint; the balancer says when an attempt ended and how. Health checks themselves are in
//! `health_check`.

use crate::id::Nanos;

#[cfg(test)]
mod tests;

/// Weight of one attempt in the failure average: two failures in a row reach [`EJECTION_THRESHOLD`], one does
/// not.
const FAILURE_WEIGHT: f64 = 0.3;
/// How far the failure average may lie above the mean over all listed endpoints.
const EJECTION_THRESHOLD: f64 = 0.35;
/// The backoff before a trial doubles this many times at most.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// What attempts tell of one endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct OutlierState {
    /// Average over attempts, 1 for a failure and 0 for a success.
    pub(crate) failure_ewma: f64,
    /// Ejected since then.
    pub(crate) ejected_since: Option<Nanos>,
    /// The earliest time of the next trial.
    pub(crate) trial_at: Nanos,
    /// How often the backoff has doubled.
    pub(crate) backoff_doublings: u32,
}

impl OutlierState {
    pub(crate) fn is_ejected(&self) -> bool {
        self.ejected_since.is_some()
    }

    /// Whether an ejected endpoint may be tried again by one attempt.
    pub(crate) fn is_trial_due(&self, now: Nanos) -> bool {
        self.is_ejected() && self.trial_at <= now
    }

    /// Ejects the endpoint; `base_backoff` is that of its first ejection, in nanoseconds.
    pub(crate) fn eject(&mut self, now: Nanos, base_backoff: Nanos) {
        self.ejected_since = Some(now);
        self.trial_at = now + (base_backoff << self.backoff_doublings);
        self.backoff_doublings = (self.backoff_doublings + 1).min(MAX_BACKOFF_DOUBLINGS);
    }

    /// An attempt was sent; it counts as the trial until `next_trial_at`.
    pub(crate) fn on_attempt_started(&mut self, next_trial_at: Nanos) {
        self.trial_at = next_trial_at;
    }

    /// An attempt that started at `started_at` succeeded. One from before the ejection says nothing against
    /// it. The backoff is forgotten only by a success while not ejected, so that a flapping endpoint is tried
    /// ever less.
    pub(crate) fn record_success(&mut self, started_at: Nanos) {
        self.failure_ewma *= 1.0 - FAILURE_WEIGHT;
        match self.ejected_since {
            None => self.backoff_doublings = 0,
            Some(since) if started_at >= since => self.ejected_since = None,
            Some(_) => {}
        }
    }

    /// An attempt failed and may have been the endpoint's fault.
    pub(crate) fn record_failure(&mut self) {
        self.failure_ewma += FAILURE_WEIGHT * (1.0 - self.failure_ewma);
        debug_assert!((0.0..=1.0).contains(&self.failure_ewma), "failure average {}", self.failure_ewma);
    }

    /// Whether it fails so much more than the others that the fault is its own. Danger: a tier below in
    /// trouble fails attempts at every endpoint, and then none of them is at fault.
    pub(crate) fn is_outlier(&self, mean_failure_ewma: f64) -> bool {
        self.failure_ewma - mean_failure_ewma > EJECTION_THRESHOLD
    }
}
