//! A scripted control plane on loopback that speaks xDS over the aggregated stream, both variants.
//!
//! It serves a set of resources as the protocol says, to any number of streams, and does on demand what it
//! should not: drop streams, repeat nonces, send stale versions, send what cannot be used, flood, restart
//! with versions that begin again. Each request and response becomes one line of a journal, for assertions.
//!
//! [`Session`] is one stream's side of the protocol without I/O, so that a conversation can be played with it
//! in virtual time.

mod journal;
mod resources;
mod server;
mod session;

pub use journal::Journal;
pub use resources::{HealthStatus, Kind, Resources, eds_cluster, endpoints};
pub use server::ControlPlane;
pub use session::{Heard, Said, Session};
