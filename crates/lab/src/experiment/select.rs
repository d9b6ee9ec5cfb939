//! Choosing runs from files: `FILE`, `FILE:POLICY`, `FILE:POLICY:KEY=VALUE`.
//!
//! `FILE` is a file of results or a sweep's folder. `KEY` is `scenario`, `seed`, or a key of the grid, such
//! as `clients.load`; there may be several.

use super::folder::RESULTS;
use super::metrics::Measured;
use super::words::run_words;
use crate::results::{Entry, Outcome, Reader, ResultsError, Torn};
use olivecart_config::document::nearest;
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

/// A choice of runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Selection {
    /// As it was written.
    pub text: String,
    /// The file.
    pub file: PathBuf,
    /// Only this policy.
    pub policy: Option<String>,
    /// Only runs where these have these values.
    pub filters: Vec<(String, String)>,
}

/// Why there are no runs to choose.
#[derive(Debug, thiserror::Error)]
pub enum SelectError {
    /// There is no such file.
    #[error("{0}: no such file of results or folder of a sweep")]
    NoFile(String),
    /// A part of the choice is not understood.
    #[error("{text}: {part:?} is neither a policy nor KEY=VALUE")]
    Part {
        /// The choice.
        text: String,
        /// The part.
        part: String,
    },
    /// The file cannot be used.
    #[error(transparent)]
    Results(#[from] ResultsError),
    /// Nothing is chosen.
    #[error("{text}: no run has {what}; there are: {known}")]
    Nothing {
        /// The choice.
        text: String,
        /// What no run has.
        what: String,
        /// What runs have instead.
        known: String,
    },
    /// The file has no runs at all.
    #[error("{0}: there is no run in it")]
    Empty(String),
    /// Two different results of one run.
    #[error("{file}: lines {first} and {second} hold two different results of one run: {run}",
        file = .file.display())]
    Twice {
        /// The file.
        file: PathBuf,
        /// One line.
        first: usize,
        /// The other.
        second: usize,
        /// The run.
        run: String,
    },
}

/// The file that a path means: of a sweep's folder, its results.
fn results_file(path: &Path) -> Option<PathBuf> {
    if path.is_file() {
        return Some(path.to_owned());
    }
    Some(path.join(RESULTS)).filter(|inner| inner.is_file())
}

