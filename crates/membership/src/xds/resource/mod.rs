//! Converts xDS resources into clusters and endpoints.
//!
//! [`FIELD_SUPPORT`] lists the fields that are honoured, refused and ignored. A resource is refused, with the
//! name of the field, if an unsupported field would change where requests are sent or over which transport.
//! Fields that only tune a load balancer are ignored and logged once.

mod address;
mod assignment;
mod cluster;
mod endpoint;
mod problem;
mod table;

pub use assignment::{Assignment, parse_assignment};
pub use cluster::{ClusterResource, Origin, parse_cluster};
pub use problem::{InvalidField, InvalidResource, Problem};
pub use table::{FIELD_SUPPORT, FieldRow, FieldSupport, markdown};

use envoy_types::pb::google::protobuf::Duration as ProtoDuration;
use std::fmt;
use std::time::Duration;

/// The resource types that the proxy subscribes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// `envoy.config.cluster.v3.Cluster` (CDS).
    Cluster,
    /// `envoy.config.endpoint.v3.ClusterLoadAssignment` (EDS).
    Assignment,
}

impl Kind {
    /// All resource types in subscription order: clusters before their endpoints.
    pub const ALL: [Kind; 2] = [Kind::Cluster, Kind::Assignment];

    /// Returns the type URL of this resource type.
    pub fn type_url(self) -> &'static str {
        match self {
            Kind::Cluster => "type.googleapis.com/envoy.config.cluster.v3.Cluster",
            Kind::Assignment => "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
        }
    }

    /// Returns the resource type with this type URL.
    pub fn from_type_url(type_url: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.type_url() == type_url)
    }
}

impl fmt::Display for Kind {
    /// Writes the abbreviation of the discovery service.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Kind::Cluster => "CDS",
            Kind::Assignment => "EDS",
        })
    }
}

/// Converts a protobuf duration. Returns `None` if it is negative or out of range.
pub(super) fn to_std_duration(time: &ProtoDuration) -> Option<Duration> {
    Some(Duration::new(u64::try_from(time.seconds).ok()?, u32::try_from(time.nanos).ok()?))
}
