//! The published state of one cluster, and the smallest change that brings it up to date. `reconcile` updates
//! it; it knows nothing about the sources' reports.

use super::source::Rank;
use crate::endpoint::{ClusterSettings, Endpoint};
use crate::names::EndpointName;
use crate::output::{Arrival, Upserted};
use crate::policy::Policy;
use olivecart_decisions::Nanos;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// The state of one cluster as published by the catalog's outputs.
#[derive(Debug)]
pub(super) struct Service {
    pub owner: Rank,
    pub endpoints: BTreeMap<EndpointName, Arc<Endpoint>>,
    pub settings: ClusterSettings,
    pub is_stale: bool,
    /// When the published state last changed.
    pub changed_at: Nanos,
    recently_removed: RecentlyRemoved,
}

/// The difference from the previously published state.
#[derive(Debug, Default)]
pub(super) struct ServedDifference {
    pub removed: Vec<EndpointName>,
    pub upserted: Vec<Upserted>,
}

/// The endpoints that were removed within the return window, so that they are recognized when they come back.
#[derive(Debug, Default)]
struct RecentlyRemoved {
    endpoints: BTreeMap<EndpointName, (Nanos, Arc<Endpoint>)>,
    /// In order of removal. Contains outdated entries of endpoints that have returned.
    order: VecDeque<(Nanos, EndpointName)>,
}

impl Service {
    pub fn new(owner: Rank, settings: ClusterSettings, now: Nanos) -> Service {
        Service {
            owner,
            endpoints: BTreeMap::new(),
            settings,
            is_stale: false,
            changed_at: now,
            recently_removed: RecentlyRemoved::default(),
        }
    }

    /// Replaces an endpoint with its target state, or removes it, and records the difference.
    pub fn set(
        &mut self,
        name: EndpointName,
        target: Option<Arc<Endpoint>>,
        now: Nanos,
        policy: &Policy,
        difference: &mut ServedDifference,
    ) {
        match (self.endpoints.get(&name), target) {
            (None, None) => {}
            (Some(_), None) => {
                if let Some(last) = self.endpoints.remove(&name) {
                    self.recently_removed.insert(last, now, policy);
                }
                difference.removed.push(name);
            }
            (Some(old), Some(new)) if **old == *new => {}
            (old, Some(new)) => {
                let arrival = match old {
                    Some(old) => arrival(old, &new).unwrap_or(Arrival::Changed),
                    None => self.recently_removed.take_arrival(&new, now, policy),
                };
                self.endpoints.insert(name, new.clone());
                difference.upserted.push(Upserted { endpoint: new, arrival });
            }
        }
    }

    /// Forgets endpoints whose return window has ended.
    pub fn expire_removed(&mut self, now: Nanos, policy: &Policy) {
        self.recently_removed.expire(now, policy);
    }

    /// Returns when the next return window ends.
    pub fn next_expiry_at(&self, policy: &Policy) -> Option<Nanos> {
        let (at, _) = self.recently_removed.order.front()?;
        Some(at.saturating_add(policy.returns_within.as_nanos() as Nanos).saturating_add(1))
    }
}

/// Compares an endpoint with an earlier one of its id. Returns `None` for the same process at the same
/// address.
fn arrival(old: &Endpoint, new: &Endpoint) -> Option<Arrival> {
    if new.restarted_since(old) {
        return Some(Arrival::Restarted);
    }
    (old.address != new.address).then_some(Arrival::Moved { from: old.address })
}

impl RecentlyRemoved {
    fn insert(&mut self, endpoint: Arc<Endpoint>, now: Nanos, policy: &Policy) {
        // Without this limit, a source that lists different endpoints in each update would exhaust the
        // memory.
        if self.order.len() >= policy.max_endpoints {
            self.drop_first();
        }
        self.order.push_back((now, endpoint.name.clone()));
        self.endpoints.insert(endpoint.name.clone(), (now, endpoint));
    }

    fn take_arrival(&mut self, new: &Endpoint, now: Nanos, policy: &Policy) -> Arrival {
        self.expire(now, policy);
        match self.endpoints.remove(&new.name) {
            None => Arrival::New,
            Some((removed_at, old)) => {
                arrival(&old, new).unwrap_or(Arrival::Returned { away: now.saturating_sub(removed_at) })
            }
        }
    }

    fn expire(&mut self, now: Nanos, policy: &Policy) {
        let window = policy.returns_within.as_nanos() as Nanos;
        while self.order.front().is_some_and(|(removed_at, _)| now.saturating_sub(*removed_at) > window) {
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        let Some((removed_at, name)) = self.order.pop_front() else { return };
        if self.endpoints.get(&name).is_some_and(|(at, _)| *at == removed_at) {
            self.endpoints.remove(&name);
        }
    }
}
