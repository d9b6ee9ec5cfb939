//! The clusters that the control plane has sent, and which of them wait for their endpoints.
//!
//! The session applies each resource here and publishes the resulting [`PendingUpdates`].

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
    /// The clusters that use the endpoints of each service name.
    services: BTreeMap<String, BTreeSet<ClusterName>>,
    early: EarlyAssignments,
}

#[derive(Debug)]
struct StoredCluster {
    settings: ClusterSettings,
    origin: Origin,
    /// Whether the cluster was ever published with its endpoints.
    is_published: bool,
    /// Since when the cluster waits for its endpoints, if it does.
    warming_since: Option<Nanos>,
}

/// Updates for the catalog and further actions of the session.
#[derive(Debug, Default)]
pub(super) struct PendingUpdates {
    pub removed: Vec<ClusterName>,
    pub deltas: Vec<(Version, Vec<ClusterDelta>)>,
    pub snapshots: Vec<(Version, Vec<Cluster>)>,
    /// Service names whose endpoints are to be requested again.
    pub resubscribe: BTreeSet<String>,
    /// Clusters that started to wait for their endpoints.
    pub started_waiting: Vec<ClusterName>,
    /// Clusters that stopped waiting, with the start of the wait if their endpoints were received.
    pub stopped_waiting: Vec<(ClusterName, Option<Nanos>)>,
}

impl PendingUpdates {
    fn push_snapshot(&mut self, version: &Version, cluster: Cluster) {
        push_grouped(&mut self.snapshots, version, cluster);
    }

    fn push_settings(&mut self, version: &Version, name: &ClusterName, settings: ClusterSettings) {
        let update = ClusterDelta {
            cluster: name.clone(),
            settings: Some(settings),
            upserts: Vec::new(),
            removals: Vec::new(),
        };
        push_grouped(&mut self.deltas, version, update);
    }
}

fn push_grouped<T>(to: &mut Vec<(Version, Vec<T>)>, version: &Version, item: T) {
    match to.last_mut() {
        Some((last_version, items)) if last_version == version => items.push(item),
        _ => to.push((version.clone(), vec![item])),
    }
}

fn full_cluster(name: &ClusterName, settings: ClusterSettings, endpoints: Vec<Endpoint>) -> Cluster {
    Cluster { name: name.clone(), endpoints: Endpoints::Listed(endpoints), settings }
}

impl ClusterStore {
    pub fn len(&self) -> usize {
        self.clusters.len()
    }

    pub fn names(&self) -> impl Iterator<Item = &ClusterName> {
        self.clusters.keys()
    }

    pub fn contains(&self, name: &str) -> bool {
        self.clusters.contains_key(&ClusterName::from(name))
    }

    /// Returns the service names to subscribe to.
    pub fn services(&self) -> BTreeSet<String> {
        self.services.keys().cloned().collect()
    }

    pub fn is_service_used(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }

    /// Returns the clusters that wait for their endpoints, with the service name and the start of the wait.
    pub fn waiting(&self) -> impl Iterator<Item = (&ClusterName, &str, Nanos)> {
        self.clusters
            .iter()
            .filter_map(|(name, cluster)| Some((name, cluster.service()?, cluster.warming_since?)))
    }

    pub fn service_of(&self, name: &ClusterName) -> Option<&str> {
        self.clusters.get(name)?.service()
    }

