//! The stages of a request, each a unit of its own: taken in ([`intake`]), put to a cluster ([`choose`]),
//! admitted there ([`admit`]), put where the decisions say ([`route`]), sent ([`send`]), answered ([`relay`]) and accounted for ([`book`]).
//! What they share, and may ask of the decisions, is a [`context`].
//!
//! `intake` knows the front it serves; the others know no front but only what is in [`call`](crate::call), so
//! that a second front can go through the same decisions and rules.

pub mod admit;
pub mod book;
pub mod choose;
pub mod context;
mod gate;
pub mod intake;
pub mod relay;
pub mod route;
pub mod send;
