//! Estimates an upper bound on response latency in the way that TCP's retransmission timer does for round
//! trips (RFC 6298, section 2). `listen.rs` records each response, and `shutdown.rs` reads the bound.

use std::time::Duration;

/// The weight of one response in the mean.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
/// The weight of one response in the mean deviation.
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// The upper bound lies this many mean deviations above the mean; only a few responses take longer.
const DEVIATIONS_IN_BOUND: f64 = 4.0;

/// Smoothed latency and its mean deviation, in seconds.
#[derive(Clone, Copy, Default)]
pub struct LatencyEstimate {
    mean: f64,
    deviation: f64,
    has_observations: bool,
}

impl LatencyEstimate {
    /// Records the latency of a response.
    pub fn observe(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        if self.has_observations {
            self.deviation += DEVIATION_WEIGHT * ((time - self.mean).abs() - self.deviation);
            self.mean += MEAN_WEIGHT * (time - self.mean);
        } else {
            *self = LatencyEstimate { mean: time, deviation: time / 2.0, has_observations: true };
        }
    }

    /// Returns the latency that nearly all responses stay below; `None` before the first response.
    pub fn upper_bound(&self) -> Option<Duration> {
        self.has_observations
            .then(|| Duration::from_secs_f64(self.mean + DEVIATIONS_IN_BOUND * self.deviation))
    }
}

#[cfg(test)]
mod tests;
