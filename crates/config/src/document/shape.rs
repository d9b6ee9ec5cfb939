//! Checks keys, types and ranges against the schema that is generated from the types. Reports all problems at
//! once, whereas a deserializer stops at the first.
//!
//! Supports only the keywords that schemars generates for plain types; [`check_keywords`] checks whether a
//! schema uses others.

use super::diagnostic::{DiagnosticKind, Diagnostics};
use super::key::Key;
use super::nearest::{nearest, suggestion};
use super::range::out_of_range;
use super::size::Size;
use super::span::Span;
use serde_json::{Map, Value};
use std::fmt::Display;

/// Checks a document's values against a schema. Removes unknown keys, so that the rest can be deserialized.
pub fn check(schema: &Value, value: &mut Value, diagnostics: &mut Diagnostics) {
    let mut checker = SchemaChecker { root: schema, diagnostics };
    let node = Node { schema, help: "", key: &Key::default() };
    checker.check_value(node, value);
}

type Object = Map<String, Value>;

/// Checks a tree of values and collects the diagnostics.
struct SchemaChecker<'a> {
    /// The schema of the whole document, in which references are resolved.
    root: &'a Value,
    diagnostics: &'a mut Diagnostics,
}

/// The schema, help text and key of one value.
#[derive(Clone, Copy)]
struct Node<'a, 'k> {
    schema: &'a Value,
    /// The description of the key, used as help text.
    help: &'k str,
    key: &'k Key,
}

impl<'a, 'k> Node<'a, 'k> {
    fn with_schema(self, schema: &'a Value) -> Node<'a, 'k> {
        Node { schema, ..self }
    }
}

impl<'a> SchemaChecker<'a> {
    fn check_value(&mut self, node: Node<'a, '_>, value: &mut Value) {
        let Node { schema, key, .. } = node;
        if value.is_null() && (is_optional(schema) || self.diagnostics.contains(key)) {
            return;
        }
        if let Some(name) = schema["$ref"].as_str().and_then(|path| path.strip_prefix("#/$defs/")) {
            self.check_reference(node, name, value);
        } else if let Some(option) = list(schema, "anyOf").find(|option| option["type"] != "null") {
            self.check_value(node.with_schema(option), value);
        } else if schema["oneOf"].is_array() {
            self.check_variant(node, value);
        } else {
            self.check_plain(node, value);
        }
    }

    /// Checks a value of a named type. Durations and sizes have their own formats.
    fn check_reference(&mut self, node: Node<'a, '_>, name: &str, value: &mut Value) {
        match (name, value.as_str()) {
            ("Span", Some(text)) => self.check_format(node, text.parse::<Span>()),
            ("Span", None) => self.wrong_type(node, "a length of time such as \"250ms\"", value),
            ("Size", Some(text)) => self.check_format(node, text.parse::<Size>()),
            ("Size", None) => self.wrong_type(node, "a size such as \"64KiB\"", value),
            _ => self.check_value(node.with_schema(&self.root["$defs"][name]), value),
        }
    }

    fn check_format<T, E: Display>(&mut self, node: Node, parsed: Result<T, E>) {
        if let Err(error) = parsed {
            self.add(node, DiagnosticKind::WrongType, error.to_string());
        }
    }

    /// Checks a value of a JSON type.
    fn check_plain(&mut self, node: Node<'a, '_>, value: &mut Value) {
        let schema = node.schema;
        let kind = schema["type"].as_str().or_else(|| list(schema, "type").find_map(Value::as_str));
        match (kind, value) {
            (Some("object"), Value::Object(table)) => self.check_table(node, table),
            (Some("object"), other) => self.wrong_type(node, "a table", other),
            (Some("array"), Value::Array(items)) => self.check_array(node, items),
            (Some("array"), other) => self.wrong_type(node, "a list", other),
            (Some("string"), Value::String(_)) | (Some("boolean"), Value::Bool(_)) => (),
            (Some("string"), other) => self.wrong_type(node, "a string", other),
            (Some("boolean"), other) => self.wrong_type(node, "true or false", other),
            (Some("integer"), other) if !other.is_i64() && !other.is_u64() => {
                self.wrong_type(node, "a whole number", other);
            }
            (Some("number"), other) if !other.is_number() => self.wrong_type(node, "a number", other),
            (_, other) => {
                if let Some(message) = out_of_range(schema, other) {
                    self.add(node, DiagnosticKind::OutOfRange, message);
                }
            }
        }
    }

