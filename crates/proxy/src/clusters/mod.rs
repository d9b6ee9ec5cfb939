//! All clusters of a listener: the platform's own, whose endpoints come from discovery, and those that the catalog
//! brings.
//!
//! [`crate::serve`] and [`crate::sidecar`] start them and hand them the catalog's steps; the admin server and hot
//! restart reach them here. Each cluster is run by a [`ClusterRuntime`]; this module never talks to an endpoint itself.

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
use crate::stages::cluster_selection::Routes;
use crate::stats::Pool;
use olivecart_membership::ClusterName;
use slog::Logger;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// All clusters, and the routes of requests to them.
pub struct Clusters {
    /// The routing rules, and what the stages need of each cluster.
    pub routes: Rc<Routes>,
    shared: Rc<ProxyState>,
    /// The platform's own cluster; none if no rule leads to it.
    platform_cluster: Option<Rc<ClusterRuntime>>,
    catalog_clusters: RefCell<BTreeMap<ClusterName, Rc<ClusterRuntime>>>,
    overrides: BTreeMap<ClusterName, Overrides>,
    seed: u64,
    /// The longest time that one batch of endpoint changes has held the event loop.
    longest_batch: Cell<Duration>,
    log: Logger,
}

impl Clusters {
    /// The platform's own cluster, if any rule leads to it.
    #[cfg(test)]
    pub fn platform_cluster(&self) -> Option<Rc<ClusterRuntime>> {
        self.platform_cluster.clone()
    }

    /// Adopts what can change of a configuration while the proxy serves.
    pub fn adopt(&self, changes: &Changes) {
        if let Some(runtime) = &self.platform_cluster {
            runtime.set_discovery_address(changes.discovery);
        }
    }

    /// Carries out an operator's request in every cluster that has the endpoint.
    ///
    /// # Errors
    /// No cluster has it.
    pub fn apply_admin_request(&self, request: &AdminRequest) -> Result<(), AdminError> {
        match request {
            AdminRequest::Detach(target) => self.apply_to_endpoint(target, |runtime| runtime.detach(target)),
            AdminRequest::Attach(target) => self.apply_to_endpoint(target, |runtime| runtime.attach(target)),
            AdminRequest::Ready | AdminRequest::Vars => Ok(()), // which change nothing
        }
    }

    /// Carries out an operator's request to another process. Danger: a change of the list reaches one process before
    /// the other; an endpoint that only the other one lists when it is detached would be used here once it is listed.
    pub fn apply_forwarded_admin_request(&self, request: &AdminRequest) {
        let applied = self.apply_admin_request(request);
        if let (AdminRequest::Detach(target), Err(_)) = (request, applied) {
            for runtime in self.runtimes() {
                runtime.detach_unlisted(target);
            }
        }
    }

    /// The state that a successor takes over.
    pub fn state(&self) -> State {
        let platform_cluster = self.platform_cluster.as_ref();
        let mut state = State {
            learned_state: platform_cluster.map(|runtime| runtime.learned_state()),
            list: platform_cluster.map(|runtime| runtime.serialized_list()),
            clock: Some(self.shared.clock.reading(&SystemClocks)),
            list_complete_at: platform_cluster.and_then(|runtime| runtime.list_complete_at()),
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

    /// Changes the limit on connections to endpoints.
    pub fn limit_connections(&self, max_connections: usize) {
        self.shared.descriptors.adopt(max_connections);
    }

    /// The size of all lists together, and how many of their endpoints are avoided now.
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
