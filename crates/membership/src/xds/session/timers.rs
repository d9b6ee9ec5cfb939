//! When the conversation wants to be woken, and for what.

use crate::names::ClusterName;
use crate::xds::resource::Kind;
use olivecart_decisions::Nanos;
use std::collections::{BTreeMap, BTreeSet};

/// What a wake-up is for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// To connect.
    Connect,
    /// The stream has stood for long enough to be good.
    Settle,
    /// What the control plane did not send again on this stream is to be asked for once more.
    Verify,
    /// The first clusters should have come.
    FirstFetch,
    /// A postponed rejection is to be sent.
    Reject(Kind),
    /// The endpoints of a cluster should have come.
    Warm(ClusterName),
    /// The time to live of a resource is over.
    Expire(Kind, String),
}

/// All wake-ups that are wanted, each at most once.
#[derive(Debug, Default)]
pub(super) struct Timers {
    at: BTreeMap<Timer, Nanos>,
    order: BTreeSet<(Nanos, Timer)>,
}

impl Timers {
    /// Sets a wake-up, in the place of an earlier one for the same.
    pub fn set(&mut self, timer: Timer, at: Nanos) {
        self.clear(&timer);
        self.order.insert((at, timer.clone()));
        self.at.insert(timer, at);
    }

    pub fn clear(&mut self, timer: &Timer) {
        if let Some((timer, at)) = self.at.remove_entry(timer) {
            self.order.remove(&(at, timer));
        }
    }

    pub fn first(&self) -> Option<Nanos> {
        self.order.first().map(|(at, _)| *at)
    }

    /// The next one that is due.
    pub fn pop(&mut self, now: Nanos) -> Option<Timer> {
        if self.first()? > now {
            return None;
        }
        let (_, timer) = self.order.pop_first()?;
        self.at.remove(&timer);
        Some(timer)
    }
}
