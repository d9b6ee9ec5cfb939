//! Key paths into a scenario, such as `clients.load` or `tier[0].kind[1].speed`: which there are, after the
//! scenario's JSON Schema, and setting one in a parsed file.

use crate::scenario::Scenario;
use olivecart_config::document::nearest;
use serde_json::Value as Json;
use std::fmt;
use toml_edit::{DocumentMut, Item, Table, Value};

#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    Key(String),
    Index(usize),
}

/// A path to a key of a scenario.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyPath(Vec<Step>);

/// Why a path leads nowhere.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum BadPath {
    /// It is not a path.
    #[error(
        "{0:?} is no key path: names joined by dots, each with or without an index, as in tier[0].servers"
    )]
    Form(String),
    /// A scenario has no such key.
    #[error("{}", unknown(.path, .key, .known))]
    Unknown {
        /// What the key is looked for in; empty for the scenario itself.
        path: String,
        /// The key.
        key: String,
        /// Keys that are there.
        known: Vec<String>,
    },
    /// Something is not what the path takes it for.
    #[error("{path} is no {wanted}")]
    Kind {
        /// What.
        path: String,
        /// What it would have to be.
        wanted: &'static str,
    },
    /// The file has fewer of them.
    #[error("there is no {path}[{index}]: the file has {found} of them, counted from 0")]
    Index {
        /// The list.
        path: String,
        /// The index.
        index: usize,
        /// How many there are.
        found: usize,
    },
}

fn unknown(path: &str, key: &str, known: &[String]) -> String {
    let full = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
    match nearest(key, known.iter().map(String::as_str)) {
        Some(close) => format!("a scenario has no key {}; the nearest is {}", full(key), full(close)),
        None => format!("a scenario has no key {}; known there: {}", full(key), known.join(", ")),
    }
}

impl fmt::Display for KeyPath {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&words(&self.0))
    }
}

fn words(steps: &[Step]) -> String {
    let mut text = String::new();
    for step in steps {
        match step {
            Step::Key(key) if text.is_empty() => text.push_str(key),
            Step::Key(key) => text.extend([".", key]),
            Step::Index(index) => text.push_str(&format!("[{index}]")),
        }
    }
    text
}

fn parse_part(part: &str, steps: &mut Vec<Step>) -> Option<()> {
    let (name, mut rest) = part.split_at(part.find('[').unwrap_or(part.len()));
    if name.is_empty() || !name.chars().all(|c| c.is_ascii_alphanumeric() || c == '_') {
        return None;
    }
    steps.push(Step::Key(name.to_owned()));
    while !rest.is_empty() {
        let (index, after) = rest.strip_prefix('[')?.split_once(']')?;
        steps.push(Step::Index(index.parse().ok()?));
        rest = after;
    }
    Some(())
}

impl KeyPath {
    /// Reads a path, without looking whether there is such a key.
    pub fn parse(text: &str) -> Result<KeyPath, BadPath> {
        let mut steps = Vec::new();
        for part in text.split('.') {
            parse_part(part, &mut steps).ok_or_else(|| BadPath::Form(text.to_owned()))?;
        }
        Ok(KeyPath(steps))
    }

    /// Whether this names the other's key, or something that the other's key is a part of.
    pub fn holds(&self, other: &KeyPath) -> bool {
        other.0.starts_with(&self.0)
    }

    /// Whether scenarios have such a key at all, whether or not a file sets it.
    ///
    /// # Errors
    /// There is none; with the nearest name that there is.
    pub fn check(&self) -> Result<(), BadPath> {
        let schema = schemars::schema_for!(Scenario).to_value();
        let mut nodes = vec![&schema];
        for (at, step) in self.0.iter().enumerate() {
            let path = || words(&self.0[..at]);
            nodes = variants(&schema, nodes);
            nodes = match step {
                Step::Key(key) => {
                    let tables = || nodes.iter().filter_map(|node| node.get("properties")?.as_object());
                    let next: Vec<&Json> = tables().filter_map(|table| table.get(key)).collect();
                    if next.is_empty() {
                        let mut known: Vec<String> =
                            tables().flat_map(|table| table.keys().cloned()).collect();
                        if known.is_empty() {
                            return Err(BadPath::Kind { path: path(), wanted: "table" });
                        }
                        known.sort();
                        known.dedup();
                        return Err(BadPath::Unknown { path: path(), key: key.clone(), known });
                    }
                    next
                }
                Step::Index(_) => nodes.iter().filter_map(|node| node.get("items")).collect(),
            };
            if nodes.is_empty() {
                return Err(BadPath::Kind { path: path(), wanted: "list" });
            }
        }
        Ok(())
    }

    /// Puts a value in place of what the file has there, or adds the key where the file leaves it out.
    ///
    /// # Errors
    /// The file has fewer elements in a list than the path asks for, or something else than a table or list.
    pub fn set(&self, file: &mut DocumentMut, value: Value) -> Result<(), BadPath> {
        let mut item = file.as_item_mut();
        for (at, step) in self.0.iter().enumerate() {
            let path = || words(&self.0[..at]);
            item = match step {
                Step::Key(key) => {
                    let table = item.as_table_like_mut();
                    let table = table.ok_or_else(|| BadPath::Kind { path: path(), wanted: "table" })?;
                    // A list that the file leaves out is empty; what comes below then says so.
                    let absent = match self.0.get(at + 1) {
                        Some(Step::Index(_)) => Item::Value(Value::Array(Default::default())),
                        _ => Item::Table(Table::new()),
                    };
                    table.entry(key).or_insert(absent)
                }
                Step::Index(index) => {
                    let found = match &*item {
                        Item::ArrayOfTables(tables) => tables.len(),
                        Item::Value(Value::Array(values)) => values.len(),
                        _ => return Err(BadPath::Kind { path: path(), wanted: "list" }),
                    };
                    let missing = BadPath::Index { path: path(), index: *index, found };
                    item.get_mut(*index).ok_or(missing)?
                }
            };
        }
        replace(item, value);
        Ok(())
    }
}

