//! What a set of clusters amounts to, in a few lines.

use crate::endpoint::{Cluster, Endpoints, State};
use crate::names::{ClusterName, Label};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// What a set of clusters amounts to.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// Cluster by cluster, by name.
    pub clusters: Vec<ClusterSummary>,
}

/// What one cluster amounts to.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClusterSummary {
    /// Its name.
    pub cluster: ClusterName,
    /// It has no endpoints, on purpose.
    pub empty: bool,
    /// How many endpoints are in each state.
    pub states: BTreeMap<State, usize>,
    /// How many endpoints are in each zone; of no name where none is known.
    pub zones: BTreeMap<Label, usize>,
    /// How many endpoints are of each priority.
    pub priorities: BTreeMap<u32, usize>,
    /// The sum of the weights of those that take requests.
    pub weight: f64,
}

/// What a set of clusters amounts to.
pub fn summary(clusters: &[Cluster]) -> Summary {
    let mut clusters: Vec<ClusterSummary> = clusters.iter().map(of).collect();
    clusters.sort_by(|a, b| a.cluster.cmp(&b.cluster));
    Summary { clusters }
}

fn of(cluster: &Cluster) -> ClusterSummary {
    let empty = cluster.endpoints == Endpoints::NoneOnPurpose;
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
            return f.write_str("empty on purpose");
        }
        let states =
            self.states.iter().map(|(state, n)| format!("{n} {}", format!("{state:?}").to_lowercase()));
        let zones = self.zones.iter().map(|(zone, n)| match zone.as_str() {
            "" => format!("{n} in no zone"),
            zone => format!("{n} in zone {zone}"),
        });
        let several = self.priorities.len() > 1;
        let priorities = self.priorities.iter().filter(|_| several);
        let priorities = priorities.map(|(priority, n)| format!("{n} of priority {priority}"));
        let parts: Vec<String> = states.chain(zones).chain(priorities).collect();
        write!(f, "{}, weight {}", parts.join(", "), self.weight)
    }
}
