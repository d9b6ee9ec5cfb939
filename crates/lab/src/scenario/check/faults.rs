//! Faults: that what is given means something, and that each touches somebody.

use crate::scenario::{Fault, FaultKind, Scenario};
use olivecart_config::document::suggestion;
use olivecart_config::document::{Diagnostics, Key, top};

/// What a kind of fault is told by.
struct Terms {
    /// It touches servers: a tier and a kind of machine may be given.
    servers: bool,
    /// A part may be given.
    part: bool,
    zone: Need,
    tenant: Need,
    /// It has to last.
    lasts: bool,
    strength: Option<Strength>,
}

#[derive(PartialEq)]
enum Need {
    No,
    May,
    Must,
}

/// A range of strengths: above the least, up to the most.
struct Strength {
    above: f64,
    most: f64,
    whole: bool,
    unit: &'static str,
}

const NOTHING: Terms =
    Terms { servers: false, part: false, zone: Need::No, tenant: Need::No, lasts: true, strength: None };
const SERVERS: Terms = Terms { servers: true, part: true, zone: Need::May, ..NOTHING };

fn terms(kind: FaultKind) -> Terms {
    let strength = |above, most, unit| Some(Strength { above, most, whole: false, unit });
    match kind {
        FaultKind::Crash => Terms { lasts: false, ..SERVERS },
        FaultKind::FastErrors => Terms { strength: strength(0.0, 1.0, "the share that fails"), ..SERVERS },
        FaultKind::Slow => Terms { strength: strength(1.0, 1000.0, "how many times slower"), ..SERVERS },
        FaultKind::Hang => SERVERS,
        FaultKind::ZoneLoss | FaultKind::Partition => Terms { zone: Need::Must, ..NOTHING },
        FaultKind::DiscoveryOutage | FaultKind::StaleList => NOTHING,
        FaultKind::LateReports => Terms { strength: strength(0.0, 3600.0, "seconds"), ..SERVERS },
        FaultKind::RollingDeploy => {
            Terms { strength: strength(0.0, 1.0, "the share of the tier in a batch"), ..SERVERS }
        }
        FaultKind::TenantFlood => {
            let strength = strength(1.0, 1000.0, "how many times its usual traffic");
            Terms { tenant: Need::Must, strength, ..NOTHING }
        }
        FaultKind::RetryStorm => {
            let unit = "tries after the first";
            let strength = Some(Strength { above: 0.0, most: 20.0, whole: true, unit });
            Terms { part: true, strength, ..NOTHING }
        }
        FaultKind::ProxyRestart => Terms { part: true, zone: Need::May, lasts: false, ..NOTHING },
        FaultKind::Resets => {
            Terms { strength: strength(0.0, 1.0, "the probability for each attempt"), ..SERVERS }
        }
    }
}

pub(super) fn check(scenario: &Scenario, complaints: &mut Diagnostics) {
    for (i, fault) in scenario.fault.iter().enumerate() {
        let (terms, key) = (terms(fault.kind), top("fault").at(i));
        time(scenario, fault, &terms, &key, complaints);
        strength(fault, &terms, &key, complaints);
        let needs = [
            ("tier", &fault.tier, if terms.servers { Need::May } else { Need::No }),
            ("machine", &fault.machine, if terms.servers { Need::May } else { Need::No }),
            ("zone", &fault.zone, terms.zone),
            ("tenant", &fault.tenant, terms.tenant),
        ];
        for (name, given, need) in needs {
            match given {
                None if need == Need::Must => {
                    let what = format!("{} needs a {name}", called(fault.kind));
                    complaints.add(key.name(name), what, known(scenario, fault, name));
                }
                Some(_) if need == Need::No => {
                    let what = format!("{} knows no `{name}`", called(fault.kind));
                    complaints.add_name(key.name(name), what, "");
                }
                Some(given) => reference(scenario, fault, name, given, &key, complaints),
                None => (),
            }
        }
        if !terms.part && fault.part != 1.0 {
            complaints.add_name(key.name("part"), format!("{} knows no `part`", called(fault.kind)), "");
        }
        if fault.kind == FaultKind::Partition && scenario.zones.len() < 2 {
            let what = "a partition in a fleet of a single zone parts nobody";
            complaints.add(key.name("kind"), what, "two zones at least");
        }
    }
}

fn time(scenario: &Scenario, fault: &Fault, terms: &Terms, key: &Key, complaints: &mut Diagnostics) {
    let length = scenario.length;
    if fault.start >= length {
        let what = format!("it begins at {}, and clients arrive until {length}", fault.start);
        complaints.add(key.name("start"), what, format!("below {length}"));
    }
    if terms.lasts && fault.length.nanos() == 0 {
        complaints.add(key.name("length"), "it lasts no time and touches nobody", "above 0s");
    }
}

