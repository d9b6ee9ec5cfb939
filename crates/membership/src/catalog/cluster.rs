//! One cluster: what each source says of it, and which of them gives it.
//!
//! The catalog calls it with each update. Each method puts into [`UpdateEffects`] what it touched;
//! `complete_update` (`reconcile`) then rechecks what is quarantined, and puts out the difference.

use super::change_set::ChangeSet;
use super::input_validation::{InvalidInput, ValidDelta, validate_delta, validate_list};
use super::listing::Listing;
use super::service::Service;
use super::state_overlay::StateOverlay;
use super::subscription::{DeltaChanges, Subscription, SuspiciousList};
use super::update::{Rank, UpdateContext, UpdateEffects};
use super::validator::{Candidate, Occasion, ValidationReport};
use crate::endpoint::{ClusterSettings, Endpoint, Endpoints};
use crate::event::ClusterDelta;
use crate::invalid::Invalid;
use crate::names::{ClusterName, Version};
use crate::output::{Cause, ConfirmationSource, Output};
use crate::policy::Policy;
use crate::rejection::Rejection;
use olivecart_decisions::Nanos;
use std::collections::BTreeMap;

/// A cluster whole, as a source lists it.
pub(super) struct ClusterSnapshot {
    pub endpoints: Endpoints,
    pub settings: ClusterSettings,
}

/// A whole list of endpoints that may become a source's accepted content.
struct CandidateList<'a> {
    /// Valid each, and sorted by id.
    endpoints: Vec<Endpoint>,
    settings: ClusterSettings,
    version: &'a Version,
    occasion: Occasion,
}

/// One cluster.
#[derive(Debug)]
pub(super) struct ClusterState {
    pub name: ClusterName,
    /// In the order of precedence.
    pub subscriptions: BTreeMap<Rank, Subscription>,
    pub service: Option<Service>,
    /// When it is to be woken to forget what was removed.
    pub forget_at: Option<Nanos>,
}

impl ClusterState {
    pub fn new(name: ClusterName) -> ClusterState {
        ClusterState { name, subscriptions: BTreeMap::new(), service: None, forget_at: None }
    }

    /// No source says anything of it, and nothing serves.
    pub fn is_vacant(&self) -> bool {
        self.subscriptions.is_empty() && self.service.is_none()
    }

    /// Who gives the cluster: the first in precedence with good content, and it alone.
    ///
    /// Weighed against a union by id: in a union an endpoint stays until the last source has dropped it, so
    /// that the slowest one decides about removals, and nobody can pin a cluster. The price is that the
    /// endpoints of one cluster cannot be spread over sources.
    pub fn owner(&self) -> Option<Rank> {
        self.subscriptions
            .iter()
            .find(|(_, subscription)| subscription.accepted.is_some())
            .map(|(rank, _)| *rank)
    }

    /// A subscription, and the listing that gives the cluster where the subscription would take its place.
    pub fn subscription(&self, rank: Rank) -> Option<(&Subscription, Option<&Listing>)> {
        let owner = self.owner().filter(|owner| rank < *owner);
        let before =
            owner.and_then(|owner| self.subscriptions.get(&owner)).and_then(Subscription::accepted_listing);
        Some((self.subscriptions.get(&rank)?, before))
    }

    /// Validates a change of a source's listing; of a first list, against the listing that it would displace.
    pub fn validate(
        &self,
        context: &UpdateContext,
        rank: Rank,
        changes: &ChangeSet,
        occasion: Occasion,
    ) -> ValidationReport {
        let (subscription, displaced) = self.subscription(rank).unzip();
        let candidate = Candidate {
            policy: context.policy,
            now: context.now,
            current: subscription.and_then(Subscription::accepted_listing),
            displaced: displaced.flatten(),
            changes,
            overlay: StateOverlay { subscriptions: &self.subscriptions, listed_by: rank },
            occasion,
        };
        candidate.validate()
    }

    /// The source speaks of the cluster.
    fn note_update(&mut self, now: Nanos, rank: Rank) {
        let subscription = self.subscriptions.entry(rank).or_default();
        subscription.last_update_at = now;
        subscription.missing = None;
    }

