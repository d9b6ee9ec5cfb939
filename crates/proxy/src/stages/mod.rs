//! The stages of a request, in order: it is parsed ([`parse`]), assigned to a cluster ([`cluster_selection`]), admitted
//! there ([`admission`]), routed to an endpoint ([`routing`]), sent to it in an attempt ([`attempt`]) and given its
//! response ([`response`]). Open requests and their attempts are in the [`request_table`]; what the stages share is a
//! [`context`]. No stage decides where a request goes or whether it is retried: the balancer does.
//!
//! `parse` knows the front it serves; the others know no front but only what is in [`call`](crate::call), so
//! that a second front can go through the same decisions and rules.

pub mod admission;
pub mod attempt;
pub mod cluster_selection;
pub mod context;
mod gate;
pub mod parse;
pub mod request_table;
pub mod response;
pub mod routing;
