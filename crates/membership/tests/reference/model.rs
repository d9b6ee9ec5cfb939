//! A simple, slow reference model of the catalog, written from its rules: it copies and compares whole maps.

mod validation;

use olivecart_membership::{
    Arrival, ClusterDelta, ClusterSettings, Endpoint, EndpointUpdate, Endpoints, Event, Nanos, Policy,
};
use std::collections::{BTreeMap, BTreeSet};
use validation::with_reported_state;

pub type Map = BTreeMap<String, Endpoint>;

pub struct Model {
    pub policy: Policy,
    pub sources: Vec<String>,
    pub clusters: BTreeMap<String, Cluster>,
    /// When each source became silent, if it is.
    pub silent: Vec<Option<Nanos>>,
    pub now: Nanos,
    pub effects: Effects,
}

/// The effects of one event.
#[derive(Debug, Default, PartialEq)]
pub struct Effects {
    pub rejections: usize,
    pub refetches: BTreeSet<(String, String)>,
    pub upserted: BTreeMap<(String, String), Arrival>,
    pub removed: BTreeSet<(String, String)>,
}

#[derive(Default)]
pub struct Cluster {
    pub subscriptions: BTreeMap<usize, Subscription>,
    pub published: Option<Published>,
    /// The removed endpoints as they last were, with the times of their removal.
    recently_removed: Map,
    removed_at: BTreeMap<String, Nanos>,
}

#[derive(Default)]
pub struct Subscription {
    pub accepted: Option<(Map, ClusterSettings)>,
    pub quarantine: Option<Quarantine>,
    pub missing: Option<Missing>,
    has_rejection: bool,
}

#[derive(Clone, Debug)]
pub struct Missing {
    pub since: Nanos,
    pub refetch_at: Nanos,
    is_snapshot_empty: bool,
}

#[derive(Clone, Debug)]
pub struct Quarantine {
    pub changes: BTreeMap<String, Change>,
    list_settings: Option<ClusterSettings>,
    kinds: BTreeSet<&'static str>,
    pub since: Nanos,
    pub refetch_at: Nanos,
    displaced_owner: Option<usize>,
    is_new: bool,
}

#[derive(Clone, Debug)]
pub struct Change {
    new_endpoint: Option<Endpoint>,
    since: Nanos,
    awaits_confirmation: bool,
}

pub struct Published {
    pub owner: usize,
    pub endpoints: Map,
    pub settings: ClusterSettings,
}

const EXPLICIT_KINDS: [&str; 3] = ["no endpoints", "all zero", "no serving endpoint"];

impl Quarantine {
    pub fn needs_explicit_confirmation(&self) -> bool {
        EXPLICIT_KINDS.iter().any(|kind| self.kinds.contains(kind))
    }
}

impl Subscription {
    /// Returns the listing of the source if its quarantined changes were released.
    pub fn listing_if_released(&self) -> Map {
        let own = self.accepted.as_ref().map_or(Map::new(), |(own, _)| own.clone());
        let none = BTreeMap::new();
        with_changes(
            &own,
            self.quarantine.as_ref().map_or(&none, |quarantine| &quarantine.changes),
            &BTreeSet::new(),
        )
    }
}

impl Missing {
    pub fn needs_explicit_confirmation(&self) -> bool {
        self.is_snapshot_empty
    }
}

fn name(e: &Endpoint) -> String {
    e.name.as_str().to_owned()
}

fn with_changes(own: &Map, changes: &BTreeMap<String, Change>, without: &BTreeSet<String>) -> Map {
    let mut map = own.clone();
    for (id, change) in changes.iter().filter(|(id, _)| !without.contains(*id)) {
        map.remove(id);
        map.extend(change.new_endpoint.iter().map(|e| (id.clone(), e.clone())));
    }
    map
}

impl Model {
    pub fn new(policy: Policy, sources: &[&str]) -> Model {
        let sources: Vec<String> = sources.iter().map(|s| s.to_string()).collect();
        let silent = vec![None; sources.len()];
        let (clusters, effects) = Default::default();
        Model { policy, sources, clusters, silent, now: 0, effects }
    }

