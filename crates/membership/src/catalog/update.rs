//! What passes between the catalog and a cluster while one update is applied: the sources and their ranks, the
//! context that an update runs in, and what it has done.

use super::change_set::ChangeSet;
use super::timers::Timers;
use crate::event::Silence;
use crate::names::{EndpointName, SourceId};
use crate::output::{Cause, Output};
use crate::policy::Policy;
use crate::rejection::Rejection;
use olivecart_decisions::Nanos;
use std::collections::BTreeMap;

/// A source's place in the order of precedence, from 0.
pub(super) type Rank = usize;

/// A source of the catalog.
#[derive(Debug)]
pub(super) struct Source {
    pub id: SourceId,
    pub silent: Option<Silent>,
    /// When the catalog has asked to be woken for it.
    pub timer: Option<Nanos>,
    /// The last rejection that was about no cluster that is known.
    pub last_rejection: Option<(Nanos, Rejection)>,
}

/// A source that is silent.
#[derive(Debug)]
pub(super) struct Silent {
    pub since: Nanos,
    pub silence: Silence,
    /// For long enough that its clusters are stale.
    pub is_stale: bool,
}

/// What an update of a cluster runs in.
pub(super) struct UpdateContext<'a> {
    pub now: Nanos,
    pub policy: &'a Policy,
    pub sources: &'a [Source],
    pub timers: &'a mut Timers,
    pub out: &'a mut Vec<Output>,
}

/// What an update has done to a cluster.
#[derive(Debug, Default)]
pub(super) struct UpdateEffects {
    /// Endpoints that may serve differently.
    pub touched: Vec<EndpointName>,
    /// Whose quarantined changes were released, and why.
    pub released: BTreeMap<Rank, Cause>,
}

impl UpdateEffects {
    /// Changes that came to be quarantined, or no longer are. Only what they say of an endpoint's not being
    /// ready counts while they are.
    pub fn touch_not_ready(&mut self, changes: &ChangeSet) {
        self.touched.extend(changes.not_ready_names().cloned());
    }
}
