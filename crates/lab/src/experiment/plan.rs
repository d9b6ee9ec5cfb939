//! Plans of sweeps: TOML files.
//!
//! ```toml
//! version = 1
//! name = "load"
//! about = "How much load each policy bears."
//! scenarios = ["../calm.toml"]            # relative to the plan
//! policies = ["olivecart", "random"]
//! seeds = 10                              # 1 to 10; or a list: [3, 5, 8]
//! [grid]                                  # may be left out
//! "clients.load" = [0.5, 0.8, 0.95]
//! "tier[0].servers" = [50, 100]
//! ```
//!
//! Every scenario is played with every policy, in every cell of the grid, with each of the seeds: the same
//! seeds everywhere, so that any two runs that differ in one thing alone can be paired.

use super::key_path::KeyPath;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};
use toml::{Spanned, Value};

/// The version of the format that this build reads.
pub const VERSION: u32 = 1;

/// Most runs of a sweep.
pub const MOST_RUNS: usize = 1_000_000;

/// Something in a plan, and its line.
#[derive(Clone, Debug, PartialEq)]
pub struct At<T> {
    /// The thing.
    pub value: T,
    /// The line, from 1.
    pub line: usize,
}

/// A parameter of a grid.
#[derive(Clone, Debug)]
pub struct Axis {
    /// Which key of the scenario.
    pub key: KeyPath,
    /// Its values, no two of them equal.
    pub values: Vec<Value>,
    /// Where the plan says so.
    pub line: usize,
}

/// A checked plan. That its scenarios and policies exist is not yet known.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The file.
    pub file: PathBuf,
    /// Its text.
    pub text: String,
    /// Its name.
    pub name: String,
    /// What it is for, one sentence.
    pub about: String,
    /// Scenario files, relative to the process, not to the plan.
    pub scenarios: Vec<At<PathBuf>>,
    /// Policies by name.
    pub policies: Vec<At<String>>,
    /// Seeds.
    pub seeds: Vec<u64>,
    /// Parameters, in the order of their keys.
    pub grid: Vec<Axis>,
}

/// Something wrong with a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The plan's file.
    pub file: PathBuf,
    /// The line, from 1.
    pub line: usize,
    /// The key; empty where the file is no TOML.
    pub key: String,
    /// What is wrong, and what would be right.
    pub what: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}:{}: ", self.file.display(), self.line)?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.what)
    }
}

/// Why there is no plan.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// A file cannot be read.
    #[error("{file}: {error}", file = .0.display(), error = .1)]
    Unreadable(PathBuf, io::Error),
    /// The plan is wrong.
    #[error("{}", .0.iter().map(Finding::to_string).collect::<Vec<_>>().join("\n"))]
    Wrong(Vec<Finding>),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    version: Spanned<u32>,
    name: Spanned<String>,
    #[serde(default)]
    about: String,
    scenarios: Spanned<Vec<Spanned<String>>>,
    policies: Spanned<Vec<Spanned<String>>>,
    seeds: Spanned<Value>,
    #[serde(default)]
    grid: BTreeMap<Spanned<String>, Spanned<Value>>,
}

/// Collects what is wrong, so that one reading tells of everything.
pub(super) struct Findings<'a> {
    file: &'a Path,
    text: &'a str,
    found: Vec<Finding>,
}

impl<'a> Findings<'a> {
    pub(super) fn new(file: &'a Path, text: &'a str) -> Findings<'a> {
        Findings { file, text, found: Vec::new() }
    }

    fn line_at(&self, offset: usize) -> usize {
        1 + self.text.as_bytes().iter().take(offset).filter(|&&byte| byte == b'\n').count()
    }

    fn line<T>(&self, place: &Spanned<T>) -> usize {
        self.line_at(place.span().start)
    }

    pub(super) fn add(&mut self, line: usize, key: impl Into<String>, what: impl Into<String>) {
        let (file, key, what) = (self.file.to_owned(), key.into(), what.into());
        self.found.push(Finding { file, line, key, what });
    }

    pub(super) fn any(&self) -> bool {
        !self.found.is_empty()
    }

    pub(super) fn into_error(mut self) -> PlanError {
        self.found.sort_by_key(|finding| finding.line);
        PlanError::Wrong(self.found)
    }
}

/// Reads and checks a plan.
///
/// # Errors
/// Everything that is wrong with it, each with line and key.
pub fn read(file: &Path) -> Result<Plan, PlanError> {
    let text = std::fs::read_to_string(file);
    let text = text.map_err(|error| PlanError::Unreadable(file.to_owned(), error))?;
    parse(file, text)
}

