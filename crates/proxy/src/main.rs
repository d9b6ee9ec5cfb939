//! The proxy: runs the decision module on sockets.
//!
//! A request passes through the [`stages`]. [`cluster_runtime`] passes events to the balancer and carries out
//! its actions. Only [`platform`] knows the names that the platform's protocol uses.

mod accept;
mod admin_overrides;
mod arrivals;
mod backends;
mod bodies;
mod call;
mod catalog;
mod cli;
mod clients;
mod clock;
mod closing;
mod cluster_config;
mod cluster_runtime;
mod clusters;
mod config;
mod config_tool;
mod connect;
mod console;
mod descriptors;
mod discovery;
mod framing;
mod hot_restart;
mod http_client;
mod interrupted;
mod invariant;
mod latency;
mod listen;
mod membership;
mod memory;
mod platform;
mod received_request;
mod recent_ids;
mod reload;
mod response_digest;
mod response_monitor;
mod serve;
mod serving_process;
mod shutdown;
mod shutdown_deadline;
mod sidecar;
mod stages;
mod start_times;
mod stats;
mod tools;
mod trace;
mod wire;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run()
}
