//! An upper bound on the latency of responses, estimated as TCP's retransmission timer does for round trips (RFC 6298,
//! section 2). `listen.rs` observes each response, and `shutdown.rs` asks for the bound.

use std::time::Duration;

/// Weight of one response in the mean.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
/// Weight of one response in the mean deviation.
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// All but a few responses come within the mean and so many mean deviations.
const DEVIATIONS_IN_BOUND: f64 = 4.0;

/// Smoothed latency and its mean deviation, in seconds.
#[derive(Clone, Copy, Default)]
pub struct LatencyEstimate {
    mean: f64,
    deviation: f64,
    has_observations: bool,
}

impl LatencyEstimate {
    /// A response took so long.
    pub fn observe(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        if self.has_observations {
            self.deviation += DEVIATION_WEIGHT * ((time - self.mean).abs() - self.deviation);
            self.mean += MEAN_WEIGHT * (time - self.mean);
        } else {
            *self = LatencyEstimate { mean: time, deviation: time / 2.0, has_observations: true };
        }
    }

    /// What nearly all responses take at most; none if there was no response yet.
    pub fn upper_bound(&self) -> Option<Duration> {
        self.has_observations
            .then(|| Duration::from_secs_f64(self.mean + DEVIATIONS_IN_BOUND * self.deviation))
    }
}

#[cfg(test)]
mod tests;
