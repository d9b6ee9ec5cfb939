//! Faults as they will happen: drawn from the seed before a run, so that every node knows its own and the
//! network's without asking anybody.

use super::message::{Change, Line};
use super::world::{Like, World};
use crate::run::result::Window;
use crate::scenario::{Fault, FaultKind};
use olivecart_decisions::{EndpointState, Nanos};
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;

/// A time from and a time until.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stretch {
    /// From when.
    pub from: Nanos,
    /// Until when, not included.
    pub to: Nanos,
}

impl Stretch {
    /// Whether a time lies in it.
    pub fn holds(&self, at: Nanos) -> bool {
        (self.from..self.to).contains(&at)
    }
}

/// Everything that goes wrong in a run.
#[derive(Default)]
pub struct Timeline {
    /// By machine, in time order.
    pub changes: Vec<Vec<(Nanos, Change)>>,
    /// Zones that are cut off from the others.
    pub cuts: Vec<(Stretch, u16)>,
    /// Machines that have vanished without a word.
    pub dark: Vec<Vec<Stretch>>,
    /// Tiers to whose servers connections break, with which probability.
    pub resets: Vec<(Stretch, u8, f64)>,
    /// Tenants that send more, and how many times.
    pub floods: Vec<(Stretch, u16, f64)>,
    /// Clients that try again at once, so many times.
    pub storms: Vec<(Stretch, u32)>,
    /// Discovery is out.
    pub outages: Vec<Stretch>,
    /// Discovery hears nothing.
    pub stale: Vec<Stretch>,
    /// By machine: when its proxy is not there.
    pub proxies_down: Vec<Vec<Stretch>>,
    /// What discovery has to hear of, in time order: when it happens, in which tier, what.
    pub facts: Vec<(Nanos, u8, Line)>,
    /// For the report.
    pub windows: Vec<Window>,
}

impl Timeline {
    /// Draws whom the scenario's faults touch. Deploys add the servers that will come.
    pub(super) fn draw(world: &mut World, rng: &mut Pcg64Mcg) -> Timeline {
        let mut timeline = Timeline::default();
        timeline.fit(world);
        for fault in world.scenario.fault.clone() {
            let stretch = Stretch {
                from: fault.start.nanos(),
                to: fault.start.nanos().saturating_add(fault.length.nanos()),
            };
            let touched = timeline.add(world, rng, &fault, stretch);
            let kind = serde_json::to_value(fault.kind).ok();
            timeline.windows.push(Window {
                kind: kind.and_then(|k| k.as_str().map(str::to_owned)).unwrap_or_default(),
                from_ms: stretch.from / 1_000_000,
                to_ms: stretch.to / 1_000_000,
                touched,
            });
        }
        timeline.fit(world);
        // Sorting is stable: what one fault does at one instant keeps its order.
        timeline.changes.iter_mut().for_each(|changes| changes.sort_by_key(|(at, _)| *at));
        timeline.facts.sort_by_key(|(at, ..)| *at);
        timeline
    }

    /// Makes room for all machines that there are by now.
    fn fit(&mut self, world: &World) {
        let machines = world.machines.len();
        self.changes.resize_with(machines, Vec::new);
        self.dark.resize_with(machines, Vec::new);
        self.proxies_down.resize_with(machines, Vec::new);
    }

