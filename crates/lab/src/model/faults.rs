//! The timeline of faults. It is drawn from the seed before a run, so that each node knows the faults of the
//! machine and of the network without messages.

use super::message::{ListEntry, MachineChange};
use super::topology::{ServerTemplate, Topology};
use crate::run_result::Window;
use crate::scenario::{Fault, FaultKind};
use olivecart_decisions::{EndpointState, Nanos};
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;

/// A span of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeSpan {
    /// The start, inclusive.
    pub from: Nanos,
    /// The end, exclusive.
    pub to: Nanos,
}

impl TimeSpan {
    /// Whether the span contains a time.
    pub fn contains(&self, at: Nanos) -> bool {
        (self.from..self.to).contains(&at)
    }
}

/// All faults of a run.
#[derive(Default)]
pub struct Timeline {
    /// The changes of each machine, in order of time.
    pub changes: Vec<Vec<(Nanos, MachineChange)>>,
    /// Zones that are partitioned from the others.
    pub cuts: Vec<(TimeSpan, u16)>,
    /// The periods in which each machine is unreachable, without any notice to others.
    pub unreachable: Vec<Vec<TimeSpan>>,
    /// Tiers whose connections are reset, with the probability per attempt.
    pub resets: Vec<(TimeSpan, u8, f64)>,
    /// Tenants that send more traffic, with the factor.
    pub floods: Vec<(TimeSpan, u16, f64)>,
    /// Retry storms: clients retry immediately, up to this number of times.
    pub storms: Vec<(TimeSpan, u32)>,
    /// Outages of discovery.
    pub outages: Vec<TimeSpan>,
    /// Periods in which discovery receives no changes.
    pub stale: Vec<TimeSpan>,
    /// The periods in which the proxy of each machine is down.
    pub proxies_down: Vec<Vec<TimeSpan>>,
    /// The changes of the endpoint lists, in order of time: time, tier, new entry.
    pub list_changes: Vec<(Nanos, u8, ListEntry)>,
    /// The faults and their periods, for the report.
    pub windows: Vec<Window>,
}

impl Timeline {
    /// Draws the servers and proxies that the scenario's faults affect. Deploys add the replacement servers
    /// to the topology.
    pub(super) fn draw(topology: &mut Topology, rng: &mut Pcg64Mcg) -> Timeline {
        let mut timeline = Timeline::default();
        timeline.resize_to(topology);
        for fault in topology.scenario.fault.clone() {
            let span = TimeSpan {
                from: fault.start.nanos(),
                to: fault.start.nanos().saturating_add(fault.length.nanos()),
            };
            let touched = timeline.add(topology, rng, &fault, span);
            let kind = serde_json::to_value(fault.kind).ok();
            timeline.windows.push(Window {
                kind: kind.and_then(|k| k.as_str().map(str::to_owned)).unwrap_or_default(),
                from_ms: span.from / 1_000_000,
                to_ms: span.to / 1_000_000,
                touched,
            });
        }
        timeline.resize_to(topology);
        // The sort is stable, so simultaneous changes of one fault keep their order.
        timeline.changes.iter_mut().for_each(|changes| changes.sort_by_key(|(at, _)| *at));
        timeline.list_changes.sort_by_key(|(at, ..)| *at);
        timeline
    }

    /// Resizes the lists by machine to the current number of machines.
    fn resize_to(&mut self, topology: &Topology) {
        let machines = topology.machines.len();
        self.changes.resize_with(machines, Vec::new);
        self.unreachable.resize_with(machines, Vec::new);
        self.proxies_down.resize_with(machines, Vec::new);
    }