    fn quarantine_period(&self) -> Nanos {
        self.policy.hold.as_nanos() as Nanos
    }

    fn refetch_interval(&self) -> Nanos {
        self.quarantine_period().max(1_000_000_000)
    }

    pub fn is_stale(&self, source: usize) -> bool {
        let after = self.policy.aged_after.as_nanos() as Nanos;
        self.silent[source].is_some_and(|since| self.now >= since + after)
    }

    pub fn handle(&mut self, now: Nanos, event: &Event) {
        self.now = now;
        self.effects = Effects::default();
        self.request_refetches();
        let rank = |source: &str| self.sources.iter().position(|s| s == source).expect("a known source");
        match event {
            Event::Update { source, update, .. } => {
                let rank = rank(source.as_str());
                self.silent[rank] = None;
                self.apply_update(rank, update);
            }
            Event::Confirm { source, cluster } => {
                let rank = rank(source.as_str());
                let subscription =
                    self.clusters.get_mut(cluster.as_str()).and_then(|c| c.subscriptions.get_mut(&rank));
                match subscription {
                    Some(subscription) if subscription.missing.is_some() => {
                        self.drop_subscription(cluster.as_str(), rank)
                    }
                    Some(subscription) if subscription.quarantine.is_some() => release(subscription),
                    _ => self.effects.rejections += 1,
                }
                self.reconcile(cluster.as_str());
            }
            Event::Silent { source, .. } => {
                let rank = rank(source.as_str());
                self.silent[rank].get_or_insert(now);
            }
            Event::Reconnected { source } => {
                let rank = rank(source.as_str());
                self.silent[rank] = None;
            }
            Event::Tick => {}
        }
        self.clusters.retain(|_, c| {
            c.subscriptions.retain(|_, s| s.accepted.is_some() || s.quarantine.is_some() || s.has_rejection);
            !c.subscriptions.is_empty() || c.published.is_some()
        });
    }

    fn request_refetches(&mut self) {
        let (now, next) = (self.now, self.now + self.refetch_interval());
        for (cluster, state) in &mut self.clusters {
            for (rank, subscription) in &mut state.subscriptions {
                let refetch_times = subscription
                    .quarantine
                    .iter_mut()
                    .map(|h| &mut h.refetch_at)
                    .chain(subscription.missing.iter_mut().map(|m| &mut m.refetch_at));
                for refetch_at in refetch_times.filter(|refetch_at| **refetch_at <= now) {
                    *refetch_at = next;
                    self.effects.refetches.insert((cluster.clone(), self.sources[*rank].clone()));
                }
            }
        }
    }

    fn apply_update(&mut self, rank: usize, update: &EndpointUpdate) {
        match update {
            EndpointUpdate::FullSnapshot(clusters) | EndpointUpdate::ClusterSnapshots(clusters) => {
                let names: Vec<&str> = clusters.iter().map(|c| c.name.as_str()).collect();
                let is_duplicate = |name: &str| names.iter().filter(|n| **n == name).count() > 1;
                for cluster in clusters.iter().filter(|c| !is_duplicate(c.name.as_str())) {
                    self.apply_list(rank, cluster.name.as_str(), &cluster.endpoints, cluster.settings);
                }
                let duplicates: BTreeSet<&str> = names.iter().copied().filter(|n| is_duplicate(n)).collect();
                self.effects.rejections += duplicates.len();
                if matches!(update, EndpointUpdate::FullSnapshot(_)) {
                    let missing = self
                        .clusters
                        .iter()
                        .filter(|(n, c)| !names.contains(&n.as_str()) && c.subscriptions.contains_key(&rank));
                    let missing: Vec<String> = missing.map(|(n, _)| n.clone()).collect();
                    missing.iter().for_each(|n| self.mark_missing(rank, n, names.is_empty()));
                }
            }
            EndpointUpdate::ClusterDeltas(updates) => {
                updates.iter().for_each(|update| self.apply_delta(rank, update))
            }
            EndpointUpdate::ClustersRemoved(names) => {
                for cluster in names {
                    self.drop_subscription(cluster.as_str(), rank);
                    self.reconcile(cluster.as_str());
                }
            }
        }
    }

