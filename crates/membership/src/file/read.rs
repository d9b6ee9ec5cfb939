//! Converts the tree of a file to clusters and collects all problems. It does no I/O.

use super::VERSION;
use super::problem::{Fault, FileProblem, FileProblems, Lines};
use super::tree::{Entry, Node, Value, is_json};
use crate::endpoint::{Cluster, ClusterSettings, Endpoint, Endpoints, Metadata, State};
use crate::invalid::Invalid;
use crate::names::{Label, fault_of};
use std::collections::BTreeMap;
use std::collections::btree_map::Entry::{Occupied, Vacant};
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

/// A cluster, and the position of its name.
pub(super) struct PlacedCluster {
    pub cluster: Cluster,
    pub key: String,
    pub line: usize,
    pub column: usize,
}

/// A name and its position.
struct PlacedName {
    name: String,
    line: usize,
    column: usize,
}

/// Reads the clusters of a file's text.
pub(super) fn read(file: &str, text: &str) -> Result<Vec<PlacedCluster>, FileProblems> {
    let mut reader = Reader { file, lines: Lines::of(text), problems: Vec::new(), labels: BTreeMap::new() };
    let tree = if is_json(file, text) { Node::from_json(text) } else { Node::from_toml(text) };
    let clusters = match tree {
        Ok(tree) => reader.clusters(&tree),
        Err((range, fault)) => {
            reader.report(&range, "", fault);
            Vec::new()
        }
    };
    FileProblems::of(reader.problems).map_or(Ok(clusters), Err)
}

struct Reader<'t> {
    file: &'t str,
    lines: Lines<'t>,
    problems: Vec<FileProblem>,
    /// The names of zones and machine types, so that endpoints share their memory.
    labels: BTreeMap<String, Label>,
}

/// A table with known keys.
struct Table<'n> {
    /// The path of the table; empty at the top level.
    key: String,
    range: Range<usize>,
    entries: BTreeMap<&'n str, &'n Entry>,
}

const TOP_LEVEL_KEYS: [&str; 3] = ["version", "clusters", "end"];
const CLUSTER_KEYS: [&str; 8] = [
    "name",
    "empty",
    "endpoints",
    "connect_timeout",
    "max_connections",
    "max_pending_requests",
    "max_requests",
    "max_retries",
];
const ENDPOINT_KEYS: [&str; 10] =
    ["name", "address", "zone", "priority", "weight", "cell", "kind", "state", "metadata", "started_ms"];

