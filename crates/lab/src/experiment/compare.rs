//! Two sets of runs against each other, paired by scenario, cell and seed.

use super::bootstrap::{Bootstrap, Cluster, DRAWS, FEWEST, Interval};
use super::metrics::{Better, Measured, Metric};
use super::select::{SelectError, Selection};
use super::words::{figure, first_some, place_words, run_words};
use crate::results::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The level of an interval.
pub(super) const LEVEL: f64 = 0.95;

/// Feeds the bootstrap's chance: the same files give the same intervals.
pub(super) const SEED: u64 = 0x0011_7eca;

/// What two sets of runs come to against each other.
#[derive(Clone, Debug)]
pub struct Comparison {
    /// The first set, as it was asked for.
    pub a: String,
    /// The second.
    pub b: String,
    /// Pairs.
    pub pairs: usize,
    /// Seeds of those pairs.
    pub seeds: usize,
    /// Scenarios and cells of those pairs.
    pub places: Vec<String>,
    /// Runs without another to pair them with, and why.
    pub unpaired: Vec<String>,
    /// What is to be known before a figure is believed.
    pub notes: Vec<String>,
    /// By metric; empty without a pair.
    pub rows: Vec<Row>,
}

/// A metric's difference.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// The metric's name.
    pub metric: String,
    /// Which way is better.
    pub better: Better,
    /// Pairs in which both runs have the figure.
    pub pairs: usize,
    /// Mean over the first set's runs.
    pub a: f64,
    /// Mean over the second's.
    pub b: f64,
    /// Mean of the second's less the first's.
    pub difference: f64,
    /// 95% bootstrap interval of the difference; none: too few pairs.
    pub interval: Option<Interval>,
    /// What that says.
    pub verdict: Verdict,
}

/// Whether a difference is more than chance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Too few pairs to say.
    TooFew,
    /// No difference in any pair.
    Same,
    /// Chance alone may make such a difference.
    Chance,
    /// More than chance.
    More {
        /// The second set is the better one.
        better: bool,
        /// Still so when all metrics that were looked at are taken together (Bonferroni).
        together: bool,
    },
}

/// Why two sets cannot be compared.
#[derive(Debug, thiserror::Error)]
pub enum CompareError {
    /// A set cannot be read.
    #[error(transparent)]
    Select(#[from] SelectError),
    /// A set has several policies.
    #[error("{text}: has several policies; choose one, as in {file}:{first} (there are: {all})",
        file = .file, first = .all.split(',').next().unwrap_or_default())]
    Policies {
        /// The set.
        text: String,
        /// Its file.
        file: String,
        /// Its policies.
        all: String,
    },
    /// A set has several runs where the other has one.
    #[error("{text}: several runs fit one of the other set; choose among the values of {keys}")]
    Several {
        /// The set.
        text: String,
        /// Keys of the grid whose values are to be chosen from.
        keys: String,
    },
}

/// What is the same for both runs of a pair: scenario, cell as a text, seed.
type PairId = (String, String, u64);

struct Side {
    selection: Selection,
    runs: BTreeMap<PairId, Measured>,
    notes: Vec<String>,
}

fn side(selection: Selection, chosen: &BTreeSet<String>) -> Result<Side, CompareError> {
    let selected = selection.measured()?;
    let policies: BTreeSet<&str> = selected.runs.iter().map(|run| run.policy.as_str()).collect();
    if policies.len() > 1 {
        let all = policies.into_iter().collect::<Vec<_>>().join(", ");
        return Err(CompareError::Policies {
            text: selection.text,
            file: selection.file.display().to_string(),
            all,
        });
    }
    let mut runs = BTreeMap::new();
    for run in selected.runs {
        let rest: Cell = run.cell.iter().filter(|(key, _)| !chosen.contains(*key)).map(own).collect();
        let id = (run.scenario.clone(), serde_json::Value::from_iter(rest).to_string(), run.seed);
        if runs.insert(id, run).is_some() {
            let keys: Vec<String> = chosen.iter().cloned().collect();
            let keys = if keys.is_empty() { "scenario (two of one name)".into() } else { keys.join(", ") };
            return Err(CompareError::Several { text: selection.text, keys });
        }
    }
    Ok(Side { selection, runs, notes: selected.torn.iter().map(ToString::to_string).collect() })
}

fn own<K: Clone, V: Clone>((key, value): (&K, &V)) -> (K, V) {
    (key.clone(), value.clone())
}

