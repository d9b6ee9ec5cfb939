//! Endpoints out by hand: a layer between the list, wherever it comes from, and the decisions.
//!
//! One that is out counts as draining, whatever the list says of it. One that was put back counts as started at that
//! moment, since operators restart what they take out; or when the list says, if that is later. The decisions learn of
//! either as of any change of the list. No I/O and no clock here.

use crate::stats::Pool;
use olivecart_decisions::{EndpointEntry, EndpointId, EndpointState, Nanos};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

/// Most endpoints that are out, or remembered as put back. Each was in the list when it was taken out, and those of
/// long ago that nobody lists any more go first.
const MOST: usize = 4096;

/// An endpoint as the list describes it, and where it is.
pub type Place = (EndpointEntry, Option<SocketAddr>);

/// What the list says, and what operators said over it.
#[derive(Default)]
pub struct Overlay {
    /// What is listed and not gone.
    listed: BTreeMap<Rc<str>, Place>,
    out: BTreeSet<Rc<str>>,
    /// When those were put back that had been out.
    back: BTreeMap<Rc<str>, Nanos>,
}

/// No list names the endpoint, and it is not out.
#[derive(Debug, PartialEq, Eq)]
pub struct Unknown;

impl Overlay {
    /// A whole list follows: what it does not name is gone.
    pub fn whole_list_follows(&mut self) {
        self.listed.clear();
    }

    /// Takes in what the list says of an endpoint, and says what holds.
    pub fn pass(&mut self, entry: EndpointEntry, addr: Option<SocketAddr>) -> EndpointEntry {
        if entry.state == EndpointState::Removed {
            self.listed.remove(&entry.name);
        } else {
            self.listed.insert(entry.name.clone(), (entry.clone(), addr));
        }
        self.amended(entry)
    }

    /// Leaves an endpoint out. What holds of it now, if that is something else than before.
    ///
    /// # Errors
    /// Nobody has that name.
    pub fn detach(&mut self, name: &str) -> Result<Option<Place>, Unknown> {
        if self.out.contains(name) {
            return Ok(None);
        }
        let (name, place) = self.listed.get_key_value(name).ok_or(Unknown)?;
        let (name, (entry, addr)) = (name.clone(), place.clone());
        self.back.remove(&name);
        self.out.insert(name);
        self.bound();
        Ok(Some((self.amended(entry), addr)))
    }

    /// Leaves out an endpoint that another process lists, and this one not yet.
    pub fn detach_ahead(&mut self, name: &str) {
        self.back.remove(name);
        self.out.insert(name.into());
        self.bound();
    }

    /// Puts an endpoint back. What holds of it now, if that is something else than before; also where no list names
    /// it for now, so that it comes back cold when one does.
    ///
    /// # Errors
    /// Nobody has that name.
    pub fn attach(&mut self, name: &str, now: Nanos) -> Result<Option<Place>, Unknown> {
        if !self.out.remove(name) {
            return if self.listed.contains_key(name) { Ok(None) } else { Err(Unknown) };
        }
        self.back.insert(name.into(), now);
        self.bound();
        let place = self.listed.get(name).cloned();
        Ok(place.map(|(entry, addr)| (self.amended(entry), addr)))
    }

    /// The list's size, and how many of it are avoided: by hand, by the list's own word, or by the decisions.
    pub fn pool(&self, avoids: impl Fn(EndpointId) -> bool) -> Pool {
        let avoided = |(entry, _): &&Place| {
            entry.state != EndpointState::Ready || self.out.contains(&entry.name) || avoids(entry.id)
        };
        Pool { size: self.listed.len(), ejected: self.listed.values().filter(avoided).count() }
    }

    /// Whether whatever could take requests is out by hand.
    pub fn leaves_none(&self) -> bool {
        let mut ready =
            self.listed.values().filter(|(entry, _)| entry.state == EndpointState::Ready).peekable();
        ready.peek().is_some() && ready.all(|(entry, _)| self.out.contains(&entry.name))
    }

    /// Whether the list names an endpoint.
    pub fn is_listed(&self, name: &str) -> bool {
        self.listed.contains_key(name)
    }

    /// What is listed, by name.
    pub fn listed(&self) -> impl Iterator<Item = &Place> {
        self.listed.values()
    }

