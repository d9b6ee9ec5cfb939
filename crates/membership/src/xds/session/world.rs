//! The clusters that the control plane has told, and which of them wait for their endpoints.

use crate::endpoint::{Cluster, ClusterSettings, Endpoint, Endpoints};
use crate::event::ClusterDelta;
use crate::names::{ClusterName, Version};
use crate::xds::resource::{ClusterResource, Origin};
use olivecart_decisions::Nanos;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The clusters that the control plane has told.
#[derive(Debug, Default)]
pub(super) struct World {
    clusters: BTreeMap<ClusterName, Known>,
    /// Which clusters have their endpoints under a name.
    services: BTreeMap<String, BTreeSet<ClusterName>>,
    early: Early,
}

#[derive(Debug)]
struct Known {
    settings: ClusterSettings,
    origin: Origin,
    /// Endpoints of it were passed on at some time.
    is_told: bool,
    /// It waits for its endpoints since then.
    warming: Option<Nanos>,
}

/// What the catalog is to be told, and what else follows.
#[derive(Debug, Default)]
pub(super) struct Telling {
    pub removed: Vec<ClusterName>,
    pub updates: Vec<(Version, Vec<ClusterDelta>)>,
    pub lists: Vec<(Version, Vec<Cluster>)>,
    /// Names whose endpoints are to be asked for again.
    pub again: BTreeSet<String>,
    /// Clusters that begin to wait for their endpoints.
    pub waiting: Vec<ClusterName>,
    /// Clusters that have stopped waiting, with the time since which they had waited if their endpoints have
    /// come.
    pub over: Vec<(ClusterName, Option<Nanos>)>,
}

impl Telling {
    fn list(&mut self, version: &Version, cluster: Cluster) {
        put(&mut self.lists, version, cluster);
    }

    fn settings(&mut self, version: &Version, name: &ClusterName, settings: ClusterSettings) {
        let (upserts, removals) = (Vec::new(), Vec::new());
        let update = ClusterDelta { cluster: name.clone(), settings: Some(settings), upserts, removals };
        put(&mut self.updates, version, update);
    }
}

fn put<T>(to: &mut Vec<(Version, Vec<T>)>, version: &Version, what: T) {
    match to.last_mut() {
        Some((last, list)) if last == version => list.push(what),
        _ => to.push((version.clone(), vec![what])),
    }
}

fn whole(name: &ClusterName, settings: ClusterSettings, endpoints: Vec<Endpoint>) -> Cluster {
    Cluster { name: name.clone(), endpoints: Endpoints::Listed(endpoints), settings }
}

impl World {
    pub fn len(&self) -> usize {
        self.clusters.len()
    }

    pub fn names(&self) -> impl Iterator<Item = &ClusterName> {
        self.clusters.keys()
    }

    pub fn has(&self, name: &str) -> bool {
        self.clusters.contains_key(&ClusterName::from(name))
    }

    /// The names under which endpoints are asked for.
    pub fn services(&self) -> BTreeSet<String> {
        self.services.keys().cloned().collect()
    }

    pub fn has_service(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }

    /// The clusters that wait for their endpoints, the name of those, and since when.
    pub fn waiting(&self) -> impl Iterator<Item = (&ClusterName, &str, Nanos)> {
        self.clusters.iter().filter_map(|(name, known)| Some((name, known.service()?, known.warming?)))
    }

    pub fn service_of(&self, name: &ClusterName) -> Option<&str> {
        self.clusters.get(name)?.service()
    }

    pub fn warming_since(&self, name: &ClusterName) -> Option<Nanos> {
        self.clusters.get(name)?.warming
    }

    /// Takes in a cluster.
    pub fn take(&mut self, now: Nanos, version: &Version, resource: ClusterResource, tell: &mut Telling) {
        let ClusterResource { name, settings, origin, .. } = resource;
        let old = self.clusters.remove(&name);
        let (was_told, since) = old.as_ref().map_or((false, None), |old| (old.is_told, old.warming));
        let old_service = old.as_ref().and_then(Known::service);
        let mut known = Known { settings, origin, is_told: was_told, warming: since };
        if old_service != known.service() {
            old_service.into_iter().for_each(|service| self.leave(service, &name));
        }
        match &known.origin {
            Origin::Static(endpoints) => {
                known.is_told = true;
                if known.warming.take().is_some() {
                    tell.over.push((name.clone(), None));
                }
                tell.list(version, whole(&name, settings, endpoints.clone()));
            }
            Origin::Discovery { service } if old_service == Some(service) => {
                if was_told && old.as_ref().is_some_and(|old| old.settings != settings) {
                    tell.settings(version, &name, settings);
                }
            }
            Origin::Discovery { service } => match self.early.take(service) {
                Some((version, endpoints)) => {
                    known.is_told = true;
                    tell.list(&version, whole(&name, settings, endpoints));
                    tell.over.extend(known.warming.take().map(|_| (name.clone(), None)));
                    self.join(service, &name);
                }
                None => {
                    // Danger: what is asked for already is not sent again by itself.
                    if !self.join(service, &name) {
                        tell.again.insert(service.clone());
                    }
                    known.warming = Some(now);
                    tell.waiting.push(name.clone());
                }
            },
        }
        self.clusters.insert(name, known);
    }

