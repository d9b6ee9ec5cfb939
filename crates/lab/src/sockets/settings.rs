//! The configuration file of a real proxy, derived from its position in a scenario.

use super::protocol::Document;
use super::server::REPORT_NAMES;
use crate::model::Topology;
use crate::scenario::{Class, DiscoveryMode, Effect, Group, Weights};
use serde_json::{Value, json};
use std::net::SocketAddr;

/// The resource limits in a proxy's configuration.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Memory, in MB. The lab does not enforce it.
    pub memory_mb: u32,
    /// File descriptors. The lab does not enforce it.
    pub sockets: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { memory_mb: 192, sockets: 1024 }
    }
}

/// Returns the settings object of a machine's proxy, or `None` if the machine has no proxy.
pub fn settings(topology: &Topology, machine: u32) -> Option<Value> {
    let spec = topology.machines.get(machine as usize)?;
    let (tier, number) = spec.proxy?;
    let decision_settings = topology.settings(tier, number, spec.zone);
    let scenario = &topology.scenario;
    let target_tier = &scenario.tier[tier as usize];
    let accounts = scenario.tenant.iter().zip(&decision_settings.tenants);
    let idle = target_tier.kind.iter().map(|k| k.connections.idle.nanos()).min();
    let reports = target_tier.kind.iter().any(|k| k.report.is_some());
    let (limits, rules) = (&decision_settings.limits, &decision_settings.rules);
    Some(json!({
        "accounts": accounts.map(|(named, decision_settings)| json!({
            "name": named.name,
            "share": decision_settings.share,
            "quota-per-s": decision_settings.quota_per_s,
        })).collect::<Vec<_>>(),
        "allowed": {
            "connect-timeout-ns": limits.connect_timeout,
            "idle-close-ns": idle,
            "max-attempts": limits.max_attempts,
            "max-retry-after-ns": limits.max_retry_after,
            "may-cancel": limits.cancellation_enabled,
            "most-held": scenario.limits.most_held,
            "probes": limits.health_checks_enabled,
            "retry-after": limits.max_retry_after > 0,
            "second-copies": limits.hedging_enabled,
            "streams-per-conn": 1,
        },
        "callers": { "marks-retry": scenario.clients.marks_retry },
        "dcs": scenario.zones,
        "extra": { "passes-deadline": decision_settings.propagates_deadline },
        "grades": scenario.class.iter().map(grade).collect::<Vec<_>>(),
        "granularity-ns": decision_settings.clock_granularity,
        "group-size": decision_settings.replica_count,
        "me": decision_settings.replica_index,
        "over-share-worth": decision_settings.over_quota_weight_ratio,
        "registry-mode": match scenario.discovery.mode {
            DiscoveryMode::Push => "automatic",
            DiscoveryMode::Watch => "subscribe",
        },
        "report": {
            "names": if reports { &REPORT_NAMES[..] } else { &[] },
            "source": if reports { "answers" } else { "none" },
        },
        "rules": {
            "cold-ns": rules.slow_start_window,
            "cold-share": rules.slow_start_initial_share,
            "drain-grace-ns": rules.drain_grace,
            "fall-multiple": rules.overload_multiple,
            "fall-ns": rules.overload_window,
            "grace-to-answer-ns": scenario.rules.answer_grace.nanos(),
            "must-ask-in-ns": rules.poll_interval,
        },
        "shapes": target_tier.kind.iter().map(|k| &k.name).collect::<Vec<_>>(),
        "stages": scenario.tier.iter().map(|t| &t.name).collect::<Vec<_>>(),
        "tier": decision_settings.tier,
        "weights": match target_tier.weights {
            Weights::None => "none",
            Weights::Nominal => "nominal",
            Weights::True => "rough",
        },
        "worth-by": if decision_settings.weight_by_work { "work" } else { "request" },
        "zone": scenario.zones[spec.zone as usize],
    }))
}

fn grade(class: &Class) -> Value {
    let mut grade = json!({
        "name": class.name,
        "aim-ns": class.aim.nanos(),
        "give-up-ns": class.deadline.nanos(),
        "worth": class.worth,
        "late-worth": class.late_worth,
        "stream": false,
        "effect": match class.effect {
            Effect::Repeatable => "repeatable",
            Effect::ByKey => "by_key",
            Effect::Once => "once",
        },
    });
    if class.effect == Effect::ByKey {
        grade["group"] = match class.group {
            Group::All => "all",
            Group::Zone => "zone",
            Group::Cell => "cell",
        }
        .into();
        grade["window-ns"] = class.window.unwrap_or_default().nanos().into();
    }
    grade
}

