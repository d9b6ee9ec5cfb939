//! Which clusters there are, which request goes to which, and what each may use.

use crate::cluster_config::{Overrides, REGISTRY, Rules};
use crate::stages::cluster_selection::Routes;
use olivecart_membership::ClusterName;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The routing of requests to clusters, as configured.
pub struct Routing {
    /// Every cluster that a rule leads to, the default first.
    pub named: Vec<ClusterName>,
    /// The routing rules.
    pub rules: Rules<ClusterName>,
    /// What each cluster may use.
    pub overrides: BTreeMap<ClusterName, Overrides>,
}

impl Default for Routing {
    /// Every request goes to the platform's own cluster.
    fn default() -> Routing {
        Routing { named: vec![REGISTRY.into()], rules: Rules::default(), overrides: BTreeMap::new() }
    }
}

/// The table of routes that the stages use; a rule to a cluster that is not named leads to the default.
pub(super) fn routes(named: &[ClusterName], rules: Rules<ClusterName>) -> Routes {
    let index_of = |name: ClusterName| named.iter().position(|known| *known == name).unwrap_or(0);
    let rules = rules.map(index_of);
    Routes::new(named.iter().map(|name| Rc::from(name.as_str())), rules)
}