    /// Adds a fault and returns a description of what it affects.
    fn add(&mut self, topology: &mut Topology, rng: &mut Pcg64Mcg, fault: &Fault, time: TimeSpan) -> String {
        let strength = fault.strength.unwrap_or(0.0);
        match fault.kind {
            FaultKind::Crash => self.crash(topology, rng, fault, time),
            FaultKind::FastErrors => {
                let errors = [MachineChange::Errors(strength), MachineChange::Errors(0.0)];
                self.degrade(topology, rng, fault, time, errors)
            }
            FaultKind::Slow => {
                let slow = [MachineChange::Slow(strength), MachineChange::Slow(1.0)];
                self.degrade(topology, rng, fault, time, slow)
            }
            FaultKind::Hang => {
                let hang = [MachineChange::Hang(true), MachineChange::Hang(false)];
                self.degrade(topology, rng, fault, time, hang)
            }
            FaultKind::LateReports => {
                let late = [MachineChange::Late((strength * 1e9) as Nanos), MachineChange::Late(0)];
                self.degrade(topology, rng, fault, time, late)
            }
            FaultKind::ZoneLoss => self.lose_zone(topology, zone_of(topology, fault), time),
            FaultKind::Partition => self.cut_zone(topology, zone_of(topology, fault), time),
            FaultKind::RollingDeploy => self.deploy(topology, rng, fault, time),
            FaultKind::ProxyRestart => self.restart_proxies(topology, rng, fault, time),
            FaultKind::Resets => self.reset_connections(topology, fault, time),
            FaultKind::TenantFlood => self.flood_tenant(topology, fault, time),
            FaultKind::RetryStorm => {
                self.storms.push((time, strength as u32));
                format!("up to {strength} immediate retries")
            }
            FaultKind::DiscoveryOutage => {
                self.outages.push(time);
                "discovery".into()
            }
            FaultKind::StaleList => {
                self.stale.push(time);
                "discovery".into()
            }
        }
    }

    fn crash(&mut self, topology: &Topology, rng: &mut Pcg64Mcg, fault: &Fault, time: TimeSpan) -> String {
        let tier = tier_of(topology, fault);
        let slots = choose(topology, rng, fault);
        for &slot in &slots {
            self.restart(topology, tier, slot, time, false);
        }
        server_names(topology, tier, &slots)
    }

    /// Applies one change to servers at the start of the fault and another at its end.
    fn degrade(
        &mut self,
        topology: &Topology,
        rng: &mut Pcg64Mcg,
        fault: &Fault,
        time: TimeSpan,
        [begin, end]: [MachineChange; 2],
    ) -> String {
        let tier = tier_of(topology, fault);
        let slots = choose(topology, rng, fault);
        for &slot in &slots {
            let machine = topology.tiers[tier].servers[slot as usize].machine as usize;
            self.changes[machine].extend([(time.from, begin), (time.to, end)]);
        }
        server_names(topology, tier, &slots)
    }

    fn cut_zone(&mut self, topology: &Topology, zone: usize, time: TimeSpan) -> String {
        self.cuts.push((time, zone as u16));
        format!("zone {}", topology.scenario.zones[zone])
    }

    fn reset_connections(&mut self, topology: &Topology, fault: &Fault, time: TimeSpan) -> String {
        let tier = tier_of(topology, fault);
        let probability = fault.strength.unwrap_or(0.0);
        self.resets.push((time, tier as u8, probability));
        let percent = probability * 100.0;
        format!("{percent:.0}% of the attempts sent to {}", topology.scenario.tier[tier].name)
    }

    fn flood_tenant(&mut self, topology: &Topology, fault: &Fault, time: TimeSpan) -> String {
        let tenant = tenant_of(topology, fault);
        let factor = fault.strength.unwrap_or(0.0);
        self.floods.push((time, tenant as u16, factor));
        format!("{} sends {factor} times its traffic", topology.scenario.tenant[tenant].name)
    }

