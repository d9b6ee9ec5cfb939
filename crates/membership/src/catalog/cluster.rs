//! One cluster: what each source says of it, and which of them gives it.
//!
//! Each method leaves in [`Work`] what it touched; `finish` then looks once more at what is held, and puts
//! out the difference.

use super::alarms::Alarms;
use super::caution::Cautions;
use super::check::{Fault, check_list, check_update};
use super::feed::Feed;
use super::items::Items;
use super::judge::{Case, Findings};
use super::listing::Listing;
use super::service::Service;
use super::{Rank, Source};
use crate::endpoint::{ClusterSettings, Endpoint, Endpoints};
use crate::event::ClusterDelta;
use crate::invalid::Invalid;
use crate::names::{ClusterName, EndpointName, Version};
use crate::output::{Cause, ConfirmationSource, Output};
use crate::policy::Policy;
use crate::rejection::Rejection;
use olivecart_decisions::Nanos;
use std::collections::BTreeMap;

/// What serves one turn of the catalog.
pub(super) struct Turn<'a> {
    pub now: Nanos,
    pub policy: &'a Policy,
    pub sources: &'a [Source],
    pub alarms: &'a mut Alarms,
    pub out: &'a mut Vec<Output>,
}

/// What a turn has done to a cluster.
#[derive(Debug, Default)]
pub(super) struct Work {
    /// Endpoints that may serve differently.
    pub touched: Vec<EndpointName>,
    /// Whose held changes have passed, and why.
    pub released: BTreeMap<Rank, Cause>,
}

impl Work {
    /// Items that came to be held, or no longer are. Only what they say of an endpoint's not being ready
    /// counts while they are held.
    pub fn touch_cautions(&mut self, items: &Items) {
        self.touched.extend(items.cautions().cloned());
    }
}

/// One cluster.
#[derive(Debug)]
pub(super) struct ClusterState {
    pub name: ClusterName,
    /// In the order of precedence.
    pub feeds: BTreeMap<Rank, Feed>,
    pub service: Option<Service>,
    /// When it has asked to be woken to forget what left.
    pub forgets: Option<Nanos>,
}

impl ClusterState {
    pub fn new(name: ClusterName) -> ClusterState {
        ClusterState { name, feeds: BTreeMap::new(), service: None, forgets: None }
    }

    /// Nobody says anything of it, and nothing serves.
    pub fn is_vacant(&self) -> bool {
        self.feeds.is_empty() && self.service.is_none()
    }

    /// Who gives the cluster: the first in precedence with good content, and it alone.
    ///
    /// Weighed against a union by id: in a union an endpoint stays until the last source has dropped it, so
    /// that the slowest one decides about removals, and nobody can pin a cluster. The price is that the
    /// endpoints of one cluster cannot be spread over sources.
    pub fn owner(&self) -> Option<Rank> {
        self.feeds.iter().find(|(_, feed)| feed.good.is_some()).map(|(rank, _)| *rank)
    }

    /// A feed, and the listing that gives the cluster where the feed would take its place.
    pub fn feed(&self, rank: Rank) -> Option<(&Feed, Option<&Listing>)> {
        let owner = self.owner().filter(|owner| rank < *owner);
        let before = owner.and_then(|owner| self.feeds.get(&owner)).and_then(Feed::own);
        Some((self.feeds.get(&rank)?, before))
    }

    /// Judges a change of a source's listing; of a first list, against the listing `other` that it would
    /// displace.
    pub fn judge(&self, turn: &Turn, rank: Rank, items: &Items, said: bool) -> Findings {
        let (feed, other) = self.feed(rank).unzip();
        let (own, other) = (feed.and_then(Feed::own), other.flatten());
        let cautions = Cautions { feeds: &self.feeds, me: rank };
        Case { policy: turn.policy, now: turn.now, own, other, items, said, cautions }.judge()
    }

    /// The source speaks of the cluster.
    pub fn hear(&mut self, now: Nanos, rank: Rank) {
        let feed = self.feeds.entry(rank).or_default();
        feed.heard = now;
        feed.missing = None;
    }

    /// Takes in a whole list: all of it or, if it is held, nothing but what it says of endpoints that are not
    /// ready. One that is refused says nothing: what its author meant is a guess.
    ///
    /// Weighed against judging endpoint by endpoint as in an update: a list that lacks half the endpoints is
    /// torn or of another cluster, and its other half is then no better.
    pub fn list(
        &mut self,
        turn: &mut Turn,
        rank: Rank,
        version: &Version,
        (endpoints, settings): (Endpoints, ClusterSettings),
    ) -> Work {
        let mut work = Work::default();
        self.hear(turn.now, rank);
        let listed = match endpoints {
            Endpoints::NoneOnPurpose => settings.check().map(|()| None).map_err(|fault| vec![(None, fault)]),
            Endpoints::Listed(list) => check_list(list, &settings, turn.policy).map(Some),
        };
        match listed {
            Err(faults) => self.refuse(turn, rank, faults),
            Ok(None) => self.empty(rank, version, settings, &mut work),
            Ok(Some(list)) => {
                self.take_whole(turn, rank, (list, true), (settings, version), &mut work);
            }
        }
        work
    }

