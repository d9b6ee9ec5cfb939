//! Which endpoints other sources, or a list that is held, say are not ready.

use super::Rank;
use super::feed::Feed;
use crate::endpoint::{Endpoint, State};
use crate::names::EndpointName;
use std::collections::BTreeMap;

/// What is said of the endpoints of one source's listing besides that listing.
///
/// Danger: a draining endpoint must get nothing new, whoever says that it drains, and also if the list that
/// says so is held. Only what was said of an earlier life of the endpoint does not count; else a source that
/// lags or is lost could keep a restarted endpoint out.
#[derive(Clone, Copy)]
pub(super) struct Cautions<'a> {
    pub feeds: &'a BTreeMap<Rank, Feed>,
    /// Whose listing it is.
    pub me: Rank,
}

impl<'a> Cautions<'a> {
    /// The state of an endpoint: as it is listed or, if that is greater, as anybody else says.
    pub fn state(&self, endpoint: &Endpoint) -> State {
        let mut state = endpoint.state;
        for (rank, feed) in self.feeds {
            let good = feed.own().filter(|_| *rank != self.me).and_then(|own| own.get(&endpoint.name));
            let held = feed.hold.as_ref().and_then(|hold| hold.items.get(&endpoint.name)?.new.as_ref());
            for said in good.into_iter().chain(held) {
                let is_earlier = said.started.zip(endpoint.started).is_some_and(|(said, own)| said < own);
                if !is_earlier {
                    state = state.max(said.state);
                }
            }
        }
        state
    }

    /// Those that anybody else says are not ready; one may come twice.
    pub fn names(&self) -> impl Iterator<Item = &'a EndpointName> {
        let Cautions { feeds, me } = *self;
        let good = feeds.iter().filter(move |(rank, _)| **rank != me).filter_map(|(_, feed)| feed.own());
        let held = feeds.values().filter_map(|feed| feed.hold.as_ref());
        good.flat_map(|own| own.unready()).chain(held.flat_map(|hold| hold.items.cautions()))
    }
}
