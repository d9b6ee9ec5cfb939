//! What the catalog puts out.

use crate::anomaly::Anomaly;
use crate::endpoint::{ClusterSettings, Endpoint};
use crate::names::{ClusterName, EndpointName, SourceId, Version};
use crate::rejection::Rejection;
use olivecart_decisions::Nanos;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// What the catalog puts out. Applied in order to an empty map, the outputs give exactly what the catalog
/// has.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// A cluster is there; its endpoints follow.
    Added(Added),
    /// A cluster is no more: nothing new goes to its endpoints, and its history is forgotten.
    Removed(Removed),
    /// The smallest change of a cluster.
    Changed(Change),
    /// A cluster's source has been silent for [`Policy::aged_after`](crate::Policy::aged_after). It serves
    /// on.
    Stale(Stale),
    /// The source of an aged cluster is in touch again.
    Recovered {
        /// The cluster.
        cluster: ClusterName,
        /// Its source.
        source: SourceId,
    },
    /// A suspicious change is quarantined. Put out again when other kinds of anomalies join or go.
    Quarantined(Quarantined),
    /// All that was held of a source's cluster has passed.
    Released {
        /// The cluster.
        cluster: ClusterName,
        /// Whose change it was.
        source: SourceId,
        /// Why.
        cause: Cause,
    },
    /// What was held of a source's cluster is no longer what the source says, and was dropped.
    QuarantineDropped {
        /// The cluster.
        cluster: ClusterName,
        /// Whose change it was.
        source: SourceId,
    },
    /// A quarantine has run out: the source is to ask its origin for the cluster again, so that it can confirm.
    RefetchRequested {
        /// The cluster.
        cluster: ClusterName,
        /// Who shall ask.
        source: SourceId,
    },
    /// Something was rejected.
    Rejected(Rejection),
}

/// A cluster is there.
#[derive(Clone, Debug, PartialEq)]
pub struct Added {
    /// The cluster.
    pub cluster: ClusterName,
    /// Its source.
    pub source: SourceId,
    /// Limits that come with it.
    pub settings: ClusterSettings,
}

/// A cluster is no more.
#[derive(Clone, Debug, PartialEq)]
pub struct Removed {
    /// The cluster.
    pub cluster: ClusterName,
    /// Its last source.
    pub source: SourceId,
    /// Why.
    pub cause: Cause,
}

/// The smallest change of a cluster.
///
/// Danger: whoever applies it must take the removals first, since an address may pass from one endpoint to
/// another in one change.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The cluster.
    pub cluster: ClusterName,
    /// Its source.
    pub source: SourceId,
    /// The version of that source.
    pub version: Version,
    /// Why.
    pub cause: Cause,
    /// New limits, all of them; none if they stay.
    pub settings: Option<ClusterSettings>,
    /// Endpoints that have left, by id.
    pub removed: Vec<EndpointName>,
    /// Endpoints that are new or have changed, by id.
    pub upserted: Vec<Upserted>,
}

/// An endpoint that is new or has changed.
#[derive(Clone, Debug, PartialEq)]
pub struct Upserted {
    /// As it is now.
    pub endpoint: Arc<Endpoint>,
    /// What it is to what was there before.
    pub arrival: Arrival,
}

/// What an endpoint is to what was there before. Identity goes by id: another id at the same address is
/// [`Arrival::New`] and inherits nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// Not known, or gone for too long.
    New,
    /// It left a moment ago and is back, the same process at the same address: its history holds.
    Returned {
        /// How long it was away, in nanoseconds.
        away: Nanos,
    },
    /// The same id in a new process, perhaps elsewhere: only requests that are still out are its
    /// predecessor's.
    Restarted,
    /// The same process at another address: its history holds, connections to the old address do not.
    Moved {
        /// Where it was.
        from: Option<SocketAddr>,
    },
    /// The same process at the same address, described anew.
    Changed,
}

/// Why something changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// A source said so.
    Update {
        /// Who; another than the cluster's source where it urged caution, or where it left the cluster.
        by: SourceId,
    },
    /// What was held has been confirmed.
    Confirmed(ConfirmationSource),
    /// What was quarantined is no longer suspicious: an address is free again, another endpoint has come.
    Resolved,
}

/// What has confirmed a held change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfirmationSource {
    /// The same again from its source after the hold.
    Repetition,
    /// The explicit word.
    ExplicitCommand,
    /// Another source lists exactly the same endpoints at the same addresses.
    SecondSource(SourceId),
}

/// A cluster whose source is silent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stale {
    /// The cluster.
    pub cluster: ClusterName,
    /// Its source.
    pub source: SourceId,
    /// Since when the source is silent.
    pub since: Nanos,
}

/// A suspicious change that is quarantined.
#[derive(Clone, Debug, PartialEq)]
pub struct Quarantined {
    /// The cluster.
    pub cluster: ClusterName,
    /// Who said it.
    pub source: SourceId,
    /// What is suspicious, at least one thing.
    pub anomalies: Vec<Anomaly>,
    /// No repetition confirms it before; then the source is asked again.
    pub until: Nanos,
}

impl Quarantined {
    /// Whether only the explicit word confirms it.
    pub fn needs_explicit_confirmation(&self) -> bool {
        self.anomalies.iter().any(Anomaly::needs_explicit_confirmation)
    }
}

impl fmt::Display for Quarantined {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: cluster {}: held: ", self.source, self.cluster)?;
        for (i, anomaly) in self.anomalies.iter().enumerate() {
            write!(f, "{}{anomaly}", if i == 0 { "" } else { "; " })?;
        }
        f.write_str(if self.needs_explicit_confirmation() {
            ". Only an explicit word lets it through: empty on purpose, removed, or a confirmation"
        } else {
            ". The same again after the hold, or an explicit word, lets it through"
        })
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Cause::Update { by } => write!(f, "{by} said so"),
            Cause::Confirmed(ConfirmationSource::Repetition) => f.write_str("said again after the hold"),
            Cause::Confirmed(ConfirmationSource::ExplicitCommand) => {
                f.write_str("confirmed by explicit word")
            }
            Cause::Confirmed(ConfirmationSource::SecondSource(other)) => write!(f, "{other} lists the same"),
            Cause::Resolved => f.write_str("no longer suspicious"),
        }
    }
}

impl fmt::Display for Arrival {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Arrival::New => f.write_str("new"),
            Arrival::Returned { away } => write!(f, "returned after {} ms", away / 1_000_000),
            Arrival::Restarted => f.write_str("restarted"),
            Arrival::Moved { from: Some(from) } => write!(f, "moved from {from}"),
            Arrival::Moved { from: None } => f.write_str("moved"),
            Arrival::Changed => f.write_str("changed"),
        }
    }
}
