//! Why something that a source said is rejected. The catalog puts it out; the proxy logs it.

use crate::invalid::Invalid;
use crate::names::{ClusterName, EndpointName, SourceId};
use std::fmt;

/// Something that a source said and that cannot be taken in. What served before serves on.
#[derive(Clone, Debug, PartialEq)]
pub struct Rejection {
    /// Who said it.
    pub source: SourceId,
    /// The cluster, where it was about one.
    pub cluster: Option<ClusterName>,
    /// The endpoint, where it was about one.
    pub endpoint: Option<EndpointName>,
    /// What is wrong with it.
    pub reason: Invalid,
}

impl fmt::Display for Rejection {
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

impl std::error::Error for Rejection {}
