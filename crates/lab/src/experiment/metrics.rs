//! The figures by which runs are compared.

use crate::results::{Cell, Entry, Outcome};
use crate::run_result::{RunResult, Server};
use std::collections::BTreeMap;

/// Which way is better.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Better {
    /// More is.
    More,
    /// Less is.
    Less,
}

/// A figure of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Metric {
    /// Its name, with its unit where it has one.
    pub name: String,
    /// Which way is better.
    pub better: Better,
    /// The figure; none: the run has no such thing, as a percentile of nothing.
    pub value: Option<f64>,
}

/// The name of the metric that winners are chosen by unless another is asked for.
pub const GOODPUT: &str = "goodput";

/// All figures of a run, always in the same order.
pub fn of(run: &RunResult) -> Vec<Metric> {
    use Better::{Less, More};
    let totals = &run.totals;
    let plain = |name: &str, better, value| Metric { name: name.into(), better, value: Some(value) };
    let refused = (totals.offered > 0).then(|| totals.refused as f64 / totals.offered as f64);
    let mut metrics = vec![
        plain(GOODPUT, More, totals.goodput),
        plain("worst window", More, run.worst_window),
        plain("attempts per request", Less, totals.attempts_per_request),
        Metric { name: "refused share".into(), better: Less, value: refused },
    ];
    for class in &run.classes {
        let value = (class.latency.count > 0).then_some(class.latency.p99_ms);
        metrics.push(Metric { name: format!("p99 of {}, ms", class.name), better: Less, value });
    }
    metrics.extend([
        plain("wasted work", Less, totals.wasted_work),
        plain("probes", Less, totals.probes as f64),
        plain("connections per server", Less, totals.connections_per_server),
        Metric { name: "greatest over mean server load".into(), better: Less, value: spread(&run.servers) },
    ]);
    metrics
}

/// The greatest utilization of a server over the mean of its tier's, of the tier where that is worst.
pub fn spread(servers: &[Server]) -> Option<f64> {
    let mut tiers: BTreeMap<&str, (f64, f64, f64)> = BTreeMap::new();
    for server in servers {
        let (greatest, sum, count) = tiers.entry(&server.tier).or_default();
        *greatest = greatest.max(server.utilization);
        *sum += server.utilization;
        *count += 1.0;
    }
    let loaded = tiers.into_values().filter(|(_, sum, _)| *sum > 0.0);
    loaded.map(|(greatest, sum, count)| greatest * count / sum).reduce(f64::max)
}

/// A run without its bulk: what tells it apart, its figures, and what is to be said about it.
#[derive(Clone, Debug, PartialEq)]
pub struct Measured {
    /// The line in its file.
    pub line: usize,
    /// The scenario's name.
    pub scenario: String,
    /// The scenario's hash.
    pub scenario_digest: String,
    /// Where in a grid.
    pub cell: Cell,
    /// The policy.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// Hash of the run's events.
    pub digest: String,
    /// Its figures, or why it could not be played.
    pub figures: Result<Vec<Metric>, String>,
    /// Its figures are not to be trusted.
    pub unsound: bool,
    /// It broke a rule.
    pub broke_rules: bool,
}

impl Measured {
    /// Of a line.
    pub fn of(line: usize, entry: Entry) -> Measured {
        let cell = entry.cell;
        match entry.outcome {
            Outcome::Played(run) => Measured {
                line,
                figures: Ok(of(&run)),
                unsound: !run.unsound.is_empty(),
                broke_rules: !run.breaches.is_empty(),
                scenario: run.scenario,
                scenario_digest: run.scenario_digest,
                cell,
                policy: run.policy,
                seed: run.seed,
                digest: run.digest,
            },
            Outcome::Failed(run) => Measured {
                line,
                figures: Err(run.error),
                unsound: false,
                broke_rules: false,
                scenario: run.scenario,
                scenario_digest: run.scenario_digest,
                cell,
                policy: run.policy,
                seed: run.seed,
                digest: String::new(),
            },
        }
    }
}
