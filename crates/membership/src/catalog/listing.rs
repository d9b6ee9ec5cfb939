//! The endpoints of one cluster as one source lists them, with what has to be known of them at any time.

use crate::endpoint::{Endpoint, State};
use crate::names::EndpointName;
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// How many endpoints there are of each sort.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct EndpointCounts {
    /// All.
    pub listed: usize,
    /// Those that are ready, whatever their weight.
    pub ready: usize,
    /// Those that take requests: ready, and with a weight.
    pub serving: usize,
}

impl EndpointCounts {
    pub fn add(&mut self, endpoint: &Endpoint) {
        self.add_as(endpoint, endpoint.state);
    }

    /// Adds one that is in another state than its own.
    pub fn add_as(&mut self, endpoint: &Endpoint, state: State) {
        self.listed += 1;
        self.ready += usize::from(state == State::Ready);
        self.serving += usize::from(state == State::Ready && endpoint.weight > 0.0);
    }

    /// Takes away one that was added.
    pub fn take(&mut self, endpoint: &Endpoint) {
        self.listed -= 1;
        self.ready -= usize::from(endpoint.state == State::Ready);
        self.serving -= usize::from(endpoint.takes_requests());
    }
}

/// The endpoints of one cluster by id, and where the ready ones are. One entry costs O(log n).
#[derive(Debug, Default)]
pub(super) struct Listing {
    endpoints: BTreeMap<EndpointName, Arc<Endpoint>>,
    counts: EndpointCounts,
    addresses: Addresses,
    /// The few that are not ready.
    unready: BTreeSet<EndpointName>,
}

impl Listing {
    /// All in one go: cheaper than one by one.
    pub fn from_sorted(endpoints: impl Iterator<Item = Arc<Endpoint>>) -> Listing {
        let mut listing = Listing::default();
        let endpoints = endpoints.map(|e| (e.name.clone(), e)).collect::<BTreeMap<_, _>>();
        listing.addresses.first.reserve(endpoints.len());
        endpoints.values().for_each(|e| listing.note(e));
        listing.endpoints = endpoints;
        listing
    }

    pub fn counts(&self) -> EndpointCounts {
        self.counts
    }

    pub fn get(&self, name: &EndpointName) -> Option<&Arc<Endpoint>> {
        self.endpoints.get(name)
    }

    /// By id.
    pub fn iter(&self) -> impl Iterator<Item = (&EndpointName, &Arc<Endpoint>)> {
        self.endpoints.iter()
    }

    /// Those that are not ready, by id.
    pub fn unready(&self) -> impl Iterator<Item = &EndpointName> {
        self.unready.iter()
    }

    /// The ready endpoints at an address.
    pub fn at(&self, address: SocketAddr) -> impl Iterator<Item = &EndpointName> {
        self.addresses.holders(address)
    }

    pub fn insert(&mut self, endpoint: Arc<Endpoint>) {
        self.note(&endpoint);
        if let Some(old) = self.endpoints.insert(endpoint.name.clone(), endpoint.clone()) {
            self.forget(&old, Some(&endpoint));
        }
    }

    pub fn remove(&mut self, name: &EndpointName) {
        if let Some(old) = self.endpoints.remove(name) {
            self.forget(&old, None);
        }
    }

    fn note(&mut self, endpoint: &Endpoint) {
        self.counts.add(endpoint);
        match endpoint.state {
            State::Ready => _ = self.unready.remove(&endpoint.name),
            _ => _ = self.unready.insert(endpoint.name.clone()),
        }
        if let Some(address) = ready_at(endpoint) {
            self.addresses.add(address, &endpoint.name);
        }
    }

    fn forget(&mut self, old: &Endpoint, new: Option<&Endpoint>) {
        self.counts.take(old);
        if new.is_none() {
            self.unready.remove(&old.name);
        }
        let left = ready_at(old).filter(|_| new.and_then(ready_at) != ready_at(old));
        if let Some(address) = left {
            self.addresses.remove(address, &old.name);
        }
    }
}

/// Where an endpoint takes requests; one that does not is in nobody's way.
pub(super) fn ready_at(endpoint: &Endpoint) -> Option<SocketAddr> {
    endpoint.address.filter(|_| endpoint.state == State::Ready)
}

/// Who is at an address. Only looked up, never walked in the order of the hash.
#[derive(Debug, Default)]
struct Addresses {
    first: FxHashMap<SocketAddr, EndpointName>,
    /// The rare ones that came to an address that was taken.
    more: BTreeSet<(SocketAddr, EndpointName)>,
}

impl Addresses {
    fn add(&mut self, address: SocketAddr, name: &EndpointName) {
        match self.first.get(&address) {
            None => _ = self.first.insert(address, name.clone()),
            Some(holder) if holder == name => {}
            Some(_) => _ = self.more.insert((address, name.clone())),
        }
    }

    fn remove(&mut self, address: SocketAddr, name: &EndpointName) {
        if self.first.get(&address) != Some(name) {
            self.more.remove(&(address, name.clone()));
            return;
        }
        let next = self.more_at(address).next().cloned();
        match next {
            None => _ = self.first.remove(&address),
            Some(next) => {
                self.more.remove(&(address, next.clone()));
                self.first.insert(address, next);
            }
        }
    }

    fn holders(&self, address: SocketAddr) -> impl Iterator<Item = &EndpointName> {
        self.first.get(&address).into_iter().chain(self.more_at(address))
    }

    fn more_at(&self, address: SocketAddr) -> impl Iterator<Item = &EndpointName> {
        // Names are not empty, so this is below the first of the address.
        let from = (!self.more.is_empty()).then(|| (address, EndpointName::from("")));
        let at = from.into_iter().flat_map(|from| self.more.range(from..));
        at.map_while(move |(at, name)| (*at == address).then_some(name))
    }
}