    /// Stops a machine with its server, and starts it again cold at the end of the fault.
    fn restart(&mut self, topology: &Topology, tier: usize, slot: u32, time: TimeSpan, silent: bool) {
        let machine = topology.tiers[tier].servers[slot as usize].machine as usize;
        self.changes[machine]
            .extend([(time.from, MachineChange::Die { silent }), (time.to, MachineChange::Start)]);
        self.proxies_down[machine].push(time);
        if silent {
            self.unreachable[machine].push(time);
        }
        let line = |state, started| ListEntry { slot, state, started };
        self.list_changes.push((time.from, tier as u8, line(EndpointState::Removed, 0)));
        self.list_changes.push((time.to, tier as u8, line(EndpointState::Ready, time.to)));
    }

    fn lose_zone(&mut self, topology: &Topology, zone: usize, time: TimeSpan) -> String {
        for tier in 0..topology.tiers.len() {
            for slot in 0..topology.tiers[tier].servers.len() as u32 {
                let spec = &topology.tiers[tier].servers[slot as usize];
                if spec.zone as usize == zone && spec.present_at_start {
                    self.restart(topology, tier, slot, time, true);
                }
            }
        }
        for &machine in &topology.fronts[zone] {
            self.changes[machine as usize]
                .extend([(time.from, MachineChange::Die { silent: true }), (time.to, MachineChange::Start)]);
            self.proxies_down[machine as usize].push(time);
            self.unreachable[machine as usize].push(time);
        }
        format!("all servers and proxies of zone {}", topology.scenario.zones[zone])
    }

    fn restart_proxies(
        &mut self,
        topology: &Topology,
        rng: &mut Pcg64Mcg,
        fault: &Fault,
        time: TimeSpan,
    ) -> String {
        let fronts = choose(topology, rng, fault);
        let count = fronts.len();
        for &machine in &fronts {
            let changes =
                [(time.from, MachineChange::Die { silent: false }), (time.to, MachineChange::Start)];
            self.changes[machine as usize].extend(changes);
            self.proxies_down[machine as usize].push(time);
        }
        format!("{count} proxies")
    }

    /// Replaces servers batch by batch: each batch is drained and, half a batch interval later, replaced by
    /// new servers with new ids.
    fn deploy(
        &mut self,
        topology: &mut Topology,
        rng: &mut Pcg64Mcg,
        fault: &Fault,
        time: TimeSpan,
    ) -> String {
        let tier = tier_of(topology, fault);
        let slots = choose(topology, rng, fault);
        let base = topology.scenario.tier[tier].servers as usize;
        let batch = ((base as f64 * fault.strength.unwrap_or(1.0)).round() as usize).max(1);
        let step = (time.to - time.from) / slots.len().div_ceil(batch).max(1) as u64;
        for (number, batch) in slots.chunks(batch).enumerate() {
            let drained = time.from + step * number as u64;
            let replaced = drained + step / 2;
            for &slot in batch {
                self.replace(topology, tier, slot, drained, replaced);
            }
        }
        format!("{} servers of {} in batches of {batch}", slots.len(), topology.scenario.tier[tier].name)
    }

    fn replace(&mut self, topology: &mut Topology, tier: usize, slot: u32, drained: Nanos, replaced: Nanos) {
        let old = &topology.tiers[tier].servers[slot as usize];
        let template = ServerTemplate {
            zone: old.zone,
            kind: old.kind,
            speed: old.speed,
            cell: old.cell,
            present_at_start: false,
        };
        let machine = old.machine as usize;
        let new = topology.add_server(tier, template);
        self.resize_to(topology);
        let successor = topology.tiers[tier].servers[new as usize].machine as usize;
        self.changes[machine]
            .extend([(drained, MachineChange::Drain), (replaced, MachineChange::Die { silent: false })]);
        self.proxies_down[machine].push(TimeSpan { from: replaced, to: Nanos::MAX });
        self.changes[successor].push((replaced, MachineChange::Start));
        self.proxies_down[successor].push(TimeSpan { from: 0, to: replaced });
        let line = |slot, state, started| ListEntry { slot, state, started };
        self.list_changes.push((drained, tier as u8, line(slot, EndpointState::Draining, 0)));
        self.list_changes.push((replaced, tier as u8, line(slot, EndpointState::Removed, 0)));
        self.list_changes.push((replaced, tier as u8, line(new, EndpointState::Ready, replaced)));
    }

