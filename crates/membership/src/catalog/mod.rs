//! The catalog of all clusters and their sources: a state machine without I/O and without a clock.
//!
//! It owns the clusters, the state of the sources and the timers. The task that runs the sources calls
//! [`Catalog::handle`] with each event. An update of a cluster is validated (`input_validation`,
//! `validator`), applied or quarantined (`subscription`, `quarantine`), and reconciled: `reconcile` emits the
//! smallest change that brings the cluster up to date.

mod change_set;
mod cluster;
mod input_validation;
mod listing;
mod quarantine;
mod reconcile;
mod service;
mod source;
mod state_overlay;
mod subscription;
mod timers;
mod update;
mod validation_report;
mod validator;
mod view;

use crate::anomaly::Anomaly;
use crate::endpoint::{Cluster, ClusterSettings, Endpoint};
use crate::event::{ClusterDelta, EndpointUpdate, Event, Silence};
use crate::invalid::Invalid;
use crate::names::{ClusterName, EndpointName, SourceId, Version, fault_of};
use crate::output::Output;
use crate::policy::{BadPolicy, Policy};
use crate::rejection::Rejection;
use cluster::{ClusterSnapshot, ClusterState};
use olivecart_decisions::Nanos;
use source::{Rank, Silent, Source};
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use timers::{Timer, Timers};
use update::{UpdateContext, UpdateEffects};
pub use view::{ClusterView, QuarantineView, RejectionView, SourceView, SubscriptionView};

/// All clusters as their sources report them.
///
/// An endpoint of one source takes some 430 bytes (`benches/catalog.rs` prints the figure), of which 300 are
/// the endpoint and its names. A second source that lists the same endpoint takes as much again. A
/// quarantined change only takes memory for the difference.
#[derive(Debug)]
pub struct Catalog {
    policy: Policy,
    sources: Vec<Source>,
    clusters: BTreeMap<ClusterName, ClusterState>,
    timers: Timers,
    now: Nanos,
}

impl Catalog {
    /// Creates a catalog without clusters. The sources are in order of precedence: the first source that
    /// provides a cluster is its only owner. Later sources can only report its endpoints as not ready,
    /// confirm quarantined changes, and take over if earlier sources remove the cluster.
    ///
    /// # Errors
    /// Returns the first value of the policy that is out of range.
    pub fn new(policy: Policy, sources: impl IntoIterator<Item = SourceId>) -> Result<Catalog, BadPolicy> {
        policy.check()?;
        let source = |id| Source { id, silent: None, timer: None, last_rejection: None };
        let sources = sources.into_iter().map(source).collect();
        Ok(Catalog { policy, sources, clusters: BTreeMap::new(), timers: Timers::default(), now: 0 })
    }

