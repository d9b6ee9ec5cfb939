//! How long requests of each class take, learned from their responses.
//!
//! A mean duration and its mean deviation for each class, as in TCP's retransmission timer (RFC 6298, after
//! Jacobson 1988), but relative to the work of each request, so that light and heavy ones share an estimate.
//! Admission, slow start, retries and the timeouts of attempts read it; only [`LatencyEstimates::record`] and
//! [`LatencyEstimates::work_scale`] change it. It knows nothing of endpoints.

use crate::ewma::move_towards;
use crate::id::Nanos;
use crate::settings::Class;

#[cfg(test)]
mod tests;

/// Weight of one response in an average over responses of all classes or of one endpoint.
pub(crate) const RESPONSE_WEIGHT: f64 = 0.1;
/// Least weight of one response in the averages of its class, which see more of them than an endpoint does.
const CLASS_RESPONSE_WEIGHT: f64 = RESPONSE_WEIGHT / 4.0;
/// No single duration counts for more than this multiple of the expected one.
pub(crate) const MAX_LATENCY_RATIO: f64 = 4.0;
/// A response that took less than this multiple of the expected duration came in its usual time.
pub(crate) const USUAL_LATENCY_RATIO: f64 = 2.0;
/// An attempt is overdue this many mean deviations past its mean duration (RFC 6298, section 2: K = 4).
const OVERDUE_DEVIATIONS: f64 = 4.0;
/// Each further attempt has twice the time of the one before, this many times at most.
const MAX_TIMEOUT_DOUBLINGS: usize = 4;
/// Share of the estimated work that the duration is taken to follow; the rest is waiting on others.
const WORK_PROPORTIONAL_SHARE: f64 = 0.5;
/// Responses that take more than this share of the latency objective are slow.
pub(crate) const SLOW_OBJECTIVE_SHARE: f64 = 0.7;

/// What the requests of one class usually take.
#[derive(Clone, Debug)]
pub(crate) struct ClassLatency {
    /// Mean duration of a request of the scale 1, in nanoseconds.
    pub(crate) mean: f64,
    /// Mean deviation of durations from the expected ones, as a share of these.
    pub(crate) relative_deviation: f64,
    /// Number of responses, and of attempts that were cancelled, that went into it.
    pub(crate) samples: f64,
    /// Mean of the estimates of work that came with requests, in nanoseconds.
    pub(crate) mean_estimated_work: f64,
}

impl ClassLatency {
    /// Before the first response: the class is taken to meet its objective, but barely.
    fn new(class: &Class) -> ClassLatency {
        ClassLatency {
            mean: class.latency_objective as f64 / OVERDUE_DEVIATIONS,
            relative_deviation: 1.0,
            samples: 0.0,
            mean_estimated_work: 0.0,
        }
    }
}

/// The end of an attempt, as far as it tells about latency.
pub(crate) struct LatencySample {
    /// Index of the class.
    pub(crate) class: usize,
    /// Size of the request relative to its class.
    pub(crate) work_scale: f64,
    /// What the attempt took, in nanoseconds.
    pub(crate) duration: f64,
    /// The same over what it should have taken.
    pub(crate) ratio: f64,
    /// It ended with a response, and was not cancelled.
    pub(crate) is_response: bool,
}

/// The estimates of all classes.
pub(crate) struct LatencyEstimates {
    pub(crate) classes: Vec<ClassLatency>,
    /// Average over responses: duration as a share of the latency objective of its class.
    pub(crate) objective_ratio_ewma: f64,
}

impl LatencyEstimates {
    pub(crate) fn new(classes: &[Class]) -> LatencyEstimates {
        LatencyEstimates {
            classes: classes.iter().map(ClassLatency::new).collect(),
            objective_ratio_ewma: 0.0,
        }
    }

    /// Size of a request relative to its class, by the estimate that came with it; 1 where none came.
    pub(crate) fn work_scale(&mut self, class: usize, estimated_work: Option<Nanos>) -> f64 {
        let Some(estimate) = estimated_work.map(|work| work as f64) else { return 1.0 };
        let class = &mut self.classes[class];
        let weight = (1.0 / (1.0 + class.samples)).max(CLASS_RESPONSE_WEIGHT);
        move_towards(&mut class.mean_estimated_work, estimate, weight);
        let usual = class.mean_estimated_work.max(1.0);
        (1.0 - WORK_PROPORTIONAL_SHARE) + WORK_PROPORTIONAL_SHARE * estimate / usual
    }

    /// The duration that a request should take, in nanoseconds: its work.
    pub(crate) fn expected_duration(&self, class: usize, work_scale: f64) -> f64 {
        self.classes[class].mean * work_scale
    }

    /// Takes in the end of an attempt; `latency_objective` in nanoseconds is that of its class.
    pub(crate) fn record(&mut self, sample: &LatencySample, latency_objective: f64) {
        let class = &mut self.classes[sample.class];
        // The first responses count in full: slow start budgets are in units of this mean and must not shrink
        // later.
        class.samples += 1.0;
        let weight = (1.0 / class.samples).max(CLASS_RESPONSE_WEIGHT);
        move_towards(&mut class.relative_deviation, (sample.ratio - 1.0).abs(), weight);
        if sample.is_response {
            move_towards(&mut class.mean, sample.duration / sample.work_scale, weight);
            let objective_ratio = sample.duration / latency_objective;
            move_towards(&mut self.objective_ratio_ewma, objective_ratio, RESPONSE_WEIGHT);
        }
    }

    /// Mean duration over classes, in nanoseconds.
    pub(crate) fn mean_over_classes(&self) -> f64 {
        self.classes.iter().map(|class| class.mean).sum::<f64>() / self.classes.len().max(1) as f64
    }

    /// Mean duration over responses, in nanoseconds, 1 at least: a unit of work. Danger: by classes alike,
    /// one that is rare makes light of all the others.
    pub(crate) fn mean_over_responses(&self) -> f64 {
        let total: f64 = self.classes.iter().map(|class| class.mean * (class.samples + 1.0)).sum();
        let samples: f64 = self.classes.iter().map(|class| class.samples + 1.0).sum();
        (total / samples).max(1.0)
    }

    /// Whether responses come well before their objectives, so that waiting is no matter of a queue.
    pub(crate) fn responses_are_fast(&self) -> bool {
        self.objective_ratio_ewma < SLOW_OBJECTIVE_SHARE / 2.0
    }

    /// How long an attempt may take before it is overdue; `attempt` counts from 0, `floor` is the time that a
    /// connection alone may take. Danger: where responses take microseconds, any hiccup of a machine is many
    /// deviations; hence the floor. And a request whose work is heavy would be cancelled each time: each
    /// attempt has twice the time (Karn and Partridge 1987).
    pub(crate) fn overdue_after(&self, class: usize, work: f64, attempt: usize, floor: Nanos) -> Nanos {
        let deviation = self.classes[class].relative_deviation;
        let expected = work * (1.0 + OVERDUE_DEVIATIONS * deviation);
        let doublings = if self.responses_are_fast() { attempt.min(MAX_TIMEOUT_DOUBLINGS) } else { 0 };
        (expected as Nanos).max(floor) << doublings
    }
}
