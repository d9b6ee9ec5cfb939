//! The state of discovery for one tier: the servers, the list's version, and the recent changes.
//!
//! It does no I/O and reads no clock; the caller passes the time.

use super::protocol::{Document, ServerEntry, State};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// The number of changes kept. Clients that are further behind get the full list.
const MAX_KEPT_CHANGES: usize = 512;

/// A server as known to discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct RegisteredServer {
    /// Its entry in the list. The address in it is not used.
    pub entry: ServerEntry,
    /// Its address for each zone.
    pub addresses: Vec<SocketAddr>,
}

/// The list of one tier's servers.
pub struct Registry {
    /// The delay until a change becomes visible, in nanoseconds.
    lag: u64,
    version: u64,
    /// All servers by name, including those that are gone, because changes refer to them.
    entries: BTreeMap<String, RegisteredServer>,
    changes: VecDeque<(u64, String)>,
    waiting: VecDeque<(u64, RegisteredServer)>,
    /// Whether changes are currently not applied.
    is_stale: bool,
}

impl Registry {
    /// Creates a list at version 1.
    pub fn new(lag: u64, entries: Vec<RegisteredServer>) -> Registry {
        let entries = entries.into_iter().map(|e| (e.entry.id.clone(), e)).collect();
        let (changes, waiting) = (VecDeque::new(), VecDeque::new());
        Registry { lag, version: 1, entries, changes, waiting, is_stale: false }
    }

    /// Reports a change of a server. It is applied after the lag.
    pub fn report(&mut self, now: u64, entry: RegisteredServer) {
        self.waiting.push_back((now + self.lag, entry));
    }

    /// Stops applying changes while `on` is set, so that the list becomes stale.
    pub fn set_stale(&mut self, on: bool) {
        self.is_stale = on;
    }

    /// Applies the changes that are due. Returns whether the list changed.
    pub fn advance(&mut self, now: u64) -> bool {
        let before = self.version;
        while !self.is_stale && self.waiting.front().is_some_and(|(due, _)| *due <= now) {
            let Some((_, entry)) = self.waiting.pop_front() else { break };
            self.version += 1;
            self.changes.push_back((self.version, entry.entry.id.clone()));
            self.entries.insert(entry.entry.id.clone(), entry);
            if self.changes.len() > MAX_KEPT_CHANGES {
                self.changes.pop_front();
            }
        }
        self.version > before
    }

    /// Returns when the next change is due.
    pub fn due(&self) -> Option<u64> {
        self.waiting.front().map(|(due, _)| *due).filter(|_| !self.is_stale)
    }

    /// Returns the version of the list.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the full list with the addresses for a zone.
    pub fn full(&self, zone: usize) -> Document {
        let there = self.entries.values().filter(|e| e.entry.state != State::Gone);
        Document {
            version: self.version,
            full: true,
            servers: there.map(|e| entry_for_zone(e, zone)).collect(),
        }
    }

    /// Returns the entries that changed after a version, each once, or `None` if nothing changed. Returns the
    /// full list if the version is too old or was never reached.
    pub fn after(&self, version: u64, zone: usize) -> Option<Document> {
        if version == self.version {
            return None;
        }
        let oldest = self.changes.front().map_or(self.version, |(v, _)| v - 1);
        if version > self.version || version < oldest {
            return Some(self.full(zone));
        }
        let changed: BTreeMap<&str, &RegisteredServer> = self
            .changes
            .iter()
            .filter(|(v, _)| *v > version)
            .filter_map(|(_, id)| Some((id.as_str(), self.entries.get(id)?)))
            .collect();
        let servers = changed.values().map(|e| entry_for_zone(e, zone)).collect();
        Some(Document { version: self.version, full: false, servers })
    }
}

fn entry_for_zone(entry: &RegisteredServer, zone: usize) -> ServerEntry {
    let addr = entry.addresses.get(zone).or(entry.addresses.first()).map(SocketAddr::to_string);
    ServerEntry { addr: addr.unwrap_or_default(), ..entry.entry.clone() }
}

/// A queue that answers discovery's calls one after another at a limited rate.
pub struct CallQueue {
    time_per_call: u64,
    max_wait: u64,
    free_at: u64,
}

