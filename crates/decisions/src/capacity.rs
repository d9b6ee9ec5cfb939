//! How many attempts an endpoint may have in flight, and whether it has said that it is overloaded.
//!
//! By Little's law an endpoint that answers `rate` requests a second holds `rate * t` of them if each takes
//! `t`: the limit is what it answers in a part of the shortest latency objective. Its rate is what this
//! replica sees, shrunk towards the mean of all endpoints as far as the replica sees few responses. Read by
//! `endpoint_selection`; fed by the balancer with responses and rejections.

use crate::ewma::DecayingSum;
use crate::id::Nanos;
use crate::settings::Settings;

#[cfg(test)]
mod tests;

/// Time constant of the rate of responses, in nanoseconds.
pub(crate) const RESPONSE_RATE_TIME_CONSTANT: f64 = 3e9;
/// Part of the shortest latency objective in which an endpoint has to answer what is in flight.
const OBJECTIVE_SHARE: f64 = 0.5;
/// The least limit of an endpoint, over this replica alone or twice as much over all that clients call.
const MIN_IN_FLIGHT_LIMIT: f64 = 6.0;
/// The mean rate of all endpoints weighs as much as this many responses of one.
const PRIOR_RESPONSES: f64 = 4.0;

/// What is known of one endpoint's capacity.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndpointCapacity {
    /// Successful responses, decayed over [`RESPONSE_RATE_TIME_CONSTANT`].
    pub(crate) responses: DecayingSum,
    /// It rejected an attempt and gets none until then.
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

/// The limits on attempts in flight at the time of one selection.
pub(crate) struct CapacityLimits {
    /// Over how many replicas the least limit is shared: 1 where it is not.
    sharing_replicas: f64,
    /// The shortest latency objective, in nanoseconds.
    shortest_objective: f64,
    /// Mean of [`EndpointCapacity::responses`] over the listed endpoints.
    mean_responses: f64,
    /// The limit where the rate says less.
    min_limit: f64,
}

impl CapacityLimits {
    /// `endpoints` is how many are listed, `mean_responses` the mean of their decayed responses.
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

    /// Whether an endpoint answers one more attempt in time. Danger: where too much waits it turns and stays
    /// slow.
    ///
    /// `responses` are its own, decayed; `rank` is its place in this replica's order of endpoints, from 0 to
    /// 1. Where one or two replicas send to it, retries need no capacity.
    pub(crate) fn has_capacity(&self, in_flight: u32, responses: f64, rank: f64, is_retry: bool) -> bool {
        let shared_part = 1.0 - 1.0 / self.sharing_replicas;
        // Danger: part of an attempt, rounded up by each replica, is an attempt of all.
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
