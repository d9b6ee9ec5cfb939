//! Findings: code, locations and message, and how they are printed for people and programs.

mod codes;
mod json;
mod location;
mod sarif;
mod text;

pub use codes::{CODES, Code, Severity, code};
pub use json::json;
pub use location::SourceLocation;
pub use sarif::sarif;
pub use text::text;

use std::collections::BTreeMap;

/// Applications that a message names at most; the others are counted.
const MAX_NAMED_APPLICATIONS: usize = 3;

/// One thing that is wrong, or looks so.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// Its code.
    pub code: &'static Code,
    /// What is wrong, with names and figures.
    pub message: String,
    /// What to do here; what the code says in general, if empty.
    pub help: String,
    /// Where: first the place that is at fault, then others that it contradicts. At least one.
    pub locations: Vec<SourceLocation>,
    /// Applications that it concerns, as far as it is about any.
    pub applications: Vec<String>,
}

impl Finding {
    /// A finding at one place, with a code of the catalogue.
    pub fn new(code: &str, message: impl Into<String>, location: SourceLocation) -> Finding {
        Finding {
            code: codes::known(code),
            message: message.into(),
            help: String::new(),
            locations: vec![location],
            applications: Vec::new(),
        }
    }

    /// The same with what to do.
    pub fn with_help(mut self, help: impl Into<String>) -> Finding {
        self.help = help.into();
        self
    }

    /// The same with another place, and what that is.
    pub fn with_related(mut self, mut location: SourceLocation, label: impl Into<String>) -> Finding {
        location.label = label.into();
        self.locations.push(location);
        self
    }

    /// The same about an application.
    pub fn with_application(mut self, application: &str) -> Finding {
        self.applications.push(application.to_owned());
        self
    }

    /// What to do: here, or what the code says in general.
    pub fn help(&self) -> &str {
        if self.help.is_empty() { self.code.help } else { &self.help }
    }

    /// What is wrong, and of how many applications where it is many.
    pub fn summary(&self) -> String {
        let count = self.applications.len();
        if count <= 1 {
            return self.message.clone();
        }
        let named: Vec<&str> =
            self.applications.iter().take(MAX_NAMED_APPLICATIONS).map(String::as_str).collect();
        let named = named.join(", ");
        let more = match count.saturating_sub(MAX_NAMED_APPLICATIONS) {
            0 => String::new(),
            others => format!(" and {others} more"),
        };
        format!("{} (and so in {count} applications: {named}{more})", self.message)
    }
}

/// All findings, without repetition, in the order of files and places.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// Orders findings. What has one cause, the same code at the same first place, is one finding with the
    /// applications of all.
    pub fn merged(findings: Vec<Finding>) -> Findings {
        let mut merged: BTreeMap<(SourceLocation, &'static str), Finding> = BTreeMap::new();
        for finding in findings {
            let Some(first) = finding.locations.first().cloned() else { continue };
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
