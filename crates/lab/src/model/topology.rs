//! The topology of a run: the scenario and everything that is drawn from the seed before the run, such as the
//! speed of servers and the timeline of faults. It does not change during a run, and all threads share it.

use super::faults::Timeline;
use super::message::ListEntry;
use super::sample::Sampler;
use crate::policy::{self, PolicyFactory, UnknownPolicy};
use crate::scenario::{self, DiscoveryMode, Scenario, Weights};
use olivecart_decisions as decisions;
use olivecart_decisions::{CellId, MachineKindId, Nanos, ZoneId};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::rc::Rc;

/// The tenant of a request that has none.
pub const NO_TENANT: u16 = u16::MAX;

/// Worth is counted in integer millionths, so that sums do not depend on their order.
pub const WORTH_SCALE: f64 = 1e6;

/// A class of requests.
pub struct Class {
    /// The settings of the class for the decision module.
    pub settings: decisions::Class,
    /// The worth of a response within the latency objective, in millionths.
    pub worth: u64,
    /// The worth of a late response, in millionths.
    pub late_worth: u64,
    /// Draws the work of a request in all tiers.
    pub work: Sampler,
}

/// The properties of one server.
pub struct ServerSpec {
    /// The name, the same at all proxies.
    pub name: String,
    /// The zone, an index into the scenario's zones.
    pub zone: u16,
    /// The cell, numbered within its tier.
    pub cell: u64,
    /// The kind, an index into its tier's kinds.
    pub kind: u16,
    /// The speed of its cores.
    pub speed: f64,
    /// The weight in the endpoint list.
    pub weight: f64,
    /// The number of its machine.
    pub machine: u32,
    /// Whether it runs from the start; if not, it replaces another server during a deploy.
    pub present_at_start: bool,
}

/// A tier.
pub struct Tier {
    /// All servers of the run; those present at the start come first.
    pub servers: Vec<ServerSpec>,
    /// The machines whose proxies call the tier.
    pub callers: Vec<u32>,
}

/// A machine: a server with the proxy for its calls to the next tier, or a proxy of the first tier.
pub struct MachineSpec {
    /// The zone of the machine.
    pub zone: u16,
    /// The server, if there is one: tier and index in the tier.
    pub server: Option<(u8, u32)>,
    /// The proxy, if there is one: the tier that it calls, and its number among the callers of that tier.
    pub proxy: Option<(u8, u32)>,
}

/// The policy of all proxies of a run.
#[derive(Clone, Copy)]
pub struct PolicyChoice<'a> {
    /// The name.
    pub name: &'a str,
    /// Constructs the policy.
    pub factory: PolicyFactory,
    /// Whether the time spent in the policy is measured.
    pub timed: bool,
}

impl<'a> PolicyChoice<'a> {
    /// Returns the policy with this name, without time measurement.
    ///
    /// # Errors
    /// No policy has that name.
    pub fn named(name: &'a str) -> Result<PolicyChoice<'a>, UnknownPolicy> {
        Ok(PolicyChoice { name, factory: policy::named(name)?, timed: false })
    }
}

/// Everything about a run that is fixed before it starts.
pub struct Topology {
    /// The scenario.
    pub scenario: Scenario,
    /// The seed.
    pub seed: u64,
    /// Classes in the scenario's order.
    pub classes: Vec<Class>,
    /// The requests per second of all clients together.
    pub rate: f64,
    /// The capacity of the fleet in requests per second.
    pub capacity: f64,
    /// Tiers in the scenario's order.
    pub tiers: Vec<Tier>,
    /// The machines; their nodes come after those of the clients.
    pub machines: Vec<MachineSpec>,
    /// The number of client nodes.
    pub clients: u32,
    /// The machines of the first-tier proxies, by zone.
    pub fronts: Vec<Vec<u32>>,
    /// The timeline of faults.
    pub timeline: Timeline,
    /// Constructs the policy of a proxy.
    pub policy_factory: PolicyFactory,
    /// Whether the policy may see the true state of the servers.
    pub policy_sees_true_state: bool,
    /// Whether the time spent in the policy is measured.
    pub timed: bool,
}

impl Topology {
    /// Creates the topology of a checked scenario. The seed determines everything that is random.
    pub fn new(scenario: Scenario, seed: u64, policy: PolicyChoice) -> Topology {
        let mut rng = Pcg64Mcg::seed_from_u64(mix(seed, 0xA11_0CA7E));
        let mut topology = Topology {
            seed,
            classes: scenario.class.iter().map(class).collect(),
            rate: scenario.rate(),
            capacity: scenario.capacity(),
            tiers: Vec::new(),
            machines: Vec::new(),
            clients: 0,
            fronts: vec![Vec::new(); scenario.zones.len()],
            timeline: Timeline::default(),
            policy_factory: policy.factory,
            policy_sees_true_state: policy.name == "oracle",
            timed: policy.timed,
            scenario,
        };
        topology.place_fronts();
        for tier in 0..topology.scenario.tier.len() {
            topology.place_tier(tier, &mut rng);
        }
        topology.timeline = Timeline::draw(&mut topology, &mut rng);
        topology
    }

