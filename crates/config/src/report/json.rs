//! Output of findings as JSON.

use super::{Finding, Findings, SourceLocation};
use serde::Serialize;

/// The JSON form of a finding.
#[derive(Serialize)]
struct Row<'a> {
    code: &'static str,
    severity: String,
    #[serde(rename = "what")]
    message: &'a str,
    why: &'static str,
    help: &'a str,
    #[serde(rename = "spots")]
    locations: &'a [SourceLocation],
    applications: &'a [String],
}

impl<'a> Row<'a> {
    fn of(finding: &'a Finding) -> Row<'a> {
        Row {
            code: finding.code.id,
            severity: finding.code.severity.to_string(),
            message: &finding.message,
            why: finding.code.why,
            help: finding.help(),
            locations: &finding.locations,
            applications: &finding.applications,
        }
    }
}

/// Returns all findings as a JSON array with one object per finding.
pub fn json(findings: &Findings) -> String {
    let rows =
        findings.all().iter().map(|finding| serde_json::to_value(Row::of(finding)).unwrap_or_default());
    let rows: Vec<serde_json::Value> = rows.collect();
    format!("{:#}\n", serde_json::Value::from(rows))
}
