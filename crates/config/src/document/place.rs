//! A place in a text, and what is complained of before its place is known.

use super::key::Key;
use serde::Serialize;
use std::collections::BTreeMap;

/// A place in a text.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
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

impl Place {
    /// The place of a range of bytes; of one that spans lines, the part in the first.
    pub fn of(text: &str, range: std::ops::Range<usize>) -> Place {
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

/// What is at fault about a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// There is no such key.
    Unknown,
    /// It means nothing where it stands.
    Misplaced,
    /// It is needed and not there.
    Missing,
    /// Its value is of another type, or of another form.
    Type,
    /// Its value is out of its range.
    Range,
    /// Its value is none of the words that it can be.
    Choice,
    /// Its value contradicts something else.
    Other,
}

/// Something that is wrong, before its place in the text is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Complaint {
    /// What is at fault.
    pub fault: Fault,
    /// What is wrong.
    pub what: String,
    /// What would be right; may be empty.
    pub right: String,
}

impl Complaint {
    /// Whether the key itself is at fault, not its value.
    pub fn is_about_name(&self) -> bool {
        matches!(self.fault, Fault::Unknown | Fault::Misplaced)
    }
}

/// Faults by their keys, the first of each key: a number that is out of its range often contradicts something
/// else too.
#[derive(Debug, Default)]
pub struct Complaints(pub BTreeMap<Key, Complaint>);

impl Complaints {
    /// The value of a key is at fault in a way that needs no name.
    pub fn add(&mut self, key: Key, what: impl Into<String>, right: impl Into<String>) {
        self.put(key, Fault::Other, what, right);
    }

    /// A key itself is at fault: it means nothing where it stands.
    pub fn add_name(&mut self, key: Key, what: impl Into<String>, right: impl Into<String>) {
        self.put(key, Fault::Misplaced, what, right);
    }

    /// A key is at fault in this way.
    pub fn put(&mut self, key: Key, fault: Fault, what: impl Into<String>, right: impl Into<String>) {
        let complaint = Complaint { fault, what: what.into(), right: right.into() };
        self.0.entry(key).or_insert(complaint);
    }
}
