//! Resources of xDS to clusters and endpoints.
//!
//! What of them is honoured, refused and ignored is in [`TABLE`]. What would change where requests go, or how
//! they travel, and is not understood here, is refused by name of resource and field; what only tunes a
//! balancer is ignored and said once.

mod address;
mod assignment;
mod cluster;
mod endpoint;
mod problem;
mod table;

pub use assignment::{Assignment, assignment};
pub use cluster::{ClusterResource, Origin, cluster};
pub use problem::{BadField, BadResource, Problem};
pub use table::{FieldSupport, Row, TABLE, markdown};

use envoy_types::pb::google::protobuf::Duration as ProtoDuration;
use std::fmt;
use std::time::Duration;

/// The kinds of resources that are asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// `envoy.config.cluster.v3.Cluster` (CDS).
    Cluster,
    /// `envoy.config.endpoint.v3.ClusterLoadAssignment` (EDS).
    Assignment,
}

impl Kind {
    /// All kinds, in the order in which they are asked for: clusters before their endpoints.
    pub const ALL: [Kind; 2] = [Kind::Cluster, Kind::Assignment];

    /// The type URL.
    pub fn type_url(self) -> &'static str {
        match self {
            Kind::Cluster => "type.googleapis.com/envoy.config.cluster.v3.Cluster",
            Kind::Assignment => "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
        }
    }

    /// The kind of a type URL.
    pub fn of(type_url: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.type_url() == type_url)
    }
}

impl fmt::Display for Kind {
    /// The short name of its discovery service.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Kind::Cluster => "CDS",
            Kind::Assignment => "EDS",
        })
    }
}

/// A length of time; none if it is negative.
pub(super) fn duration(time: &ProtoDuration) -> Option<Duration> {
    Some(Duration::new(u64::try_from(time.seconds).ok()?, u32::try_from(time.nanos).ok()?))
}
