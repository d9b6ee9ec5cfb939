//! The lab of the project. It simulates a fleet in virtual time with the real decision module, runs the same
//! scenarios on real sockets, and compares policies in experiments.

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
