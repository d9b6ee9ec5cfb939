//! Findings for programs.

use super::{Findings, Spot};
use serde::Serialize;

#[derive(Serialize)]
struct Row<'a> {
    code: &'static str,
    severity: String,
    what: &'a str,
    why: &'static str,
    help: &'a str,
    spots: &'a [Spot],
    applications: &'a [String],
}

/// All findings as a JSON array, an object each.
pub fn json(findings: &Findings) -> String {
    let row = |finding: &'_ super::Finding| -> serde_json::Value {
        let row = Row {
            code: finding.code.id,
            severity: finding.code.severity.to_string(),
            what: &finding.what,
            why: finding.code.why,
            help: finding.advice(),
            spots: &finding.spots,
            applications: &finding.applications,
        };
        serde_json::to_value(row).unwrap_or_default()
    };
    let rows: Vec<_> = findings.all().iter().map(row).collect();
    format!("{:#}\n", serde_json::Value::from(rows))
}
