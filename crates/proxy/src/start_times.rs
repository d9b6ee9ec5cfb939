//! When endpoints started, as far as it is known without the wall clock.
//!
//! A list says when an endpoint started by the wall clock, which may have been stepped before this process or its
//! machine read it. What is known besides: nobody started later than now, and one that is named for the first time was
//! not there when the list was last known to be complete. The cluster runtime asks for each endpoint that a list
//! names. No I/O and no clock here.

use olivecart_decisions::Nanos;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Most endpoints that are remembered; of more, those that are listed.
const MOST: usize = 4096;

/// When an endpoint started, on the decisions' clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartTime {
    /// By its list. Another one is another process.
    pub listed: Nanos,
    /// As it counts.
    pub effective: Nanos,
}

/// The start times of a cluster's endpoints.
#[derive(Default)]
pub struct StartTimes {
    /// When the list was last known to be complete; none if only from long ago.
    complete_at: Option<Nanos>,
    by_name: BTreeMap<Rc<str>, StartTime>,
}

impl StartTimes {
    /// What another process knew.
    pub fn restored(complete_at: Option<Nanos>, by_name: &BTreeMap<String, StartTime>) -> StartTimes {
        let by_name = by_name.iter().map(|(name, start)| (name.as_str().into(), *start)).collect();
        StartTimes { complete_at, by_name }
    }

    /// The list that is held is all there is at this moment.
    pub fn list_is_complete(&mut self, now: Nanos) {
        self.complete_at = Some(now);
    }

    /// When the list was last known to be complete.
    pub fn complete_at(&self) -> Option<Nanos> {
        self.complete_at
    }

    /// When an endpoint started that a list names; none if long ago. The same for as long as the list says the same.
    pub fn effective(&mut self, name: &Rc<str>, listed: Option<Nanos>, now: Nanos) -> Option<Nanos> {
        let listed = listed?;
        let before = self.by_name.get(name).copied();
        if let Some(known) = before.filter(|known| known.listed == listed) {
            return Some(known.effective);
        }
        let mut effective = listed.max(self.complete_at.unwrap_or(0)).min(now);
        if before.is_some_and(|before| before.effective == effective) {
            effective += 1; // Danger: with the same start time it would be taken for the same process
        }
        self.by_name.insert(name.clone(), StartTime { listed, effective });
        Some(effective)
    }

    /// What the list said of an endpoint that counts as started then.
    pub fn listed(&self, name: &str, effective: Option<Nanos>) -> Option<Nanos> {
        let known = self.by_name.get(name).filter(|start| Some(start.effective) == effective);
        known.map(|start| start.listed).or(effective)
    }

    /// Forgets endpoints that are not listed, if there are too many.
    pub fn bound(&mut self, is_listed: impl Fn(&str) -> bool) {
        if self.by_name.len() > MOST {
            self.by_name.retain(|name, _| is_listed(name));
        }
    }

    /// Those that count as started at another time than the list says.
    pub fn amended(&self) -> impl Iterator<Item = (String, StartTime)> {
        let amended = self.by_name.iter().filter(|(_, start)| start.listed != start.effective);
        amended.map(|(name, start)| (name.to_string(), *start))
    }
}

#[cfg(test)]
mod tests;
