//! The operators' format: what a fleet has in common, what is an application's own, and what one proxy reads.
//!
//! [`load`] reads files and finds what is wrong with their form; [`resolve`] puts the layers together (built-in,
//! fleet, tier, application, environment), and every value knows where it came from; [`check`] finds what would
//! do harm, within one proxy and between them; [`mod@write`] writes what each proxy reads. All findings have a code
//! ([`report::CODES`]), a place, a reason and a way out. No I/O but reading files and writing these.

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
