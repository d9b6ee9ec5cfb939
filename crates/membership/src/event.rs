//! The events that the catalog is notified of by its sources.

use crate::endpoint::{Cluster, ClusterSettings, Endpoint};
use crate::names::{ClusterName, EndpointName, SourceId, Version};
use serde::Serialize;
use std::fmt;

/// What the catalog is notified of.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A source spoke; so it is in touch again, if it was silent.
    Update {
        /// Who spoke.
        source: SourceId,
        /// The version that this brings its clusters to.
        version: Version,
        /// What it said.
        update: EndpointUpdate,
    },
    /// The explicit word, from the source or from somebody in its name: what is held of it stands.
    Confirm {
        /// Whose change it is.
        source: SourceId,
        /// The cluster.
        cluster: ClusterName,
    },
    /// A source should have spoken and has not, or is lost. Its clusters age, visibly, and nothing else
    /// happens.
    ///
    /// Weighed against turning to the next source: silence would then be what changes a fleet most, all
    /// proxies at once; and endpoints that have gone meanwhile are found by the balancer.
    Silent {
        /// Which one.
        source: SourceId,
        /// How.
        silence: Silence,
    },
    /// A source is in touch again and stands by all that it last said.
    Reconnected {
        /// Which one.
        source: SourceId,
    },
    /// [`Catalog::deadline`](crate::Catalog::deadline) has come.
    Tick,
}

/// How a source is silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Silence {
    /// The way to it stands, but nothing comes.
    Quiet,
    /// The way to it is lost: a stream ended, a file cannot be read.
    Lost,
}

/// What a source says.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointUpdate {
    /// All clusters whole: its others are no more. Each is validated on its own.
    FullSnapshot(Vec<Cluster>),
    /// Some clusters whole; nothing about its others.
    ClusterSnapshots(Vec<Cluster>),
    /// Changes to some clusters; all to one cluster count as one update. To a cluster that the source has not
    /// listed yet they are its first list.
    ClusterDeltas(Vec<ClusterDelta>),
    /// These clusters are no more, in so many words.
    ClustersRemoved(Vec<ClusterName>),
}

/// Changes to one cluster.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterDelta {
    /// The cluster.
    pub cluster: ClusterName,
    /// New limits, all of them; none if they stay.
    pub settings: Option<ClusterSettings>,
    /// Endpoints that are new or described anew.
    pub upserts: Vec<Endpoint>,
    /// Endpoints that have left. One that is not listed is passed over.
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
