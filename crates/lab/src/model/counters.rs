//! The counters of a run, one set per thread, and the figures of the result that are derived from them. Sums
//! are integers, so that they do not depend on the order of addition.

use super::message::RequestOutcome;
use super::topology::{NO_TENANT, Topology, WORTH_SCALE};
use crate::run_result::{Group, Latency, Second, Totals};
use hdrhistogram::Histogram;
use olivecart_decisions::Nanos;
use std::collections::BTreeMap;

const SECOND: Nanos = 1_000_000_000;
/// The length of the window whose lowest goodput is reported.
const WORST_WINDOW_SECONDS: usize = 10;

/// A client's request that has ended.
pub struct CompletedRequest {
    /// The class of the request.
    pub class: u16,
    /// The tenant of the request.
    pub tenant: u16,
    /// The arrival time of its first attempt.
    pub arrived: Nanos,
    /// The duration from its arrival to its end.
    pub took: Nanos,
    /// The outcome of the request.
    pub outcome: RequestOutcome,
    /// Whether it ended within its latency objective.
    pub in_time: bool,
    /// The worth of the request, in millionths.
    pub asked: u64,
    /// The worth that was served, in millionths.
    pub served: u64,
    /// Whether it exceeded its tenant's share.
    pub over_share: bool,
}

#[derive(Clone, Default)]
struct RequestSums {
    offered: u64,
    in_time: u64,
    late: u64,
    refused: u64,
    failed: u64,
    asked: u64,
    served: u64,
    attempts: u64,
    attempts_all: u64,
    took: u64,
}

impl RequestSums {
    fn add_request(&mut self, request: &CompletedRequest) {
        self.offered += 1;
        match request.outcome {
            RequestOutcome::Served(_) if request.in_time => self.in_time += 1,
            RequestOutcome::Served(_) => self.late += 1,
            RequestOutcome::Refused(_) => self.refused += 1,
            RequestOutcome::Failed | RequestOutcome::Unreachable => self.failed += 1,
        }
        self.asked += request.asked;
        self.served += request.served;
        if matches!(request.outcome, RequestOutcome::Served(_)) {
            self.took += request.took;
        }
    }

    fn add(&mut self, other: &RequestSums) {
        let RequestSums {
            offered,
            in_time,
            late,
            refused,
            failed,
            asked,
            served,
            attempts,
            attempts_all,
            took,
        } = other;
        self.offered += offered;
        self.in_time += in_time;
        self.late += late;
        self.refused += refused;
        self.failed += failed;
        self.asked += asked;
        self.served += served;
        self.attempts += attempts;
        self.attempts_all += attempts_all;
        self.took += took;
    }
}

/// Sums over requests, with a histogram of latencies in microseconds.
#[derive(Clone)]
struct Measured {
    sums: RequestSums,
    /// The latencies of served requests.
    latencies: Histogram<u64>,
}

impl Measured {
    fn new() -> Measured {
        // Three significant digits and an automatic range: the constructor rejects only more than five
        // digits.
        let histogram = Histogram::new(3).unwrap_or_else(|_| unreachable!("3 <= 5"));
        Measured { sums: RequestSums::default(), latencies: histogram }
    }

    fn add_request(&mut self, request: &CompletedRequest) {
        self.sums.add_request(request);
        if matches!(request.outcome, RequestOutcome::Served(_)) {
            // The histogram grows as needed, so this cannot fail.
            _ = self.latencies.record((request.took / 1000).max(1));
        }
    }

    fn add(&mut self, other: &Measured) {
        self.sums.add(&other.sums);
        // Both have the same precision, so this cannot fail.
        _ = self.latencies.add(&other.latencies);
    }

    fn latency(&self) -> Latency {
        let percentile_ms = |percentile| self.latencies.value_at_percentile(percentile) as f64 / 1e3;
        let count = self.latencies.len();
        if count == 0 {
            return Latency::default();
        }
        Latency {
            count,
            mean_ms: self.sums.took as f64 / count as f64 / 1e6,
            p50_ms: percentile_ms(50.0),
            p90_ms: percentile_ms(90.0),
            p99_ms: percentile_ms(99.0),
            p999_ms: percentile_ms(99.9),
            max_ms: self.latencies.max() as f64 / 1e3,
        }
    }

