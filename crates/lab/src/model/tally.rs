//! Counts of a run, one set a thread. Only whole numbers: what they add up to does not depend on the order.

use super::message::Verdict;
use super::world::{NOBODY, WORTH, World};
use crate::run::result::{Group, Latency, Second, Totals};
use hdrhistogram::Histogram;
use olivecart_decisions::Nanos;
use std::collections::BTreeMap;

const SECOND: Nanos = 1_000_000_000;
/// Seconds of a window for the worst of them.
const WINDOW: usize = 10;

/// The end of a client's request.
pub struct End {
    /// Its class.
    pub class: u16,
    /// Its tenant.
    pub tenant: u16,
    /// When its first try came.
    pub arrived: Nanos,
    /// How long it took from then.
    pub took: Nanos,
    /// How it ended.
    pub verdict: Verdict,
    /// It was answered within its aim, if it was answered.
    pub in_time: bool,
    /// Worth asked for, in millionths.
    pub asked: u64,
    /// Worth served.
    pub served: u64,
    /// It was beyond its tenant's share.
    pub over_share: bool,
}

#[derive(Clone, Default)]
struct Sums {
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

impl Sums {
    fn end(&mut self, end: &End) {
        self.offered += 1;
        match end.verdict {
            Verdict::Served(_) if end.in_time => self.in_time += 1,
            Verdict::Served(_) => self.late += 1,
            Verdict::Refused(_) => self.refused += 1,
            Verdict::Failed | Verdict::Unreachable => self.failed += 1,
        }
        self.asked += end.asked;
        self.served += end.served;
        if matches!(end.verdict, Verdict::Served(_)) {
            self.took += end.took;
        }
    }

    fn add(&mut self, other: &Sums) {
        let Sums { offered, in_time, late, refused, failed, asked, served, attempts, attempts_all, took } =
            other;
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

/// A sum with a histogram of latencies, in microseconds.
#[derive(Clone)]
struct Measured(Sums, Histogram<u64>);

impl Measured {
    fn new() -> Measured {
        // Three digits, of any range; the constructor refuses more than five alone.
        let histogram = Histogram::new(3).unwrap_or_else(|_| unreachable!("3 <= 5"));
        Measured(Sums::default(), histogram)
    }

    fn end(&mut self, end: &End) {
        self.0.end(end);
        if matches!(end.verdict, Verdict::Served(_)) {
            _ = self.1.record((end.took / 1000).max(1)); // it grows as it must
        }
    }

    fn add(&mut self, other: &Measured) {
        self.0.add(&other.0);
        _ = self.1.add(&other.1); // of the same bounds
    }

    fn latency(&self) -> Latency {
        let at = |percentile| self.1.value_at_percentile(percentile) as f64 / 1e3;
        let count = self.1.len();
        if count == 0 {
            return Latency::default();
        }
        Latency {
            count,
            mean_ms: self.0.took as f64 / count as f64 / 1e6,
            p50_ms: at(50.0),
            p90_ms: at(90.0),
            p99_ms: at(99.0),
            p999_ms: at(99.9),
            max_ms: self.1.max() as f64 / 1e3,
        }
    }

    fn group(&self, name: &str) -> Group {
        Group {
            name: name.into(),
            offered: self.0.offered,
            goodput: ratio(self.0.served, self.0.asked),
            refused: self.0.refused,
            failed: self.0.failed,
            latency: self.latency(),
        }
    }
}

fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { part as f64 / whole as f64 }
}

/// Counts of one thread, or of all.
pub struct Tally {
    warmup: Nanos,
    classes: Vec<Measured>,
    tenants: Vec<Measured>,
    seconds: Vec<Measured>,
    client_retries: u64,
    probes: u64,
    useful: u64,
    second_effects: u64,
    cold: Vec<(Nanos, String, String)>,
    violations: BTreeMap<&'static str, u64>,
}

impl Tally {
    /// Nothing yet.
    pub fn new(world: &World) -> Tally {
        let scenario = &world.scenario;
        let seconds = scenario.length.nanos().div_ceil(SECOND) as usize;
        let measured = |n| vec![Measured::new(); n];
        Tally {
            warmup: scenario.warmup.nanos(),
            classes: measured(scenario.class.len()),
            tenants: measured(scenario.tenant.len()),
            seconds: measured(seconds),
            client_retries: 0,
            probes: 0,
            useful: 0,
            second_effects: 0,
            cold: Vec::new(),
            violations: BTreeMap::new(),
        }
    }

    fn second(&mut self, at: Nanos) -> Option<&mut Measured> {
        self.seconds.get_mut((at / SECOND) as usize)
    }

    /// A client's request has ended.
    pub fn ended(&mut self, end: &End) {
        if let Some(second) = self.second(end.arrived) {
            second.end(end);
        }
        if end.arrived < self.warmup {
            return;
        }
        self.classes[end.class as usize].end(end);
        if end.tenant != NOBODY && !end.over_share {
            self.tenants[end.tenant as usize].end(end);
        }
    }

