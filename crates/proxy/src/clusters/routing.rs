//! The clusters of a listener, the rules that route requests to them, and their overrides.

use crate::cluster_config::{Overrides, REGISTRY, Rules};
use crate::stages::cluster_selection::Routes;
use olivecart_membership::ClusterName;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The routing of requests to clusters, as configured.
pub struct Routing {
    /// Every cluster that a rule leads to, the default cluster first.
    pub clusters: Vec<ClusterName>,
    /// The routing rules.
    pub rules: Rules<ClusterName>,
    /// The overrides of the clusters that have any.
    pub overrides: BTreeMap<ClusterName, Overrides>,
}

impl Default for Routing {
    /// Returns the routing of all requests to the platform's own cluster.
    fn default() -> Routing {
        Routing { clusters: vec![REGISTRY.into()], rules: Rules::default(), overrides: BTreeMap::new() }
    }
}

/// Builds the routing table of the request stages. A rule that leads to an unlisted cluster leads to the
/// default.
pub(super) fn routes(clusters: &[ClusterName], rules: Rules<ClusterName>) -> Routes {
    let index_of = |name: ClusterName| clusters.iter().position(|cluster| *cluster == name).unwrap_or(0);
    let rules = rules.map(index_of);
    Routes::new(clusters.iter().map(|name| Rc::from(name.as_str())), rules)
}
