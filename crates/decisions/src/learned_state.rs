//! The learned state of a replica, as data that a successor process restores at a hot restart.
//!
//! The embedding program stores the state in the old process and passes it to the new one, which may be
//! another build. The stored names of the fields therefore never change.

use crate::balancer::Balancer;
use crate::capacity::EndpointCapacity;
use crate::endpoint::{Endpoint, EndpointLatency};
use crate::ewma::DecayingSum;
use crate::id::Nanos;
use crate::latency_estimate::ClassLatency;
use crate::outlier_detection::OutlierState;
use crate::slow_start::SlowStartBudget;
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// The learned state of a replica, without its requests. Times are on the replica's clock, which the clock
/// of the successor must continue.
#[derive(Clone, Debug, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct LearnedState {
    #[cfg_attr(feature = "serde", serde(rename = "norms"))]
    classes: Vec<StoredClassLatency>,
    #[cfg_attr(feature = "serde", serde(rename = "retry_budget"))]
    retry_tokens: f64,
    sent_work: StoredSum,
    #[cfg_attr(feature = "serde", serde(rename = "served"))]
    responses: StoredSum,
    #[cfg_attr(feature = "serde", serde(rename = "arrived"))]
    arrivals: StoredSum,
    #[cfg_attr(feature = "serde", serde(rename = "tenants"))]
    tenant_arrivals: Vec<StoredSum>,
    #[cfg_attr(feature = "serde", serde(rename = "recent"))]
    objective_ratio_ewma: f64,
    /// Endpoints by name.
    endpoints: BTreeMap<String, LearnedEndpoint>,
}

/// The stored form of a [`ClassLatency`]: mean, relative deviation, samples, mean estimated work.
type StoredClassLatency = [f64; 4];

/// The stored form of a [`DecayingSum`]: the sum, and when it was last decayed.
type StoredSum = (f64, Nanos);

/// The learned state of one endpoint.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
struct LearnedEndpoint {
    started: Option<Nanos>,
    #[cfg_attr(feature = "serde", serde(rename = "up"))]
    is_healthy: bool,
    #[cfg_attr(feature = "serde", serde(rename = "slow"))]
    latency_ratio_ewma: f64,
    #[cfg_attr(feature = "serde", serde(rename = "answered"))]
    last_response_at: Nanos,
    #[cfg_attr(feature = "serde", serde(rename = "blame"))]
    failure_ewma: f64,
    #[cfg_attr(feature = "serde", serde(rename = "held"))]
    ejected_since: Option<Nanos>,
    trial_at: Nanos,
    #[cfg_attr(feature = "serde", serde(rename = "back_off"))]
    backoff_doublings: u32,
    #[cfg_attr(feature = "serde", serde(rename = "full_until"))]
    overloaded_until: Nanos,
    #[cfg_attr(feature = "serde", serde(rename = "rate"))]
    responses: StoredSum,
    #[cfg_attr(feature = "serde", serde(rename = "budget"))]
    slow_start_tokens: f64,
    #[cfg_attr(feature = "serde", serde(rename = "topped"))]
    slow_start_refilled_at: Nanos,
}

impl From<&Endpoint> for LearnedEndpoint {
    fn from(endpoint: &Endpoint) -> LearnedEndpoint {
        LearnedEndpoint {
            started: endpoint.entry.started,
            is_healthy: endpoint.health.is_healthy,
            latency_ratio_ewma: endpoint.latency.ratio_ewma,
            last_response_at: endpoint.latency.last_response_at,
            failure_ewma: endpoint.outlier.failure_ewma,
            ejected_since: endpoint.outlier.ejected_since,
            trial_at: endpoint.outlier.trial_at,
            backoff_doublings: endpoint.outlier.backoff_doublings,
            overloaded_until: endpoint.capacity.overloaded_until,
            responses: store_sum(&endpoint.capacity.responses),
            slow_start_tokens: endpoint.slow_start.tokens,
            slow_start_refilled_at: endpoint.slow_start.refilled_at,
        }
    }
}

impl LearnedEndpoint {
    fn restore_to(&self, endpoint: &mut Endpoint) {
        endpoint.health.is_healthy = self.is_healthy;
        endpoint.latency =
            EndpointLatency { ratio_ewma: self.latency_ratio_ewma, last_response_at: self.last_response_at };
        endpoint.outlier = OutlierState {
            failure_ewma: self.failure_ewma,
            ejected_since: self.ejected_since,
            trial_at: self.trial_at,
            backoff_doublings: self.backoff_doublings,
        };
        endpoint.capacity = EndpointCapacity {
            responses: restore_sum(self.responses),
            overloaded_until: self.overloaded_until,
        };
        endpoint.slow_start =
            SlowStartBudget { tokens: self.slow_start_tokens, refilled_at: self.slow_start_refilled_at };
    }
}

impl Balancer {
    /// Returns the state learned so far.
    pub fn learned_state(&self) -> LearnedState {
        LearnedState {
            classes: self.latencies.classes.iter().map(store_class).collect(),
            retry_tokens: self.retry_budget.tokens,
            sent_work: store_sum(&self.sent_work),
            responses: store_sum(&self.admission.responses),
            arrivals: store_sum(&self.admission.arrivals),
            tenant_arrivals: self.admission.tenant_arrivals.iter().map(store_sum).collect(),
            objective_ratio_ewma: self.latencies.objective_ratio_ewma,
            endpoints: self
                .endpoints
                .iter()
                .map(|endpoint| (endpoint.entry.name.to_string(), LearnedEndpoint::from(endpoint)))
                .collect(),
        }
    }

    /// Restores the state learned by a predecessor. Call it after the endpoint list was received.
    /// Endpoints that have restarted since are not restored, nor are the classes or the tenants if their
    /// number differs.
    ///
    /// Without this state, a new process knows no rates and sends next to nothing to endpoints in slow
    /// start. In the middle of a release these are most endpoints, and the few warm ones would be
    /// overloaded.
    pub fn restore(&mut self, learned: &LearnedState) {
        if learned.classes.len() == self.latencies.classes.len() {
            self.latencies.classes = learned.classes.iter().copied().map(restore_class).collect();
            self.sent_work = restore_sum(learned.sent_work); // measured by the means of these classes
        }
        self.retry_budget.tokens = learned.retry_tokens;
        self.latencies.objective_ratio_ewma = learned.objective_ratio_ewma;
        self.admission.responses = restore_sum(learned.responses);
        self.admission.arrivals = restore_sum(learned.arrivals);
        if learned.tenant_arrivals.len() == self.admission.tenant_arrivals.len() {
            self.admission.tenant_arrivals =
                learned.tenant_arrivals.iter().copied().map(restore_sum).collect();
        }
        for endpoint in self.endpoints.all_mut() {
            if let Some(stored) = learned.endpoints.get(&*endpoint.entry.name)
                && stored.started == endpoint.entry.started
            {
                stored.restore_to(endpoint);
            }
        }
    }
}

fn store_class(class: &ClassLatency) -> StoredClassLatency {
    [class.mean, class.relative_deviation, class.samples, class.mean_estimated_work]
}

fn restore_class(
    [mean, relative_deviation, samples, mean_estimated_work]: StoredClassLatency,
) -> ClassLatency {
    ClassLatency { mean, relative_deviation, samples, mean_estimated_work }
}

fn store_sum(sum: &DecayingSum) -> StoredSum {
    (sum.sum, sum.updated_at)
}

fn restore_sum((sum, updated_at): StoredSum) -> DecayingSum {
    DecayingSum { sum, updated_at }
}
