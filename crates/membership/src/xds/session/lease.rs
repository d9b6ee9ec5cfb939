//! Resources with a time to live.

use super::pace::nanos;
use super::timers::{Timer, Timers};
use super::world::Telling;
use super::{Output, Session, SessionNotice};
use crate::event::Silence;
use crate::names::Version;
use crate::xds::resource::Kind;
use olivecart_decisions::Nanos;
use std::collections::BTreeMap;
use std::time::Duration;

/// The resources that have a time to live. It runs only while a stream stands.
#[derive(Debug, Default)]
pub(super) struct Leases(BTreeMap<(Kind, String), Lease>);

#[derive(Debug)]
struct Lease {
    ttl: Nanos,
    since: Nanos,
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

impl Session {
    /// A time to live is over. If nothing at all has come in its second half, that is silence: then the
    /// resource gets as much time again, and its clusters age.
    ///
    /// Danger: a control plane that hangs would otherwise remove all its clusters from all proxies at once.
    pub(super) fn expire(&mut self, kind: Kind, name: String, out: &mut Vec<Output>) {
        let Some(lease) = self.leases.0.get_mut(&(kind, name.clone())) else { return };
        if self.heard <= lease.since.saturating_add(lease.ttl / 2) {
            lease.since = self.now;
            let next = self.now.saturating_add(lease.ttl);
            self.timers.set(Timer::Expire(kind, name.clone()), next);
            if !self.is_silent {
                out.push(Output::Log(SessionNotice::Quiet { name }));
                self.silent(Silence::Quiet, out);
            }
            return;
        }
        self.leases.0.remove(&(kind, name.clone()));
        let version = Version::new(self.channel(kind).version.as_str());
        let mut tell = Telling::default();
        match kind {
            Kind::Cluster => self.world.remove(&name.as_str().into(), &mut tell),
            Kind::Assignment => self.world.withdraw(self.now, &name, &version, &mut tell),
        }
        out.push(Output::Log(SessionNotice::Expired { kind, name: name.clone() }));
        self.tell(tell, out);
        // What has expired is not held any more, so that another stream must tell it anew.
        self.channel(kind).forget(&name);
        self.subscribe(out);
    }
}
