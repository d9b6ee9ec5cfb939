//! The resources with a time to live: since when, and for how long. The session ends them (`expiry`).

use super::pacing::nanos;
use super::timers::{Timer, Timers};
use crate::xds::resource::Kind;
use olivecart_decisions::Nanos;
use std::collections::BTreeMap;
use std::time::Duration;

/// The resources that have a time to live. It runs only while a stream stands.
#[derive(Debug, Default)]
pub(super) struct Leases(BTreeMap<(Kind, String), Lease>);

#[derive(Debug)]
pub(super) struct Lease {
    pub ttl: Nanos,
    pub since: Nanos,
}

impl Leases {
    /// A resource was told or renewed; without a time to live it stays for good.
    pub fn renew(&mut self, kind: Kind, name: &str, ttl: Option<Duration>, now: Nanos, timers: &mut Timers) {
        let Some(ttl) = ttl.map(nanos) else { return self.end(kind, name, timers) };
        self.0.insert((kind, name.to_owned()), Lease { ttl, since: now });
        timers.set(Timer::Expire(kind, name.to_owned()), now.saturating_add(ttl));
    }

    pub fn end(&mut self, kind: Kind, name: &str, timers: &mut Timers) {
        if self.0.is_empty() {
            return;
        }
        if let Some((key, _)) = self.0.remove_entry(&(kind, name.to_owned())) {
            timers.clear(&Timer::Expire(key.0, key.1));
        }
    }

    pub fn get_mut(&mut self, kind: Kind, name: &str) -> Option<&mut Lease> {
        self.0.get_mut(&(kind, name.to_owned()))
    }

    /// The time to live of a resource is over.
    pub fn remove(&mut self, kind: Kind, name: &str) {
        self.0.remove(&(kind, name.to_owned()));
    }

    pub fn pause(&mut self, timers: &mut Timers) {
        for (kind, name) in self.0.keys() {
            timers.clear(&Timer::Expire(*kind, name.clone()));
        }
    }

    pub fn resume(&mut self, now: Nanos, timers: &mut Timers) {
        for ((kind, name), lease) in &mut self.0 {
            lease.since = now;
            timers.set(Timer::Expire(*kind, name.clone()), now.saturating_add(lease.ttl));
        }
    }
}
