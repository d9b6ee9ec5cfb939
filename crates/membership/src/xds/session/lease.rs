//! Leases of the resources with a time to live. The session ends them (`expiry`).

use super::pacing::to_nanos;
use super::timers::{Timer, Timers};
use crate::xds::resource::Kind;
use olivecart_decisions::Nanos;
use std::collections::BTreeMap;
use std::time::Duration;

/// The leases of the resources with a time to live, which counts only while a stream is open.
#[derive(Debug, Default)]
pub(super) struct Leases(BTreeMap<(Kind, String), Lease>);

#[derive(Debug)]
pub(super) struct Lease {
    pub ttl: Nanos,
    pub renewed_at: Nanos,
}

impl Leases {
    /// Starts or renews the lease of a resource. A resource without a time to live does not expire.
    pub fn renew(&mut self, kind: Kind, name: &str, ttl: Option<Duration>, now: Nanos, timers: &mut Timers) {
        let Some(ttl) = ttl.map(to_nanos) else { return self.cancel(kind, name, timers) };
        self.0.insert((kind, name.to_owned()), Lease { ttl, renewed_at: now });
        timers.set(Timer::Expire(kind, name.to_owned()), now.saturating_add(ttl));
    }

    pub fn cancel(&mut self, kind: Kind, name: &str, timers: &mut Timers) {
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

    /// Removes the lease of a resource whose timer has fired.
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
            lease.renewed_at = now;
            timers.set(Timer::Expire(*kind, name.clone()), now.saturating_add(lease.ttl));
        }
    }
}
