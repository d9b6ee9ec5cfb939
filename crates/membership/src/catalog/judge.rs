//! What is suspicious about a change, and which of its items are.
//!
//! Three kinds of reasons: nothing that takes requests would be left (only the source's word lets that pass),
//! many leave at once, and an endpoint stands where it should not (moved, or at an address that is taken).
//! An item is settled, and no longer suspicious for the latter two, if its source says it again after the
//! hold.
//!
//! All is judged by what it does to service: a source's list against the one before it, or a first list of a
//! source against the listing that it would take the place of. What others say of an endpoint's not being
//! ready counts: an endpoint that the list calls ready and another source calls draining serves nobody.

use super::caution::Cautions;
use super::items::{Item, Items};
use super::listing::{Listing, Tally, ready_at};
use crate::anomaly::Anomaly;
use crate::endpoint::{Endpoint, State};
use crate::names::EndpointName;
use crate::policy::Policy;
use olivecart_decisions::Nanos;
use rustc_hash::{FxBuildHasher, FxHashMap};
use std::hash::BuildHasher;
use std::net::SocketAddr;

/// A change to be judged.
pub(super) struct Case<'a> {
    pub policy: &'a Policy,
    pub now: Nanos,
    /// What the items change. None if they are a whole list, the first of its source.
    pub own: Option<&'a Listing>,
    /// What serves before a first list, and it would displace.
    pub other: Option<&'a Listing>,
    pub items: &'a Items,
    /// What else is said of the endpoints: one that serves by this list alone may not by all of them.
    pub cautions: Cautions<'a>,
    /// The source says it now; it is not only looked at again.
    pub said: bool,
}

/// What is suspicious.
#[derive(Debug)]
pub(super) struct Findings {
    /// Which items are, in their order.
    pub doubtful: Vec<bool>,
    /// Which of them are one of many, in their order.
    pub sticky: Vec<bool>,
    pub anomalies: Vec<Anomaly>,
    /// Something passed only because it was said again.
    pub settled: bool,
}

impl Findings {
    pub fn is_clear(&self) -> bool {
        self.anomalies.is_empty()
    }

    /// What is doubtful of a change, with its marks, and what passes.
    pub fn split(&self, mut items: Items) -> (Items, Items) {
        self.mark(&mut items);
        items.split(&self.doubtful)
    }

    /// Marks those that are one of many.
    pub fn mark(&self, items: &mut Items) {
        items.iter_mut().zip(&self.sticky).for_each(|(item, sticky)| item.sticky |= sticky);
    }
}

