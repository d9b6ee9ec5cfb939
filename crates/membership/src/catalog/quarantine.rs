//! The quarantine of suspicious changes: how a change comes into it, and the ways in which it is released.
//!
//! Extends [`Subscription`] and [`ClusterState`]; the catalog and `reconcile` call it. What is suspicious, the
//! validator decides.

use super::change_set::ChangeSet;
use super::cluster::ClusterState;
use super::subscription::{MissingCluster, Quarantine, Subscription, SuspiciousList};
use super::update::{Rank, UpdateContext, UpdateEffects};
use super::validator::{Occasion, ValidationReport};
use crate::anomaly::Anomaly;
use crate::endpoint::ClusterSettings;
use crate::names::{EndpointName, Version};
use crate::output::{Cause, ConfirmationSource};
use olivecart_decisions::Nanos;
use std::mem::discriminant;

impl Subscription {
    /// Quarantines a whole list in the place of what was quarantined before.
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
            whole: Some(settings),
            anomalies: report.anomalies,
            against: owner.filter(|_| self.accepted.is_none()),
            is_new: true,
            ..Quarantine::begin(previous, version, context)
        });
    }

    /// Quarantines changes of a delta beside what is quarantined already.
    pub(super) fn quarantine_changes(
        &mut self,
        suspicious: ChangeSet,
        anomalies: Vec<Anomaly>,
        version: &Version,
        context: &UpdateContext,
        effects: &mut UpdateEffects,
    ) {
        effects.touch_not_ready(&suspicious);
        let quarantine = self.quarantine.get_or_insert_with(|| Quarantine::begin(None, version, context));
        quarantine.changes.merge(suspicious);
        let is_other = |old: &Anomaly| !anomalies.iter().any(|new| discriminant(old) == discriminant(new));
        quarantine.anomalies.retain(is_other);
        quarantine.anomalies.extend(anomalies);
    }

    /// What is said now of endpoints takes the place of what was quarantined of them.
    pub(super) fn supersede(
        &mut self,
        named: Vec<EndpointName>,
        settings: Option<ClusterSettings>,
        version: &Version,
        effects: &mut UpdateEffects,
    ) {
        if let Some(quarantine) = &mut self.quarantine {
            quarantine.version = version.clone();
            quarantine.whole = quarantine.whole.map(|old| settings.unwrap_or(old));
            quarantine.changes.remove_all(&named);
            effects.touched.extend(named);
        }
    }
}

impl Quarantine {
    /// The time of a quarantine runs from when its source first said something suspicious, whatever it has said
    /// since. Danger: if each other version began it anew, a cluster that changes all the time would never
    /// get out.
    fn begin(previous: Option<Quarantine>, version: &Version, context: &UpdateContext) -> Quarantine {
        let next_refetch_at = context.now.saturating_add(context.policy.asking().as_nanos() as Nanos);
        let (since, refetch_at) = match previous {
            Some(previous) => (previous.since, previous.refetch_at),
            None => (context.now, next_refetch_at),
        };
        Quarantine {
            changes: ChangeSet::default(),
            whole: None,
            version: version.clone(),
            anomalies: Vec::new(),
            since,
            refetch_at,
            against: None,
            is_new: false,
        }
    }
}

impl ClusterState {
    /// The explicit confirmation of what is quarantined of a source. False if nothing is.
    pub fn confirm(&mut self, rank: Rank, effects: &mut UpdateEffects) -> bool {
        let Some(subscription) = self.subscriptions.get_mut(&rank) else { return false };
        if subscription.missing.is_some() {
            *effects = self.remove(rank);
            effects.released.insert(rank, Cause::Confirmed(ConfirmationSource::ExplicitCommand));
            return true;
        }
        self.release(rank, Cause::Confirmed(ConfirmationSource::ExplicitCommand), effects)
    }

