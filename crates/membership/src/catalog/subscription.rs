//! The state of one cluster as one source reports it: its accepted content and its quarantined changes.

use super::change_set::{ChangeSet, EndpointChange};
use super::input_validation::InvalidInput;
use super::listing::Listing;
use super::source::Rank;
use super::update::{UpdateContext, UpdateEffects};
use super::validation_report::ValidationReport;
use crate::anomaly::Anomaly;
use crate::endpoint::{ClusterSettings, Endpoint, State};
use crate::invalid::Invalid;
use crate::names::{EndpointName, Version};
use crate::policy::Policy;
use crate::rejection::Rejection;
use olivecart_decisions::Nanos;
use std::collections::BTreeMap;
use std::sync::Arc;

/// One source's reports of one cluster.
#[derive(Debug, Default)]
pub(super) struct Subscription {
    /// The last valid content that was applied.
    pub accepted: Option<AcceptedContent>,
    pub quarantine: Option<Quarantine>,
    /// Set if the cluster is missing from the source's last full snapshot.
    pub missing: Option<MissingCluster>,
    /// When the source last sent an update of this cluster.
    pub last_update_at: Nanos,
    pub last_rejection: Option<(Nanos, Rejection)>,
    /// The anomalies in the last output.
    pub last_reported: Vec<Anomaly>,
    /// When the refetch timer is due, if it is set.
    pub timer: Option<Nanos>,
}

/// Content that was accepted.
#[derive(Debug)]
pub(super) struct AcceptedContent {
    pub listing: Listing,
    pub settings: ClusterSettings,
    pub version: Version,
}

/// A quarantined change. Only differences are stored, so its memory is proportional to the size of the
/// change.
#[derive(Debug)]
pub(super) struct Quarantine {
    pub changes: ChangeSet,
    /// Set if the changes stem from a whole list: they are released together, with these limits.
    pub list_settings: Option<ClusterSettings>,
    pub version: Version,
    pub anomalies: Vec<Anomaly>,
    pub since: Nanos,
    /// When its source is to be asked again. Earlier repetition does not confirm the change.
    pub refetch_at: Nanos,
    /// For a first list: the current owner of the cluster, whose listing it would displace.
    pub displaced_owner: Option<Rank>,
    /// Created by the current event, so that it needs no recheck.
    pub is_new: bool,
}

/// A whole list that is to be quarantined.
pub(super) struct SuspiciousList<'a> {
    pub changes: ChangeSet,
    pub report: ValidationReport,
    pub settings: ClusterSettings,
    pub version: &'a Version,
    /// The previous quarantine of the source, which the list replaces.
    pub previous: Option<Quarantine>,
    /// The source that currently provides the cluster.
    pub owner: Option<Rank>,
}

/// The changes of a delta to the accepted content.
pub(super) struct DeltaChanges {
    pub changes: ChangeSet,
    /// All endpoints that the delta names, changed or not.
    pub named: Vec<EndpointName>,
    /// The endpoints beyond the limit.
    pub too_many: Vec<InvalidInput>,
}

/// The record of a cluster that is missing from a full snapshot.
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

    /// Returns whether it has neither accepted nor quarantined nor rejected content.
    pub fn is_vacant(&self) -> bool {
        self.accepted.is_none() && self.quarantine.is_none() && self.last_rejection.is_none()
    }

    /// Returns when its source is to be asked again.
    pub fn refetch_at(&self) -> Option<Nanos> {
        let quarantine = self.quarantine.as_ref().map(|quarantine| quarantine.refetch_at);
        quarantine.into_iter().chain(self.missing.as_ref().map(|missing| missing.refetch_at)).min()
    }

    /// Postpones the due refetches by one interval.
    pub fn postpone_refetch(&mut self, now: Nanos, policy: &Policy) {
        let next = now.saturating_add(policy.refetch_interval().as_nanos() as Nanos);
        let of_quarantine = self.quarantine.iter_mut().map(|quarantine| &mut quarantine.refetch_at);
        let of_missing = self.missing.iter_mut().map(|missing| &mut missing.refetch_at);
        for refetch_at in of_quarantine.chain(of_missing).filter(|refetch_at| **refetch_at <= now) {
            *refetch_at = next;
        }
    }

    /// Creates the change of one endpoint that is reported now. A quarantined change of the endpoint keeps
    /// its time as long as its suspicious part is the same: the removal of the endpoint, or its address.
    fn change(
        &self,
        name: EndpointName,
        old: Option<&Arc<Endpoint>>,
        new: Option<Endpoint>,
        now: Nanos,
    ) -> EndpointChange {
        let quarantined = self.quarantine.as_ref().and_then(|quarantine| quarantine.changes.get(&name));
        let same = quarantined
            .filter(|change| change.new.as_ref().map(|e| e.address) == new.as_ref().map(|e| e.address));
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

    /// Returns the changes from the accepted content to a whole list, which is sorted by id. For a first
    /// list, all endpoints are new, and the changes also include the removals of another source's endpoints
    /// that the list would displace, in order to record their time.
    pub fn difference(&self, list: Vec<Endpoint>, other: Option<&Listing>, now: Nanos) -> ChangeSet {
        let mut old_endpoints =
            self.accepted_listing().or(other).into_iter().flat_map(Listing::iter).peekable();
        let is_known = self.accepted.is_some();
        let mut changes = Vec::with_capacity(if is_known { 0 } else { list.len() });
        let removal = |(name, old): (&EndpointName, _)| self.change(name.clone(), Some(old), None, now);
        for new in list {
            while let Some(old) = old_endpoints.next_if(|(name, _)| **name < new.name) {
                changes.push(removal(old));
            }
            let old = old_endpoints.next_if(|(name, _)| **name == new.name).map(|(_, old)| old);
            if !old.is_some_and(|old| is_known && **old == new) {
                changes.push(self.change(new.name.clone(), old, Some(new), now));
            }
        }
        changes.extend(old_endpoints.map(removal));
        ChangeSet::from_sorted(changes)
    }

    /// Returns the first list of a source that only sends deltas: its quarantined endpoints, updated by the
    /// new ones.
    pub fn first_list(&self, endpoints: BTreeMap<EndpointName, Option<Endpoint>>) -> Vec<Endpoint> {
        let quarantined = self
            .quarantine
            .iter()
            .flat_map(|quarantine| quarantine.changes.iter())
            .filter_map(|change| change.new.as_deref());
        let mut list: BTreeMap<_, _> = quarantined.map(|e| (e.name.clone(), Some(e.clone()))).collect();
        list.extend(endpoints);
        list.into_values().flatten().collect()
    }

    /// Returns the changes of a delta's endpoints to the accepted content.
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

    /// Applies changes to the accepted content, and records the touched endpoints.
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

    /// Returns whether another source lists exactly the same endpoints as this one, quarantined changes
    /// included.
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
