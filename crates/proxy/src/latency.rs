//! An estimate of the latency of answers, as TCP's retransmission timer has it of round trips (RFC 6298, section 2).

use std::time::Duration;

/// Weight of one answer in the mean, and in the mean deviation.
const MEAN: f64 = 1.0 / 8.0;
const DEVIATION: f64 = 1.0 / 4.0;
/// All but a few answers come within the mean and so many mean deviations.
const MOST: f64 = 4.0;

/// Smoothed latency and its mean deviation, in seconds.
#[derive(Clone, Copy, Default)]
pub struct LatencyEstimate {
    mean: f64,
    deviation: f64,
    known: bool,
}

impl LatencyEstimate {
    /// An answer took so long.
    pub fn observe(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        if self.known {
            self.deviation += DEVIATION * ((time - self.mean).abs() - self.deviation);
            self.mean += MEAN * (time - self.mean);
        } else {
            *self = LatencyEstimate { mean: time, deviation: time / 2.0, known: true };
        }
    }

    /// What nearly all answers take at most; none is known yet if there was no answer.
    pub fn upper_bound(&self) -> Option<Duration> {
        self.known.then(|| Duration::from_secs_f64(self.mean + MOST * self.deviation))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_first_answer_counts_for_three_times_its_time_and_equal_ones_come_down_to_it() {
        let after = |times: &[u64]| {
            let mut estimate = LatencyEstimate::default();
            times.iter().for_each(|ms| estimate.observe(Duration::from_millis(*ms)));
            estimate.upper_bound().map(|most| most.as_millis())
        };
        assert_eq!((after(&[]), after(&[200]), after(&[200; 100])), (None, Some(600), Some(200)));
        assert!(after(&[200, 200, 1000]) > Some(1000), "one that strays widens the deviation");
    }
}
