//! One endpoint: its entry in the list, and the state that each module keeps for it.

use crate::capacity::EndpointCapacity;
use crate::event::{EndpointEntry, EndpointState};
use crate::ewma::move_towards;
use crate::health_check::HealthCheckState;
use crate::id::Nanos;
use crate::idle_connections::ConnectionDemand;
use crate::latency_estimate::{MAX_LATENCY_RATIO, RESPONSE_WEIGHT};
use crate::outlier_detection::OutlierState;
use crate::settings::Rules;
use crate::slow_start::{SlowStartBudget, slow_start_fraction};

/// The response times of one endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndpointLatency {
    /// The average over responses of the duration as a multiple of the expected one.
    pub(crate) ratio_ewma: f64,
    /// The time of the last response.
    pub(crate) last_response_at: Nanos,
}

impl EndpointLatency {
    /// Records a response that took `ratio` times the expected duration.
    pub(crate) fn record(&mut self, ratio: f64) {
        move_towards(&mut self.ratio_ewma, ratio.min(MAX_LATENCY_RATIO), RESPONSE_WEIGHT);
    }
}

/// One endpoint. The default is an endpoint that has not appeared in a list.
#[derive(Default)]
pub(crate) struct Endpoint {
    pub(crate) entry: EndpointEntry,
    /// The number of attempts of this replica that have not ended.
    pub(crate) in_flight: u32,
    pub(crate) health: HealthCheckState,
    pub(crate) connections: ConnectionDemand,
    pub(crate) latency: EndpointLatency,
    pub(crate) outlier: OutlierState,
    pub(crate) capacity: EndpointCapacity,
    pub(crate) slow_start: SlowStartBudget,
}

impl Endpoint {
    /// Creates the state of a new process, which is assumed to be healthy. `in_flight` is the number of
    /// attempts still in flight, to its predecessor.
    pub(crate) fn new(now: Nanos, in_flight: u32, slow_start_tokens: f64) -> Endpoint {
        Endpoint {
            in_flight,
            health: HealthCheckState { is_healthy: true, next_check_at: 0 },
            connections: ConnectionDemand::new(in_flight),
            latency: EndpointLatency { ratio_ewma: 1.0, last_response_at: now },
            slow_start: SlowStartBudget::new(now, slow_start_tokens),
            ..Endpoint::default()
        }
    }

    /// Returns whether the endpoint has appeared in a list.
    pub(crate) fn is_known(&self) -> bool {
        !self.entry.name.is_empty()
    }

    /// Returns whether the list says that the endpoint accepts requests.
    pub(crate) fn is_ready(&self) -> bool {
        self.entry.state == EndpointState::Ready
    }

    /// Returns whether the endpoint is healthy and not ejected.
    pub(crate) fn is_available(&self) -> bool {
        self.health.is_healthy && !self.outlier.is_ejected()
    }

    /// Returns the endpoint's [`slow_start_fraction`].
    pub(crate) fn slow_start_fraction(&self, now: Nanos, rules: &Rules) -> f64 {
        slow_start_fraction(self.entry.started, now, rules)
    }

    /// Returns whether the slow start of the endpoint is over.
    pub(crate) fn is_warm(&self, now: Nanos, rules: &Rules) -> bool {
        self.slow_start_fraction(now, rules) >= 1.0
    }

    /// Returns the number of attempts in flight after one more, weighted by recent slowness and failures.
    /// Both weights fade while the endpoint does not respond.
    pub(crate) fn load_with_one_more(&self, now: Nanos, poll_interval: Nanos) -> f64 {
        let periods_since_response =
            now.saturating_sub(self.latency.last_response_at) as f64 / poll_interval as f64;
        let decay = (-periods_since_response).exp();
        let slowness = 1.0 + (self.latency.ratio_ewma - 1.0) * decay;
        let failures = self.outlier.failure_ewma * decay;
        (1.0 + f64::from(self.in_flight)) * slowness * (1.0 + MAX_LATENCY_RATIO * failures * failures)
    }

    /// Records a new attempt. `work` is in attempts of mean work, `overdue_at` the time when it is
    /// overdue.
    pub(crate) fn on_attempt_started(&mut self, work: f64, overdue_at: Nanos) {
        debug_assert!(self.is_ready(), "attempt to {}, which is not ready", self.entry.name);
        self.in_flight += 1;
        self.outlier.on_attempt_started(overdue_at);
        self.connections.on_attempt_started(self.in_flight);
        self.slow_start.withdraw(work);
    }

    /// Records the end of an attempt, whatever its outcome.
    pub(crate) fn on_attempt_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}
