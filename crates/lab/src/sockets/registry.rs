//! What discovery knows: the list of a tier's servers, its versions, and what changed since each.
//!
//! It knows nothing of sockets or clocks; whoever serves it asks and says what time it is.

use super::protocol::{Document, Line, State};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Changes that are remembered; who is farther behind gets the whole list.
const REMEMBERED: usize = 512;

/// One server as discovery knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its line. The address in it is not used.
    pub line: Line,
    /// Where it is, as seen from each zone.
    pub doors: Vec<SocketAddr>,
}

/// The list of one tier.
pub struct Registry {
    /// It hears of a change this long afterwards, in nanoseconds.
    lag: u64,
    version: u64,
    /// Those that are gone included: changes name them.
    entries: BTreeMap<String, Entry>,
    changes: VecDeque<(u64, String)>,
    waiting: VecDeque<(u64, Entry)>,
    /// It hears nothing at present.
    deaf: bool,
}

impl Registry {
    /// A list that all know, at version 1.
    pub fn new(lag: u64, entries: Vec<Entry>) -> Registry {
        let entries = entries.into_iter().map(|e| (e.line.id.clone(), e)).collect();
        let (changes, waiting) = (VecDeque::new(), VecDeque::new());
        Registry { lag, version: 1, entries, changes, waiting, deaf: false }
    }

    /// Something changed; it is in the list once the lag has passed.
    pub fn report(&mut self, now: u64, entry: Entry) {
        self.waiting.push_back((now + self.lag, entry));
    }

    /// It hears nothing from now on, or hears again.
    pub fn deaf(&mut self, on: bool) {
        self.deaf = on;
    }

    /// Takes in what it has heard of by now. True: the list changed.
    pub fn advance(&mut self, now: u64) -> bool {
        let before = self.version;
        while !self.deaf && self.waiting.front().is_some_and(|(due, _)| *due <= now) {
            let Some((_, entry)) = self.waiting.pop_front() else { break };
            self.version += 1;
            self.changes.push_back((self.version, entry.line.id.clone()));
            self.entries.insert(entry.line.id.clone(), entry);
            if self.changes.len() > REMEMBERED {
                self.changes.pop_front();
            }
        }
        self.version > before
    }

    /// When it next hears of something.
    pub fn due(&self) -> Option<u64> {
        self.waiting.front().map(|(due, _)| *due).filter(|_| !self.deaf)
    }

    /// The list's version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The whole list, as seen from a zone.
    pub fn full(&self, zone: usize) -> Document {
        let there = self.entries.values().filter(|e| e.line.state != State::Gone);
        Document { version: self.version, full: true, servers: there.map(|e| seen(e, zone)).collect() }
    }

    /// What changed after a version: the entries, each once; the whole list for who is too far behind, or at
    /// a version that never was. None: nothing changed.
    pub fn after(&self, version: u64, zone: usize) -> Option<Document> {
        if version == self.version {
            return None;
        }
        let oldest = self.changes.front().map_or(self.version, |(v, _)| v - 1);
        if version > self.version || version < oldest {
            return Some(self.full(zone));
        }
        let changed: BTreeMap<&str, &Entry> = self
            .changes
            .iter()
            .filter(|(v, _)| *v > version)
            .filter_map(|(_, id)| Some((id.as_str(), self.entries.get(id)?)))
            .collect();
        let servers = changed.values().map(|e| seen(e, zone)).collect();
        Some(Document { version: self.version, full: false, servers })
    }
}

fn seen(entry: &Entry, zone: usize) -> Line {
    let addr = entry.doors.get(zone).or(entry.doors.first()).map(SocketAddr::to_string);
    Line { addr: addr.unwrap_or_default(), ..entry.line.clone() }
}

/// The one who answers discovery's calls, one after another.
pub struct Desk {
    each: u64,
    patience: u64,
    free: u64,
}

impl Desk {
    /// `per_s` calls a second; one that would wait for longer than `patience` (nanoseconds) is turned away.
    pub fn new(per_s: f64, patience: u64) -> Desk {
        Desk { each: (1e9 / per_s.max(1e-3)) as u64, patience, free: 0 }
    }

    /// When a call that comes now is answered; none: it is turned away.
    pub fn call(&mut self, now: u64) -> Option<u64> {
        let answered = self.free.max(now) + self.each;
        (answered - now <= self.patience).then(|| {
            self.free = answered;
            answered
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(id: &str, state: State) -> Entry {
        let line = Line {
            id: id.into(),
            addr: String::new(),
            zone: "a".into(),
            kind: "k".into(),
            cell: 0,
            state,
            weight: 1.0,
            started_ms: 0,
        };
        let door = |n: u8| SocketAddr::from(([127, 0, 0, n], 80));
        Entry { line, doors: vec![door(1), door(2)] }
    }

    fn brief(document: &Document) -> (u64, bool, Vec<(&str, State)>) {
        let lines = document.servers.iter().map(|l| (l.id.as_str(), l.state)).collect();
        (document.version, document.full, lines)
    }

    #[test]
    fn changes_are_told_after_the_lag_each_once_and_gone_ones_leave_the_whole_list() {
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
    fn who_is_too_far_behind_or_ahead_gets_the_whole_list() {
        let mut registry = Registry::new(0, vec![entry("a", State::Ready)]);
        for now in 0..=REMEMBERED as u64 {
            registry.report(now, entry("a", State::Ready));
            registry.advance(now);
        }
        let newest = registry.version();
        assert!(registry.after(newest + 1, 0).unwrap().full);
        assert!(registry.after(1, 0).unwrap().full);
        assert!(!registry.after(newest - REMEMBERED as u64, 0).unwrap().full);
        assert!(registry.after(newest - REMEMBERED as u64 - 1, 0).unwrap().full);
    }

    #[test]
    fn while_it_is_deaf_the_list_stays_old() {
        let mut registry = Registry::new(1, vec![]);
        registry.deaf(true);
        registry.report(0, entry("a", State::Ready));
        assert_eq!((registry.advance(100), registry.due()), (false, None));
        registry.deaf(false);
        assert_eq!((registry.advance(100), registry.version()), (true, 2));
    }

    #[test]
    fn calls_are_answered_one_after_another_or_turned_away() {
        let mut desk = Desk::new(100.0, 25_000_000);
        assert_eq!(desk.call(0), Some(10_000_000));
        assert_eq!(desk.call(0), Some(20_000_000));
        assert_eq!(desk.call(0), None);
        assert_eq!(desk.call(5_000_000), Some(30_000_000));
        assert_eq!(desk.call(90_000_000), Some(100_000_000));
    }
}
