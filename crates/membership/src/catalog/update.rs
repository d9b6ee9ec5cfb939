//! What passes between the catalog and a cluster while one update is applied: the context that it runs in, and what
//! it has done.

use super::change_set::ChangeSet;
use super::source::{Rank, Source};
use super::timers::Timers;
use crate::names::EndpointName;
use crate::output::{Cause, Output};
use crate::policy::Policy;
use olivecart_decisions::Nanos;
use std::collections::BTreeMap;

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