/// The parts of a proxy's configuration that do not come from the scenario.
pub struct Start<'a> {
    /// The proxy's name.
    pub name: &'a str,
    /// The address on which the proxy listens.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The seed of the proxy's random numbers.
    pub seed: u64,
    /// The list of servers known at the start.
    pub known: &'a Document,
    /// The resource limits.
    pub limits: Limits,
}

/// Returns the configuration of a machine's proxy, or `None` if the machine has no proxy.
pub fn config(topology: &Topology, machine: u32, start: &Start) -> Option<Value> {
    Some(json!({
        "name": start.name,
        "listen": start.listen,
        "discovery": start.discovery,
        "seed": format!("{:016x}", start.seed),
        "limits": { "cores": 1.0, "memory_mb": start.limits.memory_mb, "sockets": start.limits.sockets },
        "known": start.known,
        "settings": settings(topology, machine)?,
    }))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::model::PolicyChoice;
    use crate::scenario::Scenario;
    use olivecart_settings::Site;

    #[test]
    fn proxy_parses_the_same_settings_as_the_model_uses() {
        let text = r#"version = 1
            name = "test"
            length = "1s"
            zones = ["a", "b"]
            tenant = [{ name = "x", share = 0.4 }, { name = "y", share = 0.2 }]
            over_share_worth = 0.125
            clients = { load = 0.5 }
            discovery = { mode = "watch" }

            [[class]]
            name = "read"
            aim = "100ms"
            deadline = "1s"
            worth = 2.5
            late_worth = 0.25
            effect = "repeatable"
            work = { dist = "fixed", mean = "3ms" }

            [[class]]
            name = "book"
            aim = "200ms"
            deadline = "2s"
            effect = "by_key"
            group = "cell"
            window = "7s"
            work = { dist = "fixed", mean = "3ms" }

            [[class]]
            name = "pay"
            aim = "200ms"
            deadline = "2s"
            effect = "once"
            work = { dist = "fixed", mean = "3ms" }

            [limits]
            max_attempts = 5
            cancel = false
            max_retry_after = "3s"
            connect_timeout = "70ms"
            most_held = 99
            passes_deadline = false

            [rules]
            cold_share = 0.3
            cold_time = "4s"
            fall_multiple = 2.5
            fall_window = "2s"
            drain_grace = "300ms"
            must_ask_in = "6s"
            answer_grace = "15ms"

            [[tier]]
            name = "t"
            servers = 5
            proxies = 3
            kind = [{ name = "k", cores = 1 }]

            [[tier]]
            name = "u"
            servers = 2
            kind = [{ name = "k", cores = 1, report = { period = "1s" }, connections = { idle = "8s" } }]"#;
        let scenario = Scenario::parse("test", text).unwrap().into_inner();
        let topology = Topology::new(scenario, 1, PolicyChoice::named("olivecart").unwrap());
        let mut proxies = 0;
        for (machine, spec) in (0..).zip(&topology.machines) {
            let Some((tier, number)) = spec.proxy else {
                assert!(settings(&topology, machine).is_none());
                continue;
            };
            proxies += 1;
            let site = Site::read(&settings(&topology, machine).unwrap().to_string()).unwrap();
            let decision_settings = topology.settings(tier, number, spec.zone);
            assert_eq!(format!("{:#?}", site.settings), format!("{decision_settings:#?}"));
            assert_eq!((site.max_open_requests, site.response_grace.as_millis()), (99, 15));
            assert_eq!(site.idle_close.as_secs(), if tier == 1 { 8 } else { 30 });
            let reported = site.load_report_from_row(vec![Some(1.0); 4]);
            assert_eq!((reported.cpu.is_some(), reported.rate.is_some()), (tier == 1, tier == 1));
            assert_eq!((site.classes.get("pay"), site.tenants.get("y")), (Some(2), Some(1)));
        }
        assert_eq!(proxies, 3 + 5);
    }
}