    fn drop_subscription(&mut self, cluster: &str, rank: usize) {
        if let Some(state) = self.clusters.get_mut(cluster) {
            state.subscriptions.remove(&rank);
        }
    }

    fn mark_missing(&mut self, rank: usize, cluster: &str, is_snapshot_empty: bool) {
        let (now, period, refetch_at) =
            (self.now, self.quarantine_period(), self.now + self.refetch_interval());
        let subscription = self
            .clusters
            .get_mut(cluster)
            .and_then(|c| c.subscriptions.get_mut(&rank))
            .expect("a subscription");
        let (since, refetch_at) =
            subscription.missing.as_ref().map_or((now, refetch_at), |m| (m.since, m.refetch_at));
        if subscription.accepted.is_some() && (is_snapshot_empty || now - since < period) {
            subscription.missing = Some(Missing { since, refetch_at, is_snapshot_empty });
        } else {
            self.drop_subscription(cluster, rank);
        }
        self.reconcile(cluster);
    }

    fn subscription(&mut self, cluster: &str, rank: usize) -> &mut Subscription {
        let state = self.clusters.entry(cluster.to_owned()).or_default();
        state.subscriptions.entry(rank).or_default()
    }

    /// Returns the owner's listing if a first list of the source would displace it.
    fn displaced_listing(&self, cluster: &str, rank: usize) -> Option<Map> {
        let (owner, map) = owner(&self.clusters[cluster])?;
        (rank < owner).then(|| map.clone())
    }

    fn apply_list(&mut self, rank: usize, cluster: &str, endpoints: &Endpoints, settings: ClusterSettings) {
        let subscription = self.subscription(cluster, rank);
        subscription.missing = None;
        match endpoints {
            Endpoints::IntentionallyEmpty => {
                subscription.quarantine = None;
                subscription.accepted = Some((Map::new(), settings));
            }
            Endpoints::Listed(list) => {
                let ids: BTreeSet<String> = list.iter().map(name).collect();
                let count = |id: &String| list.iter().filter(|e| name(e) == *id).count();
                let faults = list.iter().filter(|e| e.check().is_err()).count()
                    + ids.iter().filter(|id| count(id) > 1).count();
                if faults > 0 {
                    subscription.has_rejection = true;
                    self.effects.rejections += faults;
                } else {
                    let list = list.iter().map(|e| (name(e), e.clone())).collect();
                    self.validate_list(rank, cluster, list, settings, true);
                }
            }
        }
        self.reconcile(cluster);
    }

    fn difference(&self, rank: usize, cluster: &str, list: &Map) -> BTreeMap<String, Change> {
        let other = self.displaced_listing(cluster, rank);
        let subscription = &self.clusters[cluster].subscriptions[&rank];
        let own = subscription.accepted.as_ref().map(|(own, _)| own);
        let base = own.cloned().or(other).unwrap_or_default();
        let ids: BTreeSet<&String> = base.keys().chain(list.keys()).collect();
        let changed = |id: &&String| own.is_none() || base.get(*id) != list.get(*id);
        ids.into_iter()
            .filter(changed)
            .map(|id| (id.clone(), endpoint_change(subscription, id, list.get(id), self.now)))
            .collect()
    }

