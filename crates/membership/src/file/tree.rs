//! Parses TOML and JSON into a common tree that keeps the position of each key and value.

use super::problem::Fault;
use jsonc_parser::ast::Value as Json;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use std::ops::Range;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// A value and its byte range in the text.
#[derive(Debug)]
pub(super) struct Node {
    pub range: Range<usize>,
    pub value: Value,
}

#[derive(Debug)]
pub(super) enum Value {
    Text(String),
    Integer(i128),
    Float(f64),
    Bool(bool),
    List(Vec<Node>),
    Table(Vec<Entry>),
    /// A value of a type that no key accepts, described for messages.
    Other(&'static str),
}

/// A key of a table, and its value.
#[derive(Debug)]
pub(super) struct Entry {
    pub name: String,
    pub range: Range<usize>,
    pub node: Node,
}

/// The position and cause of a syntax error.
pub(super) type ParseError = (Range<usize>, Fault);

/// Returns whether a text is to be read as JSON.
pub(super) fn is_json(name: &str, text: &str) -> bool {
    name.ends_with(".json") || !name.ends_with(".toml") && text.trim_start().starts_with('{')
}

impl Node {
    /// Parses TOML. The required end mark is removed from the tree.
    pub fn from_toml(text: &str) -> Result<Node, ParseError> {
        let table = DeTable::parse(text).map_err(|error| {
            let message = error.message().to_owned();
            (error.span().unwrap_or(0..0), Fault::Syntax { format: "TOML", message })
        })?;
        let mut entries = from_table(table.get_ref());
        let end = entries.iter().position(|entry| entry.name == "end").map(|at| entries.swap_remove(at));
        // An end mark that is followed by other content does not prove that the file is complete.
        let is_complete = end.is_some_and(|end| {
            let is_empty = matches!(&end.node.value, Value::Table(entries) if entries.is_empty());
            is_empty && entries.iter().all(|entry| last_start_of_entry(entry) < end.range.start)
        });
        if !is_complete {
            return Err((text.trim_end().len()..text.len(), Fault::Truncated));
        }
        Ok(Node { range: table.span(), value: Value::Table(entries) })
    }

    /// Parses strict JSON, without comments or trailing commas.
    pub fn from_json(text: &str) -> Result<Node, ParseError> {
        let strict = ParseOptions {
            allow_comments: false,
            allow_loose_object_property_names: false,
            allow_trailing_commas: false,
            allow_missing_commas: false,
            allow_single_quoted_strings: false,
            allow_hexadecimal_numbers: false,
            allow_unary_plus_numbers: false,
            allow_bare_decimal_point_numbers: false,
            allow_non_finite_numbers: false,
            allow_extended_string_escapes: false,
        };
        let syntax_error =
            |range: Range<usize>, message: String| (range, Fault::Syntax { format: "JSON", message });
        let parsed = parse_to_ast(text, &CollectOptions::default(), &strict).map_err(|error| {
            let range = error.range();
            syntax_error(range.start..range.end, error.kind().to_string())
        })?;
        let empty_text = || syntax_error(0..0, "the text is empty".into());
        Ok(from_json(parsed.value.ok_or_else(empty_text)?))
    }
}

/// Returns where the last key or value of an entry begins.
fn last_start_of_entry(entry: &Entry) -> usize {
    entry.range.start.max(last_start_of_node(&entry.node))
}

fn last_start_of_node(node: &Node) -> usize {
    let inside = match &node.value {
        Value::Table(entries) => entries.iter().map(last_start_of_entry).max(),
        Value::List(items) => items.iter().map(last_start_of_node).max(),
        _ => None,
    };
    inside.unwrap_or(0).max(node.range.start)
}

fn from_table(table: &DeTable) -> Vec<Entry> {
    let entry = |(name, value): (&Spanned<_>, &Spanned<DeValue>)| {
        let text: &std::borrow::Cow<str> = name.get_ref();
        Entry { name: text.clone().into_owned(), range: name.span(), node: from_value(value) }
    };
    table.iter().map(entry).collect()
}

fn from_value(value: &Spanned<DeValue>) -> Node {
    let integer = |digits: &toml::de::DeInteger| i128::from_str_radix(digits.as_str(), digits.radix()).ok();
    let tree = match value.get_ref() {
        DeValue::String(text) => Value::Text(text.clone().into_owned()),
        DeValue::Integer(digits) => {
            integer(digits).map_or(Value::Other("a number out of range"), Value::Integer)
        }
        DeValue::Float(digits) => float(digits.as_str()),
        DeValue::Boolean(value) => Value::Bool(*value),
        DeValue::Datetime(_) => Value::Other("a date"),
        DeValue::Array(items) => Value::List(items.iter().map(from_value).collect()),
        DeValue::Table(table) => Value::Table(from_table(table)),
    };
    Node { range: value.span(), value: tree }
}

fn float(digits: &str) -> Value {
    digits.parse().map_or(Value::Other("a number out of range"), Value::Float)
}

fn from_json(value: Json) -> Node {
    let range = value.range();
    let tree = match value {
        Json::StringLit(text) => Value::Text(text.value.into_owned()),
        Json::NumberLit(number) => number.value.parse().map_or_else(|_| float(number.value), Value::Integer),
        Json::BooleanLit(literal) => Value::Bool(literal.value),
        Json::NullKeyword(_) => Value::Other("null"),
        Json::Array(items) => Value::List(items.elements.into_iter().map(from_json).collect()),
        Json::Object(object) => {
            let entries = object.properties.into_iter().map(|property| {
                let name = property.name.range();
                let node = from_json(property.value);
                Entry { name: property.name.into_string(), range: name.start..name.end, node }
            });
            Value::Table(entries.collect())
        }
    };
    Node { range: range.start..range.end, value: tree }
}
