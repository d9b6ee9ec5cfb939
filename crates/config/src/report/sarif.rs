//! Output of findings in the Static Analysis Results Interchange Format for editors and CI (OASIS SARIF
//! 2.1.0).

use super::{CODES, Code, Finding, Findings, Severity, SourceLocation};
use serde_json::{Value, json};

/// Returns all findings as one SARIF log.
pub fn sarif(findings: &Findings) -> String {
    let rules: Vec<Value> = CODES.iter().map(rule).collect();
    let results: Vec<Value> = findings.all().iter().map(result).collect();
    let log = json!({
        "$schema": "https://json.schemastore.org/sarif-2.1.0.json",
        "version": "2.1.0",
        "runs": [{
            "tool": { "driver": {
                "name": "olivecart",
                "version": env!("CARGO_PKG_VERSION"),
                "rules": rules,
            } },
            "columnKind": "unicodeCodePoints",
            "results": results,
        }],
    });
    format!("{log:#}\n")
}

fn level(severity: Severity) -> &'static str {
    match severity {
        Severity::Error => "error",
        Severity::Warning => "warning",
    }
}

fn rule(code: &Code) -> Value {
    json!({
        "id": code.id,
        "shortDescription": { "text": code.title },
        "fullDescription": { "text": code.why },
        "help": { "text": code.help },
        "defaultConfiguration": { "level": level(code.severity) },
    })
}

fn result(finding: &Finding) -> Value {
    let mut locations = finding.locations.iter().enumerate().map(|(id, at)| location(at, id));
    let first: Vec<Value> = locations.next().into_iter().collect();
    let related: Vec<Value> = locations.collect();
    json!({
        "ruleId": finding.code.id,
        "ruleIndex": CODES.iter().position(|code| code.id == finding.code.id),
        "level": level(finding.code.severity),
        "message": { "text": format!("{}. {}", finding.summary(), finding.help()) },
        "locations": first,
        "relatedLocations": related,
    })
}

fn location(at: &SourceLocation, id: usize) -> Value {
    let mut physical = json!({ "artifactLocation": { "uri": at.file } });
    if let Some(span) = &at.span {
        physical["region"] = json!({
            "startLine": span.line,
            "startColumn": span.column,
            "endColumn": span.column + span.width,
            "snippet": { "text": span.source },
        });
    }
    let mut location = json!({ "id": id, "physicalLocation": physical });
    if !at.key.is_empty() {
        location["logicalLocations"] = json!([{ "fullyQualifiedName": at.key }]);
    }
    if !at.label.is_empty() {
        location["message"] = json!({ "text": at.label });
    }
    location
}