    /// Applies a whole list: all of it or, if it is quarantined, nothing but what it says of endpoints that are
    /// not ready. One that is rejected says nothing: what its author meant is a guess.
    ///
    /// Weighed against validating endpoint by endpoint as in a delta: a list that lacks half the endpoints is
    /// torn or of another cluster, and its other half is then no better.
    pub fn apply_snapshot(
        &mut self,
        context: &mut UpdateContext,
        rank: Rank,
        version: &Version,
        ClusterSnapshot { endpoints, settings }: ClusterSnapshot,
    ) -> UpdateEffects {
        let mut effects = UpdateEffects::default();
        self.note_update(context.now, rank);
        let endpoints = match endpoints {
            Endpoints::NoneOnPurpose => {
                match settings.check() {
                    Ok(()) => self.apply_empty(rank, version, settings, &mut effects),
                    Err(reason) => self.reject(context, rank, vec![InvalidInput::of_cluster(reason)]),
                }
                return effects;
            }
            Endpoints::Listed(endpoints) => endpoints,
        };
        match validate_list(endpoints, &settings, context.policy) {
            Err(invalid_inputs) => self.reject(context, rank, invalid_inputs),
            Ok(endpoints) => {
                let list = CandidateList { endpoints, settings, version, occasion: Occasion::Reported };
                self.apply_list(context, rank, list, &mut effects);
            }
        }
        effects
    }

    /// The source says in so many words that there are no endpoints.
    fn apply_empty(
        &mut self,
        rank: Rank,
        version: &Version,
        settings: ClusterSettings,
        effects: &mut UpdateEffects,
    ) {
        let subscription = self.subscriptions.entry(rank).or_default();
        if let Some(accepted) = subscription.accepted.take() {
            effects.touched.extend(accepted.listing.iter().map(|(name, _)| name.clone()));
        }
        if let Some(quarantine) = subscription.quarantine.take() {
            effects.touch_not_ready(&quarantine.changes);
        }
        subscription.apply(ChangeSet::default(), Some(settings), version, effects);
    }

    /// Validates a whole list, and accepts or quarantines it.
    fn apply_list(
        &mut self,
        context: &mut UpdateContext,
        rank: Rank,
        list: CandidateList,
        effects: &mut UpdateEffects,
    ) {
        let CandidateList { endpoints, settings, version, occasion } = list;
        let Some((subscription, displaced)) = self.subscription(rank) else { return };
        let changes = subscription.difference(endpoints, displaced, context.now);
        // What was quarantined is no longer said, whatever is said now.
        let previous =
            self.subscriptions.get_mut(&rank).and_then(|subscription| subscription.quarantine.take());
        previous.iter().for_each(|previous| effects.touch_not_ready(&previous.changes));
        let report = self.validate(context, rank, &changes, occasion);
        let owner = self.owner();
        let subscription = self.subscriptions.entry(rank).or_default();
        if !report.is_clear() {
            let list = SuspiciousList { changes, report, settings, version, previous, owner };
            return subscription.quarantine_list(list, context, effects);
        }
        if previous.is_some() && report.confirmed_by_repetition {
            effects.released.insert(rank, Cause::Confirmed(ConfirmationSource::Repetition));
        }
        subscription.apply(changes, Some(settings), version, effects);
    }

    /// Applies a delta: its harmless changes at once, while the suspicious ones are quarantined.
    pub fn apply_delta(
        &mut self,
        context: &mut UpdateContext,
        rank: Rank,
        version: &Version,
        delta: ClusterDelta,
    ) -> UpdateEffects {
        let mut effects = UpdateEffects::default();
        self.note_update(context.now, rank);
        let delta = validate_delta(delta);
        let is_first =
            self.subscriptions.get(&rank).is_some_and(|subscription| subscription.accepted.is_none());
        let invalid_inputs = if is_first {
            self.apply_first_delta(context, rank, version, delta, &mut effects)
        } else {
            self.apply_further_delta(context, rank, version, delta, &mut effects)
        };
        self.reject(context, rank, invalid_inputs);
        effects
    }