fn value_words(value: &serde_json::Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

/// The value of a run's key, as a filter may ask for it.
fn value_of(entry: &Entry, key: &str) -> Option<String> {
    let (scenario, seed) = match &entry.outcome {
        Outcome::Played(run) => (&run.scenario, run.seed),
        Outcome::Failed(run) => (&run.scenario, run.seed),
    };
    match key {
        "scenario" => Some(scenario.clone()),
        "seed" => Some(seed.to_string()),
        _ => entry.cell.get(key).map(value_words),
    }
}

fn policy_of(entry: &Entry) -> &str {
    match &entry.outcome {
        Outcome::Played(run) => &run.policy,
        Outcome::Failed(run) => &run.policy,
    }
}

/// Equal as texts or as numbers: `0.50` means 0.5.
fn same_value(found: &str, wanted: &str) -> bool {
    found == wanted || matches!((found.parse::<f64>(), wanted.parse::<f64>()), (Ok(a), Ok(b)) if a == b)
}

impl Selection {
    /// Reads a choice. The longest beginning that is a file or folder is taken for it, so that names with a
    /// colon work.
    ///
    /// # Errors
    /// There is no such file, or what follows it is not understood.
    pub fn parse(text: &str) -> Result<Selection, SelectError> {
        let (file, rest) = split_file(text).ok_or_else(|| SelectError::NoFile(text.to_owned()))?;
        let mut selection = Selection { text: text.to_owned(), file, policy: None, filters: Vec::new() };
        for part in rest.split(':').filter(|part| !part.is_empty()) {
            match part.split_once('=') {
                Some((key, value)) => selection.filters.push((key.to_owned(), value.to_owned())),
                None if selection.policy.is_none() => selection.policy = Some(part.to_owned()),
                None => {
                    return Err(SelectError::Part { text: text.to_owned(), part: part.to_owned() });
                }
            }
        }
        Ok(selection)
    }

    fn takes(&self, entry: &Entry) -> bool {
        let matches = |(key, value): &(String, String)| {
            value_of(entry, key).is_some_and(|found| same_value(&found, value))
        };
        self.policy.as_deref().is_none_or(|policy| policy == policy_of(entry))
            && self.filters.iter().all(matches)
    }

    /// Reads the file and hands over each line that is chosen, with its number.
    ///
    /// # Errors
    /// The file cannot be used, or nothing in it is chosen.
    pub fn each(&self, mut take: impl FnMut(usize, Entry)) -> Result<Option<Torn>, SelectError> {
        let mut reader = Reader::open(&self.file)?;
        let (mut any, mut taken) = (false, false);
        let mut policies = BTreeSet::new();
        let mut values: Vec<BTreeSet<String>> = vec![BTreeSet::new(); self.filters.len()];
        for entry in reader.by_ref() {
            let (line, entry) = entry?;
            any = true;
            policies.insert(policy_of(&entry).to_owned());
            for ((key, _), values) in self.filters.iter().zip(&mut values) {
                values.extend(value_of(&entry, key));
            }
            if self.takes(&entry) {
                taken = true;
                take(line, entry);
            }
        }
        if !any {
            return Err(SelectError::Empty(self.file.display().to_string()));
        }
        if !taken {
            return Err(self.nothing(policies, &values));
        }
        Ok(reader.torn().cloned())
    }

    fn nothing(&self, policies: BTreeSet<String>, values: &[BTreeSet<String>]) -> SelectError {
        let list = |known: &BTreeSet<String>| known.iter().cloned().collect::<Vec<_>>().join(", ");
        let text = self.text.clone();
        if let Some(policy) = self.policy.as_deref().filter(|policy| !policies.contains(*policy)) {
            let close = nearest(policy, policies.iter().map(String::as_str));
            let meant = close.map_or_else(String::new, |close| format!(" (did you mean {close}?)"));
            let known = list(&policies);
            return SelectError::Nothing { text, what: format!("the policy {policy:?}{meant}"), known };
        }
        for ((key, value), known) in self.filters.iter().zip(values) {
            if !known.iter().any(|found| same_value(found, value)) {
                let known = if known.is_empty() { "none with that key".into() } else { list(known) };
                return SelectError::Nothing { text, what: format!("{key}={value}"), known };
            }
        }
        SelectError::Nothing {
            text,
            what: "all of this together".into(),
            known: "runs with a part of it".into(),
        }
    }

    /// The chosen runs without their bulk, in the order of the file.
    ///
    /// # Errors
    /// As for [`Selection::each`], or two lines hold different results of one run.
    pub fn measured(&self) -> Result<Selected, SelectError> {
        let mut runs: BTreeMap<(String, String, String, u64), Measured> = BTreeMap::new();
        let mut twice = None;
        let torn = self.each(|line, entry| {
            let run = Measured::of(line, entry);
            let cell = serde_json::Value::from_iter(run.cell.clone()).to_string();
            let id = (run.scenario_digest.clone(), cell, run.policy.clone(), run.seed);
            match runs.get(&id) {
                // Played at last, or failed again.
                Some(old) if old.figures.is_err() => {}
                Some(old) if old.digest == run.digest => return,
                Some(old) if run.figures.is_ok() => {
                    let name = run_words(&run.scenario, &run.cell, &run.policy, run.seed);
                    twice.get_or_insert((old.line, line, name));
                    return;
                }
                Some(_) => return,
                None => {}
            }
            runs.insert(id, run);
        })?;
        if let Some((first, second, run)) = twice {
            return Err(SelectError::Twice { file: self.file.clone(), first, second, run });
        }
        let mut runs: Vec<Measured> = runs.into_values().collect();
        runs.sort_by_key(|run| run.line);
        Ok(Selected { runs, torn })
    }
}

/// The longest beginning of a text, up to a colon or its end, that is a file, and what comes after.
fn split_file(text: &str) -> Option<(PathBuf, &str)> {
    let mut ends: Vec<usize> = text.match_indices(':').map(|(at, _)| at).collect();
    ends.push(text.len());
    ends.into_iter().rev().find_map(|end| Some((results_file(Path::new(&text[..end]))?, &text[end..])))
}

/// Chosen runs.
#[derive(Clone, Debug)]
pub struct Selected {
    /// The runs.
    pub runs: Vec<Measured>,
    /// A torn last line of the file, left out.
    pub torn: Option<Torn>,
}