    /// The source says in so many words that there are no endpoints.
    fn empty(&mut self, rank: Rank, version: &Version, settings: ClusterSettings, work: &mut Work) {
        let feed = self.feeds.entry(rank).or_default();
        if let Some(good) = feed.good.take() {
            work.touched.extend(good.listing.iter().map(|(name, _)| name.clone()));
        }
        if let Some(hold) = feed.hold.take() {
            work.touch_cautions(&hold.items);
        }
        feed.apply(Items::default(), Some(settings), version, work);
    }

    /// Judges a whole list, sorted by id, and takes it in or holds it.
    fn take_whole(
        &mut self,
        turn: &mut Turn,
        rank: Rank,
        (list, said): (Vec<Endpoint>, bool),
        (settings, version): (ClusterSettings, &Version),
        work: &mut Work,
    ) {
        let Some((feed, other)) = self.feed(rank) else { return };
        let items = feed.difference(list, other, turn.now);
        // What was held is no longer said, whatever is said now.
        let old = self.feeds.get_mut(&rank).and_then(|feed| feed.hold.take());
        old.iter().for_each(|old| work.touch_cautions(&old.items));
        let found = self.judge(turn, rank, &items, said);
        let owner = self.owner();
        let feed = self.feeds.entry(rank).or_default();
        if !found.is_clear() {
            return feed.hold_whole((items, found), (old, owner), (settings, version), turn, work);
        }
        if old.is_some() && found.settled {
            work.released.insert(rank, Cause::Confirmed(ConfirmationSource::Repetition));
        }
        feed.apply(items, Some(settings), version, work);
    }

    /// Takes in changes: the harmless ones at once, the suspicious ones are held.
    pub fn update(&mut self, turn: &mut Turn, rank: Rank, version: &Version, update: ClusterDelta) -> Work {
        let mut work = Work::default();
        self.hear(turn.now, rank);
        let (parts, settings, mut faults) = check_update(update);
        let Some((feed, _)) = self.feed(rank) else { return work };
        if feed.good.is_none() {
            // Only a first update is said as a whole; what it adds to was said before.
            let said = feed.hold.is_none();
            let settings = settings.or(feed.hold.as_ref().and_then(|hold| hold.whole)).unwrap_or_default();
            let list = feed.first_list(parts);
            if list.len() > turn.policy.max_endpoints {
                faults.push((None, Invalid::TooManyEndpoints { most: turn.policy.max_endpoints }));
            } else if !list.is_empty() || !said {
                self.take_whole(turn, rank, (list, said), (settings, version), &mut work);
            }
        } else {
            self.take_parts(turn, rank, parts, (settings, version), (&mut faults, &mut work));
        }
        self.refuse(turn, rank, faults);
        work
    }

    fn take_parts(
        &mut self,
        turn: &mut Turn,
        rank: Rank,
        parts: BTreeMap<EndpointName, Option<Endpoint>>,
        (settings, version): (Option<ClusterSettings>, &Version),
        (faults, work): (&mut Vec<Fault>, &mut Work),
    ) {
        let Some(feed) = self.feeds.get_mut(&rank) else { return };
        let (items, named) = feed.parts(parts, turn, faults);
        feed.supersede(named, settings, version, work);
        let found = self.judge(turn, rank, &items, true);
        let (doubtful, items) = found.split(items);
        if found.settled {
            work.released.insert(rank, Cause::Confirmed(ConfirmationSource::Repetition));
        }
        let feed = self.feeds.entry(rank).or_default();
        feed.apply(items, settings, version, work);
        if !doubtful.is_empty() {
            feed.hold_parts((doubtful, found.anomalies), version, turn, work);
        }
    }

    /// The source says in so many words that the cluster is no more, or that was confirmed.
    pub fn remove(&mut self, rank: Rank) -> Work {
        let mut work = Work::default();
        let Some(feed) = self.feeds.get_mut(&rank) else { return work };
        // What was told and asked for of the feed stays, so that `finish` takes it back.
        let (told, alarm) = (std::mem::take(&mut feed.told), feed.alarm);
        let old = std::mem::replace(feed, Feed { told, alarm, ..Feed::default() });
        if let Some(hold) = old.hold {
            work.touch_cautions(&hold.items);
        }
        if let Some(good) = old.good {
            work.touched.extend(good.listing.iter().map(|(name, _)| name.clone()));
        }
        work
    }

    /// Notes and puts out what is refused; at most [`Policy::MOST_REFUSALS`] by name.
    pub fn refuse(&mut self, turn: &mut Turn, rank: Rank, mut faults: Vec<Fault>) {
        if faults.len() > Policy::MOST_REFUSALS {
            let count = faults.len() - Policy::MOST_REFUSALS;
            faults.truncate(Policy::MOST_REFUSALS);
            faults.push((None, Invalid::More { count }));
        }
        let Some(feed) = self.feeds.get_mut(&rank) else { return };
        for (at, (endpoint, reason)) in faults.into_iter().enumerate() {
            let (source, cluster) = (turn.sources[rank].id.clone(), Some(self.name.clone()));
            let refusal = Rejection { source, cluster, endpoint, reason };
            if at == 0 {
                feed.refusal = Some((turn.now, refusal.clone()));
            }
            turn.out.push(Output::Rejected(refusal));
        }
    }
}
