//! The lab: a model of the fleet in virtual time that drives the real decisions, the same scenarios on
//! sockets, and experiments that compare.

pub mod engine;
pub mod model;
pub mod policy;
pub mod run;
pub mod scenario;
pub mod sockets;