fn replace(item: &mut Item, value: Value) {
    // An element of a `[[list]]` can only be a table.
    *item = match value {
        Value::InlineTable(table) if item.is_table() => Item::Table(table.into_table()),
        value => Item::Value(value),
    };
}

/// What a schema's nodes may stand for: references followed, alternatives side by side.
fn variants<'a>(schema: &'a Json, mut open: Vec<&'a Json>) -> Vec<&'a Json> {
    let mut found = Vec::new();
    while let Some(node) = open.pop() {
        found.push(node);
        if let Some(name) = node.get("$ref").and_then(Json::as_str) {
            open.extend(schema.pointer(name.trim_start_matches('#')));
        }
        for word in ["oneOf", "anyOf", "allOf"] {
            open.extend(node.get(word).and_then(Json::as_array).into_iter().flatten());
        }
    }
    found
}

#[cfg(test)]
mod tests {
    use super::*;

    fn check(text: &str) -> Result<(), BadPath> {
        KeyPath::parse(text)?.check()
    }

    #[test]
    fn every_sort_of_key_is_found() {
        for text in [
            "clients.load",
            "clients.shape.swing",
            "tier[0].servers",
            "tier[1].kind[0].speed[1]",
            "tier[0].kind[0].cold.warm_in",
            "class[0].work.cv",
            "limits.max_attempts",
            "fault[0].part",
        ] {
            assert_eq!(check(text), Ok(()), "{text}");
        }
    }

    #[test]
    fn a_key_that_is_not_there_is_refused_with_the_nearest() {
        for (text, words) in [
            ("clients.laod", "no key clients.laod; the nearest is clients.load"),
            ("tier[0].server", "no key tier[0].server; the nearest is tier[0].servers"),
            ("limit.max_attempts", "no key limit; the nearest is limits"),
            ("clients.load.x", "clients.load is no table"),
            ("clients[0].load", "clients is no list"),
            ("tier.servers", "tier is no table"),
            ("clients..load", "is no key path"),
            ("tier[x].servers", "is no key path"),
            ("network.zzz", "known there: client, cross_zone, jitter"),
        ] {
            let error = check(text).expect_err(text).to_string();
            assert!(error.contains(words), "{text}: {error}");
        }
    }

    fn set(file: &str, path: &str, value: &str) -> Result<String, BadPath> {
        let mut file: DocumentMut = file.parse().expect("a file");
        let value = value.parse::<Value>().expect("a value");
        KeyPath::parse(path)?.set(&mut file, value)?;
        Ok(file.to_string())
    }

    const FILE: &str = "name = 'x' # kept\n[clients]\nload = 0.5\n[[fault]]\npart = 1\n[[fault]]\npart = 2\n";

    fn parsed(text: &str) -> toml::Table {
        text.parse().expect("a file")
    }

    #[test]
    fn a_value_replaces_what_is_there_and_keeps_the_lines() {
        let text = set(FILE, "clients.load", "0.9").expect("set");
        assert_eq!(text.lines().count(), FILE.lines().count());
        assert_eq!(parsed(&text), parsed(&FILE.replace("0.5", "0.9")));
        let text = set(FILE, "fault[1].part", "0.25").expect("set");
        assert_eq!(parsed(&text), parsed(&FILE.replace("part = 2", "part = 0.25")));
    }

    #[test]
    fn a_key_left_to_its_default_is_added() {
        let text = set(FILE, "limits.max_attempts", "2").expect("set");
        assert_eq!(parsed(&text), parsed(&format!("{FILE}[limits]\nmax_attempts = 2\n")));
        let text = set(FILE, "clients.shape", "{ kind = 'steady' }").expect("set");
        assert_eq!(parsed(&text)["clients"]["shape"]["kind"].as_str(), Some("steady"));
        let text = set("clients = { load = 1 }", "clients.shape.kind", "'wave'").expect("set");
        assert_eq!(parsed(&text)["clients"]["shape"]["kind"].as_str(), Some("wave"));
    }

    #[test]
    fn whole_tables_and_lists_can_be_set() {
        let text = set(FILE, "fault[0]", "{ part = 0.1, kind = 'crash' }").expect("set");
        assert_eq!(parsed(&text)["fault"][0]["kind"].as_str(), Some("crash"));
        assert_eq!(parsed(&text)["fault"][1]["part"].as_integer(), Some(2));
        let text = set(FILE, "fault", "[]").expect("set");
        assert_eq!(parsed(&text)["fault"].as_array().map(Vec::len), Some(0));
        let text = set(FILE, "clients", "{ rate = 3 }").expect("set");
        assert_eq!(parsed(&text)["clients"], toml::Value::Table(parsed("rate = 3")));
    }

    #[test]
    fn an_index_past_the_end_is_refused() {
        let error = set(FILE, "fault[2].part", "1").expect_err("refused").to_string();
        assert_eq!(error, "there is no fault[2]: the file has 2 of them, counted from 0");
        let error = set(FILE, "tenant[0].share", "1").expect_err("refused").to_string();
        assert_eq!(error, "there is no tenant[0]: the file has 0 of them, counted from 0");
    }
}