    fn validate_list(
        &mut self,
        rank: usize,
        cluster: &str,
        list: Map,
        settings: ClusterSettings,
        is_reported: bool,
    ) {
        let changes = self.difference(rank, cluster, &list);
        let old = self.subscription(cluster, rank).quarantine.take();
        let report = self.validate(cluster, rank, &changes, is_reported);
        let owner = owner(&self.clusters[cluster]).map(|(owner, _)| owner);
        let (now, refetch_at) = (self.now, self.now + self.refetch_interval());
        let subscription = self.subscription(cluster, rank);
        let is_first = subscription.accepted.is_none();
        if report.kinds.is_empty() {
            subscription.accepted = Some((list, settings));
            return;
        }
        let (since, refetch_at) = old.map_or((now, refetch_at), |old| (old.since, old.refetch_at));
        let (list_settings, displaced_owner, kinds) =
            (Some(settings), owner.filter(|_| is_first), report.kinds);
        let mut quarantine =
            Quarantine { changes, list_settings, kinds, since, refetch_at, displaced_owner, is_new: true };
        quarantine
            .changes
            .iter_mut()
            .for_each(|(id, change)| change.awaits_confirmation |= report.awaits_confirmation.contains(id));
        subscription.quarantine = Some(quarantine);
    }

    fn apply_delta(&mut self, rank: usize, update: &ClusterDelta) {
        let cluster = update.cluster.as_str();
        let subscription = self.subscription(cluster, rank);
        subscription.missing = None;
        let upserts = update.upserts.iter().map(|e| (name(e), Some(e.clone())));
        let removals = update.removals.iter().map(|id| (id.as_str().to_owned(), None));
        let reported: Vec<(String, Option<Endpoint>)> = upserts.chain(removals).collect();
        let count = |id: &String| reported.iter().filter(|(other, _)| other == id).count();
        let ids: BTreeSet<&String> = reported.iter().map(|(id, _)| id).collect();
        let is_invalid = |e: &Option<Endpoint>| e.as_ref().is_some_and(|e| e.check().is_err());
        let is_valid = |(id, e): &&(String, Option<Endpoint>)| count(id) == 1 && !is_invalid(e);
        let faults = ids.len() - reported.iter().filter(is_valid).count();
        let reported: BTreeMap<String, Option<Endpoint>> =
            reported.iter().filter(is_valid).cloned().collect();
        subscription.has_rejection |= faults > 0;
        if subscription.accepted.is_none() {
            let quarantine = subscription.quarantine.clone();
            let mut list: Map = Map::new();
            for (id, change) in quarantine.iter().flat_map(|quarantine| &quarantine.changes) {
                list.extend(change.new_endpoint.iter().map(|e| (id.clone(), e.clone())));
            }
            for (id, e) in &reported {
                list.remove(id);
                list.extend(e.iter().map(|e| (id.clone(), e.clone())));
            }
            let settings =
                update.settings.or(quarantine.as_ref().and_then(|h| h.list_settings)).unwrap_or_default();
            if !list.is_empty() || quarantine.is_some() {
                self.validate_list(rank, cluster, list, settings, quarantine.is_none());
            }
        } else {
            self.apply_delta_changes(rank, cluster, reported, update.settings);
        }
        self.effects.rejections += faults;
        self.reconcile(cluster);
    }

    fn apply_delta_changes(
        &mut self,
        rank: usize,
        cluster: &str,
        reported: BTreeMap<String, Option<Endpoint>>,
        settings: Option<ClusterSettings>,
    ) {
        let (now, refetch_at) = (self.now, self.now + self.refetch_interval());
        let subscription = &self.clusters[cluster].subscriptions[&rank];
        let (own, _) = subscription.accepted.as_ref().expect("accepted content");
        let changes = reported.iter().filter(|(id, e)| own.get(*id) != e.as_ref());
        let changes: BTreeMap<String, Change> =
            changes.map(|(id, e)| (id.clone(), endpoint_change(subscription, id, e.as_ref(), now))).collect();
        let subscription = self.subscription(cluster, rank);
        if let Some(quarantine) = &mut subscription.quarantine {
            reported.keys().for_each(|id| _ = quarantine.changes.remove(id));
            quarantine.list_settings = quarantine.list_settings.map(|old| settings.unwrap_or(old));
        }
        let report = self.validate(cluster, rank, &changes, true);
        let subscription = self.subscription(cluster, rank);
        let accepted = subscription.accepted.as_mut().expect("accepted content");
        *accepted = (with_changes(&accepted.0, &changes, &report.suspicious), settings.unwrap_or(accepted.1));
        if report.suspicious.is_empty() {
            return;
        }
        let (no_changes, list_settings, kinds, displaced_owner) = Default::default();
        let new_quarantine = Quarantine {
            changes: no_changes,
            list_settings,
            kinds,
            since: now,
            refetch_at,
            displaced_owner,
            is_new: false,
        };
        let quarantine = subscription.quarantine.get_or_insert(new_quarantine);
        quarantine.kinds.extend(report.kinds);
        for (id, mut change) in changes.into_iter().filter(|(id, _)| report.suspicious.contains(id)) {
            change.awaits_confirmation |= report.awaits_confirmation.contains(&id);
            quarantine.changes.insert(id, change);
        }
    }

