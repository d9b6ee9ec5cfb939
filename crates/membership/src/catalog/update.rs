//! The context in which an update of a cluster is applied, and the effects of the update. The catalog passes
//! the context to the cluster's state and completes the update from the effects.

use super::change_set::ChangeSet;
use super::source::{Rank, Source};
use super::timers::Timers;
use crate::names::EndpointName;
use crate::output::{Cause, Output};
use crate::policy::Policy;
use olivecart_decisions::Nanos;
use std::collections::BTreeMap;

/// The parts of the catalog that an update of a cluster uses.
pub(super) struct UpdateContext<'a> {
    pub now: Nanos,
    pub policy: &'a Policy,
    pub sources: &'a [Source],
    pub timers: &'a mut Timers,
    pub out: &'a mut Vec<Output>,
}

/// The effects of an update on a cluster.
#[derive(Debug, Default)]
pub(super) struct UpdateEffects {
    /// Endpoints whose published state may have to change.
    pub touched: Vec<EndpointName>,
    /// The sources whose quarantined changes were released, with the cause.
    pub released: BTreeMap<Rank, Cause>,
}

impl UpdateEffects {
    /// Records endpoints whose changes enter or leave the quarantine. Of a quarantined change, only the
    /// report that an endpoint is not ready takes effect.
    pub fn touch_not_ready(&mut self, changes: &ChangeSet) {
        self.touched.extend(changes.not_ready_names().cloned());
    }
}
