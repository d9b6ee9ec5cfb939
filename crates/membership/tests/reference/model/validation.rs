//! The plain model's view of what is suspicious about a change.

use super::{Map, Model, Part, Subscription, WORDS, name, with};
use olivecart_membership::{Endpoint, State};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Default)]
pub(super) struct Report {
    pub doubtful: BTreeSet<String>,
    pub sticky: BTreeSet<String>,
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
        parts: &BTreeMap<String, Part>,
        is_reported: bool,
    ) -> Report {
        let subscriptions = &self.clusters[cluster].subscriptions;
        let own = subscriptions[&rank].good.as_ref().map(|(own, _)| own);
        let other = self.other(cluster, rank);
        let empty = Map::new();
        let base = own.or(other.as_ref()).unwrap_or(&empty);
        let start = own.unwrap_or(&empty);
        // With regard to what anybody else says of the endpoints.
        let seen = |map: &Map| -> Map {
            map.iter().map(|(id, e)| (id.clone(), with_reported_state(subscriptions, rank, e))).collect()
        };
        let settled = |part: &Part| is_reported && self.now - part.since >= self.hold();
        let mut report = Report::default();
        nothing_left(own.is_none(), start, &seen, base, parts, &mut report);
        let before = seen(base);
        let is_ready = |id: &String| before.get(id).is_some_and(|e| e.state == State::Ready);
        let ready = before.keys().filter(|id| is_ready(id)).count();
        let gone = parts.iter().filter(|(id, part)| part.want.is_none() && is_ready(id) && !settled(part));
        let gone: Vec<&String> = gone.map(|(id, _)| id).collect();
        if gone.len() >= 2 && gone.len() as f64 > self.policy.most_gone * ready as f64 {
            report.kinds.insert(if gone.len() == ready { "all gone" } else { "many gone" });
            report.doubtful.extend(gone.iter().map(|id| id.to_string()));
            report.sticky.extend(gone.iter().map(|id| id.to_string()));
        }
        let moved = parts.iter().filter(|(id, part)| {
            let Some((from, want)) = ready_address(&before, id).zip(part.want.as_ref()) else { return false };
            let restarted = want.started.is_some() && want.started != before[*id].started;
            want.state == State::Ready && want.address != Some(from) && !restarted && !settled(part)
        });
        let moved: Vec<String> = moved.map(|(id, _)| id.clone()).collect();
        let moved: Vec<String> = moved.into_iter().filter(|id| !report.doubtful.contains(id)).collect();
        if !moved.is_empty() {
            report.kinds.insert("moved");
            report.doubtful.extend(moved);
        }
        let after = with(start, parts, &report.doubtful);
        let mut twice = Vec::new();
        for (id, part) in parts.iter().filter(|(id, _)| !report.doubtful.contains(*id)) {
            let Some(address) = ready_address(&after, id).filter(|a| ready_address(start, id) != Some(*a))
            else {
                continue;
            };
            let others =
                after.keys().filter(|other| *other != id && ready_address(&after, other) == Some(address));
            if others.count() > 0 && !settled(part) {
                twice.push(id.clone());
            }
        }
        if !twice.is_empty() {
            report.kinds.insert("address twice");
            report.doubtful.extend(twice);
        }
        if !report.kinds.is_empty() && !WORDS.iter().any(|kind| report.kinds.contains(kind)) {
            nothing_left(own.is_none(), start, &seen, base, parts, &mut report);
        }
        report
    }
}

fn nothing_left(
    is_first: bool,
    start: &Map,
    seen: &dyn Fn(&Map) -> Map,
    base: &Map,
    parts: &BTreeMap<String, Part>,
    report: &mut Report,
) {
    let after = seen(&with(start, parts, &report.doubtful));
    let before = seen(base);
    if after.values().any(Endpoint::takes_requests) {
        return;
    }
    let weightless = |id: &String| after.get(id).is_some_and(|e| e.state == State::Ready);
    let passing = || parts.keys().filter(|id| !report.doubtful.contains(*id));
    let loses = |id: &&String| {
        before.get(*id).is_some_and(Endpoint::takes_requests) && (!after.contains_key(*id) || weightless(id))
    };
    let lost: BTreeSet<String> = passing()
        .filter(|id| loses(id) || after.is_empty() || start.is_empty() && weightless(id))
        .cloned()
        .collect();
    let any_ready = after.values().any(|e| e.state == State::Ready);
    let any_loss = passing().any(|id| loses(&id));
    let kind = if after.is_empty() && (is_first || !start.is_empty()) {
        "no endpoints"
    } else if any_ready && (any_loss || start.is_empty()) {
        "all zero"
    } else if any_loss {
        "nothing left"
    } else {
        return;
    };
    report.kinds.insert(kind);
    if lost.len() >= 2 {
        report.sticky.extend(lost.iter().cloned());
    }
    report.doubtful.extend(lost);
}

/// An endpoint in the most cautious state that anybody else, or what is held, says it is in.
pub(super) fn with_reported_state(
    subscriptions: &BTreeMap<usize, Subscription>,
    listed_by: usize,
    own: &Endpoint,
) -> Endpoint {
    let id = name(own);
    let reports = subscriptions.iter().flat_map(|(rank, f)| {
        let good = f.good.as_ref().filter(|_| *rank != listed_by).and_then(|(map, _)| map.get(&id));
        let held = f.held.as_ref().and_then(|h| h.parts.get(&id)).and_then(|p| p.want.as_ref());
        good.into_iter().chain(held)
    });
    let counts = |report: &&Endpoint| match (report.started, own.started) {
        (Some(reported), Some(own)) => reported >= own,
        _ => true,
    };
    let state = reports.filter(counts).map(|e| e.state).max().unwrap_or(own.state).max(own.state);
    Endpoint { state, ..own.clone() }
}
