//! A change, endpoint by endpoint.

use crate::endpoint::Endpoint;
use crate::names::EndpointName;
use olivecart_decisions::Nanos;
use std::ops::Index;
use std::sync::Arc;

/// One endpoint's part of a change.
#[derive(Clone, Debug)]
pub(super) struct EndpointChange {
    pub name: EndpointName,
    /// What it changes: the endpoint as its source last listed it or, in the first list of a source, as the
    /// source that gives the cluster does.
    pub old: Option<Arc<Endpoint>>,
    /// The endpoint as it shall be; none if it leaves.
    pub new: Option<Arc<Endpoint>>,
    /// Since when its source has said so.
    pub since: Nanos,
    /// It was held as one of many that leave or lose their weight, and waits for a confirmation.
    ///
    /// Danger: without this mark one endpoint that comes later would make the loss of all others harmless.
    pub awaits_confirmation: bool,
    /// It says that the endpoint is not ready, which counts while it is held.
    pub is_not_ready: bool,
}

/// The parts of a change, by id. Memory and copying cost as much as the change is large.
#[derive(Clone, Debug, Default)]
pub(super) struct ChangeSet(Vec<EndpointChange>);

impl ChangeSet {
    /// Of items that are sorted by id, each id once.
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

    /// Those that are said not to be ready.
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

    /// Takes out those of the given ids. A few of them cost no more than moving the rest together.
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

    /// Puts in others, in the place of what is there of the same id.
    pub fn merge(&mut self, others: ChangeSet) {
        self.remove_all(others.iter().map(|change| &change.name));
        self.0.extend(others.0);
        self.0.sort_by(|a, b| a.name.cmp(&b.name));
    }

    /// Those that are marked, and those that are not. `marks` are in the order of the items.
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
