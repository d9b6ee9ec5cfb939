//! Selects the endpoint for an attempt.
//!
//! The method is that of FAS (Fault Avoidance Service; `docs/design.md`): the first endpoint in this
//! replica's order of preference that is available and not loaded too much over the least loaded one; where
//! all are, the least loaded. Health, ejection, overload, capacity and slow start decide which endpoints are
//! eligible. The balancer calls it once for each attempt. Nothing changes but averages that decay and the
//! slow start budgets, which are refilled.

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

/// Attempts that an endpoint of ordinary speed may hold above the lowest count before it is skipped. Under
/// one: at full size a replica holds few attempts, and a second one on a favourite is worse than an idle
/// endpoint.
const LOAD_ALLOWANCE: f64 = 0.4;
/// Below this share of available endpoints the fault is ours or everybody's: health and ejections are ignored
/// (the "panic threshold" of other balancers).
const PANIC_SHARE: f64 = 1.0 / 3.0;

/// One selection: what it reads, and the two averages that it decays.
pub(crate) struct EndpointSelection<'a> {
    pub(crate) now: Nanos,
    pub(crate) settings: &'a Settings,
    pub(crate) endpoints: &'a mut EndpointList,
    /// Work that was sent, decayed over the poll interval, in nanoseconds.
    pub(crate) sent_work: &'a mut DecayingSum,
    /// Mean work of an attempt, in nanoseconds.
    pub(crate) mean_work: f64,
    pub(crate) request: &'a InFlightRequest,
    pub(crate) permit: &'a AttemptPermit,
}

/// What is the same for all endpoints of one selection.
struct ListSummary {
    /// Health and ejections are ignored.
    in_panic: bool,
    /// How many endpoints the ranks count.
    ranked: usize,
    warm: WarmEndpoints,
    limits: CapacityLimits,
}

/// An endpoint that may get the attempt.
struct Candidate {
    slot: usize,
    in_flight: u32,
    /// See [`Endpoint::load_with_one_more`].
    load: f64,
    /// Its slow start budget would go unused if the attempt went elsewhere.
    goes_first: bool,
}

impl EndpointSelection<'_> {
    /// The slot of the endpoint; none where no endpoint may get the attempt now.
    pub(crate) fn select(mut self) -> Option<usize> {
        let summary = self.summarize();
        let mut candidates = Vec::with_capacity(self.endpoints.len());
        let mut endpoints_before = 0;
        for position in 0..self.endpoints.len() {
            let slot = self.endpoints.slots()[position];
            let rank = f64::from(endpoints_before) / summary.ranked as f64;
            let is_usable = summary.in_panic || self.endpoints[slot].is_available();
            endpoints_before += u32::from(is_usable);
            if self.may_receive(slot, is_usable) {
                candidates.extend(self.candidate(slot, rank, &summary));
            }
        }
        choose(&candidates)
    }

    /// Brings the rates of responses up to date, and takes stock of the listed endpoints.
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
        // Danger: a surge or our own isolation fails health checks everywhere, and the survivors drown.
        let in_panic = f64::from(available) < PANIC_SHARE * listed as f64;
        let mean_responses = total_responses / listed.max(1) as f64;
        ListSummary {
            in_panic,
            ranked: if in_panic { listed } else { available.max(1) as usize },
            warm,
            limits: CapacityLimits::new(self.settings, listed, mean_responses),
        }
    }

    /// Whether an endpoint may get the attempt if it has capacity.
    fn may_receive(&self, slot: usize, is_usable: bool) -> bool {
        let endpoint = &self.endpoints[slot];
        // Danger: health may be wrong everywhere, but who says it is overloaded is; an attempt there costs it
        // a handshake.
        (is_usable || self.is_trial(endpoint))
            && !endpoint.capacity.is_overloaded(self.now)
            && !self.request.was_sent_to(slot)
            && self.is_in_scope(endpoint)
    }

    /// A trial of an ejected endpoint is one attempt at a time, and never one that would be lost for good.
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

    /// The endpoint as a candidate, if its slow start budget and its capacity allow the attempt.
    fn candidate(&mut self, slot: usize, rank: f64, summary: &ListSummary) -> Option<Candidate> {
        let fraction = self.endpoints[slot].slow_start_fraction(self.now, &self.settings.rules);
        let in_slow_start = fraction < 1.0;
        if in_slow_start && !self.slow_start_allows(slot, fraction, &summary.warm) {
            return None;
        }
        let endpoint = &self.endpoints[slot];
        // A slow start budget is in parts of an attempt already, and has to be used by the replica that has
        // it.
        let rank = if in_slow_start { 0.0 } else { rank };
        let responses = endpoint.capacity.responses.sum;
        // Danger: retries are many just where there is no capacity, and crowd out what would be in time.
        let is_retry = !self.request.attempts.is_empty();
        if !summary.limits.has_capacity(endpoint.in_flight, responses, rank, is_retry) {
            return None;
        }
        let is_local = endpoint.entry.zone == self.settings.zone;
        Some(Candidate {
            slot,
            in_flight: endpoint.in_flight,
            load: endpoint.load_with_one_more(self.now, self.settings.rules.poll_interval),
            // Danger: at first an attempt takes many times as long there.
            goes_first: in_slow_start && is_local && fraction * USUAL_LATENCY_RATIO >= 1.0,
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

/// The first candidate whose load is about the lowest, those that go first before the others; else the least
/// loaded.
fn choose(candidates: &[Candidate]) -> Option<usize> {
    let lowest_in_flight = candidates.iter().map(|candidate| candidate.in_flight).min()?;
    let load_limit = f64::from(lowest_in_flight) + 1.0 + LOAD_ALLOWANCE;
    let preferred = candidates
        .iter()
        .filter(|candidate| candidate.load <= load_limit)
        .min_by_key(|candidate| !candidate.goes_first);
    let least_loaded = || candidates.iter().min_by(|a, b| a.load.total_cmp(&b.load));
    preferred.or_else(least_loaded).map(|candidate| candidate.slot)
}
