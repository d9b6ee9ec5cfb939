//! Estimates of the duration of requests by class, learned from responses.
//!
//! Each class has a mean duration and a mean deviation, as in TCP's retransmission timer (RFC 6298, after
//! Jacobson 1988), but relative to the work of each request, so that light and heavy requests share an
//! estimate. Admission, slow start, retries and the timeouts of attempts use the estimates; only
//! [`LatencyEstimates::record`] and [`LatencyEstimates::work_scale`] change them. The module knows nothing
//! of endpoints.

use crate::ewma::move_towards;
use crate::id::Nanos;
use crate::settings::Class;

#[cfg(test)]
mod tests;

/// The weight of one response in an average over all classes or for one endpoint.
pub(crate) const RESPONSE_WEIGHT: f64 = 0.1;
/// The least weight of one response in the averages of its class. A class has more responses than an
/// endpoint, so the weight is lower.
const CLASS_RESPONSE_WEIGHT: f64 = RESPONSE_WEIGHT / 4.0;
/// The maximum ratio of a duration to the expected one with which a response counts for its endpoint.
pub(crate) const MAX_LATENCY_RATIO: f64 = 4.0;
/// A response that took less than this multiple of the expected duration is not slow.
pub(crate) const USUAL_LATENCY_RATIO: f64 = 2.0;
/// An attempt is overdue this many mean deviations after its mean duration (RFC 6298, section 2: K = 4).
const OVERDUE_DEVIATIONS: f64 = 4.0;
/// The maximum number of times that the time until an attempt is overdue doubles.
const MAX_TIMEOUT_DOUBLINGS: usize = 4;
/// The share of the duration that is assumed to be proportional to the estimated work. The rest is spent
/// waiting for other systems.
const WORK_PROPORTIONAL_SHARE: f64 = 0.5;
/// Responses that take more than this share of their latency objective are slow.
pub(crate) const SLOW_OBJECTIVE_SHARE: f64 = 0.7;

/// The estimated latency of one class.
#[derive(Clone, Debug)]
pub(crate) struct ClassLatency {
    /// The mean duration of a request with a work scale of 1, in nanoseconds.
    pub(crate) mean: f64,
    /// The mean deviation of durations from the expected ones, as a share of the expected ones.
    pub(crate) relative_deviation: f64,
    /// The number of responses and cancelled attempts recorded.
    pub(crate) samples: f64,
    /// The mean of the work estimates sent with requests, in nanoseconds.
    pub(crate) mean_estimated_work: f64,
}

impl ClassLatency {
    /// Creates the estimate before the first response. It assumes that the class barely meets its latency
    /// objective.
    fn new(class: &Class) -> ClassLatency {
        ClassLatency {
            mean: class.latency_objective as f64 / OVERDUE_DEVIATIONS,
            relative_deviation: 1.0,
            samples: 0.0,
            mean_estimated_work: 0.0,
        }
    }
}

/// The latency of one attempt.
pub(crate) struct LatencySample {
    /// The index of the class.
    pub(crate) class: usize,
    /// The work of the request relative to the mean of its class.
    pub(crate) work_scale: f64,
    /// The duration of the attempt, in nanoseconds.
    pub(crate) duration: f64,
    /// The duration divided by the expected duration.
    pub(crate) ratio: f64,
    /// Whether the attempt ended with a response; otherwise it was cancelled.
    pub(crate) is_response: bool,
}

/// The estimates of all classes.
pub(crate) struct LatencyEstimates {
    pub(crate) classes: Vec<ClassLatency>,
    /// The average over responses of the duration as a share of the class's latency objective.
    pub(crate) objective_ratio_ewma: f64,
}

impl LatencyEstimates {
    pub(crate) fn new(classes: &[Class]) -> LatencyEstimates {
        LatencyEstimates {
            classes: classes.iter().map(ClassLatency::new).collect(),
            objective_ratio_ewma: 0.0,
        }
    }

    /// Returns the work of a request relative to the mean of its class, by the estimate sent with it; 1
    /// without an estimate. Records the estimate.
    pub(crate) fn work_scale(&mut self, class: usize, estimated_work: Option<Nanos>) -> f64 {
        let Some(estimate) = estimated_work.map(|work| work as f64) else { return 1.0 };
        let class = &mut self.classes[class];
        let weight = (1.0 / (1.0 + class.samples)).max(CLASS_RESPONSE_WEIGHT);
        move_towards(&mut class.mean_estimated_work, estimate, weight);
        let mean_estimate = class.mean_estimated_work.max(1.0);
        (1.0 - WORK_PROPORTIONAL_SHARE) + WORK_PROPORTIONAL_SHARE * estimate / mean_estimate
    }

    /// Returns the expected duration of a request in nanoseconds, which is its work.
    pub(crate) fn expected_duration(&self, class: usize, work_scale: f64) -> f64 {
        self.classes[class].mean * work_scale
    }

    /// Records the latency of an attempt. `latency_objective` is that of its class, in nanoseconds.
    pub(crate) fn record(&mut self, sample: &LatencySample, latency_objective: f64) {
        let class = &mut self.classes[sample.class];
        // Early samples get more weight, so that the mean is right from the start: slow start budgets are
        // in units of this mean and must not shrink later.
        class.samples += 1.0;
        let weight = (1.0 / class.samples).max(CLASS_RESPONSE_WEIGHT);
        move_towards(&mut class.relative_deviation, (sample.ratio - 1.0).abs(), weight);
        if sample.is_response {
            move_towards(&mut class.mean, sample.duration / sample.work_scale, weight);
            let objective_ratio = sample.duration / latency_objective;
            move_towards(&mut self.objective_ratio_ewma, objective_ratio, RESPONSE_WEIGHT);
        }
    }

    /// Returns the mean duration over classes, in nanoseconds.
    pub(crate) fn mean_over_classes(&self) -> f64 {
        self.classes.iter().map(|class| class.mean).sum::<f64>() / self.classes.len().max(1) as f64
    }

    /// Returns the mean duration over responses, at least 1 nanosecond, which is the unit of work. If all
    /// classes had the same weight, a rare heavy class would make the work of all others look small.
    pub(crate) fn mean_over_responses(&self) -> f64 {
        let total: f64 = self.classes.iter().map(|class| class.mean * (class.samples + 1.0)).sum();
        let samples: f64 = self.classes.iter().map(|class| class.samples + 1.0).sum();
        (total / samples).max(1.0)
    }

    /// Returns whether responses arrive well before their latency objectives, so that requests are not
    /// queueing.
    pub(crate) fn responses_are_fast(&self) -> bool {
        self.objective_ratio_ewma < SLOW_OBJECTIVE_SHARE / 2.0
    }

    /// Returns the time in nanoseconds after which an attempt is overdue. `attempt` counts from 0; `floor`
    /// is the time that establishing a connection may take.
    ///
    /// Where responses take microseconds, a short stall of a machine is many deviations long, hence the
    /// floor. The time doubles with each attempt while responses are fast, or a heavy request would be
    /// cancelled each time (Karn and Partridge 1987).
    pub(crate) fn overdue_after(&self, class: usize, work: f64, attempt: usize, floor: Nanos) -> Nanos {
        let deviation = self.classes[class].relative_deviation;
        let expected = work * (1.0 + OVERDUE_DEVIATIONS * deviation);
        let doublings = if self.responses_are_fast() { attempt.min(MAX_TIMEOUT_DOUBLINGS) } else { 0 };
        (expected as Nanos).max(floor) << doublings
    }
}