impl Reader<'_> {
    fn report(&mut self, range: &Range<usize>, key: &str, fault: Fault) {
        self.problems.push(FileProblem::at(self.file, &self.lines, range, key.to_owned(), fault));
    }

    fn report_value(&mut self, node: &Node, key: &str, expected: &'static str) {
        let found = match &node.value {
            Value::Text(text) => format!("{text:?}"),
            Value::Integer(number) => number.to_string(),
            Value::Float(number) => number.to_string(),
            Value::Bool(value) => value.to_string(),
            Value::List(_) => "a list".into(),
            Value::Table(_) => "a table".into(),
            Value::Other(description) => (*description).into(),
        };
        self.report(&node.range, key, Fault::Value { expected, found });
    }

    /// Reads a table with known keys, or with any keys if `known` is empty. Of duplicate keys, the first one
    /// is used.
    fn table<'n>(&mut self, node: &'n Node, key: &str, known: &[&str]) -> Option<Table<'n>> {
        let Value::Table(entries) = &node.value else {
            self.report_value(node, key, "a table");
            return None;
        };
        let (mut table, dot) = (BTreeMap::new(), if key.is_empty() { "" } else { "." });
        for entry in entries {
            let child_key = format!("{key}{dot}{}", entry.name);
            if !known.is_empty() && !known.contains(&entry.name.as_str()) {
                self.report(
                    &entry.range,
                    &child_key,
                    Fault::UnknownKey { suggestion: suggest(&entry.name, known) },
                );
                continue;
            }
            match table.entry(entry.name.as_str()) {
                Vacant(vacant) => _ = vacant.insert(entry),
                Occupied(_) => self.report(&entry.range, &child_key, Fault::DuplicateKey),
            }
        }
        Some(Table { key: key.to_owned(), range: node.range.clone(), entries: table })
    }

    /// Returns the value of a required key.
    fn required<'n>(&mut self, table: &Table<'n>, name: &str) -> Option<&'n Node> {
        let node = table.entries.get(name).map(|entry| &entry.node);
        if node.is_none() {
            self.report(&table.range, &table.child_key(name), Fault::MissingKey);
        }
        node
    }

    /// Reads the value of an optional key.
    fn value<T>(
        &mut self,
        table: &Table,
        name: &str,
        expected: &'static str,
        read: impl Fn(&Value) -> Option<T>,
    ) -> Option<T> {
        let node = &table.entries.get(name)?.node;
        let value = read(&node.value);
        if value.is_none() {
            self.report_value(node, &table.child_key(name), expected);
        }
        value
    }

    fn label(&mut self, table: &Table, name: &str) -> Label {
        let text = self.value(table, name, "a string", text).unwrap_or_default();
        self.labels.entry(text).or_insert_with_key(|text| Label::from(text.as_str())).clone()
    }

    fn clusters(&mut self, tree: &Node) -> Vec<PlacedCluster> {
        let Some(table) = self.table(tree, "", &TOP_LEVEL_KEYS) else { return Vec::new() };
        if let Some(node) = self.required(&table, "version") {
            match node.value {
                Value::Integer(version) if version == i128::from(VERSION) => {}
                Value::Integer(version) => {
                    self.report(&node.range, "version", Fault::Version { found: version.to_string() });
                }
                _ => self.report_value(node, "version", "an integer"),
            }
        }
        let empty =
            |value: &Value| matches!(value, Value::Table(entries) if entries.is_empty()).then_some(());
        self.value(&table, "end", "an empty table", empty);
        let Some(node) = self.required(&table, "clusters") else { return Vec::new() };
        let Value::List(items) = &node.value else {
            self.report_value(node, "clusters", "a list of clusters");
            return Vec::new();
        };
        if items.is_empty() {
            self.report(&node.range, "clusters", Fault::NoClusters);
        }
        let mut clusters: Vec<PlacedCluster> = Vec::new();
        let mut lines: BTreeMap<String, usize> = BTreeMap::new();
        for (at, item) in items.iter().enumerate() {
            let Some(placed) = self.cluster(item, &format!("clusters[{at}]")) else { continue };
            let name = placed.cluster.name.as_str().to_owned();
            let name = PlacedName { name, line: placed.line, column: placed.column };
            self.check_unique(&mut lines, "cluster", &name, &placed.key);
            clusters.push(placed);
        }
        clusters
    }

    /// Records the line of a name, and reports a problem if the name was used before.
    fn check_unique(
        &mut self,
        lines: &mut BTreeMap<String, usize>,
        item: &'static str,
        placed: &PlacedName,
        key: &str,
    ) {
        let PlacedName { line, column, .. } = *placed;
        match lines.entry(placed.name.clone()) {
            Vacant(entry) => _ = entry.insert(line),
            Occupied(entry) => {
                let (name, place) = (entry.key().clone(), format!("{}:{}", self.file, entry.get()));
                let (file, key, fault) =
                    (self.file.into(), key.into(), Fault::DuplicateName { item, name, place });
                self.problems.push(FileProblem { file, line, column, key, fault });
            }
        }
    }

    /// Reads the required name of a table; an invalid name is reported and returned.
    fn name(&mut self, table: &Table, invalid: fn(&'static str) -> Invalid) -> Option<PlacedName> {
        let node = self.required(table, "name")?;
        let name = self.value(table, "name", "a string", text)?;
        if let Some(fault) = fault_of(&name) {
            self.report(&node.range, &table.child_key("name"), Fault::Invalid(invalid(fault)));
        }
        let (line, column) = self.lines.line_and_column(node.range.start);
        Some(PlacedName { name, line, column })
    }

    fn cluster(&mut self, node: &Node, key: &str) -> Option<PlacedCluster> {
        let table = self.table(node, key, &CLUSTER_KEYS)?;
        let name = self.name(&table, |fault| Invalid::ClusterName { fault });
        let settings = self.settings(&table);
        let endpoints = self.endpoints(&table);
        let PlacedName { name, line, column } = name?;
        let cluster = Cluster { name: name.as_str().into(), endpoints, settings };
        Some(PlacedCluster { cluster, key: table.child_key("name"), line, column })
    }

    fn settings(&mut self, table: &Table) -> ClusterSettings {
        let connect_timeout = self.value(table, "connect_timeout", "a duration such as \"250ms\"", duration);
        let mut count = |name| self.value(table, name, "an integer from 0 to 4294967295", integer::<u32>);
        let settings = ClusterSettings {
            connect_timeout,
            max_connections: count("max_connections"),
            max_pending_requests: count("max_pending_requests"),
            max_requests: count("max_requests"),
            max_retries: count("max_retries"),
        };
        if let Err(fault) = settings.check() {
            self.report_invalid(table, fault);
        }
        settings
    }

    /// Reports an invalid value of a table at the position of its key.
    fn report_invalid(&mut self, table: &Table, fault: Invalid) {
        let entry = fault.key().and_then(|name| table.entries.get(name));
        let range = entry.map_or(&table.range, |entry| &entry.node.range).clone();
        let key = fault.key().map_or(table.key.clone(), |name| table.child_key(name));
        self.report(&range, &key, Fault::Invalid(fault));
    }

    fn endpoints(&mut self, table: &Table) -> Endpoints {
        let is_empty = self.value(table, "empty", "true or false", boolean) == Some(true);
        let node = table.entries.get("endpoints").map(|entry| &entry.node);
        let items: &[Node] = match node.map(|node| (node, &node.value)) {
            None => &[],
            Some((_, Value::List(items))) => items,
            Some((node, _)) => {
                self.report_value(node, &table.child_key("endpoints"), "a list of endpoints");
                return Endpoints::IntentionallyEmpty;
            }
        };
        let (range, key) =
            (node.map_or(&table.range, |node| &node.range).clone(), table.child_key("endpoints"));
        match (is_empty, items.len()) {
            (true, 0) => return Endpoints::IntentionallyEmpty,
            (true, count) => {
                let range = table.entries.get("empty").map_or(&range, |entry| &entry.node.range).clone();
                self.report(&range, &table.child_key("empty"), Fault::NotEmpty { count });
            }
            (false, 0) => self.report(&range, &key, Fault::NoEndpoints),
            (false, _) => {}
        }
        let (mut list, mut lines) = (Vec::with_capacity(items.len()), BTreeMap::new());
        for (at, item) in items.iter().enumerate() {
            list.extend(self.endpoint(item, &format!("{key}[{at}]"), &mut lines));
        }
        let mut ready = list.iter().filter(|e: &&Endpoint| e.state == State::Ready).peekable();
        if ready.peek().is_some() && ready.all(|e| e.weight == 0.0) {
            self.report(&range, &key, Fault::AllWeightsZero);
        }
        Endpoints::Listed(list)
    }

    fn endpoint(&mut self, node: &Node, key: &str, lines: &mut BTreeMap<String, usize>) -> Option<Endpoint> {
        let problems_before = self.problems.len();
        let table = self.table(node, key, &ENDPOINT_KEYS)?;
        let name = self.name(&table, |fault| Invalid::EndpointName { fault });
        let address =
            self.value(&table, "address", "an IP address and port such as \"10.0.0.1:8080\"", address);
        let state = self.value(&table, "state", "\"ready\", \"draining\" or \"unhealthy\"", state);
        let (zone, kind) = (self.label(&table, "zone"), self.label(&table, "kind"));
        let count = "an integer of at least 0";
        let priority = self.value(&table, "priority", "an integer from 0 to 128", integer);
        let weight = self.value(&table, "weight", "a number", number);
        let cell = self.value(&table, "cell", count, integer);
        let started = self.value(&table, "started_ms", count, integer::<u64>);
        let metadata = self.metadata(&table);
        let name = name?;
        self.check_unique(lines, "endpoint", &name, &table.child_key("name"));
        let PlacedName { name, .. } = name;
        let endpoint = Endpoint {
            name: name.as_str().into(),
            address,
            zone,
            priority: priority.unwrap_or(0),
            weight: weight.unwrap_or(1.0),
            cell: cell.unwrap_or(0),
            kind,
            state: state.unwrap_or_default(),
            metadata,
            started: started.filter(|ms| *ms > 0).map(|ms| ms.saturating_mul(1_000_000)),
        };
        // Validation would report a problem again that was found while reading the values.
        if let Err(fault) = endpoint.check()
            && self.problems.len() == problems_before
        {
            self.report_invalid(&table, fault);
        }
        Some(endpoint)
    }

    fn metadata(&mut self, table: &Table) -> Metadata {
        let Some(entry) = table.entries.get("metadata") else { return Metadata::default() };
        let key = table.child_key("metadata");
        let Some(pairs) = self.table(&entry.node, &key, &[]) else { return Metadata::default() };
        let names: Vec<&str> = pairs.entries.keys().copied().collect();
        let pair = |name| Some((name, self.value(&pairs, name, "a string", text)?));
        names.into_iter().filter_map(pair).collect()
    }
}