    fn check_array(&mut self, node: Node<'a, '_>, items: &mut [Value]) {
        let schema = node.schema;
        let limit = |name: &str| schema[name].as_u64().and_then(|n| usize::try_from(n).ok());
        let min_items = limit("minItems").unwrap_or(0);
        let max_items = limit("maxItems").unwrap_or(usize::MAX);
        if items.is_empty() && min_items > 0 {
            self.add(node, DiagnosticKind::OutOfRange, "the list is empty".to_owned());
        } else if !(min_items..=max_items).contains(&items.len()) {
            let message = format!("expected {min_items} values, found {}", items.len());
            self.add(node, DiagnosticKind::OutOfRange, message);
        }
        for (i, item) in items.iter_mut().enumerate() {
            let node = Node { schema: &schema["items"], help: node.help, key: &node.key.at(i) };
            self.check_value(node, item);
        }
    }

    fn check_table(&mut self, node: Node<'a, '_>, table: &mut Object) {
        let schema = node.schema;
        let Some(properties) = schema["properties"].as_object() else {
            return self.check_named_items(node, table);
        };
        let misspelt = self.remove_unknown_keys(node.key, properties, table);
        for name in list(schema, "required").filter_map(Value::as_str) {
            // A misspelt key is not reported as missing as well.
            if !table.contains_key(name) && !misspelt.contains(&name) {
                let help = description(&schema["properties"][name]);
                let message = format!("`{name}` is missing");
                self.diagnostics.add_kind(node.key.name(name), DiagnosticKind::MissingKey, message, help);
            }
        }
        for (name, value) in table {
            let schema = &schema["properties"][name.as_str()];
            let node = Node { schema, help: &description(schema), key: &node.key.name(name) };
            self.check_value(node, value);
        }
    }

    /// Checks a table whose keys are names of items.
    fn check_named_items(&mut self, node: Node<'a, '_>, table: &mut Object) {
        let schema = &node.schema["additionalProperties"];
        if schema.is_object() {
            for (name, value) in table {
                self.check_value(Node { schema, help: node.help, key: &node.key.name(name) }, value);
            }
        }
    }

