//! The changes of an update, one for each endpoint.

use crate::endpoint::Endpoint;
use crate::names::EndpointName;
use olivecart_decisions::Nanos;
use std::ops::Index;
use std::sync::Arc;

/// The change of one endpoint.
#[derive(Clone, Debug)]
pub(super) struct EndpointChange {
    pub name: EndpointName,
    /// The endpoint as its source last listed it. In the first list of a source: the endpoint as the current
    /// owner of the cluster lists it.
    pub old: Option<Arc<Endpoint>>,
    /// The new endpoint; `None` if it is removed.
    pub new: Option<Arc<Endpoint>>,
    /// When its source first reported the change.
    pub since: Nanos,
    /// The change was quarantined as one of many removals or weights set to 0, and waits for a confirmation.
    ///
    /// Without this mark, a single endpoint that is added later would release the loss of all others.
    pub awaits_confirmation: bool,
    /// The change reports the endpoint as not ready, which takes effect even while it is quarantined.
    pub is_not_ready: bool,
}

/// A set of changes, sorted by id. Its memory is proportional to the number of changes.
#[derive(Clone, Debug, Default)]
pub(super) struct ChangeSet(Vec<EndpointChange>);

impl ChangeSet {
    /// Creates a set from changes that are sorted by id, without duplicates.
    pub fn from_sorted(changes: Vec<EndpointChange>) -> ChangeSet {
        debug_assert!(changes.is_sorted_by(|a, b| a.name < b.name));
        ChangeSet(changes)
    }

    pub fn get(&self, name: &EndpointName) -> Option<&EndpointChange> {
        self.0.get(self.position(name).ok()?)
    }

    pub fn iter(&self) -> std::slice::Iter<'_, EndpointChange> {
        self.0.iter()
    }

    pub fn iter_mut(&mut self) -> std::slice::IterMut<'_, EndpointChange> {
        self.0.iter_mut()
    }

    /// Iterates over the names of endpoints that are reported as not ready.
    pub fn not_ready_names(&self) -> impl Iterator<Item = &EndpointName> {
        self.0.iter().filter(|change| change.is_not_ready).map(|change| &change.name)
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub fn position(&self, name: &EndpointName) -> Result<usize, usize> {
        self.0.binary_search_by(|change| change.name.cmp(name))
    }

    /// Removes the changes of the given endpoints in one pass over the set.
    pub fn remove_all<'a>(&mut self, names: impl IntoIterator<Item = &'a EndpointName>) {
        let mut found: Vec<usize> = names.into_iter().filter_map(|name| self.position(name).ok()).collect();
        if found.is_empty() {
            return;
        }
        found.sort_unstable();
        let (mut found, mut at) = (found.into_iter().peekable(), 0);
        self.0.retain(|_| {
            at += 1;
            found.next_if_eq(&(at - 1)).is_none()
        });
    }

    /// Adds changes, which replace those of the same ids.
    pub fn merge(&mut self, others: ChangeSet) {
        self.remove_all(others.iter().map(|change| &change.name));
        self.0.extend(others.0);
        self.0.sort_by(|a, b| a.name.cmp(&b.name));
    }

    /// Splits the set into the marked and the unmarked changes. `marks` is in the order of the changes.
    pub fn split(self, marks: &[bool]) -> (ChangeSet, ChangeSet) {
        if !marks.contains(&true) {
            return (ChangeSet::default(), self);
        }
        let mut marks = marks.iter();
        let (marked, others) = self.0.into_iter().partition(|_| marks.next() == Some(&true));
        (ChangeSet(marked), ChangeSet(others))
    }
}

impl Index<usize> for ChangeSet {
    type Output = EndpointChange;

    fn index(&self, at: usize) -> &EndpointChange {
        &self.0[at]
    }
}

impl IntoIterator for ChangeSet {
    type Item = EndpointChange;
    type IntoIter = std::vec::IntoIter<EndpointChange>;

    fn into_iter(self) -> Self::IntoIter {
        self.0.into_iter()
    }
}
