//! Validates the changes of an update as a whole: finds anomalies and the changes that cause them. A pure
//! function of the [`Candidate`]; the cluster's state calls it for each update, and again while changes are
//! quarantined.
//!
//! There are three kinds of anomalies: no endpoint that accepts requests would remain (only an explicit
//! statement of the source or an operator releases such a change), many endpoints are removed in one update,
//! and an address is implausible (the endpoint has moved, or the address is in use). For the latter two
//! kinds, a change is confirmed if its source repeats it after the quarantine period.
//!
//! Changes are validated by their effect on service. A list is compared with the previous list of its source,
//! and a first list with the listing that it would displace. Reports of other sources that an endpoint is not
//! ready are taken into account: an endpoint that is ready in the list but draining by another source serves
//! no requests.

use super::change_set::{ChangeSet, EndpointChange};
use super::listing::{EndpointCounts, Listing, ready_address};
use super::state_overlay::StateOverlay;
use super::validation_report::ValidationReport;
use crate::anomaly::Anomaly;
use crate::endpoint::{Endpoint, State};
use crate::names::EndpointName;
use crate::policy::Policy;
use olivecart_decisions::Nanos;
use rustc_hash::{FxBuildHasher, FxHashMap};
use std::hash::BuildHasher;
use std::net::SocketAddr;

/// The reason for a validation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Occasion {
    /// The source reports the changes now, which may confirm them.
    Reported,
    /// The changes were reported before, and something else has changed.
    Rechecked,
}

/// The changes to be validated, with their context.
pub(super) struct Candidate<'a> {
    pub policy: &'a Policy,
    pub now: Nanos,
    /// The listing to be changed. `None` if the changes are the first list of the source.
    pub current: Option<&'a Listing>,
    /// The listing that a first list would displace.
    pub displaced: Option<&'a Listing>,
    pub changes: &'a ChangeSet,
    /// The reports about the endpoints from outside the listing, by which a listed endpoint may be not ready.
    pub overlay: StateOverlay<'a>,
    pub occasion: Occasion,
}

