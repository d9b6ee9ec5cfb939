//! One endpoint: its entry in the list, and what each concern keeps of it.

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

/// How fast one endpoint responds.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndpointLatency {
    /// Average over responses: duration as a multiple of the expected one.
    pub(crate) ratio_ewma: f64,
    /// When it last responded.
    pub(crate) last_response_at: Nanos,
}

impl EndpointLatency {
    /// Takes in a response that took `ratio` times what it should have.
    pub(crate) fn record(&mut self, ratio: f64) {
        move_towards(&mut self.ratio_ewma, ratio.min(MAX_LATENCY_RATIO), RESPONSE_WEIGHT);
    }
}

/// One endpoint. The default is one that no list has named.
#[derive(Default)]
pub(crate) struct Endpoint {
    pub(crate) entry: EndpointEntry,
    /// Attempts of this replica that have not ended.
    pub(crate) in_flight: u32,
    pub(crate) health: HealthCheckState,
    pub(crate) connections: ConnectionDemand,
    pub(crate) latency: EndpointLatency,
    pub(crate) outlier: OutlierState,
    pub(crate) capacity: EndpointCapacity,
    pub(crate) slow_start: SlowStartBudget,
}

impl Endpoint {
    /// A process of which nothing is known but how many attempts are in flight; taken to be healthy.
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

    /// A list has named it.
    pub(crate) fn is_known(&self) -> bool {
        !self.entry.name.is_empty()
    }

    /// The list says that it takes requests.
    pub(crate) fn is_ready(&self) -> bool {
        self.entry.state == EndpointState::Ready
    }

    /// Neither health checks nor outlier detection speak against it.
    pub(crate) fn is_available(&self) -> bool {
        self.health.is_healthy && !self.outlier.is_ejected()
    }

    /// See [`slow_start_fraction`].
    pub(crate) fn slow_start_fraction(&self, now: Nanos, rules: &Rules) -> f64 {
        slow_start_fraction(self.entry.started, now, rules)
    }

    /// Its slow start is over.
    pub(crate) fn is_warm(&self, now: Nanos, rules: &Rules) -> bool {
        self.slow_start_fraction(now, rules) >= 1.0
    }

    /// Attempts in flight if it gets one more, weighted by how slow it was lately and how often it failed;
    /// both fade while it does not respond.
    pub(crate) fn load_with_one_more(&self, now: Nanos, poll_interval: Nanos) -> f64 {
        let silence = now.saturating_sub(self.latency.last_response_at) as f64 / poll_interval as f64;
        let fading = (-silence).exp();
        let slowness = 1.0 + (self.latency.ratio_ewma - 1.0) * fading;
        let failures = self.outlier.failure_ewma * fading;
        (1.0 + f64::from(self.in_flight)) * slowness * (1.0 + MAX_LATENCY_RATIO * failures * failures)
    }

    /// Takes in that an attempt was sent; `work` in attempts of mean work, `overdue_at` when it is overdue.
    pub(crate) fn on_attempt_started(&mut self, work: f64, overdue_at: Nanos) {
        debug_assert!(self.is_ready(), "attempt to {}, which takes none", self.entry.name);
        self.in_flight += 1;
        self.outlier.on_attempt_started(overdue_at);
        self.connections.on_attempt_started(self.in_flight);
        self.slow_start.withdraw(work);
    }

    /// Takes in that an attempt ended, however.
    pub(crate) fn on_attempt_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}