/// Compares two sets of runs, each a choice as in [`super::select`].
///
/// Runs are paired by scenario, cell and seed, and need the same scenario digest; keys of the grid that a
/// choice names are left out of that, so that two cells of one sweep can be compared.
///
/// # Errors
/// A set cannot be read, or it is not clear which of its runs belongs to which of the other's.
pub fn compare(a: &str, b: &str) -> Result<Comparison, CompareError> {
    let (a, b) = (Selection::parse(a)?, Selection::parse(b)?);
    let chosen =
        |selection: &Selection| selection.filters.iter().map(|(key, _)| key.clone()).collect::<Vec<_>>();
    let chosen: BTreeSet<String> = [chosen(&a), chosen(&b)].into_iter().flatten().collect();
    let grid_key = |key: &String| key != "scenario" && key != "seed";
    let chosen: BTreeSet<String> = chosen.into_iter().filter(grid_key).collect();
    let (a, b) = (side(a, &chosen)?, side(b, &chosen)?);
    let (pairs, unpaired) = pair(&a, &b, chosen.is_empty());
    Ok(conclude(a, b, &pairs, unpaired))
}

struct Pair {
    place: String,
    seed: u64,
    a: Vec<Metric>,
    b: Vec<Metric>,
    unsound: bool,
    broke: [bool; 2],
}

/// Pairs, and the runs that have no other.
fn pair(a: &Side, b: &Side, same_scenario: bool) -> (Vec<Pair>, Vec<String>) {
    let (mut pairs, mut unpaired) = (Vec::new(), Vec::new());
    let words = |run: &Measured| run_words(&run.scenario, &run.cell, &run.policy, run.seed);
    for (id, one) in &a.runs {
        let Some(other) = b.runs.get(id) else {
            unpaired.push(format!("only in A: {}", words(one)));
            continue;
        };
        let (left, right) = match (&one.figures, &other.figures) {
            (Ok(left), Ok(right)) => (left, right),
            (Err(error), _) => {
                unpaired.push(format!("failed in A: {}: {error}", words(one)));
                continue;
            }
            (_, Err(error)) => {
                unpaired.push(format!("failed in B: {}: {error}", words(other)));
                continue;
            }
        };
        if same_scenario && one.scenario_digest != other.scenario_digest {
            let (left, right) = (&one.scenario_digest, &other.scenario_digest);
            unpaired.push(format!("not the same scenario in A ({left}) and B ({right}): {}", words(one)));
            continue;
        }
        pairs.push(Pair {
            place: place_words(&id.0, &one.cell),
            seed: id.2,
            a: left.clone(),
            b: right.clone(),
            unsound: one.unsound || other.unsound,
            broke: [one.broke_rules, other.broke_rules],
        });
    }
    let alone = b.runs.iter().filter(|(id, _)| !a.runs.contains_key(*id));
    unpaired.extend(alone.map(|(_, run)| format!("only in B: {}", words(run))));
    (pairs, unpaired)
}

fn conclude(a: Side, b: Side, pairs: &[Pair], unpaired: Vec<String>) -> Comparison {
    let mut notes = [a.notes, b.notes].concat();
    let unsound = pairs.iter().filter(|pair| pair.unsound).count();
    if unsound > 0 {
        let all = pairs.len();
        notes.push(format!(
            "{unsound} of {all} pairs hold a run marked unsound: nothing here is to be trusted"
        ));
    }
    for (name, side) in [("A", 0), ("B", 1)] {
        let broke = pairs.iter().filter(|pair| pair.broke[side]).count();
        if broke > 0 {
            notes.push(format!("{name} broke a rule in {broke} of {} runs", pairs.len()));
        }
    }
    let places: BTreeSet<&str> = pairs.iter().map(|pair| pair.place.as_str()).collect();
    Comparison {
        a: a.selection.text,
        b: b.selection.text,
        pairs: pairs.len(),
        seeds: pairs.iter().map(|pair| pair.seed).collect::<BTreeSet<_>>().len(),
        places: places.into_iter().map(str::to_owned).collect(),
        unpaired,
        notes,
        rows: rows(pairs),
    }
}

fn rows(pairs: &[Pair]) -> Vec<Row> {
    let mut metrics: Vec<(&str, Better)> = Vec::new();
    for metric in pairs.iter().flat_map(|pair| &pair.a) {
        if !metrics.iter().any(|(name, _)| *name == metric.name) {
            metrics.push((&metric.name, metric.better));
        }
    }
    let value = |metrics: &[Metric], name: &str| metrics.iter().find(|metric| metric.name == name)?.value;
    let values = metrics.into_iter().map(|(name, better)| {
        let both = |pair: &Pair| Some((pair.seed, value(&pair.a, name)?, value(&pair.b, name)?));
        (name, better, pairs.iter().filter_map(both).collect::<Vec<_>>())
    });
    let values: Vec<_> = values.filter(|(_, _, values)| !values.is_empty()).collect();
    let many = values.len();
    values.iter().filter_map(|(name, better, values)| row(name, *better, values, many)).collect()
}

