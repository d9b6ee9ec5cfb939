//! The lab: a model of the fleet in virtual time that drives the real decisions, the same scenarios on
//! sockets, and experiments that compare.

pub mod control_plane;
pub mod demo;
pub mod engine;
pub mod experiment;
pub mod fault_injector;
pub mod fleet_log;
pub mod model;
pub mod policy;
pub mod report;
pub mod results;
pub mod run;
pub mod run_result;
pub mod scenario;
pub mod sidecars;
pub mod sockets;