    /// Releases changes that are no longer suspicious, then updates the published cluster.
    fn reconcile(&mut self, cluster: &str) {
        if !self.clusters.contains_key(cluster) {
            return;
        }
        loop {
            let ranks: Vec<usize> = self.clusters[cluster].subscriptions.keys().copied().collect();
            let released = ranks
                .iter()
                .filter(|rank| self.release_agreed(cluster, **rank) || self.recheck(cluster, **rank));
            // Not `any`, so that each subscription is checked in each round.
            if released.count() == 0 {
                break;
            }
        }
        let state = self.clusters.get_mut(cluster).expect("the cluster");
        let quarantines = state.subscriptions.values_mut().filter_map(|s| s.quarantine.as_mut());
        quarantines.for_each(|quarantine| quarantine.is_new = false);
        self.publish(cluster);
    }

    fn release_agreed(&mut self, cluster: &str, rank: usize) -> bool {
        let state = self.clusters.get_mut(cluster).expect("the cluster");
        let subscription = &state.subscriptions[&rank];
        if subscription.quarantine.as_ref().is_none_or(Quarantine::needs_explicit_confirmation) {
            return false;
        }
        let addresses = |map: &Map| map.iter().map(|(id, e)| (id.clone(), e.address)).collect::<Vec<_>>();
        let own = addresses(&subscription.listing_if_released());
        let mut others = state.subscriptions.iter().filter(|(other, _)| **other != rank);
        if others.any(|(_, s)| s.accepted.as_ref().is_some_and(|(other, _)| addresses(other) == own)) {
            release(state.subscriptions.get_mut(&rank).expect("the subscription"));
            return true;
        }
        false
    }

    fn recheck(&mut self, cluster: &str, rank: usize) -> bool {
        let state = &self.clusters[cluster];
        let subscription = &state.subscriptions[&rank];
        let Some(quarantine) = subscription.quarantine.as_ref().filter(|quarantine| !quarantine.is_new)
        else {
            return false;
        };
        let current_owner = owner(state).map(|(owner, _)| owner);
        let (mut changes, report) = match &subscription.accepted {
            None => {
                if quarantine.displaced_owner.is_none() || quarantine.displaced_owner == current_owner {
                    return false;
                }
                let list = with_changes(&Map::new(), &quarantine.changes, &BTreeSet::new());
                let changes = self.difference(rank, cluster, &list);
                let report = self.validate(cluster, rank, &changes, false);
                (changes, report)
            }
            Some(_)
                if quarantine.list_settings.is_some()
                    && quarantine.changes.values().any(|change| change.awaits_confirmation) =>
            {
                return false;
            }
            Some(_) => (quarantine.changes.clone(), self.validate(cluster, rank, &quarantine.changes, false)),
        };
        let subscription = self.subscription(cluster, rank);
        let quarantine = subscription.quarantine.as_mut().expect("a quarantine");
        quarantine.displaced_owner = current_owner.filter(|_| subscription.accepted.is_none());
        changes
            .iter_mut()
            .for_each(|(id, change)| change.awaits_confirmation |= report.awaits_confirmation.contains(id));
        quarantine.changes = changes;
        if !report.kinds.is_empty() {
            quarantine.kinds = report.kinds.clone();
        }
        if quarantine.list_settings.is_some() {
            if report.kinds.is_empty() {
                release(subscription);
            }
            return report.kinds.is_empty();
        }
        let stays =
            |(id, change): (&String, &Change)| change.awaits_confirmation || report.suspicious.contains(id);
        let cleared: Vec<String> =
            quarantine.changes.iter().filter(|p| !stays(*p)).map(|(id, _)| id.clone()).collect();
        let accepted = subscription.accepted.as_mut().expect("accepted content");
        for id in &cleared {
            let change = quarantine.changes.remove(id).expect("a change");
            accepted.0.remove(id);
            accepted.0.extend(change.new_endpoint.map(|e| (id.clone(), e)));
        }
        let is_emptied = quarantine.changes.is_empty();
        if is_emptied {
            subscription.quarantine = None;
        }
        is_emptied || !cleared.is_empty()
    }

