//! What is wrong with a scenario, and where: printed like a compiler does.

use olivecart_config::document::SourceSpan;
use std::fmt;

/// One thing that is wrong with a scenario.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The file, or another name of the text.
    pub file: String,
    /// The key at fault, such as `tier[0].kind[1].speed`; empty where the fault is in no key.
    pub key: String,
    /// Where in the text; none where there is no text.
    pub place: Option<SourceSpan>,
    /// What is wrong.
    pub what: String,
    /// What would be right; may be empty.
    pub right: String,
}

/// All that is wrong with one or more scenarios, in the order of their text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct Problems(pub(super) Vec<Finding>);

impl Problems {
    /// What was found, at least one.
    pub fn findings(&self) -> &[Finding] {
        &self.0
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Finding { file, key, what, right, .. } = self;
        let behind = if key.is_empty() { String::new() } else { format!(" {key}") };
        writeln!(f, "error: {what}")?;
        let Some(SourceSpan { line, column, width, source }) = &self.place else {
            writeln!(f, " --> {file}:{behind}")?;
            return if right.is_empty() { Ok(()) } else { writeln!(f, "  = {right}") };
        };
        let gap = " ".repeat(line.to_string().len());
        // A tab stays a tab, so that the caret stands below what it means; nothing else may steer a terminal.
        let blank = |c| if c == '\t' { '\t' } else { ' ' };
        let shown = |c: char| if c.is_control() && c != '\t' { char::REPLACEMENT_CHARACTER } else { c };
        let source: String = source.chars().map(shown).collect();
        let indent: String =
            source.chars().chain(std::iter::repeat(' ')).take(column - 1).map(blank).collect();
        writeln!(f, "{gap}--> {file}:{line}:{column}:{behind}")?;
        writeln!(f, "{gap} |")?;
        writeln!(f, "{line} | {source}")?;
        writeln!(f, "{gap} | {indent}{}", "^".repeat(*width))?;
        if right.is_empty() { Ok(()) } else { writeln!(f, "{gap} = {right}") }
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for finding in &self.0 {
            writeln!(f, "{finding}")?;
        }
        let files = self.0.chunk_by(|a, b| a.file == b.file).count();
        let many = |n: usize, what: &str| format!("{n} {what}{}", if n == 1 { "" } else { "s" });
        write!(f, "{} in {}", many(self.0.len(), "error"), many(files, "file"))
    }
}
