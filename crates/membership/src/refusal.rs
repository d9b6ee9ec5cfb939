//! Why something is refused or held back, in words that a person can act on.

use crate::endpoint::{Endpoint, Metadata};
use crate::names::{ClusterName, EndpointName, SourceId};
use std::fmt;
use std::net::SocketAddr;

/// Something that a source said and that cannot be taken in. What served before serves on.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// Who said it.
    pub source: SourceId,
    /// The cluster, where it was about one.
    pub cluster: Option<ClusterName>,
    /// The endpoint, where it was about one.
    pub endpoint: Option<EndpointName>,
    /// What is wrong with it.
    pub reason: Invalid,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: ", self.source)?;
        if let Some(cluster) = &self.cluster {
            // Quoted, since the name itself may be what is wrong.
            write!(f, "cluster {:?}: ", cluster.as_str())?;
        }
        if let Some(endpoint) = &self.endpoint {
            write!(f, "endpoint {:?}: ", endpoint.as_str())?;
        }
        write!(f, "refused: {}", self.reason)
    }
}

impl std::error::Error for Refusal {}

/// What can mean nothing.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Invalid {
    /// The id cannot be used.
    #[error("its id {fault}")]
    EndpointName {
        /// What is wrong with it.
        fault: &'static str,
    },
    /// The cluster's name cannot be used.
    #[error("its name {fault}")]
    ClusterName {
        /// What is wrong with it.
        fault: &'static str,
    },
    /// The id comes twice in one list or update.
    #[error("its id comes twice; ids are unique in a cluster")]
    IdTwice,
    /// The cluster comes twice in one update.
    #[error("it comes twice in one update; put its endpoints into one list")]
    ClusterTwice,
    /// Ready, but nobody can reach it.
    #[error("it is ready and has no address")]
    NoAddress,
    /// No endpoint can be reached there.
    #[error("address {address}: no endpoint can be reached there")]
    Address {
        /// The address.
        address: SocketAddr,
    },
    /// The weight is out of range.
    #[error("weight {weight} must be a number from 0 to {}", Endpoint::MAX_WEIGHT)]
    Weight {
        /// The weight.
        weight: f64,
    },
    /// The priority is out of range.
    #[error("priority {priority} must be from 0 to {}", Endpoint::MAX_PRIORITY)]
    Priority {
        /// The priority.
        priority: u32,
    },
    /// More than metadata are for.
    #[error(
        "metadata of {pairs} pairs and {bytes} bytes; at most {} and {} are kept",
        Metadata::MAX_PAIRS,
        Metadata::MAX_BYTES
    )]
    Metadata {
        /// How many pairs.
        pairs: usize,
        /// How many bytes in all.
        bytes: usize,
    },
    /// A limit is out of range.
    #[error("{key} must {must}")]
    Setting {
        /// The key.
        key: &'static str,
        /// What it must do.
        must: &'static str,
    },
    /// The cluster would be too large.
    #[error("it would have more than {most} endpoints (max_endpoints)")]
    TooManyEndpoints {
        /// The limit.
        most: usize,
    },
    /// There would be too many clusters.
    #[error("there would be more than {most} clusters (max_clusters)")]
    TooManyClusters {
        /// The limit.
        most: usize,
    },
    /// So many more were refused in the same update.
    #[error("{count} more endpoints of the same update")]
    More {
        /// How many.
        count: usize,
    },
    /// The source is not one of those that the catalog was made for.
    #[error("no such source is set up")]
    UnknownSource,
    /// There is nothing to confirm.
    #[error("nothing of it is held, so there is nothing to confirm")]
    NothingHeld,
}

impl Invalid {
    /// The key of an endpoint or a cluster that is at fault, as files write it; none if it is no single one.
    pub fn key(&self) -> Option<&'static str> {
        Some(match self {
            Invalid::EndpointName { .. } | Invalid::ClusterName { .. } => "name",
            Invalid::IdTwice | Invalid::ClusterTwice => "name",
            Invalid::NoAddress | Invalid::Address { .. } => "address",
            Invalid::Weight { .. } => "weight",
            Invalid::Priority { .. } => "priority",
            Invalid::Metadata { .. } => "metadata",
            Invalid::Setting { key, .. } => key,
            _ => return None,
        })
    }
}

/// What may be true and looks like a mistake.
#[derive(Clone, Debug, PartialEq)]
pub enum Suspicion {
    /// No endpoint is listed, and the source does not say that this is meant.
    NoEndpoints,
    /// No ready endpoint has a weight over 0.
    AllWeightsZero,
    /// Endpoints leave, and none that takes requests is left.
    NothingLeft {
        /// The first that leaves.
        first: EndpointName,
    },
    /// All ready endpoints leave at once, and others come.
    AllGone {
        /// How many.
        count: usize,
        /// The first of them.
        first: EndpointName,
    },
    /// A large share of the ready endpoints leaves at once.
    ManyGone {
        /// How many leave.
        count: usize,
        /// How many there are.
        of: usize,
        /// The first that leaves.
        first: EndpointName,
    },
    /// A ready endpoint is at another address though it has not restarted.
    Moved {
        /// The first such endpoint.
        endpoint: EndpointName,
        /// Where it is.
        from: SocketAddr,
        /// Where it is said to be.
        to: SocketAddr,
        /// How many more have moved.
        others: usize,
    },
    /// Two ready endpoints are at one address.
    AddressTwice {
        /// The first endpoint that comes to an address that is taken.
        endpoint: EndpointName,
        /// Who else is there.
        other: EndpointName,
        /// The address.
        address: SocketAddr,
        /// How many more come to an address that is taken.
        others: usize,
    },
    /// A list of all clusters lacks this one, which has endpoints.
    ClusterMissing,
    /// A list of all clusters names none at all.
    NoClusters,
}

impl Suspicion {
    /// Whether repetition is no confirmation, but only the explicit word of the source: whatever leaves a
    /// cluster without an endpoint that takes requests. A source that is broken repeats itself too.
    pub fn needs_word(&self) -> bool {
        use Suspicion::{AllWeightsZero, NoClusters, NoEndpoints, NothingLeft};
        matches!(self, NoEndpoints | AllWeightsZero | NothingLeft { .. } | NoClusters)
    }
}

impl fmt::Display for Suspicion {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let more =
            |f: &mut fmt::Formatter, n: &usize| if *n > 0 { write!(f, " (and {n} more)") } else { Ok(()) };
        match self {
            Suspicion::NoEndpoints => {
                f.write_str("no endpoint is listed, and nothing says that this is meant")
            }
            Suspicion::AllWeightsZero => f.write_str("all weights are zero, so that nothing would be served"),
            Suspicion::NothingLeft { first } => {
                write!(f, "without {first} no endpoint that takes requests would be left")
            }
            Suspicion::AllGone { count, first } => {
                write!(f, "all {count} ready endpoints gone at once, {first} first")
            }
            Suspicion::ManyGone { count, of, first } => {
                write!(f, "{count} of {of} ready endpoints gone at once, {first} first")
            }
            Suspicion::Moved { endpoint, from, to, others } => {
                write!(f, "endpoint {endpoint} moved from {from} to {to} without a restart")?;
                more(f, others)
            }
            Suspicion::AddressTwice { endpoint, other, address, others } => {
                write!(f, "endpoints {endpoint} and {other} are both at {address}")?;
                more(f, others)
            }
            Suspicion::ClusterMissing => f.write_str("missing from the list of all clusters"),
            Suspicion::NoClusters => f.write_str("the list of all clusters names none at all"),
        }
    }
}
