//! What serves of one cluster, as it was put out, and the smallest change from there to what is to serve.
//! `reconcile` brings it up to date; it knows nothing of sources.

use super::update::Rank;
use crate::endpoint::{ClusterSettings, Endpoint};
use crate::names::EndpointName;
use crate::output::{Arrival, Upserted};
use crate::policy::Policy;
use olivecart_decisions::Nanos;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// What has been put out of one cluster.
#[derive(Debug)]
pub(super) struct Service {
    pub owner: Rank,
    pub endpoints: BTreeMap<EndpointName, Arc<Endpoint>>,
    pub settings: ClusterSettings,
    pub is_stale: bool,
    /// When something last changed in it.
    pub changed: Nanos,
    recently_removed: RecentlyRemoved,
}

/// What differs from what was put out before.
#[derive(Debug, Default)]
pub(super) struct ServedDifference {
    pub removed: Vec<EndpointName>,
    pub upserted: Vec<Upserted>,
}

/// What left a moment ago, so that it is known again.
#[derive(Debug, Default)]
struct RecentlyRemoved {
    endpoints: BTreeMap<EndpointName, (Nanos, Arc<Endpoint>)>,
    /// In the order of leaving. Holds outdated entries of endpoints that came back.
    order: VecDeque<(Nanos, EndpointName)>,
}

impl Service {
    pub fn new(owner: Rank, settings: ClusterSettings, now: Nanos) -> Service {
        Service {
            owner,
            endpoints: BTreeMap::new(),
            settings,
            is_stale: false,
            changed: now,
            recently_removed: RecentlyRemoved::default(),
        }
    }

    /// Puts an endpoint as it is to be in the place of what was there, and notes the difference.
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
                    self.recently_removed.leave(last, now, policy);
                }
                difference.removed.push(name);
            }
            (Some(old), Some(new)) if **old == *new => {}
            (old, Some(new)) => {
                let arrival = match old {
                    Some(old) => arrival(old, &new).unwrap_or(Arrival::Changed),
                    None => self.recently_removed.arrive(&new, now, policy),
                };
                self.endpoints.insert(name, new.clone());
                difference.upserted.push(Upserted { endpoint: new, arrival });
            }
        }
    }

    /// Forgets what has been away for too long.
    pub fn forget(&mut self, now: Nanos, policy: &Policy) {
        self.recently_removed.expire(now, policy);
    }

    /// When something is next to be forgotten.
    pub fn next_forget_at(&self, policy: &Policy) -> Option<Nanos> {
        let (at, _) = self.recently_removed.order.front()?;
        Some(at.saturating_add(policy.returns_within.as_nanos() as Nanos).saturating_add(1))
    }
}

/// What an endpoint is to an earlier one of its id; none if the same process at the same address.
fn arrival(old: &Endpoint, new: &Endpoint) -> Option<Arrival> {
    if new.restarted_since(old) {
        return Some(Arrival::Restarted);
    }
    (old.address != new.address).then_some(Arrival::Moved { from: old.address })
}

impl RecentlyRemoved {
    fn leave(&mut self, endpoint: Arc<Endpoint>, now: Nanos, policy: &Policy) {
        // Danger: without a limit a source that lists other endpoints in each update fills the memory.
        if self.order.len() >= policy.max_endpoints {
            self.drop_first();
        }
        self.order.push_back((now, endpoint.name.clone()));
        self.endpoints.insert(endpoint.name.clone(), (now, endpoint));
    }

    fn arrive(&mut self, new: &Endpoint, now: Nanos, policy: &Policy) -> Arrival {
        self.expire(now, policy);
        match self.endpoints.remove(&new.name) {
            None => Arrival::New,
            Some((left, old)) => {
                arrival(&old, new).unwrap_or(Arrival::Returned { away: now.saturating_sub(left) })
            }
        }
    }

    fn expire(&mut self, now: Nanos, policy: &Policy) {
        let within = policy.returns_within.as_nanos() as Nanos;
        while self.order.front().is_some_and(|(left, _)| now.saturating_sub(*left) > within) {
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        let Some((left, name)) = self.order.pop_front() else { return };
        if self.endpoints.get(&name).is_some_and(|(at, _)| *at == left) {
            self.endpoints.remove(&name);
        }
    }
}
