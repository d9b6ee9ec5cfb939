//! All clusters of a listener: the platform's own cluster, with endpoints from discovery, and the clusters of
//! the catalog.
//!
//! [`crate::serve`] and [`crate::sidecar`] start the clusters and pass them the catalog's steps; the admin
//! server and hot restart access them here. Each cluster is run by a [`ClusterRuntime`]; this module does not
//! connect to endpoints.

mod catalog_steps;
mod limits;
mod report;
mod routing;
mod start;

pub use routing::Routing;
pub use start::ClustersConfig;

use crate::admin_overrides::UnknownEndpoint;
use crate::clock::SystemClocks;
use crate::cluster_config::Overrides;
use crate::cluster_runtime::{ClusterRuntime, ProxyState};
use crate::config::Changes;
use crate::console::request::{AdminError, AdminRequest};
use crate::hot_restart::State;
use crate::recent_ids::RecentIds;
use crate::stages::cluster_selection::Routes;
use crate::stats::Pool;
use olivecart_membership::ClusterName;
use slog::Logger;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// The clusters of a listener and the routes to them.
pub struct Clusters {
    /// The routing rules and, for each cluster, the context of the request stages.
    pub routes: Rc<Routes>,
    shared: Rc<ProxyState>,
    /// The platform's own cluster; `None` if no rule leads to it.
    platform_cluster: Option<Rc<ClusterRuntime>>,
    catalog_clusters: RefCell<BTreeMap<ClusterName, Rc<ClusterRuntime>>>,
    overrides: BTreeMap<ClusterName, Overrides>,
    seed: u64,
    /// The longest time that a batch of endpoint changes has blocked the event loop.
    longest_batch: Cell<Duration>,
    log: Logger,
}

impl Clusters {
    /// Returns the platform's own cluster, if a rule leads to it.
    #[cfg(test)]
    pub fn platform_cluster(&self) -> Option<Rc<ClusterRuntime>> {
        self.platform_cluster.clone()
    }

    /// Applies the changes of a reloaded configuration.
    pub fn adopt(&self, changes: &Changes) {
        if let Some(runtime) = &self.platform_cluster {
            runtime.set_discovery_address(changes.discovery);
        }
    }

    /// Carries out an operator's request in every cluster that lists the endpoint.
    ///
    /// # Errors
    /// No cluster lists the endpoint.
    pub fn apply_admin_request(&self, request: &AdminRequest) -> Result<(), AdminError> {
        match request {
            AdminRequest::Detach(target) => self.apply_to_endpoint(target, |runtime| runtime.detach(target)),
            AdminRequest::Attach(target) => self.apply_to_endpoint(target, |runtime| runtime.attach(target)),
            AdminRequest::Ready | AdminRequest::Vars => Ok(()), // these only read
        }
    }

    /// Carries out an operator's request that another process received. An update of the endpoint list may
    /// reach that process first: an endpoint that is not listed here yet is detached as well, or it would be
    /// used once listed.
    pub fn apply_forwarded_admin_request(&self, request: &AdminRequest) {
        let applied = self.apply_admin_request(request);
        if let (AdminRequest::Detach(target), Err(_)) = (request, applied) {
            for runtime in self.runtimes() {
                runtime.detach_unlisted(target);
            }
        }
    }

    /// Returns the state to hand over to a successor.
    pub fn state(&self) -> State {
        let platform_cluster = self.platform_cluster.as_ref();
        let mut state = State {
            learned_state: platform_cluster.map(|runtime| runtime.learned_state()),
            list: platform_cluster.map(|runtime| runtime.serialized_list()),
            clock: Some(self.shared.clock.reading(&SystemClocks)),
            list_complete_at: platform_cluster.and_then(|runtime| runtime.list_complete_at()),
            request_ids: Some(self.shared.request_table.recent_ids().all()),
            ..State::default()
        };
        for runtime in self.runtimes() {
            let overrides = runtime.manual_overrides();
            state.start_times.extend(runtime.amended_start_times());
            state.detached.extend(overrides.detached);
            state.attached_at.extend(overrides.attached_at);
        }
        state
    }

    /// Calls `action` with the ids of requests that may have been executed.
    pub fn recent_ids(&self, action: impl FnOnce(&RecentIds)) {
        action(self.shared.request_table.recent_ids());
    }

    /// Sets the limit on connections to endpoints.
    pub fn limit_connections(&self, max_connections: usize) {
        self.shared.descriptors.set_limit(max_connections);
    }

    /// Returns the number of endpoints of all clusters and how many of them are ejected.
    pub fn pool(&self) -> Pool {
        let mut total = Pool::default();
        for runtime in self.runtimes() {
            let pool = runtime.pool();
            total.size += pool.size;
            total.ejected += pool.ejected;
        }
        total
    }

    fn runtimes(&self) -> Vec<Rc<ClusterRuntime>> {
        let catalog_clusters = self.catalog_clusters.borrow();
        self.platform_cluster.iter().chain(catalog_clusters.values()).cloned().collect()
    }

    fn apply_to_endpoint(
        &self,
        target: &str,
        apply: impl Fn(&ClusterRuntime) -> Result<(), UnknownEndpoint>,
    ) -> Result<(), AdminError> {
        let mut is_known = false;
        for runtime in self.runtimes() {
            is_known |= apply(&runtime).is_ok();
        }
        if is_known { Ok(()) } else { Err(AdminError::UnknownEndpoint(target.to_owned())) }
    }
}

#[cfg(test)]
mod tests;
