//! Findings for people, as a compiler prints them.

use super::{Finding, Findings, Severity, Spot};
use crate::document::Place;
use std::fmt::{self, Write};

/// All findings, with a line at the end that counts them; empty if there are none.
pub fn text(findings: &Findings) -> String {
    let mut all = String::new();
    for finding in findings.all() {
        // Writing to a string does not fail.
        let _ = one(&mut all, finding);
        all.push('\n');
    }
    let many = |n: usize, what: &str| format!("{n} {what}{}", if n == 1 { "" } else { "s" });
    let counts = [(Severity::Error, "error"), (Severity::Warning, "warning")].map(|(severity, name)| {
        let count = findings.count(severity);
        (count > 0).then(|| many(count, name))
    });
    let counts: Vec<String> = counts.into_iter().flatten().collect();
    if !counts.is_empty() {
        all += &counts.join(", ");
        all.push('\n');
    }
    all
}

fn one(out: &mut String, finding: &Finding) -> fmt::Result {
    writeln!(out, "{}[{}]: {}", finding.code.severity, finding.code.id, shown(&finding.words()))?;
    let widest = finding.spots.iter().filter_map(|spot| spot.place.as_ref()).map(|place| place.line).max();
    let gap = " ".repeat(widest.unwrap_or(0).to_string().len());
    for spot in &finding.spots {
        at(out, spot, &gap)?;
    }
    writeln!(out, "{gap} = why: {}", finding.code.why)?;
    writeln!(out, "{gap} = help: {}", shown(finding.advice()))
}

fn at(out: &mut String, spot: &Spot, gap: &str) -> fmt::Result {
    let Spot { file, key, place, says } = spot;
    let key = if key.is_empty() { String::new() } else { format!(" {}", shown(key)) };
    let Some(Place { line, column, width, source }) = place else {
        return writeln!(
            out,
            "{gap}--> {}{key}{}{says}",
            shown(file),
            if says.is_empty() { "" } else { ": " }
        );
    };
    // A tab stays a tab, so that the caret stands below what it means.
    let blank = |c| if c == '\t' { '\t' } else { ' ' };
    let indent: String = source.chars().chain(std::iter::repeat(' ')).take(column - 1).map(blank).collect();
    writeln!(out, "{gap}--> {}:{line}:{column}:{key}", shown(file))?;
    writeln!(out, "{gap} |")?;
    writeln!(out, "{line:>width$} | {}", shown(source), width = gap.len())?;
    writeln!(
        out,
        "{gap} | {indent}{}{}{}",
        "^".repeat(*width),
        if says.is_empty() { "" } else { " " },
        shown(says)
    )
}

/// Nothing of a file may steer a terminal.
fn shown(text: &str) -> String {
    text.chars().map(|c| if c.is_control() && c != '\t' { char::REPLACEMENT_CHARACTER } else { c }).collect()
}
