//! The quarantine of suspicious changes: how changes enter it and how they are released.
//!
//! Extends [`Subscription`] and [`ClusterState`]; the catalog and `reconcile` call it. The validator decides
//! which changes are suspicious.

use super::change_set::ChangeSet;
use super::cluster::ClusterState;
use super::source::Rank;
use super::subscription::{MissingCluster, Quarantine, Subscription, SuspiciousList};
use super::update::{UpdateContext, UpdateEffects};
use super::validation_report::ValidationReport;
use super::validator::Occasion;
use crate::anomaly::Anomaly;
use crate::endpoint::ClusterSettings;
use crate::names::{EndpointName, Version};
use crate::output::{Cause, ConfirmationSource};
use olivecart_decisions::Nanos;
use std::mem::discriminant;

impl Subscription {
    /// Quarantines a whole list, which replaces the previous quarantine.
    pub(super) fn quarantine_list(
        &mut self,
        list: SuspiciousList,
        context: &UpdateContext,
        effects: &mut UpdateEffects,
    ) {
        let SuspiciousList { mut changes, report, settings, version, previous, owner } = list;
        effects.touch_not_ready(&changes);
        report.mark(&mut changes);
        self.quarantine = Some(Quarantine {
            changes,
            list_settings: Some(settings),
            anomalies: report.anomalies,
            displaced_owner: owner.filter(|_| self.accepted.is_none()),
            is_new: true,
            ..Quarantine::start(previous, version, context)
        });
    }

    /// Adds changes of a delta to the quarantine.
    pub(super) fn quarantine_changes(
        &mut self,
        suspicious: ChangeSet,
        anomalies: Vec<Anomaly>,
        version: &Version,
        context: &UpdateContext,
        effects: &mut UpdateEffects,
    ) {
        effects.touch_not_ready(&suspicious);
        let quarantine = self.quarantine.get_or_insert_with(|| Quarantine::start(None, version, context));
        quarantine.changes.merge(suspicious);
        let is_other = |old: &Anomaly| !anomalies.iter().any(|new| discriminant(old) == discriminant(new));
        quarantine.anomalies.retain(is_other);
        quarantine.anomalies.extend(anomalies);
    }

    /// Drops the quarantined changes of the named endpoints, since newer reports replace them.
    pub(super) fn supersede(
        &mut self,
        named: Vec<EndpointName>,
        settings: Option<ClusterSettings>,
        version: &Version,
        effects: &mut UpdateEffects,
    ) {
        if let Some(quarantine) = &mut self.quarantine {
            quarantine.version = version.clone();
            quarantine.list_settings = quarantine.list_settings.map(|old| settings.unwrap_or(old));
            quarantine.changes.remove_all(&named);
            effects.touched.extend(named);
        }
    }
}

impl Quarantine {
    /// Creates a quarantine. Its period starts with the first suspicious update of the source, regardless of
    /// later updates: if each new version restarted the period, a cluster that changes constantly would never
    /// be released.
    fn start(previous: Option<Quarantine>, version: &Version, context: &UpdateContext) -> Quarantine {
        let next_refetch_at =
            context.now.saturating_add(context.policy.refetch_interval().as_nanos() as Nanos);
        let (since, refetch_at) = match previous {
            Some(previous) => (previous.since, previous.refetch_at),
            None => (context.now, next_refetch_at),
        };
        Quarantine {
            changes: ChangeSet::default(),
            list_settings: None,
            version: version.clone(),
            anomalies: Vec::new(),
            since,
            refetch_at,
            displaced_owner: None,
            is_new: false,
        }
    }
}

impl ClusterState {
    /// Applies an explicit confirmation of a source's quarantined changes. Returns `false` if there are none.
    pub fn confirm(&mut self, rank: Rank, effects: &mut UpdateEffects) -> bool {
        let Some(subscription) = self.subscriptions.get_mut(&rank) else { return false };
        if subscription.missing.is_some() {
            *effects = self.remove(rank);
            effects.released.insert(rank, Cause::Confirmed(ConfirmationSource::ExplicitCommand));
            return true;
        }
        self.release(rank, Cause::Confirmed(ConfirmationSource::ExplicitCommand), effects)
    }

    /// Handles a full snapshot without this cluster: quarantines the removal as `anomaly` until it is
    /// confirmed.
    pub fn mark_missing(&mut self, context: &UpdateContext, rank: Rank, anomaly: Anomaly) -> UpdateEffects {
        let Some(subscription) = self.subscriptions.get_mut(&rank) else { return UpdateEffects::default() };
        let refetch_at = context.now.saturating_add(context.policy.refetch_interval().as_nanos() as Nanos);
        let (since, refetch_at) =
            subscription.missing.as_ref().map_or((context.now, refetch_at), |m| (m.since, m.refetch_at));
        let is_period_over = context.now.saturating_sub(since) >= context.policy.hold.as_nanos() as Nanos;
        if subscription.accepted.is_some() && (anomaly.needs_explicit_confirmation() || !is_period_over) {
            subscription.missing = Some(MissingCluster { anomaly, since, refetch_at });
            return UpdateEffects::default();
        }
        let was_missing = subscription.missing.is_some();
        let mut effects = self.remove(rank);
        if was_missing {
            effects.released.insert(rank, Cause::Confirmed(ConfirmationSource::Repetition));
        }
        effects
    }

