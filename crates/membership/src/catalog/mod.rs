//! The catalog: all clusters, and what its sources say of them. A state machine without I/O and without a clock.
//!
//! Owns the clusters, the sources' state and the timers. Whoever runs the sources calls [`Catalog::handle`] with each
//! event. An update of a cluster is validated (`input_validation`, `validator`), applied or quarantined
//! (`subscription`, `quarantine`), and completed: the smallest change to what serves is put out (`reconcile`).

mod change_set;
mod cluster;
mod input_validation;
mod listing;
mod quarantine;
mod reconcile;
mod service;
mod state_overlay;
mod subscription;
mod timers;
mod update;
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
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use timers::{Timer, Timers};
use update::{Rank, Silent, Source, UpdateContext, UpdateEffects};
pub use view::{ClusterView, QuarantineView, RejectionView, SourceView, SubscriptionView};

/// All clusters, and what its sources say of them.
///
/// Memory: some 430 bytes for an endpoint of one source (`benches/catalog.rs` prints it), of which 300 are
/// the endpoint and its names; a second source that lists the same adds as much once more; what is held costs
/// the difference only.
#[derive(Debug)]
pub struct Catalog {
    policy: Policy,
    sources: Vec<Source>,
    clusters: BTreeMap<ClusterName, ClusterState>,
    timers: Timers,
    now: Nanos,
}

impl Catalog {
    /// A catalog without clusters. Of the sources, an earlier one takes precedence: where it has a cluster,
    /// it alone gives it, and later ones can only add caution, confirm what is held, and stand by.
    ///
    /// # Errors
    /// The first figure of the policy that is out of its range.
    pub fn new(policy: Policy, sources: impl IntoIterator<Item = SourceId>) -> Result<Catalog, BadPolicy> {
        policy.check()?;
        let source = |id| Source { id, silent: None, timer: None, last_rejection: None };
        let sources = sources.into_iter().map(source).collect();
        Ok(Catalog { policy, sources, clusters: BTreeMap::new(), timers: Timers::default(), now: 0 })
    }

    /// Takes in an event and puts out what follows. `now` is in nanoseconds of a monotonic clock of any
    /// origin; a time before the last one counts as the last one.
    ///
    /// One endpoint's change costs O(log n) of the cluster's size, a whole list a comparison with the last
    /// one.
    pub fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        self.run_due_timers(out);
        self.on_event(event, out);
        // What the event asked for may be due at once.
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

    /// When [`Event::Tick`] is wanted next. Ask again after each event.
    pub fn deadline(&self) -> Option<Nanos> {
        self.timers.first()
    }

