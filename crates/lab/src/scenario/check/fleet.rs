//! Tiers, kinds of machine, and their numbers.

use super::above_zero;
use crate::scenario::{Kind, Scenario, Tier};
use olivecart_config::document::{Diagnostics, Key, top};

/// Most machines, and most proxies, over all tiers.
const MOST: u64 = 200_000;

pub(super) fn check(scenario: &Scenario, complaints: &mut Diagnostics) {
    for (t, tier) in scenario.tier.iter().enumerate() {
        let key = top("tier").at(t);
        role(t, tier, &key, complaints);
        let in_zone = tier.servers.div_ceil(scenario.zones.len().max(1) as u32);
        if tier.cell_size > in_zone {
            let what = format!("a cell of {} is larger than a zone's {in_zone} servers", tier.cell_size);
            complaints.add(
                key.name("cell_size"),
                what,
                format!("at most {in_zone}; 0: each zone is one cell"),
            );
        }
        for (k, kind) in tier.kind.iter().enumerate() {
            machine(scenario, kind, &key.name("kind").at(k), complaints);
        }
    }
    numbers(scenario, complaints);
}

fn role(index: usize, tier: &Tier, key: &Key, complaints: &mut Diagnostics) {
    if index == 0 && tier.calls != 1.0 {
        let what = "clients call the first tier, once for each try";
        complaints.add_name(key.name("calls"), what, "no `calls` in the first tier");
    }
    if index > 0 && tier.proxies != 1 {
        let what = "each server of the tier above has a proxy of its own for this tier";
        complaints.add_name(key.name("proxies"), what, "`proxies` in the first tier alone");
    }
}

fn machine(scenario: &Scenario, kind: &Kind, key: &Key, complaints: &mut Diagnostics) {
    let [least, greatest] = kind.speed;
    if least > greatest {
        let what = format!("the least speed, {least}, is above the greatest, {greatest}");
        complaints.add(key.name("speed"), what, format!("[{greatest}, {least}]"));
    }
    cold(scenario, kind, &key.name("cold"), complaints);
    if let Some(crowd) = &kind.crowd {
        let (room, crowded) =
            (u64::from(kind.slots) + u64::from(kind.queue), crowd.per_core * f64::from(kind.cores));
        if crowded >= room as f64 {
            let what = format!("it has room for {room} requests, and is crowded above {crowded}: never");
            complaints.add(key.name("crowd").name("per_core"), what, "fewer, or more slots or queue");
        }
    }
    if let Some(pause) = &kind.pause {
        let key = key.name("pause");
        above_zero(complaints, key.name("length"), pause.length);
        if pause.length >= pause.every {
            let what = format!("it stands still for {} every {}", pause.length, pause.every);
            complaints.add(key.name("length"), what, format!("below {}", pause.every));
        }
    }
    if let Some(report) = &kind.report {
        above_zero(complaints, key.name("report").name("period"), report.period);
    }
    above_zero(complaints, key.name("connections").name("idle"), kind.connections.idle);
}

/// Proxies are told how cold a server may be: one that is colder would break a rule that nobody could keep.
fn cold(scenario: &Scenario, kind: &Kind, key: &Key, complaints: &mut Diagnostics) {
    let Some(cold) = &kind.cold else { return };
    let rules = &scenario.rules;
    above_zero(complaints, key.name("warm_in"), cold.warm_in);
    if cold.from < rules.cold_share {
        let what =
            format!("it starts with {} of its speed, proxies are told {}", cold.from, rules.cold_share);
        complaints.add(key.name("from"), what, "at least `rules.cold_share`");
    }
    if cold.warm_in > rules.cold_time {
        let what = format!("it is warm after {}, proxies are told {}", cold.warm_in, rules.cold_time);
        complaints.add(key.name("warm_in"), what, "at most `rules.cold_time`");
    }
}

fn numbers(scenario: &Scenario, complaints: &mut Diagnostics) {
    let servers = |tiers: &[Tier]| tiers.iter().map(|t| u64::from(t.servers)).sum::<u64>();
    let Some((_, callers)) = scenario.tier.split_last() else { return };
    let proxies = u64::from(scenario.tier[0].proxies) + servers(callers);
    for (what, number) in [("servers", servers(&scenario.tier)), ("proxies", proxies)] {
        if number > MOST {
            let what = format!("{number} {what} over all tiers are more than {MOST}");
            return complaints.add(top("tier"), what, format!("at most {MOST}"));
        }
    }
}

/// Checks that each kind of machine has a server.
pub(super) fn check_seats(scenario: &Scenario, complaints: &mut Diagnostics) {
    for (t, tier) in scenario.tier.iter().enumerate() {
        let counts = scenario.kind_counts(t);
        for (k, kind) in tier.kind.iter().enumerate().filter(|&(k, _)| counts[k] == 0) {
            let what = format!("of {} servers, none is a `{}`", tier.servers, kind.name);
            complaints.add(
                top("tier").at(t).name("kind").at(k).name("share"),
                what,
                "a greater share, or more servers",
            );
        }
    }
}