    fn add(&mut self, world: &mut World, rng: &mut Pcg64Mcg, fault: &Fault, time: Stretch) -> String {
        let tier = fault.tier.as_deref().map_or(0, |name| {
            world.scenario.tier.iter().position(|t| t.name == name).unwrap_or(0) // checked when it was read
        });
        let zone = fault.zone.as_deref().and_then(|name| world.scenario.zones.iter().position(|z| z == name));
        let strength = fault.strength.unwrap_or(0.0);
        match fault.kind {
            FaultKind::Crash => {
                let slots = choose(world, rng, fault);
                for &slot in &slots {
                    self.restart(world, tier, slot, time, false);
                }
                servers(world, tier, &slots)
            }
            FaultKind::FastErrors => self.while_it_lasts(
                world,
                rng,
                fault,
                tier,
                time,
                Change::Errors(strength),
                Change::Errors(0.0),
            ),
            FaultKind::Slow => {
                self.while_it_lasts(world, rng, fault, tier, time, Change::Slow(strength), Change::Slow(1.0))
            }
            FaultKind::Hang => {
                self.while_it_lasts(world, rng, fault, tier, time, Change::Hang(true), Change::Hang(false))
            }
            FaultKind::LateReports => {
                let late = Change::Late((strength * 1e9) as Nanos);
                self.while_it_lasts(world, rng, fault, tier, time, late, Change::Late(0))
            }
            FaultKind::ZoneLoss => self.lose_zone(world, zone.unwrap_or(0), time),
            FaultKind::Partition => {
                let zone = zone.unwrap_or(0);
                self.cuts.push((time, zone as u16));
                format!("zone {}", world.scenario.zones[zone])
            }
            FaultKind::RollingDeploy => self.deploy(world, rng, fault, tier, time),
            FaultKind::ProxyRestart => self.restart_proxies(world, rng, fault, time),
            FaultKind::Resets => {
                self.resets.push((time, tier as u8, strength));
                format!("{:.0}% of the attempts at {}", strength * 100.0, world.scenario.tier[tier].name)
            }
            FaultKind::TenantFlood => {
                let of = |name: &str| world.scenario.tenant.iter().position(|t| t.name == name);
                let tenant = fault.tenant.as_deref().and_then(of).unwrap_or(0);
                self.floods.push((time, tenant as u16, strength));
                format!("{} sends {strength} times its traffic", world.scenario.tenant[tenant].name)
            }
            FaultKind::RetryStorm => {
                self.storms.push((time, strength as u32));
                format!("{strength} more tries at once")
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

    #[expect(clippy::too_many_arguments, reason = "a fault, its reach, and its two ends")]
    fn while_it_lasts(
        &mut self,
        world: &World,
        rng: &mut Pcg64Mcg,
        fault: &Fault,
        tier: usize,
        time: Stretch,
        begin: Change,
        end: Change,
    ) -> String {
        let slots = choose(world, rng, fault);
        for &slot in &slots {
            let machine = world.tiers[tier].servers[slot as usize].machine as usize;
            self.changes[machine].extend([(time.from, begin), (time.to, end)]);
        }
        servers(world, tier, &slots)
    }

    /// A machine with its server dies and comes back cold.
    fn restart(&mut self, world: &World, tier: usize, slot: u32, time: Stretch, silent: bool) {
        let machine = world.tiers[tier].servers[slot as usize].machine as usize;
        self.changes[machine].extend([(time.from, Change::Die { silent }), (time.to, Change::Start)]);
        self.proxies_down[machine].push(time);
        if silent {
            self.dark[machine].push(time);
        }
        let line = |state, started| Line { slot, state, started };
        self.facts.push((time.from, tier as u8, line(EndpointState::Removed, 0)));
        self.facts.push((time.to, tier as u8, line(EndpointState::Ready, time.to)));
    }

    fn lose_zone(&mut self, world: &World, zone: usize, time: Stretch) -> String {
        for tier in 0..world.tiers.len() {
            for slot in 0..world.tiers[tier].servers.len() as u32 {
                let spec = &world.tiers[tier].servers[slot as usize];
                if spec.zone as usize == zone && spec.first {
                    self.restart(world, tier, slot, time, true);
                }
            }
        }
        for &machine in &world.fronts[zone] {
            self.changes[machine as usize]
                .extend([(time.from, Change::Die { silent: true }), (time.to, Change::Start)]);
            self.proxies_down[machine as usize].push(time);
            self.dark[machine as usize].push(time);
        }
        format!("zone {}: all its servers and proxies", world.scenario.zones[zone])
    }

    fn restart_proxies(&mut self, world: &World, rng: &mut Pcg64Mcg, fault: &Fault, time: Stretch) -> String {
        let fronts = choose(world, rng, fault);
        let count = fronts.len();
        for &machine in &fronts {
            let changes = [(time.from, Change::Die { silent: false }), (time.to, Change::Start)];
            self.changes[machine as usize].extend(changes);
            self.proxies_down[machine as usize].push(time);
        }
        format!("{count} proxies")
    }

    /// Batch after batch is drained and, half a batch's time later, replaced by new servers under new ids.
    fn deploy(
        &mut self,
        world: &mut World,
        rng: &mut Pcg64Mcg,
        fault: &Fault,
        tier: usize,
        time: Stretch,
    ) -> String {
        let slots = choose(world, rng, fault);
        let base = world.scenario.tier[tier].servers as usize;
        let batch = ((base as f64 * fault.strength.unwrap_or(1.0)).round() as usize).max(1);
        let step = (time.to - time.from) / slots.len().div_ceil(batch).max(1) as u64;
        for (number, batch) in slots.chunks(batch).enumerate() {
            let drained = time.from + step * number as u64;
            let replaced = drained + step / 2;
            for &slot in batch {
                self.replace(world, tier, slot, drained, replaced);
            }
        }
        format!("{} servers of {} in batches of {batch}", slots.len(), world.scenario.tier[tier].name)
    }

    fn replace(&mut self, world: &mut World, tier: usize, slot: u32, drained: Nanos, replaced: Nanos) {
        let old = &world.tiers[tier].servers[slot as usize];
        let like = Like { zone: old.zone, kind: old.kind, speed: old.speed, cell: old.cell };
        let machine = old.machine as usize;
        let new = world.add_server(tier, like, false);
        self.fit(world);
        let successor = world.tiers[tier].servers[new as usize].machine as usize;
        self.changes[machine].extend([(drained, Change::Drain), (replaced, Change::Die { silent: false })]);
        self.proxies_down[machine].push(Stretch { from: replaced, to: Nanos::MAX });
        self.changes[successor].push((replaced, Change::Start));
        self.proxies_down[successor].push(Stretch { from: 0, to: replaced });
        let line = |slot, state, started| Line { slot, state, started };
        self.facts.push((drained, tier as u8, line(slot, EndpointState::Draining, 0)));
        self.facts.push((replaced, tier as u8, line(slot, EndpointState::Removed, 0)));
        self.facts.push((replaced, tier as u8, line(new, EndpointState::Ready, replaced)));
    }

    /// Whether two zones can reach each other.
    pub fn joined(&self, a: u16, b: u16, at: Nanos) -> bool {
        a == b || !self.cuts.iter().any(|(time, zone)| (*zone == a || *zone == b) && time.holds(at))
    }

    /// Whether a machine has vanished.
    pub fn is_dark(&self, machine: u32, at: Nanos) -> bool {
        self.dark[machine as usize].iter().any(|time| time.holds(at))
    }

    /// When a machine's proxy last went, if it is not there.
    pub fn proxy_down_since(&self, machine: u32, at: Nanos) -> Option<Nanos> {
        self.proxies_down[machine as usize].iter().find(|time| time.holds(at)).map(|time| time.from)
    }

    /// How likely an attempt at a tier breaks.
    pub fn reset_rate(&self, base: f64, tier: u8, at: Nanos) -> f64 {
        let now = self.resets.iter().filter(|(time, t, _)| *t == tier && time.holds(at));
        now.map(|(_, _, rate)| *rate).fold(base, f64::max)
    }

    /// How many times its usual traffic a tenant sends.
    pub fn flood(&self, tenant: u16, at: Nanos) -> f64 {
        let now = self.floods.iter().filter(|(time, t, _)| *t == tenant && time.holds(at));
        now.map(|(_, _, factor)| *factor).product()
    }

    /// Tries that clients make at once, if they do.
    pub fn storm(&self, at: Nanos) -> Option<u32> {
        self.storms.iter().filter(|(time, _)| time.holds(at)).map(|(_, tries)| *tries).max()
    }

    /// When discovery hears of what happens at a time, with its lag.
    pub fn heard_at(&self, at: Nanos, lag: Nanos) -> Nanos {
        let heard = at.saturating_add(lag);
        self.stale.iter().filter(|time| time.holds(heard)).map(|time| time.to).max().unwrap_or(heard)
    }
}

/// Whom a fault touches: as many as its part asks for, of those it can touch.
fn choose(world: &World, rng: &mut Pcg64Mcg, fault: &Fault) -> Vec<u32> {
    let mut slots: Vec<u32> =
        world.scenario.within_reach(fault).into_iter().map(|slot| slot as u32).collect();
    let count = fault.count(slots.len());
    slots.shuffle(rng);
    slots.truncate(count);
    slots.sort_unstable();
    slots
}

fn servers(world: &World, tier: usize, slots: &[u32]) -> String {
    let name = |slot: &u32| world.tiers[tier].servers[*slot as usize].name.clone();
    let names: Vec<_> = slots.iter().take(8).map(name).collect();
    let more = slots.len().saturating_sub(names.len());
    let more = if more > 0 { format!(" and {more} more") } else { String::new() };
    format!("{}{more}", names.join(", "))
}
