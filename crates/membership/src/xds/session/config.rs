//! The configuration of a session.

use crate::names::{ClusterName, SourceId};
use crate::policy::Policy;
use std::collections::BTreeSet;
use std::time::Duration;

/// The configuration of a session.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The source id in the events of the session.
    pub source: SourceId,
    /// The identity of the proxy, which the first request contains.
    pub node: Node,
    /// The clusters to subscribe to; if empty, all that the control plane has for this node. Other clusters
    /// in responses are ignored and their endpoints are not requested, since a sidecar in a large fleet calls
    /// few of its services.
    pub clusters: BTreeSet<ClusterName>,
    /// The protocol variant.
    pub variant: Variant,
    /// How long to wait for the first clusters before the source is reported silent; 15 s by default, as in
    /// Envoy.
    pub first_fetch: Duration,
    /// How long to wait for the endpoints of a cluster before a warning is logged; 15 s by default, as in
    /// Envoy. The session continues to wait after that.
    pub warming: Duration,
    /// The upper limit of the first reconnection delay; 1 s by default, at least 10 ms. Delays are random
    /// between 0 and a limit that doubles each time (full jitter: Brooker, "Exponential Backoff and Jitter",
    /// AWS 2015), so that a fleet that loses its control plane does not reconnect all at once.
    pub backoff_base: Duration,
    /// The maximum of that limit; 30 s by default.
    pub backoff_most: Duration,
    /// How long a stream must be open to count as working without a response, since a control plane without
    /// changes sends none; 5 s by default.
    pub settled_after: Duration,
    /// The maximum random delay after which a resumed stream requests the known endpoints again; 10 s by
    /// default. A restarted control plane that numbers its versions from the start may have other content
    /// under a version that this proxy reports, and would not send it otherwise.
    pub verify: Duration,
    /// The maximum number of clusters, as in the policy of the catalog. The session rejects what the catalog
    /// would reject, so that the control plane is notified.
    pub max_clusters: usize,
    /// The maximum number of endpoints of a cluster, as in the policy of the catalog.
    pub max_endpoints: usize,
    /// The seed of the random delays; must differ between proxies.
    pub seed: u64,
}

/// The variants of the protocol.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Variant {
    /// State of the world: a CDS response contains all clusters, an EDS response the changed endpoint lists.
    StateOfTheWorld,
    /// Incremental: a response contains only changes.
    #[default]
    Incremental,
}

/// The identity of the proxy in the first request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Node {
    /// The id of this proxy.
    pub id: String,
    /// The fleet of this proxy, by which control planes select its resources.
    pub cluster: String,
    /// The region where the proxy runs.
    pub region: String,
    /// The zone where the proxy runs.
    pub zone: String,
}

impl Config {
    /// The default of [`backoff_base`](Config::backoff_base).
    pub const BACKOFF_BASE: Duration = Duration::from_secs(1);

    /// Returns the default configuration for a source and a node.
    pub fn new(source: SourceId, node: Node) -> Config {
        let policy = Policy::default();
        Config {
            source,
            node,
            clusters: BTreeSet::new(),
            variant: Variant::default(),
            first_fetch: Duration::from_secs(15),
            warming: Duration::from_secs(15),
            backoff_base: Config::BACKOFF_BASE,
            backoff_most: Duration::from_secs(30),
            settled_after: Duration::from_secs(5),
            verify: Duration::from_secs(10),
            max_clusters: policy.max_clusters,
            max_endpoints: policy.max_endpoints,
            seed: 0,
        }
    }
}
