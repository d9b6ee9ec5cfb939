//! Compares two sets of clusters and describes the differences as text, for the command line.

use crate::catalog::Catalog;
use crate::endpoint::{Cluster, ClusterSettings, Endpoint, Endpoints};
use crate::event::{EndpointUpdate, Event};
use crate::names::{ClusterName, EndpointName, SourceId, Version};
use crate::output::{Output, Quarantined};
use crate::policy::{BadPolicy, Policy};
use std::collections::BTreeMap;
use std::fmt;

/// One difference between two sets of clusters.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// The cluster.
    pub cluster: ClusterName,
    /// The endpoint, if the difference concerns one.
    pub endpoint: Option<EndpointName>,
    /// The kind of difference.
    pub edit: Edit,
}

/// A kind of difference.
#[derive(Clone, Debug, PartialEq)]
pub enum Edit {
    /// Only the new set has the item; the text describes it.
    Added(String),
    /// Only the old set has the item; the text describes it.
    Removed(String),
    /// The value of a key differs.
    Changed {
        /// The key.
        key: &'static str,
        /// The old value; `none` if it was not set.
        from: String,
        /// The new value; `none` if it is not set.
        to: String,
    },
}

/// Returns the differences between two sets of clusters, ordered by cluster: first those of its own values,
/// then those of its endpoints by id. If a set has several clusters or endpoints of one name, the last one is
/// used.
pub fn diff(old: &[Cluster], new: &[Cluster]) -> Vec<Difference> {
    let by_name =
        |set: &'_ [Cluster]| set.iter().map(|c| (c.name.clone(), c.clone())).collect::<BTreeMap<_, _>>();
    let mut found = Vec::new();
    for (cluster, pair) in pairs(&by_name(old), &by_name(new)) {
        let mut add = |endpoint: Option<&EndpointName>, edit| {
            found.push(Difference { cluster: cluster.clone(), endpoint: endpoint.cloned(), edit });
        };
        match pair {
            (Some(old), Some(new)) => {
                edits(cluster_values(old), cluster_values(new)).for_each(|edit| add(None, edit));
                for (name, pair) in pairs(&endpoints(old), &endpoints(new)) {
                    match pair {
                        (Some(old), Some(new)) => {
                            edits(endpoint_values(old), endpoint_values(new))
                                .for_each(|edit| add(Some(name), edit));
                        }
                        (None, Some(new)) => add(Some(name), Edit::Added(describe_endpoint(new))),
                        (Some(old), None) => add(Some(name), Edit::Removed(describe_endpoint(old))),
                        (None, None) => {}
                    }
                }
            }
            (None, Some(new)) => add(None, Edit::Added(describe_size(new))),
            (Some(old), None) => add(None, Edit::Removed(describe_size(old))),
            (None, None) => {}
        }
    }
    found
}

/// Returns the changes that a catalog would quarantine if its only source replaced `old` with `new`.
///
/// # Errors
/// Fails if a value of the policy is out of range.
pub fn quarantined_changes(
    old: &[Cluster],
    new: &[Cluster],
    policy: Policy,
) -> Result<Vec<Quarantined>, BadPolicy> {
    let source = SourceId::from("diff");
    let mut catalog = Catalog::new(policy, [source.clone()])?;
    let mut handle_snapshot = |version: u64, clusters: &[Cluster]| {
        let (version, update) = (Version::from(version), EndpointUpdate::FullSnapshot(clusters.to_vec()));
        let mut out = Vec::new();
        catalog.handle(0, Event::Update { source: source.clone(), version, update }, &mut out);
        out
    };
    handle_snapshot(1, old);
    let quarantined = |output| if let Output::Quarantined(change) = output { Some(change) } else { None };
    Ok(handle_snapshot(2, new).into_iter().filter_map(quarantined).collect())
}

type Pair<'a, T> = (Option<&'a T>, Option<&'a T>);

/// Joins two maps by key.
fn pairs<'a, K: Ord, T>(old: &'a BTreeMap<K, T>, new: &'a BTreeMap<K, T>) -> BTreeMap<&'a K, Pair<'a, T>> {
    let mut pairs: BTreeMap<&K, Pair<T>> =
        old.iter().map(|(key, value)| (key, (Some(value), None))).collect();
    for (key, value) in new {
        pairs.entry(key).or_insert((None, None)).1 = Some(value);
    }
    pairs
}

fn endpoints(cluster: &Cluster) -> BTreeMap<&EndpointName, &Endpoint> {
    cluster.listed().iter().map(|e| (&e.name, e)).collect()
}

fn edits(old: Vec<(&'static str, String)>, new: Vec<(&'static str, String)>) -> impl Iterator<Item = Edit> {
    let changed = |((key, from), (_, to)): ((&'static str, String), (_, String))| {
        (from != to).then_some(Edit::Changed { key, from, to })
    };
    old.into_iter().zip(new).filter_map(changed)
}

fn or_none<T: ToString>(value: Option<T>) -> String {
    value.map_or("none".into(), |value| value.to_string())
}

fn cluster_values(cluster: &Cluster) -> Vec<(&'static str, String)> {
    let ClusterSettings { connect_timeout, max_connections, .. } = cluster.settings;
    let ClusterSettings { max_pending_requests, max_requests, max_retries, .. } = cluster.settings;
    vec![
        ("empty", (cluster.endpoints == Endpoints::IntentionallyEmpty).to_string()),
        ("connect_timeout", or_none(connect_timeout.map(humantime::format_duration))),
        ("max_connections", or_none(max_connections)),
        ("max_pending_requests", or_none(max_pending_requests)),
        ("max_requests", or_none(max_requests)),
        ("max_retries", or_none(max_retries)),
    ]
}

fn endpoint_values(endpoint: &Endpoint) -> Vec<(&'static str, String)> {
    let Endpoint { name: _, address, zone, priority, weight, cell, kind, state, metadata, started } =
        endpoint;
    vec![
        ("address", or_none(*address)),
        ("state", format!("{state:?}").to_lowercase()),
        ("weight", weight.to_string()),
        ("zone", format!("{zone:?}")),
        ("priority", priority.to_string()),
        ("cell", cell.to_string()),
        ("kind", format!("{kind:?}")),
        ("started_ms", or_none(started.map(|at| at / 1_000_000))),
        ("metadata", format!("{metadata:?}")),
    ]
}

/// Describes an endpoint by the values that differ from the defaults.
fn describe_endpoint(endpoint: &Endpoint) -> String {
    let defaults = Endpoint { address: None, ..Endpoint::ready("", ([0, 0, 0, 0], 0).into()) };
    let differing = endpoint_values(endpoint)
        .into_iter()
        .zip(endpoint_values(&defaults))
        .filter(|(own, default)| own != default);
    differing.map(|((key, value), _)| format!("{key} {value}")).collect::<Vec<_>>().join(", ")
}

fn describe_size(cluster: &Cluster) -> String {
    match &cluster.endpoints {
        Endpoints::Listed(endpoints) => format!("{} endpoints", endpoints.len()),
        Endpoints::IntentionallyEmpty => "intentionally empty".into(),
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "cluster {}", self.cluster)?;
        if let Some(endpoint) = &self.endpoint {
            write!(f, ": endpoint {endpoint}")?;
        }
        match &self.edit {
            Edit::Added(description) => write!(f, ": added ({description})"),
            Edit::Removed(description) => write!(f, ": removed ({description})"),
            Edit::Changed { key, from, to } => write!(f, ": {key} {from} -> {to}"),
        }
    }
}
