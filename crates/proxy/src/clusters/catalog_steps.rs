//! Applies the catalog's steps: clusters that are added, changed, started anew and removed.

use super::Clusters;
use crate::catalog::{Numbered, Step};
use crate::cluster_runtime::{ClusterRuntime, RuntimeConfig};
use olivecart_decisions::{CellId, EndpointEntry, EndpointId, KindId, ZoneId};
use olivecart_membership::{ClusterName, ClusterSettings};
use olivecart_settings::Site;
use rustc_hash::FxBuildHasher;
use slog::{crit, info, o};
use std::hash::BuildHasher;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::mpsc::Receiver;

/// Endpoints applied at a time. Each batch costs the balancer a look at all endpoints of the cluster (some 1 ms where
/// there are 10,000) and some 1 µs for each endpoint in it.
const BATCH_SIZE: usize = 1024;

impl Clusters {
    /// Applies the catalog's steps until the catalog ends.
    pub async fn follow(self: Rc<Self>, mut steps: Receiver<Step>) {
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
            Step::Changed { cluster, limits, stops, takes, words } => {
                let Some(runtime) = self.catalog_clusters.borrow().get(&cluster).cloned() else { return };
                if let Some(limits) = &limits {
                    self.apply_limits(&cluster, &runtime, limits);
                }
                self.apply_endpoints(&runtime, stops, takes).await;
                if let Some(words) = words {
                    info!(self.log, "cluster changed"; "cluster" => %cluster, "last" => words);
                }
            }
            Step::Renewed { cluster, limits, stops, takes } => {
                let predecessor = self.catalog_clusters.borrow().get(&cluster).cloned();
                let runtime = self.start_cluster(&cluster, &limits);
                // Filled before it gets requests; the open ones end at the predecessor.
                self.apply_endpoints(&runtime, stops, takes).await;
                self.serve(cluster, runtime);
                if let Some(predecessor) = predecessor {
                    predecessor.retire();
                }
            }
        }
    }

    /// Applies changed endpoints: those that stop taking requests at once, the others in batches, between which the
    /// event loop runs. Danger: 10,000 in one batch hold it for over 5 ms.
    async fn apply_endpoints(&self, runtime: &ClusterRuntime, stops: Vec<Numbered>, takes: Vec<Numbered>) {
        let mut stops = stops.into_iter();
        let mut takes = takes.into_iter();
        loop {
            let started = Instant::now();
            let batch: Vec<Numbered> = stops.by_ref().chain(takes.by_ref().take(BATCH_SIZE)).collect();
            self.apply_batch(runtime, &batch);
            drop(batch);
            self.longest_batch.set(self.longest_batch.get().max(started.elapsed()));
            if takes.len() == 0 {
                return;
            }
            tokio::task::yield_now().await;
        }
    }

    fn apply_batch(&self, runtime: &ClusterRuntime, batch: &[Numbered]) {
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
        if let Some(route) = self.routes.place(cluster.as_str()) {
            route.serve(runtime.context.clone());
        }
        self.catalog_clusters.borrow_mut().insert(cluster, runtime);
    }

    fn remove(&self, cluster: &ClusterName) {
        if let Some(route) = self.routes.place(cluster.as_str()) {
            route.remove();
        }
        let runtime = self.catalog_clusters.borrow_mut().remove(cluster);
        if let Some(runtime) = runtime {
            runtime.retire();
        }
        info!(self.log, "cluster removed"; "cluster" => %cluster);
    }
}

/// An endpoint as the balancer knows it.
fn endpoint_entry(site: &mut Site, Numbered { number, state, endpoint }: &Numbered) -> EndpointEntry {
    EndpointEntry {
        id: EndpointId(*number),
        name: endpoint.name.as_str().into(),
        state: *state,
        zone: ZoneId(site.zones.intern(endpoint.zone.as_str()) as u16),
        kind: KindId(site.kinds.intern(endpoint.kind.as_str()) as u16),
        cell: CellId(endpoint.cell),
        size: endpoint.weight,
        started: endpoint.started,
    }
}
