//! The catalog: all clusters, and what its sources say of them. A pure state machine.

mod alarms;
mod caution;
mod check;
mod cluster;
mod feed;
mod hold;
mod items;
mod judge;
mod listing;
mod reconcile;
mod service;
mod view;

use crate::anomaly::Anomaly;
use crate::endpoint::{Cluster, ClusterSettings, Endpoint};
use crate::event::{ClusterDelta, EndpointUpdate, Event, Silence};
use crate::invalid::Invalid;
use crate::names::{ClusterName, EndpointName, SourceId, Version, fault_of};
use crate::output::Output;
use crate::policy::{BadPolicy, Policy};
use crate::rejection::Rejection;
use alarms::{Alarm, Alarms};
use cluster::{ClusterState, Turn, Work};
use olivecart_decisions::Nanos;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
pub use view::{ClusterView, QuarantineView, RejectionView, SourceView, SubscriptionView};

/// A source's place in the order of precedence, from 0.
type Rank = usize;

/// A source of the catalog.
#[derive(Debug)]
struct Source {
    pub id: SourceId,
    pub silent: Option<Silent>,
    /// When the catalog has asked to be woken for it.
    alarm: Option<Nanos>,
    /// The last refusal that was about no cluster that is known.
    pub refusal: Option<(Nanos, Rejection)>,
}

