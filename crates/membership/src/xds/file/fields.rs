//! The fields of a message, by the rules of protobuf's JSON form: names in both spellings, numbers also in
//! quotes, `null` for what is not set.

use super::problem::{Diagnostic, DiagnosticKind};
use super::tree::{Entry, Node, Place, Value, snake};
use envoy_types::pb::google::protobuf::{Duration as ProtoDuration, UInt32Value};
use std::collections::BTreeMap;

/// Reads a file, and notes what is wrong with it and what does nothing.
pub(super) struct Reader<'f> {
    pub file: &'f str,
    pub problems: Vec<Diagnostic>,
    pub ignored: Vec<Diagnostic>,
}

/// The fields of a message that are set.
pub(super) struct Fields<'n> {
    /// Where the message is, as a field.
    pub field: String,
    entries: BTreeMap<&'static str, &'n Node>,
}

impl<'n> Fields<'n> {
    pub fn get(&self, name: &str) -> Option<&'n Node> {
        self.entries.get(name).copied()
    }

    /// The field of a field.
    pub fn below(&self, name: &str) -> String {
        below(&self.field, name)
    }
}

pub(super) fn below(field: &str, name: &str) -> String {
    if field.is_empty() { name.to_owned() } else { format!("{field}.{name}") }
}

impl Reader<'_> {
    pub fn diagnostic(&self, place: Place, field: &str, kind: DiagnosticKind) -> Diagnostic {
        let Place { line, column } = place;
        Diagnostic { file: self.file.to_owned(), line, column, field: field.to_owned(), kind }
    }

    pub fn problem(&mut self, place: Place, field: &str, kind: DiagnosticKind) {
        let diagnostic = self.diagnostic(place, field, kind);
        self.problems.push(diagnostic);
    }

    pub fn wrong(&mut self, node: &Node, field: &str, wanted: &'static str) {
        let found = match &node.value {
            Value::Null => "nothing".to_owned(),
            Value::Bool(is) => is.to_string(),
            Value::Number(number) => number.clone(),
            Value::Text(text) => format!("{text:?}"),
            Value::List(_) => "a list".to_owned(),
            Value::Table(_) => "a table".to_owned(),
        };
        self.problem(node.place, field, DiagnosticKind::Value { wanted, found });
    }

    /// The fields of a message. Others than the known ones do nothing, which is noted; one that is nearly a
    /// known one is a slip.
    pub fn fields<'n>(&mut self, node: &'n Node, field: &str, known: &[&'static str]) -> Option<Fields<'n>> {
        let Value::Table(entries) = &node.value else {
            self.wrong(node, field, "a table");
            return None;
        };
        let mut fields = Fields { field: field.to_owned(), entries: BTreeMap::new() };
        for Entry { place, name, node } in entries {
            let (own, is_set) = (snake(name), !matches!(node.value, Value::Null));
            let below = fields.below(&own);
            match known.iter().find(|known| **known == own) {
                Some(known) if is_set => {
                    if fields.entries.insert(known, node).is_some() {
                        self.problem(*place, &below, DiagnosticKind::FieldTwice);
                    }
                }
                Some(_) => {}
                None => match known.iter().find(|known| is_slip(&own, known)) {
                    Some(known) => self.problem(*place, &below, DiagnosticKind::Misspelt(known)),
                    None => self.ignored.push(self.diagnostic(*place, &below, DiagnosticKind::Ignored)),
                },
            }
        }
        Some(fields)
    }

    /// The fields of a message in a field of another, if it is set.
    pub fn inner<'n>(
        &mut self,
        fields: &Fields<'n>,
        name: &str,
        known: &[&'static str],
    ) -> Option<Fields<'n>> {
        self.fields(fields.get(name)?, &fields.below(name), known)
    }

    /// The items of a list, each with its field; none if it is not set.
    pub fn list<'n>(&mut self, fields: &Fields<'n>, name: &str) -> Vec<(String, &'n Node)> {
        let Some(node) = fields.get(name) else { return Vec::new() };
        let field = fields.below(name);
        let Value::List(items) = &node.value else {
            self.wrong(node, &field, "a list");
            return Vec::new();
        };
        items.iter().enumerate().map(|(at, item)| (format!("{field}[{at}]"), item)).collect()
    }

    /// A value of one form, if it is set.
    pub fn value<T>(
        &mut self,
        fields: &Fields,
        name: &str,
        wanted: &'static str,
        read: impl Fn(&Value) -> Option<T>,
    ) -> Option<T> {
        let node = fields.get(name)?;
        let value = read(&node.value);
        if value.is_none() {
            self.wrong(node, &fields.below(name), wanted);
        }
        value
    }

    pub fn text(&mut self, fields: &Fields, name: &str) -> String {
        let read = |value: &Value| match value {
            Value::Text(text) => Some(text.clone()),
            _ => None,
        };
        self.value(fields, name, "a text", read).unwrap_or_default()
    }

    pub fn whole(&mut self, fields: &Fields, name: &str) -> Option<u32> {
        let read = |value: &Value| match value {
            Value::Number(digits) | Value::Text(digits) => digits.parse().ok(),
            _ => None,
        };
        self.value(fields, name, "a whole number from 0 to 4294967295", read)
    }

    pub fn boxed(&mut self, fields: &Fields, name: &str) -> Option<UInt32Value> {
        self.whole(fields, name).map(|value| UInt32Value { value })
    }

    /// A length of time as protobuf writes it: `0.25s`.
    pub fn duration(&mut self, fields: &Fields, name: &str) -> Option<ProtoDuration> {
        let read = |value: &Value| match value {
            Value::Text(text) => seconds(text.strip_suffix('s')?),
            _ => None,
        };
        self.value(fields, name, "a length of time such as 0.25s", read)
    }

    /// The number of an enumeration's value, by name or by number.
    pub fn variant<T: Into<i32>>(
        &mut self,
        fields: &Fields,
        name: &str,
        wanted: &'static str,
        of: impl Fn(&str) -> Option<T>,
    ) -> Option<i32> {
        let read = |value: &Value| match value {
            Value::Text(text) => of(text).map(Into::into),
            Value::Number(digits) => digits.parse().ok(),
            _ => None,
        };
        self.value(fields, name, wanted, read)
    }
}

fn seconds(text: &str) -> Option<ProtoDuration> {
    let (whole, part) = text.split_once('.').unwrap_or((text, ""));
    let is_digits = |text: &str| text.bytes().all(|b| b.is_ascii_digit());
    if whole.is_empty() || part.len() > 9 || !is_digits(whole) || !is_digits(part) {
        return None;
    }
    let nanos = if part.is_empty() { 0 } else { format!("{part:0<9}").parse().ok()? };
    Some(ProtoDuration { seconds: whole.parse().ok()?, nanos })
}

/// Whether a name is probably another one with a slip. Short names are near to too many.
fn is_slip(name: &str, known: &str) -> bool {
    name.len() > 4 && strsim::damerau_levenshtein(name, known) <= 2
}
