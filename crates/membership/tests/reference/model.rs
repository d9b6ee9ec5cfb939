//! A plain, slow model of the catalog, written from its rules: whole maps, copied and compared each time.

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
    /// Since when a source is silent.
    pub silent: Vec<Option<Nanos>>,
    pub now: Nanos,
    pub effects: Effects,
}

/// What one event brings about.
#[derive(Debug, Default, PartialEq)]
pub struct Effects {
    pub refused: usize,
    pub asked: BTreeSet<(String, String)>,
    pub upserted: BTreeMap<(String, String), Arrival>,
    pub removed: BTreeSet<(String, String)>,
}

#[derive(Default)]
pub struct Cluster {
    pub subscriptions: BTreeMap<usize, Subscription>,
    pub served: Option<Served>,
    /// When endpoints left, and what they were.
    left: Map,
    left_at: BTreeMap<String, Nanos>,
}

#[derive(Default)]
pub struct Subscription {
    pub good: Option<(Map, ClusterSettings)>,
    pub held: Option<Quarantined>,
    pub missing: Option<Missing>,
    refused: bool,
}

#[derive(Clone, Debug)]
pub struct Missing {
    pub since: Nanos,
    pub due: Nanos,
    none_named: bool,
}

#[derive(Clone, Debug)]
pub struct Quarantined {
    pub parts: BTreeMap<String, Part>,
    whole: Option<ClusterSettings>,
    kinds: BTreeSet<&'static str>,
    pub since: Nanos,
    pub due: Nanos,
    against: Option<usize>,
    is_new: bool,
}

#[derive(Clone, Debug)]
pub struct Part {
    want: Option<Endpoint>,
    since: Nanos,
    sticky: bool,
}

pub struct Served {
    pub owner: usize,
    pub endpoints: Map,
    pub settings: ClusterSettings,
}

const WORDS: [&str; 3] = ["no endpoints", "all zero", "nothing left"];

impl Quarantined {
    pub fn needs_explicit_confirmation(&self) -> bool {
        WORDS.iter().any(|kind| self.kinds.contains(kind))
    }
}

impl Subscription {
    /// What the source would list, if what is held passed.
    pub fn wanted(&self) -> Map {
        let own = self.good.as_ref().map_or(Map::new(), |(own, _)| own.clone());
        let none = BTreeMap::new();
        with(&own, self.held.as_ref().map_or(&none, |held| &held.parts), &BTreeSet::new())
    }
}

impl Missing {
    pub fn needs_explicit_confirmation(&self) -> bool {
        self.none_named
    }
}

fn name(e: &Endpoint) -> String {
    e.name.as_str().to_owned()
}

