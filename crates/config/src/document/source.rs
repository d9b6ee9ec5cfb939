//! Parses a TOML text into a tree of JSON values and records the location of each key in the text.

use super::diagnostic::{DiagnosticKind, Diagnostics};
use super::key::{Key, KeyPart};
use super::source_span::SourceSpan;
use serde_json::{Number, Value};
use std::collections::BTreeMap;
use std::ops::Range;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// A TOML text with the locations of its keys.
#[derive(Debug)]
pub struct Source {
    /// The file name, or another name of the text.
    pub file: String,
    text: String,
    ranges: BTreeMap<Key, EntryRanges>,
}

/// A TOML syntax error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SyntaxError {
    /// The location of the error, if known.
    pub span: Option<SourceSpan>,
    /// The description of the error.
    pub message: String,
}

/// A parsed text.
#[derive(Debug)]
pub struct ParsedDocument {
    /// The text with the locations of its keys.
    pub source: Source,
    /// The values.
    pub value: Value,
    /// Diagnostics about values that JSON cannot represent; they are null in `value`.
    pub diagnostics: Diagnostics,
}

/// The byte ranges of an entry.
#[derive(Debug)]
struct EntryRanges {
    name: Range<usize>,
    value: Range<usize>,
}

impl Source {
    /// Parses a text. A value that JSON cannot represent becomes null with a diagnostic.
    ///
    /// # Errors
    /// Returns the first syntax error.
    pub fn read(file: &str, text: &str) -> Result<ParsedDocument, SyntaxError> {
        let tree = DeTable::parse(text).map_err(|error| SyntaxError {
            span: error.span().map(|span| SourceSpan::of(text, span)),
            message: error.message().to_owned(),
        })?;
        let mut source = Source { file: file.to_owned(), text: text.to_owned(), ranges: BTreeMap::new() };
        let mut diagnostics = Diagnostics::default();
        let value = source.table(&Key::default(), tree.get_ref(), &mut diagnostics);
        Ok(ParsedDocument { source, value, diagnostics })
    }

    /// Returns the text.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the location of a key or its value. A key that is not in the text has the location of its
    /// closest container.
    pub fn span(&self, key: &Key, part: KeyPart) -> SourceSpan {
        SourceSpan::of(&self.text, self.range(key, part))
    }

    fn table(&mut self, key: &Key, table: &DeTable, diagnostics: &mut Diagnostics) -> Value {
        let entries = table.iter().map(|(name, value)| {
            let key = key.name(name.get_ref().as_ref());
            self.ranges.insert(key.clone(), EntryRanges { name: name.span(), value: value.span() });
            (name.get_ref().clone().into_owned(), self.value(&key, value, diagnostics))
        });
        Value::Object(entries.collect())
    }

    fn value(&mut self, key: &Key, value: &Spanned<DeValue>, diagnostics: &mut Diagnostics) -> Value {
        let (kind, message) = match value.get_ref() {
            DeValue::Table(table) => return self.table(key, table, diagnostics),
            DeValue::Array(items) => return self.array(key, items, diagnostics),
            DeValue::String(text) => return Value::String(text.clone().into_owned()),
            DeValue::Boolean(on) => return Value::Bool(*on),
            DeValue::Integer(digits) => match i64::from_str_radix(digits.as_str(), digits.radix()) {
                Ok(number) => return number.into(),
                Err(_) => (DiagnosticKind::OutOfRange, "the number is too large"),
            },
            DeValue::Float(digits) => match digits.as_str().parse::<f64>().ok().and_then(Number::from_f64) {
                Some(number) => return Value::Number(number),
                None => (DiagnosticKind::OutOfRange, "the number is not finite"),
            },
            DeValue::Datetime(_) => (DiagnosticKind::WrongType, "a date is not allowed here"),
        };
        diagnostics.add_kind(key.clone(), kind, message, "");
        Value::Null
    }

    fn array(&mut self, key: &Key, items: &[Spanned<DeValue>], diagnostics: &mut Diagnostics) -> Value {
        let mut values = Vec::new();
        for (i, item) in items.iter().enumerate() {
            let key = key.at(i);
            self.ranges.insert(key.clone(), EntryRanges { name: item.span(), value: item.span() });
            values.push(self.value(&key, item, diagnostics));
        }
        Value::Array(values)
    }

    /// Returns the byte range of a key or its value, with the same fallback as [`Source::span`].
    pub fn range(&self, key: &Key, part: KeyPart) -> Range<usize> {
        if let Some(ranges) = self.ranges.get(key) {
            return match part {
                KeyPart::Name => ranges.name.clone(),
                KeyPart::Value => ranges.value.clone(),
            };
        }
        let mut key = key.parent();
        while let Some(parent) = key {
            if let Some(ranges) = self.ranges.get(&parent) {
                return ranges.value.clone();
            }
            key = parent.parent();
        }
        // Falls back to the first key of the document, since a long comment may precede it.
        let names = self.ranges.values().map(|ranges| &ranges.name);
        names.min_by_key(|name| name.start).cloned().unwrap_or_default()
    }
}
