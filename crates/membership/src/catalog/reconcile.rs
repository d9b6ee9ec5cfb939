//! Completes an update: brings the published state of a cluster in line with the sources' reports, and emits
//! outputs.

use super::cluster::ClusterState;
use super::listing::Listing;
use super::service::{ServedDifference, Service};
use super::source::Rank;
use super::state_overlay::StateOverlay;
use super::timers::Timer;
use super::update::{UpdateContext, UpdateEffects};
use crate::anomaly::Anomaly;
use crate::endpoint::Endpoint;
use crate::names::EndpointName;
use crate::output::{Added, Arrival, Cause, Change, Output, Quarantined, Removed, Stale, Upserted};
use std::mem::{Discriminant, discriminant};
use std::sync::Arc;

impl ClusterState {
    /// Completes an update by the source `by`.
    pub fn complete_update(&mut self, context: &mut UpdateContext, by: Rank, mut effects: UpdateEffects) {
        self.release_resolved(context, &mut effects);
        self.publish(context, by, &mut effects);
        self.report_quarantines(context, &effects);
        self.report_staleness(context);
        self.schedule_timers(context);
        self.subscriptions.retain(|_, subscription| !subscription.is_vacant());
    }

    /// Brings the published state up to date by the smallest change.
    fn publish(&mut self, context: &mut UpdateContext, by: Rank, effects: &mut UpdateEffects) {
        let cause = effects.released.values().next().cloned();
        let cause = cause.unwrap_or_else(|| Cause::Update { by: context.sources[by].id.clone() });
        let owner = self.owner();
        let accepted = owner
            .and_then(|owner| self.subscriptions.get(&owner))
            .and_then(|subscription| subscription.accepted.as_ref());
        let (Some(owner), Some(accepted)) = (owner, accepted) else {
            return self.publish_removal(context, cause);
        };
        let source = context.sources[owner].id.clone();
        let overlay = StateOverlay { subscriptions: &self.subscriptions, listed_by: owner };
        let is_new = self.service.is_none();
        let service = self.service.get_or_insert_with(|| Service::new(owner, accepted.settings, context.now));
        let is_taken_over = std::mem::replace(&mut service.owner, owner) != owner;
        let difference = if is_new {
            let (cluster, source) = (self.name.clone(), source.clone());
            context.out.push(Output::Added(Added { cluster, source, settings: accepted.settings }));
            serve_all(service, &accepted.listing, overlay)
        } else {
            let touched = std::mem::take(&mut effects.touched);
            let touched = if is_taken_over { all_names(service, &accepted.listing) } else { touched };
            serve_touched(service, &accepted.listing, overlay, touched, context)
        };
        let settings = (service.settings != accepted.settings).then_some(accepted.settings);
        service.settings = accepted.settings;
        let ServedDifference { removed, upserted } = difference;
        if is_taken_over || settings.is_some() || !removed.is_empty() || !upserted.is_empty() {
            service.changed_at = context.now;
            let (cluster, version) = (self.name.clone(), accepted.version.clone());
            let change = Change { cluster, source, version, cause, settings, removed, upserted };
            context.out.push(Output::Changed(change));
        }
    }

    /// Publishes that no source provides the cluster any longer.
    fn publish_removal(&mut self, context: &mut UpdateContext, cause: Cause) {
        // This also drops the recently removed endpoints: a later cluster of the same name is a different
        // one.
        let Some(removed) = self.service.take() else { return };
        let source = context.sources[removed.owner].id.clone();
        context.out.push(Output::Removed(Removed { cluster: self.name.clone(), source, cause }));
    }