    /// A list of all clusters lacks this one. `anomaly` is what that is.
    pub fn mark_missing(&mut self, context: &UpdateContext, rank: Rank, anomaly: Anomaly) -> UpdateEffects {
        let Some(subscription) = self.subscriptions.get_mut(&rank) else { return UpdateEffects::default() };
        let refetch_at = context.now.saturating_add(context.policy.asking().as_nanos() as Nanos);
        let (since, refetch_at) =
            subscription.missing.as_ref().map_or((context.now, refetch_at), |m| (m.since, m.refetch_at));
        let is_over = context.now.saturating_sub(since) >= context.policy.hold.as_nanos() as Nanos;
        if subscription.accepted.is_some() && (anomaly.needs_explicit_confirmation() || !is_over) {
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

    /// Releases what is quarantined and no longer suspicious: for an address is free again, another endpoint has
    /// come, the source that it stood against is gone, or another source lists the same.
    pub(super) fn release_resolved(&mut self, context: &UpdateContext, effects: &mut UpdateEffects) {
        loop {
            let held =
                self.subscriptions.iter().filter(|(_, subscription)| subscription.quarantine.is_some());
            let ranks: Vec<Rank> = held.map(|(rank, _)| *rank).collect();
            let mut is_any_released = false;
            for rank in ranks {
                is_any_released |=
                    self.release_agreed(context, rank, effects) || self.recheck(context, rank, effects);
            }
            // What is released may be what another quarantine waited for. Each round ends one or shrinks it.
            if !is_any_released {
                return;
            }
        }
    }

    /// Releases what another source lists too. Whether something was released.
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

    /// Validates what is quarantined once more, and releases what is no longer suspicious. Whether something was.
    fn recheck(&mut self, context: &UpdateContext, rank: Rank, effects: &mut UpdateEffects) -> bool {
        let owner = self.owner();
        let Some((subscription, other)) = self.subscription(rank) else { return false };
        let Some(quarantine) = subscription.quarantine.as_ref().filter(|quarantine| !quarantine.is_new)
        else {
            return false;
        };
        if subscription.accepted.is_none() {
            // A first list stands against the listing that it would displace, and waits as long as that is
            // there.
            if quarantine.against.is_none() || quarantine.against == owner {
                return false;
            }
            let list =
                quarantine.changes.iter().filter_map(|change| change.new.as_deref().cloned()).collect();
            let changes = subscription.difference(list, other, context.now);
            let report = self.validate(context, rank, &changes, Occasion::Rechecked);
            return self.release_cleared(rank, changes, report, effects);
        }
        if quarantine.whole.is_some() && quarantine.changes.iter().any(|change| change.awaits_confirmation) {
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

    /// Applies what is clear now of quarantined changes; the rest is_staying.
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
        quarantine.against = owner.filter(|_| subscription.accepted.is_none());
        let is_staying: Vec<bool> = match quarantine.whole {
            Some(_) => vec![!report.is_clear(); changes.len()],
            None => changes
                .iter()
                .zip(&report.suspicious)
                .map(|(change, suspicious)| change.awaits_confirmation || *suspicious)
                .collect(),
        };
        report.mark(&mut changes);
        let is_resolved = !is_staying.contains(&true) && report.is_clear();
        let (staying, passing) = changes.split(&is_staying);
        if is_resolved {
            quarantine.changes = passing;
            return self.release(rank, Cause::Resolved, effects);
        }
        if !report.is_clear() {
            quarantine.anomalies = report.anomalies;
        }
        quarantine.changes = staying;
        if passing.is_empty() {
            return false;
        }
        effects.touch_not_ready(&passing);
        effects.released.entry(rank).or_insert(Cause::Resolved);
        let version = quarantine.version.clone();
        subscription.apply(passing, None, &version, effects);
        true
    }

    /// Applies all that is quarantined of a source. False if nothing is.
    fn release(&mut self, rank: Rank, cause: Cause, effects: &mut UpdateEffects) -> bool {
        let Some(subscription) = self.subscriptions.get_mut(&rank) else { return false };
        let Some(quarantine) = subscription.quarantine.take() else { return false };
        effects.touch_not_ready(&quarantine.changes);
        if !quarantine.changes.is_empty() || quarantine.whole.is_some() {
            effects.released.entry(rank).or_insert(cause);
        }
        subscription.apply(quarantine.changes, quarantine.whole, &quarantine.version, effects);
        true
    }
}