    /// Releases quarantined changes that are no longer suspicious because an address is free again, another
    /// endpoint was added, the owner that a first list would displace has changed, or another source lists
    /// the same endpoints.
    pub(super) fn release_resolved(&mut self, context: &UpdateContext, effects: &mut UpdateEffects) {
        loop {
            let quarantined =
                self.subscriptions.iter().filter(|(_, subscription)| subscription.quarantine.is_some());
            let ranks: Vec<Rank> = quarantined.map(|(rank, _)| *rank).collect();
            let mut is_any_released = false;
            for rank in ranks {
                is_any_released |=
                    self.release_agreed(context, rank, effects) || self.recheck(context, rank, effects);
            }
            // A release may resolve another quarantine. The loop ends, since each round ends or shrinks a
            // quarantine.
            if !is_any_released {
                return;
            }
        }
    }

    /// Releases a quarantined list that another source lists too. Returns whether it was released.
    fn release_agreed(&mut self, context: &UpdateContext, rank: Rank, effects: &mut UpdateEffects) -> bool {
        let Some(subscription) = self.subscriptions.get(&rank) else { return false };
        if subscription.quarantine.as_ref().is_none_or(Quarantine::needs_explicit_confirmation) {
            return false;
        }
        let mut others = self.subscriptions.iter().filter(|(other, _)| **other != rank);
        let agreeing = others.find(|(_, other)| {
            other.accepted_listing().is_some_and(|listing| subscription.agrees_with(listing))
        });
        let Some((&other, _)) = agreeing else { return false };
        let other = context.sources[other].id.clone();
        self.release(rank, Cause::Confirmed(ConfirmationSource::SecondSource(other)), effects)
    }

    /// Validates the quarantined changes again. Returns whether any were released.
    fn recheck(&mut self, context: &UpdateContext, rank: Rank, effects: &mut UpdateEffects) -> bool {
        let owner = self.owner();
        let Some((subscription, displaced)) = self.subscription(rank) else { return false };
        let Some(quarantine) = subscription.quarantine.as_ref().filter(|quarantine| !quarantine.is_new)
        else {
            return false;
        };
        if subscription.accepted.is_none() {
            // A first list was compared with the listing that it would displace, and waits until that
            // changes.
            if quarantine.displaced_owner.is_none() || quarantine.displaced_owner == owner {
                return false;
            }
            let list =
                quarantine.changes.iter().filter_map(|change| change.new.as_deref().cloned()).collect();
            let changes = subscription.difference(list, displaced, context.now);
            let report = self.validate(context, rank, &changes, Occasion::Rechecked);
            return self.release_cleared(rank, changes, report, effects);
        }
        if quarantine.list_settings.is_some()
            && quarantine.changes.iter().any(|change| change.awaits_confirmation)
        {
            return false;
        }
        let report = self.validate(context, rank, &quarantine.changes, Occasion::Rechecked);
        let Some(quarantine) =
            self.subscriptions.get_mut(&rank).and_then(|subscription| subscription.quarantine.as_mut())
        else {
            return false;
        };
        let changes = std::mem::take(&mut quarantine.changes);
        self.release_cleared(rank, changes, report, effects)
    }

    /// Applies the quarantined changes that are no longer suspicious. Returns whether there were any.
    fn release_cleared(
        &mut self,
        rank: Rank,
        mut changes: ChangeSet,
        report: ValidationReport,
        effects: &mut UpdateEffects,
    ) -> bool {
        let owner = self.owner();
        let Some(subscription) = self.subscriptions.get_mut(&rank) else { return false };
        let Some(quarantine) = &mut subscription.quarantine else { return false };
        quarantine.displaced_owner = owner.filter(|_| subscription.accepted.is_none());
        let stays_quarantined: Vec<bool> = match quarantine.list_settings {
            Some(_) => vec![!report.is_clear(); changes.len()],
            None => changes
                .iter()
                .zip(&report.suspicious)
                .map(|(change, suspicious)| change.awaits_confirmation || *suspicious)
                .collect(),
        };
        report.mark(&mut changes);
        let is_resolved = !stays_quarantined.contains(&true) && report.is_clear();
        let (staying, cleared) = changes.split(&stays_quarantined);
        if is_resolved {
            quarantine.changes = cleared;
            return self.release(rank, Cause::Resolved, effects);
        }
        if !report.is_clear() {
            quarantine.anomalies = report.anomalies;
        }
        quarantine.changes = staying;
        if cleared.is_empty() {
            return false;
        }
        effects.touch_not_ready(&cleared);
        effects.released.entry(rank).or_insert(Cause::Resolved);
        let version = quarantine.version.clone();
        subscription.apply(cleared, None, &version, effects);
        true
    }

    /// Applies all quarantined changes of a source. Returns `false` if there are none.
    fn release(&mut self, rank: Rank, cause: Cause, effects: &mut UpdateEffects) -> bool {
        let Some(subscription) = self.subscriptions.get_mut(&rank) else { return false };
        let Some(quarantine) = subscription.quarantine.take() else { return false };
        effects.touch_not_ready(&quarantine.changes);
        if !quarantine.changes.is_empty() || quarantine.list_settings.is_some() {
            effects.released.entry(rank).or_insert(cause);
        }
        subscription.apply(quarantine.changes, quarantine.list_settings, &quarantine.version, effects);
        true
    }
}
