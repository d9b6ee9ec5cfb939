//! A sweep's folder: the plan, a manifest that says whose it is, and the results.

use super::grid::Job;
use super::plan::Plan;
use super::sweep::SweepError;
use crate::results::LINE_SCHEMA;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// The results' file in a sweep's folder.
pub(super) const RESULTS: &str = "results.jsonl";
const PLAN: &str = "plan.toml";
const MANIFEST: &str = "manifest.json";

/// Whose a folder is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Manifest {
    /// Version of the lines in the results: [`LINE_SCHEMA`].
    pub schema: u32,
    /// The plan's name.
    pub plan: String,
    /// The build's revision.
    pub revision: String,
    /// How many runs there are to be.
    pub runs: usize,
    /// Hash of all runs: cell, scenario, policy, seed.
    pub runs_digest: String,
    /// Scenarios by name, and a hash of each over its cells.
    pub scenarios: BTreeMap<String, String>,
}

impl Manifest {
    pub fn new(plan: &Plan, jobs: &[Job], revision: String) -> Manifest {
        let mut all = Xxh3::new();
        let mut each: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
        for job in jobs {
            let scenario =
                format!("{} {}\n", job.scenario.digest(), serde_json::Value::from_iter((*job.cell).clone()));
            all.update(format!("{} {} {scenario}", job.policy, job.seed).as_bytes());
            each.entry(job.scenario.name.clone()).or_default().insert(scenario);
        }
        let hex = |hash: u64| format!("{hash:016x}");
        let cells = |cells: BTreeSet<String>| hex(xxh3_64(String::from_iter(cells).as_bytes()));
        Manifest {
            schema: LINE_SCHEMA,
            plan: plan.name.clone(),
            revision,
            runs: jobs.len(),
            runs_digest: hex(all.digest()),
            scenarios: each.into_iter().map(|(name, its)| (name, cells(its))).collect(),
        }
    }

    /// Why this manifest's runs and another's may not stand in one file; none: they are the same.
    fn differs(&self, new: &Manifest) -> Option<String> {
        if self.plan != new.plan {
            return Some(format!("it belongs to the plan {:?}, not to {:?}", self.plan, new.plan));
        }
        if self.schema != new.schema {
            return Some(format!("its lines have schema version {}, not {}", self.schema, new.schema));
        }
        if self.revision != new.revision {
            let (old, new) = (&self.revision, &new.revision);
            return Some(format!("it was begun by the build {old}, and this is {new}"));
        }
        let changed = |(name, digest): &(&String, &String)| self.scenarios.get(*name) != Some(digest);
        if self.runs_digest != new.runs_digest {
            let changed: Vec<&str> =
                new.scenarios.iter().filter(changed).map(|(name, _)| name.as_str()).collect();
            return Some(match changed.is_empty() {
                true => format!("it belongs to another plan of the name {:?}", self.plan),
                false => format!("the plan or these scenarios have changed since: {}", changed.join(", ")),
            });
        }
        None
    }
}

/// Makes the folder, or goes on with one that was begun for the same runs. True: it was there.
pub(super) fn open(folder: &Path, plan: &Plan, manifest: &Manifest) -> Result<bool, SweepError> {
    fs::create_dir_all(folder).map_err(|error| SweepError::Io(folder.to_owned(), error))?;
    let path = folder.join(MANIFEST);
    let foreign = |why: String| SweepError::Foreign { folder: folder.to_owned(), why };
    match fs::read_to_string(&path) {
        Ok(text) => {
            let old: Manifest = serde_json::from_str(&text)
                .map_err(|error| foreign(format!("{}: {error}", path.display())))?;
            match old.differs(manifest) {
                Some(why) => Err(foreign(why)),
                None => Ok(true),
            }
        }
        Err(error) if error.kind() == io::ErrorKind::NotFound => {
            if folder.join(RESULTS).exists() {
                return Err(foreign(format!("it has {RESULTS}, but no {MANIFEST} that says whose")));
            }
            write(&folder.join(PLAN), plan.text.as_bytes())?;
            let text = serde_json::to_string_pretty(manifest).map_err(|error| foreign(error.to_string()))?;
            write(&path, format!("{text}\n").as_bytes())?;
            Ok(false)
        }
        Err(error) => Err(SweepError::Io(path, error)),
    }
}

/// Writes a file so that it is there whole or not at all.
fn write(path: &PathBuf, bytes: &[u8]) -> Result<(), SweepError> {
    let new = path.with_extension("new");
    let written = fs::File::create(&new)
        .and_then(|mut file| file.write_all(bytes).and_then(|()| file.sync_all()))
        .and_then(|()| fs::rename(&new, path));
    written.map_err(|error| SweepError::Io(path.clone(), error))
}