    fn group(&self, name: &str) -> Group {
        Group {
            name: name.into(),
            offered: self.sums.offered,
            goodput: ratio(self.sums.served, self.sums.asked),
            refused: self.sums.refused,
            failed: self.sums.failed,
            latency: self.latency(),
        }
    }
}

fn add_each(own: &mut [Measured], others: &[Measured]) {
    for (own, other) in own.iter_mut().zip(others) {
        own.add(other);
    }
}

/// The goodput over several seconds; 1 if there were no requests.
fn goodput(seconds: &[Measured]) -> f64 {
    let served = seconds.iter().map(|second| second.sums.served).sum();
    let asked = seconds.iter().map(|second| second.sums.asked).sum();
    if asked == 0 { 1.0 } else { ratio(served, asked) }
}

fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { part as f64 / whole as f64 }
}

/// The counters of one thread, or the merged counters of all threads.
pub struct Counters {
    warmup: Nanos,
    classes: Vec<Measured>,
    tenants: Vec<Measured>,
    seconds: Vec<Measured>,
    client_retries: u64,
    probes: u64,
    useful_work: u64,
    second_effects: u64,
    cold_breaches: Vec<(Nanos, String, String)>,
    violations: BTreeMap<&'static str, u64>,
}

impl Counters {
    /// Creates counters at zero.
    pub fn new(topology: &Topology) -> Counters {
        let scenario = &topology.scenario;
        let seconds = scenario.length.nanos().div_ceil(SECOND) as usize;
        let measured = |count| vec![Measured::new(); count];
        Counters {
            warmup: scenario.warmup.nanos(),
            classes: measured(scenario.class.len()),
            tenants: measured(scenario.tenant.len()),
            seconds: measured(seconds),
            client_retries: 0,
            probes: 0,
            useful_work: 0,
            second_effects: 0,
            cold_breaches: Vec::new(),
            violations: BTreeMap::new(),
        }
    }

    fn second(&mut self, at: Nanos) -> Option<&mut Measured> {
        self.seconds.get_mut((at / SECOND) as usize)
    }

    /// Counts a client's request that has ended.
    pub fn request_completed(&mut self, request: &CompletedRequest) {
        if let Some(second) = self.second(request.arrived) {
            second.add_request(request);
        }
        if request.arrived < self.warmup {
            return;
        }
        self.classes[request.class as usize].add_request(request);
        if request.tenant != NO_TENANT && !request.over_share {
            self.tenants[request.tenant as usize].add_request(request);
        }
    }

    /// Counts an attempt sent to a tier.
    pub fn attempt_sent(&mut self, at: Nanos, tier: u8) {
        if let Some(second) = self.second(at) {
            second.sums.attempts += u64::from(tier == 0);
            second.sums.attempts_all += 1;
        }
    }

    /// Counts a health check sent.
    pub fn health_check_sent(&mut self, at: Nanos) {
        self.probes += u64::from(at >= self.warmup);
    }

    /// Counts a retry by a client.
    pub fn client_retry(&mut self, at: Nanos) {
        self.client_retries += u64::from(at >= self.warmup);
    }

    /// Adds the work done for a response that a client received.
    pub fn add_useful_work(&mut self, work: u64) {
        self.useful_work += work;
    }

    /// Counts a request whose effect took place twice.
    pub fn second_effect_detected(&mut self) {
        self.second_effects += 1;
    }

    /// Records that a cold server was overloaded.
    pub fn cold_server_overloaded(&mut self, at: Nanos, proxy: String, what: String) {
        self.cold_breaches.push((at, proxy, what));
    }

    /// Records that an invariant of the model was violated.
    pub fn record_violation(&mut self, what: &'static str) {
        debug_assert!(false, "{what}");
        *self.violations.entry(what).or_default() += 1;
    }

