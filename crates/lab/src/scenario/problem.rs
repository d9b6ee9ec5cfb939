//! What is wrong with a scenario, and where: printed like a compiler does.

use super::key::Key;
use std::collections::BTreeMap;
use std::fmt;

/// One thing that is wrong with a scenario.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The file, or another name of the text.
    pub file: String,
    /// The key at fault, such as `tier[0].kind[1].speed`; empty where the fault is in no key.
    pub key: String,
    /// Where in the text; none where there is no text.
    pub place: Option<Place>,
    /// What is wrong.
    pub what: String,
    /// What would be right; may be empty.
    pub right: String,
}

/// A place in a text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// How many characters of the line are meant, at least 1.
    pub width: usize,
    /// The line itself.
    pub source: String,
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

/// A fault before its place in the text is known.
#[derive(Debug)]
pub(super) struct Complaint {
    /// The key itself is at fault, not its value.
    pub name: bool,
    pub what: String,
    pub right: String,
}

/// Faults by their keys, the first of each key: a number that is out of its range often contradicts something
/// else too.
#[derive(Debug, Default)]
pub(super) struct Complaints(pub BTreeMap<Key, Complaint>);

impl Complaints {
    /// The value of a key is at fault.
    pub fn add(&mut self, key: Key, what: impl Into<String>, right: impl Into<String>) {
        self.put(key, Complaint { name: false, what: what.into(), right: right.into() });
    }

    /// A key is at fault.
    pub fn add_name(&mut self, key: Key, what: impl Into<String>, right: impl Into<String>) {
        self.put(key, Complaint { name: true, what: what.into(), right: right.into() });
    }

    fn put(&mut self, key: Key, complaint: Complaint) {
        self.0.entry(key).or_insert(complaint);
    }
}

impl Place {
    /// The place of a range of bytes; of one that spans lines, the part in the first.
    pub(super) fn of(text: &str, range: std::ops::Range<usize>) -> Place {
        let boundary = |at: usize| (0..=at.min(text.len())).rev().find(|&i| text.is_char_boundary(i));
        let (from, to) = (boundary(range.start).unwrap_or(0), boundary(range.end).unwrap_or(0));
        let start = text[..from].rfind('\n').map_or(0, |at| at + 1);
        let end = text[from..].find('\n').map_or(text.len(), |at| from + at);
        let width = text.get(from..to.min(end)).map_or(0, |part| part.trim_end().chars().count());
        Place {
            line: text[..start].matches('\n').count() + 1,
            column: text[start..from].chars().count() + 1,
            width: width.max(1),
            source: text[start..end].trim_end().to_owned(),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Finding { file, key, what, right, .. } = self;
        let behind = if key.is_empty() { String::new() } else { format!(" {key}") };
        writeln!(f, "error: {what}")?;
        let Some(Place { line, column, width, source }) = &self.place else {
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
