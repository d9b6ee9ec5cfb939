//! A stand-in for an xDS control plane: listens on loopback and serves the aggregated stream in both
//! variants.
//!
//! It serves a set of resources to any number of streams as the protocol requires. On demand it misbehaves:
//! it drops streams, repeats nonces, sends stale versions or invalid resources, floods streams, or restarts
//! with versions that begin again. Tests check the journal, which has one line per request and response.
//!
//! [`Session`] is the server side of one stream without I/O, so that it can be used in virtual time.

mod journal;
mod resources;
mod server;
mod session;

pub use journal::Journal;
pub use resources::{HealthStatus, Kind, Resources, eds_cluster, endpoints};
pub use server::ControlPlane;
pub use session::{Heard, Said, Session};
