//! Clusters as files write them, in TOML or in JSON. One schema, version 1:
//!
//! ```toml
//! version = 1
//!
//! [[clusters]]
//! name = "cart"
//! connect_timeout = "250ms"    # these limits may be left out
//! max_connections = 100
//! max_pending_requests = 50
//! max_requests = 200
//! max_retries = 3
//!
//! [[clusters.endpoints]]
//! name = "cart-1"              # the id; must stay the same as long as the endpoint does
//! address = "10.0.0.1:8080"
//! zone = "a"                   # from here on all may be left out; these are examples, not defaults
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
//! empty = true                 # the explicit word: no endpoints, on purpose
//!
//! [end]
//! ```
//!
//! TOML files end with `[end]`: a TOML file that is torn off between two endpoints, or in the middle of a
//! number, is a shorter TOML file, and nothing else tells it from a whole one. JSON tells by its closing
//! brace.
//!
//! A file is good as a whole or not at all. So is a directory of fragments, in which each cluster stands in
//! exactly one file. Weighed against spreading a cluster over files: there a file that is missing looks like
//! endpoints that left, two files can contradict each other in the limits, and nobody owns the cluster.

mod fragments;
mod problem;
mod read;
mod tree;

pub use fragments::merge_fragments;
pub use problem::{Fault, FileProblem, FileProblems};

use crate::endpoint::Cluster;

/// The version of the form.
pub const VERSION: u32 = 1;

/// Reads a file. `name` is what problems call it; it is read as JSON if it ends in `.json`, as TOML if it
/// ends in `.toml`, and otherwise as JSON if its text begins with a brace.
///
/// # Errors
/// All that is wrong with it, at least one thing, in the order of the text.
pub fn parse(name: &str, text: &str) -> Result<Vec<Cluster>, FileProblems> {
    Ok(read::read(name, text)?.into_iter().map(|placed| placed.cluster).collect())
}
