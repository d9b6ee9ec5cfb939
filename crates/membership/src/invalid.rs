//! What is wrong with a value, in words that a person can act on. Knows ranges and keys, and nothing of sources.

use crate::limits;
use std::net::SocketAddr;

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
    #[error("weight {weight} must be a number from 0 to {}", limits::MAX_WEIGHT)]
    Weight {
        /// The weight.
        weight: f64,
    },
    /// The priority is out of range.
    #[error("priority {priority} must be from 0 to {}", limits::MAX_PRIORITY)]
    Priority {
        /// The priority.
        priority: u32,
    },
    /// More than metadata are for.
    #[error(
        "metadata of {pairs} pairs and {bytes} bytes; at most {} and {} are kept",
        limits::MAX_METADATA_PAIRS,
        limits::MAX_METADATA_BYTES
    )]
    Metadata {
        /// How many pairs.
        pairs: usize,
        /// How many bytes in all.
        bytes: usize,
    },
    /// A limit is out of range.
    #[error("{key} must {requirement}")]
    Setting {
        /// The key.
        key: &'static str,
        /// What it must do.
        requirement: &'static str,
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
    /// So many more were rejected in the same update.
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
    NothingQuarantined,
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
