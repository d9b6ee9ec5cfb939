//! The types of a parsed endpoint list, which refer to endpoints, zones and kinds by name. They separate the
//! code that parses a list from the code that applies it.

use olivecart_decisions::{EndpointState, Nanos};
use std::borrow::Cow;
use std::net::SocketAddr;

/// A full endpoint list or a change of it. Its strings may be borrowed from the text it was parsed from.
pub struct ListUpdate<'a> {
    /// The version of the list after the update.
    pub version: u64,
    /// Whether this is the full list: endpoints that it does not contain are removed.
    pub full: bool,
    /// The endpoints, in the order of the text.
    pub endpoints: Vec<Endpoint<'a>>,
}

/// An endpoint as described by a list.
pub struct Endpoint<'a> {
    /// The name, the same for all proxies.
    pub name: Cow<'a, str>,
    /// The state of the endpoint.
    pub state: EndpointState,
    /// The name of the zone.
    pub zone: Cow<'a, str>,
    /// The name of the machine kind.
    pub kind: Cow<'a, str>,
    /// The cell.
    pub cell: u64,
    /// The size relative to other endpoints; 1 if unknown.
    pub size: f64,
    /// The time of its last start, in nanoseconds of Unix time; `None` if unknown or long ago.
    pub started: Option<Nanos>,
    /// The address; `None` if the list has no valid one.
    pub addr: Option<SocketAddr>,
}

impl ListUpdate<'_> {
    /// Returns an empty full list with version 0, which precedes all others.
    pub fn empty() -> ListUpdate<'static> {
        ListUpdate { version: 0, full: true, endpoints: Vec::new() }
    }
}
