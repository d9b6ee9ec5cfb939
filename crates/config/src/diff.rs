//! Compares two configurations: which values change, whether each change takes effect live or at a restart,
//! and which changes are risky during a rollout. No I/O. Used by the command line, and by `plan` to find the
//! applications that change.

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
    /// While the proxy is running.
    Live,
    /// At the next start of the proxy.
    AtRestart,
}

/// A change of one value.
#[derive(Clone, Debug, PartialEq)]
pub struct Edit {
    /// The key, with names instead of indices: `classes[book].deadline`.
    pub key: String,
    /// The old value; `None` if the key is added.
    pub old: Option<String>,
    /// The new value; `None` if the key is removed.
    pub new: Option<String>,
    /// When the change takes effect.
    pub takes_effect: TakesEffect,
    /// The known risk while the change is rolled out; empty if there is none.
    pub rollout_risk: String,
}

/// The changes of one application.
#[derive(Clone, Debug, PartialEq)]
pub enum Difference {
    /// The application is added.
    Added(String),
    /// The application is removed.
    Removed(String),
    /// Some values of the application change.
    Changed(String, Vec<Edit>),
}

/// The keys that a running proxy applies; all others take effect at a restart.
const LIVE_KEYS: [&str; 2] = ["settings.client_connections", "inbound.max_requests"];

/// Returns the differences between two sets of proxies, in the order of the application names.
pub fn diff(old: &[Resolved], new: &[Resolved]) -> Vec<Difference> {
    let old = by_name(old);
    let new = by_name(new);
    let names: BTreeSet<&str> = old.keys().chain(new.keys()).copied().collect();
    names.into_iter().filter_map(|name| difference(name, old.get(name), new.get(name))).collect()
}

fn by_name(resolved: &[Resolved]) -> BTreeMap<&str, &Proxy> {
    resolved.iter().map(|resolved| (resolved.proxy.name.as_str(), &resolved.proxy)).collect()
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

/// Returns when a change of a key takes effect.
pub fn takes_effect(key: &str) -> TakesEffect {
    if LIVE_KEYS.contains(&key) { TakesEffect::Live } else { TakesEffect::AtRestart }
}

/// Returns the values that differ between two proxies, in the order of their keys.
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
        rollout_risk: rollout_risk(key, old, new).to_owned(),
    })
}

/// Returns the known risk while a change is rolled out in a fleet, or an empty string.
#[expect(
    clippy::case_sensitive_file_extension_comparisons,
    reason = "these are configuration keys, not file names"
)]
fn rollout_risk(key: &str, old: Option<&String>, new: Option<&String>) -> &'static str {
    let change = length_change(old, new);
    let is_removed = new.is_none();
    if key.ends_with(".deadline") && change == Some(Ordering::Less) {
        "the deadline becomes shorter: first change the applications that this one calls; otherwise they \
            keep working on requests that this one has given up"
    } else if key.ends_with(".deadline") && change == Some(Ordering::Greater) {
        "the deadline becomes longer: first change the callers of this application; otherwise it keeps \
            working on requests that they have given up"
    } else if key.ends_with(".effect") {
        "until every proxy has the new effect, a caller may retry a request that its callee executes twice"
    } else if key.ends_with(".window") && change == Some(Ordering::Greater) {
        "the window becomes longer: first make the endpoints keep keys that long; otherwise a retried \
            request may run twice"
    } else if key.starts_with("classes[") && is_removed && key.ends_with(".name") {
        "the class is removed: requests of this class are rejected"
    } else if key.starts_with("outbound[") && is_removed && key.ends_with(".listen") {
        "the listener is removed: the application must stop calling through it first"
    } else {
        ""
    }
}

/// Compares two durations; returns `None` unless both values are durations.
fn length_change(old: Option<&String>, new: Option<&String>) -> Option<Ordering> {
    let old: Span = old?.parse().ok()?;
    let new: Span = new?.parse().ok()?;
    Some(new.cmp(&old))
}

/// Returns the values of a proxy by their flattened keys.
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
                // Tables in a list are identified by name, so that an insertion does not change the keys of
                // the others.
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
        let Edit { key, old, new, takes_effect, rollout_risk } = self;
        match (old, new) {
            (Some(old), Some(new)) => write!(f, "{key}: {old} -> {new} ({takes_effect})")?,
            (Some(old), None) => write!(f, "{key}: {old}, removed ({takes_effect})")?,
            (None, Some(new)) => write!(f, "{key}: {new}, added ({takes_effect})")?,
            (None, None) => write!(f, "{key}")?,
        }
        if rollout_risk.is_empty() { Ok(()) } else { write!(f, "\n        risk: {rollout_risk}") }
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Difference::Added(name) => write!(f, "{name}: added"),
            Difference::Removed(name) => write!(f, "{name}: removed"),
            Difference::Changed(name, edits) => {
                write!(f, "{name}:")?;
                edits.iter().try_for_each(|edit| write!(f, "\n    {edit}"))
            }
        }
    }
}
