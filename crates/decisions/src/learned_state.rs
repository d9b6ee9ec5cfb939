//! What a replica has learned, for the process that takes its place at a hot restart. It decides nothing.
//!
//! The embedding program writes it down in the old process and hands it to the new one, perhaps of another
//! build: the names under which the fields are stored never change.

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

/// What a replica has learned, apart from the requests that it holds. Times are on its clock, which the next
/// one's must go on from.
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
    /// By name.
    endpoints: BTreeMap<String, LearnedEndpoint>,
}

/// A [`ClassLatency`]: mean, relative deviation, samples, mean estimated work.
type StoredClassLatency = [f64; 4];

/// A [`DecayingSum`]: the sum, and when it was last decayed.
type StoredSum = (f64, Nanos);

/// What was learned of one endpoint.
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
    /// What it has learned so far.
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

    /// Goes on from what another process has learned, once it has the list. An endpoint that has started anew
    /// since is one that nothing is known of; so is a class or a tenant that the other did not have.
    ///
    /// Danger: one that begins anew knows no rate, and lets next to nothing go to an endpoint in slow start.
    /// In the middle of a release that is most of them, and the few warm ones jam.
    pub fn restore(&mut self, learned: &LearnedState) {
        if learned.classes.len() == self.latencies.classes.len() {
            self.latencies.classes = learned.classes.iter().copied().map(restore_class).collect();
            self.sent_work = restore_sum(learned.sent_work); // in units of the work of these classes
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
            if let Some(known) = learned.endpoints.get(&*endpoint.entry.name)
                && known.started == endpoint.entry.started
            {
                known.restore_to(endpoint);
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
