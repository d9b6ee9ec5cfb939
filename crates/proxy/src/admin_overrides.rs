//! Endpoints that operators detached or attached. Overrides the endpoint list, from any source, before it
//! reaches the decision module.
//!
//! Each cluster runtime owns one [`AdminOverrides`] and passes every entry of its list through it. A detached
//! endpoint counts as draining, whatever its listed state is. An endpoint that was attached again counts as
//! started at that time, since operators restart the endpoints that they detach, or at its listed start time,
//! if that is later. This module does no I/O and reads no clock.

use crate::stats::Pool;
use olivecart_decisions::{EndpointEntry, EndpointId, EndpointState, Nanos};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

/// Above this number of detached endpoints, or of remembered attach times, those of endpoints that are no
/// longer listed are evicted. Every endpoint was in the list when it was detached.
const MAX_OVERRIDES: usize = 4096;

/// An endpoint as listed, and its address.
pub type AddressedEntry = (EndpointEntry, Option<SocketAddr>);

/// The endpoint list of a cluster and the operators' changes to it.
#[derive(Default)]
pub struct AdminOverrides {
    /// The listed endpoints, without removed ones.
    listed: BTreeMap<Rc<str>, AddressedEntry>,
    detached: BTreeSet<Rc<str>>,
    /// The times at which detached endpoints were attached again.
    attached_at: BTreeMap<Rc<str>, Nanos>,
}

/// The endpoint is neither listed nor detached.
#[derive(Debug, PartialEq, Eq)]
pub struct UnknownEndpoint;

impl AdminOverrides {
    /// Clears the list before a complete list is applied.
    pub fn begin_snapshot(&mut self) {
        self.listed.clear();
    }

    /// Applies an entry of the list. Returns it with the operators' changes.
    pub fn apply(&mut self, entry: EndpointEntry, addr: Option<SocketAddr>) -> EndpointEntry {
        if entry.state == EndpointState::Removed {
            self.listed.remove(&entry.name);
        } else {
            self.listed.insert(entry.name.clone(), (entry.clone(), addr));
        }
        self.apply_override(entry)
    }

    /// Detaches an endpoint. Returns its changed entry, or `None` if it was detached already.
    ///
    /// # Errors
    /// Returns an error if the endpoint is not listed.
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
        Ok(Some((self.apply_override(entry), addr)))
    }

    /// Detaches an endpoint that another process has in its list, and this process does not yet have.
    pub fn detach_unlisted(&mut self, name: &str) {
        self.attached_at.remove(name);
        self.detached.insert(name.into());
        self.evict_unlisted();
    }

    /// Attaches an endpoint. Returns its changed entry, or `None` if it was not detached or is not listed at
    /// present. An endpoint that is not listed is in slow start when it is listed again.
    ///
    /// # Errors
    /// Returns an error if the endpoint is neither detached nor listed.
    pub fn attach(&mut self, name: &str, now: Nanos) -> Result<Option<AddressedEntry>, UnknownEndpoint> {
        if !self.detached.remove(name) {
            return if self.listed.contains_key(name) { Ok(None) } else { Err(UnknownEndpoint) };
        }
        self.attached_at.insert(name.into(), now);
        self.evict_unlisted();
        let listed = self.listed.get(name).cloned();
        Ok(listed.map(|(entry, addr)| (self.apply_override(entry), addr)))
    }

    /// Returns the number of listed endpoints, and of those that get no requests since an operator, the list
    /// or the decision module excludes them.
    pub fn pool(&self, is_avoided: impl Fn(EndpointId) -> bool) -> Pool {
        let excluded = |(entry, _): &&AddressedEntry| {
            entry.state != EndpointState::Ready || self.detached.contains(&entry.name) || is_avoided(entry.id)
        };
        Pool { size: self.listed.len(), ejected: self.listed.values().filter(excluded).count() }
    }

    /// Whether there are ready endpoints and all of them are detached.
    pub fn detaches_all_ready(&self) -> bool {
        let mut ready =
            self.listed.values().filter(|(entry, _)| entry.state == EndpointState::Ready).peekable();
        ready.peek().is_some() && ready.all(|(entry, _)| self.detached.contains(&entry.name))
    }

    /// Whether the endpoint is listed.
    pub fn is_listed(&self, name: &str) -> bool {
        self.listed.contains_key(name)
    }

    /// Returns the listed endpoints in the order of their names.
    pub fn listed(&self) -> impl Iterator<Item = &AddressedEntry> {
        self.listed.values()
    }

    /// Returns the detached endpoints, and the attach times of endpoints that were detached earlier.
    pub fn overrides(&self) -> (impl Iterator<Item = &Rc<str>>, &BTreeMap<Rc<str>, Nanos>) {
        (self.detached.iter(), &self.attached_at)
    }

    /// Restores the overrides that a predecessor handed over. The list is empty.
    pub fn restored(detached: &BTreeSet<String>, attached_at: &BTreeMap<String, Nanos>) -> AdminOverrides {
        AdminOverrides {
            listed: BTreeMap::new(),
            detached: detached.iter().map(|name| name.as_str().into()).collect(),
            attached_at: attached_at.iter().map(|(name, at)| (name.as_str().into(), *at)).collect(),
        }
    }

    fn apply_override(&self, mut entry: EndpointEntry) -> EndpointEntry {
        if entry.state == EndpointState::Ready && self.detached.contains(&entry.name) {
            entry.state = EndpointState::Draining;
        }
        // Each list repeats the listed start time, which is older and would end the slow start too early.
        entry.started = entry.started.max(self.attached_at.get(&entry.name).copied());
        entry
    }

    fn evict_unlisted(&mut self) {
        let listed = &self.listed;
        if self.detached.len() > MAX_OVERRIDES {
            self.detached.retain(|name| listed.contains_key(name));
        }
        if self.attached_at.len() > MAX_OVERRIDES {
            self.attached_at.retain(|name, _| listed.contains_key(name));
        }
    }
}

#[cfg(test)]
mod tests;
