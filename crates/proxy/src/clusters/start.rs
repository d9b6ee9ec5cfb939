//! Starts the clusters. The platform's own cluster starts from its cached list or from the state of a
//! predecessor.

use super::routing::routes;
use super::{Clusters, Routing};
use crate::clock::Clock;
use crate::cluster_config::REGISTRY;
use crate::cluster_runtime::{ClusterRuntime, InheritedEndpoints, ProxyState, RuntimeConfig};
use crate::descriptors::Descriptors;
use crate::hot_restart::State;
use crate::membership::ListUpdate;
use crate::memory::MemoryAccountant;
use crate::platform::registry;
use crate::recent_ids::IdDigest;
use crate::stats::Stats;
use olivecart_decisions::LearnedState;
use olivecart_membership::ClusterSettings;
use olivecart_settings::Site;
use slog::{Logger, warn};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

/// The parameters of [`Clusters::start`].
pub struct ClustersConfig {
    /// The platform's settings, and the numbers of zones and kinds.
    pub site: Rc<RefCell<Site>>,
    /// The clock, shared by all balancers.
    pub clock: Clock,
    /// The seed of all random choices.
    pub seed: u64,
    /// The limit on connections to endpoints.
    pub descriptors: Rc<Descriptors>,
    /// The address of discovery; `None` if no rule leads to the platform's own cluster.
    pub discovery: Option<SocketAddr>,
    /// The cached endpoint list of the platform's own cluster, in the format of discovery.
    pub cached_list: Option<String>,
    /// The routing of requests to clusters.
    pub routing: Routing,
    /// The memory of the process.
    pub memory: Rc<MemoryAccountant>,
    /// The metrics; `None` without an admin server.
    pub stats: Option<Arc<Stats>>,
    /// The state handed over by the predecessor in a hot restart.
    pub taken_over: Option<State>,
}

/// The initial state of the platform's own cluster.
struct InitialState {
    discovery: Option<SocketAddr>,
    cached: Option<String>,
    handed_over: Option<String>,
    learned_state: Option<LearnedState>,
}

impl Clusters {
    /// Starts the platform's own cluster with its last known list. Clusters of the catalog are started when
    /// the catalog adds them, see [`apply_steps`](Self::apply_steps).
    ///
    /// The platform's registry is not a source of the catalog: the balancer itself decides when to query it
    /// and how to treat its silence, and without an operators' file there is no catalog. It is a cluster of
    /// its own instead, to which rules can lead.
    pub fn start(config: ClustersConfig, log: &Logger) -> Rc<Clusters> {
        let inherited = config.taken_over.unwrap_or_default();
        let shared = Rc::new(ProxyState {
            clock: config.clock,
            site: config.site,
            request_table: Rc::default(),
            descriptors: config.descriptors,
            memory: config.memory,
            stats: config.stats,
            inherited: InheritedEndpoints {
                detached: inherited.detached,
                attached_at: inherited.attached_at,
                list_complete_at: inherited.list_complete_at,
                start_times: inherited.start_times,
            },
        });
        for digest in inherited.request_ids.into_iter().flatten() {
            shared.request_table.recent_ids().remember(IdDigest(digest), Instant::now());
        }
        let Routing { clusters: routed, rules, overrides } = config.routing;
        let mut clusters = Clusters {
            routes: Rc::new(routes(&routed, rules)),
            shared,
            platform_cluster: None,
            catalog_clusters: RefCell::default(),
            overrides,
            seed: config.seed,
            longest_batch: Cell::default(),
            log: log.clone(),
        };
        let initial = InitialState {
            discovery: config.discovery,
            cached: config.cached_list,
            handed_over: inherited.list,
            learned_state: inherited.learned_state,
        };
        clusters.platform_cluster = clusters.start_platform_cluster(&initial);
        Rc::new(clusters)
    }

    /// Starts the platform's own cluster, if a rule leads to it.
    fn start_platform_cluster(&self, initial: &InitialState) -> Option<Rc<ClusterRuntime>> {
        let route = self.routes.get(REGISTRY)?;
        let name = REGISTRY.into();
        let config = RuntimeConfig {
            settings: self.settings(&name, &ClusterSettings::default()),
            seed: self.seed,
            discovery: initial.discovery,
            log: self.log.clone(),
        };
        let runtime = ClusterRuntime::start(&self.shared, config);
        self.apply_limits(&name, &runtime, &ClusterSettings::default());
        route.serve(runtime.context.clone());
        match &initial.handed_over {
            Some(list) => {
                let list = parse_list(Some(list), &self.log);
                runtime.start_from_predecessor(&list, initial.learned_state.as_ref());
            }
            None => runtime.start_from_cached_list(&parse_list(initial.cached.as_deref(), &self.log)),
        }
        Some(runtime)
    }
}

/// Parses a cached or handed over list. An unreadable list counts as empty.
pub(super) fn parse_list<'a>(text: Option<&'a str>, log: &Logger) -> ListUpdate<'a> {
    match text.map(|text| registry::read(text.as_bytes())) {
        Some(Ok(list)) => list,
        Some(Err(error)) => {
            warn!(log, "cached endpoint list rejected"; "error" => %error);
            ListUpdate::empty()
        }
        None => ListUpdate::empty(),
    }
}
