//! Lists all keys of the configuration files with their types and descriptions, from the schemas.

use crate::schema;
use crate::types::Kind;
use serde_json::Value;
use std::collections::BTreeSet;

/// A key of a configuration file.
#[derive(Clone, Debug, PartialEq)]
pub struct DescribedKey {
    /// The kind of file that has the key.
    pub kind: Kind,
    /// The path without the indices of lists: `tiers.settings.attempts`.
    pub path: String,
    /// The type and range of the value, in words.
    pub type_name: String,
    /// Whether the key is required.
    pub is_required: bool,
    /// The description of the key.
    pub description: String,
}

/// Returns all keys of all kinds of files.
pub fn keys() -> Vec<DescribedKey> {
    let mut keys = Vec::new();
    for kind in Kind::ALL {
        let root = schema::tree(kind);
        let mut collector = Collector { kind, root, keys: &mut keys };
        collector.collect(root, "");
    }
    keys
}

/// Collects the keys of one kind of file.
struct Collector<'a> {
    kind: Kind,
    /// The schema of the whole file, in which references are resolved.
    root: &'a Value,
    keys: &'a mut Vec<DescribedKey>,
}

/// Whether a key has one value, a list or a table of items.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Multiplicity {
    One,
    List,
    /// A table whose keys are the names of the items.
    Table,
}

impl<'a> Collector<'a> {
    /// Collects the keys of a table and of all tables below it.
    fn collect(&mut self, schema: &'a Value, path: &str) {
        let schema = self.dereferenced(schema);
        let required: BTreeSet<&str> =
            schema["required"].as_array().into_iter().flatten().filter_map(Value::as_str).collect();
        for (name, property) in schema["properties"].as_object().into_iter().flatten() {
            let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
            let (element, multiplicity) = self.element(property);
            let type_name = match multiplicity {
                Multiplicity::One => self.type_name(element),
                Multiplicity::List => format!("list of {}", self.type_name(element)),
                Multiplicity::Table => format!("table of {}", self.type_name(element)),
            };
            self.keys.push(DescribedKey {
                kind: self.kind,
                path: path.clone(),
                type_name,
                is_required: required.contains(name.as_str()),
                description: property["description"].as_str().unwrap_or_default().replace('\n', " "),
            });
            let below = if multiplicity == Multiplicity::Table { format!("{path}.NAME") } else { path };
            self.collect(element, &below);
        }
    }

    /// Resolves references and optional values.
    fn dereferenced(&self, schema: &'a Value) -> &'a Value {
        if let Some(name) = schema["$ref"].as_str().and_then(|path| path.strip_prefix("#/$defs/")) {
            return self.dereferenced(&self.root["$defs"][name]);
        }
        let mut options = schema["anyOf"].as_array().into_iter().flatten();
        match options.find(|option| option["type"] != "null") {
            Some(option) => self.dereferenced(option),
            None => schema,
        }
    }

    /// Returns the schema of the elements of a list or a table, or of the value itself, and which of them it
    /// is.
    fn element(&self, schema: &'a Value) -> (&'a Value, Multiplicity) {
        let schema = self.dereferenced(schema);
        if schema["items"].is_object() {
            return (self.dereferenced(&schema["items"]), Multiplicity::List);
        }
        if schema["additionalProperties"].is_object() {
            return (self.dereferenced(&schema["additionalProperties"]), Multiplicity::Table);
        }
        (schema, Multiplicity::One)
    }

    fn type_name(&self, schema: &'a Value) -> String {
        let schema = self.dereferenced(schema);
        let words = words(schema);
        if !words.is_empty() {
            return format!("one of {}", words.join(", "));
        }
        if let Some(pattern) = schema["pattern"].as_str() {
            return if pattern.contains("KiB") { "size".into() } else { "length of time".into() };
        }
        format!("{}{}", base_type(schema), range(schema))
    }
}

/// Returns the words that a value must be one of.
fn words(schema: &Value) -> Vec<&str> {
    let described = schema["oneOf"].as_array().into_iter().flatten().filter_map(|v| v["const"].as_str());
    let plain = schema["enum"].as_array().into_iter().flatten().filter_map(Value::as_str);
    described.chain(plain).collect()
}

fn base_type(schema: &Value) -> &str {
    let name = &schema["type"];
    let name = name.as_str().or_else(|| name.as_array()?.iter().find_map(Value::as_str));
    match name {
        Some("integer") => "whole number",
        Some("number") => "number",
        Some("boolean") => "true or false",
        Some("object") => "table",
        Some("string") => "text",
        other => other.unwrap_or("value"),
    }
}

fn range(schema: &Value) -> String {
    let limit = |name: &str| schema[name].as_f64();
    match (limit("exclusiveMinimum"), limit("minimum"), limit("maximum")) {
        (Some(above), _, Some(maximum)) => format!(" above {above}, at most {maximum}"),
        (Some(above), ..) => format!(" above {above}"),
        (_, Some(minimum), Some(maximum)) => format!(" from {minimum} to {maximum}"),
        (_, Some(minimum), _) => format!(" from {minimum}"),
        (_, _, Some(maximum)) => format!(" up to {maximum}"),
        _ => String::new(),
    }
}
