//! Validates a change as a whole: what is suspicious about it, and which of its parts are. A pure function of the
//! [`Candidate`]; the cluster's state calls it for each change, and again while something is quarantined.
//!
//! Three kinds of reasons: nothing that takes requests would be left (only the source's explicit word lets that
//! pass), many leave at once, and an endpoint is where it should not be (moved, or at an address that is taken).
//! A part is confirmed, and no longer suspicious for the latter two, if its source reports it again after the hold.
//!
//! All is validated by what it does to service: a source's list against the one before it, or a first list of a
//! source against the listing that it would take the place of. What others say of an endpoint's not being
//! ready counts: an endpoint that the list calls ready and another source calls draining serves nobody.

use super::change_set::{ChangeSet, EndpointChange};
use super::listing::{EndpointCounts, Listing, ready_at};
use super::state_overlay::StateOverlay;
use crate::anomaly::Anomaly;
use crate::endpoint::{Endpoint, State};
use crate::names::EndpointName;
use crate::policy::Policy;
use olivecart_decisions::Nanos;
use rustc_hash::{FxBuildHasher, FxHashMap};
use std::hash::BuildHasher;
use std::net::SocketAddr;

/// Why a change is validated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Occasion {
    /// Its source reports it now, which may confirm it.
    Reported,
    /// It was reported before, and something else has changed.
    Rechecked,
}

/// A change to be validated.
pub(super) struct Candidate<'a> {
    pub policy: &'a Policy,
    pub now: Nanos,
    /// What the items change. None if they are a whole list, the first of its source.
    pub current: Option<&'a Listing>,
    /// What serves before a first list, and it would displace.
    pub displaced: Option<&'a Listing>,
    pub changes: &'a ChangeSet,
    /// What else is said of the endpoints: one that serves by this list alone may not by all of them.
    pub overlay: StateOverlay<'a>,
    pub occasion: Occasion,
}

/// What is suspicious.
#[derive(Debug)]
pub(super) struct ValidationReport {
    /// Which items are, in their order.
    pub suspicious: Vec<bool>,
    /// Which of them are one of many, in their order.
    pub awaits_confirmation: Vec<bool>,
    pub anomalies: Vec<Anomaly>,
    /// Something passed only because it was said again.
    pub confirmed_by_repetition: bool,
}

impl ValidationReport {
    pub fn is_clear(&self) -> bool {
        self.anomalies.is_empty()
    }

    /// What is doubtful of a change, with its marks, and what passes.
    pub fn split(&self, mut changes: ChangeSet) -> (ChangeSet, ChangeSet) {
        self.mark(&mut changes);
        changes.split(&self.suspicious)
    }

    /// Marks those that are one of many.
    pub fn mark(&self, changes: &mut ChangeSet) {
        changes
            .iter_mut()
            .zip(&self.awaits_confirmation)
            .for_each(|(change, awaits_confirmation)| change.awaits_confirmation |= awaits_confirmation);
    }
}