    /// Handles an event and appends the resulting outputs to `out`. `now` is in nanoseconds of a monotonic
    /// clock with any origin. A time before that of the previous call is replaced by the previous one.
    ///
    /// A change of one endpoint takes O(log n) of the cluster's size. A whole list is compared with the
    /// previous one.
    pub fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        self.run_due_timers(out);
        self.on_event(event, out);
        // Timers set by the event may be due at once.
        self.run_due_timers(out);
    }

    fn on_event(&mut self, event: Event, out: &mut Vec<Output>) {
        let (Event::Update { source, .. }
        | Event::Confirm { source, .. }
        | Event::Silent { source, .. }
        | Event::Reconnected { source }) = &event
        else {
            return;
        };
        let Some(rank) = self.sources.iter().position(|known| known.id == *source) else {
            let (source, reason) = (source.clone(), Invalid::UnknownSource);
            out.push(Output::Rejected(Rejection { source, cluster: None, endpoint: None, reason }));
            return;
        };
        match event {
            Event::Update { version, update, .. } => {
                self.mark_reconnected(rank, out);
                self.apply_update(rank, &version, update, out);
            }
            Event::Confirm { cluster, .. } => self.confirm(rank, cluster, out),
            Event::Silent { silence, .. } => self.mark_silent(rank, silence),
            Event::Reconnected { .. } => self.mark_reconnected(rank, out),
            Event::Tick => {}
        }
    }

    /// Returns when [`Event::Tick`] is due next. Each event may change it.
    pub fn deadline(&self) -> Option<Nanos> {
        self.timers.next_deadline()
    }

    /// Iterates over the clusters in service, ordered by name.
    pub fn clusters(&self) -> impl Iterator<Item = Served<'_>> {
        self.clusters.values().filter_map(|state| self.served(state))
    }

    /// Returns a cluster that is in service.
    pub fn cluster(&self, name: &ClusterName) -> Option<Served<'_>> {
        self.served(self.clusters.get(name)?)
    }

    /// Returns the operators' view of each cluster that any source has named, ordered by name.
    pub fn view(&self) -> Vec<ClusterView> {
        self.clusters.values().map(|state| ClusterView::of(state, &self.sources, self.now)).collect()
    }

    /// Returns the operators' view of each source, in order of precedence.
    pub fn sources(&self) -> Vec<SourceView> {
        self.sources.iter().map(|source| SourceView::of(source, self.now)).collect()
    }

    fn served<'a>(&'a self, state: &'a ClusterState) -> Option<Served<'a>> {
        let service = state.service.as_ref()?;
        let accepted = state.subscriptions.get(&service.owner)?.accepted.as_ref()?;
        Some(Served {
            name: &state.name,
            source: &self.sources.get(service.owner)?.id,
            version: &accepted.version,
            settings: &service.settings,
            is_stale: service.is_stale,
            endpoints: &service.endpoints,
        })
    }

    /// Applies an update to a cluster and completes it. A cluster that no source lists any longer is dropped.
    fn update_cluster(
        &mut self,
        name: &ClusterName,
        by: Rank,
        out: &mut Vec<Output>,
        update: impl FnOnce(&mut ClusterState, &mut UpdateContext) -> UpdateEffects,
    ) {
        let Catalog { policy, sources, clusters, timers, now } = self;
        let Some(state) = clusters.get_mut(name) else { return };
        let mut context = UpdateContext { now: *now, policy, sources, timers, out };
        let effects = update(state, &mut context);
        state.complete_update(&mut context, by, effects);
        if state.is_vacant() {
            clusters.remove(name);
        }
    }

    fn apply_update(&mut self, rank: Rank, version: &Version, update: EndpointUpdate, out: &mut Vec<Output>) {
        match update {
            EndpointUpdate::FullSnapshot(clusters) => {
                let anomaly = match clusters.is_empty() {
                    true => Anomaly::NoClusters,
                    false => Anomaly::ClusterMissing,
                };
                let named = self.apply_lists(rank, version, clusters, out);
                let mut missing: Vec<ClusterName> = Vec::new();
                for state in self.clusters.values().filter(|state| !named.contains(&state.name)) {
                    missing.extend(state.subscriptions.contains_key(&rank).then(|| state.name.clone()));
                }
                for name in missing {
                    self.update_cluster(&name, rank, out, |state, context| {
                        state.mark_missing(context, rank, anomaly.clone())
                    });
                }
            }
            EndpointUpdate::ClusterSnapshots(clusters) => _ = self.apply_lists(rank, version, clusters, out),
            EndpointUpdate::ClusterDeltas(updates) => {
                for update in merge_by_cluster(updates) {
                    let name = update.cluster.clone();
                    if self.ensure_cluster(&name, rank, out) {
                        self.update_cluster(&name, rank, out, |state, context| {
                            state.apply_delta(context, rank, version, update)
                        });
                    }
                }
            }
            EndpointUpdate::ClustersRemoved(names) => {
                for name in names {
                    self.update_cluster(&name, rank, out, |state, _| state.remove(rank));
                }
            }
        }
    }

    /// Applies complete clusters one by one. Returns the names of all clusters in the update, valid or not.
    fn apply_lists(
        &mut self,
        rank: Rank,
        version: &Version,
        clusters: Vec<Cluster>,
        out: &mut Vec<Output>,
    ) -> BTreeSet<ClusterName> {
        let (mut named, mut duplicates) = (BTreeSet::new(), BTreeSet::new());
        for cluster in &clusters {
            if !named.insert(cluster.name.clone()) {
                duplicates.insert(cluster.name.clone());
            }
        }
        for Cluster { name, endpoints, settings } in clusters {
            if !duplicates.contains(&name) && self.ensure_cluster(&name, rank, out) {
                let snapshot = ClusterSnapshot { endpoints, settings };
                self.update_cluster(&name, rank, out, |state, context| {
                    state.apply_snapshot(context, rank, version, snapshot)
                });
            }
        }
        for name in duplicates {
            self.reject(rank, name, Invalid::DuplicateCluster, out);
        }
        named
    }

    /// Adds a cluster if it is unknown. Returns `false` if it is rejected.
    fn ensure_cluster(&mut self, name: &ClusterName, rank: Rank, out: &mut Vec<Output>) -> bool {
        if self.clusters.contains_key(name) {
            return true;
        }
        let most = self.policy.max_clusters;
        let reason = match fault_of(name.as_str()) {
            Some(fault) => Invalid::ClusterName { fault },
            None if self.clusters.len() >= most => Invalid::TooManyClusters { most },
            None => {
                self.clusters.insert(name.clone(), ClusterState::new(name.clone()));
                return true;
            }
        };
        self.reject(rank, name.clone(), reason, out);
        false
    }

    /// Rejects an input that concerns a cluster as a whole.
    fn reject(&mut self, rank: Rank, cluster: ClusterName, reason: Invalid, out: &mut Vec<Output>) {
        let source = &mut self.sources[rank];
        let (id, now) = (source.id.clone(), self.now);
        let rejection = Rejection { source: id, cluster: Some(cluster.clone()), endpoint: None, reason };
        let subscription =
            self.clusters.get_mut(&cluster).and_then(|state| state.subscriptions.get_mut(&rank));
        let last_rejection =
            subscription.map_or(&mut source.last_rejection, |subscription| &mut subscription.last_rejection);
        *last_rejection = Some((now, rejection.clone()));
        out.push(Output::Rejected(rejection));
    }

    fn confirm(&mut self, rank: Rank, cluster: ClusterName, out: &mut Vec<Output>) {
        let mut is_confirmed = false;
        self.update_cluster(&cluster, rank, out, |state, _| {
            let mut effects = UpdateEffects::default();
            is_confirmed = state.confirm(rank, &mut effects);
            effects
        });
        if !is_confirmed {
            self.reject(rank, cluster, Invalid::NothingQuarantined, out);
        }
    }

    fn mark_silent(&mut self, rank: Rank, silence: Silence) {
        let source = &mut self.sources[rank];
        let silent = source.silent.get_or_insert(Silent { since: self.now, silence, is_stale: false });
        silent.silence = silence;
        if !silent.is_stale {
            let at = silent.since.saturating_add(self.policy.aged_after.as_nanos() as Nanos);
            self.timers.set(&mut source.timer, Some(at), || Timer::MarkStale(rank));
        }
    }

    fn mark_reconnected(&mut self, rank: Rank, out: &mut Vec<Output>) {
        let source = &mut self.sources[rank];
        self.timers.set(&mut source.timer, None, || Timer::MarkStale(rank));
        if source.silent.take().is_some_and(|silent| silent.is_stale) {
            self.report_staleness(out);
        }
    }

    fn report_staleness(&mut self, out: &mut Vec<Output>) {
        let Catalog { policy, sources, clusters, timers, now } = self;
        let mut context = UpdateContext { now: *now, policy, sources, timers, out };
        clusters.values_mut().for_each(|state| state.report_staleness(&mut context));
    }

    /// Handles all timers that are due.
    fn run_due_timers(&mut self, out: &mut Vec<Output>) {
        while let Some(timer) = self.timers.pop(self.now) {
            match timer {
                Timer::MarkStale(rank) => {
                    let source = &mut self.sources[rank];
                    source.timer = None;
                    source.silent.iter_mut().for_each(|silent| silent.is_stale = true);
                    self.report_staleness(out);
                }
                Timer::Refetch(cluster, rank) => self.request_refetch(cluster, rank, out),
                Timer::Forget(cluster) => self.forget(&cluster),
            }
        }
    }

    fn request_refetch(&mut self, cluster: ClusterName, rank: Rank, out: &mut Vec<Output>) {
        let Catalog { policy, sources, clusters, timers, now } = self;
        let Some(subscription) =
            clusters.get_mut(&cluster).and_then(|state| state.subscriptions.get_mut(&rank))
        else {
            return;
        };
        subscription.timer = None;
        subscription.postpone_refetch(*now, policy);
        let refetch_at = subscription.refetch_at();
        timers.set(&mut subscription.timer, refetch_at, || Timer::Refetch(cluster.clone(), rank));
        out.push(Output::RefetchRequested { cluster, source: sources[rank].id.clone() });
    }

    fn forget(&mut self, cluster: &ClusterName) {
        let Catalog { policy, sources, clusters, timers, now } = self;
        let Some(state) = clusters.get_mut(cluster) else { return };
        state.forget_at = None;
        state.service.iter_mut().for_each(|service| service.expire_removed(*now, policy));
        state.schedule_timers(&mut UpdateContext {
            now: *now,
            policy,
            sources,
            timers,
            out: &mut Vec::new(),
        });
    }
}

