//! Rejected inputs of a source. The catalog emits them, and the proxy logs them.

use crate::invalid::Invalid;
use crate::names::{ClusterName, EndpointName, SourceId};
use std::fmt;

/// An invalid input of a source. The last valid state stays in service.
#[derive(Clone, Debug, PartialEq)]
pub struct Rejection {
    /// The source of the input.
    pub source: SourceId,
    /// The cluster, if the input concerns one.
    pub cluster: Option<ClusterName>,
    /// The endpoint, if the input concerns one.
    pub endpoint: Option<EndpointName>,
    /// Why the input is invalid.
    pub reason: Invalid,
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: ", self.source)?;
        if let Some(cluster) = &self.cluster {
            // Quoted, since the name itself may be the invalid value.
            write!(f, "cluster {:?}: ", cluster.as_str())?;
        }
        if let Some(endpoint) = &self.endpoint {
            write!(f, "endpoint {:?}: ", endpoint.as_str())?;
        }
        write!(f, "rejected: {}", self.reason)
    }
}

impl std::error::Error for Rejection {}
