//! Endpoints that operators detached or attached: a layer between the list, wherever it comes from, and the decisions.
//!
//! Each cluster runtime owns one and passes every entry of its list through it. A detached endpoint counts as draining,
//! whatever the list says. One that was attached again counts as started at that moment, since operators restart what
//! they detach; or when the list says, if that is later. No I/O and no clock here.

use crate::stats::Pool;
use olivecart_decisions::{EndpointEntry, EndpointId, EndpointState, Nanos};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

/// Most endpoints that are detached, or remembered as attached. Each was in the list when it was detached, and those that
/// nobody lists any more go first.
const MOST_OVERRIDES: usize = 4096;

/// An endpoint as the list describes it, and its address.
pub type AddressedEntry = (EndpointEntry, Option<SocketAddr>);

/// The list, and what operators changed of it.
#[derive(Default)]
pub struct AdminOverrides {
    /// What is listed and not gone.
    listed: BTreeMap<Rc<str>, AddressedEntry>,
    detached: BTreeSet<Rc<str>>,
    /// When those were attached that had been detached.
    attached_at: BTreeMap<Rc<str>, Nanos>,
}

/// No list names the endpoint, and it is not detached.
#[derive(Debug, PartialEq, Eq)]
pub struct UnknownEndpoint;

impl AdminOverrides {
    /// A whole list follows: what it does not name is gone.
    pub fn begin_snapshot(&mut self) {
        self.listed.clear();
    }

    /// Takes in an entry of the list, and returns the one that holds.
    pub fn apply(&mut self, entry: EndpointEntry, addr: Option<SocketAddr>) -> EndpointEntry {
        if entry.state == EndpointState::Removed {
            self.listed.remove(&entry.name);
        } else {
            self.listed.insert(entry.name.clone(), (entry.clone(), addr));
        }
        self.overridden(entry)
    }

    /// Detaches an endpoint. Returns what holds of it now, if that has changed.
    ///
    /// # Errors
    /// No endpoint has that name.
    pub fn detach(&mut self, name: &str) -> Result<Option<AddressedEntry>, UnknownEndpoint> {
        if self.detached.contains(name) {
            return Ok(None);
        }
        let (name, listed) = self.listed.get_key_value(name).ok_or(UnknownEndpoint)?;
        let name = name.clone();
        let (entry, addr) = listed.clone();
        self.attached_at.remove(&name);
        self.detached.insert(name);
        self.evict_unlisted();
        Ok(Some((self.overridden(entry), addr)))
    }

    /// Detaches an endpoint that another process lists, and this one not yet.
    pub fn detach_unlisted(&mut self, name: &str) {
        self.attached_at.remove(name);
        self.detached.insert(name.into());
        self.evict_unlisted();
    }

    /// Attaches an endpoint. Returns what holds of it now, if that has changed; also where no list names it for now, so
    /// that it is in slow start when one does.
    ///
    /// # Errors
    /// No endpoint has that name.
    pub fn attach(&mut self, name: &str, now: Nanos) -> Result<Option<AddressedEntry>, UnknownEndpoint> {
        if !self.detached.remove(name) {
            return if self.listed.contains_key(name) { Ok(None) } else { Err(UnknownEndpoint) };
        }
        self.attached_at.insert(name.into(), now);
        self.evict_unlisted();
        let listed = self.listed.get(name).cloned();
        Ok(listed.map(|(entry, addr)| (self.overridden(entry), addr)))
    }

    /// The list's size, and how many of it take no requests: by an operator, by the list, or by the decisions.
    pub fn pool(&self, avoids: impl Fn(EndpointId) -> bool) -> Pool {
        let avoided = |(entry, _): &&AddressedEntry| {
            entry.state != EndpointState::Ready || self.detached.contains(&entry.name) || avoids(entry.id)
        };
        Pool { size: self.listed.len(), ejected: self.listed.values().filter(avoided).count() }
    }

    /// Whether all endpoints that could take requests are detached.
    pub fn detaches_all_ready(&self) -> bool {
        let mut ready =
            self.listed.values().filter(|(entry, _)| entry.state == EndpointState::Ready).peekable();
        ready.peek().is_some() && ready.all(|(entry, _)| self.detached.contains(&entry.name))
    }

    /// Whether the list names an endpoint.
    pub fn is_listed(&self, name: &str) -> bool {
        self.listed.contains_key(name)
    }

    /// What is listed, by name.
    pub fn listed(&self) -> impl Iterator<Item = &AddressedEntry> {
        self.listed.values()
    }

    /// Those that are detached, and when others were attached.
    pub fn overrides(&self) -> (impl Iterator<Item = &Rc<str>>, &BTreeMap<Rc<str>, Nanos>) {
        (self.detached.iter(), &self.attached_at)
    }

    /// The overrides of another process, before anything is listed here.
    pub fn restored(detached: &BTreeSet<String>, attached_at: &BTreeMap<String, Nanos>) -> AdminOverrides {
        AdminOverrides {
            listed: BTreeMap::new(),
            detached: detached.iter().map(|name| name.as_str().into()).collect(),
            attached_at: attached_at.iter().map(|(name, at)| (name.as_str().into(), *at)).collect(),
        }
    }

    fn overridden(&self, mut entry: EndpointEntry) -> EndpointEntry {
        if entry.state == EndpointState::Ready && self.detached.contains(&entry.name) {
            entry.state = EndpointState::Draining;
        }
        // Danger: each list says anew when it started, and an older time would end its slow start.
        entry.started = entry.started.max(self.attached_at.get(&entry.name).copied());
        entry
    }

    fn evict_unlisted(&mut self) {
        let listed = &self.listed;
        if self.detached.len() > MOST_OVERRIDES {
            self.detached.retain(|name| listed.contains_key(name));
        }
        if self.attached_at.len() > MOST_OVERRIDES {
            self.attached_at.retain(|name, _| listed.contains_key(name));
        }
    }
}

#[cfg(test)]
mod tests;
