//! The messages between the two processes of a hot restart, one JSON object per line.
//!
//! [`super`] sends and reads them. Other builds read their serialized names, which therefore must not change.

use super::state_machine::ManualChange;
use crate::clock::ClockReading;
use crate::recent_ids::IdEvent;
use crate::start_times::StartTime;
use olivecart_decisions::LearnedState;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Version of the protocol. A takeover requires both processes to have the same version; other builds may
/// differ.
pub const PROTOCOL_VERSION: u32 = 1;
/// Maximum length of a line, in bytes.
pub const MAX_LINE_BYTES: usize = 16 << 20;

/// One message.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// The successor introduces itself.
    Hello {
        /// [`PROTOCOL_VERSION`].
        protocol: u32,
        /// Whether it understands [`Message::RequestId`], as builds do that send this field.
        #[serde(default)]
        takes_request_ids: bool,
    },
    /// Everything the successor needs besides the listening socket, which is passed with the first byte of
    /// this line.
    State(Box<State>),
    /// The successor is ready to serve.
    Ready,
    /// An endpoint was detached by an operator.
    Detach(String),
    /// An endpoint was attached by an operator.
    Attach(String),
    /// A request with an id of this digest is about to be executed.
    RequestId(u64),
    /// None of the attempts of the request with an id of this digest was executed.
    RequestNeverExecuted(u64),
}

/// The state that a process hands over to its successor.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct State {
    /// [`PROTOCOL_VERSION`].
    pub protocol: u32,
    /// The current endpoint list, in the format of the discovery service.
    pub list: Option<String>,
    /// What the decision module has learned about the endpoints.
    #[serde(rename = "knowledge")]
    pub learned_state: Option<LearnedState>,
    /// Ids of the endpoints that operators have detached.
    #[serde(rename = "out")]
    pub detached: BTreeSet<String>,
    /// When operators attached other endpoints again, by id, on the clock of the sending process.
    #[serde(rename = "back")]
    pub attached_at: BTreeMap<String, u64>,
    /// The clock of the sending process, on which all times in this state are given. `None` from builds that
    /// do not send it.
    #[serde(default)]
    pub clock: Option<ClockReading>,
    /// When the endpoint list was last known to be complete.
    #[serde(default)]
    pub list_complete_at: Option<u64>,
    /// Endpoints whose effective start time differs from the one in the endpoint list.
    #[serde(default)]
    pub start_times: BTreeMap<String, StartTime>,
    /// The digests of the ids of requests that may have been executed. `None` from builds that don't understand
    /// [`Message::RequestId`].
    #[serde(default)]
    pub request_ids: Option<Vec<u64>>,
}

impl From<IdEvent> for Message {
    fn from(event: IdEvent) -> Message {
        match event {
            IdEvent::Executing(digest) => Message::RequestId(digest.0),
            IdEvent::NeverExecuted(digest) => Message::RequestNeverExecuted(digest.0),
        }
    }
}

impl From<ManualChange> for Message {
    fn from(change: ManualChange) -> Message {
        match change {
            ManualChange::Detach(target) => Message::Detach(target),
            ManualChange::Attach(target) => Message::Attach(target),
        }
    }
}

impl Message {
    /// Serializes the message as one line.
    pub fn to_line(&self) -> Vec<u8> {
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line
    }
}
