//! Which policy wins which scenario: a table from one sweep, in Markdown.

use super::bootstrap::{Bootstrap, DRAWS, FEWEST, Interval};
use super::compare::{LEVEL, SEED, by_seed};
use super::metrics::{Better, GOODPUT, Measured};
use super::select::{SelectError, Selection};
use super::words::{figure, order, place_words};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// How winners are chosen.
#[derive(Clone, Debug)]
pub struct Rules {
    /// The metric, as [`super::metrics`] names it.
    pub metric: String,
    /// Policies that are shown but cannot win, since they see what no proxy can.
    pub aside: Vec<String>,
}

impl Default for Rules {
    fn default() -> Self {
        Rules { metric: GOODPUT.into(), aside: vec!["oracle".into()] }
    }
}

/// Which policy wins which scenario.
#[derive(Clone, Debug)]
pub struct Winners {
    /// The metric.
    pub metric: String,
    /// Which way is better.
    pub better: Better,
    /// Policies by name, those that cannot win last.
    pub policies: Vec<String>,
    /// Of those, the ones that cannot win.
    pub aside: Vec<String>,
    /// By scenario and cell.
    pub rows: Vec<Row>,
    /// What is to be known before a figure is believed.
    pub notes: Vec<String>,
}

/// A scenario, in one cell.
#[derive(Clone, Debug)]
pub struct Row {
    /// Its name and cell.
    pub place: String,
    /// By policy, in the order of [`Winners::policies`]; none: it has no run here.
    pub standings: Vec<Option<Standing>>,
    /// Who wins.
    pub winner: Winner,
}

/// A policy in a scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Standing {
    /// Mean over its runs.
    pub mean: f64,
    /// 95% interval of that mean; none: too few seeds.
    pub interval: Option<Interval>,
    /// Its runs.
    pub runs: usize,
    /// Of those, runs that broke a rule.
    pub broke_rules: usize,
}

/// Who wins a scenario.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Winner {
    /// One policy, by more than chance against each other one.
    One(String),
    /// The first has the best mean; the others' difference to it may be chance.
    Tied(Vec<String>),
    /// There are too few seeds to say.
    TooFew,
    /// Less than two policies have runs.
    Alone,
}

