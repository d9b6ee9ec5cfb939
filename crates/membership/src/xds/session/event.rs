//! The inputs and outputs of the session.

use super::message::{Request, Response};
use super::notice::SessionNotice;
use crate::event::Event;
use crate::names::ClusterName;

/// An input of the session.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A stream was opened. Later requests are sent on it.
    Connected,
    /// The stream has ended, or could not be opened.
    Lost {
        /// The reason, for the log.
        why: String,
    },
    /// The control plane sent a response.
    Response(Response),
    /// The catalog requests a cluster again.
    Refetch(ClusterName),
    /// [`Session::deadline`](super::Session::deadline) has passed.
    Tick,
}

/// An action for the transport to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Open a stream and pass [`Input::Connected`] or [`Input::Lost`] to the session.
    Connect,
    /// Send the request on the stream.
    Send(Box<Request>),
    /// Pass the event to the catalog.
    Notify(Event),
    /// Log the notice.
    Log(SessionNotice),
}
