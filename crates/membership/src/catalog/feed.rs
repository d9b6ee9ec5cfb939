//! What one source says of one cluster: what has been accepted of it, and what is held back.

use super::Rank;
use super::check::Fault;
use super::cluster::{Turn, Work};
use super::items::{Item, Items};
use super::listing::Listing;
use crate::anomaly::Anomaly;
use crate::endpoint::{ClusterSettings, Endpoint, State};
use crate::invalid::Invalid;
use crate::names::{EndpointName, Version};
use crate::policy::Policy;
use crate::rejection::Rejection;
use olivecart_decisions::Nanos;
use std::collections::BTreeMap;
use std::sync::Arc;

/// What one source says of one cluster.
#[derive(Debug, Default)]
pub(super) struct Feed {
    /// The last good content.
    pub good: Option<Good>,
    pub hold: Option<Hold>,
    /// The cluster was missing from its list of all clusters.
    pub missing: Option<Missing>,
    /// When the source last spoke of this cluster.
    pub heard: Nanos,
    pub refusal: Option<(Nanos, Rejection)>,
    /// The suspicions that were last put out.
    pub told: Vec<Anomaly>,
    /// When the catalog has asked to be woken for it.
    pub alarm: Option<Nanos>,
}

/// Content that was accepted.
#[derive(Debug)]
pub(super) struct Good {
    pub listing: Listing,
    pub settings: ClusterSettings,
    pub version: Version,
}

/// A change that is held back. The items are what is held and no more, so that a hold costs as much memory as
/// the difference.
#[derive(Debug)]
pub(super) struct Hold {
    pub items: Items,
    /// The items are a whole list: they pass together, with these limits.
    pub whole: Option<ClusterSettings>,
    pub version: Version,
    pub anomalies: Vec<Anomaly>,
    pub since: Nanos,
    /// When its source is to be asked again; before, no repetition confirms.
    pub due: Nanos,
    /// For a first list: whose listing it would displace.
    pub against: Option<Rank>,
    /// Made by the event at hand: no need to look at it again.
    pub fresh: bool,
}

/// A cluster that is missing from the list of all clusters.
#[derive(Clone, Debug)]
pub(super) struct Missing {
    pub anomaly: Anomaly,
    pub since: Nanos,
    pub due: Nanos,
}

impl Hold {
    pub fn needs_explicit_confirmation(&self) -> bool {
        self.anomalies.iter().any(Anomaly::needs_explicit_confirmation)
    }
}

impl Feed {
    pub fn own(&self) -> Option<&Listing> {
        self.good.as_ref().map(|good| &good.listing)
    }

    /// Whether it says anything: neither accepted nor held nor refused content.
    pub fn is_vacant(&self) -> bool {
        self.good.is_none() && self.hold.is_none() && self.refusal.is_none()
    }

    /// When its source is next to be asked again.
    pub fn due(&self) -> Option<Nanos> {
        let hold = self.hold.as_ref().map(|hold| hold.due);
        hold.into_iter().chain(self.missing.as_ref().map(|missing| missing.due)).min()
    }

    /// Puts off what was due until the next time to ask.
    pub fn ask_later(&mut self, now: Nanos, policy: &Policy) {
        let next = now.saturating_add(policy.asking().as_nanos() as Nanos);
        let dues =
            self.hold.iter_mut().map(|h| &mut h.due).chain(self.missing.iter_mut().map(|m| &mut m.due));
        dues.filter(|due| **due <= now).for_each(|due| *due = next);
    }

    /// One part of a change that is said now. A claim that is held keeps its time, as long as it stays the
    /// same in what can be doubted: that the endpoint leaves, or where it is.
    fn item(
        &self,
        name: EndpointName,
        old: Option<&Arc<Endpoint>>,
        new: Option<Endpoint>,
        now: Nanos,
    ) -> Item {
        let held = self.hold.as_ref().and_then(|hold| hold.items.get(&name));
        let same =
            held.filter(|item| item.new.as_ref().map(|e| e.address) == new.as_ref().map(|e| e.address));
        let since = same.map_or(now, |item| item.since);
        let is_caution = new.as_ref().is_some_and(|e| e.state != State::Ready);
        Item { name, old: old.cloned(), new: new.map(Arc::new), since, sticky: false, is_caution }
    }