    fn publish(&mut self, cluster: &str) {
        let now = self.now;
        let state = self.clusters.get_mut(cluster).expect("the cluster");
        let Some((owner, own)) = owner(state) else {
            if state.published.take().is_some() {
                (state.recently_removed, state.removed_at) = Default::default();
            }
            return;
        };
        let target: Map = own
            .iter()
            .map(|(id, e)| (id.clone(), with_reported_state(&state.subscriptions, owner, e)))
            .collect();
        let settings = state.subscriptions[&owner].accepted.as_ref().expect("the owner's").1;
        let before = state.published.take().map_or(Map::new(), |published| published.endpoints);
        for (id, e) in &before {
            if !target.contains_key(id) {
                state.recently_removed.insert(id.clone(), e.clone());
                state.removed_at.insert(id.clone(), now);
                self.effects.removed.insert((cluster.to_owned(), id.clone()));
            }
        }
        let window = self.policy.returns_within.as_nanos() as Nanos;
        for (id, new) in &target {
            if before.get(id) == Some(new) {
                continue;
            }
            let away = state.removed_at.remove(id).map(|at| now - at).filter(|away| *away <= window);
            let recently_removed = state.recently_removed.remove(id).filter(|_| away.is_some());
            let arrival = match before.get(id).or(recently_removed.as_ref()) {
                None => Arrival::New,
                Some(old) if new.started.is_some() && new.started != old.started => Arrival::Restarted,
                Some(old) if new.address != old.address => Arrival::Moved { from: old.address },
                Some(_) => away.map_or(Arrival::Changed, |away| Arrival::Returned { away }),
            };
            self.effects.upserted.insert((cluster.to_owned(), id.clone()), arrival);
        }
        state.published = Some(Published { owner, endpoints: target, settings });
    }
}

fn owner(state: &Cluster) -> Option<(usize, &Map)> {
    state
        .subscriptions
        .iter()
        .find_map(|(rank, subscription)| Some((*rank, &subscription.accepted.as_ref()?.0)))
}

fn endpoint_change(
    subscription: &Subscription,
    id: &str,
    new_endpoint: Option<&Endpoint>,
    now: Nanos,
) -> Change {
    let quarantine = subscription.quarantine.as_ref().and_then(|quarantine| quarantine.changes.get(id));
    let same = quarantine
        .filter(|change| change.new_endpoint.as_ref().map(|e| e.address) == new_endpoint.map(|e| e.address));
    Change {
        new_endpoint: new_endpoint.cloned(),
        since: same.map_or(now, |change| change.since),
        awaits_confirmation: false,
    }
}

fn release(subscription: &mut Subscription) {
    let quarantine = subscription.quarantine.take().expect("a quarantine");
    let (own, settings) = subscription.accepted.take().unwrap_or_default();
    subscription.accepted = Some((
        with_changes(&own, &quarantine.changes, &BTreeSet::new()),
        quarantine.list_settings.unwrap_or(settings),
    ));
}
