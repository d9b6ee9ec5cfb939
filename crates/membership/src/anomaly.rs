//! What is suspicious about a change, in words that a person can act on. Whether it is, the catalog decides.

use crate::names::EndpointName;
use std::fmt;
use std::net::SocketAddr;

/// What may be true and looks like a mistake.
#[derive(Clone, Debug, PartialEq)]
pub enum Anomaly {
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

impl Anomaly {
    /// Whether repetition is no confirmation, but only the explicit word of the source: whatever leaves a
    /// cluster without an endpoint that takes requests. A source that is broken repeats itself too.
    pub fn needs_explicit_confirmation(&self) -> bool {
        use Anomaly::{AllWeightsZero, NoClusters, NoEndpoints, NothingLeft};
        matches!(self, NoEndpoints | AllWeightsZero | NothingLeft { .. } | NoClusters)
    }
}

impl fmt::Display for Anomaly {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let more =
            |f: &mut fmt::Formatter, n: &usize| if *n > 0 { write!(f, " (and {n} more)") } else { Ok(()) };
        match self {
            Anomaly::NoEndpoints => f.write_str("no endpoint is listed, and nothing says that this is meant"),
            Anomaly::AllWeightsZero => f.write_str("all weights are zero, so that nothing would be served"),
            Anomaly::NothingLeft { first } => {
                write!(f, "without {first} no endpoint that takes requests would be left")
            }
            Anomaly::AllGone { count, first } => {
                write!(f, "all {count} ready endpoints gone at once, {first} first")
            }
            Anomaly::ManyGone { count, of, first } => {
                write!(f, "{count} of {of} ready endpoints gone at once, {first} first")
            }
            Anomaly::Moved { endpoint, from, to, others } => {
                write!(f, "endpoint {endpoint} moved from {from} to {to} without a restart")?;
                more(f, others)
            }
            Anomaly::AddressTwice { endpoint, other, address, others } => {
                write!(f, "endpoints {endpoint} and {other} are both at {address}")?;
                more(f, others)
            }
            Anomaly::ClusterMissing => f.write_str("missing from the list of all clusters"),
            Anomaly::NoClusters => f.write_str("the list of all clusters names none at all"),
        }
    }
}
