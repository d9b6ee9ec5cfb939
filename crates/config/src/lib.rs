//! The operators' configuration format: fleet files, application files and the generated proxy files.
//!
//! [`load`] reads files and reports malformed ones. [`resolve`] merges the layers (built-in, fleet, tier,
//! application, environment) and records the origin of every value. [`check`] finds harmful configurations,
//! within one proxy and between proxies. [`mod@write`] generates the file of each proxy. Every finding has a
//! code ([`report::CODES`]), a location, a reason and a suggested fix. The only I/O is reading and writing
//! configuration files.

pub mod atomic_file;
pub mod check;
pub mod diff;
pub mod document;
pub mod explain;
pub mod graph;
pub mod load;
pub mod origin;
pub mod plan;
pub mod report;
pub mod resolve;
pub mod schema;
pub mod types;
pub mod write;
