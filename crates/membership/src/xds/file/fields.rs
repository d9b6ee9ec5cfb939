//! Reads the fields of a message by the rules of the protobuf JSON mapping: names in both spellings, numbers
//! also in quotes, `null` for unset fields.

use super::problem::{Diagnostic, DiagnosticKind};
use super::tree::{Entry, Node, Position, Value, snake_case};
use envoy_types::pb::google::protobuf::{Duration as ProtoDuration, UInt32Value};
use std::collections::BTreeMap;

/// Reads a file and collects its problems and the ignored fields.
pub(super) struct FileParser<'f> {
    pub file: &'f str,
    pub problems: Vec<Diagnostic>,
    pub ignored: Vec<Diagnostic>,
}

/// The fields that are set in a message.
pub(super) struct Fields<'n> {
    /// The field path of the message.
    pub field: String,
    entries: BTreeMap<&'static str, &'n Node>,
}

impl<'n> Fields<'n> {
    pub fn get(&self, name: &str) -> Option<&'n Node> {
        self.entries.get(name).copied()
    }

    /// Returns the path of a field of this message.
    pub fn path_of(&self, name: &str) -> String {
        field_path(&self.field, name)
    }
}

pub(super) fn field_path(field: &str, name: &str) -> String {
    if field.is_empty() { name.to_owned() } else { format!("{field}.{name}") }
}

impl FileParser<'_> {
    pub fn diagnostic(&self, position: Position, field: &str, kind: DiagnosticKind) -> Diagnostic {
        let Position { line, column } = position;
        Diagnostic { file: self.file.to_owned(), line, column, field: field.to_owned(), kind }
    }

    pub fn add_problem(&mut self, position: Position, field: &str, kind: DiagnosticKind) {
        let diagnostic = self.diagnostic(position, field, kind);
        self.problems.push(diagnostic);
    }

    pub fn report_wrong_type(&mut self, node: &Node, field: &str, expected: &'static str) {
        let found = match &node.value {
            Value::Null => "nothing".to_owned(),
            Value::Bool(is) => is.to_string(),
            Value::Number(number) => number.clone(),
            Value::Text(text) => format!("{text:?}"),
            Value::List(_) => "a list".to_owned(),
            Value::Table(_) => "a table".to_owned(),
        };
        self.add_problem(node.position, field, DiagnosticKind::WrongType { expected, found });
    }

    /// Reads the fields of a message. Unknown fields are collected as ignored, unless the name is similar to
    /// a known one, which is a problem.
    pub fn fields<'n>(&mut self, node: &'n Node, field: &str, known: &[&'static str]) -> Option<Fields<'n>> {
        let Value::Table(entries) = &node.value else {
            self.report_wrong_type(node, field, "a table");
            return None;
        };
        let mut fields = Fields { field: field.to_owned(), entries: BTreeMap::new() };
        for Entry { position, name, node } in entries {
            let (snake_name, is_set) = (snake_case(name), !matches!(node.value, Value::Null));
            let path = fields.path_of(&snake_name);
            match known.iter().find(|known| **known == snake_name) {
                Some(known) if is_set => {
                    if fields.entries.insert(known, node).is_some() {
                        self.add_problem(*position, &path, DiagnosticKind::DuplicateField);
                    }
                }
                Some(_) => {}
                None => match known.iter().find(|known| is_misspelling(&snake_name, known)) {
                    Some(known) => self.add_problem(*position, &path, DiagnosticKind::UnknownField(known)),
                    None => self.ignored.push(self.diagnostic(*position, &path, DiagnosticKind::Ignored)),
                },
            }
        }
        Some(fields)
    }

    /// Reads a message in a field, if it is set.
    pub fn message_field<'n>(
        &mut self,
        fields: &Fields<'n>,
        name: &str,
        known: &[&'static str],
    ) -> Option<Fields<'n>> {
        self.fields(fields.get(name)?, &fields.path_of(name), known)
    }

    /// Returns the items of a list, each with its field path. Returns no items if the list is not set.
    pub fn list<'n>(&mut self, fields: &Fields<'n>, name: &str) -> Vec<(String, &'n Node)> {
        let Some(node) = fields.get(name) else { return Vec::new() };
        let field = fields.path_of(name);
        let Value::List(items) = &node.value else {
            self.report_wrong_type(node, &field, "a list");
            return Vec::new();
        };
        items.iter().enumerate().map(|(index, item)| (format!("{field}[{index}]"), item)).collect()
    }

    /// Converts the value of a field, if it is set. A value that cannot be converted is a problem.
    pub fn value<T>(
        &mut self,
        fields: &Fields,
        name: &str,
        expected: &'static str,
        read: impl Fn(&Value) -> Option<T>,
    ) -> Option<T> {
        let node = fields.get(name)?;
        let value = read(&node.value);
        if value.is_none() {
            self.report_wrong_type(node, &fields.path_of(name), expected);
        }
        value
    }

    pub fn string(&mut self, fields: &Fields, name: &str) -> String {
        let read = |value: &Value| match value {
            Value::Text(text) => Some(text.clone()),
            _ => None,
        };
        self.value(fields, name, "a string", read).unwrap_or_default()
    }

    pub fn whole_number(&mut self, fields: &Fields, name: &str) -> Option<u32> {
        let read = |value: &Value| match value {
            Value::Number(digits) | Value::Text(digits) => digits.parse().ok(),
            _ => None,
        };
        self.value(fields, name, "a whole number from 0 to 4294967295", read)
    }

    pub fn uint32_value(&mut self, fields: &Fields, name: &str) -> Option<UInt32Value> {
        self.whole_number(fields, name).map(|value| UInt32Value { value })
    }

    /// Reads a duration in the protobuf JSON form, such as `0.25s`.
    pub fn duration(&mut self, fields: &Fields, name: &str) -> Option<ProtoDuration> {
        let read = |value: &Value| match value {
            Value::Text(text) => parse_seconds(text.strip_suffix('s')?),
            _ => None,
        };
        self.value(fields, name, "a duration such as 0.25s", read)
    }

    /// Reads an enum value, given by name or number.
    pub fn enum_number<T: Into<i32>>(
        &mut self,
        fields: &Fields,
        name: &str,
        expected: &'static str,
        from_name: impl Fn(&str) -> Option<T>,
    ) -> Option<i32> {
        let read = |value: &Value| match value {
            Value::Text(text) => from_name(text).map(Into::into),
            Value::Number(digits) => digits.parse().ok(),
            _ => None,
        };
        self.value(fields, name, expected, read)
    }
}

fn parse_seconds(text: &str) -> Option<ProtoDuration> {
    let (whole, fraction) = text.split_once('.').unwrap_or((text, ""));
    let is_digits = |text: &str| text.bytes().all(|b| b.is_ascii_digit());
    if whole.is_empty() || fraction.len() > 9 || !is_digits(whole) || !is_digits(fraction) {
        return None;
    }
    let nanos = if fraction.is_empty() { 0 } else { format!("{fraction:0<9}").parse().ok()? };
    Some(ProtoDuration { seconds: whole.parse().ok()?, nanos })
}

/// Returns whether a name is probably a misspelling of a known one. Short names are similar to too many
/// others.
fn is_misspelling(name: &str, known: &str) -> bool {
    name.len() > 4 && strsim::damerau_levenshtein(name, known) <= 2
}