    pub fn warming_since(&self, name: &ClusterName) -> Option<Nanos> {
        self.clusters.get(name)?.warming_since
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
            warming_since: old.as_ref().and_then(|old| old.warming_since),
        };
        let old_service = old.as_ref().and_then(StoredCluster::service);
        if old_service != cluster.service() {
            old_service.into_iter().for_each(|service| self.remove_user(service, &name));
        }
        match &cluster.origin {
            Origin::Static(endpoints) => {
                cluster.is_published = true;
                pending.stopped_waiting.extend(cluster.warming_since.take().map(|_| (name.clone(), None)));
                pending.push_snapshot(version, full_cluster(&name, settings, endpoints.clone()));
            }
            Origin::Discovery { service } if old_service == Some(service) => {
                if cluster.is_published && old.as_ref().is_some_and(|old| old.settings != settings) {
                    pending.push_settings(version, &name, settings);
                }
            }
            Origin::Discovery { service } => {
                let service = service.clone();
                self.await_endpoints(now, &name, &service, &mut cluster, pending);
            }
        }
        self.clusters.insert(name, cluster);
    }

    /// Assigns a service name to a cluster. Uses the endpoints that were received early, or else starts to
    /// wait.
    fn await_endpoints(
        &mut self,
        now: Nanos,
        name: &ClusterName,
        service: &str,
        cluster: &mut StoredCluster,
        pending: &mut PendingUpdates,
    ) {
        let early = self.early.remove(service);
        let is_first_user = self.add_user(service, name);
        if let Some((version, endpoints)) = early {
            cluster.is_published = true;
            pending.push_snapshot(&version, full_cluster(name, cluster.settings, endpoints));
            pending.stopped_waiting.extend(cluster.warming_since.take().map(|_| (name.clone(), None)));
            return;
        }
        // The control plane does not resend endpoints that another cluster has already subscribed to.
        if !is_first_user {
            pending.resubscribe.insert(service.to_owned());
        }
        cluster.warming_since = Some(now);
        pending.started_waiting.push(name.clone());
    }

    /// Applies the endpoints of a service name to the clusters that use it.
    pub fn apply_assignment(
        &mut self,
        service: String,
        version: &Version,
        endpoints: Vec<Endpoint>,
        pending: &mut PendingUpdates,
    ) {
        let ClusterStore { clusters, services, early } = self;
        let Some(users) = services.get(&service) else {
            return early.insert(service, version.clone(), endpoints);
        };
        let (mut endpoints, last) = (endpoints, users.len().saturating_sub(1));
        for (index, name) in users.iter().enumerate() {
            let Some(cluster) = clusters.get_mut(name) else { continue };
            cluster.is_published = true;
            pending
                .stopped_waiting
                .extend(cluster.warming_since.take().map(|since| (name.clone(), Some(since))));
            let own = if index == last { std::mem::take(&mut endpoints) } else { endpoints.clone() };
            pending.push_snapshot(version, full_cluster(name, cluster.settings, own));
        }
    }

    /// Publishes an empty endpoint list for the clusters of a service name whose endpoints were removed. The
    /// catalog quarantines it until it is confirmed.
    pub fn withdraw_endpoints(
        &mut self,
        now: Nanos,
        service: &str,
        version: &Version,
        pending: &mut PendingUpdates,
    ) {
        self.early.remove(service);
        for name in self.services.get(service).into_iter().flatten() {
            let Some(cluster) = self.clusters.get_mut(name).filter(|cluster| cluster.warming_since.is_none())
            else {
                continue;
            };
            cluster.warming_since = Some(now);
            pending.started_waiting.push(name.clone());
            if cluster.is_published {
                pending.push_snapshot(version, full_cluster(name, cluster.settings, Vec::new()));
            }
        }
    }

    /// Removes a cluster.
    pub fn remove(&mut self, name: &ClusterName, pending: &mut PendingUpdates) {
        let Some(cluster) = self.clusters.remove(name) else { return };
        cluster.service().into_iter().for_each(|service| self.remove_user(service, name));
        pending.stopped_waiting.extend(cluster.warming_since.map(|_| (name.clone(), None)));
        if cluster.is_published {
            pending.removed.push(name.clone());
        }
    }

    /// Publishes the settings of all clusters, which confirms that they still exist.
    pub fn confirm_all(&self, version: &Version, pending: &mut PendingUpdates) {
        for (name, cluster) in self.clusters.iter().filter(|(_, cluster)| cluster.is_published) {
            pending.push_settings(version, name, cluster.settings);
        }
    }

    /// Publishes the endpoints of a static cluster again.
    pub fn resend_static(&self, name: &ClusterName, version: &Version, pending: &mut PendingUpdates) {
        let Some(cluster) = self.clusters.get(name) else { return };
        if let Origin::Static(endpoints) = &cluster.origin {
            pending.push_snapshot(version, full_cluster(name, cluster.settings, endpoints.clone()));
        }
    }

    /// Drops the endpoints that arrived before their cluster. They belong to the lost stream; a new stream
    /// sends them again.
    pub fn clear_early_assignments(&mut self) {
        self.early = EarlyAssignments::default();
    }

    /// Adds a cluster to the users of a service name. Returns whether it is the first.
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

/// Endpoints that arrived before their cluster. The oldest are dropped first.
#[derive(Debug, Default)]
struct EarlyAssignments {
    snapshots: BTreeMap<String, (Version, Vec<Endpoint>)>,
    order: VecDeque<String>,
    endpoints: usize,
}

impl EarlyAssignments {
    /// The limits on early endpoints. Without them, a control plane that sends unrequested endpoints would
    /// fill the memory. Dropped endpoints are received again once they are subscribed to.
    const MAX_ASSIGNMENTS: usize = 256;
    const MAX_ENDPOINTS: usize = 20_000;

    fn insert(&mut self, service: String, version: Version, endpoints: Vec<Endpoint>) {
        self.remove(&service);
        self.endpoints += endpoints.len();
        self.order.push_back(service.clone());
        self.snapshots.insert(service, (version, endpoints));
        while self.endpoints > EarlyAssignments::MAX_ENDPOINTS
            || self.snapshots.len() > EarlyAssignments::MAX_ASSIGNMENTS
        {
            let Some(first) = self.order.front().cloned() else { return };
            self.remove(&first);
        }
    }

    fn remove(&mut self, service: &str) -> Option<(Version, Vec<Endpoint>)> {
        let (version, endpoints) = self.snapshots.remove(service)?;
        self.order.retain(|kept| kept != service);
        self.endpoints -= endpoints.len();
        Some((version, endpoints))
    }
}
