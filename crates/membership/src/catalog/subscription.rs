//! What one source reports of one cluster: what has been accepted of it, and what is quarantined.

use super::change_set::{ChangeSet, EndpointChange};
use super::input_validation::InvalidInput;
use super::listing::Listing;
use super::update::{Rank, UpdateContext, UpdateEffects};
use super::validator::ValidationReport;
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
pub(super) struct Subscription {
    /// The last good content.
    pub accepted: Option<AcceptedContent>,
    pub quarantine: Option<Quarantine>,
    /// The cluster was missing from its list of all clusters.
    pub missing: Option<MissingCluster>,
    /// When the source last spoke of this cluster.
    pub last_update_at: Nanos,
    pub last_rejection: Option<(Nanos, Rejection)>,
    /// The anomalies that were last put out.
    pub last_reported: Vec<Anomaly>,
    /// When the catalog has asked to be woken for it.
    pub timer: Option<Nanos>,
}

/// Content that was accepted.
#[derive(Debug)]
pub(super) struct AcceptedContent {
    pub listing: Listing,
    pub settings: ClusterSettings,
    pub version: Version,
}

/// A change that is quarantined. It has only the differences, so that a quarantine costs as much memory as
/// the difference.
#[derive(Debug)]
pub(super) struct Quarantine {
    pub changes: ChangeSet,
    /// The items are a whole list: they pass together, with these limits.
    pub whole: Option<ClusterSettings>,
    pub version: Version,
    pub anomalies: Vec<Anomaly>,
    pub since: Nanos,
    /// When its source is to be asked again; before, no repetition confirms.
    pub refetch_at: Nanos,
    /// For a first list: whose listing it would displace.
    pub against: Option<Rank>,
    /// Made by the event at hand: no need to look at it again.
    pub is_new: bool,
}

/// A whole list that is to be quarantined.
pub(super) struct SuspiciousList<'a> {
    pub changes: ChangeSet,
    pub report: ValidationReport,
    pub settings: ClusterSettings,
    pub version: &'a Version,
    /// What was quarantined of its source before.
    pub previous: Option<Quarantine>,
    /// Which source gives the cluster meanwhile.
    pub owner: Option<Rank>,
}

/// What a delta changes in the accepted content.
pub(super) struct DeltaChanges {
    pub changes: ChangeSet,
    /// All endpoints that it names, changed or not.
    pub named: Vec<EndpointName>,
    /// The endpoints beyond the limit.
    pub too_many: Vec<InvalidInput>,
}

/// A cluster that is missing from the list of all clusters.
#[derive(Clone, Debug)]
pub(super) struct MissingCluster {
    pub anomaly: Anomaly,
    pub since: Nanos,
    pub refetch_at: Nanos,
}

impl Quarantine {
    pub fn needs_explicit_confirmation(&self) -> bool {
        self.anomalies.iter().any(Anomaly::needs_explicit_confirmation)
    }
}

impl Subscription {
    pub fn accepted_listing(&self) -> Option<&Listing> {
        self.accepted.as_ref().map(|accepted| &accepted.listing)
    }

    /// Whether it says anything: neither accepted nor quarantined nor rejected content.
    pub fn is_vacant(&self) -> bool {
        self.accepted.is_none() && self.quarantine.is_none() && self.last_rejection.is_none()
    }

    /// When its source is next to be asked again.
    pub fn refetch_at(&self) -> Option<Nanos> {
        let quarantine = self.quarantine.as_ref().map(|quarantine| quarantine.refetch_at);
        quarantine.into_iter().chain(self.missing.as_ref().map(|missing| missing.refetch_at)).min()
    }

    /// Puts off what was due until the next time to ask.
    pub fn postpone_refetch(&mut self, now: Nanos, policy: &Policy) {
        let next = now.saturating_add(policy.asking().as_nanos() as Nanos);
        let of_quarantine = self.quarantine.iter_mut().map(|quarantine| &mut quarantine.refetch_at);
        let of_missing = self.missing.iter_mut().map(|missing| &mut missing.refetch_at);
        for refetch_at in of_quarantine.chain(of_missing).filter(|refetch_at| **refetch_at <= now) {
            *refetch_at = next;
        }
    }

    /// One part of a change that is said now. A claim that is held keeps its time, as long as it stays the
    /// same in what can be doubted: that the endpoint leaves, or where it is.
    fn change(
        &self,
        name: EndpointName,
        old: Option<&Arc<Endpoint>>,
        new: Option<Endpoint>,
        now: Nanos,
    ) -> EndpointChange {
        let held = self.quarantine.as_ref().and_then(|quarantine| quarantine.changes.get(&name));
        let same =
            held.filter(|change| change.new.as_ref().map(|e| e.address) == new.as_ref().map(|e| e.address));
        let since = same.map_or(now, |change| change.since);
        let is_not_ready = new.as_ref().is_some_and(|e| e.state != State::Ready);
        EndpointChange {
            name,
            old: old.cloned(),
            new: new.map(Arc::new),
            since,
            awaits_confirmation: false,
            is_not_ready,
        }
    }