impl Candidate<'_> {
    /// Judges the change. Costs as much as the change is large, and as there are endpoints that others say
    /// are not ready.
    pub fn validate(&self) -> ValidationReport {
        let mut report = ValidationReport {
            suspicious: vec![false; self.changes.len()],
            awaits_confirmation: vec![false; self.changes.len()],
            anomalies: Vec::new(),
            confirmed_by_repetition: false,
        };
        self.find_nothing_left(&mut report);
        self.find_many_gone(&mut report);
        self.find_moved(&mut report);
        self.find_addresses_twice(&mut report);
        if !report.is_clear() && !report.anomalies.iter().any(Anomaly::needs_explicit_confirmation) {
            // Without what is held there may be nothing left after all.
            self.find_nothing_left(&mut report);
        }
        report
    }

    fn is_confirmed(&self, change: &EndpointChange) -> bool {
        self.occasion == Occasion::Reported
            && self.now.saturating_sub(change.since) >= self.policy.hold.as_nanos() as Nanos
    }

    /// What passes, as far as is known yet.
    fn passing<'a>(&'a self, suspicious: &'a [bool]) -> impl Iterator<Item = (usize, &'a EndpointChange)> {
        let passes = |(at, _): &(usize, &EndpointChange)| !suspicious[*at];
        self.changes.iter().enumerate().filter(passes)
    }

    fn is_ready(&self, endpoint: &Endpoint) -> bool {
        endpoint.state == State::Ready && self.overlay.state(endpoint) == State::Ready
    }

    /// A listing with regard to what else is said of its endpoints, but for those in `without`.
    fn counts(&self, listing: Option<&Listing>, without: impl Fn(&EndpointName) -> bool) -> EndpointCounts {
        let Some(listing) = listing else { return EndpointCounts::default() };
        let mut counts = listing.counts();
        let mut names: Vec<&EndpointName> =
            self.overlay.not_ready_names().filter(|name| !without(name)).collect();
        names.sort();
        names.dedup();
        for endpoint in names.into_iter().filter_map(|name| listing.get(name)) {
            counts.take(endpoint);
            counts.add_as(endpoint, self.overlay.state(endpoint));
        }
        counts
    }

    /// What would serve by this source's list if what passes is taken in.
    fn tally_after(&self, suspicious: &[bool]) -> EndpointCounts {
        let passes = |name: &EndpointName| self.changes.position(name).is_ok_and(|at| !suspicious[at]);
        let mut after = self.counts(self.current, passes);
        for (_, change) in self.passing(suspicious) {
            if self.current.is_some() {
                change.old.iter().for_each(|old| after.take(old));
            }
            change.new.iter().for_each(|new| after.add_as(new, self.overlay.state(new)));
        }
        after
    }

    /// Endpoints that leave or lose their weight are suspicious if none that takes requests remains.
    ///
    /// Drains do not count, not even of all: each is said of an endpoint by name, and must not wait. Weighed
    /// against letting repetition confirm: whatever made a list empty by mistake makes it empty again.
    fn find_nothing_left(&self, report: &mut ValidationReport) {
        let after = self.tally_after(&report.suspicious);
        if after.serving > 0 {
            return;
        }
        let listed = self.current.map_or(0, |own| own.counts().listed);
        let (mut lost, mut first) = (Vec::new(), None);
        for (at, change) in self.passing(&report.suspicious) {
            let served = change.old.as_deref().is_some_and(|e| e.weight > 0.0 && self.is_ready(e));
            let weightless = change.new.as_deref().is_some_and(|e| self.is_ready(e));
            let loses = served && (change.new.is_none() || weightless);
            if loses {
                first.get_or_insert(&change.name);
            }
            if loses || after.listed == 0 || listed == 0 && weightless {
                lost.push(at);
            }
        }
        report.anomalies.push(match first {
            _ if after.listed == 0 && (self.current.is_none() || listed > 0) => Anomaly::NoEndpoints,
            Some(_) if after.ready > 0 => Anomaly::AllWeightsZero,
            None if after.ready > 0 && listed == 0 => Anomaly::AllWeightsZero,
            Some(first) => Anomaly::NothingLeft { first: first.clone() },
            None => return,
        });
        let are_many = lost.len() >= Policy::FEWEST_SUSPICIOUS;
        for at in lost {
            report.suspicious[at] = true;
            report.awaits_confirmation[at] |= are_many;
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
    fn find_many_gone(&self, report: &mut ValidationReport) {
        let leaves = |change: &EndpointChange| {
            change.new.is_none() && change.old.as_deref().is_some_and(|e| self.is_ready(e))
        };
        let (mut gone, mut confirmed_by_repetition) = (Vec::new(), 0);
        for (at, change) in self.changes.iter().enumerate().filter(|(_, change)| leaves(change)) {
            if self.is_confirmed(change) {
                confirmed_by_repetition += 1;
            } else {
                gone.push((at, &change.name));
            }
        }
        if gone.len() + confirmed_by_repetition < Policy::FEWEST_SUSPICIOUS {
            return;
        }
        let of = self.counts(self.current.or(self.displaced), |_| false).ready;
        let are_many =
            |n: usize| n >= Policy::FEWEST_SUSPICIOUS && n as f64 > self.policy.most_gone * of as f64;
        let Some((_, first)) = gone.first().filter(|_| are_many(gone.len())) else {
            report.confirmed_by_repetition |= are_many(gone.len() + confirmed_by_repetition);
            return;
        };
        let (count, first) = (gone.len(), EndpointName::clone(first));
        report.anomalies.push(match count == of {
            true => Anomaly::AllGone { count, first },
            false => Anomaly::ManyGone { count, of, first },
        });
        for (at, _) in gone {
            report.suspicious[at] = true;
            report.awaits_confirmation[at] = true;
        }
    }

    /// A ready endpoint at another address is suspicious, as from a port column that has slipped.
    ///
    /// Weighed: named replicas come back elsewhere with every restart; a new start lets them pass at once.
    /// Where a source tells no starts, such a replica waits for the hold, and the balancer does without it as
    /// its old address refuses connections.
    fn find_moved(&self, report: &mut ValidationReport) {
        let (mut moved, mut confirmed_by_repetition) = (Vec::new(), false);
        for (at, change) in self.passing(&report.suspicious) {
            let (Some(old), Some(new)) = (&change.old, &change.new) else { continue };
            let (Some(from), Some(to)) = (ready_at(old), ready_at(new)) else { continue };
            if from == to || new.restarted_since(old) || !self.is_ready(old) {
                continue;
            }
            if self.is_confirmed(change) {
                confirmed_by_repetition = true;
            } else {
                moved.push((at, from, to));
            }
        }
        report.confirmed_by_repetition |= confirmed_by_repetition;
        let Some(&(at, from, to)) = moved.first() else { return };
        let endpoint = self.changes[at].name.clone();
        report.anomalies.push(Anomaly::Moved { endpoint, from, to, others: moved.len() - 1 });
        moved.into_iter().for_each(|(at, ..)| report.suspicious[at] = true);
    }

    /// An endpoint that comes to an address where another ready endpoint is and stays is suspicious.
    ///
    /// Weighed: addresses of containers are used again at once, and their old owner's removal may come a
    /// moment later; then the newcomer waits for that and no longer. To serve both sends one process twice
    /// its share.
    fn find_addresses_twice(&self, report: &mut ValidationReport) {
        let arrivals = self.arrivals(&report.suspicious);
        let may_clash = may_clash(&arrivals);
        if !may_clash && self.current.is_none() {
            return;
        }
        let first_two = if may_clash { first_two_by_address(&arrivals) } else { FxHashMap::default() };
        let mut duplicates = Vec::new();
        let mut confirmed_by_repetition = false;
        for (at, address) in arrivals {
            let (first, second) = first_two.get(&address).copied().unwrap_or((at, None));
            let other_arrival = if first == at { second } else { Some(first) };
            let holder = self.holder_that_stays(at, address, &report.suspicious);
            let other = holder.or_else(|| other_arrival.map(|at| self.changes[at].name.clone()));
            let Some(other) = other else { continue };
            if self.is_confirmed(&self.changes[at]) {
                confirmed_by_repetition = true;
            } else {
                duplicates.push((at, other, address));
            }
        }
        report.confirmed_by_repetition |= confirmed_by_repetition;
        let Some((at, other, address)) = duplicates.first().cloned() else { return };
        let endpoint = self.changes[at].name.clone();
        let others = duplicates.len() - 1;
        report.anomalies.push(Anomaly::AddressTwice { endpoint, other, address, others });
        duplicates.into_iter().for_each(|(at, ..)| report.suspicious[at] = true);
    }

    /// The changes that pass and bring a ready endpoint to an address, by their place in the change.
    fn arrivals(&self, suspicious: &[bool]) -> Vec<(usize, SocketAddr)> {
        let mut arrivals = Vec::new();
        for (at, change) in self.passing(suspicious) {
            let old = change.old.as_deref().filter(|_| self.current.is_some());
            let Some(address) = new_ready_address(change) else { continue };
            if old.and_then(ready_at) != Some(address) {
                arrivals.push((at, address));
            }
        }
        arrivals
    }

    /// The endpoint that is at an address already, and is after the change; another than that of change `at`.
    fn holder_that_stays(&self, at: usize, address: SocketAddr, suspicious: &[bool]) -> Option<EndpointName> {
        let stays = |holder: &&EndpointName| match self.changes.position(holder) {
            Ok(other) if other == at => false,
            Ok(other) => suspicious[other] || new_ready_address(&self.changes[other]) == Some(address),
            Err(_) => true,
        };
        self.current?.at(address).find(stays).cloned()
    }
}

fn new_ready_address(change: &EndpointChange) -> Option<SocketAddr> {
    change.new.as_deref().and_then(ready_at)
}

/// Which changes come to each address: the first two are enough to name.
fn first_two_by_address(arrivals: &[(usize, SocketAddr)]) -> FxHashMap<SocketAddr, (usize, Option<usize>)> {
    let mut first_two: FxHashMap<SocketAddr, (usize, Option<usize>)> = FxHashMap::default();
    for (at, address) in arrivals {
        first_two
            .entry(*address)
            .and_modify(|(_, second)| _ = second.get_or_insert(*at))
            .or_insert((*at, None));
    }
    first_two
}

/// Whether two of them may come to one address: a sort of hashes, at a fifth of the cost of a hash table that
/// is made only to find that out.
fn may_clash(arrivals: &[(usize, SocketAddr)]) -> bool {
    let mut hashes: Vec<u64> = arrivals.iter().map(|(_, address)| FxBuildHasher.hash_one(address)).collect();
    hashes.sort_unstable();
    hashes.windows(2).any(|pair| pair[0] == pair[1])
}