    /// Whether two zones can communicate.
    pub fn joined(&self, a: u16, b: u16, at: Nanos) -> bool {
        a == b || !self.cuts.iter().any(|(time, zone)| (*zone == a || *zone == b) && time.contains(at))
    }

    /// Whether a machine is unreachable.
    pub fn is_unreachable(&self, machine: u32, at: Nanos) -> bool {
        self.unreachable[machine as usize].iter().any(|time| time.contains(at))
    }

    /// Returns since when the proxy of a machine has been down, or `None` if it is up.
    pub fn proxy_down_since(&self, machine: u32, at: Nanos) -> Option<Nanos> {
        self.proxies_down[machine as usize].iter().find(|time| time.contains(at)).map(|time| time.from)
    }

    /// The probability that the connection of an attempt at a tier is reset.
    pub fn reset_rate(&self, base: f64, tier: u8, at: Nanos) -> f64 {
        let now = self.resets.iter().filter(|(time, t, _)| *t == tier && time.contains(at));
        now.map(|(_, _, rate)| *rate).fold(base, f64::max)
    }

    /// The factor on the usual traffic of a tenant.
    pub fn flood(&self, tenant: u16, at: Nanos) -> f64 {
        let now = self.floods.iter().filter(|(time, t, _)| *t == tenant && time.contains(at));
        now.map(|(_, _, factor)| *factor).product()
    }

    /// The maximum number of immediate retries during a retry storm; `None` if there is no storm.
    pub fn storm(&self, at: Nanos) -> Option<u32> {
        self.storms.iter().filter(|(time, _)| time.contains(at)).map(|(_, tries)| *tries).max()
    }

    /// The time at which discovery receives a change that happens at a time, with its lag.
    pub fn discovered_at(&self, at: Nanos, lag: Nanos) -> Nanos {
        let discovered = at.saturating_add(lag);
        self.stale
            .iter()
            .filter(|time| time.contains(discovered))
            .map(|time| time.to)
            .max()
            .unwrap_or(discovered)
    }
}

/// The tier of a fault; its name was checked when the scenario was read.
fn tier_of(topology: &Topology, fault: &Fault) -> usize {
    let position = |name: &str| topology.scenario.tier.iter().position(|tier| tier.name == name);
    fault.tier.as_deref().and_then(position).unwrap_or(0)
}

/// The zone of a fault; its name was checked when the scenario was read.
fn zone_of(topology: &Topology, fault: &Fault) -> usize {
    let position = |name: &str| topology.scenario.zones.iter().position(|zone| zone == name);
    fault.zone.as_deref().and_then(position).unwrap_or(0)
}

/// The tenant of a fault; its name was checked when the scenario was read.
fn tenant_of(topology: &Topology, fault: &Fault) -> usize {
    let position = |name: &str| topology.scenario.tenant.iter().position(|tenant| tenant.name == name);
    fault.tenant.as_deref().and_then(position).unwrap_or(0)
}

/// Draws the servers or proxies that a fault affects: the requested part of all that it can affect.
fn choose(topology: &Topology, rng: &mut Pcg64Mcg, fault: &Fault) -> Vec<u32> {
    let mut slots: Vec<u32> =
        topology.scenario.within_reach(fault).into_iter().map(|slot| slot as u32).collect();
    let count = fault.count(slots.len());
    slots.shuffle(rng);
    slots.truncate(count);
    slots.sort_unstable();
    slots
}

fn server_names(topology: &Topology, tier: usize, slots: &[u32]) -> String {
    let name = |slot: &u32| topology.tiers[tier].servers[*slot as usize].name.clone();
    let names: Vec<_> = slots.iter().take(8).map(name).collect();
    let more = slots.len().saturating_sub(names.len());
    let more = if more > 0 { format!(" and {more} more") } else { String::new() };
    format!("{}{more}", names.join(", "))
}
