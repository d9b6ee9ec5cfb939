//! What a code or a key means.

use crate::document::{instead, nearest};
use crate::report::{CODES, Code, code};
use crate::schema;
use crate::types::Kind;
use serde_json::Value;
use std::collections::BTreeSet;
use std::fmt::Write;

/// What a code (`OC0202`) or a key (`settings.attempts`, or its last part) means.
///
/// # Errors
/// Nothing is known by this name; what was perhaps meant.
pub fn explain(name: &str) -> Result<String, String> {
    if name.len() >= 2 && name.is_char_boundary(2) && name[..2].eq_ignore_ascii_case("OC") {
        return code(name).map(of_code).ok_or_else(|| {
            let known = instead(&name.to_uppercase(), CODES.iter().map(|code| code.id));
            format!("there is no code {name:?}: {known}")
        });
    }
    let keys = keys();
    let is_it = |key: &&Described| key.path == name || key.path.ends_with(&format!(".{name}"));
    let found: Vec<&Described> = keys.iter().filter(is_it).collect();
    if found.is_empty() {
        let names: BTreeSet<&str> = keys.iter().map(|key| key.path.as_str()).collect();
        let lasts: BTreeSet<&str> = names.iter().filter_map(|path| path.rsplit('.').next()).collect();
        let near = nearest(name, names.into_iter().chain(lasts));
        let near = near.map(|near| format!(": did you mean `{near}`?")).unwrap_or_default();
        return Err(format!("there is no key {name:?}{near}"));
    }
    let mut out = String::new();
    for key in found {
        // Writing to a string does not fail.
        let _ = writeln!(out, "{} ({} file): {}\n    {}", key.path, key.kind.name(), key.form, key.about);
    }
    Ok(out)
}

fn of_code(code: &Code) -> String {
    let Code { id, severity, title, why, help } = code;
    format!("{id} ({severity}): {title}\n    why: {why}\n    help: {help}\n")
}

/// One key of the format.
#[derive(Clone, Debug, PartialEq)]
pub struct Described {
    /// In which kind of files.
    pub kind: Kind,
    /// Its path, lists without places: `tiers.settings.attempts`.
    pub path: String,
    /// Its type and range.
    pub form: String,
    /// Whether it must be there.
    pub needed: bool,
    /// What it means.
    pub about: String,
}

/// All keys of the format, as the schemas have them.
pub fn keys() -> Vec<Described> {
    let mut all = Vec::new();
    for kind in Kind::ALL {
        let schema = schema::tree(kind);
        walk(kind, schema, schema, "", &mut all);
    }
    all
}

fn walk(kind: Kind, top: &Value, schema: &Value, path: &str, all: &mut Vec<Described>) {
    let schema = real(top, schema);
    let required: BTreeSet<&str> =
        schema["required"].as_array().into_iter().flatten().filter_map(Value::as_str).collect();
    for (name, inner) in schema["properties"].as_object().into_iter().flatten() {
        let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
        let about = inner["description"].as_str().unwrap_or_default().replace('\n', " ");
        let (inner, many) = element(top, inner);
        let form = match many {
            Some(word) => format!("{word} of {}", form(top, inner)),
            None => form(top, inner),
        };
        all.push(Described {
            kind,
            path: path.clone(),
            form,
            needed: required.contains(name.as_str()),
            about,
        });
        let below = if many == Some("table") { format!("{path}.NAME") } else { path };
        walk(kind, top, inner, &below, all);
    }
}

/// What a reference or an optional value is.
fn real<'v>(top: &'v Value, schema: &'v Value) -> &'v Value {
    if let Some(name) = schema["$ref"].as_str().and_then(|path| path.strip_prefix("#/$defs/")) {
        return real(top, &top["$defs"][name]);
    }
    let options = schema["anyOf"].as_array().into_iter().flatten();
    match options.into_iter().find(|option| option["type"] != "null") {
        Some(option) => real(top, option),
        None => schema,
    }
}

/// The elements of a list or of a table by names, and which of the two it is.
fn element<'v>(top: &'v Value, schema: &'v Value) -> (&'v Value, Option<&'static str>) {
    let schema = real(top, schema);
    if schema["items"].is_object() {
        return (real(top, &schema["items"]), Some("list"));
    }
    match schema["additionalProperties"].is_object() {
        true => (real(top, &schema["additionalProperties"]), Some("table")),
        false => (schema, None),
    }
}

fn form(top: &Value, schema: &Value) -> String {
    let schema = real(top, schema);
    let words: Vec<&str> =
        schema["oneOf"].as_array().into_iter().flatten().filter_map(|v| v["const"].as_str()).collect();
    let listed = schema["enum"].as_array().into_iter().flatten().filter_map(Value::as_str);
    let words: Vec<&str> = words.into_iter().chain(listed).collect();
    if !words.is_empty() {
        return format!("one of {}", words.join(", "));
    }
    if let Some(pattern) = schema["pattern"].as_str() {
        return if pattern.contains("KiB") { "size".into() } else { "length of time".into() };
    }
    let kind = schema["type"].as_str().or_else(|| schema["type"].as_array()?.iter().find_map(Value::as_str));
    let name = match kind {
        Some("integer") => "whole number",
        Some("number") => "number",
        Some("boolean") => "true or false",
        Some("object") => "table",
        Some("string") => "text",
        other => other.unwrap_or("value"),
    };
    let limit = |name: &str| schema[name].as_f64();
    let range = match (limit("exclusiveMinimum"), limit("minimum"), limit("maximum")) {
        (Some(above), _, Some(most)) => format!(" above {above}, at most {most}"),
        (Some(above), ..) => format!(" above {above}"),
        (_, Some(least), Some(most)) => format!(" from {least} to {most}"),
        (_, Some(least), _) => format!(" from {least}"),
        (_, _, Some(most)) => format!(" up to {most}"),
        _ => String::new(),
    };
    format!("{name}{range}")
}

/// The reference of all keys and codes, in Markdown.
pub fn reference() -> String {
    let mut out = String::new();
    let title = |kind| match kind {
        Kind::Fleet => "## A fleet (`kind = \"fleet\"`)",
        Kind::Application => "## An application (`kind = \"application\"`)",
        Kind::Proxy => "## What one proxy reads (`kind = \"proxy\"`)",
    };
    let keys = keys();
    for kind in Kind::ALL {
        let _ = writeln!(out, "{}\n\n| key | form | | meaning |\n| --- | --- | --- | --- |", title(kind));
        for key in keys.iter().filter(|key| key.kind == kind) {
            let needed = if key.needed { "needed" } else { "" };
            let _ = writeln!(out, "| `{}` | {} | {needed} | {} |", key.path, key.form, key.about);
        }
        out.push('\n');
    }
    out += "## Codes\n\n| code | | what | why it hurts | way out |\n| --- | --- | --- | --- | --- |\n";
    for Code { id, severity, title, why, help } in CODES {
        let _ = writeln!(out, "| {id} | {severity} | {title} | {why} | {help} |");
    }
    out
}
