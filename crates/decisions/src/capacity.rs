//! The limit on attempts in flight to an endpoint, and whether the endpoint is overloaded.
//!
//! By Little's law, an endpoint that answers `rate` requests per second has `rate * t` of them in flight
//! if each takes `t`. The limit is the number that it answers in a part of the shortest latency objective.
//! Its rate is measured by this replica and shrunk towards the mean of all endpoints, the more so the
//! fewer responses the replica sees. The balancer records responses and rejections; `endpoint_selection`
//! reads the limits.

use crate::ewma::DecayingSum;
use crate::id::Nanos;
use crate::settings::Settings;

#[cfg(test)]
mod tests;

/// The time constant of the response rate, in nanoseconds.
pub(crate) const RESPONSE_RATE_TIME_CONSTANT: f64 = 3e9;
/// The share of the shortest latency objective within which an endpoint has to answer the attempts in
/// flight.
const OBJECTIVE_SHARE: f64 = 0.5;
/// The minimum limit of attempts in flight to an endpoint, for one replica alone. All replicas of the
/// first tier together share twice as many.
const MIN_IN_FLIGHT_LIMIT: f64 = 6.0;
/// The weight of the mean rate of all endpoints, in responses of one endpoint.
const PRIOR_RESPONSES: f64 = 4.0;

/// The capacity of one endpoint, as learned from responses and rejections.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndpointCapacity {
    /// Successful responses, decayed over [`RESPONSE_RATE_TIME_CONSTANT`].
    pub(crate) responses: DecayingSum,
    /// The endpoint is not sent attempts before this time, because it rejected one as overloaded or
    /// refused a connection soon after a response.
    pub(crate) overloaded_until: Nanos,
}

impl EndpointCapacity {
    pub(crate) fn record_response(&mut self, now: Nanos) {
        self.responses.add(now, RESPONSE_RATE_TIME_CONSTANT, 1.0);
    }

    pub(crate) fn is_overloaded(&self, now: Nanos) -> bool {
        self.overloaded_until > now
    }
}

/// The limits on attempts in flight, computed for one selection.
pub(crate) struct CapacityLimits {
    /// Half the number of replicas that share the minimum limit; 1 if it is not shared.
    sharing_replicas: f64,
    /// The shortest latency objective, in nanoseconds.
    shortest_objective: f64,
    /// The mean of [`EndpointCapacity::responses`] over the listed endpoints.
    mean_responses: f64,
    /// The least limit, used where the response rate gives a lower one.
    min_limit: f64,
}

impl CapacityLimits {
    /// `endpoints` is the number of listed endpoints, `mean_responses` the mean of their decayed
    /// responses.
    pub(crate) fn new(settings: &Settings, endpoints: usize, mean_responses: f64) -> CapacityLimits {
        let objectives = settings.classes.iter().map(|class| class.latency_objective);
        let replicas = if settings.tier == 0 { settings.replica_count.max(2) } else { 2 };
        let sharing_replicas = f64::from(replicas) / 2.0;
        let min_share = (1.0 / sharing_replicas).max(1.0 / endpoints as f64).min(1.0);
        CapacityLimits {
            sharing_replicas,
            shortest_objective: objectives.min().unwrap_or(0) as f64,
            mean_responses,
            min_limit: MIN_IN_FLIGHT_LIMIT * min_share,
        }
    }

    /// Returns whether an endpoint can answer one more attempt in time. Without this limit, an endpoint
    /// with too many waiting attempts becomes slow and stays slow.
    ///
    /// `responses` are those of the endpoint, decayed; `rank` is its position in this replica's order of
    /// preference, from 0 to 1. Retries need no capacity if the limit is not shared: with one or two
    /// replicas, or below the first tier.
    pub(crate) fn has_capacity(&self, in_flight: u32, responses: f64, rank: f64, is_retry: bool) -> bool {
        let shared_part = 1.0 - 1.0 / self.sharing_replicas;
        // If every replica rounded its fraction of an attempt up, each would send a whole attempt. The
        // rank makes them round up at different endpoints.
        let load = f64::from(in_flight) + shared_part * rank;
        let is_unlimited = self.sharing_replicas <= 1.0 && is_retry;
        is_unlimited || load < self.limit(responses, PRIOR_RESPONSES * shared_part)
    }

    fn limit(&self, responses: f64, prior: f64) -> f64 {
        let mean = self.mean_responses;
        let relative_rate = (responses + prior) / (mean + prior).max(f64::MIN_POSITIVE);
        let rate = relative_rate * mean / RESPONSE_RATE_TIME_CONSTANT;
        (rate * self.shortest_objective * OBJECTIVE_SHARE).max(self.min_limit)
    }
}
