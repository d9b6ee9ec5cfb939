//! What the two processes say to each other: a JSON object a line.

use super::core::ByHand;
use crate::clock::ClockReading;
use crate::start_times::StartTime;
use olivecart_decisions::LearnedState;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Both must speak the same; another build may not.
pub const PROTOCOL: u32 = 1;
/// Longest line.
pub const LONGEST: usize = 16 << 20;

/// One line.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// The later process asks to be let in.
    Hello {
        /// [`PROTOCOL`].
        protocol: u32,
    },
    /// All that it needs besides the listening socket, which comes with this line's first byte.
    State(Box<State>),
    /// It is ready to serve.
    Ready,
    /// A backend was taken out by hand.
    Detach(String),
    /// A backend was put back by hand.
    Attach(String),
}

/// What a process knows that the next one must.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct State {
    /// [`PROTOCOL`].
    pub protocol: u32,
    /// The list as it is held, in discovery's form.
    pub list: Option<String>,
    /// What the decisions have learned of it.
    pub knowledge: Option<LearnedState>,
    /// Backends out by hand.
    pub out: BTreeSet<String>,
    /// When others were put back, on the process's clock.
    pub back: BTreeMap<String, u64>,
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

impl From<ByHand> for Message {
    fn from(ByHand { target, back }: ByHand) -> Message {
        if back { Message::Attach(target) } else { Message::Detach(target) }
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
