//! What the validator finds about a change. The cluster's state and the quarantine act on it.

use super::change_set::ChangeSet;
use crate::anomaly::Anomaly;

/// What is suspicious.
#[derive(Debug)]
pub(super) struct ValidationReport {
    /// Which items are, in their order.
    pub suspicious: Vec<bool>,
    /// Which of them are one of many, in their order.
    pub awaits_confirmation: Vec<bool>,
    pub anomalies: Vec<Anomaly>,
    /// Something passed only because it was said again.
    pub confirmed_by_repetition: bool,
}

impl ValidationReport {
    pub fn is_clear(&self) -> bool {
        self.anomalies.is_empty()
    }

    /// What is doubtful of a change, with its marks, and what passes.
    pub fn split(&self, mut changes: ChangeSet) -> (ChangeSet, ChangeSet) {
        self.mark(&mut changes);
        changes.split(&self.suspicious)
    }

    /// Marks those that are one of many.
    pub fn mark(&self, changes: &mut ChangeSet) {
        changes
            .iter_mut()
            .zip(&self.awaits_confirmation)
            .for_each(|(change, awaits_confirmation)| change.awaits_confirmation |= awaits_confirmation);
    }
}
