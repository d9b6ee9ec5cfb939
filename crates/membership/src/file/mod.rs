//! Reads clusters from files in TOML or JSON. The schema is the same for both, version 1:
//!
//! ```toml
//! version = 1
//!
//! [[clusters]]
//! name = "cart"
//! connect_timeout = "250ms"    # this and the following limits are optional
//! max_connections = 100
//! max_pending_requests = 50
//! max_requests = 200
//! max_retries = 3
//!
//! [[clusters.endpoints]]
//! name = "cart-1"              # the id; must not change during the lifetime of the endpoint
//! address = "10.0.0.1:8080"
//! zone = "a"                   # this and the following keys are optional, with example values
//! priority = 0                 # default 0
//! weight = 1.5                 # default 1
//! cell = 3                     # default 0
//! kind = "m2"
//! state = "draining"           # ready (default), draining, unhealthy
//! started_ms = 1700000000000   # Unix time
//! metadata = { rack = "7" }
//!
//! [[clusters]]
//! name = "old"
//! empty = true                 # states explicitly that the cluster has no endpoints
//!
//! [end]
//! ```
//!
//! TOML files end with `[end]`: a TOML file that is truncated between two endpoints, or in the middle of a
//! number, is still valid TOML, so that nothing else distinguishes it from a complete one. In JSON the
//! closing brace does.
//!
//! A file is accepted as a whole or not at all. The same applies to a directory of fragments, in which each
//! cluster is defined in exactly one file. If a cluster could be spread over several files, a missing file
//! would look like the removal of its endpoints, two files could contradict each other in the limits, and no
//! file would own the cluster.

mod fragments;
mod problem;
mod read;
mod tree;

pub use fragments::merge_fragments;
pub use problem::{Fault, FileProblem, FileProblems};

use crate::endpoint::Cluster;

/// The version of the file format.
pub const VERSION: u32 = 1;

/// Reads clusters from the text of a file. `name` is the file name used in problems. The text is read as JSON
/// if the name ends in `.json`, as TOML if it ends in `.toml`, and otherwise as JSON if the text begins with
/// a brace.
///
/// # Errors
/// Returns all problems, at least one, in the order of the text.
pub fn parse(name: &str, text: &str) -> Result<Vec<Cluster>, FileProblems> {
    Ok(read::read(name, text)?.into_iter().map(|placed| placed.cluster).collect())
}
