//! Messages between the two processes of a hot restart: a JSON object a line.
//!
//! [`super`] sends and reads them. Their serialized names are read by other builds and must not change.

use super::state_machine::ManualChange;
use crate::clock::ClockReading;
use crate::start_times::StartTime;
use olivecart_decisions::LearnedState;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Both processes must have the same one; another build may not.
pub const PROTOCOL_VERSION: u32 = 1;
/// Longest line, in bytes.
pub const LONGEST_LINE_BYTES: usize = 16 << 20;

/// One line.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// The successor introduces itself.
    Hello {
        /// [`PROTOCOL_VERSION`].
        protocol: u32,
    },
    /// All that it needs besides the listening socket, which comes along with the first byte of this line.
    State(Box<State>),
    /// The successor is ready to serve.
    Ready,
    /// An endpoint was detached by an operator.
    Detach(String),
    /// An endpoint was attached by an operator.
    Attach(String),
}

/// What a process knows that its successor must.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct State {
    /// [`PROTOCOL_VERSION`].
    pub protocol: u32,
    /// The list as it is held, in discovery's form.
    pub list: Option<String>,
    /// What the decisions have learned of it.
    #[serde(rename = "knowledge")]
    pub learned_state: Option<LearnedState>,
    /// Endpoints detached by operators.
    #[serde(rename = "out")]
    pub detached: BTreeSet<String>,
    /// When others were attached, on the process's clock.
    #[serde(rename = "back")]
    pub attached_at: BTreeMap<String, u64>,
    /// The process's clock, which all times here are on; none from builds that did not hand it over.
    #[serde(default)]
    pub clock: Option<ClockReading>,
    /// When the list was last known to be complete.
    #[serde(default)]
    pub list_complete_at: Option<u64>,
    /// Endpoints that count as started at another time than the list says.
    #[serde(default)]
    pub start_times: BTreeMap<String, StartTime>,
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
    /// The line.
    pub fn line(&self) -> Vec<u8> {
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line
    }
}