    /// Takes in the endpoints under a name.
    pub fn assign(
        &mut self,
        service: String,
        version: &Version,
        endpoints: Vec<Endpoint>,
        tell: &mut Telling,
    ) {
        let World { clusters, services, early } = self;
        let Some(users) = services.get(&service) else {
            return early.keep(service, version.clone(), endpoints);
        };
        let (mut endpoints, last) = (endpoints, users.len().saturating_sub(1));
        for (at, name) in users.iter().enumerate() {
            let Some(known) = clusters.get_mut(name) else { continue };
            known.is_told = true;
            tell.over.extend(known.warming.take().map(|since| (name.clone(), Some(since))));
            let own = if at == last { std::mem::take(&mut endpoints) } else { endpoints.clone() };
            tell.list(version, whole(name, known.settings, own));
        }
    }

    /// The endpoints under a name are no more, the clusters still are. The catalog is told of none, which it
    /// takes for a mistake until somebody confirms it.
    pub fn withdraw(&mut self, now: Nanos, service: &str, version: &Version, tell: &mut Telling) {
        self.early.take(service);
        for name in self.services.get(service).into_iter().flatten() {
            let Some(known) = self.clusters.get_mut(name).filter(|known| known.warming.is_none()) else {
                continue;
            };
            known.warming = Some(now);
            tell.waiting.push(name.clone());
            if known.is_told {
                tell.list(version, whole(name, known.settings, Vec::new()));
            }
        }
    }

    /// A cluster is no more.
    pub fn remove(&mut self, name: &ClusterName, tell: &mut Telling) {
        let Some(known) = self.clusters.remove(name) else { return };
        known.service().into_iter().for_each(|service| self.leave(service, name));
        tell.over.extend(known.warming.map(|_| (name.clone(), None)));
        if known.is_told {
            tell.removed.push(name.clone());
        }
    }

    /// Says of all clusters that they are still there.
    pub fn stand(&self, version: &Version, tell: &mut Telling) {
        for (name, known) in self.clusters.iter().filter(|(_, known)| known.is_told) {
            tell.settings(version, name, known.settings);
        }
    }

    /// Says once more what a cluster has in itself.
    pub fn repeat(&self, name: &ClusterName, version: &Version, tell: &mut Telling) {
        let Some(known) = self.clusters.get(name) else { return };
        if let Origin::Static(endpoints) = &known.origin {
            tell.list(version, whole(name, known.settings, endpoints.clone()));
        }
    }

    /// Endpoints that came before their cluster are the stream's: another one tells them anew.
    pub fn forget_early(&mut self) {
        self.early = Early::default();
    }

    /// False if others have joined before.
    fn join(&mut self, service: &str, name: &ClusterName) -> bool {
        let users = self.services.entry(service.to_owned()).or_default();
        users.insert(name.clone());
        users.len() == 1
    }

    fn leave(&mut self, service: &str, name: &ClusterName) {
        let Some(users) = self.services.get_mut(service) else { return };
        users.remove(name);
        if users.is_empty() {
            self.services.remove(service);
        }
    }
}

impl Known {
    fn service(&self) -> Option<&str> {
        match &self.origin {
            Origin::Discovery { service } => Some(service),
            Origin::Static(_) => None,
        }
    }
}

/// Endpoints that came before their cluster.
#[derive(Debug, Default)]
struct Early {
    lists: BTreeMap<String, (Version, Vec<Endpoint>)>,
    order: VecDeque<String>,
    endpoints: usize,
}

impl Early {
    /// Danger: without limits a control plane that sends what nobody asked for fills the memory. What is
    /// dropped comes when it is asked for.
    const MOST_LISTS: usize = 256;
    const MOST_ENDPOINTS: usize = 20_000;

    fn keep(&mut self, service: String, version: Version, endpoints: Vec<Endpoint>) {
        self.take(&service);
        self.endpoints += endpoints.len();
        self.order.push_back(service.clone());
        self.lists.insert(service, (version, endpoints));
        while self.endpoints > Early::MOST_ENDPOINTS || self.lists.len() > Early::MOST_LISTS {
            let Some(first) = self.order.front().cloned() else { return };
            self.take(&first);
        }
    }

    fn take(&mut self, service: &str) -> Option<(Version, Vec<Endpoint>)> {
        let (version, endpoints) = self.lists.remove(service)?;
        self.order.retain(|kept| kept != service);
        self.endpoints -= endpoints.len();
        Some((version, endpoints))
    }
}
