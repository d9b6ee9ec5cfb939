//! Applies the catalog's steps: adds, changes, renumbers and removes clusters.

use super::Clusters;
use crate::catalog::{NumberedEndpoint, Step};
use crate::cluster_runtime::{ClusterRuntime, RuntimeConfig};
use olivecart_decisions::{CellId, EndpointEntry, EndpointId, MachineKindId, ZoneId};
use olivecart_membership::{ClusterName, ClusterSettings};
use olivecart_settings::Site;
use rustc_hash::FxBuildHasher;
use slog::{crit, info, o};
use std::hash::BuildHasher;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::mpsc::Receiver;

/// Endpoints in a batch. For each batch the balancer passes over all endpoints of the cluster (about 1 ms for
/// 10,000) and spends about 1 µs on each endpoint in the batch.
const BATCH_SIZE: usize = 1024;

impl Clusters {
    /// Applies the catalog's steps until the catalog ends.
    pub async fn apply_steps(self: Rc<Self>, mut steps: Receiver<Step>) {
        while let Some(step) = steps.recv().await {
            self.apply(step).await;
        }
        crit!(self.log, "catalog thread ended");
    }

    /// Applies one step.
    pub async fn apply(&self, step: Step) {
        match step {
            Step::Added(cluster, limits) => self.add(cluster, &limits),
            Step::Removed(cluster) => self.remove(&cluster),
            Step::Changed { cluster, limits, stopping, ready, log_message } => {
                let Some(runtime) = self.catalog_clusters.borrow().get(&cluster).cloned() else { return };
                if let Some(limits) = &limits {
                    self.apply_limits(&cluster, &runtime, limits);
                }
                self.apply_endpoints(&runtime, stopping, ready).await;
                if let Some(log_message) = log_message {
                    info!(self.log, "cluster changed"; "cluster" => %cluster, "last_change" => log_message);
                }
            }
            Step::Renumbered { cluster, limits, stopping, ready } => {
                let old_runtime = self.catalog_clusters.borrow().get(&cluster).cloned();
                let runtime = self.start_cluster(&cluster, &limits);
                // The runtime gets its endpoints before it gets requests; open requests end in the old
                // runtime.
                self.apply_endpoints(&runtime, stopping, ready).await;
                self.serve(cluster, runtime);
                if let Some(old_runtime) = old_runtime {
                    old_runtime.retire();
                }
            }
        }
    }

    /// Applies changed endpoints: all that stop receiving requests in the first batch, the others in several
    /// batches. The event loop runs between the batches, since 10,000 endpoints in one batch would block it
    /// for over 5 ms.
    async fn apply_endpoints(
        &self,
        runtime: &ClusterRuntime,
        stopping: Vec<NumberedEndpoint>,
        ready: Vec<NumberedEndpoint>,
    ) {
        let mut stopping = stopping.into_iter();
        let mut ready = ready.into_iter();
        loop {
            let started = Instant::now();
            let batch: Vec<NumberedEndpoint> =
                stopping.by_ref().chain(ready.by_ref().take(BATCH_SIZE)).collect();
            self.apply_batch(runtime, &batch);
            drop(batch);
            self.longest_batch.set(self.longest_batch.get().max(started.elapsed()));
            if ready.len() == 0 {
                return;
            }
            tokio::task::yield_now().await;
        }
    }

    fn apply_batch(&self, runtime: &ClusterRuntime, batch: &[NumberedEndpoint]) {
        let site = &self.shared.site;
        let changes = batch.iter().map(|numbered| {
            let entry = endpoint_entry(&mut site.borrow_mut(), numbered);
            (entry, numbered.endpoint.address)
        });
        runtime.apply_changes(changes);
    }

    fn add(&self, cluster: ClusterName, limits: &ClusterSettings) {
        let runtime = self.start_cluster(&cluster, limits);
        self.serve(cluster.clone(), runtime);
        info!(self.log, "cluster added"; "cluster" => %cluster);
    }

    fn start_cluster(&self, cluster: &ClusterName, limits: &ClusterSettings) -> Rc<ClusterRuntime> {
        let config = RuntimeConfig {
            settings: self.settings(cluster, limits),
            seed: self.seed ^ FxBuildHasher.hash_one(cluster.as_str()),
            discovery: None,
            log: self.log.new(o!("cluster" => cluster.as_str().to_owned())),
        };
        let runtime = ClusterRuntime::start(&self.shared, config);
        self.apply_limits(cluster, &runtime, limits);
        runtime
    }

    fn serve(&self, cluster: ClusterName, runtime: Rc<ClusterRuntime>) {
        if let Some(route) = self.routes.get(cluster.as_str()) {
            route.serve(runtime.context.clone());
        }
        self.catalog_clusters.borrow_mut().insert(cluster, runtime);
    }

    fn remove(&self, cluster: &ClusterName) {
        if let Some(route) = self.routes.get(cluster.as_str()) {
            route.remove();
        }
        let runtime = self.catalog_clusters.borrow_mut().remove(cluster);
        if let Some(runtime) = runtime {
            runtime.retire();
        }
        info!(self.log, "cluster removed"; "cluster" => %cluster);
    }
}

/// Converts an endpoint to an entry of the balancer's list.
fn endpoint_entry(
    site: &mut Site,
    NumberedEndpoint { number, state, endpoint }: &NumberedEndpoint,
) -> EndpointEntry {
    EndpointEntry {
        id: EndpointId(*number),
        name: endpoint.name.as_str().into(),
        state: *state,
        zone: ZoneId(site.zones.intern(endpoint.zone.as_str()) as u16),
        machine_kind: MachineKindId(site.kinds.intern(endpoint.kind.as_str()) as u16),
        cell: CellId(endpoint.cell),
        relative_capacity: endpoint.weight,
        started: endpoint.started,
    }
}
