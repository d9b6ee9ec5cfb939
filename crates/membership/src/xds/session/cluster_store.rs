//! The clusters that the control plane has sent, and which of them wait for their endpoints.
//!
//! The session applies each resource here, and publishes the [`PendingUpdates`] that follow.

use crate::endpoint::{Cluster, ClusterSettings, Endpoint, Endpoints};
use crate::event::ClusterDelta;
use crate::names::{ClusterName, Version};
use crate::xds::resource::{ClusterResource, Origin};
use olivecart_decisions::Nanos;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The clusters that the control plane has sent.
#[derive(Debug, Default)]
pub(super) struct ClusterStore {
    clusters: BTreeMap<ClusterName, StoredCluster>,
    /// Which clusters have their endpoints under a name.
    services: BTreeMap<String, BTreeSet<ClusterName>>,
    early: EarlyAssignments,
}

#[derive(Debug)]
struct StoredCluster {
    settings: ClusterSettings,
    origin: Origin,
    /// Endpoints of it were passed on at some time.
    is_published: bool,
    /// It waits for its endpoints since then.
    warming: Option<Nanos>,
}

/// What the catalog is to be notified of, and what else follows.
#[derive(Debug, Default)]
pub(super) struct PendingUpdates {
    pub removed: Vec<ClusterName>,
    pub deltas: Vec<(Version, Vec<ClusterDelta>)>,
    pub snapshots: Vec<(Version, Vec<Cluster>)>,
    /// Names whose endpoints are to be asked for again.
    pub resubscribe: BTreeSet<String>,
    /// Clusters that begin to wait for their endpoints.
    pub waiting: Vec<ClusterName>,
    /// Clusters that have stopped waiting, with the time since which they had waited if their endpoints have
    /// come.
    pub stopped_waiting: Vec<(ClusterName, Option<Nanos>)>,
}

impl PendingUpdates {
    fn snapshot(&mut self, version: &Version, cluster: Cluster) {
        put(&mut self.snapshots, version, cluster);
    }

