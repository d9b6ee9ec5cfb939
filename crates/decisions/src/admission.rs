//! Admission control: rejects new requests when more are in flight than can be served in time.
//!
//! Only the tier that clients call sheds load, because a rejection in a lower tier would waste work
//! already done in the tiers above. By Little's law, the number of requests in flight divided by the rate
//! of responses is the wait of a new request. Requests with less weight for their work, or over their
//! tenant's quota, are rejected at a shorter wait. The balancer calls it once for each new request and
//! records the responses. It knows nothing of endpoints.

use crate::ewma::DecayingSum;
use crate::id::Nanos;
use crate::latency_estimate::{LatencyEstimates, SLOW_OBJECTIVE_SHARE};
use crate::settings::Settings;

#[cfg(test)]
mod tests;

/// The part of the latency objective that is kept free, in mean deviations of a duration.
const RESERVED_DEVIATIONS: f64 = 1.5;
/// The number of standard deviations of a Poisson count by which the limit may be exceeded by chance.
const POISSON_DEVIATIONS: f64 = 2.0;
const NANOS_PER_SECOND: f64 = 1e9;

/// The traffic counts on which admission is based.
pub(crate) struct AdmissionControl {
    /// Successful responses, decayed over the latency objective of their class.
    pub(crate) responses: DecayingSum,
    /// Requests of all tenants, decayed over the poll interval.
    pub(crate) arrivals: DecayingSum,
    /// Requests of each tenant, decayed over the poll interval.
    pub(crate) tenant_arrivals: Vec<DecayingSum>,
}

/// The properties of a new request that admission depends on.
pub(crate) struct AdmissionRequest {
    /// The index of its class.
    pub(crate) class: usize,
    /// Whether the request is over its tenant's quota.
    pub(crate) over_quota: bool,
    /// The number of requests in flight, including this one.
    pub(crate) in_flight: usize,
}

impl AdmissionControl {
    pub(crate) fn new(tenants: usize) -> AdmissionControl {
        AdmissionControl {
            responses: DecayingSum::default(),
            arrivals: DecayingSum::default(),
            tenant_arrivals: vec![DecayingSum::default(); tenants],
        }
    }

    /// Records that an attempt ended with `responses` responses, 0 or 1. `latency_objective` is that of
    /// its class, in nanoseconds.
    pub(crate) fn record_responses(&mut self, now: Nanos, latency_objective: f64, responses: f64) {
        self.responses.add(now, latency_objective, responses);
    }

    /// Counts a request of a tenant and returns whether it is over the tenant's quota. The requests over
    /// quota are chosen at random, in proportion to the excess. In a busy zone every tenant would exceed
    /// its share of the quota, so the quota is raised as far as the other tenants exceed theirs at this
    /// replica.
    pub(crate) fn is_over_quota(
        &mut self,
        now: Nanos,
        tenant: usize,
        settings: &Settings,
        rng: &mut fastrand::Rng,
    ) -> bool {
        let window = settings.rules.poll_interval as f64;
        let Some(arrivals) = self.tenant_arrivals.get_mut(tenant) else { return false };
        let own = arrivals.add(now, window, 1.0);
        let others = self.arrivals.add(now, window, 1.0) - own;
        let total_quota: f64 = settings.tenants.iter().map(|tenant| tenant.quota_per_s).sum();
        let quota = settings.tenants[tenant].quota_per_s;
        let replica_share = window / NANOS_PER_SECOND / f64::from(settings.replica_count);
        let quota_scale = replica_share.max(others / (total_quota - quota).max(1.0));
        rng.f64() * own > quota * quota_scale
    }

    /// Returns `None` if a new request is admitted, otherwise about how many nanoseconds it takes to serve
    /// the requests in flight.
    ///
    /// Requests are counted regardless of their work. Otherwise one heavy request would cause its own
    /// rejection and that of others, although it is the one to keep where weight counts by work.
    pub(crate) fn rejects(
        &mut self,
        now: Nanos,
        request: &AdmissionRequest,
        settings: &Settings,
        latencies: &LatencyEstimates,
    ) -> Option<Nanos> {
        let objective = settings.classes[request.class].latency_objective as f64;
        let in_flight = request.in_flight as f64;
        let recent_responses = self.responses.decay(now, objective);
        let deviation = latencies.classes[request.class].relative_deviation;
        let usable_share = 1.0 / (1.0 + RESERVED_DEVIATIONS * deviation);
        let limit = recent_responses * usable_share * relative_value(request, settings, latencies).sqrt();
        let objective_ratio = latencies.objective_ratio_ewma;
        // Slack for random variation: one request, and two deviations of a Poisson count, which shrink to
        // 0 as response times rise from half the objective to all of it.
        let slack = 1.0 + POISSON_DEVIATIONS * limit.sqrt() * (2.0 - 2.0 * objective_ratio).clamp(0.0, 1.0);
        // Requests stuck on a few endpoints look like a queue. It is one only if responses are slow too.
        let is_overloaded =
            in_flight > limit + slack && objective_ratio > usable_share * SLOW_OBJECTIVE_SHARE;
        is_overloaded.then(|| (in_flight * objective / recent_responses.max(1.0)) as Nanos)
    }
}

/// Returns a request's weight per unit of work, relative to the class with the highest.
fn relative_value(request: &AdmissionRequest, settings: &Settings, latencies: &LatencyEstimates) -> f64 {
    let value =
        |class: usize| settings.classes[class].priority_weight / latencies.classes[class].mean.max(1.0);
    let best = (0..latencies.classes.len()).map(value).fold(f64::MIN_POSITIVE, f64::max);
    let quota_ratio = if request.over_quota { settings.over_quota_weight_ratio } else { 1.0 };
    value(request.class) / best * quota_ratio
}
