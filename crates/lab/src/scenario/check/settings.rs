//! Lengths of the run, the network, discovery, limits, rules and bounds.

use super::above_zero;
use crate::scenario::{Scenario, Span};
use olivecart_config::document::{Diagnostics, top};

/// Results have an entry for each second: a day is what they are meant for.
const LONGEST: Span = Span::from_nanos(86_400_000_000_000);

/// The engine plays machines side by side for the least one-way delay: below this it would do so for nothing.
const LEAST_DELAY: Span = Span::from_nanos(20_000);

pub(super) fn check(scenario: &Scenario, complaints: &mut Diagnostics) {
    length(scenario, complaints);
    network(scenario, complaints);
    limits(scenario, complaints);
    let rules = top("rules");
    above_zero(complaints, top("discovery").name("timeout"), scenario.discovery.timeout);
    above_zero(complaints, rules.name("fall_window"), scenario.rules.fall_window);
    above_zero(complaints, rules.name("cold_time"), scenario.rules.cold_time);
    above_zero(complaints, rules.name("must_ask_in"), scenario.rules.must_ask_in);
    bounds(scenario, complaints);
}

fn length(scenario: &Scenario, complaints: &mut Diagnostics) {
    let Scenario { length, warmup, .. } = scenario;
    above_zero(complaints, top("length"), *length);
    if *length > LONGEST {
        complaints.add(top("length"), format!("{length} is longer than 24 hours"), "at most 1440m");
    }
    if length.nanos() > 0 && warmup >= length {
        let what = format!("the warm-up, {warmup}, is not below the length, {length}: nothing is counted");
        complaints.add(top("warmup"), what, format!("below {length}"));
    }
}

fn network(scenario: &Scenario, complaints: &mut Diagnostics) {
    let network = &scenario.network;
    let delays =
        [("same_zone", network.same_zone), ("cross_zone", network.cross_zone), ("client", network.client)];
    for (name, delay) in delays {
        if delay < LEAST_DELAY {
            let what = format!("a delay of {delay} is below {LEAST_DELAY}");
            complaints.add(top("network").name(name), what, format!("at least {LEAST_DELAY}"));
        }
    }
}

fn limits(scenario: &Scenario, complaints: &mut Diagnostics) {
    let limits = &scenario.limits;
    let longest = if scenario.zones.len() > 1 {
        scenario.network.same_zone.max(scenario.network.cross_zone)
    } else {
        scenario.network.same_zone
    };
    let kinds = scenario.tier.iter().flat_map(|t| &t.kind);
    let rtts = kinds.map(|k| u64::from(k.connections.handshake_rtts)).max().unwrap_or(0);
    let needs = |trips: u64| Span::from_nanos(2 * trips * longest.nanos());
    let timeouts = [
        ("connect_timeout", limits.connect_timeout, needs(rtts), "connection"),
        ("probe_timeout", limits.probe_timeout, needs(u64::from(limits.probes)), "probe"),
    ];
    for (name, timeout, least, what) in timeouts {
        let key = top("limits").name(name);
        if timeout.nanos() == 0 {
            above_zero(complaints, key, timeout);
        } else if timeout <= least {
            let what = format!("a {what} takes {least} on the network alone: all would fail after {timeout}");
            complaints.add(key, what, format!("above {least}"));
        }
    }
}

fn bounds(scenario: &Scenario, complaints: &mut Diagnostics) {
    let bounds = &scenario.bounds;
    let Some([least, most]) = bounds.goodput else { return };
    if least > most {
        let what = format!("the least goodput, {least}, is above the greatest, {most}");
        complaints.add(top("bounds").name("goodput"), what, format!("[{most}, {least}]"));
    } else if let Some(worst) = bounds.worst_window.filter(|worst| *worst > most) {
        let what = format!(
            "the worst window, {worst}, is to be better than the whole run's greatest goodput, {most}"
        );
        complaints.add(top("bounds").name("worst_window"), what, format!("at most {most}"));
    }
}