/// The same for a text that is there already; `file` is for messages, and for what paths are relative to.
///
/// # Errors
/// As for [`read`].
pub fn parse(file: &Path, text: String) -> Result<Plan, PlanError> {
    let mut findings = Findings::new(file, &text);
    let raw: Raw = match toml::from_str(&text) {
        Ok(raw) => raw,
        Err(error) => {
            let line = findings.line_at(error.span().map_or(0, |span| span.start));
            findings.add(line, "", error.message());
            return Err(findings.into_error());
        }
    };
    if *raw.version.get_ref() != VERSION {
        let what = format!("{} is not a version that this build reads: {VERSION}", raw.version.get_ref());
        findings.add(findings.line(&raw.version), "version", what);
    }
    if raw.name.get_ref().trim().is_empty() {
        findings.add(findings.line(&raw.name), "name", "is empty; results are kept under it");
    }
    let folder = file.parent().unwrap_or(Path::new(""));
    let scenarios = names(&mut findings, "scenarios", &raw.scenarios);
    let scenarios =
        scenarios.into_iter().map(|at| At { value: folder.join(at.value), line: at.line }).collect();
    let policies = names(&mut findings, "policies", &raw.policies);
    let seeds = seeds(&mut findings, &raw.seeds);
    let grid = grid(&mut findings, &raw.grid);
    if findings.any() {
        return Err(findings.into_error());
    }
    let name = raw.name.into_inner();
    Ok(Plan { file: file.to_owned(), name, about: raw.about, scenarios, policies, seeds, grid, text })
}

fn names(findings: &mut Findings, key: &str, list: &Spanned<Vec<Spanned<String>>>) -> Vec<At<String>> {
    if list.get_ref().is_empty() {
        findings.add(findings.line(list), key, "is empty; it takes at least one");
    }
    let mut names: Vec<At<String>> = Vec::new();
    for name in list.get_ref() {
        let (line, value) = (findings.line(name), name.get_ref().clone());
        if names.iter().any(|other| other.value == value) {
            findings.add(line, key, format!("{value:?} is there twice"));
        }
        names.push(At { value, line });
    }
    names
}

fn seeds(findings: &mut Findings, given: &Spanned<Value>) -> Vec<u64> {
    let line = findings.line(given);
    let mut seeds = Vec::new();
    match given.get_ref() {
        Value::Integer(count) if (1..=MOST_RUNS as i64).contains(count) => seeds.extend(1..=*count as u64),
        Value::Integer(count) => {
            findings.add(line, "seeds", format!("{count} is no number of seeds: 1 to {MOST_RUNS}"));
        }
        Value::Array(list) if !list.is_empty() => {
            for seed in list {
                match seed.as_integer().and_then(|seed| u64::try_from(seed).ok()) {
                    Some(seed) if seeds.contains(&seed) => {
                        findings.add(line, "seeds", format!("{seed} is there twice"));
                    }
                    Some(seed) => seeds.push(seed),
                    None => findings.add(line, "seeds", format!("{seed} is no seed: a whole number from 0")),
                }
            }
        }
        _ => findings.add(line, "seeds", "takes a number of seeds, as in 10, or a list, as in [3, 5, 8]"),
    }
    seeds
}

fn grid(findings: &mut Findings, given: &BTreeMap<Spanned<String>, Spanned<Value>>) -> Vec<Axis> {
    let mut grid: Vec<Axis> = Vec::new();
    for (key, values) in given {
        let (line, name) = (findings.line(key), key.get_ref());
        if let Value::Table(table) = values.get_ref() {
            let inner = table.keys().next().map_or("", String::as_str);
            let what =
                format!("is a table, not a list of values; put the whole path in quotes: \"{name}.{inner}\"");
            findings.add(line, name, what);
            continue;
        }
        let path = match KeyPath::parse(name).and_then(|path| path.check().map(|()| path)) {
            Ok(path) => path,
            Err(error) => {
                findings.add(line, name, error.to_string());
                continue;
            }
        };
        for other in &grid {
            if other.key.holds(&path) || path.holds(&other.key) {
                findings.add(line, name, format!("one of this and {} is a part of the other", other.key));
            }
        }
        grid.push(Axis { key: path, values: axis_values(findings, line, name, values.get_ref()), line });
    }
    grid
}

fn axis_values(findings: &mut Findings, line: usize, key: &str, values: &Value) -> Vec<Value> {
    let Some(values) = values.as_array().filter(|values| !values.is_empty()) else {
        findings.add(line, key, "takes a list of at least one value");
        return Vec::new();
    };
    for (at, value) in values.iter().enumerate() {
        // Results carry the values as JSON, which has neither.
        if value.as_float().is_some_and(|value| !value.is_finite()) {
            findings.add(line, key, format!("{value} is no value for a parameter"));
        }
        if values[..at].contains(value) {
            findings.add(line, key, format!("{value} is there twice"));
        }
    }
    values.clone()
}