fn with(own: &Map, parts: &BTreeMap<String, Part>, without: &BTreeSet<String>) -> Map {
    let mut map = own.clone();
    for (id, part) in parts.iter().filter(|(id, _)| !without.contains(*id)) {
        map.remove(id);
        map.extend(part.want.iter().map(|e| (id.clone(), e.clone())));
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

    fn hold(&self) -> Nanos {
        self.policy.hold.as_nanos() as Nanos
    }

    fn asking(&self) -> Nanos {
        self.hold().max(1_000_000_000)
    }

    pub fn is_aged(&self, source: usize) -> bool {
        let after = self.policy.aged_after.as_nanos() as Nanos;
        self.silent[source].is_some_and(|since| self.now >= since + after)
    }

    pub fn handle(&mut self, now: Nanos, event: &Event) {
        self.now = now;
        self.effects = Effects::default();
        self.ask();
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
                    Some(subscription) if subscription.held.is_some() => release(subscription),
                    _ => self.effects.refused += 1,
                }
                self.settle(cluster.as_str());
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
            c.subscriptions.retain(|_, f| f.good.is_some() || f.held.is_some() || f.refused);
            !c.subscriptions.is_empty() || c.served.is_some()
        });
    }

    fn ask(&mut self) {
        let (now, next) = (self.now, self.now + self.asking());
        for (cluster, state) in &mut self.clusters {
            for (rank, subscription) in &mut state.subscriptions {
                let dues = subscription
                    .held
                    .iter_mut()
                    .map(|h| &mut h.due)
                    .chain(subscription.missing.iter_mut().map(|m| &mut m.due));
                for due in dues.filter(|due| **due <= now) {
                    *due = next;
                    self.effects.asked.insert((cluster.clone(), self.sources[*rank].clone()));
                }
            }
        }
    }

    fn apply_update(&mut self, rank: usize, update: &EndpointUpdate) {
        match update {
            EndpointUpdate::FullSnapshot(clusters) | EndpointUpdate::ClusterSnapshots(clusters) => {
                let names: Vec<&str> = clusters.iter().map(|c| c.name.as_str()).collect();
                let is_twice = |name: &str| names.iter().filter(|n| **n == name).count() > 1;
                for cluster in clusters.iter().filter(|c| !is_twice(c.name.as_str())) {
                    self.list(rank, cluster.name.as_str(), &cluster.endpoints, cluster.settings);
                }
                let twice: BTreeSet<&str> = names.iter().copied().filter(|n| is_twice(n)).collect();
                self.effects.refused += twice.len();
                if matches!(update, EndpointUpdate::FullSnapshot(_)) {
                    let missing = self
                        .clusters
                        .iter()
                        .filter(|(n, c)| !names.contains(&n.as_str()) && c.subscriptions.contains_key(&rank));
                    let missing: Vec<String> = missing.map(|(n, _)| n.clone()).collect();
                    missing.iter().for_each(|n| self.miss(rank, n, names.is_empty()));
                }
            }
            EndpointUpdate::ClusterDeltas(updates) => {
                updates.iter().for_each(|update| self.update(rank, update))
            }
            EndpointUpdate::ClustersRemoved(names) => {
                for cluster in names {
                    self.drop_subscription(cluster.as_str(), rank);
                    self.settle(cluster.as_str());
                }
            }
        }
    }

    fn drop_subscription(&mut self, cluster: &str, rank: usize) {
        if let Some(state) = self.clusters.get_mut(cluster) {
            state.subscriptions.remove(&rank);
        }
    }

    fn miss(&mut self, rank: usize, cluster: &str, none_named: bool) {
        let (now, hold, due) = (self.now, self.hold(), self.now + self.asking());
        let subscription =
            self.clusters.get_mut(cluster).and_then(|c| c.subscriptions.get_mut(&rank)).expect("a feed");
        let (since, due) = subscription.missing.as_ref().map_or((now, due), |m| (m.since, m.due));
        if subscription.good.is_some() && (none_named || now - since < hold) {
            subscription.missing = Some(Missing { since, due, none_named });
        } else {
            self.drop_subscription(cluster, rank);
        }
        self.settle(cluster);
    }

    fn subscription(&mut self, cluster: &str, rank: usize) -> &mut Subscription {
        let state = self.clusters.entry(cluster.to_owned()).or_default();
        state.subscriptions.entry(rank).or_default()
    }

    /// What would be displaced by a first list of a source.
    fn other(&self, cluster: &str, rank: usize) -> Option<Map> {
        let (owner, map) = owner(&self.clusters[cluster])?;
        (rank < owner).then(|| map.clone())
    }

    fn list(&mut self, rank: usize, cluster: &str, endpoints: &Endpoints, settings: ClusterSettings) {
        let subscription = self.subscription(cluster, rank);
        subscription.missing = None;
        match endpoints {
            Endpoints::NoneOnPurpose => {
                subscription.held = None;
                subscription.good = Some((Map::new(), settings));
            }
            Endpoints::Listed(list) => {
                let ids: BTreeSet<String> = list.iter().map(name).collect();
                let count = |id: &String| list.iter().filter(|e| name(e) == *id).count();
                let faults = list.iter().filter(|e| e.check().is_err()).count()
                    + ids.iter().filter(|id| count(id) > 1).count();
                if faults > 0 {
                    subscription.refused = true;
                    self.effects.refused += faults;
                } else {
                    let list = list.iter().map(|e| (name(e), e.clone())).collect();
                    self.whole(rank, cluster, list, settings, true);
                }
            }
        }
        self.settle(cluster);
    }

    fn difference(&self, rank: usize, cluster: &str, list: &Map) -> BTreeMap<String, Part> {
        let other = self.other(cluster, rank);
        let subscription = &self.clusters[cluster].subscriptions[&rank];
        let own = subscription.good.as_ref().map(|(own, _)| own);
        let base = own.cloned().or(other).unwrap_or_default();
        let ids: BTreeSet<&String> = base.keys().chain(list.keys()).collect();
        let changed = |id: &&String| own.is_none() || base.get(*id) != list.get(*id);
        ids.into_iter()
            .filter(changed)
            .map(|id| (id.clone(), part(subscription, id, list.get(id), self.now)))
            .collect()
    }

    fn whole(&mut self, rank: usize, cluster: &str, list: Map, settings: ClusterSettings, is_reported: bool) {
        let parts = self.difference(rank, cluster, &list);
        let old = self.subscription(cluster, rank).held.take();
        let verdict = self.validate(cluster, rank, &parts, is_reported);
        let owner = owner(&self.clusters[cluster]).map(|(owner, _)| owner);
        let (now, due) = (self.now, self.now + self.asking());
        let subscription = self.subscription(cluster, rank);
        let is_first = subscription.good.is_none();
        if verdict.kinds.is_empty() {
            subscription.good = Some((list, settings));
            return;
        }
        let (since, due) = old.map_or((now, due), |old| (old.since, old.due));
        let (whole, against, kinds) = (Some(settings), owner.filter(|_| is_first), verdict.kinds);
        let mut held = Quarantined { parts, whole, kinds, since, due, against, is_new: true };
        held.parts.iter_mut().for_each(|(id, part)| part.sticky |= verdict.sticky.contains(id));
        subscription.held = Some(held);
    }

    fn update(&mut self, rank: usize, update: &ClusterDelta) {
        let cluster = update.cluster.as_str();
        let subscription = self.subscription(cluster, rank);
        subscription.missing = None;
        let upserts = update.upserts.iter().map(|e| (name(e), Some(e.clone())));
        let removals = update.removals.iter().map(|id| (id.as_str().to_owned(), None));
        let is_reported: Vec<(String, Option<Endpoint>)> = upserts.chain(removals).collect();
        let count = |id: &String| is_reported.iter().filter(|(other, _)| other == id).count();
        let ids: BTreeSet<&String> = is_reported.iter().map(|(id, _)| id).collect();
        let bad = |e: &Option<Endpoint>| e.as_ref().is_some_and(|e| e.check().is_err());
        let good = |(id, e): &&(String, Option<Endpoint>)| count(id) == 1 && !bad(e);
        let faults = ids.len() - is_reported.iter().filter(good).count();
        let is_reported: BTreeMap<String, Option<Endpoint>> =
            is_reported.iter().filter(good).cloned().collect();
        subscription.refused |= faults > 0;
        if subscription.good.is_none() {
            let held = subscription.held.clone();
            let mut list: Map = Map::new();
            for (id, part) in held.iter().flat_map(|held| &held.parts) {
                list.extend(part.want.iter().map(|e| (id.clone(), e.clone())));
            }
            for (id, e) in &is_reported {
                list.remove(id);
                list.extend(e.iter().map(|e| (id.clone(), e.clone())));
            }
            let settings = update.settings.or(held.as_ref().and_then(|h| h.whole)).unwrap_or_default();
            if !list.is_empty() || held.is_some() {
                self.whole(rank, cluster, list, settings, held.is_none());
            }
        } else {
            self.parts(rank, cluster, is_reported, update.settings);
        }
        self.effects.refused += faults;
        self.settle(cluster);
    }

    fn parts(
        &mut self,
        rank: usize,
        cluster: &str,
        is_reported: BTreeMap<String, Option<Endpoint>>,
        settings: Option<ClusterSettings>,
    ) {
        let (now, due) = (self.now, self.now + self.asking());
        let subscription = &self.clusters[cluster].subscriptions[&rank];
        let (own, _) = subscription.good.as_ref().expect("accepted content");
        let changes = is_reported.iter().filter(|(id, e)| own.get(*id) != e.as_ref());
        let parts: BTreeMap<String, Part> =
            changes.map(|(id, e)| (id.clone(), part(subscription, id, e.as_ref(), now))).collect();
        let subscription = self.subscription(cluster, rank);
        if let Some(held) = &mut subscription.held {
            is_reported.keys().for_each(|id| _ = held.parts.remove(id));
            held.whole = held.whole.map(|old| settings.unwrap_or(old));
        }
        let verdict = self.validate(cluster, rank, &parts, true);
        let subscription = self.subscription(cluster, rank);
        let good = subscription.good.as_mut().expect("accepted content");
        *good = (with(&good.0, &parts, &verdict.doubtful), settings.unwrap_or(good.1));
        if verdict.doubtful.is_empty() {
            return;
        }
        let (parts_held, whole, kinds, against) = Default::default();
        let begin = Quarantined { parts: parts_held, whole, kinds, since: now, due, against, is_new: false };
        let held = subscription.held.get_or_insert(begin);
        held.kinds.extend(verdict.kinds);
        for (id, mut part) in parts.into_iter().filter(|(id, _)| verdict.doubtful.contains(id)) {
            part.sticky |= verdict.sticky.contains(&id);
            held.parts.insert(id, part);
        }
    }

    /// Lets pass what is no longer suspicious, then brings what is served up to date.
    fn settle(&mut self, cluster: &str) {
        if !self.clusters.contains_key(cluster) {
            return;
        }
        loop {
            let ranks: Vec<usize> = self.clusters[cluster].subscriptions.keys().copied().collect();
            let passed =
                ranks.iter().filter(|rank| self.second(cluster, **rank) || self.again(cluster, **rank));
            // Not `any`: each is asked in each round.
            if passed.count() == 0 {
                break;
            }
        }
        let state = self.clusters.get_mut(cluster).expect("the cluster");
        let held = state.subscriptions.values_mut().filter_map(|f| f.held.as_mut());
        held.for_each(|held| held.is_new = false);
        self.serve(cluster);
    }

    fn second(&mut self, cluster: &str, rank: usize) -> bool {
        let state = self.clusters.get_mut(cluster).expect("the cluster");
        let subscription = &state.subscriptions[&rank];
        if subscription.held.as_ref().is_none_or(Quarantined::needs_explicit_confirmation) {
            return false;
        }
        let places = |map: &Map| map.iter().map(|(id, e)| (id.clone(), e.address)).collect::<Vec<_>>();
        let wanted = places(&subscription.wanted());
        let mut others = state.subscriptions.iter().filter(|(other, _)| **other != rank);
        if others.any(|(_, f)| f.good.as_ref().is_some_and(|(other, _)| places(other) == wanted)) {
            release(state.subscriptions.get_mut(&rank).expect("the feed"));
            return true;
        }
        false
    }

    fn again(&mut self, cluster: &str, rank: usize) -> bool {
        let state = &self.clusters[cluster];
        let subscription = &state.subscriptions[&rank];
        let Some(held) = subscription.held.as_ref().filter(|held| !held.is_new) else { return false };
        let now_owner = owner(state).map(|(owner, _)| owner);
        let (mut parts, verdict) = match &subscription.good {
            None => {
                if held.against.is_none() || held.against == now_owner {
                    return false;
                }
                let list = with(&Map::new(), &held.parts, &BTreeSet::new());
                let parts = self.difference(rank, cluster, &list);
                let verdict = self.validate(cluster, rank, &parts, false);
                (parts, verdict)
            }
            Some(_) if held.whole.is_some() && held.parts.values().any(|part| part.sticky) => return false,
            Some(_) => (held.parts.clone(), self.validate(cluster, rank, &held.parts, false)),
        };
        let subscription = self.subscription(cluster, rank);
        let held = subscription.held.as_mut().expect("held");
        held.against = now_owner.filter(|_| subscription.good.is_none());
        parts.iter_mut().for_each(|(id, part)| part.sticky |= verdict.sticky.contains(id));
        held.parts = parts;
        if !verdict.kinds.is_empty() {
            held.kinds = verdict.kinds.clone();
        }
        if held.whole.is_some() {
            if verdict.kinds.is_empty() {
                release(subscription);
            }
            return verdict.kinds.is_empty();
        }
        let stays = |(id, part): (&String, &Part)| part.sticky || verdict.doubtful.contains(id);
        let passing: Vec<String> =
            held.parts.iter().filter(|p| !stays(*p)).map(|(id, _)| id.clone()).collect();
        let good = subscription.good.as_mut().expect("accepted content");
        for id in &passing {
            let part = held.parts.remove(id).expect("a part");
            good.0.remove(id);
            good.0.extend(part.want.map(|e| (id.clone(), e)));
        }
        let is_over = held.parts.is_empty();
        if is_over {
            subscription.held = None;
        }
        is_over || !passing.is_empty()
    }

    fn serve(&mut self, cluster: &str) {
        let now = self.now;
        let state = self.clusters.get_mut(cluster).expect("the cluster");
        let Some((owner, own)) = owner(state) else {
            if state.served.take().is_some() {
                (state.left, state.left_at) = Default::default();
            }
            return;
        };
        let shall: Map = own
            .iter()
            .map(|(id, e)| (id.clone(), with_reported_state(&state.subscriptions, owner, e)))
            .collect();
        let settings = state.subscriptions[&owner].good.as_ref().expect("the owner's").1;
        let before = state.served.take().map_or(Map::new(), |served| served.endpoints);
        for (id, e) in &before {
            if !shall.contains_key(id) {
                state.left.insert(id.clone(), e.clone());
                state.left_at.insert(id.clone(), now);
                self.effects.removed.insert((cluster.to_owned(), id.clone()));
            }
        }
        let within = self.policy.returns_within.as_nanos() as Nanos;
        for (id, new) in &shall {
            if before.get(id) == Some(new) {
                continue;
            }
            let away = state.left_at.remove(id).map(|at| now - at).filter(|away| *away <= within);
            let left = state.left.remove(id).filter(|_| away.is_some());
            let arrival = match before.get(id).or(left.as_ref()) {
                None => Arrival::New,
                Some(old) if new.started.is_some() && new.started != old.started => Arrival::Restarted,
                Some(old) if new.address != old.address => Arrival::Moved { from: old.address },
                Some(_) => away.map_or(Arrival::Changed, |away| Arrival::Returned { away }),
            };
            self.effects.upserted.insert((cluster.to_owned(), id.clone()), arrival);
        }
        state.served = Some(Served { owner, endpoints: shall, settings });
    }
}

fn owner(state: &Cluster) -> Option<(usize, &Map)> {
    state.subscriptions.iter().find_map(|(rank, subscription)| Some((*rank, &subscription.good.as_ref()?.0)))
}

fn part(subscription: &Subscription, id: &str, want: Option<&Endpoint>, now: Nanos) -> Part {
    let held = subscription.held.as_ref().and_then(|held| held.parts.get(id));
    let same = held.filter(|part| part.want.as_ref().map(|e| e.address) == want.map(|e| e.address));
    Part { want: want.cloned(), since: same.map_or(now, |part| part.since), sticky: false }
}

fn release(subscription: &mut Subscription) {
    let held = subscription.held.take().expect("held");
    let (own, settings) = subscription.good.take().unwrap_or_default();
    subscription.good = Some((with(&own, &held.parts, &BTreeSet::new()), held.whole.unwrap_or(settings)));
}
