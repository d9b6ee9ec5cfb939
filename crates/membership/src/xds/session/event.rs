//! What goes into the session and what comes out of it.

use super::message::{Request, Response};
use super::notice::SessionNotice;
use crate::event::Event;
use crate::names::ClusterName;

/// An input of the session.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A stream is open: what is sent from now on goes over it.
    Connected,
    /// The stream has ended, or could not be opened.
    Lost {
        /// Why, for the log.
        why: String,
    },
    /// The control plane has spoken.
    Response(Response),
    /// The catalog wants a cluster once more.
    Refetch(ClusterName),
    /// [`Session::deadline`](super::Session::deadline) has come.
    Tick,
}

/// What the session wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Open a stream, and say what came of it.
    Connect,
    /// Send this over the stream.
    Send(Box<Request>),
    /// Tell the catalog.
    Notify(Event),
    /// Write this into the log.
    Log(SessionNotice),
}
