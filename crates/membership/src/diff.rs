//! What would change from one set of clusters to another, in words.

use crate::catalog::Catalog;
use crate::endpoint::{Cluster, ClusterSettings, Endpoint, Endpoints};
use crate::event::{EndpointUpdate, Event};
use crate::names::{ClusterName, EndpointName, SourceId, Version};
use crate::output::{Output, Quarantined};
use crate::policy::{BadPolicy, Policy};
use std::collections::BTreeMap;
use std::fmt;

/// One thing that differs between two sets of clusters.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// The cluster.
    pub cluster: ClusterName,
    /// The endpoint, if it is about one.
    pub endpoint: Option<EndpointName>,
    /// What differs.
    pub edit: Edit,
}

/// What differs.
#[derive(Clone, Debug, PartialEq)]
pub enum Edit {
    /// Only the new set has it; in words what it is.
    Added(String),
    /// Only the old set has it; in words what it was.
    Removed(String),
    /// The value of a key differs.
    Changed {
        /// The key.
        key: &'static str,
        /// What it was; `none` where there was nothing.
        from: String,
        /// What it is.
        to: String,
    },
}

/// What differs between two sets of clusters: cluster by cluster, its own values first, then endpoint by
/// endpoint. Of two clusters or endpoints of one name in a set the last one counts.
pub fn diff(old: &[Cluster], new: &[Cluster]) -> Vec<Difference> {
    let by_name =
        |set: &'_ [Cluster]| set.iter().map(|c| (c.name.clone(), c.clone())).collect::<BTreeMap<_, _>>();
    let mut found = Vec::new();
    for (cluster, pair) in pairs(&by_name(old), &by_name(new)) {
        let mut note = |endpoint: Option<&EndpointName>, edit| {
            found.push(Difference { cluster: cluster.clone(), endpoint: endpoint.cloned(), edit });
        };
        match pair {
            (Some(old), Some(new)) => {
                edits(cluster_values(old), cluster_values(new)).for_each(|edit| note(None, edit));
                for (name, pair) in pairs(&endpoints(old), &endpoints(new)) {
                    match pair {
                        (Some(old), Some(new)) => {
                            edits(values(old), values(new)).for_each(|edit| note(Some(name), edit));
                        }
                        (None, Some(new)) => note(Some(name), Edit::Added(in_words(new))),
                        (Some(old), None) => note(Some(name), Edit::Removed(in_words(old))),
                        (None, None) => {}
                    }
                }
            }
            (None, Some(new)) => note(None, Edit::Added(size(new))),
            (Some(old), None) => note(None, Edit::Removed(size(old))),
            (None, None) => {}
        }
    }
    found
}

/// What a catalog that serves `old` would quarantine of `new`, if one source replaced the one by the other.
///
/// # Errors
/// A figure of the policy that is out of its range.
pub fn quarantined_changes(
    old: &[Cluster],
    new: &[Cluster],
    policy: Policy,
) -> Result<Vec<Quarantined>, BadPolicy> {
    let source = SourceId::from("diff");
    let mut catalog = Catalog::new(policy, [source.clone()])?;
    let mut say = |version: u64, clusters: &[Cluster]| {
        let (version, update) = (Version::from(version), EndpointUpdate::FullSnapshot(clusters.to_vec()));
        let mut out = Vec::new();
        catalog.handle(0, Event::Update { source: source.clone(), version, update }, &mut out);
        out
    };
    say(1, old);
    let held = |output| if let Output::Quarantined(held) = output { Some(held) } else { None };
    Ok(say(2, new).into_iter().filter_map(held).collect())
}

type Pair<'a, T> = (Option<&'a T>, Option<&'a T>);

/// The values of two maps by key.
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
        ("empty", (cluster.endpoints == Endpoints::NoneOnPurpose).to_string()),
        ("connect_timeout", or_none(connect_timeout.map(humantime::format_duration))),
        ("max_connections", or_none(max_connections)),
        ("max_pending_requests", or_none(max_pending_requests)),
        ("max_requests", or_none(max_requests)),
        ("max_retries", or_none(max_retries)),
    ]
}

fn values(endpoint: &Endpoint) -> Vec<(&'static str, String)> {
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

/// An endpoint by what it has other than the defaults.
fn in_words(endpoint: &Endpoint) -> String {
    let plain = Endpoint { address: None, ..Endpoint::ready("", ([0, 0, 0, 0], 0).into()) };
    let told = values(endpoint).into_iter().zip(values(&plain)).filter(|(own, plain)| own != plain);
    told.map(|((key, value), _)| format!("{key} {value}")).collect::<Vec<_>>().join(", ")
}

fn size(cluster: &Cluster) -> String {
    match &cluster.endpoints {
        Endpoints::Listed(endpoints) => format!("{} endpoints", endpoints.len()),
        Endpoints::NoneOnPurpose => "empty on purpose".into(),
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "cluster {}", self.cluster)?;
        if let Some(endpoint) = &self.endpoint {
            write!(f, ": endpoint {endpoint}")?;
        }
        match &self.edit {
            Edit::Added(what) => write!(f, ": added ({what})"),
            Edit::Removed(what) => write!(f, ": removed ({what})"),
            Edit::Changed { key, from, to } => write!(f, ": {key} {from} -> {to}"),
        }
    }
}
