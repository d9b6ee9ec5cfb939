//! Corrects the listed start times of endpoints, as far as possible without the wall clock.
//!
//! The start time in an endpoint list is a wall-clock time, and the wall clock of this machine or of the
//! endpoint's may have been stepped. Two bounds do not depend on it: no endpoint started later than now, and
//! an endpoint that is listed for the first time started after the list was last known to be complete. The
//! cluster runtime passes each listed endpoint through this module, which does no I/O and reads no clock.

use olivecart_decisions::Nanos;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Above this number of remembered endpoints, only those in the list are kept.
const MAX_START_TIMES: usize = 4096;

/// The start time of an endpoint, on the clock of the decision module.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartTime {
    /// The time in the endpoint list. A different listed time means that the endpoint's process was
    /// restarted.
    pub listed: Nanos,
    /// The time that the decision module uses.
    pub effective: Nanos,
}

/// The start times of a cluster's endpoints.
#[derive(Default)]
pub struct StartTimes {
    /// When the list was last known to be complete; `None` if that was long ago.
    complete_at: Option<Nanos>,
    by_name: BTreeMap<Rc<str>, StartTime>,
}

impl StartTimes {
    /// Restores the state that a predecessor handed over.
    pub fn restored(complete_at: Option<Nanos>, by_name: &BTreeMap<String, StartTime>) -> StartTimes {
        let by_name = by_name.iter().map(|(name, start)| (name.as_str().into(), *start)).collect();
        StartTimes { complete_at, by_name }
    }

    /// Records that the endpoint list was complete at `now`.
    pub fn mark_list_complete(&mut self, now: Nanos) {
        self.complete_at = Some(now);
    }

    /// Returns when the list was last known to be complete.
    pub fn complete_at(&self) -> Option<Nanos> {
        self.complete_at
    }

    /// Returns the effective start time of a listed endpoint; `None` if it started long ago. The result stays
    /// the same as long as the listed time does.
    pub fn effective(&mut self, name: &Rc<str>, listed: Option<Nanos>, now: Nanos) -> Option<Nanos> {
        let listed = listed?;
        let before = self.by_name.get(name).copied();
        if let Some(start) = before.filter(|start| start.listed == listed) {
            return Some(start.effective);
        }
        let mut effective = listed.max(self.complete_at.unwrap_or(0)).min(now);
        if before.is_some_and(|before| before.effective == effective) {
            effective += 1; // with the same start time, a restart would go unnoticed
        }
        self.by_name.insert(name.clone(), StartTime { listed, effective });
        Some(effective)
    }

    /// Returns the listed start time of an endpoint with this effective start time.
    pub fn listed(&self, name: &str, effective: Option<Nanos>) -> Option<Nanos> {
        let start = self.by_name.get(name).filter(|start| Some(start.effective) == effective);
        start.map(|start| start.listed).or(effective)
    }

    /// Removes endpoints that are not listed if there are more than [`MAX_START_TIMES`].
    pub fn evict_unlisted(&mut self, is_listed: impl Fn(&str) -> bool) {
        if self.by_name.len() > MAX_START_TIMES {
            self.by_name.retain(|name, _| is_listed(name));
        }
    }

    /// Returns the endpoints whose effective start time differs from the listed one.
    pub fn corrected(&self) -> impl Iterator<Item = (String, StartTime)> {
        let corrected = self.by_name.iter().filter(|(_, start)| start.listed != start.effective);
        corrected.map(|(name, start)| (name.to_string(), *start))
    }
}

#[cfg(test)]
mod tests;
