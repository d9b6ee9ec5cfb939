//! Output of findings as text, in the style of compiler messages.

use super::{Finding, Findings, Severity, SourceLocation};
use crate::document::SourceSpan;
use std::fmt::{self, Write};

/// Returns all findings, followed by a line with their counts. The text is empty if there are no findings.
pub fn text(findings: &Findings) -> String {
    let mut out = String::new();
    for finding in findings.all() {
        // Writing to a string does not fail.
        let _ = write_finding(&mut out, finding);
        out.push('\n');
    }
    let counts =
        [counted(findings, Severity::Error, "error"), counted(findings, Severity::Warning, "warning")];
    let counts: Vec<String> = counts.into_iter().flatten().collect();
    if !counts.is_empty() {
        out += &counts.join(", ");
        out.push('\n');
    }
    out
}

/// Returns the number of findings of a severity in words, or `None` if there are none.
fn counted(findings: &Findings, severity: Severity, name: &str) -> Option<String> {
    match findings.count(severity) {
        0 => None,
        1 => Some(format!("1 {name}")),
        count => Some(format!("{count} {name}s")),
    }
}

fn write_finding(out: &mut String, finding: &Finding) -> fmt::Result {
    writeln!(out, "{}[{}]: {}", finding.code.severity, finding.code.id, printable(&finding.summary()))?;
    let lines = finding.locations.iter().filter_map(|location| location.span.as_ref()).map(|span| span.line);
    // The margin is as wide as the longest line number.
    let margin = " ".repeat(lines.max().unwrap_or(0).to_string().len());
    for location in &finding.locations {
        write_location(out, location, &margin)?;
    }
    writeln!(out, "{margin} = why: {}", finding.code.why)?;
    writeln!(out, "{margin} = help: {}", printable(finding.help()))
}

fn write_location(out: &mut String, location: &SourceLocation, margin: &str) -> fmt::Result {
    let SourceLocation { file, key, span, label } = location;
    let file = printable(file);
    let key = if key.is_empty() { String::new() } else { format!(" {}", printable(key)) };
    let Some(SourceSpan { line, column, width, source }) = span else {
        let separator = if label.is_empty() { "" } else { ": " };
        return writeln!(out, "{margin}--> {file}{key}{separator}{label}");
    };
    // Tabs are kept, so that the carets are below the marked characters.
    let blank = |c| if c == '\t' { '\t' } else { ' ' };
    let indent: String = source.chars().chain(std::iter::repeat(' ')).take(column - 1).map(blank).collect();
    let carets = "^".repeat(*width);
    let separator = if label.is_empty() { "" } else { " " };
    writeln!(out, "{margin}--> {file}:{line}:{column}:{key}")?;
    writeln!(out, "{margin} |")?;
    writeln!(out, "{line:>width$} | {}", printable(source), width = margin.len())?;
    writeln!(out, "{margin} | {indent}{carets}{separator}{}", printable(label))
}

/// Replaces control characters, so that the contents of a file cannot control the terminal.
fn printable(text: &str) -> String {
    text.chars().map(|c| if c.is_control() && c != '\t' { char::REPLACEMENT_CHARACTER } else { c }).collect()
}
