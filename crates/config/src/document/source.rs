//! A TOML text as a tree of plain values, and the place of each key in the text.

use super::key::Key;
use super::place::{Complaints, Fault, Place};
use serde_json::{Number, Value};
use std::collections::BTreeMap;
use std::ops::Range;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// A text that is TOML, with the places of its keys.
#[derive(Debug)]
pub struct Source {
    /// The file, or another name of the text.
    pub file: String,
    text: String,
    places: BTreeMap<Key, Places>,
}

/// A text that is not TOML.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NotToml {
    /// Where reading ended, if anywhere.
    pub place: Option<Place>,
    /// Why.
    pub what: String,
}

#[derive(Debug)]
struct Places {
    name: Range<usize>,
    value: Range<usize>,
}

impl Source {
    /// Reads a text. What JSON cannot hold becomes null and a complaint.
    ///
    /// # Errors
    /// The first place where it is not TOML.
    pub fn read(file: &str, text: &str) -> Result<(Source, Value, Complaints), NotToml> {
        let tree = DeTable::parse(text).map_err(|error| NotToml {
            place: error.span().map(|span| Place::of(text, span)),
            what: error.message().to_owned(),
        })?;
        let mut source = Source { file: file.to_owned(), text: text.to_owned(), places: BTreeMap::new() };
        let mut complaints = Complaints::default();
        let value = source.table(&Key::default(), tree.get_ref(), &mut complaints);
        Ok((source, value, complaints))
    }

    /// The text.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Whether a key is in the text.
    pub fn has(&self, key: &Key) -> bool {
        self.places.contains_key(key)
    }

    /// Where a key's value stands, or with `name` the key itself; one that is not in the text belongs to what
    /// should contain it.
    pub fn place(&self, key: &Key, name: bool) -> Place {
        Place::of(&self.text, self.range(key, name))
    }

    fn table(&mut self, key: &Key, table: &DeTable, complaints: &mut Complaints) -> Value {
        let entries = table.iter().map(|(name, value)| {
            let key = key.name(name.get_ref().as_ref());
            self.places.insert(key.clone(), Places { name: name.span(), value: value.span() });
            (name.get_ref().clone().into_owned(), self.value(&key, value, complaints))
        });
        Value::Object(entries.collect())
    }

    fn value(&mut self, key: &Key, value: &Spanned<DeValue>, complaints: &mut Complaints) -> Value {
        match value.get_ref() {
            DeValue::Table(table) => self.table(key, table, complaints),
            DeValue::Array(items) => {
                let items = items.iter().enumerate().map(|(i, item)| {
                    let key = key.at(i);
                    self.places.insert(key.clone(), Places { name: item.span(), value: item.span() });
                    self.value(&key, item, complaints)
                });
                Value::Array(items.collect())
            }
            DeValue::String(text) => Value::String(text.clone().into_owned()),
            DeValue::Boolean(on) => Value::Bool(*on),
            DeValue::Integer(digits) => match i64::from_str_radix(digits.as_str(), digits.radix()) {
                Ok(number) => number.into(),
                Err(_) => {
                    complaints.put(key.clone(), Fault::Range, "the number is too large", "");
                    Value::Null
                }
            },
            DeValue::Float(digits) => match digits.as_str().parse::<f64>().ok().and_then(Number::from_f64) {
                Some(number) => Value::Number(number),
                None => {
                    complaints.put(key.clone(), Fault::Range, "the number is not finite", "");
                    Value::Null
                }
            },
            DeValue::Datetime(_) => {
                complaints.put(key.clone(), Fault::Type, "a date means nothing here", "");
                Value::Null
            }
        }
    }

    /// The same as a range of bytes.
    pub fn range(&self, key: &Key, name: bool) -> Range<usize> {
        if let Some(places) = self.places.get(key) {
            return if name { places.name.clone() } else { places.value.clone() };
        }
        let mut key = key.parent();
        while let Some(parent) = key {
            if let Some(places) = self.places.get(&parent) {
                return places.value.clone();
            }
            key = parent.parent();
        }
        // At the top: the first key, below what may be a long comment.
        let names = self.places.values().map(|places| &places.name);
        names.min_by_key(|name| name.start).cloned().unwrap_or_default()
    }
}
