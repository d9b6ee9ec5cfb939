//! The timers of the session.

use crate::names::ClusterName;
use crate::xds::resource::Kind;
use olivecart_decisions::Nanos;
use std::collections::{BTreeMap, BTreeSet};

/// The purpose of a timer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// Open a stream.
    Connect,
    /// The stream has been open long enough to count as working.
    Settle,
    /// The endpoints that a resumed stream did not send are requested again.
    Verify,
    /// The wait for the first clusters has timed out.
    FirstFetch,
    /// A postponed rejection is due.
    Reject(Kind),
    /// The wait for the endpoints of a cluster has timed out.
    Warm(ClusterName),
    /// The time to live of a resource has passed.
    Expire(Kind, String),
}

/// The pending timers. Each timer is set at most once.
#[derive(Debug, Default)]
pub(super) struct Timers {
    deadlines: BTreeMap<Timer, Nanos>,
    queue: BTreeSet<(Nanos, Timer)>,
}

impl Timers {
    /// Sets a timer, replacing its previous deadline.
    pub fn set(&mut self, timer: Timer, at: Nanos) {
        self.clear(&timer);
        self.queue.insert((at, timer.clone()));
        self.deadlines.insert(timer, at);
    }

    pub fn clear(&mut self, timer: &Timer) {
        if let Some((timer, at)) = self.deadlines.remove_entry(timer) {
            self.queue.remove(&(at, timer));
        }
    }

    pub fn next_deadline(&self) -> Option<Nanos> {
        self.queue.first().map(|(at, _)| *at)
    }

    /// Removes and returns the next timer that is due.
    pub fn pop_due(&mut self, now: Nanos) -> Option<Timer> {
        if self.next_deadline()? > now {
            return None;
        }
        let (_, timer) = self.queue.pop_first()?;
        self.deadlines.remove(&timer);
        Some(timer)
    }
}
