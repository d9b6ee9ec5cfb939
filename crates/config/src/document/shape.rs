//! Checks of keys, types and ranges against the schema that is generated from the types: all that is wrong at
//! once, where a deserializer stops at the first.
//!
//! Only what schemars makes of plain types is understood; [`understands`] tells whether a schema is of these.

use super::key::Key;
use super::nearest::{instead, nearest};
use super::place::{Complaints, Fault};
use super::size::Size;
use super::span::Span;
use serde_json::{Map, Value};

/// Checks a file's values against a schema. Unknown keys are taken out, so that the rest can be read.
pub fn check(schema: &Value, value: &mut Value, complaints: &mut Complaints) {
    let mut walk = Walk { schema, complaints };
    walk.value(schema, "", &Key::default(), value);
}

struct Walk<'a> {
    schema: &'a Value,
    complaints: &'a mut Complaints,
}

type Object = Map<String, Value>;

impl<'a> Walk<'a> {
    /// Checks one value; `about` says what the key at hand is for.
    fn value(&mut self, schema: &'a Value, about: &str, key: &Key, value: &mut Value) {
        if value.is_null() && (optional(schema) || self.complaints.0.contains_key(key)) {
            return;
        }
        if let Some(name) = schema["$ref"].as_str().and_then(|path| path.strip_prefix("#/$defs/")) {
            return match (name, value.as_str()) {
                ("Span", Some(text)) => self.span(about, key, text),
                ("Span", None) => self.wrong(about, key, "a length of time such as \"250ms\"", value),
                ("Size", Some(text)) => self.size(about, key, text),
                ("Size", None) => self.wrong(about, key, "a size such as \"64KiB\"", value),
                _ => self.value(&self.schema["$defs"][name], about, key, value),
            };
        }
        if let Some(real) = list(schema, "anyOf").find(|s| s["type"] != "null") {
            return self.value(real, about, key, value);
        }
        if schema["oneOf"].is_array() {
            return self.variant(schema, about, key, value);
        }
        let kind = schema["type"].as_str().or_else(|| list(schema, "type").find_map(Value::as_str));
        match (kind, value) {
            (Some("object"), Value::Object(table)) => self.table(schema, about, key, table),
            (Some("object"), other) => self.wrong(about, key, "a table", other),
            (Some("array"), Value::Array(items)) => self.array(schema, about, key, items),
            (Some("array"), other) => self.wrong(about, key, "a list", other),
            (Some("string"), Value::String(_)) | (Some("boolean"), Value::Bool(_)) => (),
            (Some("string"), other) => self.wrong(about, key, "a string", other),
            (Some("boolean"), other) => self.wrong(about, key, "true or false", other),
            (Some("integer"), other) if !other.is_i64() && !other.is_u64() => {
                self.wrong(about, key, "a whole number", other);
            }
            (Some("number"), other) if !other.is_number() => self.wrong(about, key, "a number", other),
            (_, other) => self.range(schema, about, key, other),
        }
    }

    fn span(&mut self, about: &str, key: &Key, text: &str) {
        if let Err(error) = text.parse::<Span>() {
            self.complaints.put(key.clone(), Fault::Type, error.to_string(), about);
        }
    }

    fn size(&mut self, about: &str, key: &Key, text: &str) {
        if let Err(error) = text.parse::<Size>() {
            self.complaints.put(key.clone(), Fault::Type, error.to_string(), about);
        }
    }

    fn wrong(&mut self, about: &str, key: &Key, expected: &str, found: &Value) {
        let found = match found {
            Value::Null => "no finite number".into(),
            Value::Array(_) => "a list".into(),
            Value::Object(_) => "a table".into(),
            Value::String(text) => format!("the string {text:?}"),
            other => other.to_string(),
        };
        self.complaints.put(key.clone(), Fault::Type, format!("expected {expected}, found {found}"), about);
    }

    fn range(&mut self, schema: &Value, about: &str, key: &Key, value: &Value) {
        let Some(number) = value.as_f64() else { return };
        let wide = if schema["format"] == "uint32" { f64::from(u32::MAX) } else { f64::INFINITY };
        let limit = |name: &str| schema[name].as_f64();
        let above = limit("exclusiveMinimum").filter(|least| number <= *least);
        let least = limit("minimum").filter(|least| number < *least);
        let most = Some(limit("maximum").unwrap_or(wide)).filter(|most| number > *most);
        let what = match (above, least, most) {
            (Some(limit), ..) => format!("{value} is not above {limit}"),
            (_, Some(limit), _) => format!("{value} is below {limit}"),
            (.., Some(limit)) => format!("{value} is above {limit}"),
            _ => return,
        };
        self.complaints.put(key.clone(), Fault::Range, what, about);
    }

    fn array(&mut self, schema: &'a Value, about: &str, key: &Key, items: &mut [Value]) {
        let limit = |name: &str| schema[name].as_u64().and_then(|n| usize::try_from(n).ok());
        let (least, most) = (limit("minItems").unwrap_or(0), limit("maxItems").unwrap_or(usize::MAX));
        if items.is_empty() && least > 0 {
            self.complaints.put(key.clone(), Fault::Range, "the list is empty", about);
        } else if !(least..=most).contains(&items.len()) {
            let what = format!("expected {least} values, found {}", items.len());
            self.complaints.put(key.clone(), Fault::Range, what, about);
        }
        for (i, item) in items.iter_mut().enumerate() {
            self.value(&schema["items"], about, &key.at(i), item);
        }
    }