impl Table<'_> {
    /// Returns the path of a key in this table.
    fn child_key(&self, name: &str) -> String {
        if self.key.is_empty() { name.to_owned() } else { format!("{}.{name}", self.key) }
    }
}

fn text(value: &Value) -> Option<String> {
    if let Value::Text(text) = value { Some(text.clone()) } else { None }
}

fn boolean(value: &Value) -> Option<bool> {
    if let Value::Bool(value) = value { Some(*value) } else { None }
}

fn integer<T: TryFrom<i128>>(value: &Value) -> Option<T> {
    if let Value::Integer(number) = value { T::try_from(*number).ok() } else { None }
}

fn number(value: &Value) -> Option<f64> {
    match value {
        Value::Integer(number) => Some(*number as f64),
        Value::Float(number) => Some(*number),
        _ => None,
    }
}

fn duration(value: &Value) -> Option<Duration> {
    humantime::parse_duration(&text(value)?).ok()
}

fn address(value: &Value) -> Option<SocketAddr> {
    text(value)?.parse().ok()
}

fn state(value: &Value) -> Option<State> {
    match text(value)?.as_str() {
        "ready" => Some(State::Ready),
        "draining" => Some(State::Draining),
        "unhealthy" => Some(State::Unhealthy),
        _ => None,
    }
}

/// Suggests the most similar known key for an unknown one, or lists all known keys if none is similar.
fn suggest(name: &str, known: &[&str]) -> String {
    // The threshold of clap for options: below 0.7 a suggestion is as often wrong as right.
    let similarity = |other: &str| strsim::jaro_winkler(&name.to_lowercase(), other);
    let similar = known.iter().map(|&k| (similarity(k), k)).filter(|(similarity, _)| *similarity > 0.7);
    match similar.max_by(|a, b| a.0.total_cmp(&b.0)) {
        Some((_, closest)) => format!("did you mean `{closest}`?"),
        None => format!("known keys: {}", known.join(", ")),
    }
}