    /// Adds another thread's counters.
    pub fn add(&mut self, other: &Counters) {
        add_each(&mut self.classes, &other.classes);
        add_each(&mut self.tenants, &other.tenants);
        add_each(&mut self.seconds, &other.seconds);
        self.client_retries += other.client_retries;
        self.probes += other.probes;
        self.useful_work += other.useful_work;
        self.second_effects += other.second_effects;
        self.cold_breaches.extend(other.cold_breaches.iter().cloned());
        for (what, count) in &other.violations {
            *self.violations.entry(what).or_default() += count;
        }
    }

    /// The overloads of cold servers, in order of time.
    pub fn cold_breaches(&self) -> Vec<(Nanos, String, String)> {
        let mut all = self.cold_breaches.clone();
        all.sort();
        all
    }

    /// The invariants of the model that were violated, with the number of violations.
    pub fn violations(&self) -> Vec<String> {
        self.violations.iter().map(|(what, times)| format!("{what} ({times} times)")).collect()
    }

    /// The totals after the warm-up; `work` is the work done by all servers, in nanoseconds.
    pub fn totals(&self, work: u64) -> Totals {
        let mut sums = RequestSums::default();
        for class in &self.classes {
            sums.add(&class.sums);
        }
        let after_warmup = self.seconds_after_warmup();
        let attempts = after_warmup.iter().map(|second| second.sums.attempts).sum();
        let attempts_all_tiers = after_warmup.iter().map(|second| second.sums.attempts_all).sum();
        Totals {
            offered: sums.offered,
            in_time: sums.in_time,
            late: sums.late,
            refused: sums.refused,
            failed: sums.failed,
            worth_asked: sums.asked as f64 / WORTH_SCALE,
            worth_served: sums.served as f64 / WORTH_SCALE,
            goodput: ratio(sums.served, sums.asked),
            client_retries: self.client_retries,
            attempts,
            attempts_all_tiers,
            attempts_per_request: ratio(attempts, sums.offered),
            probes: self.probes,
            wasted_work: if work == 0 { 0.0 } else { 1.0 - ratio(self.useful_work.min(work), work) },
            second_effects: self.second_effects,
            ..Totals::default()
        }
    }

    /// The lowest goodput of any window of ten seconds after the warm-up, or of the whole time if it is
    /// shorter.
    pub fn worst_window(&self) -> f64 {
        let counted = self.seconds_after_warmup();
        let length = WORST_WINDOW_SECONDS.min(counted.len().max(1));
        counted.windows(length).map(goodput).fold(1.0, f64::min)
    }

    fn seconds_after_warmup(&self) -> &[Measured] {
        let warmup_seconds = (self.warmup / SECOND) as usize;
        &self.seconds[warmup_seconds.min(self.seconds.len())..]
    }

    /// The figures of each class.
    pub fn classes(&self, topology: &Topology) -> Vec<Group> {
        self.classes
            .iter()
            .zip(&topology.scenario.class)
            .map(|(measured, class)| measured.group(&class.name))
            .collect()
    }

    /// The figures of each tenant.
    pub fn tenants(&self, topology: &Topology) -> Vec<Group> {
        self.tenants
            .iter()
            .zip(&topology.scenario.tenant)
            .map(|(measured, tenant)| measured.group(&tenant.name))
            .collect()
    }

    /// The figures of each second.
    pub fn seconds(&self) -> Vec<Second> {
        let second = |second: &Measured| {
            let latency = second.latency();
            Second {
                offered: second.sums.offered,
                in_time: second.sums.in_time,
                late: second.sums.late,
                refused: second.sums.refused,
                failed: second.sums.failed,
                worth_asked: second.sums.asked as f64 / WORTH_SCALE,
                worth_served: second.sums.served as f64 / WORTH_SCALE,
                attempts: second.sums.attempts,
                attempts_all_tiers: second.sums.attempts_all,
                p50_ms: latency.p50_ms,
                p99_ms: latency.p99_ms,
            }
        };
        self.seconds.iter().map(second).collect()
    }
}