fn row(name: &str, better: Better, values: &[(u64, f64, f64)], many: usize) -> Option<Row> {
    let differences = values.iter().map(|&(seed, a, b)| (seed, b - a));
    let drawn = Bootstrap::draw(&by_seed(differences), DRAWS, SEED)?;
    let interval = drawn.interval(LEVEL);
    let verdict = match interval {
        _ if values.iter().all(|(_, a, b)| a == b) => Verdict::Same,
        None => Verdict::TooFew,
        Some(interval) if interval.holds(0.0) => Verdict::Chance,
        Some(_) => Verdict::More {
            better: (drawn.mean() > 0.0) == (better == Better::More),
            together: drawn.interval(1.0 - (1.0 - LEVEL) / many as f64).is_some_and(|wide| !wide.holds(0.0)),
        },
    };
    let mean = |sum: f64| sum / values.len() as f64;
    Some(Row {
        metric: name.to_owned(),
        better,
        pairs: values.len(),
        a: mean(values.iter().map(|(_, a, _)| a).sum()),
        b: mean(values.iter().map(|(_, _, b)| b).sum()),
        difference: drawn.mean(),
        interval,
        verdict,
    })
}

/// Figures put together by seed, for drawing again.
pub(super) fn by_seed(values: impl Iterator<Item = (u64, f64)>) -> Vec<Cluster> {
    let mut seeds: BTreeMap<u64, Cluster> = BTreeMap::new();
    for (seed, value) in values {
        let cluster = seeds.entry(seed).or_default();
        cluster.sum += value;
        cluster.count += 1.0;
    }
    seeds.into_values().collect()
}

impl Row {
    /// A plain sentence about the difference.
    pub fn sentence(&self) -> String {
        let Row { metric, pairs, difference, .. } = self;
        let way = if *difference > 0.0 { "higher" } else { "lower" };
        let size = figure(difference.abs());
        let evidence = match self.interval {
            Some(Interval { low, high }) => {
                format!("95% interval {} to {}, {pairs} pairs", figure(low), figure(high))
            }
            None => format!("{pairs} pairs"),
        };
        match self.verdict {
            Verdict::Same => format!("{metric}: the same in all of {pairs} pairs."),
            Verdict::TooFew => {
                format!(
                    "{metric}: B is {way} by {size} ({evidence}): too few seeds to say whether by chance."
                )
            }
            Verdict::Chance => format!("{metric}: B is {way} by {size} ({evidence}): may well be chance."),
            Verdict::More { better, together } => {
                let better = if better { "better" } else { "worse" };
                let together = if together { "" } else { "; not if all metrics are taken together" };
                format!(
                    "{metric}: B is {way} by {size} ({evidence}): more than chance, and {better}{together}."
                )
            }
        }
    }
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Comparison { a, b, pairs, seeds, places, rows, .. } = self;
        writeln!(f, "A: {a}\nB: {b}")?;
        match pairs {
            0 => writeln!(f, "No pair: no run of A has the scenario, cell and seed of a run of B.")?,
            _ => writeln!(f, "{pairs} pairs of {seeds} seeds in: {}", first_some(places, 12).join("; "))?,
        }
        if *pairs > 0 && *seeds < FEWEST {
            writeln!(f, "Too few seeds to tell a difference from chance: it takes {FEWEST}, better 20.")?;
        }
        for note in &self.notes {
            writeln!(f, "Note: {note}.")?;
        }
        if !rows.is_empty() {
            writeln!(f, "\n| metric | A | B | B - A | 95% interval |\n|---|--:|--:|--:|--:|")?;
        }
        for row in rows {
            let interval = |at: Interval| format!("{} to {}", figure(at.low), figure(at.high));
            let interval = row.interval.map_or_else(String::new, interval);
            let figures = [row.a, row.b, row.difference].map(figure).join(" | ");
            writeln!(f, "| {} | {figures} | {interval} |", row.metric)?;
        }
        if !rows.is_empty() {
            writeln!(f)?;
        }
        for row in rows {
            writeln!(f, "{}", row.sentence())?;
        }
        if rows.len() > 1 {
            let by_chance = rows.len() as f64 * (1.0 - LEVEL);
            writeln!(
                f,
                "\n{} metrics were looked at: even without any difference, {by_chance:.1} of them would on \
                 average seem more than chance.",
                rows.len()
            )?;
        }
        if !self.unpaired.is_empty() {
            writeln!(f, "\n{} runs have no pair and are left out:", self.unpaired.len())?;
        }
        for run in first_some(&self.unpaired, 20) {
            writeln!(f, "  {run}")?;
        }
        Ok(())
    }
}
