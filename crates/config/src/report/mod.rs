//! Findings with code, locations and message, and their output as text, JSON and SARIF.

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

/// The maximum number of applications that a message names; the others are counted.
const MAX_NAMED_APPLICATIONS: usize = 3;

/// An error or a warning about a configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// The code.
    pub code: &'static Code,
    /// A description with the names and values.
    pub message: String,
    /// How to fix this finding; if empty, the general help of the code applies.
    pub help: String,
    /// The location of the wrong value, followed by related locations. Never empty.
    pub locations: Vec<SourceLocation>,
    /// The affected applications, if any.
    pub applications: Vec<String>,
}

impl Finding {
    /// Creates a finding at one location, with a code of the catalogue.
    pub fn new(code: &str, message: impl Into<String>, location: SourceLocation) -> Finding {
        Finding {
            code: codes::known(code),
            message: message.into(),
            help: String::new(),
            locations: vec![location],
            applications: Vec::new(),
        }
    }

    /// Sets the help text.
    pub fn with_help(mut self, help: impl Into<String>) -> Finding {
        self.help = help.into();
        self
    }

    /// Adds a related location with a label.
    pub fn with_related(mut self, mut location: SourceLocation, label: impl Into<String>) -> Finding {
        location.label = label.into();
        self.locations.push(location);
        self
    }

    /// Adds an affected application.
    pub fn with_application(mut self, application: &str) -> Finding {
        self.applications.push(application.to_owned());
        self
    }

    /// Returns the help text of the finding, or else that of its code.
    pub fn help(&self) -> &str {
        if self.help.is_empty() { self.code.help } else { &self.help }
    }

    /// Returns the message, with the affected applications if there are several.
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
        format!("{} (in {count} applications: {named}{more})", self.message)
    }
}

/// Findings without duplicates, sorted by file and location.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// Sorts findings and merges those with the same code and the same first location into one finding with
    /// the applications of all of them.
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

    /// Returns all findings.
    pub fn all(&self) -> &[Finding] {
        &self.0
    }

    /// Returns whether any finding is an error.
    pub fn has_errors(&self) -> bool {
        self.0.iter().any(|finding| finding.code.severity == Severity::Error)
    }

    /// Returns the number of findings of a severity.
    pub fn count(&self, severity: Severity) -> usize {
        self.0.iter().filter(|finding| finding.code.severity == severity).count()
    }
}
