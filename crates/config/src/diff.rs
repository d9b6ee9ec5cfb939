//! What another configuration would change in service: what of it live, what at a restart, and what is dangerous.
//! Pure; called by the command line, and by `plan` to find the applications that change.

use crate::document::Span;
use crate::resolve::Resolved;
use crate::types::Proxy;
use serde_json::Value;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// When a change takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TakesEffect {
    /// While the proxy serves.
    Live,
    /// When it starts again.
    AtRestart,
}

/// One value that differs.
#[derive(Clone, Debug, PartialEq)]
pub struct Edit {
    /// Its key, with names for indices: `classes[book].deadline`.
    pub key: String,
    /// Before; none if it is new.
    pub old: Option<String>,
    /// After; none if it is removed.
    pub new: Option<String>,
    /// When it takes effect.
    pub takes_effect: TakesEffect,
    /// What may go wrong on the way; empty if nothing is known.
    pub danger: String,
}

/// What differs for one application.
#[derive(Clone, Debug, PartialEq)]
pub enum Difference {
    /// It is added.
    Added(String),
    /// It is removed.
    Removed(String),
    /// Values of it differ.
    Changed(String, Vec<Edit>),
}

/// The keys that a proxy applies while it serves; all others wait for a restart.
const LIVE_KEYS: [&str; 2] = ["settings.client_connections", "inbound.max_requests"];

/// What differs between two sets of proxies, by name.
pub fn diff(old: &[Resolved], new: &[Resolved]) -> Vec<Difference> {
    let old = by_name(old);
    let new = by_name(new);
    let names: BTreeSet<&str> = old.keys().chain(new.keys()).copied().collect();
    names.into_iter().filter_map(|name| difference(name, old.get(name), new.get(name))).collect()
}

fn by_name(resolved: &[Resolved]) -> BTreeMap<&str, &Proxy> {
    resolved.iter().map(|one| (one.proxy.name.as_str(), &one.proxy)).collect()
}

fn difference(name: &str, old: Option<&&Proxy>, new: Option<&&Proxy>) -> Option<Difference> {
    let name = name.to_owned();
    match (old, new) {
        (Some(old), Some(new)) => {
            let edits = edits(old, new);
            (!edits.is_empty()).then_some(Difference::Changed(name, edits))
        }
        (Some(_), None) => Some(Difference::Removed(name)),
        (None, _) => Some(Difference::Added(name)),
    }
}

/// When a change of a key takes effect.
pub fn takes_effect(key: &str) -> TakesEffect {
    if LIVE_KEYS.contains(&key) { TakesEffect::Live } else { TakesEffect::AtRestart }
}

/// The values that differ between two proxies.
pub fn edits(old: &Proxy, new: &Proxy) -> Vec<Edit> {
    let old = flat(old);
    let new = flat(new);
    let keys: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    keys.into_iter().filter_map(|key| edit(key, old.get(key), new.get(key))).collect()
}

fn edit(key: &str, old: Option<&String>, new: Option<&String>) -> Option<Edit> {
    if old == new {
        return None;
    }
    Some(Edit {
        key: key.to_owned(),
        old: old.cloned(),
        new: new.cloned(),
        takes_effect: takes_effect(key),
        danger: danger(key, old, new).to_owned(),
    })
}

/// What is known to go wrong while a change is under way in a fleet; empty if nothing is.
#[expect(
    clippy::case_sensitive_file_extension_comparisons,
    reason = "keys of the format, not names of files"
)]
fn danger(key: &str, old: Option<&String>, new: Option<&String>) -> &'static str {
    let change = length_change(old, new);
    let is_removed = new.is_none();
    if key.ends_with(".deadline") && change == Some(Ordering::Less) {
        "shorter: change those that it calls first, or they work on for a caller that has given up"
    } else if key.ends_with(".deadline") && change == Some(Ordering::Greater) {
        "longer: change its callers first, or it works on for a caller that has given up"
    } else if key.ends_with(".effect") {
        "until all know the new effect, one side may repeat what another runs twice"
    } else if key.ends_with(".window") && change == Some(Ordering::Greater) {
        "longer: the endpoints must keep keys for as long first, or repeats run twice"
    } else if key.starts_with("classes[") && is_removed && key.ends_with(".name") {
        "gone: requests of this class are turned away"
    } else if key.starts_with("outbound[") && is_removed && key.ends_with(".listen") {
        "gone: the application must not call it any more"
    } else {
        ""
    }
}

/// How a length of time changes; none if either value is none.
fn length_change(old: Option<&String>, new: Option<&String>) -> Option<Ordering> {
    let old: Span = old?.parse().ok()?;
    let new: Span = new?.parse().ok()?;
    Some(new.cmp(&old))
}

/// The values of a proxy by their keys.
fn flat(proxy: &Proxy) -> BTreeMap<String, String> {
    let mut values = BTreeMap::new();
    flatten("", &serde_json::to_value(proxy).unwrap_or_default(), &mut values);
    values
}

fn flatten(path: &str, value: &Value, values: &mut BTreeMap<String, String>) {
    match value {
        Value::Null => {}
        Value::Object(table) => {
            for (name, value) in table {
                let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
                flatten(&path, value, values);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            for (i, item) in items.iter().enumerate() {
                // Tables are known by their names, so that one more at the front changes no other key.
                let name = ["name", "application"].iter().find_map(|key| item[key].as_str());
                let name = name.map_or_else(|| i.to_string(), str::to_owned);
                flatten(&format!("{path}[{name}]"), item, values);
            }
        }
        Value::Array(items) => {
            let items: Vec<&str> = items.iter().map(|item| item.as_str().unwrap_or_default()).collect();
            values.insert(path.to_owned(), items.join(", "));
        }
        Value::String(text) => _ = values.insert(path.to_owned(), text.clone()),
        other => _ = values.insert(path.to_owned(), other.to_string()),
    }
}

impl fmt::Display for TakesEffect {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            TakesEffect::Live => "live",
            TakesEffect::AtRestart => "at a restart",
        })
    }
}

impl fmt::Display for Edit {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Edit { key, old, new, takes_effect, danger } = self;
        match (old, new) {
            (Some(old), Some(new)) => write!(f, "{key}: {old} -> {new} ({takes_effect})")?,
            (Some(old), None) => write!(f, "{key}: {old} -> none ({takes_effect})")?,
            (None, Some(new)) => write!(f, "{key}: {new}, new ({takes_effect})")?,
            (None, None) => write!(f, "{key}")?,
        }
        if danger.is_empty() { Ok(()) } else { write!(f, "\n        danger: {danger}") }
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Difference::Added(name) => write!(f, "{name}: new"),
            Difference::Removed(name) => write!(f, "{name}: goes"),
            Difference::Changed(name, edits) => {
                write!(f, "{name}:")?;
                edits.iter().try_for_each(|edit| write!(f, "\n    {edit}"))
            }
        }
    }
}
