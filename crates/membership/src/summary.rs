//! A short summary of a set of clusters, for the command line.

use crate::endpoint::{Cluster, Endpoints, State};
use crate::names::{ClusterName, Label};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// The summary of a set of clusters.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// The clusters, ordered by name.
    pub clusters: Vec<ClusterSummary>,
}

/// The summary of one cluster.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClusterSummary {
    /// Its name.
    pub cluster: ClusterName,
    /// Whether the cluster is intentionally empty.
    pub empty: bool,
    /// The number of endpoints in each state.
    pub states: BTreeMap<State, usize>,
    /// The number of endpoints in each zone; the zone's name is empty if unknown.
    pub zones: BTreeMap<Label, usize>,
    /// The number of endpoints of each priority.
    pub priorities: BTreeMap<u32, usize>,
    /// The sum of the weights of the endpoints that accept requests.
    pub weight: f64,
}

/// Summarizes a set of clusters.
pub fn summary(clusters: &[Cluster]) -> Summary {
    let mut clusters: Vec<ClusterSummary> = clusters.iter().map(summarize_cluster).collect();
    clusters.sort_by(|a, b| a.cluster.cmp(&b.cluster));
    Summary { clusters }
}

fn summarize_cluster(cluster: &Cluster) -> ClusterSummary {
    let empty = cluster.endpoints == Endpoints::IntentionallyEmpty;
    let (states, zones, priorities) = Default::default();
    let mut sum =
        ClusterSummary { cluster: cluster.name.clone(), empty, states, zones, priorities, weight: 0.0 };
    for endpoint in cluster.listed() {
        *sum.states.entry(endpoint.state).or_default() += 1;
        *sum.zones.entry(endpoint.zone.clone()).or_default() += 1;
        *sum.priorities.entry(endpoint.priority).or_default() += 1;
        sum.weight += if endpoint.takes_requests() { endpoint.weight } else { 0.0 };
    }
    sum
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let endpoints: usize = self.clusters.iter().flat_map(|c| c.states.values()).sum();
        write!(f, "{} clusters, {endpoints} endpoints", self.clusters.len())?;
        self.clusters.iter().try_for_each(|cluster| write!(f, "\n  {cluster}"))
    }
}

impl fmt::Display for ClusterSummary {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: ", self.cluster)?;
        if self.empty {
            return f.write_str("intentionally empty");
        }
        let states =
            self.states.iter().map(|(state, n)| format!("{n} {}", format!("{state:?}").to_lowercase()));
        let zones = self.zones.iter().map(|(zone, n)| match zone.as_str() {
            "" => format!("{n} in no zone"),
            zone => format!("{n} in zone {zone}"),
        });
        let has_several_priorities = self.priorities.len() > 1;
        let priorities = self.priorities.iter().filter(|_| has_several_priorities);
        let priorities = priorities.map(|(priority, n)| format!("{n} of priority {priority}"));
        let parts: Vec<String> = states.chain(zones).chain(priorities).collect();
        write!(f, "{}, weight {}", parts.join(", "), self.weight)
    }
}
