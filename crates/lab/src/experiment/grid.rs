//! A plan's runs: every scenario in every cell, read and checked before the first run begins.

use super::plan::{At, Axis, Findings, MOST_RUNS, Plan, PlanError};
use super::player::Player;
use crate::results::{Cell, RunId, cell_words};
use crate::scenario::{Checked, Scenario};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use toml_edit::DocumentMut;

/// A run to be played.
#[derive(Clone)]
pub(super) struct Job {
    pub cell: Arc<Cell>,
    pub scenario: Arc<Checked>,
    pub policy: Arc<str>,
    pub seed: u64,
}

impl Job {
    pub fn id(&self) -> RunId {
        (self.scenario.digest().to_owned(), self.policy.to_string(), self.seed)
    }
}

/// A scenario in one cell.
struct Made {
    cell: Arc<Cell>,
    scenario: Arc<Checked>,
}

/// All runs of a plan. Seeds vary slowest: a sweep that was cut short has whole cells to compare.
pub(super) fn jobs(plan: &Plan, player: &dyn Player) -> Result<Vec<Job>, PlanError> {
    let mut findings = Findings::new(&plan.file, &plan.text);
    for policy in &plan.policies {
        if let Err(error) = player.check_policy(&policy.value) {
            findings.add(policy.line, "policies", error);
        }
    }
    let axes = plan.grid.iter().map(|axis| axis.values.len());
    let rest = [plan.scenarios.len(), plan.policies.len(), plan.seeds.len()];
    let runs = axes.chain(rest).try_fold(1, usize::checked_mul);
    if runs.is_none_or(|runs| runs > MOST_RUNS) {
        let line = plan.grid.first().map_or(1, |axis| axis.line);
        findings.add(
            line,
            "grid",
            format!("scenarios, cells, policies and seeds make over {MOST_RUNS} runs"),
        );
        return Err(findings.into_error());
    }
    let made = scenarios(plan, &mut findings);
    if findings.any() {
        return Err(findings.into_error());
    }
    let policies: Vec<Arc<str>> = plan.policies.iter().map(|policy| policy.value.as_str().into()).collect();
    let mut jobs = Vec::new();
    for &seed in &plan.seeds {
        for Made { cell, scenario } in &made {
            for policy in &policies {
                let (cell, scenario, policy) = (cell.clone(), scenario.clone(), policy.clone());
                jobs.push(Job { cell, scenario, policy, seed });
            }
        }
    }
    Ok(jobs)
}

fn scenarios(plan: &Plan, findings: &mut Findings) -> Vec<Made> {
    let mut made = Vec::new();
    let mut names: BTreeMap<String, &Path> = BTreeMap::new();
    for At { value: file, line } in &plan.scenarios {
        let text = match std::fs::read_to_string(file) {
            Ok(text) => text,
            Err(error) => {
                findings.add(*line, "scenarios", format!("{}: {error}", file.display()));
                continue;
            }
        };
        // Once as it stands: what is wrong with the file itself is not the grid's fault.
        let scenario = match Scenario::parse(&file.display().to_string(), &text) {
            Ok(scenario) => scenario,
            Err(error) => {
                findings.add(*line, "scenarios", error.to_string().trim_end());
                continue;
            }
        };
        if let Some(other) = names.insert(scenario.name.clone(), file) {
            let (file, other, name) = (file.display(), other.display(), &scenario.name);
            findings.add(*line, "scenarios", format!("{file} and {other} both have the name {name:?}"));
        }
        for choice in cells(&plan.grid) {
            match in_cell(file, &text, &plan.grid, &choice) {
                Ok(one) => made.push((file.as_path(), one)),
                Err((line, key, what)) => findings.add(line, key, what),
            }
        }
    }
    same_twice(plan, &made, findings);
    made.into_iter().map(|(_, made)| made).collect()
}

/// Every cell of a grid, as the place of its value on each axis. The last axis varies fastest; a grid without
/// axes has one cell.
fn cells(grid: &[Axis]) -> Vec<Vec<usize>> {
    let mut cells = vec![Vec::new()];
    for axis in grid {
        let longer = cells.iter().flat_map(|cell: &Vec<usize>| {
            (0..axis.values.len()).map(move |at| cell.iter().copied().chain([at]).collect())
        });
        cells = longer.collect();
    }
    cells
}

type Complaint = (usize, String, String);

/// A scenario with a cell's values in place of its own.
fn in_cell(file: &Path, text: &str, grid: &[Axis], choice: &[usize]) -> Result<Made, Complaint> {
    let mut cell = Cell::new();
    let mut changed = text.to_owned();
    if !grid.is_empty() {
        let tree = text.parse::<DocumentMut>();
        let mut tree = tree.map_err(|error| (grid[0].line, String::new(), error.to_string()))?;
        for (axis, &at) in grid.iter().zip(choice) {
            let complain = |what: String| (axis.line, axis.key.to_string(), what);
            let value = &axis.values[at];
            let json = serde_json::to_value(value).map_err(|error| complain(error.to_string()))?;
            cell.insert(axis.key.to_string(), json);
            let value = value.to_string().parse::<toml_edit::Value>();
            let value = value.map_err(|error| complain(error.to_string()))?;
            let set = axis.key.set(&mut tree, value);
            set.map_err(|error| complain(format!("{}: {error}", file.display())))?;
        }
        changed = tree.to_string();
    }
    match Scenario::parse(&file.display().to_string(), &changed) {
        Ok(scenario) => Ok(Made { cell: Arc::new(cell), scenario: Arc::new(scenario) }),
        Err(error) => {
            // Of several keys at fault one line is as good as another; the values are in the words.
            let line = grid.first().map_or(1, |axis| axis.line);
            Err((
                line,
                "grid".into(),
                format!("with {}: {}", cell_words(&cell), error.to_string().trim_end()),
            ))
        }
    }
}

/// Danger: runs are told apart by their scenario's digest. Two cells with the same one would be taken for one
/// run, and the second never be played.
fn same_twice(plan: &Plan, made: &[(&Path, Made)], findings: &mut Findings) {
    let mut seen: BTreeMap<&str, &(&Path, Made)> = BTreeMap::new();
    for one in made {
        if let Some(other) = seen.insert(one.1.scenario.digest(), one) {
            let words = |(file, made): &(&Path, Made)| match made.cell.is_empty() {
                true => file.display().to_string(),
                false => format!("{} with {}", file.display(), cell_words(&made.cell)),
            };
            let line = plan.grid.first().map_or(1, |axis| axis.line);
            findings.add(line, "grid", format!("{} and {} make the same scenario", words(other), words(one)));
        }
    }
}