fn strength(fault: &Fault, terms: &Terms, key: &Key, complaints: &mut Diagnostics) {
    let (kind, key) = (called(fault.kind), key.name("strength"));
    match (&terms.strength, fault.strength) {
        (None, Some(_)) => complaints.add_name(key, format!("{kind} knows no `strength`"), ""),
        (Some(needed), None) => {
            complaints.add(key, format!("{kind} needs a strength"), needed.right());
        }
        (Some(needed), Some(given)) if !needed.contains(given) => {
            complaints.add(key, format!("{given} is no strength of {kind}"), needed.right());
        }
        _ => (),
    }
}

impl Strength {
    fn contains(&self, given: f64) -> bool {
        given > self.above && given <= self.most && (!self.whole || given.fract() == 0.0)
    }

    fn right(&self) -> String {
        let whole = if self.whole { ", a whole number" } else { "" };
        format!("{}: above {}, up to {}{whole}", self.unit, self.above, self.most)
    }
}

fn reference(s: &Scenario, fault: &Fault, name: &str, given: &str, key: &Key, complaints: &mut Diagnostics) {
    // Without a tier, its kinds cannot be known.
    let is_known = match (name, s.fault_tier(fault)) {
        ("tier", tier) => tier.is_some(),
        ("machine", tier) => tier.is_none_or(|t| s.kind_index(t, given).is_some()),
        ("zone", _) => s.zone_index(given).is_some(),
        _ => s.tenant_index(given).is_some(),
    };
    if !is_known {
        let what = format!("no {name} is called `{given}`");
        complaints.add(key.name(name), what, known_like(s, fault, name, given));
    }
}

fn names<'s>(scenario: &'s Scenario, fault: &Fault, name: &str) -> Vec<&'s str> {
    match name {
        "tier" => scenario.tier.iter().map(|t| t.name.as_str()).collect(),
        "machine" => {
            let tier = scenario.fault_tier(fault).and_then(|t| scenario.tier.get(t));
            tier.into_iter().flat_map(|t| &t.kind).map(|k| k.name.as_str()).collect()
        }
        "zone" => scenario.zones.iter().map(String::as_str).collect(),
        _ => scenario.tenant.iter().map(|t| t.name.as_str()).collect(),
    }
}

fn known(scenario: &Scenario, fault: &Fault, name: &str) -> String {
    known_like(scenario, fault, name, "")
}

fn known_like(scenario: &Scenario, fault: &Fault, name: &str, given: &str) -> String {
    suggestion(given, names(scenario, fault, name))
}

/// A kind's name as the file writes it.
fn called(kind: FaultKind) -> String {
    serde_json::to_value(kind).ok().and_then(|v| v.as_str().map(str::to_owned)).unwrap_or_default()
}

/// Checks that each fault touches somebody.
pub(super) fn check_reach(scenario: &Scenario, complaints: &mut Diagnostics) {
    for (i, fault) in scenario.fault.iter().enumerate() {
        let (terms, key) = (terms(fault.kind), top("fault").at(i));
        if terms.zone == Need::Must {
            zone(scenario, fault, &key, complaints);
        } else if terms.servers || fault.kind == FaultKind::ProxyRestart {
            count(scenario, fault, &key, complaints);
        }
    }
}

/// Checks that a zone holds a machine at all, and that a partition has one on the other side.
fn zone(scenario: &Scenario, fault: &Fault, key: &Key, complaints: &mut Diagnostics) {
    let zone = fault.zone.as_deref().and_then(|name| scenario.zone_index(name));
    // Machines are spread over the zones in turn, so that the first zones are the ones with machines.
    let widest = scenario.tier.iter().map(|t| t.servers.max(t.proxies) as usize).max().unwrap_or(0);
    if zone.is_some_and(|zone| zone >= widest) {
        complaints.add(key.name("zone"), "no server and no proxy is in this zone", "a zone that has one");
    } else if fault.kind == FaultKind::Partition && widest < 2 {
        let right = "servers or proxies in two zones at least";
        complaints.add(key.name("zone"), "no server and no proxy is in any other zone", right);
    }
}

fn count(scenario: &Scenario, fault: &Fault, key: &Key, complaints: &mut Diagnostics) {
    let reach = scenario.within_reach(fault).len();
    let what = match fault.kind {
        FaultKind::ProxyRestart => "proxy",
        FaultKind::LateReports => "server that makes load reports",
        _ => "server",
    };
    if reach == 0 {
        let given = [("machine", &fault.machine), ("zone", &fault.zone), ("tier", &fault.tier)];
        let name = given.iter().find(|(_, given)| given.is_some()).map_or("kind", |(name, _)| name);
        let what = format!("it touches nobody: no {what} is of this tier, zone and kind");
        complaints.add(key.name(name), what, "one that there is");
    } else if fault.count(reach) == 0 {
        // Rounded up: what is advised must be enough.
        let least = (0.5 / reach as f64 * 1e4).ceil() / 1e4;
        let what = format!("it touches nobody: {} of {reach} comes to no {what}", fault.part);
        complaints.add(key.name("part"), what, format!("at least {least}"));
    }
}
