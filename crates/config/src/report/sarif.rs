//! Findings in the Static Analysis Results Interchange Format, which editors and CI read (OASIS SARIF 2.1.0).

use super::{CODES, Findings, Severity, Spot};
use serde_json::{Value, json};

/// All findings as one SARIF log.
pub fn sarif(findings: &Findings) -> String {
    let level = |severity| match severity {
        Severity::Error => "error",
        Severity::Warning => "warning",
    };
    let rules: Vec<Value> = CODES
        .iter()
        .map(|code| {
            json!({
                "id": code.id,
                "shortDescription": { "text": code.title },
                "fullDescription": { "text": code.why },
                "help": { "text": code.help },
                "defaultConfiguration": { "level": level(code.severity) },
            })
        })
        .collect();
    let results: Vec<Value> = findings
        .all()
        .iter()
        .map(|finding| {
            let mut spots = finding.spots.iter().enumerate().map(|(id, spot)| location(spot, id));
            let first: Vec<Value> = spots.next().into_iter().collect();
            let related: Vec<Value> = spots.collect();
            json!({
                "ruleId": finding.code.id,
                "ruleIndex": CODES.iter().position(|code| code.id == finding.code.id),
                "level": level(finding.code.severity),
                "message": { "text": format!("{}. {}", finding.words(), finding.advice()) },
                "locations": first,
                "relatedLocations": related,
            })
        })
        .collect();
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

fn location(spot: &Spot, id: usize) -> Value {
    let mut physical = json!({ "artifactLocation": { "uri": spot.file } });
    if let Some(place) = &spot.place {
        physical["region"] = json!({
            "startLine": place.line,
            "startColumn": place.column,
            "endColumn": place.column + place.width,
            "snippet": { "text": place.source },
        });
    }
    let mut location = json!({ "id": id, "physicalLocation": physical });
    if !spot.key.is_empty() {
        location["logicalLocations"] = json!([{ "fullyQualifiedName": spot.key }]);
    }
    if !spot.says.is_empty() {
        location["message"] = json!({ "text": spot.says });
    }
    location
}