    fn place_fronts(&mut self) {
        let zones = self.scenario.zones.len() as u32;
        let count = self.scenario.tier[0].proxies;
        self.clients = count;
        for number in 0..count {
            let zone = (number % zones) as u16;
            self.fronts[zone as usize].push(number);
            self.machines.push(MachineSpec { zone, server: None, proxy: Some((0, number)) });
        }
        let tiers = self.scenario.tier.len();
        self.tiers = (0..tiers).map(|_| Tier { servers: Vec::new(), callers: Vec::new() }).collect();
        self.tiers[0].callers = (0..count).collect();
    }

    fn place_tier(&mut self, tier: usize, rng: &mut Pcg64Mcg) {
        for seat in self.scenario.layout(tier) {
            let [least, most] = self.scenario.tier[tier].kind[seat.kind].speed;
            let speed = least + (most - least) * rng.random::<f64>();
            let template = ServerTemplate {
                zone: seat.zone as u16,
                kind: seat.kind as u16,
                speed,
                cell: seat.cell as u64,
                present_at_start: true,
            };
            self.add_server(tier, template);
        }
    }

    /// Adds a server and its machine, with a proxy for its calls if there is a next tier.
    pub(super) fn add_server(&mut self, tier: usize, template: ServerTemplate) -> u32 {
        let machine = self.machines.len() as u32;
        let slot = self.tiers[tier].servers.len() as u32;
        let weight = self.weight(tier, &template);
        let ServerTemplate { zone, kind, speed, cell, present_at_start } = template;
        let name = format!("{}-{slot}", self.scenario.tier[tier].name);
        let spec = ServerSpec { name, zone, cell, kind, speed, weight, machine, present_at_start };
        self.tiers[tier].servers.push(spec);
        let next_tier = tier + 1;
        let proxy = self.tiers.get_mut(next_tier).map(|next| {
            next.callers.push(machine);
            (next_tier as u8, next.callers.len() as u32 - 1)
        });
        self.machines.push(MachineSpec { zone, server: Some((tier as u8, slot)), proxy });
        slot
    }

    fn weight(&self, tier: usize, template: &ServerTemplate) -> f64 {
        let spec = &self.scenario.tier[tier];
        let kind = &spec.kind[template.kind as usize];
        match spec.weights {
            Weights::None => 1.0,
            Weights::Nominal => f64::from(kind.cores) * (kind.speed[0] + kind.speed[1]) / 2.0,
            Weights::True => f64::from(kind.cores) * template.speed,
        }
    }

    /// The settings of a proxy for the decision module.
    pub fn settings(&self, tier: u8, number: u32, zone: u16) -> decisions::Settings {
        let (limits, rules) = (&self.scenario.limits, &self.scenario.rules);
        let quota = |t: &scenario::Tenant| t.share * self.capacity;
        let tenant = |t| decisions::Tenant { quota_per_s: quota(t), share: t.share };
        decisions::Settings {
            replica_index: number,
            replica_count: self.tiers[tier as usize].callers.len() as u32,
            tier: u32::from(tier),
            zone: ZoneId(zone),
            clock_granularity: 1_000_000,
            classes: self.classes.iter().map(|c| c.settings.clone()).collect(),
            tenants: self.scenario.tenant.iter().map(tenant).collect(),
            over_quota_weight_ratio: self.scenario.over_share_worth,
            weight_by_work: false,
            propagates_deadline: limits.passes_deadline,
            discovery: match self.scenario.discovery.mode {
                DiscoveryMode::Push => decisions::Discovery::Automatic,
                DiscoveryMode::Watch => decisions::Discovery::Subscribe,
            },
            limits: decisions::Limits {
                max_attempts: limits.max_attempts,
                hedging_enabled: false,
                cancellation_enabled: limits.cancel,
                health_checks_enabled: limits.probes,
                max_retry_after: limits.max_retry_after.nanos(),
                connect_timeout: limits.connect_timeout.nanos(),
            },
            rules: decisions::Rules {
                slow_start_initial_share: rules.cold_share,
                slow_start_window: rules.cold_time.nanos(),
                overload_multiple: rules.fall_multiple,
                overload_window: rules.fall_window.nanos(),
                drain_grace: rules.drain_grace.nanos(),
                poll_interval: rules.must_ask_in.nanos(),
            },
            cost_weights: decisions::CostWeights::default(),
        }
    }

