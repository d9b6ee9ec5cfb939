//! The timers of the catalog. They only store deadlines; the caller of the catalog waits for them.

use super::source::Rank;
use crate::names::ClusterName;
use olivecart_decisions::Nanos;
use std::collections::BTreeSet;

/// The action of a timer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// Ask a source for a cluster again.
    Refetch(ClusterName, Rank),
    /// Forget removed endpoints of a cluster whose return window has ended.
    Forget(ClusterName),
    /// Mark the clusters of a silent source as stale.
    MarkStale(Rank),
}

/// All timers that are set, ordered by deadline.
#[derive(Debug, Default)]
pub(super) struct Timers(BTreeSet<(Nanos, Timer)>);

impl Timers {
    /// Moves a timer from its scheduled deadline to the target; `None` stands for a timer that is not set.
    pub fn set(&mut self, scheduled: &mut Option<Nanos>, target: Option<Nanos>, timer: impl Fn() -> Timer) {
        if *scheduled == target {
            return;
        }
        if let Some(at) = std::mem::replace(scheduled, target) {
            self.0.remove(&(at, timer()));
        }
        self.0.extend(target.map(|at| (at, timer())));
    }

    pub fn next_deadline(&self) -> Option<Nanos> {
        self.0.first().map(|(at, _)| *at)
    }

    /// Removes and returns the next timer that is due.
    pub fn pop(&mut self, now: Nanos) -> Option<Timer> {
        if self.next_deadline()? > now {
            return None;
        }
        self.0.pop_first().map(|(_, timer)| timer)
    }
}