    fn table(&mut self, schema: &'a Value, about: &str, key: &Key, table: &mut Object) {
        let Some(properties) = schema["properties"].as_object() else {
            // A table of things by their names.
            let things = &schema["additionalProperties"];
            if things.is_object() {
                table.iter_mut().for_each(|(name, value)| self.value(things, about, &key.name(name), value));
            }
            return;
        };
        let known: Vec<&str> = properties.keys().map(String::as_str).collect();
        let mut meant = Vec::new();
        table.retain(|name, _| {
            let is_known = properties.contains_key(name);
            if !is_known {
                meant.extend(nearest(name, known.iter().copied()));
                let right = instead(name, known.iter().copied());
                self.complaints.put(key.name(name), Fault::Unknown, format!("unknown key `{name}`"), right);
            }
            is_known
        });
        for name in list(schema, "required").filter_map(Value::as_str) {
            // A key that is only misspelt is not reported a second time as missing.
            if !table.contains_key(name) && !meant.contains(&name) {
                let about = described(&schema["properties"][name]);
                self.complaints.put(key.name(name), Fault::Missing, format!("`{name}` is missing"), about);
            }
        }
        for (name, value) in table {
            let schema = &schema["properties"][name.as_str()];
            self.value(schema, &described(schema), &key.name(name), value);
        }
    }

    /// One of several names, or one of several tables told apart by the value of one key.
    fn variant(&mut self, schema: &'a Value, about: &str, key: &Key, value: &mut Value) {
        let variants: Vec<&'a Value> = list(schema, "oneOf").collect();
        let names = |tag: Option<&str>| -> Vec<&'a str> {
            let constant = |v: &'a Value| tag.map_or(&v["const"], |t| &v["properties"][t]["const"]).as_str();
            variants.iter().filter_map(|v| constant(v)).collect()
        };
        let tag = variants.first().and_then(|v| v["properties"].as_object()).and_then(|properties| {
            properties.iter().find(|(_, p)| p["const"].is_string()).map(|(name, _)| name.as_str())
        });
        let known = names(tag);
        let (key, text) = match (tag, &*value) {
            (None, Value::String(text)) => (key.clone(), text),
            (None, other) => return self.wrong(about, key, &format!("one of {}", known.join(", ")), other),
            (Some(tag), Value::Object(table)) => match table.get(tag) {
                Some(Value::String(text)) => (key.name(tag), text),
                Some(other) => return self.wrong(about, &key.name(tag), &known.join(", "), other),
                None => {
                    let right = format!("one of {}", known.join(", "));
                    return self.complaints.put(
                        key.name(tag),
                        Fault::Missing,
                        format!("`{tag}` is missing"),
                        right,
                    );
                }
            },
            (Some(_), other) => return self.wrong(about, key, "a table", other),
        };
        let Some(chosen) = known.iter().position(|name| name == text) else {
            let what = format!("unknown {} `{text}`", tag.unwrap_or("value"));
            return self.complaints.put(key, Fault::Choice, what, instead(text, known));
        };
        if let (Some(_), Some(table)) = (tag, value.as_object_mut()) {
            let parent = key.parent().unwrap_or_default();
            self.table(variants[chosen], about, &parent, table);
        }
    }
}

/// Whether null is allowed, which is how a key that was not given is written in JSON.
fn optional(schema: &Value) -> bool {
    list(schema, "type").any(|t| t == "null") || list(schema, "anyOf").any(|s| s["type"] == "null")
}

fn list<'v>(schema: &'v Value, name: &str) -> impl Iterator<Item = &'v Value> {
    schema[name].as_array().into_iter().flatten()
}

/// A documentation comment that spans lines keeps its line ends in the schema.
fn described(schema: &Value) -> String {
    schema["description"].as_str().unwrap_or_default().replace('\n', " ")
}

const UNDERSTOOD: &str = "$defs $ref $schema additionalProperties anyOf const default description \
    exclusiveMinimum format items maxItems maximum minItems minimum oneOf properties required title type";

/// Whether a schema says nothing that [`check`] does not understand; if it does, where.
pub fn understands(schema: &Value) -> Result<(), String> {
    keywords("", schema)
}

fn keywords(path: &str, schema: &Value) -> Result<(), String> {
    for (word, value) in schema.as_object().into_iter().flatten() {
        let path = format!("{path}/{word}");
        if !UNDERSTOOD.split(' ').any(|known| known == word) {
            return Err(path);
        }
        match word.as_str() {
            "$defs" | "properties" => {
                let own = |name: &str| word == "$defs" && (name == "Span" || name == "Size");
                for (name, schema) in value.as_object().into_iter().flatten().filter(|(name, _)| !own(name)) {
                    keywords(&format!("{path}/{name}"), schema)?;
                }
            }
            "anyOf" | "oneOf" => list(schema, word).try_for_each(|s| keywords(&path, s))?,
            "items" => keywords(&path, value)?,
            "additionalProperties" if value.is_object() => keywords(&path, value)?,
            "additionalProperties" if *value != false => return Err(path),
            _ => (),
        }
    }
    Ok(())
}