    /// Converts an entry of the endpoint list to the form of the decision module.
    pub fn entry(&self, tier: u8, entry: ListEntry, name: Rc<str>) -> decisions::EndpointEntry {
        let spec = &self.tiers[tier as usize].servers[entry.slot as usize];
        decisions::EndpointEntry {
            id: decisions::EndpointId(entry.slot),
            name,
            state: entry.state,
            zone: ZoneId(spec.zone),
            machine_kind: MachineKindId(spec.kind),
            cell: CellId(spec.cell),
            relative_capacity: spec.weight,
            started: (entry.started > 0).then_some(entry.started),
        }
    }

    /// The machine kind of a server.
    pub fn kind(&self, tier: u8, slot: u32) -> &scenario::Kind {
        let kind = self.tiers[tier as usize].servers[slot as usize].kind;
        &self.scenario.tier[tier as usize].kind[kind as usize]
    }

    /// The node of a machine.
    pub fn machine_node(&self, machine: u32) -> u32 {
        self.clients + machine
    }

    /// The node of a server.
    pub fn server_node(&self, tier: u8, slot: u32) -> u32 {
        self.machine_node(self.tiers[tier as usize].servers[slot as usize].machine)
    }

    /// The node of discovery.
    pub fn discovery_node(&self) -> u32 {
        self.clients + self.machines.len() as u32
    }

    /// The zone of a node; discovery runs in the first zone.
    pub fn zone_of(&self, node: u32) -> u16 {
        if node < self.clients {
            return (node as usize % self.scenario.zones.len()) as u16;
        }
        self.machines.get((node - self.clients) as usize).map_or(0, |m| m.zone)
    }

    /// The display name of a proxy.
    pub fn proxy_name(&self, machine: u32) -> String {
        match self.machines[machine as usize].server {
            Some((tier, slot)) => {
                format!("{}'s proxy", self.tiers[tier as usize].servers[slot as usize].name)
            }
            None => format!("proxy-{machine}"),
        }
    }

    /// The time by which every client has certainly had its final response.
    pub fn ends(&self) -> Nanos {
        let longest = self.scenario.class.iter().map(|c| c.deadline.nanos()).max().unwrap_or(0);
        self.scenario.length.nanos() + longest + 1_000_000_000
    }
}

/// The properties of a server to be added.
#[derive(Clone, Copy)]
pub(super) struct ServerTemplate {
    pub zone: u16,
    pub kind: u16,
    pub speed: f64,
    pub cell: u64,
    /// Whether it runs from the start.
    pub present_at_start: bool,
}

fn class(class: &scenario::Class) -> Class {
    let group = match class.group {
        scenario::Group::All => decisions::DeduplicationScope::All,
        scenario::Group::Zone => decisions::DeduplicationScope::Zone,
        scenario::Group::Cell => decisions::DeduplicationScope::Cell,
    };
    let effect = match class.effect {
        scenario::Effect::Repeatable => decisions::Idempotency::Idempotent,
        scenario::Effect::ByKey => {
            decisions::Idempotency::Keyed { scope: group, window: class.window.unwrap_or_default().nanos() }
        }
        scenario::Effect::Once => decisions::Idempotency::NonIdempotent,
    };
    Class {
        settings: decisions::Class {
            latency_objective: class.aim.nanos(),
            client_deadline: class.deadline.nanos(),
            idempotency: effect,
            priority_weight: class.worth,
            late_weight_ratio: class.late_worth,
            streaming: false,
        },
        worth: (class.worth * WORTH_SCALE).round() as u64,
        late_worth: (class.worth * class.late_worth * WORTH_SCALE).round() as u64,
        work: Sampler::new(&class.work),
    }
}

/// Hashes two numbers into one (SplitMix64's finalizer, Steele et al. 2014).
pub fn mix(a: u64, b: u64) -> u64 {
    let mut z = a ^ b.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}
