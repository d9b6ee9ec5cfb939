//! The reference model's validation of changes.

use super::{Change, EXPLICIT_KINDS, Map, Model, Subscription, name, with_changes};
use olivecart_membership::{Endpoint, State};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Default)]
pub(super) struct Report {
    pub suspicious: BTreeSet<String>,
    pub awaits_confirmation: BTreeSet<String>,
    pub kinds: BTreeSet<&'static str>,
}

pub(super) fn ready_address(map: &Map, id: &str) -> Option<std::net::SocketAddr> {
    map.get(id).filter(|e| e.state == State::Ready).and_then(|e| e.address)
}

impl Model {
    pub(super) fn validate(
        &self,
        cluster: &str,
        rank: usize,
        changes: &BTreeMap<String, Change>,
        is_reported: bool,
    ) -> Report {
        let subscriptions = &self.clusters[cluster].subscriptions;
        let own = subscriptions[&rank].accepted.as_ref().map(|(own, _)| own);
        let other = self.displaced_listing(cluster, rank);
        let empty = Map::new();
        let base = own.or(other.as_ref()).unwrap_or(&empty);
        let start = own.unwrap_or(&empty);
        // Applies the states that other sources report.
        let with_states = |map: &Map| -> Map {
            map.iter().map(|(id, e)| (id.clone(), with_reported_state(subscriptions, rank, e))).collect()
        };
        let is_confirmed =
            |change: &Change| is_reported && self.now - change.since >= self.quarantine_period();
        let mut report = Report::default();
        find_loss_of_service(own.is_none(), start, &with_states, base, changes, &mut report);
        let before = with_states(base);
        let is_ready = |id: &String| before.get(id).is_some_and(|e| e.state == State::Ready);
        let ready = before.keys().filter(|id| is_ready(id)).count();
        let removed = changes
            .iter()
            .filter(|(id, change)| change.new_endpoint.is_none() && is_ready(id) && !is_confirmed(change));
        let removed: Vec<&String> = removed.map(|(id, _)| id).collect();
        if removed.len() >= 2 && removed.len() as f64 > self.policy.most_gone * ready as f64 {
            report.kinds.insert(if removed.len() == ready { "all removed" } else { "many removed" });
            report.suspicious.extend(removed.iter().map(|id| id.to_string()));
            report.awaits_confirmation.extend(removed.iter().map(|id| id.to_string()));
        }
        let moved = changes.iter().filter(|(id, change)| {
            let Some((from, new_endpoint)) = ready_address(&before, id).zip(change.new_endpoint.as_ref())
            else {
                return false;
            };
            let restarted = new_endpoint.started.is_some() && new_endpoint.started != before[*id].started;
            new_endpoint.state == State::Ready
                && new_endpoint.address != Some(from)
                && !restarted
                && !is_confirmed(change)
        });
        let moved: Vec<String> = moved.map(|(id, _)| id.clone()).collect();
        let moved: Vec<String> = moved.into_iter().filter(|id| !report.suspicious.contains(id)).collect();
        if !moved.is_empty() {
            report.kinds.insert("moved");
            report.suspicious.extend(moved);
        }
        let after = with_changes(start, changes, &report.suspicious);
        let mut duplicates = Vec::new();
        for (id, change) in changes.iter().filter(|(id, _)| !report.suspicious.contains(*id)) {
            let Some(address) = ready_address(&after, id).filter(|a| ready_address(start, id) != Some(*a))
            else {
                continue;
            };
            let others =
                after.keys().filter(|other| *other != id && ready_address(&after, other) == Some(address));
            if others.count() > 0 && !is_confirmed(change) {
                duplicates.push(id.clone());
            }
        }
        if !duplicates.is_empty() {
            report.kinds.insert("duplicate address");
            report.suspicious.extend(duplicates);
        }
        if !report.kinds.is_empty() && !EXPLICIT_KINDS.iter().any(|kind| report.kinds.contains(kind)) {
            find_loss_of_service(own.is_none(), start, &with_states, base, changes, &mut report);
        }
        report
    }
}

fn find_loss_of_service(
    is_first: bool,
    start: &Map,
    with_states: &dyn Fn(&Map) -> Map,
    base: &Map,
    changes: &BTreeMap<String, Change>,
    report: &mut Report,
) {
    let after = with_states(&with_changes(start, changes, &report.suspicious));
    let before = with_states(base);
    if after.values().any(Endpoint::takes_requests) {
        return;
    }
    let is_ready_after = |id: &String| after.get(id).is_some_and(|e| e.state == State::Ready);
    let unsuspicious = || changes.keys().filter(|id| !report.suspicious.contains(*id));
    let is_loss = |id: &&String| {
        before.get(*id).is_some_and(Endpoint::takes_requests)
            && (!after.contains_key(*id) || is_ready_after(id))
    };
    let lost: BTreeSet<String> = unsuspicious()
        .filter(|id| is_loss(id) || after.is_empty() || start.is_empty() && is_ready_after(id))
        .cloned()
        .collect();
    let has_ready = after.values().any(|e| e.state == State::Ready);
    let has_loss = unsuspicious().any(|id| is_loss(&id));
    let kind = if after.is_empty() && (is_first || !start.is_empty()) {
        "no endpoints"
    } else if has_ready && (has_loss || start.is_empty()) {
        "all zero"
    } else if has_loss {
        "no serving endpoint"
    } else {
        return;
    };
    report.kinds.insert(kind);
    if lost.len() >= 2 {
        report.awaits_confirmation.extend(lost.iter().cloned());
    }
    report.suspicious.extend(lost);
}

/// Returns an endpoint in the most cautious state that other sources or quarantined changes report.
pub(super) fn with_reported_state(
    subscriptions: &BTreeMap<usize, Subscription>,
    listed_by: usize,
    own: &Endpoint,
) -> Endpoint {
    let id = name(own);
    let reports = subscriptions.iter().flat_map(|(rank, s)| {
        let accepted = s.accepted.as_ref().filter(|_| *rank != listed_by).and_then(|(map, _)| map.get(&id));
        let quarantined =
            s.quarantine.as_ref().and_then(|h| h.changes.get(&id)).and_then(|p| p.new_endpoint.as_ref());
        accepted.into_iter().chain(quarantined)
    });
    let is_current = |report: &&Endpoint| match (report.started, own.started) {
        (Some(reported), Some(own)) => reported >= own,
        _ => true,
    };
    let state = reports.filter(is_current).map(|e| e.state).max().unwrap_or(own.state).max(own.state);
    Endpoint { state, ..own.clone() }
}
