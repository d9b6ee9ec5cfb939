//! Log notices of the session. The session creates them and its owner logs them.

use crate::names::ClusterName;
use crate::xds::resource::{InvalidResource, Kind};
use olivecart_decisions::Nanos;
use std::fmt;

/// An event for the log. Texts from the control plane are quoted.
#[derive(Clone, Debug, PartialEq)]
pub enum SessionNotice {
    /// A stream was opened.
    Connected,
    /// The stream ended or could not be opened.
    Lost {
        /// The reason that the transport gives.
        reason: String,
        /// The delay before the next connection attempt, in nanoseconds.
        retry_in: Nanos,
    },
    /// No clusters were received in time. The session continues to wait.
    NoClusters {
        /// The time waited, in nanoseconds.
        waited: Nanos,
    },
    /// The endpoints of a cluster were not received in time. The session continues to wait.
    NoEndpoints {
        /// The cluster.
        cluster: ClusterName,
        /// The name of the endpoint resource.
        service: String,
        /// The time waited, in nanoseconds.
        waited: Nanos,
    },
    /// The endpoints of a cluster were received after the timeout.
    Warmed {
        /// The cluster.
        cluster: ClusterName,
        /// The time waited, in nanoseconds.
        waited: Nanos,
    },
    /// Resources were rejected. The control plane is notified.
    Rejected {
        /// The resource type.
        kind: Kind,
        /// The version of the response.
        version: String,
        /// The rejected resources with the reasons; at least one.
        resources: Vec<InvalidResource>,
        /// Whether the valid resources of the response were applied.
        rest_is_applied: bool,
    },
    /// A response was ignored because its nonce was already received on the stream.
    StaleNonce {
        /// The resource type.
        kind: Kind,
        /// The nonce.
        nonce: String,
    },
    /// A response was ignored because its resource type is not subscribed to.
    UnknownType {
        /// The type URL.
        type_url: String,
    },
    /// The control plane reported an error for a resource.
    ResourceError {
        /// The resource type.
        kind: Kind,
        /// The resource name.
        name: String,
        /// The reason that the control plane gives.
        reason: String,
    },
    /// A field without effect is set. Reported once per field.
    IgnoredField {
        /// The resource type.
        kind: Kind,
        /// The first resource that sets the field.
        name: String,
        /// The field.
        field: &'static str,
    },
    /// A resource was not renewed within its time to live although other responses were received.
    Expired {
        /// The resource type.
        kind: Kind,
        /// The resource name.
        name: String,
    },
    /// The time to live of a resource passed while the control plane was silent. The resource is kept.
    ExpiryPostponed {
        /// The resource name.
        name: String,
    },
    /// The control plane lists no clusters. The known clusters are kept until they are removed explicitly.
    NoClustersListed {
        /// The number of clusters that are kept.
        kept: usize,
    },
}

impl SessionNotice {
    /// Returns whether the notice should be logged as a warning.
    pub fn is_warning(&self) -> bool {
        !matches!(
            self,
            SessionNotice::Connected | SessionNotice::Warmed { .. } | SessionNotice::IgnoredField { .. }
        )
    }
}

fn to_ms(nanos: Nanos) -> Nanos {
    nanos / 1_000_000
}

impl fmt::Display for SessionNotice {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            SessionNotice::Connected => f.write_str("stream opened"),
            SessionNotice::Lost { reason, retry_in } => {
                write!(f, "stream failed: {reason}; reconnecting in {} ms", to_ms(*retry_in))
            }
            SessionNotice::NoClusters { waited } => {
                write!(f, "no clusters received within {} ms; still waiting", to_ms(*waited))
            }
            SessionNotice::NoEndpoints { cluster, service, waited } => {
                let waited = to_ms(*waited);
                write!(f, "cluster {cluster}: no endpoints {service:?} received within {waited} ms; ")?;
                f.write_str("still waiting, previous endpoints remain in use")
            }
            SessionNotice::Warmed { cluster, waited } => {
                write!(f, "cluster {cluster}: endpoints received after {} ms", to_ms(*waited))
            }
            SessionNotice::UnknownType { type_url } => {
                write!(f, "response ignored: not subscribed to type {type_url:?}")
            }
            SessionNotice::NoClustersListed { kept } => {
                write!(f, "the control plane lists no clusters; known clusters kept: {kept}")
            }
            about_resources => about_resources.fmt_about_resources(f),
        }
    }
}

impl SessionNotice {
    /// Writes the notices about a resource or a resource type.
    fn fmt_about_resources(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            SessionNotice::Rejected { kind, version, resources, rest_is_applied } => {
                write!(f, "{kind} version {version:?} rejected: {}", RejectionReasons(resources))?;
                f.write_str(if *rest_is_applied {
                    ". The valid resources were applied"
                } else {
                    ". The previous version remains in use"
                })
            }
            SessionNotice::StaleNonce { kind, nonce } => {
                write!(f, "{kind} response ignored: nonce {nonce:?} was already received on this stream")
            }
            SessionNotice::ResourceError { kind, name, reason } => {
                write!(f, "{kind} resource {name:?}: the control plane reported an error: {reason:?}")
            }
            SessionNotice::IgnoredField { kind, name, field } => {
                write!(f, "{kind} resource {name:?}: field {field} is ignored; this is logged once")
            }
            SessionNotice::Expired { kind, name } => {
                write!(f, "{kind} resource {name:?} expired: not renewed within its time to live")
            }
            SessionNotice::ExpiryPostponed { name } => {
                write!(
                    f,
                    "resource {name:?} is kept after its time to live: no responses from the control plane"
                )
            }
            SessionNotice::Connected
            | SessionNotice::Lost { .. }
            | SessionNotice::NoClusters { .. }
            | SessionNotice::NoEndpoints { .. }
            | SessionNotice::Warmed { .. }
            | SessionNotice::UnknownType { .. }
            | SessionNotice::NoClustersListed { .. } => Ok(()),
        }
    }
}

/// The reasons why resources are rejected, limited in length for logs and for the control plane.
pub(super) struct RejectionReasons<'a>(pub &'a [InvalidResource]);

impl RejectionReasons<'_> {
    /// The maximum number of resources that are listed.
    const MAX_RESOURCES: usize = 16;
}

impl fmt::Display for RejectionReasons<'_> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (index, invalid) in self.0.iter().take(RejectionReasons::MAX_RESOURCES).enumerate() {
            write!(f, "{}{invalid}", if index == 0 { "" } else { " | " })?;
        }
        match self.0.len().saturating_sub(RejectionReasons::MAX_RESOURCES) {
            0 => Ok(()),
            omitted => write!(f, " | and {omitted} more resources"),
        }
    }
}
