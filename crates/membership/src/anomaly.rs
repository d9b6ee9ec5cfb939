//! The kinds of suspicious changes and their messages for operators. The catalog decides which changes are
//! suspicious.

use crate::names::EndpointName;
use std::fmt;
use std::net::SocketAddr;

/// A property of a change that is valid input but is likely a mistake of its source.
#[derive(Clone, Debug, PartialEq)]
pub enum Anomaly {
    /// The list has no endpoints, and the source does not mark the cluster as intentionally empty.
    NoEndpoints,
    /// No ready endpoint has a weight greater than 0.
    AllWeightsZero,
    /// Endpoints are removed, and no endpoint that accepts requests remains.
    NoServingEndpointsLeft {
        /// The first endpoint removed.
        first: EndpointName,
    },
    /// All ready endpoints are removed in one update, and others are added.
    AllEndpointsRemoved {
        /// The number of endpoints removed.
        count: usize,
        /// The first endpoint removed.
        first: EndpointName,
    },
    /// A large share of the ready endpoints is removed in one update.
    ManyEndpointsRemoved {
        /// The number of ready endpoints removed.
        count: usize,
        /// The number of ready endpoints before the update.
        total: usize,
        /// The first endpoint removed.
        first: EndpointName,
    },
    /// A ready endpoint has a new address although it has not restarted.
    Moved {
        /// The first such endpoint.
        endpoint: EndpointName,
        /// Its current address.
        from: SocketAddr,
        /// The address that the source reports.
        to: SocketAddr,
        /// The number of further endpoints that have moved.
        others: usize,
    },
    /// Two ready endpoints have the same address.
    DuplicateAddress {
        /// The first endpoint whose new address is already in use.
        endpoint: EndpointName,
        /// The other endpoint at the address.
        other: EndpointName,
        /// The address.
        address: SocketAddr,
        /// The number of further endpoints whose new address is already in use.
        others: usize,
    },
    /// A full snapshot does not contain this cluster, which has endpoints.
    ClusterMissing,
    /// A full snapshot contains no clusters.
    NoClusters,
}

impl Anomaly {
    /// Returns whether only an explicit statement of the source or an operator confirms the change. This
    /// applies to each change that leaves a cluster without an endpoint that accepts requests: repetition
    /// doesn't confirm it, since a broken source repeats its mistake.
    pub fn needs_explicit_confirmation(&self) -> bool {
        use Anomaly::{AllWeightsZero, NoClusters, NoEndpoints, NoServingEndpointsLeft};
        matches!(self, NoEndpoints | AllWeightsZero | NoServingEndpointsLeft { .. } | NoClusters)
    }
}

impl fmt::Display for Anomaly {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let more =
            |f: &mut fmt::Formatter, n: &usize| if *n > 0 { write!(f, " (and {n} more)") } else { Ok(()) };
        match self {
            Anomaly::NoEndpoints => f.write_str("the endpoint list is empty and not marked as intentional"),
            Anomaly::AllWeightsZero => {
                f.write_str("all weights are zero, so no endpoint would receive requests")
            }
            Anomaly::NoServingEndpointsLeft { first } => {
                write!(f, "removing {first} would leave no endpoint that accepts requests")
            }
            Anomaly::AllEndpointsRemoved { count, first } => {
                write!(f, "all {count} ready endpoints removed at once, starting with {first}")
            }
            Anomaly::ManyEndpointsRemoved { count, total, first } => {
                write!(f, "{count} of {total} ready endpoints removed at once, starting with {first}")
            }
            Anomaly::Moved { endpoint, from, to, others } => {
                write!(f, "endpoint {endpoint} moved from {from} to {to} without a restart")?;
                more(f, others)
            }
            Anomaly::DuplicateAddress { endpoint, other, address, others } => {
                write!(f, "endpoints {endpoint} and {other} have the same address {address}")?;
                more(f, others)
            }
            Anomaly::ClusterMissing => f.write_str("missing from the full list of clusters"),
            Anomaly::NoClusters => f.write_str("the full list of clusters is empty"),
        }
    }
}
