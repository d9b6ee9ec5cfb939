//! The endpoints of one cluster in numbers, as the decisions know them: what a change of the catalog's comes to.
//! Without I/O.

use olivecart_decisions::EndpointState;
use olivecart_membership::{Arrival, Endpoint, EndpointName, Upserted};
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Numbers of endpoints that are gone are not used again. When they are this many times those in use, and
/// [`MINIMUM_SPENT_NUMBERS`] more, the cluster is numbered anew.
const SPENT_NUMBERS_RATIO: usize = 3;
/// See [`SPENT_NUMBERS_RATIO`].
const MINIMUM_SPENT_NUMBERS: usize = 4096;

/// An endpoint as it is from now on.
#[derive(Clone, Debug, PartialEq)]
pub struct Numbered {
    /// The decisions' number for it.
    pub number: u32,
    /// Whether requests go to it.
    pub state: EndpointState,
    /// What it is, or was.
    pub endpoint: Arc<Endpoint>,
}

/// What a change means for the decisions.
#[derive(Debug, Default, PartialEq)]
pub struct EndpointChanges {
    /// Those that take nothing new: to be told first, since an address may pass from one to another.
    pub stops: Vec<Numbered>,
    /// Those that take requests.
    pub takes: Vec<Numbered>,
}

/// The endpoints of one cluster.
#[derive(Debug, Default)]
pub struct Members {
    numbers: FxHashMap<EndpointName, u32>,
    /// By number; none for one that left.
    listed: Vec<Option<Arc<Endpoint>>>,
    live: usize,
    /// How many could take requests, by priority.
    ready_by_priority: BTreeMap<u32, usize>,
}

impl Members {
    /// Applies a change of the catalog's.
    pub fn apply(&mut self, removed: &[EndpointName], upserted: Vec<Upserted>) -> EndpointChanges {
        let before = self.serving_priority();
        let mut touched = Vec::with_capacity(removed.len() + upserted.len());
        let mut changes = EndpointChanges::default();
        for name in removed {
            let Some(&number) = self.numbers.get(name) else { continue };
            if let Some(endpoint) = self.listed.get_mut(number as usize).and_then(Option::take) {
                self.uncount_ready(&endpoint);
                self.live -= 1;
                changes.stops.push(Numbered { number, state: EndpointState::Removed, endpoint });
            }
        }
        for Upserted { endpoint, arrival } in upserted {
            let (number, replaced) = self.assign_number(&endpoint.name, arrival);
            changes.stops.extend(replaced);
            self.count_ready(&endpoint);
            if let Some(old) = self.listed[number as usize].replace(endpoint) {
                self.uncount_ready(&old);
            }
            touched.push(number);
        }
        let after = self.serving_priority();
        if before != after {
            // The tier that serves is another: all of both are told anew.
            let tiers: BTreeSet<u32> = before.into_iter().chain(after).collect();
            let told: BTreeSet<u32> = touched.iter().copied().collect();
            let of_tiers = |number: &u32| {
                !told.contains(number)
                    && self.get(*number).is_some_and(|e| tiers.contains(&e.priority) && e.takes_requests())
            };
            touched.extend((0..self.listed.len() as u32).filter(of_tiers));
        }
        for number in touched {
            let Some(endpoint) = self.get(number).cloned() else { continue };
            match endpoint.takes_requests() && Some(endpoint.priority) == after {
                true => changes.takes.push(Numbered { number, state: EndpointState::Ready, endpoint }),
                false => changes.stops.push(Numbered { number, state: EndpointState::Draining, endpoint }),
            }
        }
        changes
    }

    /// Whether so many numbers are spent that the cluster is to be numbered anew.
    pub fn is_spent(&self) -> bool {
        self.listed.len() > self.live * (1 + SPENT_NUMBERS_RATIO) + MINIMUM_SPENT_NUMBERS
    }

    /// Numbers the same endpoints anew, from 0.
    pub fn renew(&mut self) -> EndpointChanges {
        let old = std::mem::take(self);
        let upserted = old.listed.into_iter().flatten();
        self.apply(&[], upserted.map(|endpoint| Upserted { endpoint, arrival: Arrival::New }).collect())
    }

    /// The priority that serves: the first with an endpoint that could take requests.
    fn serving_priority(&self) -> Option<u32> {
        self.ready_by_priority.keys().next().copied()
    }

    fn get(&self, number: u32) -> Option<&Arc<Endpoint>> {
        self.listed.get(number as usize)?.as_ref()
    }

    /// The number of an endpoint. One that is new gets another than an earlier one of its id had, whose
    /// history is not its own; that one, if it is listed still, stops.
    fn assign_number(&mut self, name: &EndpointName, arrival: Arrival) -> (u32, Option<Numbered>) {
        let known = self.numbers.get(name).copied();
        if let Some(number) = known.filter(|_| arrival != Arrival::New) {
            self.live += usize::from(self.listed[number as usize].is_none());
            return (number, None);
        }
        let replaced = known.and_then(|number| {
            let endpoint = self.listed.get_mut(number as usize)?.take()?;
            self.uncount_ready(&endpoint);
            self.live -= 1;
            Some(Numbered { number, state: EndpointState::Removed, endpoint })
        });
        let number = self.listed.len() as u32;
        self.listed.push(None);
        self.live += 1;
        self.numbers.insert(name.clone(), number);
        (number, replaced)
    }

    fn count_ready(&mut self, endpoint: &Endpoint) {
        if endpoint.takes_requests() {
            *self.ready_by_priority.entry(endpoint.priority).or_default() += 1;
        }
    }

    fn uncount_ready(&mut self, endpoint: &Endpoint) {
        let Some(able) =
            self.ready_by_priority.get_mut(&endpoint.priority).filter(|_| endpoint.takes_requests())
        else {
            return;
        };
        *able -= 1;
        if *able == 0 {
            self.ready_by_priority.remove(&endpoint.priority);
        }
    }
}

#[cfg(test)]
mod tests;
