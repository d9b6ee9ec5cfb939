//! The result of the validator. The cluster's state and the quarantine act on it.

use super::change_set::ChangeSet;
use crate::anomaly::Anomaly;

/// The suspicious parts of a change set.
#[derive(Debug)]
pub(super) struct ValidationReport {
    /// Whether each change is suspicious, in the order of the changes.
    pub suspicious: Vec<bool>,
    /// Whether each change is one of many and has to wait for a confirmation, in the order of the changes.
    pub awaits_confirmation: Vec<bool>,
    pub anomalies: Vec<Anomaly>,
    /// Whether a change was accepted only because its source repeated it.
    pub confirmed_by_repetition: bool,
}

impl ValidationReport {
    pub fn is_clear(&self) -> bool {
        self.anomalies.is_empty()
    }

    /// Splits changes into the suspicious ones, which are marked, and the others.
    pub fn split(&self, mut changes: ChangeSet) -> (ChangeSet, ChangeSet) {
        self.mark(&mut changes);
        changes.split(&self.suspicious)
    }

    /// Marks the changes that have to wait for a confirmation.
    pub fn mark(&self, changes: &mut ChangeSet) {
        changes
            .iter_mut()
            .zip(&self.awaits_confirmation)
            .for_each(|(change, awaits_confirmation)| change.awaits_confirmation |= awaits_confirmation);
    }
}