impl CallQueue {
    /// Creates a queue that answers `per_s` calls per second. A call that would wait for longer than
    /// `max_wait` nanoseconds is rejected.
    pub fn new(per_s: f64, max_wait: u64) -> CallQueue {
        CallQueue { time_per_call: (1e9 / per_s.max(1e-3)) as u64, max_wait, free_at: 0 }
    }

    /// Returns when a call that arrives now is answered, or `None` if it is rejected.
    pub fn call(&mut self, now: u64) -> Option<u64> {
        let answered = self.free_at.max(now) + self.time_per_call;
        (answered - now <= self.max_wait).then(|| {
            self.free_at = answered;
            answered
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(id: &str, state: State) -> RegisteredServer {
        let entry = ServerEntry {
            id: id.into(),
            addr: String::new(),
            zone: "a".into(),
            kind: "k".into(),
            cell: 0,
            state,
            weight: 1.0,
            started_ms: 0,
        };
        let address = |n: u8| SocketAddr::from(([127, 0, 0, n], 80));
        RegisteredServer { entry, addresses: vec![address(1), address(2)] }
    }

    fn brief(document: &Document) -> (u64, bool, Vec<(&str, State)>) {
        let lines = document.servers.iter().map(|l| (l.id.as_str(), l.state)).collect();
        (document.version, document.full, lines)
    }

    #[test]
    fn changes_appear_after_the_lag_and_gone_servers_leave_the_full_list() {
        use State::*;
        let mut registry = Registry::new(10, vec![entry("a", Ready), entry("b", Ready)]);
        assert_eq!(registry.after(1, 0), None);
        registry.report(5, entry("a", Draining));
        registry.report(6, entry("a", Gone));
        registry.report(7, entry("c", Ready));
        assert_eq!(registry.due(), Some(15));
        assert!(!registry.advance(14));
        assert!(registry.advance(15));
        assert_eq!(brief(&registry.after(1, 0).unwrap()), (2, false, vec![("a", Draining)]));
        assert!(registry.advance(20));
        assert_eq!(brief(&registry.after(1, 0).unwrap()), (4, false, vec![("a", Gone), ("c", Ready)]));
        assert_eq!(brief(&registry.after(3, 0).unwrap()), (4, false, vec![("c", Ready)]));
        assert_eq!(brief(&registry.full(0)), (4, true, vec![("b", Ready), ("c", Ready)]));
        assert_eq!(registry.full(1).servers[0].addr, "127.0.0.2:80");
    }

    #[test]
    fn full_list_is_returned_for_a_version_too_old_or_never_reached() {
        let mut registry = Registry::new(0, vec![entry("a", State::Ready)]);
        for now in 0..=MAX_KEPT_CHANGES as u64 {
            registry.report(now, entry("a", State::Ready));
            registry.advance(now);
        }
        let newest = registry.version();
        assert!(registry.after(newest + 1, 0).unwrap().full);
        assert!(registry.after(1, 0).unwrap().full);
        assert!(!registry.after(newest - MAX_KEPT_CHANGES as u64, 0).unwrap().full);
        assert!(registry.after(newest - MAX_KEPT_CHANGES as u64 - 1, 0).unwrap().full);
    }

    #[test]
    fn stale_list_does_not_change() {
        let mut registry = Registry::new(1, vec![]);
        registry.set_stale(true);
        registry.report(0, entry("a", State::Ready));
        assert_eq!((registry.advance(100), registry.due()), (false, None));
        registry.set_stale(false);
        assert_eq!((registry.advance(100), registry.version()), (true, 2));
    }

    #[test]
    fn calls_are_answered_in_order_or_rejected() {
        let mut call_queue = CallQueue::new(100.0, 25_000_000);
        assert_eq!(call_queue.call(0), Some(10_000_000));
        assert_eq!(call_queue.call(0), Some(20_000_000));
        assert_eq!(call_queue.call(0), None);
        assert_eq!(call_queue.call(5_000_000), Some(30_000_000));
        assert_eq!(call_queue.call(90_000_000), Some(100_000_000));
    }
}
