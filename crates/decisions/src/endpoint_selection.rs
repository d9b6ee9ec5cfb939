//! Selects the endpoint for an attempt.
//!
//! The method is that of FAS (Fault Avoidance Service; `docs/design.md`): it selects the first endpoint in
//! this replica's order of preference that is available and whose load does not exceed the lowest by too
//! much, or the least loaded one if there is none. Health, ejection, overload, capacity and slow start
//! decide which endpoints are eligible. The balancer calls it once for each attempt. It changes no state
//! except that it decays averages and refills slow start budgets.

use crate::capacity::{CapacityLimits, RESPONSE_RATE_TIME_CONSTANT};
use crate::endpoint::Endpoint;
use crate::endpoint_list::EndpointList;
use crate::ewma::DecayingSum;
use crate::id::Nanos;
use crate::in_flight::InFlightRequest;
use crate::latency_estimate::USUAL_LATENCY_RATIO;
use crate::retry_policy::AttemptPermit;
use crate::settings::{Idempotency, Settings};
use crate::slow_start::{BudgetRefill, WarmEndpoints};

/// The number of attempts in flight that an endpoint of ordinary speed may have above the lowest count
/// before it is skipped. Less than 1, because in a large tier a replica has few attempts in flight, and a
/// second one to a preferred endpoint is worse than one to an idle endpoint.
const LOAD_ALLOWANCE: f64 = 0.4;
/// Below this share of available endpoints, health and ejections are ignored (the "panic threshold" of
/// other balancers), because the cause is either at this replica or common to all endpoints.
const PANIC_SHARE: f64 = 1.0 / 3.0;

/// The inputs of one selection, including the averages and budgets that it updates.
pub(crate) struct EndpointSelection<'a> {
    pub(crate) now: Nanos,
    pub(crate) settings: &'a Settings,
    pub(crate) endpoints: &'a mut EndpointList,
    /// The work sent, decayed over the poll interval, in nanoseconds.
    pub(crate) sent_work: &'a mut DecayingSum,
    /// The mean work of an attempt, in nanoseconds.
    pub(crate) mean_work: f64,
    pub(crate) request: &'a InFlightRequest,
    pub(crate) permit: &'a AttemptPermit,
}

/// The values that are the same for all endpoints of one selection.
struct ListSummary {
    /// Whether health and ejections are ignored; see [`PANIC_SHARE`].
    in_panic: bool,
    /// The number of endpoints that are ranked.
    ranked_endpoints: usize,
    warm: WarmEndpoints,
    limits: CapacityLimits,
}

/// An endpoint that is eligible for the attempt.
struct Candidate {
    slot: usize,
    in_flight: u32,
    /// See [`Endpoint::load_with_one_more`].
    load: f64,
    /// Whether it precedes other candidates, because its slow start budget would otherwise go unused.
    is_prioritized: bool,
}

