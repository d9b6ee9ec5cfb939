//! What is wrong with the values of a document, by their keys, before the places of the keys in the text are
//! looked up.

use super::key::{Key, KeyPart};
use std::collections::BTreeMap;

/// What is wrong about a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiagnosticKind {
    /// There is no such key.
    UnknownKey,
    /// It means nothing where it stands.
    MisplacedKey,
    /// It is needed and not there.
    MissingKey,
    /// Its value is of another type, or of another form.
    WrongType,
    /// Its value is out of its range.
    OutOfRange,
    /// Its value is none of the words that it can be.
    UnknownWord,
    /// Its value contradicts something else.
    Contradiction,
}

/// Something that is wrong with a key or its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// What is wrong.
    pub kind: DiagnosticKind,
    /// The same in words, with names and figures.
    pub message: String,
    /// What would be right; may be empty.
    pub help: String,
}

impl Diagnostic {
    /// Which part of the entry is at fault: the key itself or its value.
    pub fn part(&self) -> KeyPart {
        match self.kind {
            DiagnosticKind::UnknownKey | DiagnosticKind::MisplacedKey => KeyPart::Name,
            _ => KeyPart::Value,
        }
    }
}

/// What is wrong by key, the first of each key: a number that is out of its range often contradicts something
/// else too.
#[derive(Debug, Default)]
pub struct Diagnostics(BTreeMap<Key, Diagnostic>);

impl Diagnostics {
    /// The value of a key contradicts something else.
    pub fn add(&mut self, key: Key, message: impl Into<String>, help: impl Into<String>) {
        self.add_kind(key, DiagnosticKind::Contradiction, message, help);
    }

    /// A key itself is at fault: it means nothing where it stands.
    pub fn add_name(&mut self, key: Key, message: impl Into<String>, help: impl Into<String>) {
        self.add_kind(key, DiagnosticKind::MisplacedKey, message, help);
    }

    /// A key is at fault in this way.
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

    /// Whether nothing is wrong.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether something is wrong with this key.
    pub fn contains(&self, key: &Key) -> bool {
        self.0.contains_key(key)
    }

    /// All of them, in the order of the keys.
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
