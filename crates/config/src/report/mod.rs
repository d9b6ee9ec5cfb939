//! What is found: codes, places, words; and how it is told to people and programs.

mod codes;
mod json;
mod sarif;
mod text;

pub use codes::{CODES, Code, Severity, code};
pub use json::json;
pub use sarif::sarif;
pub use text::text;

use crate::document::Place;
use serde::Serialize;
use std::collections::BTreeMap;

/// Where something stands.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Spot {
    /// The file.
    pub file: String,
    /// The key, such as `calls[0].listen`; empty where the fault is in no key.
    pub key: String,
    /// Where in the file; none where it cannot be read.
    #[serde(flatten)]
    pub place: Option<Place>,
    /// What this place has to do with it; empty at the first.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub says: String,
}

/// One thing that is wrong, or looks so.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// Its code.
    pub code: &'static Code,
    /// What is wrong, with names and figures.
    pub what: String,
    /// What to do here; what the code says in general, if empty.
    pub help: String,
    /// Where: first the place that is at fault, then others that it contradicts. At least one.
    pub spots: Vec<Spot>,
    /// Applications that it concerns, as far as it is about any.
    pub applications: Vec<String>,
}

impl Finding {
    /// A finding at one place.
    pub fn new(code: &'static Code, what: impl Into<String>, at: Spot) -> Finding {
        Finding { code, what: what.into(), help: String::new(), spots: vec![at], applications: Vec::new() }
    }

    /// The same with what to do.
    pub fn help(mut self, help: impl Into<String>) -> Finding {
        self.help = help.into();
        self
    }

    /// The same with another place.
    pub fn beside(mut self, mut spot: Spot, says: impl Into<String>) -> Finding {
        spot.says = says.into();
        self.spots.push(spot);
        self
    }

    /// The same about an application.
    pub fn about(mut self, application: &str) -> Finding {
        self.applications.push(application.to_owned());
        self
    }

    /// What to do.
    pub fn advice(&self) -> &str {
        if self.help.is_empty() { self.code.help } else { &self.help }
    }

    /// What is wrong, and of how many applications where it is many.
    pub fn words(&self) -> String {
        match self.applications.len() {
            0 | 1 => self.what.clone(),
            many => {
                let first: Vec<&str> = self.applications.iter().take(3).map(String::as_str).collect();
                let more = if many > 3 { format!(" and {} more", many - 3) } else { String::new() };
                format!("{} (and so in {many} applications: {}{more})", self.what, first.join(", "))
            }
        }
    }
}

/// All that was found, without repetition, in the order of files and places.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// Orders findings. What has one cause, the same code at the same first place, is one finding with the
    /// applications of all.
    pub fn of(findings: Vec<Finding>) -> Findings {
        let mut merged: BTreeMap<(Spot, &'static str), Finding> = BTreeMap::new();
        for finding in findings {
            let Some(first) = finding.spots.first().cloned() else { continue };
            let entry = merged.entry((first, finding.code.id));
            let known = entry.or_insert_with(|| Finding { applications: Vec::new(), ..finding.clone() });
            known.applications.extend(finding.applications);
        }
        let mut all: Vec<Finding> = merged.into_values().collect();
        for finding in &mut all {
            finding.applications.sort();
            finding.applications.dedup();
        }
        Findings(all)
    }

    /// All of them.
    pub fn all(&self) -> &[Finding] {
        &self.0
    }

    /// Whether any of them is an error.
    pub fn has_errors(&self) -> bool {
        self.0.iter().any(|finding| finding.code.severity == Severity::Error)
    }

    /// How many are of a severity.
    pub fn count(&self, severity: Severity) -> usize {
        self.0.iter().filter(|finding| finding.code.severity == severity).count()
    }
}