    /// Applies a delta of a source of which nothing has been accepted, as its first list. Gives what is invalid.
    fn apply_first_delta(
        &mut self,
        context: &mut UpdateContext,
        rank: Rank,
        version: &Version,
        delta: ValidDelta,
        effects: &mut UpdateEffects,
    ) -> Vec<InvalidInput> {
        let ValidDelta { endpoints, settings, mut invalid_inputs } = delta;
        let Some(subscription) = self.subscriptions.get(&rank) else { return invalid_inputs };
        // Only a first delta is reported whole; what it adds to was reported before.
        let occasion = match subscription.quarantine {
            None => Occasion::Reported,
            Some(_) => Occasion::Rechecked,
        };
        let quarantined_settings = subscription.quarantine.as_ref().and_then(|quarantine| quarantine.whole);
        let settings = settings.or(quarantined_settings).unwrap_or_default();
        let endpoints = subscription.first_list(endpoints);
        let most = context.policy.max_endpoints;
        if endpoints.len() > most {
            invalid_inputs.push(InvalidInput::of_cluster(Invalid::TooManyEndpoints { most }));
        } else if !endpoints.is_empty() || occasion == Occasion::Rechecked {
            let list = CandidateList { endpoints, settings, version, occasion };
            self.apply_list(context, rank, list, effects);
        }
        invalid_inputs
    }

    /// Applies a delta to what was accepted of a source. Gives what is invalid.
    fn apply_further_delta(
        &mut self,
        context: &mut UpdateContext,
        rank: Rank,
        version: &Version,
        delta: ValidDelta,
        effects: &mut UpdateEffects,
    ) -> Vec<InvalidInput> {
        let ValidDelta { endpoints, settings, mut invalid_inputs } = delta;
        let Some(subscription) = self.subscriptions.get_mut(&rank) else { return invalid_inputs };
        let DeltaChanges { changes, named, too_many } = subscription.delta_changes(endpoints, context);
        invalid_inputs.extend(too_many);
        subscription.supersede(named, settings, version, effects);
        let report = self.validate(context, rank, &changes, Occasion::Reported);
        let (suspicious, changes) = report.split(changes);
        if report.confirmed_by_repetition {
            effects.released.insert(rank, Cause::Confirmed(ConfirmationSource::Repetition));
        }
        let subscription = self.subscriptions.entry(rank).or_default();
        subscription.apply(changes, settings, version, effects);
        if !suspicious.is_empty() {
            subscription.quarantine_changes(suspicious, report.anomalies, version, context, effects);
        }
        invalid_inputs
    }

    /// The source says in so many words that the cluster is no more, or that was confirmed.
    pub fn remove(&mut self, rank: Rank) -> UpdateEffects {
        let mut effects = UpdateEffects::default();
        let Some(subscription) = self.subscriptions.get_mut(&rank) else { return effects };
        // What was reported and scheduled for it stays, so that `complete_update` takes it back.
        let remaining = Subscription {
            last_reported: std::mem::take(&mut subscription.last_reported),
            timer: subscription.timer,
            ..Subscription::default()
        };
        let old = std::mem::replace(subscription, remaining);
        if let Some(quarantine) = old.quarantine {
            effects.touch_not_ready(&quarantine.changes);
        }
        if let Some(accepted) = old.accepted {
            effects.touched.extend(accepted.listing.iter().map(|(name, _)| name.clone()));
        }
        effects
    }

    /// Notes and puts out what is rejected; at most [`Policy::MOST_REFUSALS`] by name.
    fn reject(&mut self, context: &mut UpdateContext, rank: Rank, mut invalid_inputs: Vec<InvalidInput>) {
        if invalid_inputs.len() > Policy::MOST_REFUSALS {
            let count = invalid_inputs.len() - Policy::MOST_REFUSALS;
            invalid_inputs.truncate(Policy::MOST_REFUSALS);
            invalid_inputs.push(InvalidInput::of_cluster(Invalid::More { count }));
        }
        let Some(subscription) = self.subscriptions.get_mut(&rank) else { return };
        for (at, InvalidInput { endpoint, reason }) in invalid_inputs.into_iter().enumerate() {
            let source = context.sources[rank].id.clone();
            let rejection = Rejection { source, cluster: Some(self.name.clone()), endpoint, reason };
            if at == 0 {
                subscription.last_rejection = Some((context.now, rejection.clone()));
            }
            context.out.push(Output::Rejected(rejection));
        }
    }
}