    /// The change that leads from the accepted content to a whole list, which is sorted by id. In a first
    /// list all is new, and it also names whom it would displace of another source's, so that it is known
    /// since when.
    pub fn difference(&self, list: Vec<Endpoint>, other: Option<&Listing>, now: Nanos) -> ChangeSet {
        let mut olds = self.accepted_listing().or(other).into_iter().flat_map(Listing::iter).peekable();
        let is_known = self.accepted.is_some();
        let mut changes = Vec::with_capacity(if is_known { 0 } else { list.len() });
        let leaves = |(name, old): (&EndpointName, _)| self.change(name.clone(), Some(old), None, now);
        for new in list {
            while let Some(old) = olds.next_if(|(name, _)| **name < new.name) {
                changes.push(leaves(old));
            }
            let old = olds.next_if(|(name, _)| **name == new.name).map(|(_, old)| old);
            if !old.is_some_and(|old| is_known && **old == new) {
                changes.push(self.change(new.name.clone(), old, Some(new), now));
            }
        }
        changes.extend(olds.map(leaves));
        ChangeSet::from_sorted(changes)
    }

    /// The first list of a source that sends deltas only: what is quarantined of it so far, and what it reports now.
    pub fn first_list(&self, parts: BTreeMap<EndpointName, Option<Endpoint>>) -> Vec<Endpoint> {
        let held = self
            .quarantine
            .iter()
            .flat_map(|quarantine| quarantine.changes.iter())
            .filter_map(|change| change.new.as_deref());
        let mut list: BTreeMap<_, _> = held.map(|e| (e.name.clone(), Some(e.clone()))).collect();
        list.extend(parts);
        list.into_values().flatten().collect()
    }

    /// What the endpoints of a delta change in the accepted content.
    pub fn delta_changes(
        &self,
        endpoints: BTreeMap<EndpointName, Option<Endpoint>>,
        context: &UpdateContext,
    ) -> DeltaChanges {
        let mut changes = Vec::new();
        let mut named = Vec::with_capacity(endpoints.len());
        let mut too_many = Vec::new();
        let most = context.policy.max_endpoints;
        let mut listed = self.accepted_listing().map_or(0, |listing| listing.counts().listed);
        for (name, new) in endpoints {
            let old = self.accepted_listing().and_then(|listing| listing.get(&name));
            if old.is_none() && new.is_some() {
                if listed >= most {
                    too_many.push(InvalidInput::of_endpoint(name, Invalid::TooManyEndpoints { most }));
                    continue;
                }
                listed += 1;
            }
            named.push(name.clone());
            if old.map(|endpoint| &**endpoint) != new.as_ref() {
                changes.push(self.change(name, old, new, context.now));
            }
        }
        DeltaChanges { changes: ChangeSet::from_sorted(changes), named, too_many }
    }

    /// Takes a change into the accepted content, and notes what it touches.
    pub fn apply(
        &mut self,
        changes: ChangeSet,
        settings: Option<ClusterSettings>,
        version: &Version,
        effects: &mut UpdateEffects,
    ) {
        let Some(accepted) = &mut self.accepted else {
            effects.touch_not_ready(&changes);
            let listing = Listing::from_sorted(changes.into_iter().filter_map(|change| change.new));
            let settings = settings.unwrap_or_default();
            self.accepted = Some(AcceptedContent { listing, settings, version: version.clone() });
            return;
        };
        for EndpointChange { name, new, .. } in changes {
            match new {
                Some(endpoint) => accepted.listing.insert(endpoint),
                None => accepted.listing.remove(&name),
            }
            effects.touched.push(name);
        }
        accepted.version = version.clone();
        accepted.settings = settings.unwrap_or(accepted.settings);
    }

    /// Whether another source lists exactly what this one would, held changes included.
    pub fn agrees_with(&self, other: &Listing) -> bool {
        let Some(quarantine) = &self.quarantine else { return false };
        let listed = self.accepted_listing().map_or(0, |own| own.counts().listed);
        let replaced = quarantine
            .changes
            .iter()
            .filter(|change| self.accepted_listing().is_some() && change.old.is_some())
            .count();
        let changed = || quarantine.changes.iter().filter_map(|change| change.new.as_ref());
        if other.counts().listed != listed - replaced + changed().count() {
            return false;
        }
        let kept = self.accepted_listing().into_iter().flat_map(Listing::iter);
        let kept = kept.filter(|(name, _)| quarantine.changes.get(name).is_none()).map(|(_, e)| e);
        changed().chain(kept).all(|e| other.get(&e.name).is_some_and(|o| o.address == e.address))
    }
}