    /// An attempt was sent to a tier.
    pub fn attempt(&mut self, at: Nanos, tier: u8) {
        if let Some(second) = self.second(at) {
            second.0.attempts += u64::from(tier == 0);
            second.0.attempts_all += 1;
        }
    }

    /// A probe was sent.
    pub fn probe(&mut self, at: Nanos) {
        self.probes += u64::from(at >= self.warmup);
    }

    /// A client tries again.
    pub fn client_retry(&mut self, at: Nanos) {
        self.client_retries += u64::from(at >= self.warmup);
    }

    /// So much work was done for an answer that a client got.
    pub fn useful(&mut self, work: u64) {
        self.useful += work;
    }

    /// An effect took place twice.
    pub fn second_effect(&mut self) {
        self.second_effects += 1;
    }

    /// A cold server was pushed over.
    pub fn cold_breach(&mut self, at: Nanos, proxy: String, what: String) {
        self.cold.push((at, proxy, what));
    }

    /// Something that must hold in the model does not.
    pub fn violation(&mut self, what: &'static str) {
        debug_assert!(false, "{what}");
        *self.violations.entry(what).or_default() += 1;
    }

    /// Adds what another thread counted.
    pub fn add(&mut self, other: &Tally) {
        let each = |mine: &mut [Measured], theirs: &[Measured]| {
            mine.iter_mut().zip(theirs).for_each(|(a, b)| a.add(b));
        };
        each(&mut self.classes, &other.classes);
        each(&mut self.tenants, &other.tenants);
        each(&mut self.seconds, &other.seconds);
        self.client_retries += other.client_retries;
        self.probes += other.probes;
        self.useful += other.useful;
        self.second_effects += other.second_effects;
        self.cold.extend(other.cold.iter().cloned());
        other.violations.iter().for_each(|(what, n)| *self.violations.entry(what).or_default() += n);
    }

    /// Cold servers that were pushed over, in time order.
    pub fn cold_breaches(&self) -> Vec<(Nanos, String, String)> {
        let mut all = self.cold.clone();
        all.sort();
        all
    }

    /// What did not hold in the model itself.
    pub fn violations(&self) -> Vec<String> {
        self.violations.iter().map(|(what, times)| format!("{what} ({times} times)")).collect()
    }

    /// Totals after the warm-up; `work` is all that servers did, in nanoseconds.
    pub fn totals(&self, work: u64) -> Totals {
        let mut sums = Sums::default();
        self.classes.iter().for_each(|c| sums.add(&c.0));
        let warm = (self.warmup / SECOND) as usize;
        let counted = self.seconds.iter().skip(warm);
        let attempts: u64 = counted.clone().map(|s| s.0.attempts).sum();
        Totals {
            offered: sums.offered,
            in_time: sums.in_time,
            late: sums.late,
            refused: sums.refused,
            failed: sums.failed,
            worth_asked: sums.asked as f64 / WORTH,
            worth_served: sums.served as f64 / WORTH,
            goodput: ratio(sums.served, sums.asked),
            client_retries: self.client_retries,
            attempts,
            attempts_all_tiers: counted.map(|s| s.0.attempts_all).sum(),
            attempts_per_request: ratio(attempts, sums.offered),
            probes: self.probes,
            wasted_work: if work == 0 { 0.0 } else { 1.0 - ratio(self.useful.min(work), work) },
            second_effects: self.second_effects,
            ..Totals::default()
        }
    }

    /// Goodput of the worst window of ten seconds after the warm-up; of all, where there are fewer.
    pub fn worst_window(&self) -> f64 {
        let counted = &self.seconds[((self.warmup / SECOND) as usize).min(self.seconds.len())..];
        let goodput = |w: &[Measured]| {
            let (served, asked) = (w.iter().map(|s| s.0.served).sum(), w.iter().map(|s| s.0.asked).sum());
            if asked == 0 { 1.0 } else { ratio(served, asked) }
        };
        counted.windows(WINDOW.min(counted.len().max(1))).map(goodput).fold(1.0, f64::min)
    }

    /// By class, with the classes' names.
    pub fn classes(&self, world: &World) -> Vec<Group> {
        self.classes.iter().zip(&world.scenario.class).map(|(m, c)| m.group(&c.name)).collect()
    }

    /// By tenant.
    pub fn tenants(&self, world: &World) -> Vec<Group> {
        self.tenants.iter().zip(&world.scenario.tenant).map(|(m, t)| m.group(&t.name)).collect()
    }

    /// By second.
    pub fn seconds(&self) -> Vec<Second> {
        let second = |m: &Measured| {
            let latency = m.latency();
            Second {
                offered: m.0.offered,
                in_time: m.0.in_time,
                late: m.0.late,
                refused: m.0.refused,
                failed: m.0.failed,
                worth_asked: m.0.asked as f64 / WORTH,
                worth_served: m.0.served as f64 / WORTH,
                attempts: m.0.attempts,
                attempts_all_tiers: m.0.attempts_all,
                p50_ms: latency.p50_ms,
                p99_ms: latency.p99_ms,
            }
        };
        self.seconds.iter().map(second).collect()
    }
}
