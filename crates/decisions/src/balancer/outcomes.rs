//! Learning from the ends of attempts: class latency, and endpoint latency, capacity and failures.

use super::Balancer;
use crate::event::{Action, AttemptEnd, Outcome};
use crate::id::Nanos;
use crate::latency_estimate::{LatencySample, USUAL_LATENCY_RATIO};

impl Balancer {
    /// Records the end of an attempt for its endpoint and its class.
    pub(super) fn record_outcome(&mut self, slot: usize, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let overload_pause = self.latencies.mean_over_classes() as Nanos;
        self.record_latency(slot, end);
        let now = self.now;
        let endpoint = &mut self.endpoints[slot];
        let responded_recently = || endpoint.latency.last_response_at + end.duration + overload_pause > now;
        match end.outcome {
            Outcome::Ok => {
                endpoint.capacity.record_response(now);
                endpoint.latency.last_response_at = now;
                endpoint.outlier.record_success(now.saturating_sub(end.duration));
            }
            // An endpoint whose connection table is full refuses connections but still runs.
            Outcome::ConnectFailed if responded_recently() => {
                endpoint.capacity.overloaded_until = now + overload_pause;
            }
            Outcome::Overloaded => endpoint.capacity.overloaded_until = now + overload_pause,
            Outcome::Error | Outcome::Timeout | Outcome::Reset | Outcome::ConnectFailed => {
                self.record_failure(slot, end.outcome, actions);
            }
            Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    /// Records a failure and ejects the endpoint if it is an outlier. A reset counts as one failure only,
    /// because connections also break at healthy endpoints. A refused connection means that the process is
    /// dead, so the endpoint is ejected at once.
    fn record_failure(&mut self, slot: usize, outcome: Outcome, actions: &mut Vec<Action>) {
        let mean_failure_ewma = self.endpoints.mean_failure_ewma();
        let outlier = &mut self.endpoints[slot].outlier;
        outlier.record_failure();
        if outcome == Outcome::ConnectFailed || outlier.is_outlier(mean_failure_ewma) {
            self.eject(slot, actions);
        }
    }

    /// Records the latency of a response, or of an attempt that was cancelled before the request
    /// completed. A cancelled attempt would have taken even longer: without these samples, the deviation
    /// would not grow as attempts become slow, and all slow attempts would be cancelled.
    fn record_latency(&mut self, slot: usize, end: &AttemptEnd) {
        let is_response = end.outcome == Outcome::Ok;
        let was_cancelled = end.outcome == Outcome::Cancelled && !end.request_completed;
        if !is_response && !was_cancelled {
            return;
        }
        let Some(request) = self.requests.get(&end.request) else { return };
        let duration = end.duration as f64;
        let sample = LatencySample {
            class: request.class,
            work_scale: request.work_scale,
            duration,
            ratio: duration / request.work.max(1.0),
            is_response,
        };
        let relative_work = request.work / self.latencies.mean_over_responses();
        if is_response {
            self.record_endpoint_latency(slot, sample.ratio, relative_work);
        }
        let latency_objective = self.settings.classes[sample.class].latency_objective as f64;
        self.latencies.record(&sample, latency_objective);
        let responses = if is_response { 1.0 } else { 0.0 };
        self.admission.record_responses(self.now, latency_objective, responses);
    }

    /// Records how long an endpoint took to respond. While no endpoint is warm, there is no warm rate to
    /// refill slow start budgets from and requests would wait. A response in the usual time shows that the
    /// endpoint can handle its work, so that work is returned to the endpoint's budget.
    fn record_endpoint_latency(&mut self, slot: usize, ratio: f64, relative_work: f64) {
        let rules = &self.settings.rules;
        let any_warm = self
            .endpoints
            .iter()
            .any(|endpoint| endpoint.is_available() && endpoint.is_warm(self.now, rules));
        let endpoint = &mut self.endpoints[slot];
        if !any_warm && ratio < USUAL_LATENCY_RATIO {
            endpoint.slow_start.deposit(relative_work);
        }
        endpoint.latency.record(ratio);
    }
}
