//! A run's seconds, put together where there are more than a plot can show.

use crate::run_result::Second;

/// Most points of a line.
const MOST: usize = 600;

/// Some seconds in a row.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Bucket {
    /// The middle, in seconds.
    pub at: f64,
    /// First tries that arrived.
    pub offered: f64,
    /// Of those, refused.
    pub refused: f64,
    /// Failed or never answered.
    pub failed: f64,
    /// Worth asked for.
    pub asked: f64,
    /// Worth served.
    pub served: f64,
    /// Attempts at the first tier.
    pub attempts: f64,
    /// Attempts at all tiers.
    pub attempts_all: f64,
    /// Answered, in time or late.
    pub answered: f64,
    /// Mean of the seconds' 50th percentiles, by answers; 0: nothing was answered.
    pub p50: f64,
    /// Greatest of the seconds' 99th percentiles; 0: nothing was answered.
    pub p99: f64,
}

impl Bucket {
    /// A share of what arrived; none if nothing did.
    pub fn share(&self, part: f64) -> Option<f64> {
        ratio(part, self.offered)
    }

    /// Worth served over worth asked for.
    pub fn goodput(&self) -> Option<f64> {
        ratio(self.served, self.asked)
    }
}

fn ratio(part: f64, whole: f64) -> Option<f64> {
    Some(part / whole).filter(|ratio| whole > 0.0 && ratio.is_finite())
}

/// Seconds in a bucket.
pub(super) fn width(seconds: usize) -> usize {
    seconds.div_ceil(MOST).max(1)
}

/// All of a run.
pub(super) fn buckets(seconds: &[Second]) -> Vec<Bucket> {
    let width = width(seconds.len());
    let together = |(at, some): (usize, &[Second])| {
        let mut sum = Bucket { at: (at * width) as f64 + some.len() as f64 / 2.0, ..Bucket::default() };
        for second in some {
            let answered = second.in_time as f64 + second.late as f64;
            sum.offered += second.offered as f64;
            sum.refused += second.refused as f64;
            sum.failed += second.failed as f64;
            sum.asked += second.worth_asked;
            sum.served += second.worth_served;
            sum.attempts += second.attempts as f64;
            sum.attempts_all += second.attempts_all_tiers as f64;
            sum.answered += answered;
            sum.p50 += second.p50_ms * answered;
            sum.p99 = sum.p99.max(second.p99_ms);
        }
        sum.p50 = ratio(sum.p50, sum.answered).unwrap_or_default();
        sum
    };
    seconds.chunks(width).enumerate().map(together).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn long_runs_are_put_together_without_losing_a_request() {
        let second =
            Second { offered: 3, in_time: 2, late: 1, p50_ms: 10.0, p99_ms: 50.0, ..Second::default() };
        let mut seconds = vec![second; 1501];
        seconds[1].p99_ms = 900.0;
        let all = buckets(&seconds);
        assert_eq!((width(1501), all.len()), (3, 501));
        assert_eq!(all.iter().map(|bucket| bucket.offered).sum::<f64>(), 4503.0);
        assert_eq!((all[0].at, all[0].p50, all[0].p99), (1.5, 10.0, 900.0));
        assert_eq!(all[500].at, 1500.5);
        assert_eq!(buckets(&seconds[..2])[1].p99, 900.0);
        assert_eq!(buckets(&[Second::default()])[0].goodput(), None);
        assert!(buckets(&[]).is_empty());
    }
}