    fn settings(&mut self, version: &Version, name: &ClusterName, settings: ClusterSettings) {
        let update = ClusterDelta {
            cluster: name.clone(),
            settings: Some(settings),
            upserts: Vec::new(),
            removals: Vec::new(),
        };
        put(&mut self.deltas, version, update);
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

impl ClusterStore {
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

    /// Applies a cluster that the control plane sent.
    pub fn apply_cluster(
        &mut self,
        now: Nanos,
        version: &Version,
        resource: ClusterResource,
        pending: &mut PendingUpdates,
    ) {
        let ClusterResource { name, settings, origin, .. } = resource;
        let old = self.clusters.remove(&name);
        let mut cluster = StoredCluster {
            settings,
            origin,
            is_published: old.as_ref().is_some_and(|old| old.is_published),
            warming: old.as_ref().and_then(|old| old.warming),
        };
        let old_service = old.as_ref().and_then(StoredCluster::service);
        if old_service != cluster.service() {
            old_service.into_iter().for_each(|service| self.remove_user(service, &name));
        }
        match &cluster.origin {
            Origin::Static(endpoints) => {
                cluster.is_published = true;
                pending.stopped_waiting.extend(cluster.warming.take().map(|_| (name.clone(), None)));
                pending.snapshot(version, whole(&name, settings, endpoints.clone()));
            }
            Origin::Discovery { service } if old_service == Some(service) => {
                if cluster.is_published && old.as_ref().is_some_and(|old| old.settings != settings) {
                    pending.settings(version, &name, settings);
                }
            }
            Origin::Discovery { service } => {
                let service = service.clone();
                self.await_endpoints(now, &name, &service, &mut cluster, pending);
            }
        }
        self.clusters.insert(name, cluster);
    }

    /// A cluster gets its endpoints under another name: they have come early, or are waited for.
    fn await_endpoints(
        &mut self,
        now: Nanos,
        name: &ClusterName,
        service: &str,
        cluster: &mut StoredCluster,
        pending: &mut PendingUpdates,
    ) {
        let early = self.early.take(service);
        let is_first_user = self.add_user(service, name);
        if let Some((version, endpoints)) = early {
            cluster.is_published = true;
            pending.snapshot(&version, whole(name, cluster.settings, endpoints));
            pending.stopped_waiting.extend(cluster.warming.take().map(|_| (name.clone(), None)));
            return;
        }
        // Danger: what is asked for already is not sent again by itself.
        if !is_first_user {
            pending.resubscribe.insert(service.to_owned());
        }
        cluster.warming = Some(now);
        pending.waiting.push(name.clone());
    }

    /// Takes in the endpoints under a name.
    pub fn apply_assignment(
        &mut self,
        service: String,
        version: &Version,
        endpoints: Vec<Endpoint>,
        pending: &mut PendingUpdates,
    ) {
        let ClusterStore { clusters, services, early } = self;
        let Some(users) = services.get(&service) else {
            return early.keep(service, version.clone(), endpoints);
        };
        let (mut endpoints, last) = (endpoints, users.len().saturating_sub(1));
        for (at, name) in users.iter().enumerate() {
            let Some(known) = clusters.get_mut(name) else { continue };
            known.is_published = true;
            pending.stopped_waiting.extend(known.warming.take().map(|since| (name.clone(), Some(since))));
            let own = if at == last { std::mem::take(&mut endpoints) } else { endpoints.clone() };
            pending.snapshot(version, whole(name, known.settings, own));
        }
    }

    /// The endpoints under a name are no more, the clusters still are. The catalog is told of none, which it
    /// takes for a mistake until somebody confirms it.
    pub fn withdraw(&mut self, now: Nanos, service: &str, version: &Version, pending: &mut PendingUpdates) {
        self.early.take(service);
        for name in self.services.get(service).into_iter().flatten() {
            let Some(known) = self.clusters.get_mut(name).filter(|known| known.warming.is_none()) else {
                continue;
            };
            known.warming = Some(now);
            pending.waiting.push(name.clone());
            if known.is_published {
                pending.snapshot(version, whole(name, known.settings, Vec::new()));
            }
        }
    }

    /// A cluster is no more.
    pub fn remove(&mut self, name: &ClusterName, pending: &mut PendingUpdates) {
        let Some(known) = self.clusters.remove(name) else { return };
        known.service().into_iter().for_each(|service| self.remove_user(service, name));
        pending.stopped_waiting.extend(known.warming.map(|_| (name.clone(), None)));
        if known.is_published {
            pending.removed.push(name.clone());
        }
    }

    /// Says of all clusters that they are still there.
    pub fn confirm_all(&self, version: &Version, pending: &mut PendingUpdates) {
        for (name, known) in self.clusters.iter().filter(|(_, known)| known.is_published) {
            pending.settings(version, name, known.settings);
        }
    }

    /// Says once more what a cluster has in itself.
    pub fn repeat_static(&self, name: &ClusterName, version: &Version, pending: &mut PendingUpdates) {
        let Some(known) = self.clusters.get(name) else { return };
        if let Origin::Static(endpoints) = &known.origin {
            pending.snapshot(version, whole(name, known.settings, endpoints.clone()));
        }
    }

    /// Endpoints that came before their cluster are the stream's: another one tells them anew.
    pub fn clear_early_assignments(&mut self) {
        self.early = EarlyAssignments::default();
    }

    /// False if others have joined before.
    fn add_user(&mut self, service: &str, name: &ClusterName) -> bool {
        let users = self.services.entry(service.to_owned()).or_default();
        users.insert(name.clone());
        users.len() == 1
    }

    fn remove_user(&mut self, service: &str, name: &ClusterName) {
        let Some(users) = self.services.get_mut(service) else { return };
        users.remove(name);
        if users.is_empty() {
            self.services.remove(service);
        }
    }
}

impl StoredCluster {
    fn service(&self) -> Option<&str> {
        match &self.origin {
            Origin::Discovery { service } => Some(service),
            Origin::Static(_) => None,
        }
    }
}

/// Endpoints that came before their cluster.
#[derive(Debug, Default)]
struct EarlyAssignments {
    snapshots: BTreeMap<String, (Version, Vec<Endpoint>)>,
    order: VecDeque<String>,
    endpoints: usize,
}

impl EarlyAssignments {
    /// Danger: without limits a control plane that sends what nobody asked for fills the memory. What is
    /// dropped comes when it is asked for.
    const MAX_LISTS: usize = 256;
    const MAX_ENDPOINTS: usize = 20_000;

    fn keep(&mut self, service: String, version: Version, endpoints: Vec<Endpoint>) {
        self.take(&service);
        self.endpoints += endpoints.len();
        self.order.push_back(service.clone());
        self.snapshots.insert(service, (version, endpoints));
        while self.endpoints > EarlyAssignments::MAX_ENDPOINTS
            || self.snapshots.len() > EarlyAssignments::MAX_LISTS
        {
            let Some(first) = self.order.front().cloned() else { return };
            self.take(&first);
        }
    }

    fn take(&mut self, service: &str) -> Option<(Version, Vec<Endpoint>)> {
        let (version, endpoints) = self.snapshots.remove(service)?;
        self.order.retain(|kept| kept != service);
        self.endpoints -= endpoints.len();
        Some((version, endpoints))
    }
}