    /// Emits an output for each quarantine whose kinds of anomalies have changed.
    fn report_quarantines(&mut self, context: &mut UpdateContext, effects: &UpdateEffects) {
        let kinds = |s: &[Anomaly]| s.iter().map(discriminant).collect::<Vec<Discriminant<Anomaly>>>();
        for (rank, subscription) in &mut self.subscriptions {
            let quarantined = subscription.quarantine.iter_mut().flat_map(|quarantine| {
                quarantine.is_new = false;
                quarantine.anomalies.iter().cloned()
            });
            let missing = subscription.missing.iter().map(|missing| missing.anomaly.clone());
            let anomalies: Vec<Anomaly> = quarantined.chain(missing).collect();
            let is_new = kinds(&anomalies) != kinds(&subscription.last_reported);
            subscription.last_reported = anomalies.clone();
            if !is_new {
                continue;
            }
            let (cluster, source) = (self.name.clone(), context.sources[*rank].id.clone());
            context.out.push(match (subscription.refetch_at(), effects.released.get(rank)) {
                (Some(until), _) => Output::Quarantined(Quarantined { cluster, source, anomalies, until }),
                (None, Some(cause)) => Output::Released { cluster, source, cause: cause.clone() },
                (None, None) => Output::QuarantineDropped { cluster, source },
            });
        }
    }

    /// Emits an output if the cluster has become stale, or is no longer stale.
    pub fn report_staleness(&mut self, context: &mut UpdateContext) {
        let Some(service) = &mut self.service else { return };
        let owner = &context.sources[service.owner];
        let stale = owner.silent.as_ref().filter(|silent| silent.is_stale);
        if service.is_stale == stale.is_some() {
            return;
        }
        service.is_stale = stale.is_some();
        let (cluster, source) = (self.name.clone(), owner.id.clone());
        context.out.push(match stale {
            Some(silent) => Output::Stale(Stale { cluster, source, since: silent.since }),
            None => Output::Recovered { cluster, source },
        });
    }

    pub fn schedule_timers(&mut self, context: &mut UpdateContext) {
        for (rank, subscription) in &mut self.subscriptions {
            let refetch_at = subscription.refetch_at();
            context
                .timers
                .set(&mut subscription.timer, refetch_at, || Timer::Refetch(self.name.clone(), *rank));
        }
        let forget_at = self.service.as_ref().and_then(|service| service.next_expiry_at(context.policy));
        context.timers.set(&mut self.forget_at, forget_at, || Timer::Forget(self.name.clone()));
    }
}

/// Adds all listed endpoints to a service that has none yet.
fn serve_all(service: &mut Service, listing: &Listing, overlay: StateOverlay) -> ServedDifference {
    let endpoints = listing.iter().map(|(name, listed)| (name.clone(), effective(overlay, listed)));
    service.endpoints = endpoints.collect();
    let upserted = |endpoint: &Arc<Endpoint>| Upserted { endpoint: endpoint.clone(), arrival: Arrival::New };
    ServedDifference { removed: Vec::new(), upserted: service.endpoints.values().map(upserted).collect() }
}

/// Updates the touched endpoints of a service.
fn serve_touched(
    service: &mut Service,
    listing: &Listing,
    overlay: StateOverlay,
    mut touched: Vec<EndpointName>,
    context: &UpdateContext,
) -> ServedDifference {
    touched.sort();
    touched.dedup();
    let mut difference = ServedDifference::default();
    for name in touched {
        let target = listing.get(&name).map(|listed| effective(overlay, listed));
        service.set(name, target, context.now, context.policy, &mut difference);
    }
    difference
}

/// Returns the names of all endpoints that are in service or listed.
fn all_names(service: &Service, listing: &Listing) -> Vec<EndpointName> {
    let listed = listing.iter().map(|(name, _)| name);
    service.endpoints.keys().chain(listed).cloned().collect()
}

/// Returns an endpoint as the owner lists it, but in the most cautious state that any source reports.
fn effective(overlay: StateOverlay, own: &Arc<Endpoint>) -> Arc<Endpoint> {
    let state = overlay.state(own);
    if state == own.state { own.clone() } else { Arc::new(Endpoint { state, ..Endpoint::clone(own) }) }
}