    /// The change that leads from the accepted content to a whole list, which is sorted by id. In a first
    /// list all is new, and it also names whom it would displace of another source's, so that it is known
    /// since when.
    pub fn difference(&self, list: Vec<Endpoint>, other: Option<&Listing>, now: Nanos) -> Items {
        let mut olds = self.own().or(other).into_iter().flat_map(Listing::iter).peekable();
        let is_known = self.good.is_some();
        let mut items = Vec::with_capacity(if is_known { 0 } else { list.len() });
        let leaves = |(name, old): (&EndpointName, _)| self.item(name.clone(), Some(old), None, now);
        for new in list {
            while let Some(old) = olds.next_if(|(name, _)| **name < new.name) {
                items.push(leaves(old));
            }
            let old = olds.next_if(|(name, _)| **name == new.name).map(|(_, old)| old);
            if !old.is_some_and(|old| is_known && **old == new) {
                items.push(self.item(new.name.clone(), old, Some(new), now));
            }
        }
        items.extend(olds.map(leaves));
        Items::from_sorted(items)
    }

    /// The first list of a source that tells changes only: what is held of it so far, and what it says now.
    pub fn first_list(&self, parts: BTreeMap<EndpointName, Option<Endpoint>>) -> Vec<Endpoint> {
        let held = self.hold.iter().flat_map(|hold| hold.items.iter()).filter_map(|item| item.new.as_deref());
        let mut list: BTreeMap<_, _> = held.map(|e| (e.name.clone(), Some(e.clone()))).collect();
        list.extend(parts);
        list.into_values().flatten().collect()
    }

    /// What parts of an update change in the accepted content, and all endpoints that they name.
    pub fn parts(
        &self,
        parts: BTreeMap<EndpointName, Option<Endpoint>>,
        turn: &Turn,
        faults: &mut Vec<Fault>,
    ) -> (Items, Vec<EndpointName>) {
        let (mut items, mut named) = (Vec::new(), Vec::with_capacity(parts.len()));
        let most = turn.policy.max_endpoints;
        let mut listed = self.own().map_or(0, |own| own.tally().listed);
        for (name, new) in parts {
            let old = self.own().and_then(|own| own.get(&name));
            if old.is_none() && new.is_some() {
                if listed >= most {
                    faults.push((Some(name), Invalid::TooManyEndpoints { most }));
                    continue;
                }
                listed += 1;
            }
            named.push(name.clone());
            if old.map(|e| &**e) != new.as_ref() {
                items.push(self.item(name, old, new, turn.now));
            }
        }
        (Items::from_sorted(items), named)
    }

    /// Takes a change into the accepted content, and notes what it touches.
    pub fn apply(
        &mut self,
        items: Items,
        settings: Option<ClusterSettings>,
        version: &Version,
        work: &mut Work,
    ) {
        let Some(good) = &mut self.good else {
            work.touch_cautions(&items);
            let listing = Listing::from_sorted(items.into_iter().filter_map(|item| item.new));
            let settings = settings.unwrap_or_default();
            self.good = Some(Good { listing, settings, version: version.clone() });
            return;
        };
        for Item { name, new, .. } in items {
            match new {
                Some(endpoint) => good.listing.insert(endpoint),
                None => good.listing.remove(&name),
            }
            work.touched.push(name);
        }
        good.version = version.clone();
        good.settings = settings.unwrap_or(good.settings);
    }

    /// Whether another source lists exactly what this one would, held changes included.
    pub fn agrees_with(&self, other: &Listing) -> bool {
        let Some(hold) = &self.hold else { return false };
        let listed = self.own().map_or(0, |own| own.tally().listed);
        let replaced = hold.items.iter().filter(|item| self.own().is_some() && item.old.is_some()).count();
        let changed = || hold.items.iter().filter_map(|item| item.new.as_ref());
        if other.tally().listed != listed - replaced + changed().count() {
            return false;
        }
        let kept = self.own().into_iter().flat_map(Listing::iter);
        let kept = kept.filter(|(name, _)| hold.items.get(name).is_none()).map(|(_, e)| e);
        changed().chain(kept).all(|e| other.get(&e.name).is_some_and(|o| o.address == e.address))
    }
}
