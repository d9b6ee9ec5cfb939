//! Discovery of clusters and endpoints from an xDS control plane, and from files that contain xDS resources.
//!
//! [`resource`] converts xDS resources into clusters and endpoints. [`Session`] implements the protocol of
//! the aggregated stream (ADS) in both variants as a state machine without I/O. [`transport`] connects to the
//! control plane and does the I/O for the session. [`mod@file`] reads the same resources from JSON or YAML.

pub mod file;
pub mod resource;
pub mod session;
pub mod transport;

pub use session::Session;
