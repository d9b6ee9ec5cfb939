//! The reasons why a value is invalid, with messages for operators.

use crate::limits;
use std::net::SocketAddr;

/// The reason why an endpoint, a cluster, a limit or an event is invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Invalid {
    /// The endpoint's id is invalid.
    #[error("the id {fault}")]
    EndpointName {
        /// The fault, as a phrase that follows the subject.
        fault: &'static str,
    },
    /// The cluster's name is invalid.
    #[error("the name {fault}")]
    ClusterName {
        /// The fault, as a phrase that follows the subject.
        fault: &'static str,
    },
    /// The id occurs several times in one list or update.
    #[error("the id occurs more than once; ids must be unique in a cluster")]
    DuplicateEndpoint,
    /// The cluster occurs several times in one update.
    #[error("the cluster occurs more than once in one update; put its endpoints into one list")]
    DuplicateCluster,
    /// The endpoint is ready but has no address.
    #[error("the endpoint is ready but has no address")]
    NoAddress,
    /// The address is unspecified or a multicast address, or the port is 0.
    #[error("address {address} must be a unicast address with a port other than 0")]
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
    /// The metadata are too large.
    #[error(
        "metadata has {pairs} pairs and {bytes} bytes; the limits are {} pairs and {} bytes",
        limits::MAX_METADATA_PAIRS,
        limits::MAX_METADATA_BYTES
    )]
    Metadata {
        /// The number of pairs.
        pairs: usize,
        /// The total size of keys and values, in bytes.
        bytes: usize,
    },
    /// A limit is out of range.
    #[error("{key} must {requirement}")]
    Setting {
        /// The key.
        key: &'static str,
        /// The requirement, as a phrase that follows "must".
        requirement: &'static str,
    },
    /// The cluster would have too many endpoints.
    #[error("the cluster would have more than {most} endpoints (max_endpoints)")]
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
    /// Further rejections of the same update that are not reported one by one.
    #[error("{count} more rejections in the same update")]
    MoreRejections {
        /// The number of further rejections.
        count: usize,
    },
    /// The source is not one that the catalog was created with.
    #[error("the source is not configured")]
    UnknownSource,
    /// The cluster has no quarantined change to confirm.
    #[error("no change is quarantined, so there is nothing to confirm")]
    NothingQuarantined,
}

impl Invalid {
    /// Returns the key of the invalid value as files spell it, or `None` if no single key is at fault.
    pub fn key(&self) -> Option<&'static str> {
        Some(match self {
            Invalid::EndpointName { .. } | Invalid::ClusterName { .. } => "name",
            Invalid::DuplicateEndpoint | Invalid::DuplicateCluster => "name",
            Invalid::NoAddress | Invalid::Address { .. } => "address",
            Invalid::Weight { .. } => "weight",
            Invalid::Priority { .. } => "priority",
            Invalid::Metadata { .. } => "metadata",
            Invalid::Setting { key, .. } => key,
            _ => return None,
        })
    }
}
