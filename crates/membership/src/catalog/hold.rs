//! What is held back: how it comes to be held, and the ways in which it passes.

use super::Rank;
use super::cluster::{ClusterState, Turn, Work};
use super::feed::{Feed, Hold, Missing};
use super::items::Items;
use super::judge::Findings;
use crate::anomaly::Anomaly;
use crate::endpoint::ClusterSettings;
use crate::names::{EndpointName, Version};
use crate::output::{Cause, ConfirmationSource};
use olivecart_decisions::Nanos;
use std::mem::discriminant;

impl Feed {
    /// Holds a whole list in the place of the `old` one. `owner` gives the cluster meanwhile.
    pub(super) fn hold_whole(
        &mut self,
        (mut items, found): (Items, Findings),
        (old, owner): (Option<Hold>, Option<Rank>),
        (settings, version): (ClusterSettings, &Version),
        turn: &Turn,
        work: &mut Work,
    ) {
        work.touch_cautions(&items);
        found.mark(&mut items);
        let (whole, anomalies) = (Some(settings), found.anomalies);
        let against = owner.filter(|_| self.good.is_none());
        self.hold =
            Some(Hold { items, whole, anomalies, against, fresh: true, ..Hold::begin(old, version, turn) });
    }

    /// Holds parts of an update beside what is held already.
    pub(super) fn hold_parts(
        &mut self,
        (doubtful, anomalies): (Items, Vec<Anomaly>),
        version: &Version,
        turn: &Turn,
        work: &mut Work,
    ) {
        work.touch_cautions(&doubtful);
        let hold = self.hold.get_or_insert_with(|| Hold::begin(None, version, turn));
        hold.items.merge(doubtful);
        let is_new = |old: &Anomaly| !anomalies.iter().any(|new| discriminant(old) == discriminant(new));
        hold.anomalies.retain(is_new);
        hold.anomalies.extend(anomalies);
    }

    /// What is said now of endpoints takes the place of what was held of them.
    pub(super) fn supersede(
        &mut self,
        named: Vec<EndpointName>,
        settings: Option<ClusterSettings>,
        version: &Version,
        work: &mut Work,
    ) {
        if let Some(hold) = &mut self.hold {
            hold.version = version.clone();
            hold.whole = hold.whole.map(|old| settings.unwrap_or(old));
            hold.items.remove_all(&named);
            work.touched.extend(named);
        }
    }
}

impl Hold {
    /// The time of a hold runs from when its source first said something suspicious, whatever it has said
    /// since. Danger: if each other version began it anew, a cluster that changes all the time would never
    /// get out.
    fn begin(old: Option<Hold>, version: &Version, turn: &Turn) -> Hold {
        let due = turn.now.saturating_add(turn.policy.asking().as_nanos() as Nanos);
        let (since, due) = old.map_or((turn.now, due), |old| (old.since, old.due));
        let (items, anomalies, version) = (Items::default(), Vec::new(), version.clone());
        Hold { items, whole: None, version, anomalies, since, due, against: None, fresh: false }
    }
}

impl ClusterState {
    /// The explicit word: what is held of a source stands. False if nothing is.
    pub fn confirm(&mut self, rank: Rank, work: &mut Work) -> bool {
        let Some(feed) = self.feeds.get_mut(&rank) else { return false };
        if feed.missing.is_some() {
            *work = self.remove(rank);
            work.released.insert(rank, Cause::Confirmed(ConfirmationSource::ExplicitCommand));
            return true;
        }
        self.release(rank, Cause::Confirmed(ConfirmationSource::ExplicitCommand), work)
    }

    /// A list of all clusters lacks this one. `anomaly` is what that is.
    pub fn miss(&mut self, turn: &Turn, rank: Rank, anomaly: Anomaly) -> Work {
        let Some(feed) = self.feeds.get_mut(&rank) else { return Work::default() };
        let due = turn.now.saturating_add(turn.policy.asking().as_nanos() as Nanos);
        let (since, due) = feed.missing.as_ref().map_or((turn.now, due), |m| (m.since, m.due));
        let is_over = turn.now.saturating_sub(since) >= turn.policy.hold.as_nanos() as Nanos;
        if feed.good.is_some() && (anomaly.needs_explicit_confirmation() || !is_over) {
            feed.missing = Some(Missing { anomaly, since, due });
            return Work::default();
        }
        let was_held = feed.missing.is_some();
        let mut work = self.remove(rank);
        if was_held {
            work.released.insert(rank, Cause::Confirmed(ConfirmationSource::Repetition));
        }
        work
    }

