//! Diagnostics about the keys and values of a document, identified by key; their locations in the text are
//! looked up later.

use super::key::{Key, KeyPart};
use std::collections::BTreeMap;

/// The kind of a diagnostic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiagnosticKind {
    /// The key is unknown.
    UnknownKey,
    /// The key has no meaning in its position.
    MisplacedKey,
    /// A required key is missing.
    MissingKey,
    /// The value has the wrong type or format.
    WrongType,
    /// The value is out of range.
    OutOfRange,
    /// The value is not one of the allowed words.
    UnknownWord,
    /// The value contradicts another value.
    Contradiction,
}

/// A problem with a key or its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// The kind of the problem.
    pub kind: DiagnosticKind,
    /// A description with the names and values.
    pub message: String,
    /// How to fix the problem; may be empty.
    pub help: String,
}

impl Diagnostic {
    /// Returns which part of the entry is wrong: the key or its value.
    pub fn part(&self) -> KeyPart {
        match self.kind {
            DiagnosticKind::UnknownKey | DiagnosticKind::MisplacedKey => KeyPart::Name,
            _ => KeyPart::Value,
        }
    }
}

/// The first diagnostic of each key. Later ones are dropped: a number that is out of range often contradicts
/// another value as well.
#[derive(Debug, Default)]
pub struct Diagnostics(BTreeMap<Key, Diagnostic>);

impl Diagnostics {
    /// Adds a diagnostic about a value that contradicts another one.
    pub fn add(&mut self, key: Key, message: impl Into<String>, help: impl Into<String>) {
        self.add_kind(key, DiagnosticKind::Contradiction, message, help);
    }

    /// Adds a diagnostic about a key that has no meaning in its position.
    pub fn add_name(&mut self, key: Key, message: impl Into<String>, help: impl Into<String>) {
        self.add_kind(key, DiagnosticKind::MisplacedKey, message, help);
    }

    /// Adds a diagnostic of the given kind.
    pub fn add_kind(
        &mut self,
        key: Key,
        kind: DiagnosticKind,
        message: impl Into<String>,
        help: impl Into<String>,
    ) {
        let diagnostic = Diagnostic { kind, message: message.into(), help: help.into() };
        self.0.entry(key).or_insert(diagnostic);
    }

    /// Returns whether there are no diagnostics.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns whether there is a diagnostic about the key.
    pub fn contains(&self, key: &Key) -> bool {
        self.0.contains_key(key)
    }

    /// Returns all diagnostics, sorted by key.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &Diagnostic)> {
        self.0.iter()
    }
}

impl IntoIterator for Diagnostics {
    type Item = (Key, Diagnostic);
    type IntoIter = std::collections::btree_map::IntoIter<Key, Diagnostic>;

    fn into_iter(self) -> Self::IntoIter {
        self.0.into_iter()
    }
}
