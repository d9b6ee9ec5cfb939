//! The events that sources and operators pass to the catalog.

use crate::endpoint::{Cluster, ClusterSettings, Endpoint};
use crate::names::{ClusterName, EndpointName, SourceId, Version};
use serde::Serialize;
use std::fmt;

/// An input of the catalog.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A source sent an update. If the source was silent, it is connected again.
    Update {
        /// The source.
        source: SourceId,
        /// The version that this brings its clusters to.
        version: Version,
        /// The content of the update.
        update: EndpointUpdate,
    },
    /// The source, or an operator on its behalf, explicitly confirms the quarantined change of a cluster.
    Confirm {
        /// The source of the change.
        source: SourceId,
        /// The cluster.
        cluster: ClusterName,
    },
    /// A source has not sent an expected update, or is disconnected. After a while its clusters are reported
    /// as stale; they are otherwise unaffected.
    ///
    /// The catalog does not fall back to the next source, since the silence of one source would then change
    /// the endpoints of all proxies at once. The load balancer detects endpoints that have disappeared
    /// meanwhile.
    Silent {
        /// The source.
        source: SourceId,
        /// The kind of silence.
        silence: Silence,
    },
    /// A source is connected again, and its last update is still current.
    Reconnected {
        /// The source.
        source: SourceId,
    },
    /// [`Catalog::deadline`](crate::Catalog::deadline) has passed.
    Tick,
}

/// The kind of a source's silence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Silence {
    /// The source is connected but sends nothing usable.
    Quiet,
    /// The connection to the source is lost: a stream has ended or a file cannot be read.
    Lost,
}

/// The content of a source's update.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointUpdate {
    /// The complete state of all clusters; any other cluster of the source is removed. Each is validated on
    /// its own.
    FullSnapshot(Vec<Cluster>),
    /// The complete state of some clusters; the source's other clusters are unchanged.
    ClusterSnapshots(Vec<Cluster>),
    /// Changes to some clusters. All changes to one cluster count as one update. For a cluster that the
    /// source has not listed yet, they are its first list.
    ClusterDeltas(Vec<ClusterDelta>),
    /// The source explicitly removes these clusters.
    ClustersRemoved(Vec<ClusterName>),
}

/// Changes to one cluster.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterDelta {
    /// The cluster.
    pub cluster: ClusterName,
    /// The new limits, which replace all previous ones; `None` if they are unchanged.
    pub settings: Option<ClusterSettings>,
    /// Endpoints that are new or have changed.
    pub upserts: Vec<Endpoint>,
    /// Endpoints that are removed. Endpoints that are not listed are ignored.
    pub removals: Vec<EndpointName>,
}

impl fmt::Display for Silence {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Silence::Quiet => "quiet",
            Silence::Lost => "lost",
        })
    }
}
