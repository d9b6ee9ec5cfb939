//! The outputs of the catalog, and their messages for operators.

use crate::anomaly::Anomaly;
use crate::endpoint::{ClusterSettings, Endpoint};
use crate::names::{ClusterName, EndpointName, SourceId, Version};
use crate::rejection::Rejection;
use olivecart_decisions::Nanos;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// An output of the catalog. The outputs applied in order to an empty map yield exactly the catalog's
/// clusters.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// A cluster was added; its endpoints follow in a [`Change`].
    Added(Added),
    /// A cluster was removed: its endpoints must not be sent new requests, and its history is discarded.
    Removed(Removed),
    /// The endpoints or limits of a cluster changed.
    Changed(Change),
    /// A cluster's source has been silent for [`Policy::aged_after`](crate::Policy::aged_after). The cluster
    /// stays in service.
    Stale(Stale),
    /// The source of a stale cluster is connected again.
    Recovered {
        /// The cluster.
        cluster: ClusterName,
        /// Its source.
        source: SourceId,
    },
    /// A suspicious change is quarantined. Repeated when the set of anomaly kinds changes.
    Quarantined(Quarantined),
    /// All quarantined changes of a source to a cluster have been applied.
    Released {
        /// The cluster.
        cluster: ClusterName,
        /// The source of the changes.
        source: SourceId,
        /// Why.
        cause: Cause,
    },
    /// The quarantined changes of a source to a cluster were dropped, since the source no longer reports
    /// them.
    QuarantineDropped {
        /// The cluster.
        cluster: ClusterName,
        /// The source of the changes.
        source: SourceId,
    },
    /// The quarantine period has ended: the source must fetch the cluster again, which may confirm the
    /// change.
    RefetchRequested {
        /// The cluster.
        cluster: ClusterName,
        /// The source that must fetch the cluster.
        source: SourceId,
    },
    /// An input was rejected.
    Rejected(Rejection),
}

/// A cluster that was added.
#[derive(Clone, Debug, PartialEq)]
pub struct Added {
    /// The cluster.
    pub cluster: ClusterName,
    /// Its source.
    pub source: SourceId,
    /// The limits that the source sets for it.
    pub settings: ClusterSettings,
}

/// A cluster that was removed.
#[derive(Clone, Debug, PartialEq)]
pub struct Removed {
    /// The cluster.
    pub cluster: ClusterName,
    /// The source that last provided it.
    pub source: SourceId,
    /// Why.
    pub cause: Cause,
}

/// The smallest change that brings a cluster up to date.
///
/// Removals must be applied first, since an address may move from one endpoint to another within one change.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The cluster.
    pub cluster: ClusterName,
    /// Its source.
    pub source: SourceId,
    /// The version of the source's update.
    pub version: Version,
    /// Why.
    pub cause: Cause,
    /// The new limits, which replace all previous ones; `None` if they are unchanged.
    pub settings: Option<ClusterSettings>,
    /// The endpoints that were removed, ordered by id.
    pub removed: Vec<EndpointName>,
    /// The endpoints that are new or have changed, ordered by id.
    pub upserted: Vec<Upserted>,
}

/// An endpoint that is new or has changed.
#[derive(Clone, Debug, PartialEq)]
pub struct Upserted {
    /// The new state of the endpoint.
    pub endpoint: Arc<Endpoint>,
    /// How it relates to the previous endpoint of the same id.
    pub arrival: Arrival,
}

/// How an endpoint relates to the previous endpoint of the same id. The id alone identifies an endpoint:
/// another id at the same address is [`Arrival::New`] and inherits no history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// The endpoint was not known, or was removed too long ago.
    New,
    /// The same process is back at the same address shortly after its removal: its history stays valid.
    Returned {
        /// The time since its removal, in nanoseconds.
        away: Nanos,
    },
    /// A new process has the same id, perhaps at another address: it inherits no history, and requests in
    /// flight belong to the previous process.
    Restarted,
    /// The same process has another address: its history stays valid, connections to the old address do not.
    Moved {
        /// The previous address.
        from: Option<SocketAddr>,
    },
    /// The same process at the same address has other properties.
    Changed,
}

/// Why something changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// A source's update.
    Update {
        /// The source of the update. It differs from the cluster's source if it reported an endpoint as not
        /// ready, or if it stopped providing the cluster.
        by: SourceId,
    },
    /// A quarantined change was confirmed.
    Confirmed(ConfirmationSource),
    /// A quarantined change is no longer suspicious, e.g. since an address is free again or an endpoint was
    /// added.
    Resolved,
}

/// How a quarantined change was confirmed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfirmationSource {
    /// Its source repeated it after the quarantine period.
    Repetition,
    /// It was confirmed by an explicit command.
    ExplicitCommand,
    /// Another source lists exactly the same endpoints with the same addresses.
    SecondSource(SourceId),
}

/// A cluster whose source has been silent for too long.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stale {
    /// The cluster.
    pub cluster: ClusterName,
    /// Its source.
    pub source: SourceId,
    /// When the source became silent.
    pub since: Nanos,
}

/// A quarantined change.
#[derive(Clone, Debug, PartialEq)]
pub struct Quarantined {
    /// The cluster.
    pub cluster: ClusterName,
    /// The source of the change.
    pub source: SourceId,
    /// The anomalies of the change, at least one.
    pub anomalies: Vec<Anomaly>,
    /// The end of the quarantine period: the source is then asked again, and repetition confirms the change.
    pub until: Nanos,
}

impl Quarantined {
    /// Returns whether only an explicit statement of the source or an operator confirms the change.
    pub fn needs_explicit_confirmation(&self) -> bool {
        self.anomalies.iter().any(Anomaly::needs_explicit_confirmation)
    }
}

impl fmt::Display for Quarantined {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: cluster {}: quarantined: ", self.source, self.cluster)?;
        for (i, anomaly) in self.anomalies.iter().enumerate() {
            write!(f, "{}{anomaly}", if i == 0 { "" } else { "; " })?;
        }
        f.write_str(if self.needs_explicit_confirmation() {
            ". It is applied only if the source marks the cluster as empty or removes it, or on confirmation"
        } else {
            ". It is applied if the source repeats it after the quarantine period, or on confirmation"
        })
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Cause::Update { by } => write!(f, "update from {by}"),
            Cause::Confirmed(ConfirmationSource::Repetition) => {
                f.write_str("repeated after the quarantine period")
            }
            Cause::Confirmed(ConfirmationSource::ExplicitCommand) => {
                f.write_str("confirmed by explicit command")
            }
            Cause::Confirmed(ConfirmationSource::SecondSource(other)) => {
                write!(f, "confirmed by the same list from {other}")
            }
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