    /// Who is out, and who was put back when.
    pub fn by_hand(&self) -> (impl Iterator<Item = &Rc<str>>, &BTreeMap<Rc<str>, Nanos>) {
        (self.out.iter(), &self.back)
    }

    /// What another process said over the list, before anything is listed here.
    pub fn restored(out: &BTreeSet<String>, back: &BTreeMap<String, Nanos>) -> Overlay {
        Overlay {
            listed: BTreeMap::new(),
            out: out.iter().map(|name| name.as_str().into()).collect(),
            back: back.iter().map(|(name, at)| (name.as_str().into(), *at)).collect(),
        }
    }

    fn amended(&self, mut entry: EndpointEntry) -> EndpointEntry {
        if entry.state == EndpointState::Ready && self.out.contains(&entry.name) {
            entry.state = EndpointState::Draining;
        }
        // Danger: each list says anew when it started, and an older time would make it a warm one again.
        entry.started = entry.started.max(self.back.get(&entry.name).copied());
        entry
    }

    fn bound(&mut self) {
        let listed = &self.listed;
        if self.out.len() > MOST {
            self.out.retain(|name| listed.contains_key(name));
        }
        if self.back.len() > MOST {
            self.back.retain(|name, _| listed.contains_key(name));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(name: &str, state: EndpointState, started: Option<Nanos>) -> EndpointEntry {
        EndpointEntry { state, started, ..EndpointEntry::ready(EndpointId(0), name) }
    }

    #[test]
    fn whatever_lists_say_one_that_is_out_drains_until_it_is_put_back_and_is_cold_then() {
        let mut overlay = Overlay::default();
        overlay.pass(entry("a", EndpointState::Ready, Some(5)), None);
        assert!(matches!(overlay.detach("b"), Err(Unknown)));
        let (out, _) = overlay.detach("a").expect("known").expect("a change");
        assert_eq!(out.state, EndpointState::Draining);
        assert!(matches!(overlay.detach("a"), Ok(None)), "once more changes nothing");
        overlay.whole_list_follows();
        let says = |overlay: &mut Overlay, state, started| {
            let entry = overlay.pass(entry("a", state, started), None);
            (entry.state, entry.started)
        };
        assert_eq!(says(&mut overlay, EndpointState::Ready, Some(7)).0, EndpointState::Draining, "restarted");
        assert_eq!(says(&mut overlay, EndpointState::Removed, None).0, EndpointState::Removed);
        assert!(matches!(overlay.attach("a", 100), Ok(None)), "not listed, and yet it may be put back");
        assert!(matches!(overlay.attach("a", 200), Err(Unknown)), "it is back, and nobody lists it");
        assert_eq!(says(&mut overlay, EndpointState::Ready, Some(9)), (EndpointState::Ready, Some(100)));
        assert!(matches!(overlay.attach("a", 200), Ok(None)), "one call back is enough, and no second start");
        assert_eq!(
            says(&mut overlay, EndpointState::Ready, Some(300)),
            (EndpointState::Ready, Some(300)),
            "a later start"
        );
        assert_eq!(says(&mut overlay, EndpointState::Draining, None), (EndpointState::Draining, Some(100)));
    }

    #[test]
    fn the_pool_is_what_is_listed_and_avoided_is_who_is_out_for_any_reason() {
        let mut overlay = Overlay::default();
        for (id, name, state) in [
            (0, "a", EndpointState::Ready),
            (1, "b", EndpointState::Ready),
            (2, "c", EndpointState::Draining),
            (3, "d", EndpointState::Removed),
        ] {
            overlay.pass(EndpointEntry { state, ..EndpointEntry::ready(EndpointId(id), name) }, None);
        }
        assert_eq!(overlay.pool(|_| false), Pool { size: 3, ejected: 1 });
        overlay.detach("a").expect("known");
        assert_eq!(overlay.pool(|id| id == EndpointId(1)), Pool { size: 3, ejected: 3 });
        assert!(!overlay.leaves_none(), "b is marked down, and may come back by itself");
        overlay.detach("b").expect("known");
        assert!(overlay.leaves_none() && !Overlay::default().leaves_none());
    }
}
