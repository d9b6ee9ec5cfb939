//! A scenario's text as a tree of plain values, and the place of each key in the text.

use super::key::Key;
use super::problem::{Complaint, Complaints, Finding, Place, Problems};
use serde_json::{Number, Value};
use std::collections::BTreeMap;
use std::ops::Range;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// A text that is TOML.
pub(super) struct Source<'t> {
    file: &'t str,
    text: &'t str,
    places: BTreeMap<Key, Places>,
}

struct Places {
    name: Range<usize>,
    value: Range<usize>,
}

impl<'t> Source<'t> {
    /// Reads a text. What JSON cannot hold becomes null and a complaint.
    ///
    /// # Errors
    /// The first place where it is not TOML.
    pub fn read(file: &'t str, text: &'t str) -> Result<(Source<'t>, Value, Complaints), Problems> {
        let tree = DeTable::parse(text).map_err(|error| {
            let place = error.span().map(|span| Place::of(text, span));
            let what = format!("not TOML: {}", error.message());
            let (file, key, right) = (file.to_owned(), String::new(), String::new());
            Problems(vec![Finding { file, key, place, what, right }])
        })?;
        let mut source = Source { file, text, places: BTreeMap::new() };
        let mut complaints = Complaints::default();
        let value = source.table(&Key::default(), tree.get_ref(), &mut complaints);
        Ok((source, value, complaints))
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
                    complaints.add(key.clone(), "the number is too large", "");
                    Value::Null
                }
            },
            DeValue::Float(digits) => match digits.as_str().parse::<f64>().ok().and_then(Number::from_f64) {
                Some(number) => Value::Number(number),
                None => {
                    complaints.add(key.clone(), "the number is not finite", "");
                    Value::Null
                }
            },
            DeValue::Datetime(_) => {
                complaints.add(key.clone(), "a date means nothing here", "");
                Value::Null
            }
        }
    }

    /// Complaints with their places, in the order of the text.
    pub fn locate(&self, complaints: Complaints) -> Problems {
        let located = |(key, complaint)| (self.range(&key, &complaint), key, complaint);
        let mut found: Vec<(Range<usize>, Key, Complaint)> = complaints.0.into_iter().map(located).collect();
        found.sort_by_key(|(range, ..)| range.start);
        let finding = |(range, key, complaint): (_, Key, Complaint)| Finding {
            file: self.file.to_owned(),
            key: key.to_string(),
            place: Some(Place::of(self.text, range)),
            what: complaint.what,
            right: complaint.right,
        };
        Problems(found.into_iter().map(finding).collect())
    }

    /// Where a complaint belongs; a key that is not in the text belongs to what should contain it.
    fn range(&self, key: &Key, complaint: &Complaint) -> Range<usize> {
        if let Some(places) = self.places.get(key) {
            return if complaint.name { places.name.clone() } else { places.value.clone() };
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