    /// Lets pass what is held and no longer suspicious: for an address is free again, another endpoint has
    /// come, the source that it stood against is gone, or another source lists the same.
    pub(super) fn settle(&mut self, turn: &Turn, work: &mut Work) {
        loop {
            let held = self.feeds.iter().filter(|(_, feed)| feed.hold.is_some());
            let ranks: Vec<Rank> = held.map(|(rank, _)| *rank).collect();
            let mut passed = false;
            for rank in ranks {
                passed |= self.second_source(turn, rank, work) || self.look_again(turn, rank, work);
            }
            // What passes may be what another held change waited for. Each round ends a hold or shrinks it.
            if !passed {
                return;
            }
        }
    }

    fn second_source(&mut self, turn: &Turn, rank: Rank, work: &mut Work) -> bool {
        let Some(feed) = self.feeds.get(&rank) else { return false };
        if feed.hold.as_ref().is_none_or(Hold::needs_explicit_confirmation) {
            return false;
        }
        let mut others = self.feeds.iter().filter(|(other, _)| **other != rank);
        let agrees = others.find(|(_, other)| other.own().is_some_and(|own| feed.agrees_with(own)));
        let Some((&other, _)) = agrees else { return false };
        let other = turn.sources[other].id.clone();
        self.release(rank, Cause::Confirmed(ConfirmationSource::SecondSource(other)), work)
    }

    /// Whether something passed.
    fn look_again(&mut self, turn: &Turn, rank: Rank, work: &mut Work) -> bool {
        let owner = self.owner();
        let Some((feed, other)) = self.feed(rank) else { return false };
        let Some(hold) = feed.hold.as_ref().filter(|hold| !hold.fresh) else { return false };
        if feed.good.is_none() {
            // A first list stands against the listing that it would displace, and waits as long as that is
            // there.
            if hold.against.is_none() || hold.against == owner {
                return false;
            }
            let list = hold.items.iter().filter_map(|item| item.new.as_deref().cloned()).collect();
            let items = feed.difference(list, other, turn.now);
            let found = self.judge(turn, rank, &items, false);
            return self.pass_again(rank, items, found, work);
        }
        if hold.whole.is_some() && hold.items.iter().any(|item| item.sticky) {
            return false;
        }
        let found = self.judge(turn, rank, &hold.items, false);
        let Some(hold) = self.feeds.get_mut(&rank).and_then(|feed| feed.hold.as_mut()) else { return false };
        let items = std::mem::take(&mut hold.items);
        self.pass_again(rank, items, found, work)
    }

    /// Takes in what passes now of held items; the rest stays held.
    fn pass_again(&mut self, rank: Rank, mut items: Items, found: Findings, work: &mut Work) -> bool {
        let owner = self.owner();
        let Some(feed) = self.feeds.get_mut(&rank) else { return false };
        let Some(hold) = &mut feed.hold else { return false };
        hold.against = owner.filter(|_| feed.good.is_none());
        let stays: Vec<bool> = match hold.whole {
            Some(_) => vec![!found.is_clear(); items.len()],
            None => {
                items.iter().zip(&found.doubtful).map(|(item, doubtful)| item.sticky || *doubtful).collect()
            }
        };
        found.mark(&mut items);
        let is_over = !stays.contains(&true) && found.is_clear();
        let (staying, passing) = items.split(&stays);
        if is_over {
            hold.items = passing;
            return self.release(rank, Cause::Resolved, work);
        }
        if !found.is_clear() {
            hold.anomalies = found.anomalies;
        }
        hold.items = staying;
        if passing.is_empty() {
            return false;
        }
        work.touch_cautions(&passing);
        work.released.entry(rank).or_insert(Cause::Resolved);
        let version = hold.version.clone();
        feed.apply(passing, None, &version, work);
        true
    }

    /// Takes in all that is held of a source. False if nothing is.
    fn release(&mut self, rank: Rank, cause: Cause, work: &mut Work) -> bool {
        let Some(feed) = self.feeds.get_mut(&rank) else { return false };
        let Some(hold) = feed.hold.take() else { return false };
        work.touch_cautions(&hold.items);
        if !hold.items.is_empty() || hold.whole.is_some() {
            work.released.entry(rank).or_insert(cause);
        }
        feed.apply(hold.items, hold.whole, &hold.version, work);
        true
    }
}
