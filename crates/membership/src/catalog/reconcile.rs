//! The end of a turn: from what the sources say to what serves, and what is put out about it.

use super::Rank;
use super::alarms::Alarm;
use super::caution::Cautions;
use super::cluster::{ClusterState, Turn, Work};
use super::service::Service;
use crate::anomaly::Anomaly;
use crate::endpoint::Endpoint;
use crate::output::{Added, Arrival, Cause, Change, Output, Quarantined, Removed, Stale, Upserted};
use std::mem::{Discriminant, discriminant};
use std::sync::Arc;

impl ClusterState {
    /// Ends a turn that news of the source `by` began.
    pub fn finish(&mut self, turn: &mut Turn, by: Rank, mut work: Work) {
        self.settle(turn, &mut work);
        self.serve(turn, by, &mut work);
        self.tell_holds(turn, &work);
        self.tell_age(turn);
        self.set_alarms(turn);
        self.feeds.retain(|_, feed| !feed.is_vacant());
    }

    /// Brings what serves to what the sources say, by the smallest change.
    fn serve(&mut self, turn: &mut Turn, by: Rank, work: &mut Work) {
        let cause = work.released.values().next().cloned();
        let cause = cause.unwrap_or_else(|| Cause::Update { by: turn.sources[by].id.clone() });
        let cluster = self.name.clone();
        let Some((owner, good)) =
            self.owner().and_then(|owner| Some((owner, self.feeds.get(&owner)?.good.as_ref()?)))
        else {
            if let Some(gone) = self.service.take() {
                // What left is forgotten too: the same name later is another cluster.
                let source = turn.sources[gone.owner].id.clone();
                turn.out.push(Output::Removed(Removed { cluster, source, cause }));
            }
            return;
        };
        let source = turn.sources[owner].id.clone();
        let (mut removed, mut upserted) = (Vec::new(), Vec::new());
        let cautions = Cautions { feeds: &self.feeds, me: owner };
        let is_new = self.service.is_none();
        let service = self.service.get_or_insert_with(|| Service::new(owner, good.settings, turn.now));
        let is_taken_over = std::mem::replace(&mut service.owner, owner) != owner;
        if is_new {
            let (cluster, source, settings) = (cluster.clone(), source.clone(), good.settings);
            turn.out.push(Output::Added(Added { cluster, source, settings }));
            let all = good.listing.iter().map(|(name, own)| (name.clone(), effective(cautions, own)));
            service.endpoints = all.collect();
            let new =
                |endpoint: &Arc<Endpoint>| Upserted { endpoint: endpoint.clone(), arrival: Arrival::New };
            upserted.extend(service.endpoints.values().map(new));
        } else {
            let mut touched = std::mem::take(&mut work.touched);
            if is_taken_over {
                let names = good.listing.iter().map(|(name, _)| name);
                touched = service.endpoints.keys().chain(names).cloned().collect();
            }
            touched.sort();
            touched.dedup();
            for name in touched {
                let shall = good.listing.get(&name).map(|own| effective(cautions, own));
                service.set(name, shall, turn.now, turn.policy, (&mut removed, &mut upserted));
            }
        }
        let settings = (service.settings != good.settings).then_some(good.settings);
        service.settings = good.settings;
        if is_taken_over || settings.is_some() || !removed.is_empty() || !upserted.is_empty() {
            service.changed = turn.now;
            let version = good.version.clone();
            let change = Change { cluster, source, version, cause, settings, removed, upserted };
            turn.out.push(Output::Changed(change));
        }
    }

    /// Says what is held, where that has become something else.
    fn tell_holds(&mut self, turn: &mut Turn, work: &Work) {
        let kinds = |s: &[Anomaly]| s.iter().map(discriminant).collect::<Vec<Discriminant<Anomaly>>>();
        for (rank, feed) in &mut self.feeds {
            let held = feed.hold.iter_mut().flat_map(|hold| {
                hold.fresh = false;
                hold.anomalies.iter().cloned()
            });
            let missing = feed.missing.iter().map(|missing| missing.anomaly.clone());
            let anomalies: Vec<Anomaly> = held.chain(missing).collect();
            let is_new = kinds(&anomalies) != kinds(&feed.told);
            feed.told = anomalies.clone();
            if !is_new {
                continue;
            }
            let (cluster, source) = (self.name.clone(), turn.sources[*rank].id.clone());
            turn.out.push(match (feed.due(), work.released.get(rank)) {
                (Some(until), _) => Output::Quarantined(Quarantined { cluster, source, anomalies, until }),
                (None, Some(cause)) => Output::Released { cluster, source, cause: cause.clone() },
                (None, None) => Output::QuarantineDropped { cluster, source },
            });
        }
    }

    /// Says whether the cluster is aged, where that has changed.
    pub fn tell_age(&mut self, turn: &mut Turn) {
        let Some(service) = &mut self.service else { return };
        let owner = &turn.sources[service.owner];
        let aged = owner.silent.as_ref().filter(|silent| silent.aged);
        if service.aged == aged.is_some() {
            return;
        }
        service.aged = aged.is_some();
        let (cluster, source) = (self.name.clone(), owner.id.clone());
        turn.out.push(match aged {
            Some(silent) => Output::Stale(Stale { cluster, source, since: silent.since }),
            None => Output::Recovered { cluster, source },
        });
    }

    pub fn set_alarms(&mut self, turn: &mut Turn) {
        for (rank, feed) in &mut self.feeds {
            let due = feed.due();
            turn.alarms.set(&mut feed.alarm, due, || Alarm::Refetch(self.name.clone(), *rank));
        }
        let forgets = self.service.as_ref().and_then(|service| service.forgets_at(turn.policy));
        turn.alarms.set(&mut self.forgets, forgets, || Alarm::Forget(self.name.clone()));
    }
}

/// An endpoint as it serves: as the owner lists it, in the most cautious state that any source says it is in.
fn effective(cautions: Cautions, own: &Arc<Endpoint>) -> Arc<Endpoint> {
    let state = cautions.state(own);
    if state == own.state { own.clone() } else { Arc::new(Endpoint { state, ..Endpoint::clone(own) }) }
}
