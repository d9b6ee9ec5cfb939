//! The configuration of a session.

use crate::names::{ClusterName, SourceId};
use crate::policy::Policy;
use std::collections::BTreeSet;
use std::time::Duration;

/// The configuration of a session.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The source whose events these are.
    pub source: SourceId,
    /// Who asks.
    pub node: Node,
    /// The clusters asked for; none: all that the control plane has for this node. Others that it sends are
    /// passed over, and their endpoints not asked for: a sidecar of a large fleet calls few of its services.
    pub clusters: BTreeSet<ClusterName>,
    /// Which variant of the protocol is spoken.
    pub variant: Variant,
    /// The clusters of a new stream should have come after this; 15 s by default, as in Envoy.
    pub first_fetch: Duration,
    /// The endpoints of a cluster should have come this long after it; 15 s by default, as in Envoy. What is
    /// late is said, and still waited for.
    pub warming: Duration,
    /// The upper limit of the first wait before another connection; 1 s by default, at least 10 ms. Waits are chosen between
    /// 0 and a limit that doubles each time (full jitter: Brooker, "Exponential Backoff and Jitter", AWS
    /// 2015): a fleet that loses its control plane at once must not come back at once.
    pub backoff_base: Duration,
    /// The largest such limit; 30 s by default.
    pub backoff_most: Duration,
    /// A stream that stands for this long is good, though nothing has come: a control plane that has nothing
    /// new says nothing; 5 s by default.
    pub settled_after: Duration,
    /// What a resumed stream did not bring anew is asked for once more within this time, spread at random; 10 s
    /// by default. Danger: a control plane that restarts with versions that begin again may by chance have
    /// other content under the very versions that this proxy holds, and says nothing then.
    pub verify: Duration,
    /// Most clusters that are kept, as the catalog's policy has it: what is rejected there must be rejected
    /// here, so that the control plane is notified of it.
    pub max_clusters: usize,
    /// Most endpoints of a cluster, as the catalog's policy has it.
    pub max_endpoints: usize,
    /// Where the jitter begins: another for each proxy.
    pub seed: u64,
}

/// The variants of the protocol.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Variant {
    /// State of the world: each response holds all clusters, and all that has changed of endpoints.
    StateOfTheWorld,
    /// Incremental: each response holds what has changed.
    #[default]
    Incremental,
}

/// Who asks, as the control plane is told in the first request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Node {
    /// The id of this proxy.
    pub id: String,
    /// The fleet that it belongs to, by which control planes choose what it gets.
    pub cluster: String,
    /// Where it runs.
    pub region: String,
    /// Where it runs.
    pub zone: String,
}

impl Config {
    /// The default of [`backoff_base`](Config::backoff_base).
    pub const BACKOFF_BASE: Duration = Duration::from_secs(1);

    /// The defaults, for a source and a node.
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