impl Candidate<'_> {
    /// Validates the changes. The cost is proportional to the number of changes and of endpoints that other
    /// reports call not ready.
    pub fn validate(&self) -> ValidationReport {
        let mut report = ValidationReport {
            suspicious: vec![false; self.changes.len()],
            awaits_confirmation: vec![false; self.changes.len()],
            anomalies: Vec::new(),
            confirmed_by_repetition: false,
        };
        self.find_loss_of_service(&mut report);
        self.find_mass_removal(&mut report);
        self.find_moved(&mut report);
        self.find_duplicate_addresses(&mut report);
        if !report.is_clear() && !report.anomalies.iter().any(Anomaly::needs_explicit_confirmation) {
            // The unsuspicious changes alone may take the last serving endpoint out of service.
            self.find_loss_of_service(&mut report);
        }
        report
    }

    fn is_confirmed(&self, change: &EndpointChange) -> bool {
        self.occasion == Occasion::Reported
            && self.now.saturating_sub(change.since) >= self.policy.hold.as_nanos() as Nanos
    }

    /// Iterates over the changes that have not been found suspicious so far, with their positions.
    fn unsuspicious<'a>(
        &'a self,
        suspicious: &'a [bool],
    ) -> impl Iterator<Item = (usize, &'a EndpointChange)> {
        let is_unsuspicious = |(at, _): &(usize, &EndpointChange)| !suspicious[*at];
        self.changes.iter().enumerate().filter(is_unsuspicious)
    }

    fn is_ready(&self, endpoint: &Endpoint) -> bool {
        endpoint.state == State::Ready && self.overlay.state(endpoint) == State::Ready
    }

    /// Counts the endpoints of a listing by their effective states. Endpoints for which `is_excluded` returns
    /// `true` are counted by their listed states.
    fn counts(
        &self,
        listing: Option<&Listing>,
        is_excluded: impl Fn(&EndpointName) -> bool,
    ) -> EndpointCounts {
        let Some(listing) = listing else { return EndpointCounts::default() };
        let mut counts = listing.counts();
        let mut names: Vec<&EndpointName> =
            self.overlay.not_ready_names().filter(|name| !is_excluded(name)).collect();
        names.sort();
        names.dedup();
        for endpoint in names.into_iter().filter_map(|name| listing.get(name)) {
            counts.subtract(endpoint);
            counts.add_as(endpoint, self.overlay.state(endpoint));
        }
        counts
    }

    /// Counts the endpoints of this source's list after the unsuspicious changes.
    fn counts_after(&self, suspicious: &[bool]) -> EndpointCounts {
        let is_applied = |name: &EndpointName| self.changes.position(name).is_ok_and(|at| !suspicious[at]);
        let mut after = self.counts(self.current, is_applied);
        for (_, change) in self.unsuspicious(suspicious) {
            if self.current.is_some() {
                change.old.iter().for_each(|old| after.subtract(old));
            }
            change.new.iter().for_each(|new| after.add_as(new, self.overlay.state(new)));
        }
        after
    }

    /// Finds removals of endpoints, and weights set to 0, after which no endpoint that accepts requests
    /// remains.
    ///
    /// Draining endpoints do not count, not even if all drain: each is named explicitly, and draining must
    /// not be delayed. Repetition does not confirm the loss, since a fault that empties a list by mistake
    /// does so again.
    fn find_loss_of_service(&self, report: &mut ValidationReport) {
        let after = self.counts_after(&report.suspicious);
        if after.serving > 0 {
            return;
        }
        let listed = self.current.map_or(0, |own| own.counts().listed);
        let (mut lost, mut first) = (Vec::new(), None);
        for (at, change) in self.unsuspicious(&report.suspicious) {
            let served = change.old.as_deref().is_some_and(|e| e.weight > 0.0 && self.is_ready(e));
            let is_new_ready = change.new.as_deref().is_some_and(|e| self.is_ready(e));
            let is_loss = served && (change.new.is_none() || is_new_ready);
            if is_loss {
                first.get_or_insert(&change.name);
            }
            if is_loss || after.listed == 0 || listed == 0 && is_new_ready {
                lost.push(at);
            }
        }
        report.anomalies.push(match first {
            _ if after.listed == 0 && (self.current.is_none() || listed > 0) => Anomaly::NoEndpoints,
            Some(_) if after.ready > 0 => Anomaly::AllWeightsZero,
            None if after.ready > 0 && listed == 0 => Anomaly::AllWeightsZero,
            Some(first) => Anomaly::NoServingEndpointsLeft { first: first.clone() },
            None => return,
        });
        let are_many = lost.len() >= Policy::MIN_SUSPICIOUS_REMOVALS;
        for at in lost {
            report.suspicious[at] = true;
            report.awaits_confirmation[at] |= are_many;
        }
    }

    /// Finds updates that remove many ready endpoints. The endpoints are counted even if they are suspicious
    /// for another reason.
    ///
    /// - Draining and unhealthy endpoints do not count, since their removal was announced.
    /// - Endpoints that the update adds do not offset the loss: a list of the wrong cluster contains other
    ///   endpoints.
    /// - Only removals in one update are counted. Counting over a period would delay the removal of single
    ///   endpoints, which must take effect within 500 ms. The drawback is that a registry that removes
    ///   endpoints one by one by mistake is stopped only at the last one.
    fn find_mass_removal(&self, report: &mut ValidationReport) {
        let is_removal = |change: &EndpointChange| {
            change.new.is_none() && change.old.as_deref().is_some_and(|e| self.is_ready(e))
        };
        let (mut removed, mut confirmed) = (Vec::new(), 0);
        for (at, change) in self.changes.iter().enumerate().filter(|(_, change)| is_removal(change)) {
            if self.is_confirmed(change) {
                confirmed += 1;
            } else {
                removed.push((at, &change.name));
            }
        }
        if removed.len() + confirmed < Policy::MIN_SUSPICIOUS_REMOVALS {
            return;
        }
        let total = self.counts(self.current.or(self.displaced), |_| false).ready;
        let are_many = |n: usize| {
            n >= Policy::MIN_SUSPICIOUS_REMOVALS && n as f64 > self.policy.most_gone * total as f64
        };
        let Some((_, first)) = removed.first().filter(|_| are_many(removed.len())) else {
            report.confirmed_by_repetition |= are_many(removed.len() + confirmed);
            return;
        };
        let (count, first) = (removed.len(), EndpointName::clone(first));
        report.anomalies.push(match count == total {
            true => Anomaly::AllEndpointsRemoved { count, first },
            false => Anomaly::ManyEndpointsRemoved { count, total, first },
        });
        for (at, _) in removed {
            report.suspicious[at] = true;
            report.awaits_confirmation[at] = true;
        }
    }

    /// Finds ready endpoints whose address changes, e.g. because a table's port column was shifted by
    /// mistake.
    ///
    /// Named replicas get a new address with every restart; a new start time makes the change unsuspicious.
    /// If a source reports no start times, such a replica waits for the quarantine period. Meanwhile the load
    /// balancer ejects it, since its old address refuses connections.
    fn find_moved(&self, report: &mut ValidationReport) {
        let (mut moved, mut confirmed_by_repetition) = (Vec::new(), false);
        for (at, change) in self.unsuspicious(&report.suspicious) {
            let (Some(old), Some(new)) = (&change.old, &change.new) else { continue };
            let (Some(from), Some(to)) = (ready_address(old), ready_address(new)) else { continue };
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

    /// Finds endpoints whose new address belongs to another ready endpoint that is not removed.
    ///
    /// Container addresses are reused immediately, and the removal of the previous endpoint may be reported a
    /// little later; the new endpoint then waits for that removal only. With both in service, one process
    /// would get twice its share of requests.
    fn find_duplicate_addresses(&self, report: &mut ValidationReport) {
        let new_addresses = self.new_addresses(&report.suspicious);
        let may_have_duplicates = may_have_duplicates(&new_addresses);
        if !may_have_duplicates && self.current.is_none() {
            return;
        }
        let first_two =
            if may_have_duplicates { first_two_by_address(&new_addresses) } else { FxHashMap::default() };
        let mut duplicates = Vec::new();
        let mut confirmed_by_repetition = false;
        for (at, address) in new_addresses {
            let (first, second) = first_two.get(&address).copied().unwrap_or((at, None));
            let other_change = if first == at { second } else { Some(first) };
            let remaining = self.remaining_endpoint_at(at, address, &report.suspicious);
            let other = remaining.or_else(|| other_change.map(|at| self.changes[at].name.clone()));
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
        report.anomalies.push(Anomaly::DuplicateAddress { endpoint, other, address, others });
        duplicates.into_iter().for_each(|(at, ..)| report.suspicious[at] = true);
    }

    /// Returns the unsuspicious changes that give a ready endpoint a new address, by their positions.
    fn new_addresses(&self, suspicious: &[bool]) -> Vec<(usize, SocketAddr)> {
        let mut new_addresses = Vec::new();
        for (at, change) in self.unsuspicious(suspicious) {
            let old = change.old.as_deref().filter(|_| self.current.is_some());
            let Some(address) = new_ready_address(change) else { continue };
            if old.and_then(ready_address) != Some(address) {
                new_addresses.push((at, address));
            }
        }
        new_addresses
    }

    /// Returns an endpoint, other than that of change `at`, that has the address before and after the
    /// changes.
    fn remaining_endpoint_at(
        &self,
        at: usize,
        address: SocketAddr,
        suspicious: &[bool],
    ) -> Option<EndpointName> {
        let remains = |name: &&EndpointName| match self.changes.position(name) {
            Ok(other) if other == at => false,
            Ok(other) => suspicious[other] || new_ready_address(&self.changes[other]) == Some(address),
            Err(_) => true,
        };
        self.current?.at(address).find(remains).cloned()
    }
}

fn new_ready_address(change: &EndpointChange) -> Option<SocketAddr> {
    change.new.as_deref().and_then(ready_address)
}

/// Returns the first two changes that use each address; messages name no more.
fn first_two_by_address(
    new_addresses: &[(usize, SocketAddr)],
) -> FxHashMap<SocketAddr, (usize, Option<usize>)> {
    let mut first_two: FxHashMap<SocketAddr, (usize, Option<usize>)> = FxHashMap::default();
    for (at, address) in new_addresses {
        first_two
            .entry(*address)
            .and_modify(|(_, second)| _ = second.get_or_insert(*at))
            .or_insert((*at, None));
    }
    first_two
}

/// Returns whether two changes may use the same address. Sorting the hashes takes a fifth of the time of
/// building a hash table, which is then needed only in the rare case of duplicates.
fn may_have_duplicates(new_addresses: &[(usize, SocketAddr)]) -> bool {
    let mut hashes: Vec<u64> =
        new_addresses.iter().map(|(_, address)| FxBuildHasher.hash_one(address)).collect();
    hashes.sort_unstable();
    hashes.windows(2).any(|pair| pair[0] == pair[1])
}
