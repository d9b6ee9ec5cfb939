//! All keys of the format with their forms, as the schemas have them.

use crate::schema;
use crate::types::Kind;
use serde_json::Value;
use std::collections::BTreeSet;

/// One key of the format.
#[derive(Clone, Debug, PartialEq)]
pub struct DescribedKey {
    /// In which kind of files.
    pub kind: Kind,
    /// Its path, lists without indices: `tiers.settings.attempts`.
    pub path: String,
    /// Its type and range.
    pub form: String,
    /// Whether it must be there.
    pub is_required: bool,
    /// What it means.
    pub about: String,
}

/// All keys of the format, as the schemas have them.
pub fn keys() -> Vec<DescribedKey> {
    let mut keys = Vec::new();
    for kind in Kind::ALL {
        let root = schema::tree(kind);
        let mut collector = Collector { kind, root, keys: &mut keys };
        collector.collect(root, "");
    }
    keys
}

/// Collects the keys of one kind of files.
struct Collector<'a> {
    kind: Kind,
    /// The schema of the whole file, in which references are looked up.
    root: &'a Value,
    keys: &'a mut Vec<DescribedKey>,
}

/// What a key holds.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Holds {
    One,
    List,
    /// A table of things by their names.
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
            let (element, holds) = self.element(property);
            let form = match holds {
                Holds::One => self.form(element),
                Holds::List => format!("list of {}", self.form(element)),
                Holds::Table => format!("table of {}", self.form(element)),
            };
            self.keys.push(DescribedKey {
                kind: self.kind,
                path: path.clone(),
                form,
                is_required: required.contains(name.as_str()),
                about: property["description"].as_str().unwrap_or_default().replace('\n', " "),
            });
            let below = if holds == Holds::Table { format!("{path}.NAME") } else { path };
            self.collect(element, &below);
        }
    }

    /// What a reference or an optional value stands for.
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

    /// The elements of a list or of a table by names, and which of the two it is.
    fn element(&self, schema: &'a Value) -> (&'a Value, Holds) {
        let schema = self.dereferenced(schema);
        if schema["items"].is_object() {
            return (self.dereferenced(&schema["items"]), Holds::List);
        }
        if schema["additionalProperties"].is_object() {
            return (self.dereferenced(&schema["additionalProperties"]), Holds::Table);
        }
        (schema, Holds::One)
    }

    fn form(&self, schema: &'a Value) -> String {
        let schema = self.dereferenced(schema);
        let words = words(schema);
        if !words.is_empty() {
            return format!("one of {}", words.join(", "));
        }
        if let Some(pattern) = schema["pattern"].as_str() {
            return if pattern.contains("KiB") { "size".into() } else { "length of time".into() };
        }
        format!("{}{}", type_name(schema), range(schema))
    }
}

/// The words that a value must be one of.
fn words(schema: &Value) -> Vec<&str> {
    let described = schema["oneOf"].as_array().into_iter().flatten().filter_map(|v| v["const"].as_str());
    let plain = schema["enum"].as_array().into_iter().flatten().filter_map(Value::as_str);
    described.chain(plain).collect()
}

fn type_name(schema: &Value) -> &str {
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
        (Some(above), _, Some(most)) => format!(" above {above}, at most {most}"),
        (Some(above), ..) => format!(" above {above}"),
        (_, Some(least), Some(most)) => format!(" from {least} to {most}"),
        (_, Some(least), _) => format!(" from {least}"),
        (_, _, Some(most)) => format!(" up to {most}"),
        _ => String::new(),
    }
}