    /// Removes unknown keys from a table. Returns the known keys that are most similar to them.
    fn remove_unknown_keys(&mut self, key: &Key, properties: &'a Object, table: &mut Object) -> Vec<&'a str> {
        let known: Vec<&str> = properties.keys().map(String::as_str).collect();
        let mut suggested = Vec::new();
        table.retain(|name, _| {
            let is_known = properties.contains_key(name);
            if !is_known {
                suggested.extend(nearest(name, known.iter().copied()));
                let message = format!("unknown key `{name}`");
                let help = suggestion(name, known.iter().copied());
                self.diagnostics.add_kind(key.name(name), DiagnosticKind::UnknownKey, message, help);
            }
            is_known
        });
        suggested
    }

    /// Checks a value that is one of several words, or one of several tables that are distinguished by a tag
    /// key.
    fn check_variant(&mut self, node: Node<'a, '_>, value: &mut Value) {
        let variants: Vec<&'a Value> = list(node.schema, "oneOf").collect();
        match variants.first().and_then(|variant| tag_of(variant)) {
            Some(tag) => self.check_tagged_table(node, tag, &variants, value),
            None => self.check_word(node, &variants, value),
        }
    }

    fn check_word(&mut self, node: Node, variants: &[&'a Value], value: &Value) {
        let known: Vec<&str> = variants.iter().filter_map(|variant| variant["const"].as_str()).collect();
        match value {
            Value::String(text) if known.contains(&text.as_str()) => (),
            Value::String(text) => self.unknown_word(node.key, "value", text, known),
            other => self.wrong_type(node, &format!("one of {}", known.join(", ")), other),
        }
    }

    fn check_tagged_table(
        &mut self,
        node: Node<'a, '_>,
        tag: &str,
        variants: &[&'a Value],
        value: &mut Value,
    ) {
        let Value::Object(table) = value else { return self.wrong_type(node, "a table", value) };
        let word_of = |variant: &&'a Value| variant["properties"][tag]["const"].as_str();
        let known: Vec<&str> = variants.iter().filter_map(word_of).collect();
        let key = node.key.name(tag);
        match table.get(tag) {
            Some(Value::String(text)) => match known.iter().position(|word| word == text) {
                Some(chosen) => self.check_table(node.with_schema(variants[chosen]), table),
                None => self.unknown_word(&key, tag, text, known),
            },
            Some(other) => self.wrong_type(Node { key: &key, ..node }, &known.join(", "), other),
            None => {
                let message = format!("`{tag}` is missing");
                let help = format!("one of {}", known.join(", "));
                self.diagnostics.add_kind(key, DiagnosticKind::MissingKey, message, help);
            }
        }
    }

    fn unknown_word(&mut self, key: &Key, what: &str, text: &str, known: Vec<&str>) {
        let message = format!("unknown {what} `{text}`");
        let help = suggestion(text, known);
        self.diagnostics.add_kind(key.clone(), DiagnosticKind::UnknownWord, message, help);
    }

    fn wrong_type(&mut self, node: Node, expected: &str, found: &Value) {
        let found = match found {
            Value::Null => "no finite number".into(),
            Value::Array(_) => "a list".into(),
            Value::Object(_) => "a table".into(),
            Value::String(text) => format!("the string {text:?}"),
            other => other.to_string(),
        };
        self.add(node, DiagnosticKind::WrongType, format!("expected {expected}, found {found}"));
    }

    fn add(&mut self, node: Node, kind: DiagnosticKind, message: String) {
        self.diagnostics.add_kind(node.key.clone(), kind, message, node.help);
    }
}

/// Returns the key whose value distinguishes the tables, if a variant is a table.
fn tag_of(variant: &Value) -> Option<&str> {
    let properties = variant["properties"].as_object()?;
    properties.iter().find(|(_, property)| property["const"].is_string()).map(|(name, _)| name.as_str())
}

/// Returns whether a schema allows null, which is the JSON form of an absent key.
fn is_optional(schema: &Value) -> bool {
    list(schema, "type").any(|t| t == "null") || list(schema, "anyOf").any(|s| s["type"] == "null")
}

fn list<'v>(schema: &'v Value, name: &str) -> impl Iterator<Item = &'v Value> {
    schema[name].as_array().into_iter().flatten()
}

/// Returns the description of a schema in one line; multi-line doc comments keep their line breaks in the
/// schema.
fn description(schema: &Value) -> String {
    schema["description"].as_str().unwrap_or_default().replace('\n', " ")
}

/// The JSON Schema keywords that [`check`] supports or can ignore.
const KNOWN_KEYWORDS: &str = "$defs $ref $schema additionalProperties anyOf const default description \
    exclusiveMinimum format items maxItems maximum minItems minimum oneOf properties required title type";

/// Checks that a schema has only keywords that [`check`] supports.
///
/// # Errors
/// Returns the path of the first unsupported keyword.
pub fn check_keywords(schema: &Value) -> Result<(), String> {
    check_keywords_at("", schema)
}

fn check_keywords_at(path: &str, schema: &Value) -> Result<(), String> {
    for (word, value) in schema.as_object().into_iter().flatten() {
        let path = format!("{path}/{word}");
        if !KNOWN_KEYWORDS.split(' ').any(|known| known == word) {
            return Err(path);
        }
        match word.as_str() {
            "$defs" | "properties" => {
                let own = |name: &str| word == "$defs" && (name == "Span" || name == "Size");
                for (name, schema) in value.as_object().into_iter().flatten().filter(|(name, _)| !own(name)) {
                    check_keywords_at(&format!("{path}/{name}"), schema)?;
                }
            }
            "anyOf" | "oneOf" => list(schema, word).try_for_each(|s| check_keywords_at(&path, s))?,
            "items" => check_keywords_at(&path, value)?,
            "additionalProperties" if value.is_object() => check_keywords_at(&path, value)?,
            "additionalProperties" if *value != false => return Err(path),
            _ => (),
        }
    }
    Ok(())
}
