//! When the catalog wants to be woken, and for what.

use super::update::Rank;
use crate::names::ClusterName;
use olivecart_decisions::Nanos;
use std::collections::BTreeSet;

/// What a wake-up is for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A source is to be asked again about a cluster.
    Refetch(ClusterName, Rank),
    /// Endpoints of a cluster have been away for long enough to be forgotten.
    Forget(ClusterName),
    /// A source has been silent for long enough to age its clusters.
    Age(Rank),
}

/// All wake-ups that are wanted, by time.
#[derive(Debug, Default)]
pub(super) struct Timers(BTreeSet<(Nanos, Timer)>);

impl Timers {
    /// Moves a wake-up from where it was to where it shall be.
    pub fn set(&mut self, scheduled: &mut Option<Nanos>, target: Option<Nanos>, timer: impl Fn() -> Timer) {
        if *scheduled == target {
            return;
        }
        if let Some(at) = std::mem::replace(scheduled, target) {
            self.0.remove(&(at, timer()));
        }
        self.0.extend(target.map(|at| (at, timer())));
    }

    pub fn first(&self) -> Option<Nanos> {
        self.0.first().map(|(at, _)| *at)
    }

    /// The next one that is due.
    pub fn pop(&mut self, now: Nanos) -> Option<Timer> {
        if self.first()? > now {
            return None;
        }
        self.0.pop_first().map(|(_, timer)| timer)
    }
}