impl Case<'_> {
    /// Judges the change. Costs as much as the change is large, and as there are endpoints that others say
    /// are not ready.
    pub fn judge(&self) -> Findings {
        let none = vec![false; self.items.len()];
        let (doubtful, sticky, anomalies) = (none.clone(), none, Vec::new());
        let mut found = Findings { doubtful, sticky, anomalies, settled: false };
        self.find_nothing_left(&mut found);
        self.find_many_gone(&mut found);
        self.find_moved(&mut found);
        self.find_addresses_twice(&mut found);
        if !found.is_clear() && !found.anomalies.iter().any(Anomaly::needs_explicit_confirmation) {
            // Without what is held there may be nothing left after all.
            self.find_nothing_left(&mut found);
        }
        found
    }

    fn is_settled(&self, item: &Item) -> bool {
        self.said && self.now.saturating_sub(item.since) >= self.policy.hold.as_nanos() as Nanos
    }

    /// What passes, as far as is known yet.
    fn passing<'a>(&'a self, doubtful: &'a [bool]) -> impl Iterator<Item = (usize, &'a Item)> {
        let passes = |(at, _): &(usize, &Item)| !doubtful[*at];
        self.items.iter().enumerate().filter(passes)
    }

    fn is_ready(&self, endpoint: &Endpoint) -> bool {
        endpoint.state == State::Ready && self.cautions.state(endpoint) == State::Ready
    }

    /// A listing with regard to what else is said of its endpoints, but for those in `without`.
    fn tally(&self, listing: Option<&Listing>, without: impl Fn(&EndpointName) -> bool) -> Tally {
        let Some(listing) = listing else { return Tally::default() };
        let mut tally = listing.tally();
        let mut names: Vec<&EndpointName> = self.cautions.names().filter(|name| !without(name)).collect();
        names.sort();
        names.dedup();
        for endpoint in names.into_iter().filter_map(|name| listing.get(name)) {
            tally.take(endpoint);
            tally.add_as(endpoint, self.cautions.state(endpoint));
        }
        tally
    }

    /// What would serve by this source's list if what passes is taken in.
    fn tally_after(&self, doubtful: &[bool]) -> Tally {
        let passes = |name: &EndpointName| self.items.position(name).is_ok_and(|at| !doubtful[at]);
        let mut after = self.tally(self.own, passes);
        for (_, item) in self.passing(doubtful) {
            if self.own.is_some() {
                item.old.iter().for_each(|old| after.take(old));
            }
            item.new.iter().for_each(|new| after.add_as(new, self.cautions.state(new)));
        }
        after
    }

    /// Endpoints that leave or lose their weight are suspicious if none that takes requests remains.
    ///
    /// Drains do not count, not even of all: each is said of an endpoint by name, and must not wait. Weighed
    /// against letting repetition confirm: whatever made a list empty by mistake makes it empty again.
    fn find_nothing_left(&self, found: &mut Findings) {
        let after = self.tally_after(&found.doubtful);
        if after.serving > 0 {
            return;
        }
        let listed = self.own.map_or(0, |own| own.tally().listed);
        let (mut lost, mut first) = (Vec::new(), None);
        for (at, item) in self.passing(&found.doubtful) {
            let served = item.old.as_deref().is_some_and(|e| e.weight > 0.0 && self.is_ready(e));
            let weightless = item.new.as_deref().is_some_and(|e| self.is_ready(e));
            let loses = served && (item.new.is_none() || weightless);
            if loses {
                first.get_or_insert(&item.name);
            }
            if loses || after.listed == 0 || listed == 0 && weightless {
                lost.push(at);
            }
        }
        found.anomalies.push(match first {
            _ if after.listed == 0 && (self.own.is_none() || listed > 0) => Anomaly::NoEndpoints,
            Some(_) if after.ready > 0 => Anomaly::AllWeightsZero,
            None if after.ready > 0 && listed == 0 => Anomaly::AllWeightsZero,
            Some(first) => Anomaly::NothingLeft { first: first.clone() },
            None => return,
        });
        let are_many = lost.len() >= Policy::FEWEST_SUSPICIOUS;
        for at in lost {
            found.doubtful[at] = true;
            found.sticky[at] |= are_many;
        }
    }

    /// Ready endpoints that leave are suspicious if they are many at once. They are counted whether or not
    /// they are doubtful for another reason.
    ///
    /// Weighed:
    /// - What was draining or unhealthy has announced itself, and does not count.
    /// - What comes in the same change is no excuse: a list of the wrong cluster brings others too.
    /// - At once is in one update. Counting over a time would hold back single endpoints, which must leave
    ///   within 500 ms; a registry that drops them one by one by mistake is stopped at the last one only.
    fn find_many_gone(&self, found: &mut Findings) {
        let leaves =
            |item: &Item| item.new.is_none() && item.old.as_deref().is_some_and(|e| self.is_ready(e));
        let (mut gone, mut settled) = (Vec::new(), 0);
        for (at, item) in self.items.iter().enumerate().filter(|(_, item)| leaves(item)) {
            if self.is_settled(item) {
                settled += 1;
            } else {
                gone.push((at, &item.name));
            }
        }
        if gone.len() + settled < Policy::FEWEST_SUSPICIOUS {
            return;
        }
        let of = self.tally(self.own.or(self.other), |_| false).ready;
        let are_many =
            |n: usize| n >= Policy::FEWEST_SUSPICIOUS && n as f64 > self.policy.most_gone * of as f64;
        let Some((_, first)) = gone.first().filter(|_| are_many(gone.len())) else {
            found.settled |= are_many(gone.len() + settled);
            return;
        };
        let (count, first) = (gone.len(), EndpointName::clone(first));
        found.anomalies.push(match count == of {
            true => Anomaly::AllGone { count, first },
            false => Anomaly::ManyGone { count, of, first },
        });
        for (at, _) in gone {
            found.doubtful[at] = true;
            found.sticky[at] = true;
        }
    }

    /// A ready endpoint at another address is suspicious, as from a port column that has slipped.
    ///
    /// Weighed: named replicas come back elsewhere with every restart; a new start lets them pass at once.
    /// Where a source tells no starts, such a replica waits for the hold, and the balancer does without it as
    /// its old address refuses connections.
    fn find_moved(&self, found: &mut Findings) {
        let (mut moved, mut settled) = (Vec::new(), false);
        for (at, item) in self.passing(&found.doubtful) {
            let (Some(old), Some(new)) = (&item.old, &item.new) else { continue };
            let (Some(from), Some(to)) = (ready_at(old), ready_at(new)) else { continue };
            if from == to || new.restarted_since(old) || !self.is_ready(old) {
                continue;
            }
            if self.is_settled(item) {
                settled = true;
            } else {
                moved.push((at, from, to));
            }
        }
        found.settled |= settled;
        let Some(&(at, from, to)) = moved.first() else { return };
        let endpoint = self.items[at].name.clone();
        found.anomalies.push(Anomaly::Moved { endpoint, from, to, others: moved.len() - 1 });
        moved.into_iter().for_each(|(at, ..)| found.doubtful[at] = true);
    }

    /// Whoever comes to an address where another ready endpoint is and stays is suspicious.
    ///
    /// Weighed: addresses of containers are used again at once, and their old owner's removal may come a
    /// moment later; then the newcomer waits for that and no longer. To serve both sends one process twice
    /// its share.
    fn find_addresses_twice(&self, found: &mut Findings) {
        let ready = |item: &Item| item.new.as_deref().and_then(ready_at);
        let stood_at = |item: &Item| item.old.as_deref().filter(|_| self.own.is_some()).and_then(ready_at);
        let comes = |(at, item): (usize, &Item)| {
            let address = ready(item).filter(|address| stood_at(item) != Some(*address))?;
            Some((at, address))
        };
        let comers: Vec<(usize, SocketAddr)> = self.passing(&found.doubtful).filter_map(comes).collect();
        // Who comes to each address, if two may come to one: the first two are enough to name.
        let mut who: FxHashMap<SocketAddr, (usize, Option<usize>)> = FxHashMap::default();
        let clash = may_clash(&comers);
        if !clash && self.own.is_none() {
            return;
        }
        for (at, address) in comers.iter().filter(|_| clash) {
            who.entry(*address)
                .and_modify(|(_, second)| _ = second.get_or_insert(*at))
                .or_insert((*at, None));
        }
        let (mut twice, mut settled) = (Vec::new(), false);
        for (at, address) in comers {
            let (first, second) = who.get(&address).copied().unwrap_or((at, None));
            let comer = if first == at { second } else { Some(first) };
            let stays = |holder: &&EndpointName| match self.items.position(holder) {
                Ok(other) if other == at => false,
                Ok(other) => found.doubtful[other] || ready(&self.items[other]) == Some(address),
                Err(_) => true,
            };
            let holder = self.own.and_then(|own| own.at(address).find(stays).cloned());
            let Some(other) = holder.or_else(|| comer.map(|at| self.items[at].name.clone())) else {
                continue;
            };
            if self.is_settled(&self.items[at]) {
                settled = true;
            } else {
                twice.push((at, other, address));
            }
        }
        found.settled |= settled;
        let Some((at, other, address)) = twice.first().cloned() else { return };
        let endpoint = self.items[at].name.clone();
        found.anomalies.push(Anomaly::AddressTwice { endpoint, other, address, others: twice.len() - 1 });
        twice.into_iter().for_each(|(at, ..)| found.doubtful[at] = true);
    }
}

/// Whether two of them may come to one address: a sort of hashes, at a fifth of the cost of a hash table that
/// is made only to find that out.
fn may_clash(comers: &[(usize, SocketAddr)]) -> bool {
    let mut hashes: Vec<u64> = comers.iter().map(|(_, address)| FxBuildHasher.hash_one(address)).collect();
    hashes.sort_unstable();
    hashes.windows(2).any(|pair| pair[0] == pair[1])
}
