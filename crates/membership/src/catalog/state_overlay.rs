//! The states of endpoints as other sources or quarantined changes report them. The validator and `reconcile`
//! read them; nothing is changed here.

use super::source::Rank;
use super::subscription::Subscription;
use crate::endpoint::{Endpoint, State};
use crate::names::EndpointName;
use std::collections::BTreeMap;

/// The reports about the endpoints of one source's listing from outside that listing.
///
/// A draining endpoint must not be sent new requests, whichever source reports that it drains, and even if
/// the report is quarantined. Reports about an earlier process of the endpoint are ignored: otherwise a
/// source that lags or is lost could keep a restarted endpoint out of service.
#[derive(Clone, Copy)]
pub(super) struct StateOverlay<'a> {
    pub subscriptions: &'a BTreeMap<Rank, Subscription>,
    /// The source of the listing.
    pub listed_by: Rank,
}

impl<'a> StateOverlay<'a> {
    /// Returns the most cautious of the endpoint's listed state and its other reported states.
    pub fn state(&self, endpoint: &Endpoint) -> State {
        let mut state = endpoint.state;
        for (rank, subscription) in self.subscriptions {
            let accepted = subscription
                .accepted_listing()
                .filter(|_| *rank != self.listed_by)
                .and_then(|own| own.get(&endpoint.name));
            let quarantined = subscription
                .quarantine
                .as_ref()
                .and_then(|quarantine| quarantine.changes.get(&endpoint.name)?.new.as_ref());
            for reported in accepted.into_iter().chain(quarantined) {
                let is_earlier_process = reported
                    .started
                    .zip(endpoint.started)
                    .is_some_and(|(reported, listed)| reported < listed);
                if !is_earlier_process {
                    state = state.max(reported.state);
                }
            }
        }
        state
    }

    /// Iterates over the endpoints that are reported as not ready outside the listing, possibly with
    /// duplicates.
    pub fn not_ready_names(&self) -> impl Iterator<Item = &'a EndpointName> {
        let StateOverlay { subscriptions, listed_by } = *self;
        let accepted = subscriptions
            .iter()
            .filter(move |(rank, _)| **rank != listed_by)
            .filter_map(|(_, subscription)| subscription.accepted_listing());
        let quarantines = subscriptions.values().filter_map(|subscription| subscription.quarantine.as_ref());
        accepted
            .flat_map(|own| own.not_ready_names())
            .chain(quarantines.flat_map(|quarantine| quarantine.changes.not_ready_names()))
    }
}
