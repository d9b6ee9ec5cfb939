//! What another configuration would change in service: what of it live, what at a restart, and what is dangerous.

use crate::resolve::Resolved;
use crate::types::Proxy;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// When a change is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum When {
    /// While the proxy serves.
    Live,
    /// When it starts again.
    Restart,
}

/// One value that differs.
#[derive(Clone, Debug, PartialEq)]
pub struct Edit {
    /// Its key, things by their names: `classes[book].deadline`.
    pub key: String,
    /// Before; none if it is new.
    pub old: Option<String>,
    /// After; none if it goes.
    pub new: Option<String>,
    /// When it is in force.
    pub when: When,
    /// What may go wrong on the way; empty if nothing is known.
    pub danger: String,
}

/// What differs for one application.
#[derive(Clone, Debug, PartialEq)]
pub enum Difference {
    /// It is new.
    Added(String),
    /// It goes.
    Removed(String),
    /// Values of it differ.
    Changed(String, Vec<Edit>),
}

/// What a proxy takes in while it serves; all else waits for a start.
const LIVE: [&str; 2] = ["settings.client_connections", "inbound.max_requests"];

/// What differs between two sets of proxies, by name.
pub fn diff(old: &[Resolved], new: &[Resolved]) -> Vec<Difference> {
    let by_name = |all: &'_ [Resolved]| -> BTreeMap<String, Proxy> {
        all.iter().map(|one| (one.proxy.name.clone(), one.proxy.clone())).collect()
    };
    let (old, new) = (by_name(old), by_name(new));
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    let mut all = Vec::new();
    for name in names {
        match (old.get(name), new.get(name)) {
            (Some(old), Some(new)) => {
                let edits = edits(old, new);
                if !edits.is_empty() {
                    all.push(Difference::Changed(name.clone(), edits));
                }
            }
            (Some(_), None) => all.push(Difference::Removed(name.clone())),
            _ => all.push(Difference::Added(name.clone())),
        }
    }
    all
}

/// Whether a key changes live.
pub fn when(key: &str) -> When {
    if LIVE.contains(&key) { When::Live } else { When::Restart }
}

/// The values that differ between two proxies.
pub fn edits(old: &Proxy, new: &Proxy) -> Vec<Edit> {
    let flat = |proxy: &Proxy| {
        let mut all = BTreeMap::new();
        flatten("", &serde_json::to_value(proxy).unwrap_or_default(), &mut all);
        all
    };
    let (before, after) = (flat(old), flat(new));
    let keys: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let mut all = Vec::new();
    for key in keys {
        let (was, is) = (before.get(key), after.get(key));
        if was != is {
            let danger = danger(key, was, is);
            all.push(Edit { key: key.clone(), old: was.cloned(), new: is.cloned(), when: when(key), danger });
        }
    }
    all
}

/// What is known to go wrong while a change is under way in a fleet.
fn danger(key: &str, old: Option<&String>, new: Option<&String>) -> String {
    let span = |text: Option<&String>| text?.parse::<crate::document::Span>().ok();
    let (was, is) = (span(old), span(new));
    let text = if key.ends_with(".deadline") && was.zip(is).is_some_and(|(was, is)| is < was) {
        "shorter: change those that it calls first, or they work on for a caller that has given up"
    } else if key.ends_with(".deadline") && was.zip(is).is_some_and(|(was, is)| is > was) {
        "longer: change its callers first, or it works on for a caller that has given up"
    } else if key.ends_with(".effect") {
        "until all know the new effect, one side may repeat what another runs twice"
    } else if key.ends_with(".window") && was.zip(is).is_some_and(|(was, is)| is > was) {
        "longer: the endpoints must keep keys for as long first, or repeats run twice"
    } else if key.starts_with("classes[") && new.is_none() && key.ends_with(".name") {
        "gone: requests of this class are turned away"
    } else if key.starts_with("outbound[") && new.is_none() && key.ends_with(".listen") {
        "gone: the application must not call it any more"
    } else {
        ""
    };
    text.to_owned()
}

fn flatten(path: &str, value: &Value, all: &mut BTreeMap<String, String>) {
    match value {
        Value::Null => {}
        Value::Object(table) => {
            for (name, value) in table {
                let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
                flatten(&path, value, all);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            for (i, item) in items.iter().enumerate() {
                // Things are known by their names, so that one more at the front changes nothing else.
                let name = ["name", "application"].iter().find_map(|key| item[key].as_str());
                let name = name.map_or_else(|| i.to_string(), str::to_owned);
                flatten(&format!("{path}[{name}]"), item, all);
            }
        }
        Value::Array(items) => {
            let items: Vec<String> =
                items.iter().map(|item| item.as_str().unwrap_or_default().to_owned()).collect();
            all.insert(path.to_owned(), items.join(", "));
        }
        Value::String(text) => _ = all.insert(path.to_owned(), text.clone()),
        other => _ = all.insert(path.to_owned(), other.to_string()),
    }
}

impl fmt::Display for When {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            When::Live => "live",
            When::Restart => "at a restart",
        })
    }
}

impl fmt::Display for Edit {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Edit { key, old, new, when, danger } = self;
        match (old, new) {
            (Some(old), Some(new)) => write!(f, "{key}: {old} -> {new} ({when})")?,
            (Some(old), None) => write!(f, "{key}: {old} -> none ({when})")?,
            (None, Some(new)) => write!(f, "{key}: {new}, new ({when})")?,
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