/// Merges the updates into one update for each cluster.
///
/// Validated one by one, many updates that each remove a single endpoint would not be suspicious.
fn merge_by_cluster(updates: Vec<ClusterDelta>) -> Vec<ClusterDelta> {
    let mut merged: BTreeMap<ClusterName, ClusterDelta> = BTreeMap::new();
    for update in updates {
        match merged.entry(update.cluster.clone()) {
            Entry::Vacant(entry) => _ = entry.insert(update),
            Entry::Occupied(mut entry) => {
                let all = entry.get_mut();
                all.settings = update.settings.or(all.settings);
                all.upserts.extend(update.upserts);
                all.removals.extend(update.removals);
            }
        }
    }
    merged.into_values().collect()
}

/// A cluster that is in service.
#[derive(Clone, Copy, Debug)]
pub struct Served<'a> {
    /// Its name.
    pub name: &'a ClusterName,
    /// The source that provides it.
    pub source: &'a SourceId,
    /// The version of the source's last accepted update.
    pub version: &'a Version,
    /// The limits that the source sets for it.
    pub settings: &'a ClusterSettings,
    /// Whether its source has been silent for longer than the policy allows.
    pub is_stale: bool,
    endpoints: &'a BTreeMap<EndpointName, Arc<Endpoint>>,
}

impl<'a> Served<'a> {
    /// Iterates over its endpoints, ordered by id.
    pub fn endpoints(&self) -> impl ExactSizeIterator<Item = &'a Arc<Endpoint>> + use<'a> {
        self.endpoints.values()
    }

    /// Returns one of its endpoints.
    pub fn endpoint(&self, name: &EndpointName) -> Option<&'a Arc<Endpoint>> {
        self.endpoints.get(name)
    }
}
