//! What a list of endpoints is, in the list's own words: names, not the module's numbers. Whoever reads a
//! list, and whoever acts on one, knows this and not each other.

use olivecart_decisions::{EndpointState, Nanos};
use std::borrow::Cow;
use std::net::SocketAddr;

/// A list or a change of it. Its words may be borrowed from the text it was read from.
pub struct News<'a> {
    /// The version it brings the list to.
    pub version: u64,
    /// The whole list: what it does not name is gone.
    pub full: bool,
    /// The endpoints, in the order of the list.
    pub endpoints: Vec<Endpoint<'a>>,
}

/// One endpoint as a list describes it.
pub struct Endpoint<'a> {
    /// Its name, the same for everybody.
    pub name: Cow<'a, str>,
    /// Whether it takes requests.
    pub state: EndpointState,
    /// The zone's name.
    pub zone: Cow<'a, str>,
    /// The machine kind's name.
    pub kind: Cow<'a, str>,
    /// Its cell.
    pub cell: u64,
    /// Its size relative to others; 1 where nothing is known.
    pub size: f64,
    /// When it last started, in nanoseconds of Unix time; none if long ago.
    pub started: Option<Nanos>,
    /// Where it is reached; none if it cannot be.
    pub addr: Option<SocketAddr>,
}

impl News<'_> {
    /// A whole list that names nobody, ahead of any version.
    pub fn nothing() -> News<'static> {
        News { version: 0, full: true, endpoints: Vec::new() }
    }
}