impl EndpointSelection<'_> {
    /// Returns the slot of the selected endpoint, or `None` if no endpoint is eligible now.
    pub(crate) fn select(mut self) -> Option<usize> {
        let summary = self.summarize();
        let mut candidates = Vec::with_capacity(self.endpoints.len());
        let mut endpoints_before = 0;
        for position in 0..self.endpoints.len() {
            let slot = self.endpoints.slots()[position];
            let rank = f64::from(endpoints_before) / summary.ranked_endpoints as f64;
            let is_usable = summary.in_panic || self.endpoints[slot].is_available();
            endpoints_before += u32::from(is_usable);
            if self.may_receive(slot, is_usable) {
                candidates.extend(self.candidate(slot, rank, &summary));
            }
        }
        choose_candidate(&candidates)
    }

    /// Decays the response counts of the ready endpoints and computes the values common to all of them.
    fn summarize(&mut self) -> ListSummary {
        let listed = self.endpoints.len();
        let mut available = 0;
        let mut total_responses = 0.0;
        let mut warm = WarmEndpoints::default();
        for position in 0..listed {
            let endpoint = self.endpoints.listed_mut(position);
            let responses = endpoint.capacity.responses.decay(self.now, RESPONSE_RATE_TIME_CONSTANT);
            total_responses += responses;
            if endpoint.is_available() {
                available += 1;
                if endpoint.is_warm(self.now, &self.settings.rules) {
                    warm.add(endpoint.entry.relative_capacity, responses);
                }
            }
        }
        // A surge of load or a network fault at this replica fails health checks at most endpoints.
        // Without the panic mode, the few remaining ones would be overloaded.
        let in_panic = f64::from(available) < PANIC_SHARE * listed as f64;
        let mean_responses = total_responses / listed.max(1) as f64;
        ListSummary {
            in_panic,
            ranked_endpoints: if in_panic { listed } else { available.max(1) as usize },
            warm,
            limits: CapacityLimits::new(self.settings, listed, mean_responses),
        }
    }

    /// Returns whether an endpoint is eligible for the attempt, apart from its slow start budget and
    /// capacity.
    fn may_receive(&self, slot: usize, is_usable: bool) -> bool {
        let endpoint = &self.endpoints[slot];
        // Overload counts even in panic mode: health may be wrong everywhere, but an endpoint that reports
        // overload is overloaded, and another attempt costs it a handshake.
        (is_usable || self.is_trial(endpoint))
            && !endpoint.capacity.is_overloaded(self.now)
            && !self.request.was_sent_to(slot)
            && self.is_in_scope(endpoint)
    }

    /// Returns whether the attempt may be the trial of an ejected endpoint. Trials are one at a time, and
    /// never a non-idempotent request, which could not be retried.
    fn is_trial(&self, endpoint: &Endpoint) -> bool {
        let idempotency = self.settings.classes[self.request.class].idempotency;
        idempotency != Idempotency::NonIdempotent
            && endpoint.health.is_healthy
            && endpoint.in_flight == 0
            && endpoint.outlier.is_trial_due(self.now)
    }

    fn is_in_scope(&self, endpoint: &Endpoint) -> bool {
        let Some((scope, origin)) = self.permit.scope else { return true };
        scope.is_shared_by(&self.endpoints[origin].entry, &endpoint.entry)
    }

    /// Returns the endpoint as a candidate if its slow start budget and its capacity allow the attempt.
    fn candidate(&mut self, slot: usize, rank: f64, summary: &ListSummary) -> Option<Candidate> {
        let fraction = self.endpoints[slot].slow_start_fraction(self.now, &self.settings.rules);
        let in_slow_start = fraction < 1.0;
        if in_slow_start && !self.slow_start_allows(slot, fraction, &summary.warm) {
            return None;
        }
        let endpoint = &self.endpoints[slot];
        // A slow start budget already counts fractions of an attempt, and only this replica can use it.
        let rank = if in_slow_start { 0.0 } else { rank };
        let responses = endpoint.capacity.responses.sum;
        // Retries need capacity too: they are most frequent when capacity is short, and would crowd out
        // requests that could still be answered in time.
        let is_retry = !self.request.attempts.is_empty();
        if !summary.limits.has_capacity(endpoint.in_flight, responses, rank, is_retry) {
            return None;
        }
        let is_local = endpoint.entry.zone == self.settings.zone;
        Some(Candidate {
            slot,
            in_flight: endpoint.in_flight,
            load: endpoint.load_with_one_more(self.now, self.settings.rules.poll_interval),
            // Not early in the slow start, when an attempt takes many times as long.
            is_prioritized: in_slow_start && is_local && fraction * USUAL_LATENCY_RATIO >= 1.0,
        })
    }

    fn slow_start_allows(&mut self, slot: usize, fraction: f64, warm: &WarmEndpoints) -> bool {
        let rules = &self.settings.rules;
        let window = rules.poll_interval as f64;
        let sent_work = self.sent_work.decay(self.now, window);
        let mean_sent_rate = sent_work / self.mean_work / window / self.endpoints.len() as f64;
        let endpoint = &mut self.endpoints[slot];
        let refill =
            BudgetRefill::new(warm, endpoint.entry.relative_capacity, fraction, mean_sent_rate, rules);
        endpoint.slow_start.allows(self.now, self.request.work / self.mean_work, &refill)
    }
}

/// Returns the slot of the first candidate whose load is close to the lowest, prioritized candidates
/// first, or of the least loaded candidate if there is none.
fn choose_candidate(candidates: &[Candidate]) -> Option<usize> {
    let lowest_in_flight = candidates.iter().map(|candidate| candidate.in_flight).min()?;
    let load_limit = f64::from(lowest_in_flight) + 1.0 + LOAD_ALLOWANCE;
    let preferred = candidates
        .iter()
        .filter(|candidate| candidate.load <= load_limit)
        .min_by_key(|candidate| !candidate.is_prioritized);
    let least_loaded = || candidates.iter().min_by(|a, b| a.load.total_cmp(&b.load));
    preferred.or_else(least_loaded).map(|candidate| candidate.slot)
}
