//! What the ends of attempts tell: about the latency of a class, and about the endpoint.

use super::Balancer;
use crate::event::{Action, AttemptEnd, Outcome};
use crate::id::Nanos;
use crate::latency_estimate::{LatencySample, USUAL_LATENCY_RATIO};

impl Balancer {
    /// What the end of an attempt tells about its endpoint and its class.
    pub(super) fn record_outcome(&mut self, slot: usize, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let overload_pause = self.latencies.mean_over_classes() as Nanos;
        self.record_latency(slot, end);
        let now = self.now;
        let endpoint = &mut self.endpoints[slot];
        let responded_lately = || endpoint.latency.last_response_at + end.duration + overload_pause > now;
        match end.outcome {
            Outcome::Ok => {
                endpoint.capacity.record_response(now);
                endpoint.latency.last_response_at = now;
                endpoint.outlier.record_success(now.saturating_sub(end.duration));
            }
            // Danger: an endpoint whose connection table is full refuses connections but is not gone.
            Outcome::ConnectFailed if responded_lately() => {
                endpoint.capacity.overloaded_until = now + overload_pause;
            }
            Outcome::Overloaded => endpoint.capacity.overloaded_until = now + overload_pause,
            Outcome::Error | Outcome::Timeout | Outcome::Reset | Outcome::ConnectFailed => {
                self.record_failure(slot, end.outcome, actions);
            }
            Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    /// Danger: connections break by themselves, everywhere alike, so that a reset is only one failure; a dead
    /// process refuses them, and is ejected at once.
    fn record_failure(&mut self, slot: usize, outcome: Outcome, actions: &mut Vec<Action>) {
        let mean_failure_ewma = self.endpoints.mean_failure_ewma();
        let outlier = &mut self.endpoints[slot].outlier;
        outlier.record_failure();
        if outcome == Outcome::ConnectFailed || outlier.is_outlier(mean_failure_ewma) {
            self.eject(slot, actions);
        }
    }

    /// Danger: what was cancelled took longer still; left out, no duration deviates, and all is cancelled.
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

    /// Danger: where no endpoint is warm all would wait, with no rate to go by. So what an endpoint in slow
    /// start has answered in its usual time it may be sent again: that much it can do.
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
