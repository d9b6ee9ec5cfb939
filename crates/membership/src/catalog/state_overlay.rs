//! The states of endpoints as other sources, or a quarantined list, report them. Read by the validator and by what
//! brings the serving endpoints up to date; it changes nothing.

use super::subscription::Subscription;
use super::update::Rank;
use crate::endpoint::{Endpoint, State};
use crate::names::EndpointName;
use std::collections::BTreeMap;

/// What is reported of the endpoints of one source's listing besides that listing.
///
/// Danger: a draining endpoint must get nothing new, whoever says that it drains, and also if the list that
/// says so is quarantined. Only what was reported of an earlier incarnation of the endpoint does not count; else a
/// source that lags or is lost could keep a restarted endpoint out.
#[derive(Clone, Copy)]
pub(super) struct StateOverlay<'a> {
    pub subscriptions: &'a BTreeMap<Rank, Subscription>,
    /// Whose listing it is.
    pub listed_by: Rank,
}

impl<'a> StateOverlay<'a> {
    /// The state of an endpoint: as it is listed or, if that is greater, as anybody else says.
    pub fn state(&self, endpoint: &Endpoint) -> State {
        let mut state = endpoint.state;
        for (rank, subscription) in self.subscriptions {
            let accepted = subscription
                .accepted_listing()
                .filter(|_| *rank != self.listed_by)
                .and_then(|own| own.get(&endpoint.name));
            let held = subscription
                .quarantine
                .as_ref()
                .and_then(|quarantine| quarantine.changes.get(&endpoint.name)?.new.as_ref());
            for reported in accepted.into_iter().chain(held) {
                let is_earlier = reported
                    .started
                    .zip(endpoint.started)
                    .is_some_and(|(reported, listed)| reported < listed);
                if !is_earlier {
                    state = state.max(reported.state);
                }
            }
        }
        state
    }

    /// Those that anybody else says are not ready; one may come twice.
    pub fn not_ready_names(&self) -> impl Iterator<Item = &'a EndpointName> {
        let StateOverlay { subscriptions, listed_by } = *self;
        let accepted = subscriptions
            .iter()
            .filter(move |(rank, _)| **rank != listed_by)
            .filter_map(|(_, subscription)| subscription.accepted_listing());
        let held = subscriptions.values().filter_map(|subscription| subscription.quarantine.as_ref());
        accepted
            .flat_map(|own| own.unready())
            .chain(held.flat_map(|quarantine| quarantine.changes.not_ready_names()))
    }
}
