//! Clusters and endpoints from a control plane over xDS, and from files in the form of its resources.
//!
//! [`resource`] turns resources into clusters and endpoints. [`Session`] is the exchange with the control plane, both
//! variants of the aggregated stream, as a state machine without I/O. [`transport`] is the task that connects, and
//! decides nothing. [`file`] reads the same resources from JSON or YAML.

pub mod file;
pub mod resource;
pub mod session;
pub mod transport;

pub use session::Session;