/// Why there is no table.
#[derive(Debug, thiserror::Error)]
pub enum WinnersError {
    /// The runs cannot be read.
    #[error(transparent)]
    Select(#[from] SelectError),
    /// No run has such a figure.
    #[error("there is no metric {metric:?}; there are: {known}")]
    NoMetric {
        /// What was asked for.
        metric: String,
        /// What runs have.
        known: String,
    },
}

type Values = BTreeMap<u64, f64>;

/// Which policy wins which scenario, from a choice of runs as in [`super::select`].
///
/// The policy with the best mean wins where the paired difference to each of the others is more than chance,
/// at 95% for all these comparisons of a row together (Bonferroni).
///
/// # Errors
/// The runs cannot be read, or have no such metric.
pub fn winners(runs: &str, rules: &Rules) -> Result<Winners, WinnersError> {
    let selected = Selection::parse(runs)?.measured()?;
    let runs = &selected.runs;
    let metric = |run: &Measured| {
        let mut metrics = run.figures.iter().flatten();
        metrics.find(|metric| metric.name == rules.metric).cloned()
    };
    let Some(found) = runs.iter().find_map(metric) else {
        let names =
            runs.iter().flat_map(|run| run.figures.iter().flatten()).map(|metric| metric.name.as_str());
        let known = names.collect::<BTreeSet<_>>().into_iter().collect::<Vec<_>>().join(", ");
        return Err(WinnersError::NoMetric { metric: rules.metric.clone(), known });
    };
    let value = |run: &Measured| metric(run).and_then(|metric| metric.value);
    let mut policies: Vec<String> = runs.iter().map(|run| run.policy.clone()).collect();
    policies.sort_by_key(|policy| (rules.aside.contains(policy), policy.clone()));
    policies.dedup();
    let rows = places(runs).into_iter().map(|(place, here)| {
        let values = policies.iter().map(|policy| {
            let its = here.iter().filter(|run| run.policy == *policy);
            its.filter_map(|run| Some((run.seed, value(run)?))).collect::<Values>()
        });
        let values: Vec<Values> = values.collect();
        let standings = policies.iter().zip(&values).map(|(policy, values)| {
            let broke = |run: &&&Measured| run.policy == *policy && run.broke_rules;
            standing(values, here.iter().filter(broke).count())
        });
        let standings = standings.collect();
        let winner = winner(&policies, &values, &rules.aside, found.better);
        Row { place, standings, winner }
    });
    let rows = rows.collect();
    let mut notes: Vec<String> = selected.torn.iter().map(ToString::to_string).collect();
    let failed = runs.iter().filter(|run| run.figures.is_err()).count();
    let unsound = runs.iter().filter(|run| run.unsound).count();
    let counted =
        [(failed, "runs could not be played and are left out"), (unsound, "runs are marked unsound")];
    notes.extend(
        counted.into_iter().filter(|(count, _)| *count > 0).map(|(count, what)| format!("{count} {what}")),
    );
    let aside = policies.iter().filter(|policy| rules.aside.contains(policy)).cloned().collect();
    Ok(Winners { metric: found.name, better: found.better, policies, aside, rows, notes })
}

/// Scenarios, in their cells, with their runs.
fn places(runs: &[Measured]) -> Vec<(String, Vec<&Measured>)> {
    let mut sorted: Vec<&Measured> = runs.iter().collect();
    sorted.sort_by(|a, b| {
        let cells = || order(&a.cell, &b.cell).then_with(|| a.scenario_digest.cmp(&b.scenario_digest));
        a.scenario.cmp(&b.scenario).then_with(cells)
    });
    let places = sorted.chunk_by(|a, b| a.scenario_digest == b.scenario_digest);
    places.map(|here| (place_words(&here[0].scenario, &here[0].cell), here.to_vec())).collect()
}

fn standing(values: &Values, broke_rules: usize) -> Option<Standing> {
    let drawn = Bootstrap::draw(&by_seed(values.iter().map(|(&seed, &value)| (seed, value))), DRAWS, SEED)?;
    Some(Standing { mean: drawn.mean(), interval: drawn.interval(LEVEL), runs: values.len(), broke_rules })
}

fn winner(policies: &[String], values: &[Values], aside: &[String], better: Better) -> Winner {
    let sign = if better == Better::More { 1.0 } else { -1.0 };
    let mean = |values: &Values| sign * values.values().sum::<f64>() / values.len() as f64;
    let runners = policies.iter().zip(values);
    let mut runners: Vec<_> =
        runners.filter(|(policy, values)| !values.is_empty() && !aside.contains(policy)).collect();
    // Stable: of equal means the first by name comes first.
    runners.sort_by(|(_, a), (_, b)| mean(b).total_cmp(&mean(a)));
    let [(best, first), others @ ..] = &runners[..] else { return Winner::Alone };
    if others.is_empty() {
        return Winner::Alone;
    }
    let level = 1.0 - (1.0 - LEVEL) / others.len() as f64;
    let mut tied = vec![(*best).clone()];
    for (policy, values) in others {
        let ahead = first.iter().filter_map(|(seed, one)| Some((*seed, sign * (one - values.get(seed)?))));
        let interval = Bootstrap::draw(&by_seed(ahead), DRAWS, SEED).and_then(|drawn| drawn.interval(level));
        match interval {
            None => return Winner::TooFew,
            Some(interval) if interval.low > 0.0 => {}
            Some(_) => tied.push((*policy).clone()),
        }
    }
    if tied.len() == 1 { Winner::One(tied.remove(0)) } else { Winner::Tied(tied) }
}

impl fmt::Display for Winner {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Winner::One(policy) => f.write_str(policy),
            Winner::Tied(policies) => write!(f, "not told apart: {}", policies.join(", ")),
            Winner::TooFew => write!(f, "too few seeds to say: it takes {FEWEST}"),
            Winner::Alone => f.write_str("nobody to compare with"),
        }
    }
}

impl Standing {
    fn words(&self) -> String {
        let mut words = figure(self.mean);
        if let Some(Interval { low, high }) = self.interval {
            words += &format!(" [{}, {}]", figure(low), figure(high));
        }
        if self.broke_rules > 0 {
            words += &format!(" †{}/{}", self.broke_rules, self.runs);
        }
        words
    }
}

/// A Markdown table.
impl fmt::Display for Winners {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let plain = |text: &str| text.replace('|', "\\|");
        let way = if self.better == Better::More { "more" } else { "less" };
        writeln!(f, "{} ({way} is better): mean over seeds [95% interval]\n", self.metric)?;
        let names = self.policies.iter().map(|policy| match self.aside.contains(policy) {
            true => format!("*{}*", plain(policy)),
            false => plain(policy),
        });
        writeln!(f, "| scenario | {} | wins |", names.collect::<Vec<_>>().join(" | "))?;
        writeln!(f, "|---|{}---|", "---|".repeat(self.policies.len()))?;
        for row in &self.rows {
            write!(f, "| {} |", plain(&row.place))?;
            for (policy, standing) in self.policies.iter().zip(&row.standings) {
                let words = standing.as_ref().map_or_else(|| "-".to_owned(), Standing::words);
                match &row.winner {
                    Winner::One(winner) if winner == policy => write!(f, " **{words}** |")?,
                    _ => write!(f, " {words} |")?,
                }
            }
            writeln!(f, " {} |", plain(&row.winner.to_string()))?;
        }
        if !self.aside.is_empty() {
            writeln!(f, "\n*{}* sees what no proxy can, and cannot win.", self.aside.join("*, *"))?;
        }
        let broke = |standing: &Standing| standing.broke_rules > 0;
        if self.rows.iter().flat_map(|row| row.standings.iter().flatten()).any(broke) {
            writeln!(f, "\n† k/n: broke a rule in k of n runs.")?;
        }
        for note in &self.notes {
            writeln!(f, "\nNote: {note}.")?;
        }
        Ok(())
    }
}
