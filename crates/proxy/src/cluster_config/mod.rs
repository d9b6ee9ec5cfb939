//! The operators' file: the sources of endpoints, the overrides of clusters and the routing rules. This
//! module parses and validates the text of the file, without I/O.
//!
//! ```toml
//! version = 1
//! default = "cart"                  # cluster if no rule matches; "registry", the platform's own, if omitted
//!
//! [[sources]]
//! name = "fleet"                    # earlier sources take precedence over later ones
//! file = "endpoints.toml"           # or: directory = "endpoints.d"
//! poll = "2s"                       # interval for file systems without change events; 100ms to 1h
//!
//! [[clusters]]                      # override the source and the platform's settings
//! name = "cart"
//! connect_timeout = "250ms"
//! max_connections = 100
//! max_requests = 200
//! max_attempts = 2                  # can only restrict the platform's setting, as can probes
//! probes = true
//!
//! [[rules]]                         # all criteria of a rule must match; the most specific rule wins
//! cluster = "cart"
//! authority = "*.shop.internal"
//! path = "/api/cart"                # matches whole segments: not /api/cartoon
//! method = "GET"
//! class = "view"
//!
//! [catalog]                         # quarantine and size limits, see the membership crate's `Policy`
//! hold = "30s"
//! ```

mod problem;
mod read;
mod rules;
#[cfg(test)]
mod tests;

pub use problem::Problems;
pub use read::parse;
pub use rules::{Criteria, Rules};

use olivecart_membership::xds::session::Variant;
use olivecart_membership::{ClusterName, ClusterSettings, Policy, SourceId};
use std::collections::BTreeMap;
use std::fmt;
use std::path::PathBuf;
use std::time::Duration;

/// The supported version of the file format.
pub const VERSION: i64 = 1;

/// The name of the platform's own cluster, whose endpoints come from its registry.
pub const REGISTRY: &str = "registry";

/// The parsed operators' file.
#[derive(Debug)]
pub struct ClusterConfig {
    /// The sources, in order of precedence.
    pub sources: Vec<Source>,
    /// The limits and times of the catalog.
    pub policy: Policy,
    /// The overrides of the clusters that have any.
    pub clusters: BTreeMap<ClusterName, Overrides>,
    /// The routing rules.
    pub rules: Rules<ClusterName>,
    /// The cluster for requests that no rule matches.
    pub default: ClusterName,
}

/// A source of endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Source {
    /// The name of the source.
    pub id: SourceId,
    /// The kind of the source, with its settings.
    pub kind: SourceKind,
}

/// The kinds of sources.
#[derive(Clone, Debug, PartialEq)]
pub enum SourceKind {
    /// A watched file in the documented format.
    File(Watched),
    /// A watched directory of such files.
    Directory(Watched),
    /// A watched file of Envoy resources, in JSON or YAML.
    Envoy(Watched),
    /// An xDS control plane.
    Xds(Xds),
}

/// A watched file or directory.
#[derive(Clone, Debug, PartialEq)]
pub struct Watched {
    /// The path; a relative one is resolved against the directory of the operators' file.
    pub path: PathBuf,
    /// The polling interval, in addition to the events of the file system.
    pub poll: Duration,
}

/// An xDS control plane.
#[derive(Clone, Debug, PartialEq)]
pub struct Xds {
    /// The address, as `host:port`.
    pub address: String,
    /// The node id of this proxy.
    pub node: String,
    /// The node cluster: the service that this proxy runs beside.
    pub node_cluster: String,
    /// The clusters to subscribe to; all if empty.
    pub clusters: Vec<ClusterName>,
    /// The source counts as silent if it has sent no response within this time.
    pub first_fetch: Duration,
    /// The longest delay between connection attempts.
    pub backoff: Duration,
    /// The variant of the protocol.
    pub variant: Variant,
    /// The region in the node's locality; may be empty.
    pub region: String,
    /// The zone in the node's locality; may be empty.
    pub zone: String,
}

/// The operators' settings of a cluster, which take precedence over its source and the platform's settings.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Overrides {
    /// Limits that take precedence over those of the source.
    pub limits: ClusterSettings,
    /// The limit of attempts per request; effective if lower than the platform's.
    pub max_attempts: Option<u32>,
    /// Whether health checks are sent, if the platform allows them.
    pub probes: Option<bool>,
}

impl Overrides {
    /// Returns the effective limits over those of the source.
    pub fn over(&self, from_source: &ClusterSettings) -> ClusterSettings {
        let overrides = &self.limits;
        ClusterSettings {
            connect_timeout: overrides.connect_timeout.or(from_source.connect_timeout),
            max_connections: overrides.max_connections.or(from_source.max_connections),
            max_pending_requests: overrides.max_pending_requests.or(from_source.max_pending_requests),
            max_requests: overrides.max_requests.or(from_source.max_requests),
            max_retries: overrides.max_retries.or(from_source.max_retries),
        }
    }
}

impl ClusterConfig {
    /// Returns the clusters that requests can be routed to: the default first, then the others by name. No
    /// requests go to any other cluster of a source.
    pub fn routed_clusters(&self) -> Vec<ClusterName> {
        let mut routed: Vec<_> =
            self.rules.targets().filter(|name| **name != self.default).cloned().collect();
        routed.sort();
        routed.dedup();
        routed.insert(0, self.default.clone());
        routed
    }
}

impl fmt::Display for ClusterConfig {
    /// Writes the summary that `check` prints, without a line break at the end.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for Source { id, kind } in &self.sources {
            writeln!(f, "source     {id}: {kind}")?;
        }
        let routed = self.routed_clusters();
        let names: Vec<&str> = routed.iter().map(ClusterName::as_str).collect();
        write!(f, "clusters   {}, rules {}, default {}", names.join(" "), self.rules.len(), self.default)
    }
}

impl fmt::Display for SourceKind {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            SourceKind::File(Watched { path, .. }) => write!(f, "file {}", path.display()),
            SourceKind::Directory(Watched { path, .. }) => write!(f, "directory {}", path.display()),
            SourceKind::Envoy(Watched { path, .. }) => write!(f, "Envoy's resources in {}", path.display()),
            SourceKind::Xds(Xds { address, node, .. }) => write!(f, "xDS from {address} as {node}"),
        }
    }
}