/// A source that is silent.
#[derive(Debug)]
struct Silent {
    pub since: Nanos,
    pub silence: Silence,
    /// For long enough that its clusters are aged.
    pub aged: bool,
}

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
    alarms: Alarms,
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
        let source = |id| Source { id, silent: None, alarm: None, refusal: None };
        let sources = sources.into_iter().map(source).collect();
        Ok(Catalog { policy, sources, clusters: BTreeMap::new(), alarms: Alarms::default(), now: 0 })
    }

    /// Takes in an event and puts out what follows. `now` is in nanoseconds of a monotonic clock of any
    /// origin; a time before the last one counts as the last one.
    ///
    /// One endpoint's change costs O(log n) of the cluster's size, a whole list a comparison with the last
    /// one.
    pub fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        self.ring(out);
        self.hear(event, out);
        // What the event asked for may be due at once.
        self.ring(out);
    }

    fn hear(&mut self, event: Event, out: &mut Vec<Output>) {
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
                self.back(rank, out);
                self.apply_update(rank, &version, update, out);
            }
            Event::Confirm { cluster, .. } => self.confirm(rank, cluster, out),
            Event::Silent { silence, .. } => self.silent(rank, silence),
            Event::Reconnected { .. } => self.back(rank, out),
            Event::Tick => {}
        }
    }

    /// When [`Event::Tick`] is wanted next. Ask again after each event.
    pub fn deadline(&self) -> Option<Nanos> {
        self.alarms.first()
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
        let good = state.feeds.get(&service.owner)?.good.as_ref()?;
        Some(Served {
            name: &state.name,
            source: &self.sources.get(service.owner)?.id,
            version: &good.version,
            settings: &service.settings,
            is_stale: service.aged,
            endpoints: &service.endpoints,
        })
    }

    /// Does something to a cluster, and ends the turn. One that nobody speaks of any more goes.
    fn turn(
        &mut self,
        name: &ClusterName,
        by: Rank,
        out: &mut Vec<Output>,
        act: impl FnOnce(&mut ClusterState, &mut Turn) -> Work,
    ) {
        let Catalog { policy, sources, clusters, alarms, now } = self;
        let Some(state) = clusters.get_mut(name) else { return };
        let mut turn = Turn { now: *now, policy, sources, alarms, out };
        let work = act(state, &mut turn);
        state.finish(&mut turn, by, work);
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
                let named = self.lists(rank, version, clusters, out);
                let mut missing: Vec<ClusterName> = Vec::new();
                for state in self.clusters.values().filter(|state| !named.contains(&state.name)) {
                    missing.extend(state.feeds.contains_key(&rank).then(|| state.name.clone()));
                }
                for name in missing {
                    self.turn(&name, rank, out, |state, turn| state.miss(turn, rank, anomaly.clone()));
                }
            }
            EndpointUpdate::ClusterSnapshots(clusters) => _ = self.lists(rank, version, clusters, out),
            EndpointUpdate::ClusterDeltas(updates) => {
                for update in by_cluster(updates) {
                    let name = update.cluster.clone();
                    if self.admit(&name, rank, out) {
                        self.turn(&name, rank, out, |state, turn| state.update(turn, rank, version, update));
                    }
                }
            }
            EndpointUpdate::ClustersRemoved(names) => {
                for name in names {
                    self.turn(&name, rank, out, |state, _| state.remove(rank));
                }
            }
        }
    }

    /// Takes in whole clusters, each on its own, and tells which were named.
    fn lists(
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
            if !twice.contains(&name) && self.admit(&name, rank, out) {
                let list = (endpoints, settings);
                self.turn(&name, rank, out, |state, turn| state.list(turn, rank, version, list));
            }
        }
        for name in twice {
            self.refuse(rank, name, Invalid::ClusterTwice, out);
        }
        named
    }

    /// Makes room for a cluster. False if it cannot be had.
    fn admit(&mut self, name: &ClusterName, rank: Rank, out: &mut Vec<Output>) -> bool {
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
        self.refuse(rank, name.clone(), reason, out);
        false
    }

    /// Refuses something about a cluster as a whole.
    fn refuse(&mut self, rank: Rank, cluster: ClusterName, reason: Invalid, out: &mut Vec<Output>) {
        let source = &mut self.sources[rank];
        let (id, now) = (source.id.clone(), self.now);
        let refusal = Rejection { source: id, cluster: Some(cluster.clone()), endpoint: None, reason };
        let feed = self.clusters.get_mut(&cluster).and_then(|state| state.feeds.get_mut(&rank));
        let place = feed.map_or(&mut source.refusal, |feed| &mut feed.refusal);
        *place = Some((now, refusal.clone()));
        out.push(Output::Rejected(refusal));
    }

    fn confirm(&mut self, rank: Rank, cluster: ClusterName, out: &mut Vec<Output>) {
        let mut is_held = false;
        self.turn(&cluster, rank, out, |state, _| {
            let mut work = Work::default();
            is_held = state.confirm(rank, &mut work);
            work
        });
        if !is_held {
            self.refuse(rank, cluster, Invalid::NothingQuarantined, out);
        }
    }

    fn silent(&mut self, rank: Rank, silence: Silence) {
        let source = &mut self.sources[rank];
        let silent = source.silent.get_or_insert(Silent { since: self.now, silence, aged: false });
        silent.silence = silence;
        if !silent.aged {
            let at = silent.since.saturating_add(self.policy.aged_after.as_nanos() as Nanos);
            self.alarms.set(&mut source.alarm, Some(at), || Alarm::Age(rank));
        }
    }

    fn back(&mut self, rank: Rank, out: &mut Vec<Output>) {
        let source = &mut self.sources[rank];
        self.alarms.set(&mut source.alarm, None, || Alarm::Age(rank));
        if source.silent.take().is_some_and(|silent| silent.aged) {
            self.tell_ages(out);
        }
    }

    fn tell_ages(&mut self, out: &mut Vec<Output>) {
        let Catalog { policy, sources, clusters, alarms, now } = self;
        let mut turn = Turn { now: *now, policy, sources, alarms, out };
        clusters.values_mut().for_each(|state| state.tell_age(&mut turn));
    }

    /// Does what is due.
    fn ring(&mut self, out: &mut Vec<Output>) {
        while let Some(alarm) = self.alarms.pop(self.now) {
            match alarm {
                Alarm::Age(rank) => {
                    let source = &mut self.sources[rank];
                    source.alarm = None;
                    source.silent.iter_mut().for_each(|silent| silent.aged = true);
                    self.tell_ages(out);
                }
                Alarm::Refetch(cluster, rank) => self.ask(cluster, rank, out),
                Alarm::Forget(cluster) => self.forget(&cluster),
            }
        }
    }

    fn ask(&mut self, cluster: ClusterName, rank: Rank, out: &mut Vec<Output>) {
        let Catalog { policy, sources, clusters, alarms, now } = self;
        let Some(feed) = clusters.get_mut(&cluster).and_then(|state| state.feeds.get_mut(&rank)) else {
            return;
        };
        feed.alarm = None;
        feed.ask_later(*now, policy);
        let due = feed.due();
        alarms.set(&mut feed.alarm, due, || Alarm::Refetch(cluster.clone(), rank));
        out.push(Output::RefetchRequested { cluster, source: sources[rank].id.clone() });
    }

    fn forget(&mut self, cluster: &ClusterName) {
        let Catalog { policy, sources, clusters, alarms, now } = self;
        let Some(state) = clusters.get_mut(cluster) else { return };
        state.forgets = None;
        state.service.iter_mut().for_each(|service| service.forget(*now, policy));
        state.set_alarms(&mut Turn { now: *now, policy, sources, alarms, out: &mut Vec::new() });
    }
}

/// One update for each cluster.
///
/// Danger: many updates of one endpoint each, judged one by one, would be many single endpoints that leave.
fn by_cluster(updates: Vec<ClusterDelta>) -> Vec<ClusterDelta> {
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
