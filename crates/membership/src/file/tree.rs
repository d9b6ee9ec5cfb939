//! A text, TOML or JSON, as one kind of tree, with the place of each key and value.

use super::problem::Fault;
use jsonc_parser::ast::Value as Json;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use std::ops::Range;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// A value and its place.
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
    /// What no key of ours may be, in words.
    Other(&'static str),
}

/// A key of a table.
#[derive(Debug)]
pub(super) struct Entry {
    pub name: String,
    pub range: Range<usize>,
    pub node: Node,
}

/// Where and why a text cannot be read.
pub(super) type Unreadable = (Range<usize>, Fault);

/// Whether a text is to be read as JSON.
pub(super) fn is_json(name: &str, text: &str) -> bool {
    name.ends_with(".json") || !name.ends_with(".toml") && text.trim_start().starts_with('{')
}

impl Node {
    /// Reads TOML, down to its end mark, which is taken out.
    pub fn from_toml(text: &str) -> Result<Node, Unreadable> {
        let table = DeTable::parse(text).map_err(|error| {
            let what = error.message().to_owned();
            (error.span().unwrap_or(0..0), Fault::Syntax { form: "TOML", what })
        })?;
        let mut entries = from_table(table.get_ref());
        let end = entries.iter().position(|entry| entry.name == "end").map(|at| entries.swap_remove(at));
        // Danger: an end mark that anything follows proves nothing.
        let is_whole = end.is_some_and(|end| {
            let is_empty = matches!(&end.node.value, Value::Table(entries) if entries.is_empty());
            is_empty && entries.iter().all(|entry| last_of(entry) < end.range.start)
        });
        if !is_whole {
            return Err((text.trim_end().len()..text.len(), Fault::Torn));
        }
        Ok(Node { range: table.span(), value: Value::Table(entries) })
    }

    /// Reads JSON, and nothing beyond: no comments, no trailing commas.
    pub fn from_json(text: &str) -> Result<Node, Unreadable> {
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
        let bad = |range: Range<usize>, what: String| (range, Fault::Syntax { form: "JSON", what });
        let parsed = parse_to_ast(text, &CollectOptions::default(), &strict).map_err(|error| {
            let range = error.range();
            bad(range.start..range.end, error.kind().to_string())
        })?;
        let nothing = || bad(0..0, "the text is blank".into());
        Ok(from_json(parsed.value.ok_or_else(nothing)?))
    }
}

/// Where the last key or value begins, of an entry or of a value.
fn last_of(entry: &Entry) -> usize {
    entry.range.start.max(last_in(&entry.node))
}

fn last_in(node: &Node) -> usize {
    let inside = match &node.value {
        Value::Table(entries) => entries.iter().map(last_of).max(),
        Value::List(items) => items.iter().map(last_in).max(),
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
            integer(digits).map_or(Value::Other("a number out of reach"), Value::Integer)
        }
        DeValue::Float(digits) => float(digits.as_str()),
        DeValue::Boolean(is) => Value::Bool(*is),
        DeValue::Datetime(_) => Value::Other("a date"),
        DeValue::Array(items) => Value::List(items.iter().map(from_value).collect()),
        DeValue::Table(table) => Value::Table(from_table(table)),
    };
    Node { range: value.span(), value: tree }
}

fn float(digits: &str) -> Value {
    digits.parse().map_or(Value::Other("a number out of reach"), Value::Float)
}

fn from_json(value: Json) -> Node {
    let range = value.range();
    let tree = match value {
        Json::StringLit(text) => Value::Text(text.value.into_owned()),
        Json::NumberLit(number) => number.value.parse().map_or_else(|_| float(number.value), Value::Integer),
        Json::BooleanLit(is) => Value::Bool(is.value),
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