    /// The clusters that serve, by name.
    pub fn clusters(&self) -> impl Iterator<Item = Served<'_>> {
        self.clusters.values().filter_map(|state| self.served(state))
    }

    /// A cluster that serves.
    pub fn cluster(&self, name: &ClusterName) -> Option<Served<'_>> {
        self.served(self.clusters.get(name)?)
    }

    /// All that operators want to see of each cluster that any source has named, by name.
    pub fn view(&self) -> Vec<ClusterView> {
        self.clusters.values().map(|state| ClusterView::of(state, &self.sources, self.now)).collect()
    }

    /// All that operators want to see of each source, in the order of precedence.
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

    /// Applies an update to a cluster and completes it. A cluster that no source lists any more is dropped.
    fn update_cluster(
        &mut self,
        name: &ClusterName,
        by: Rank,
        out: &mut Vec<Output>,
        act: impl FnOnce(&mut ClusterState, &mut UpdateContext) -> UpdateEffects,
    ) {
        let Catalog { policy, sources, clusters, timers, now } = self;
        let Some(state) = clusters.get_mut(name) else { return };
        let mut context = UpdateContext { now: *now, policy, sources, timers, out };
        let effects = act(state, &mut context);
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

    /// Takes in whole clusters, each on its own, and tells which were named.
    fn apply_lists(
        &mut self,
        rank: Rank,
        version: &Version,
        clusters: Vec<Cluster>,
        out: &mut Vec<Output>,
    ) -> BTreeSet<ClusterName> {
        let (mut named, mut twice) = (BTreeSet::new(), BTreeSet::new());
        for cluster in &clusters {
            if !named.insert(cluster.name.clone()) {
                twice.insert(cluster.name.clone());
            }
        }
        for Cluster { name, endpoints, settings } in clusters {
            if !twice.contains(&name) && self.ensure_cluster(&name, rank, out) {
                let snapshot = ClusterSnapshot { endpoints, settings };
                self.update_cluster(&name, rank, out, |state, context| {
                    state.apply_snapshot(context, rank, version, snapshot)
                });
            }
        }
        for name in twice {
            self.reject(rank, name, Invalid::ClusterTwice, out);
        }
        named
    }

    /// Makes room for a cluster. False if it cannot be had.
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

    /// Rejects something about a cluster as a whole.
    fn reject(&mut self, rank: Rank, cluster: ClusterName, reason: Invalid, out: &mut Vec<Output>) {
        let source = &mut self.sources[rank];
        let (id, now) = (source.id.clone(), self.now);
        let rejection = Rejection { source: id, cluster: Some(cluster.clone()), endpoint: None, reason };
        let subscription =
            self.clusters.get_mut(&cluster).and_then(|state| state.subscriptions.get_mut(&rank));
        let place =
            subscription.map_or(&mut source.last_rejection, |subscription| &mut subscription.last_rejection);
        *place = Some((now, rejection.clone()));
        out.push(Output::Rejected(rejection));
    }

    fn confirm(&mut self, rank: Rank, cluster: ClusterName, out: &mut Vec<Output>) {
        let mut is_held = false;
        self.update_cluster(&cluster, rank, out, |state, _| {
            let mut effects = UpdateEffects::default();
            is_held = state.confirm(rank, &mut effects);
            effects
        });
        if !is_held {
            self.reject(rank, cluster, Invalid::NothingQuarantined, out);
        }
    }

    fn mark_silent(&mut self, rank: Rank, silence: Silence) {
        let source = &mut self.sources[rank];
        let silent = source.silent.get_or_insert(Silent { since: self.now, silence, is_stale: false });
        silent.silence = silence;
        if !silent.is_stale {
            let at = silent.since.saturating_add(self.policy.aged_after.as_nanos() as Nanos);
            self.timers.set(&mut source.timer, Some(at), || Timer::Age(rank));
        }
    }

    fn mark_reconnected(&mut self, rank: Rank, out: &mut Vec<Output>) {
        let source = &mut self.sources[rank];
        self.timers.set(&mut source.timer, None, || Timer::Age(rank));
        if source.silent.take().is_some_and(|silent| silent.is_stale) {
            self.report_staleness(out);
        }
    }

    fn report_staleness(&mut self, out: &mut Vec<Output>) {
        let Catalog { policy, sources, clusters, timers, now } = self;
        let mut context = UpdateContext { now: *now, policy, sources, timers, out };
        clusters.values_mut().for_each(|state| state.report_staleness(&mut context));
    }

    /// Does what is due.
    fn run_due_timers(&mut self, out: &mut Vec<Output>) {
        while let Some(timer) = self.timers.pop(self.now) {
            match timer {
                Timer::Age(rank) => {
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
        state.service.iter_mut().for_each(|service| service.forget(*now, policy));
        state.schedule_timers(&mut UpdateContext {
            now: *now,
            policy,
            sources,
            timers,
            out: &mut Vec::new(),
        });
    }
}

/// One update for each cluster.
///
/// Danger: many updates of one endpoint each, judged one by one, would be many single endpoints that leave.
fn merge_by_cluster(updates: Vec<ClusterDelta>) -> Vec<ClusterDelta> {
    let mut merged: BTreeMap<ClusterName, ClusterDelta> = BTreeMap::new();
    for update in updates {
        match merged.entry(update.cluster.clone()) {
            Entry::Vacant(place) => _ = place.insert(update),
            Entry::Occupied(mut place) => {
                let all = place.get_mut();
                all.settings = update.settings.or(all.settings);
                all.upserts.extend(update.upserts);
                all.removals.extend(update.removals);
            }
        }
    }
    merged.into_values().collect()
}

/// A cluster as it serves.
#[derive(Clone, Copy, Debug)]
pub struct Served<'a> {
    /// Its name.
    pub name: &'a ClusterName,
    /// Which source gives it.
    pub source: &'a SourceId,
    /// The version of that source.
    pub version: &'a Version,
    /// Limits that come with it.
    pub settings: &'a ClusterSettings,
    /// Its source has been silent for too long.
    pub is_stale: bool,
    endpoints: &'a BTreeMap<EndpointName, Arc<Endpoint>>,
}

impl<'a> Served<'a> {
    /// Its endpoints, by id.
    pub fn endpoints(&self) -> impl ExactSizeIterator<Item = &'a Arc<Endpoint>> + use<'a> {
        self.endpoints.values()
    }

    /// One of its endpoints.
    pub fn endpoint(&self, name: &EndpointName) -> Option<&'a Arc<Endpoint>> {
        self.endpoints.get(name)
    }
}
