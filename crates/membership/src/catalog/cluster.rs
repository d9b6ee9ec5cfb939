//! The state of one cluster: each source's reports of it, and the source that owns it.
//!
//! The catalog calls it with each update. Each method records what it touched in [`UpdateEffects`];
//! `complete_update` (`reconcile`) then rechecks the quarantined changes and publishes the difference.

use super::change_set::ChangeSet;
use super::input_validation::{InvalidInput, ValidDelta, validate_delta, validate_list};
use super::listing::Listing;
use super::service::Service;
use super::source::Rank;
use super::state_overlay::StateOverlay;
use super::subscription::{DeltaChanges, Subscription, SuspiciousList};
use super::update::{UpdateContext, UpdateEffects};
use super::validation_report::ValidationReport;
use super::validator::{Candidate, Occasion};
use crate::endpoint::{ClusterSettings, Endpoint, Endpoints};
use crate::event::ClusterDelta;
use crate::invalid::Invalid;
use crate::names::{ClusterName, Version};
use crate::output::{Cause, ConfirmationSource, Output};
use crate::policy::Policy;
use crate::rejection::Rejection;
use olivecart_decisions::Nanos;
use std::collections::BTreeMap;

/// The complete state of a cluster, as a source lists it.
pub(super) struct ClusterSnapshot {
    pub endpoints: Endpoints,
    pub settings: ClusterSettings,
}

/// A whole list of endpoints that is to be validated as a source's new content.
struct CandidateList<'a> {
    /// Each endpoint is valid; sorted by id.
    endpoints: Vec<Endpoint>,
    settings: ClusterSettings,
    version: &'a Version,
    occasion: Occasion,
}

/// The state of one cluster.
#[derive(Debug)]
pub(super) struct ClusterState {
    pub name: ClusterName,
    /// By the rank of the source, in order of precedence.
    pub subscriptions: BTreeMap<Rank, Subscription>,
    pub service: Option<Service>,
    /// When the timer is due that forgets removed endpoints, if it is set.
    pub forget_at: Option<Nanos>,
}

impl ClusterState {
    pub fn new(name: ClusterName) -> ClusterState {
        ClusterState { name, subscriptions: BTreeMap::new(), service: None, forget_at: None }
    }

    /// Returns whether no source has reported the cluster and nothing is published.
    pub fn is_vacant(&self) -> bool {
        self.subscriptions.is_empty() && self.service.is_none()
    }

    /// Returns the source that provides the cluster: the first in precedence with accepted content.
    ///
    /// With a union of the sources' lists by id, an endpoint would stay until the last source has removed it:
    /// the slowest source would determine removals, and a source could not override a cluster. The drawback
    /// of a single owner is that the endpoints of one cluster cannot be spread over several sources.
    pub fn owner(&self) -> Option<Rank> {
        self.subscriptions
            .iter()
            .find(|(_, subscription)| subscription.accepted.is_some())
            .map(|(rank, _)| *rank)
    }

    /// Returns a subscription, and the owner's listing if the subscription would displace it.
    pub fn subscription(&self, rank: Rank) -> Option<(&Subscription, Option<&Listing>)> {
        let owner = self.owner().filter(|owner| rank < *owner);
        let displaced =
            owner.and_then(|owner| self.subscriptions.get(&owner)).and_then(Subscription::accepted_listing);
        Some((self.subscriptions.get(&rank)?, displaced))
    }

    /// Validates changes to a source's listing. A first list is compared with the listing that it would
    /// displace.
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

    /// Records that the source sent an update of the cluster.
    fn record_update(&mut self, now: Nanos, rank: Rank) {
        let subscription = self.subscriptions.entry(rank).or_default();
        subscription.last_update_at = now;
        subscription.missing = None;
    }

    /// Applies a whole list. Of a quarantined list, only the reports of endpoints that are not ready take
    /// effect. A rejected list has no effect, since its intended content is unknown.
    ///
    /// Endpoints are not validated one by one as in a delta: a list that lacks half of the endpoints is
    /// truncated or belongs to another cluster, so its other half cannot be trusted either.
    pub fn apply_snapshot(
        &mut self,
        context: &mut UpdateContext,
        rank: Rank,
        version: &Version,
        ClusterSnapshot { endpoints, settings }: ClusterSnapshot,
    ) -> UpdateEffects {
        let mut effects = UpdateEffects::default();
        self.record_update(context.now, rank);
        let endpoints = match endpoints {
            Endpoints::IntentionallyEmpty => {
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

    /// Applies an explicit report that the cluster has no endpoints.
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
        // The new list replaces the quarantined one in any case.
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

    /// Applies a delta. Its suspicious changes are quarantined, the others are applied at once.
    pub fn apply_delta(
        &mut self,
        context: &mut UpdateContext,
        rank: Rank,
        version: &Version,
        delta: ClusterDelta,
    ) -> UpdateEffects {
        let mut effects = UpdateEffects::default();
        self.record_update(context.now, rank);
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

    /// Applies a delta of a source without accepted content as its first list. Returns the invalid inputs.
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
        // Only the first delta contains the whole list; a later one adds to endpoints that were reported
        // before.
        let occasion = match subscription.quarantine {
            None => Occasion::Reported,
            Some(_) => Occasion::Rechecked,
        };
        let quarantined_settings =
            subscription.quarantine.as_ref().and_then(|quarantine| quarantine.list_settings);
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

    /// Applies a delta to a source's accepted content. Returns the invalid inputs.
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

    /// Applies an explicit or confirmed removal of the cluster by the source.
    pub fn remove(&mut self, rank: Rank) -> UpdateEffects {
        let mut effects = UpdateEffects::default();
        let Some(subscription) = self.subscriptions.get_mut(&rank) else { return effects };
        // The reported anomalies and the timer are kept, so that `complete_update` can withdraw them.
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

    /// Records and emits rejections, at most [`Policy::MAX_NAMED_REJECTIONS`] of them one by one.
    fn reject(&mut self, context: &mut UpdateContext, rank: Rank, mut invalid_inputs: Vec<InvalidInput>) {
        if invalid_inputs.len() > Policy::MAX_NAMED_REJECTIONS {
            let count = invalid_inputs.len() - Policy::MAX_NAMED_REJECTIONS;
            invalid_inputs.truncate(Policy::MAX_NAMED_REJECTIONS);
            invalid_inputs.push(InvalidInput::of_cluster(Invalid::MoreRejections { count }));
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
