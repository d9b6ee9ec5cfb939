//! Checks of keys, types and ranges against the schema that is generated from the types: all that is wrong at
//! once, where a deserializer stops at the first.
//!
//! Only what schemars makes of `types.rs` is understood, and a test holds it to that.

use super::Span;
use super::key::Key;
use super::problem::Complaints;
use crate::nearest::{instead, nearest};
use serde_json::{Map, Value};

/// Checks a scenario's values against a schema. Unknown keys are taken out, so that the rest can be read.
pub(super) fn check(schema: &Value, value: &mut Value, complaints: &mut Complaints) {
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
            (Some("object"), Value::Object(table)) => self.table(schema, key, table),
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
            self.complaints.add(key.clone(), error.to_string(), about);
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
        self.complaints.add(key.clone(), format!("expected {expected}, found {found}"), about);
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
        self.complaints.add(key.clone(), what, about);
    }

    fn array(&mut self, schema: &'a Value, about: &str, key: &Key, items: &mut [Value]) {
        let limit = |name: &str| schema[name].as_u64().and_then(|n| usize::try_from(n).ok());
        let (least, most) = (limit("minItems").unwrap_or(0), limit("maxItems").unwrap_or(usize::MAX));
        if items.is_empty() && least > 0 {
            self.complaints.add(key.clone(), "the list is empty", about);
        } else if !(least..=most).contains(&items.len()) {
            let what = format!("expected {least} values, found {}", items.len());
            self.complaints.add(key.clone(), what, about);
        }
        for (i, item) in items.iter_mut().enumerate() {
            self.value(&schema["items"], about, &key.at(i), item);
        }
    }

    fn table(&mut self, schema: &'a Value, key: &Key, table: &mut Object) {
        let Some(properties) = schema["properties"].as_object() else { return };
        let known: Vec<&str> = properties.keys().map(String::as_str).collect();
        let mut meant = Vec::new();
        table.retain(|name, _| {
            let is_known = properties.contains_key(name);
            if !is_known {
                meant.extend(nearest(name, known.iter().copied()));
                let right = instead(name, known.iter().copied());
                self.complaints.add_name(key.name(name), format!("unknown key `{name}`"), right);
            }
            is_known
        });
        for name in list(schema, "required").filter_map(Value::as_str) {
            // A key that is only misspelt is not reported a second time as missing.
            if !table.contains_key(name) && !meant.contains(&name) {
                let about = described(&schema["properties"][name]);
                self.complaints.add(key.name(name), format!("`{name}` is missing"), about);
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
                    return self.complaints.add(key.name(tag), format!("`{tag}` is missing"), right);
                }
            },
            (Some(_), other) => return self.wrong(about, key, "a table", other),
        };
        let Some(chosen) = known.iter().position(|name| name == text) else {
            let what = format!("unknown {} `{text}`", tag.unwrap_or("value"));
            return self.complaints.add(key, what, instead(text, known));
        };
        if let (Some(_), Some(table)) = (tag, value.as_object_mut()) {
            let parent = key.parent().unwrap_or_default();
            self.table(variants[chosen], &parent, table);
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

#[cfg(test)]
mod tests {
    use super::*;

    const KNOWN: &str = "$defs $ref $schema additionalProperties anyOf const default description \
        exclusiveMinimum format items maxItems maximum minItems minimum oneOf properties required title type";

    fn check_keywords(path: &str, schema: &Value) {
        for (word, value) in schema.as_object().into_iter().flatten() {
            let path = format!("{path}/{word}");
            assert!(KNOWN.split(' ').any(|known| known == word), "{path} is not understood");
            match word.as_str() {
                "$defs" | "properties" => {
                    let spans = |name: &str| word == "$defs" && name == "Span";
                    let inner = value.as_object().unwrap().iter().filter(|(name, _)| !spans(name));
                    inner.for_each(|(name, schema)| check_keywords(&format!("{path}/{name}"), schema));
                }
                "anyOf" | "oneOf" => list(schema, word).for_each(|s| check_keywords(&path, s)),
                "items" => check_keywords(&path, value),
                "additionalProperties" => assert_eq!(value, false, "{path}"),
                _ => (),
            }
        }
    }

    #[test]
    fn the_schema_says_nothing_that_is_not_understood() {
        check_keywords("", crate::scenario::schema::tree());
    }
}
