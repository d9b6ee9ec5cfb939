//! Starts the clusters, the platform's own one from its cached list or from what a predecessor handed over.

use super::routing::routes;
use super::{Clusters, Routing};
use crate::bodies::BodyMemoryLimit;
use crate::clock::Clock;
use crate::cluster_config::REGISTRY;
use crate::cluster_runtime::{ClusterRuntime, InheritedEndpoints, ProxyState, RuntimeConfig};
use crate::descriptors::Descriptors;
use crate::hot_restart::State;
use crate::membership::News;
use crate::platform::registry;
use crate::stats::Stats;
use olivecart_decisions::LearnedState;
use olivecart_membership::ClusterSettings;
use olivecart_settings::Site;
use slog::{Logger, warn};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

/// What [`Clusters::start`] needs.
pub struct ClustersConfig {
    /// Settings, and the numbers of names.
    pub site: Rc<RefCell<Site>>,
    /// The clock of all balancers.
    pub clock: Clock,
    /// Seeds all randomness.
    pub seed: u64,
    /// The limit on connections to endpoints.
    pub descriptors: Rc<Descriptors>,
    /// Discovery's address; none if no rule leads to the platform's own cluster.
    pub discovery: Option<SocketAddr>,
    /// The platform's list as this proxy last stored it, in discovery's form.
    pub known: Option<String>,
    /// Which request goes to which cluster.
    pub routing: Routing,
    /// The memory limit for long bodies.
    pub budget: Rc<BodyMemoryLimit>,
    /// Metrics; none if nothing reads them.
    pub stats: Option<Arc<Stats>>,
    /// What the predecessor of a hot restart handed over.
    pub taken_over: Option<State>,
}

/// Where the platform's own cluster gets its first list from.
struct FirstList {
    discovery: Option<SocketAddr>,
    cached: Option<String>,
    handed_over: Option<String>,
    learned_state: Option<LearnedState>,
}

impl Clusters {
    /// Starts the platform's own cluster with its last known list. The catalog's clusters are started as the catalog
    /// brings them, see [`follow`](Self::follow).
    ///
    /// Considered instead: the registry as one more source of the catalog. Its watch and its lists are part of the
    /// balancer's interface (the balancer says when to ask, and judges silence), and without an operators' file it must
    /// stay what it is. So it is a cluster beside the catalog's, which rules can lead to.
    pub fn start(config: ClustersConfig, log: &Logger) -> Rc<Clusters> {
        let inherited = config.taken_over.unwrap_or_default();
        let shared = Rc::new(ProxyState {
            clock: config.clock,
            site: config.site,
            request_table: Rc::default(),
            descriptors: config.descriptors,
            body_memory: config.budget,
            stats: config.stats,
            inherited: InheritedEndpoints {
                detached: inherited.detached,
                attached_at: inherited.attached_at,
                list_complete_at: inherited.list_complete_at,
                start_times: inherited.start_times,
            },
        });
        let Routing { named, rules, overrides } = config.routing;
        let mut clusters = Clusters {
            routes: Rc::new(routes(&named, rules)),
            shared,
            platform_cluster: None,
            catalog_clusters: RefCell::default(),
            overrides,
            seed: config.seed,
            longest_batch: Cell::default(),
            log: log.clone(),
        };
        let first_list = FirstList {
            discovery: config.discovery,
            cached: config.known,
            handed_over: inherited.list,
            learned_state: inherited.learned_state,
        };
        clusters.platform_cluster = clusters.start_platform_cluster(&first_list);
        Rc::new(clusters)
    }

    /// Starts the platform's own cluster, if any rule leads to it.
    fn start_platform_cluster(&self, first_list: &FirstList) -> Option<Rc<ClusterRuntime>> {
        let route = self.routes.get(REGISTRY)?;
        let name = REGISTRY.into();
        let config = RuntimeConfig {
            settings: self.settings(&name, &ClusterSettings::default()),
            seed: self.seed,
            discovery: first_list.discovery,
            log: self.log.clone(),
        };
        let runtime = ClusterRuntime::start(&self.shared, config);
        self.apply_limits(&name, &runtime, &ClusterSettings::default());
        route.serve(runtime.context.clone());
        match &first_list.handed_over {
            Some(list) => {
                let list = parse_list(Some(list), &self.log);
                runtime.start_from_predecessor(&list, first_list.learned_state.as_ref());
            }
            None => runtime.start_from_cached_list(&parse_list(first_list.cached.as_deref(), &self.log)),
        }
        Some(runtime)
    }
}

/// A stored or handed over list; an unreadable one counts as empty.
pub(super) fn parse_list<'a>(text: Option<&'a str>, log: &Logger) -> News<'a> {
    match text.map(|text| registry::read(text.as_bytes())) {
        Some(Ok(list)) => list,
        Some(Err(error)) => {
            warn!(log, "cached endpoint list rejected"; "error" => %error);
            News::nothing()
        }
        None => News::nothing(),
    }
}
