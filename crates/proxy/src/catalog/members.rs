//! Numbers the endpoints of a cluster for the decision module and converts changes of the catalog to changes
//! of numbered endpoints. Does no I/O.

use olivecart_decisions::EndpointState;
use olivecart_membership::{Arrival, Endpoint, EndpointName, Upserted};
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The numbers of removed endpoints are not reused. The cluster is renumbered once there are more of them
/// than this many times the numbers in use plus [`MIN_RETIRED_NUMBERS`].
const RETIRED_NUMBERS_RATIO: usize = 3;
/// See [`RETIRED_NUMBERS_RATIO`].
const MIN_RETIRED_NUMBERS: usize = 4096;

/// An endpoint with its number and new state.
#[derive(Clone, Debug, PartialEq)]
pub struct NumberedEndpoint {
    /// Its number in the decision module.
    pub number: u32,
    /// Its state in the decision module.
    pub state: EndpointState,
    /// The endpoint as described by its source; for a removed one, the last description.
    pub endpoint: Arc<Endpoint>,
}

/// The changes for the decision module that follow from a change of the catalog.
#[derive(Debug, Default, PartialEq)]
pub struct EndpointChanges {
    /// Endpoints that receive no new requests. They must be applied first, since the address of one may have
    /// passed to another endpoint.
    pub stopping: Vec<NumberedEndpoint>,
    /// Endpoints that receive requests.
    pub ready: Vec<NumberedEndpoint>,
}

/// The endpoints of one cluster.
#[derive(Debug, Default)]
pub struct Members {
    numbers: FxHashMap<EndpointName, u32>,
    /// The endpoints by number; `None` for a removed one.
    by_number: Vec<Option<Arc<Endpoint>>>,
    listed_count: usize,
    /// The number of endpoints that accept requests, by priority.
    ready_by_priority: BTreeMap<u32, usize>,
}

impl Members {
    /// Applies a change of the catalog.
    pub fn apply(&mut self, removed: &[EndpointName], upserted: Vec<Upserted>) -> EndpointChanges {
        let before = self.serving_priority();
        let mut changed = Vec::with_capacity(removed.len() + upserted.len());
        let mut changes = EndpointChanges::default();
        for name in removed {
            let Some(&number) = self.numbers.get(name) else { continue };
            if let Some(endpoint) = self.by_number.get_mut(number as usize).and_then(Option::take) {
                self.uncount_ready(&endpoint);
                self.listed_count -= 1;
                changes.stopping.push(NumberedEndpoint { number, state: EndpointState::Removed, endpoint });
            }
        }
        for Upserted { endpoint, arrival } in upserted {
            let (number, replaced) = self.assign_number(&endpoint.name, arrival);
            changes.stopping.extend(replaced);
            self.count_ready(&endpoint);
            if let Some(old) = self.by_number[number as usize].replace(endpoint) {
                self.uncount_ready(&old);
            }
            changed.push(number);
        }
        let after = self.serving_priority();
        if before != after {
            // Another priority serves now: the states of all endpoints of both priorities change.
            let priorities: BTreeSet<u32> = before.into_iter().chain(after).collect();
            let already_changed: BTreeSet<u32> = changed.iter().copied().collect();
            let is_affected = |number: &u32| {
                !already_changed.contains(number)
                    && self
                        .get(*number)
                        .is_some_and(|e| priorities.contains(&e.priority) && e.takes_requests())
            };
            changed.extend((0..self.by_number.len() as u32).filter(is_affected));
        }
        for number in changed {
            let Some(endpoint) = self.get(number).cloned() else { continue };
            match endpoint.takes_requests() && Some(endpoint.priority) == after {
                true => {
                    changes.ready.push(NumberedEndpoint { number, state: EndpointState::Ready, endpoint })
                }
                false => changes.stopping.push(NumberedEndpoint {
                    number,
                    state: EndpointState::Draining,
                    endpoint,
                }),
            }
        }
        changes
    }

    /// Returns whether so many numbers are retired that the cluster should be renumbered.
    pub fn needs_renumbering(&self) -> bool {
        self.by_number.len() > self.listed_count * (1 + RETIRED_NUMBERS_RATIO) + MIN_RETIRED_NUMBERS
    }

    /// Renumbers the endpoints from 0.
    pub fn renumber(&mut self) -> EndpointChanges {
        let old = std::mem::take(self);
        let upserted = old.by_number.into_iter().flatten();
        self.apply(&[], upserted.map(|endpoint| Upserted { endpoint, arrival: Arrival::New }).collect())
    }

    /// Returns the priority that serves: the first with an endpoint that accepts requests.
    fn serving_priority(&self) -> Option<u32> {
        self.ready_by_priority.keys().next().copied()
    }

    fn get(&self, number: u32) -> Option<&Arc<Endpoint>> {
        self.by_number.get(number as usize)?.as_ref()
    }

    /// Returns the number of an endpoint. A new endpoint gets a new number even if an earlier endpoint had
    /// its name, since it must not inherit that one's history. If the earlier one is still listed, it is
    /// removed and returned.
    fn assign_number(&mut self, name: &EndpointName, arrival: Arrival) -> (u32, Option<NumberedEndpoint>) {
        let existing = self.numbers.get(name).copied();
        if let Some(number) = existing.filter(|_| arrival != Arrival::New) {
            self.listed_count += usize::from(self.by_number[number as usize].is_none());
            return (number, None);
        }
        let replaced = existing.and_then(|number| {
            let endpoint = self.by_number.get_mut(number as usize)?.take()?;
            self.uncount_ready(&endpoint);
            self.listed_count -= 1;
            Some(NumberedEndpoint { number, state: EndpointState::Removed, endpoint })
        });
        let number = self.by_number.len() as u32;
        self.by_number.push(None);
        self.listed_count += 1;
        self.numbers.insert(name.clone(), number);
        (number, replaced)
    }

    fn count_ready(&mut self, endpoint: &Endpoint) {
        if endpoint.takes_requests() {
            *self.ready_by_priority.entry(endpoint.priority).or_default() += 1;
        }
    }

    fn uncount_ready(&mut self, endpoint: &Endpoint) {
        let Some(ready_count) =
            self.ready_by_priority.get_mut(&endpoint.priority).filter(|_| endpoint.takes_requests())
        else {
            return;
        };
        *ready_count -= 1;
        if *ready_count == 0 {
            self.ready_by_priority.remove(&endpoint.priority);
        }
    }
}

#[cfg(test)]
mod tests;
