//! The stages of a request, in order: it is parsed ([`parse`]), assigned to a cluster
//! ([`cluster_selection`]), admitted there ([`admission`]), routed to an endpoint ([`routing`]), sent to it
//! in an attempt ([`attempt`]) and given its response ([`response`]). Open requests and their attempts are in
//! the [`request_table`]; what the stages share is in a [`context`]. No stage decides where a request goes or
//! whether it is retried: the balancer does.
//!
//! [`write_check`] runs just before an attempt is written. Only `parse` knows the listener's protocol; the
//! other stages use the types of [`call`](crate::call), so that a listener of another kind can share them.

pub mod admission;
pub mod attempt;
mod checked_payload;
pub mod cluster_selection;
pub mod context;
mod endpoint_response;
pub mod parse;
pub mod request_table;
pub mod response;
mod response_start;
pub mod routing;
mod write_check;
