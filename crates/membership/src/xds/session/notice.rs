//! Notices of the session for the log: what happened, in words. The session makes them; whoever runs it logs them.

use crate::names::ClusterName;
use crate::xds::resource::{InvalidResource, Kind};
use olivecart_decisions::Nanos;
use std::fmt;

/// What happened, for the log. All texts of the control plane are quoted.
#[derive(Clone, Debug, PartialEq)]
pub enum SessionNotice {
    /// A stream was opened.
    Connected,
    /// The stream ended, or none could be opened.
    Lost {
        /// What the transport says.
        why: String,
        /// When the next one is tried, in nanoseconds from now.
        retry_in: Nanos,
    },
    /// No clusters have come on a first stream.
    NoClusters {
        /// For how long it was waited, in nanoseconds.
        waited: Nanos,
    },
    /// The endpoints of a cluster have not come. It is waited on.
    NoEndpoints {
        /// The cluster.
        cluster: ClusterName,
        /// The name under which they are asked for.
        service: String,
        /// For how long it was waited, in nanoseconds.
        waited: Nanos,
    },
    /// A cluster that had waited for its endpoints has them.
    Warmed {
        /// The cluster.
        cluster: ClusterName,
        /// For how long it had waited, in nanoseconds.
        waited: Nanos,
    },
    /// Resources were rejected, and the control plane is notified.
    Rejected {
        /// Of which kind.
        kind: Kind,
        /// The version of the response.
        version: String,
        /// Which, and why; at least one.
        resources: Vec<InvalidResource>,
        /// The rest of the response was taken in.
        rest_holds: bool,
    },
    /// A response with a nonce that had come before on the stream was passed over.
    StaleNonce {
        /// Of which kind.
        kind: Kind,
        /// The nonce.
        nonce: String,
    },
    /// A response of a kind that was not asked for was passed over.
    UnknownType {
        /// The type URL.
        type_url: String,
    },
    /// The control plane says that it cannot give a resource.
    NotGiven {
        /// Of which kind.
        kind: Kind,
        /// Its name.
        name: String,
        /// Why, as the control plane says.
        why: String,
    },
    /// A field is set that does nothing here. Said once for each field.
    Ignored {
        /// Of which kind.
        kind: Kind,
        /// The resource where it was seen first.
        name: String,
        /// The field.
        field: &'static str,
    },
    /// A resource was not renewed within its time to live, though others came.
    Expired {
        /// Of which kind.
        kind: Kind,
        /// Its name.
        name: String,
    },
    /// The time to live of resources is over, and the control plane says nothing at all: they stay.
    Quiet {
        /// The first of them.
        name: String,
    },
    /// The control plane lists no clusters at all. They are kept; only an explicit word removes them.
    NoneLeft {
        /// How many are kept.
        kept: usize,
    },
}

impl SessionNotice {
    /// Whether somebody should look.
    pub fn is_warning(&self) -> bool {
        !matches!(
            self,
            SessionNotice::Connected | SessionNotice::Warmed { .. } | SessionNotice::Ignored { .. }
        )
    }
}

fn ms(nanos: Nanos) -> Nanos {
    nanos / 1_000_000
}

impl fmt::Display for SessionNotice {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            SessionNotice::Connected => f.write_str("stream opened"),
            SessionNotice::Lost { why, retry_in } => {
                write!(f, "no stream: {why}; next attempt in {} ms", ms(*retry_in))
            }
            SessionNotice::NoClusters { waited } => {
                write!(f, "no clusters came within {} ms; still waiting", ms(*waited))
            }
            SessionNotice::NoEndpoints { cluster, service, waited } => {
                let waited = ms(*waited);
                write!(f, "cluster {cluster}: no endpoints {service:?} came within {waited} ms; ")?;
                f.write_str("still waiting, and what served before serves on")
            }
            SessionNotice::Warmed { cluster, waited } => {
                write!(f, "cluster {cluster}: its endpoints came after {} ms", ms(*waited))
            }
            SessionNotice::UnknownType { type_url } => {
                write!(f, "response passed over: {type_url:?} was not asked for")
            }
            SessionNotice::NoneLeft { kept } => {
                write!(f, "the control plane lists no clusters; {kept} are kept")
            }
            about_resources => about_resources.fmt_about_resources(f),
        }
    }
}

impl SessionNotice {
    /// The notices that name a resource or a kind of them.
    fn fmt_about_resources(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            SessionNotice::Rejected { kind, version, resources, rest_holds } => {
                write!(f, "{kind} version {version:?} refused: {}", RejectionReasons(resources))?;
                f.write_str(if *rest_holds { ". The rest of it holds" } else { ". What was before holds" })
            }
            SessionNotice::StaleNonce { kind, nonce } => {
                write!(f, "{kind} response passed over: nonce {nonce:?} has come before on this stream")
            }
            SessionNotice::NotGiven { kind, name, why } => {
                write!(f, "{kind} resource {name:?}: the control plane says: {why:?}")
            }
            SessionNotice::Ignored { kind, name, field } => {
                write!(f, "{kind} resource {name:?}: {field} does nothing here; not said again")
            }
            SessionNotice::Expired { kind, name } => {
                write!(f, "{kind} resource {name:?} was not renewed within its time to live")
            }
            SessionNotice::Quiet { name } => {
                write!(
                    f,
                    "the time to live of {name:?} is over, and the control plane says nothing; it is kept"
                )
            }
            SessionNotice::Connected
            | SessionNotice::Lost { .. }
            | SessionNotice::NoClusters { .. }
            | SessionNotice::NoEndpoints { .. }
            | SessionNotice::Warmed { .. }
            | SessionNotice::UnknownType { .. }
            | SessionNotice::NoneLeft { .. } => Ok(()),
        }
    }
}

/// Why resources are rejected, at a length that a log and a control plane can take.
pub(super) struct RejectionReasons<'a>(pub &'a [InvalidResource]);

impl RejectionReasons<'_> {
    /// Most resources that are named.
    const MOST: usize = 16;
}

impl fmt::Display for RejectionReasons<'_> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (at, invalid) in self.0.iter().take(RejectionReasons::MOST).enumerate() {
            write!(f, "{}{invalid}", if at == 0 { "" } else { " | " })?;
        }
        match self.0.len().saturating_sub(RejectionReasons::MOST) {
            0 => Ok(()),
            more => write!(f, " | and {more} more resources"),
        }
    }
}
