//! The endpoints of one cluster as one source lists them, with indexes by state and address.

use crate::endpoint::{Endpoint, State};
use crate::names::EndpointName;
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// The number of endpoints by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct EndpointCounts {
    /// All listed endpoints.
    pub listed: usize,
    /// Ready endpoints, regardless of their weight.
    pub ready: usize,
    /// Endpoints that accept requests: ready, with a weight greater than 0.
    pub serving: usize,
}

impl EndpointCounts {
    pub fn add(&mut self, endpoint: &Endpoint) {
        self.add_as(endpoint, endpoint.state);
    }

    /// Counts an endpoint as being in `state` instead of its own state.
    pub fn add_as(&mut self, endpoint: &Endpoint, state: State) {
        self.listed += 1;
        self.ready += usize::from(state == State::Ready);
        self.serving += usize::from(state == State::Ready && endpoint.weight > 0.0);
    }

    /// Removes an endpoint that was counted in its own state.
    pub fn subtract(&mut self, endpoint: &Endpoint) {
        self.listed -= 1;
        self.ready -= usize::from(endpoint.state == State::Ready);
        self.serving -= usize::from(endpoint.takes_requests());
    }
}

/// The endpoints of one cluster by id, with the addresses of the ready ones. Changing an endpoint takes O(log
/// n).
#[derive(Debug, Default)]
pub(super) struct Listing {
    endpoints: BTreeMap<EndpointName, Arc<Endpoint>>,
    counts: EndpointCounts,
    addresses: Addresses,
    /// The endpoints that are not ready, usually few.
    not_ready: BTreeSet<EndpointName>,
}

impl Listing {
    /// Creates a listing from endpoints sorted by id. This is faster than inserting them one by one.
    pub fn from_sorted(endpoints: impl Iterator<Item = Arc<Endpoint>>) -> Listing {
        let mut listing = Listing::default();
        let endpoints = endpoints.map(|e| (e.name.clone(), e)).collect::<BTreeMap<_, _>>();
        listing.addresses.first.reserve(endpoints.len());
        endpoints.values().for_each(|e| listing.add_to_indexes(e));
        listing.endpoints = endpoints;
        listing
    }

    pub fn counts(&self) -> EndpointCounts {
        self.counts
    }

    pub fn get(&self, name: &EndpointName) -> Option<&Arc<Endpoint>> {
        self.endpoints.get(name)
    }

    /// Iterates over the endpoints, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = (&EndpointName, &Arc<Endpoint>)> {
        self.endpoints.iter()
    }

    /// Iterates over the endpoints that are not ready, ordered by id.
    pub fn not_ready_names(&self) -> impl Iterator<Item = &EndpointName> {
        self.not_ready.iter()
    }

    /// Iterates over the ready endpoints at an address.
    pub fn at(&self, address: SocketAddr) -> impl Iterator<Item = &EndpointName> {
        self.addresses.endpoints_at(address)
    }

    pub fn insert(&mut self, endpoint: Arc<Endpoint>) {
        self.add_to_indexes(&endpoint);
        if let Some(old) = self.endpoints.insert(endpoint.name.clone(), endpoint.clone()) {
            self.remove_from_indexes(&old, Some(&endpoint));
        }
    }

    pub fn remove(&mut self, name: &EndpointName) {
        if let Some(old) = self.endpoints.remove(name) {
            self.remove_from_indexes(&old, None);
        }
    }

    fn add_to_indexes(&mut self, endpoint: &Endpoint) {
        self.counts.add(endpoint);
        match endpoint.state {
            State::Ready => _ = self.not_ready.remove(&endpoint.name),
            _ => _ = self.not_ready.insert(endpoint.name.clone()),
        }
        if let Some(address) = ready_address(endpoint) {
            self.addresses.add(address, &endpoint.name);
        }
    }

    fn remove_from_indexes(&mut self, old: &Endpoint, new: Option<&Endpoint>) {
        self.counts.subtract(old);
        if new.is_none() {
            self.not_ready.remove(&old.name);
        }
        let freed = ready_address(old).filter(|_| new.and_then(ready_address) != ready_address(old));
        if let Some(address) = freed {
            self.addresses.remove(address, &old.name);
        }
    }
}

/// Returns the address of a ready endpoint, and `None` for any other: only ready endpoints conflict by
/// address.
pub(super) fn ready_address(endpoint: &Endpoint) -> Option<SocketAddr> {
    endpoint.address.filter(|_| endpoint.state == State::Ready)
}

/// The ready endpoints by address. Never iterated in hash order, so that outputs are deterministic.
#[derive(Debug, Default)]
struct Addresses {
    first: FxHashMap<SocketAddr, EndpointName>,
    /// The rare endpoints whose address was already in use.
    additional: BTreeSet<(SocketAddr, EndpointName)>,
}

impl Addresses {
    fn add(&mut self, address: SocketAddr, name: &EndpointName) {
        match self.first.get(&address) {
            None => _ = self.first.insert(address, name.clone()),
            Some(first) if first == name => {}
            Some(_) => _ = self.additional.insert((address, name.clone())),
        }
    }

    fn remove(&mut self, address: SocketAddr, name: &EndpointName) {
        if self.first.get(&address) != Some(name) {
            self.additional.remove(&(address, name.clone()));
            return;
        }
        let next = self.additional_at(address).next().cloned();
        match next {
            None => _ = self.first.remove(&address),
            Some(next) => {
                self.additional.remove(&(address, next.clone()));
                self.first.insert(address, next);
            }
        }
    }

    fn endpoints_at(&self, address: SocketAddr) -> impl Iterator<Item = &EndpointName> {
        self.first.get(&address).into_iter().chain(self.additional_at(address))
    }

    fn additional_at(&self, address: SocketAddr) -> impl Iterator<Item = &EndpointName> {
        // Names are not empty, so this key is less than the first one of the address.
        let from = (!self.additional.is_empty()).then(|| (address, EndpointName::from("")));
        let at = from.into_iter().flat_map(|from| self.additional.range(from..));
        at.map_while(move |(at, name)| (*at == address).then_some(name))
    }
}
