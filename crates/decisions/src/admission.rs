//! Admission control: which new requests are rejected because more is in flight than can be served in time.
//!
//! Only the tier that clients call sheds load: a rejection further down would waste what was done above.
//! Requests in flight over the rate of responses are a newcomer's wait (Little's law); what is worth less for
//! its work, or is beyond its tenant's quota, is rejected at a shorter one. The balancer asks once for each
//! new request and feeds in the responses. It knows nothing of endpoints.

use crate::ewma::DecayingSum;
use crate::id::Nanos;
use crate::latency_estimate::{LatencyEstimates, SLOW_OBJECTIVE_SHARE};
use crate::settings::Settings;

#[cfg(test)]
mod tests;

/// Load is shed when serving the work taken needs more of the latency objective than leaves room for this
/// many mean deviations of a duration.
const RESERVED_DEVIATIONS: f64 = 1.5;
/// Standard deviations of a Poisson count that are left to chance.
const POISSON_DEVIATIONS: f64 = 2.0;
const NANOS_PER_SECOND: f64 = 1e9;

/// What admission has seen of the traffic.
pub(crate) struct AdmissionControl {
    /// Successful responses, decayed over the latency objective of their class.
    pub(crate) responses: DecayingSum,
    /// Requests with a tenant, decayed over the poll interval.
    pub(crate) arrivals: DecayingSum,
    /// The same for each tenant.
    pub(crate) tenant_arrivals: Vec<DecayingSum>,
}

/// A new request, as far as admission goes.
pub(crate) struct AdmissionRequest {
    /// Index of its class.
    pub(crate) class: usize,
    /// It is beyond its tenant's quota.
    pub(crate) over_quota: bool,
    /// Requests in flight, this one among them.
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

    /// An attempt ended with `responses` responses, 0 or 1; `latency_objective` in nanoseconds is that of its
    /// class.
    pub(crate) fn record_responses(&mut self, now: Nanos, latency_objective: f64, responses: f64) {
        self.responses.add(now, latency_objective, responses);
    }

    /// Counts a request of a tenant, and says whether it is part of what that tenant sends beyond its quota:
    /// which ones are is drawn. Danger: a busy zone looks like every tenant sending too much, so the others'
    /// excess over their quotas at this replica is granted.
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
        let granted = replica_share.max(others / (total_quota - quota).max(1.0));
        rng.f64() * own > quota * granted
    }

    /// Whether a new request is to be rejected: then, in about how many nanoseconds what is in flight is
    /// served.
    ///
    /// Danger: counted by work instead, one heavy request shuts itself and others out, and where weight goes
    /// by work it is the one to keep.
    pub(crate) fn rejects(
        &mut self,
        now: Nanos,
        request: &AdmissionRequest,
        settings: &Settings,
        latencies: &LatencyEstimates,
    ) -> Option<Nanos> {
        let objective = settings.classes[request.class].latency_objective as f64;
        let in_flight = request.in_flight as f64;
        let served = self.responses.decay(now, objective);
        let deviation = latencies.classes[request.class].relative_deviation;
        let usable_share = 1.0 / (1.0 + RESERVED_DEVIATIONS * deviation);
        let limit = served * usable_share * relative_value(request, settings, latencies).sqrt();
        let recent = latencies.objective_ratio_ewma;
        // Slack for chance: one, and two deviations of a Poisson count that go as responses near the whole
        // objective.
        let slack = 1.0 + POISSON_DEVIATIONS * limit.sqrt() * (2.0 - 2.0 * recent).clamp(0.0, 1.0);
        // Danger: requests stuck on a few endpoints look like a queue; it is one if responses are slow too.
        let is_overloaded = in_flight > limit + slack && recent > usable_share * SLOW_OBJECTIVE_SHARE;
        is_overloaded.then(|| (in_flight * objective / served.max(1.0)) as Nanos)
    }
}

/// Weight for its work of a request, as a share of that of the best class.
fn relative_value(request: &AdmissionRequest, settings: &Settings, latencies: &LatencyEstimates) -> f64 {
    let value =
        |class: usize| settings.classes[class].priority_weight / latencies.classes[class].mean.max(1.0);
    let best = (0..latencies.classes.len()).map(value).fold(f64::MIN_POSITIVE, f64::max);
    let quota_ratio = if request.over_quota { settings.over_quota_weight_ratio } else { 1.0 };
    value(request.class) / best * quota_ratio
}
