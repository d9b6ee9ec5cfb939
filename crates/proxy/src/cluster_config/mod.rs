//! The operators' file: where endpoints come from, what each cluster may use, and which request goes to which
//! cluster. Read and checked here and nowhere else, without I/O.
//!
//! ```toml
//! version = 1
//! default = "cart"                  # for what no rule matches; "registry", the platform's own, if left out
//!
//! [[sources]]
//! name = "fleet"                    # earlier sources take precedence over later ones
//! file = "endpoints.toml"           # or: directory = "endpoints.d"
//! poll = "2s"                       # how often to look where the file system tells nothing; 100ms to 1h
//!
//! [[clusters]]                      # over what the source says, and over the platform's settings
//! name = "cart"
//! connect_timeout = "250ms"
//! max_connections = 100
//! max_requests = 200
//! max_attempts = 2                  # can only restrict what the platform allows; so can probes
//! probes = true
//!
//! [[rules]]                         # all that a rule gives must fit; the most specific rule wins
//! cluster = "cart"
//! authority = "*.shop.internal"
//! path = "/api/cart"                # whole segments: not /api/cartoon
//! method = "GET"
//! class = "view"
//!
//! [catalog]                         # the figures of its caution, see the membership crate's `Policy`
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

/// The version of the form.
pub const VERSION: i64 = 1;

/// The cluster that the platform's registry gives.
pub const REGISTRY: &str = "registry";

/// What the operators' file says.
#[derive(Debug)]
pub struct ClusterConfig {
    /// In the order of precedence.
    pub sources: Vec<Source>,
    /// The catalog's figures.
    pub policy: Policy,
    /// What clusters may use.
    pub clusters: BTreeMap<ClusterName, Overrides>,
    /// Which request goes where.
    pub rules: Rules<ClusterName>,
    /// Where the rest goes.
    pub default: ClusterName,
}

/// A source of endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Source {
    /// Its name.
    pub id: SourceId,
    /// What it is.
    pub kind: SourceKind,
}

/// The kinds of sources.
#[derive(Clone, Debug, PartialEq)]
pub enum SourceKind {
    /// A watched file in the documented form.
    File(Watched),
    /// A watched directory of such files.
    Directory(Watched),
    /// A watched file of Envoy's resources, JSON or YAML.
    Envoy(Watched),
    /// A control plane that speaks xDS.
    Xds(Xds),
}

/// What is watched.
#[derive(Clone, Debug, PartialEq)]
pub struct Watched {
    /// The file or directory; one that is not absolute is beside the operators' file.
    pub path: PathBuf,
    /// How often to look whatever the file system tells.
    pub poll: Duration,
}

/// A control plane.
#[derive(Clone, Debug, PartialEq)]
pub struct Xds {
    /// `host:port`.
    pub address: String,
    /// The node's id, as the control plane knows it.
    pub node: String,
    /// The node's cluster: the service that this proxy stands beside.
    pub node_cluster: String,
    /// The clusters asked for; none: all.
    pub clusters: Vec<ClusterName>,
    /// How long to wait for the first answer before the source counts as silent.
    pub first_fetch: Duration,
    /// The longest wait before another connection is tried.
    pub backoff: Duration,
    /// Which variant of the protocol is spoken.
    pub variant: Variant,
    /// Where this proxy runs, as the control plane is told; may be empty.
    pub region: String,
    /// The same.
    pub zone: String,
}

/// What a cluster may use, whatever its source and the platform's settings say.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Overrides {
    /// Limits that a source may bring too; these count before the source's.
    pub limits: ClusterSettings,
    /// Most attempts of a request, if the platform allows as many.
    pub max_attempts: Option<u32>,
    /// Whether endpoints are probed, if the platform allows it.
    pub probes: Option<bool>,
}

impl Overrides {
    /// The limits in force where a source brings `given`.
    pub fn over(&self, given: &ClusterSettings) -> ClusterSettings {
        let own = &self.limits;
        ClusterSettings {
            connect_timeout: own.connect_timeout.or(given.connect_timeout),
            max_connections: own.max_connections.or(given.max_connections),
            max_pending_requests: own.max_pending_requests.or(given.max_pending_requests),
            max_requests: own.max_requests.or(given.max_requests),
            max_retries: own.max_retries.or(given.max_retries),
        }
    }
}

impl ClusterConfig {
    /// The clusters that requests can be put to, the default first, then by name. Clusters of a source that
    /// are not among these are known and not served.
    pub fn named(&self) -> Vec<ClusterName> {
        let mut named: Vec<_> = self.rules.targets().filter(|name| **name != self.default).cloned().collect();
        named.sort();
        named.dedup();
        named.insert(0, self.default.clone());
        named
    }
}

impl fmt::Display for ClusterConfig {
    /// Lines of what `check` tells, without a line break at the end.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for Source { id, kind } in &self.sources {
            writeln!(f, "source     {id}: {kind}")?;
        }
        let named = self.named();
        let names: Vec<&str> = named.iter().map(ClusterName::as_str).collect();
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
