//! The model of a fleet: clients, proxies, servers, discovery and the network between them, with the real
//! decisions in the proxies. Played by the engine in virtual time.

mod clients;
mod ctx;
mod discovery;
mod faults;
mod machine;
mod message;
mod monitor;
mod net;
mod pressure;
mod proxy;
mod sample;
mod server;
mod tally;
mod world;

pub use message::{Change, Verdict};
pub use world::{MachineSpec, NOBODY, ServerSpec, World, mix};

use crate::engine::{Model, Outbox};
use crate::run::result::{Breach, Held, Server as ServerResult};
use clients::Clients;
use ctx::{Ctx, Local};
use discovery::Discovery;
use machine::Machine;
use message::{Message, ServerStateBroadcast};
use monitor::Rule;
use olivecart_decisions::Nanos;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
pub use tally::{End, Tally};
use xxhash_rust::xxh3::xxh3_64;

/// Servers whose figures are kept one by one; of more, the first.
const SERVERS_TOLD: usize = 20_000;
/// Times held back that are kept.
const HELD_TOLD: usize = 5_000;

enum Role {
    Clients(Clients),
    Machine(Box<Machine>),
    Discovery(Discovery),
}

/// One node of the model.
pub struct Node {
    role: Role,
    rng: Pcg64Mcg,
    /// Of all events that it has seen.
    digest: u64,
}

/// What is left of one thread's part of a run.
pub struct Rest {
    /// By node: the digest of its events.
    pub digests: Vec<(u32, u64)>,
    /// By tier and place: servers.
    pub servers: Vec<((u8, u32), ServerResult)>,
    /// Work done by servers, in nanoseconds at speed 1.
    pub work: u64,
    /// Connections times time, in microseconds, and server time, in nanoseconds.
    pub connection_us: u64,
    /// The latter.
    pub up: u64,
    /// New connections.
    pub handshakes: u64,
    /// Counts.
    pub tally: Tally,
    /// Rules that were broken.
    pub breaches: Vec<(Rule, Breach)>,
    /// Who was held back when.
    pub held: Vec<(u32, Held)>,
    /// Time spent in policies, in seconds.
    pub policy_s: f64,
}

impl Model for World {
    type Node = Node;
    type Message = Message;
    type Broadcast = ServerStateBroadcast;
    type ThreadState = Local;
    type ThreadOutput = Rest;

    fn node_count(&self) -> u32 {
        self.discovery_node() + 1
    }

    fn lookahead(&self) -> Nanos {
        net::least(&self.scenario.network)
    }

    fn end_time(&self) -> Nanos {
        self.ends()
    }

    fn thread_state(&self) -> Local {
        Local::new(self)
    }

    fn create_node(&self, id: u32, local: &mut Local, out: &mut Outbox<World>) -> Node {
        let mut rng = Pcg64Mcg::seed_from_u64(world::mix(self.seed, u64::from(id) + 1));
        let mut ctx = Ctx { world: self, now: 0, rng: &mut rng, out, local };
        let role = if id < self.clients {
            Role::Clients(Clients::new(id, &mut ctx))
        } else if id < self.discovery_node() {
            Role::Machine(Box::new(Machine::new(id - self.clients, &mut ctx)))
        } else {
            Role::Discovery(Discovery::new(id, &mut ctx))
        };
        Node { role, rng, digest: u64::from(id) }
    }

    fn handle(
        &self,
        node: &mut Node,
        now: Nanos,
        message: Message,
        local: &mut Local,
        out: &mut Outbox<World>,
    ) {
        local.clock.set(now);
        node.digest = world::mix(node.digest ^ now, message.fingerprint());
        let mut ctx = Ctx { world: self, now, rng: &mut node.rng, out, local };
        match &mut node.role {
            Role::Clients(clients) => clients.handle(&mut ctx, message),
            Role::Machine(machine) => machine.handle(&mut ctx, message),
            Role::Discovery(discovery) => discovery.handle(&mut ctx, message),
        }
        let conserves = match &node.role {
            Role::Clients(clients) => clients.conserves(),
            Role::Machine(machine) => machine.conserves(),
            Role::Discovery(_) => true,
        };
        if !conserves {
            local.tally.violation("a request got lost or was counted twice in the model");
        }
    }

    fn receive_broadcast(&self, broadcast: ServerStateBroadcast, local: &mut Local) {
        let mut true_states = local.true_states.borrow_mut();
        let true_state =
            true_states.get_mut(broadcast.tier as usize).and_then(|t| t.get_mut(broadcast.slot as usize));
        true_state.into_iter().for_each(|true_state| *true_state = broadcast.true_state);
    }

    fn open_requests(&self, local: &Local) -> u64 {
        local.open
    }

    fn max_open_requests(&self) -> u64 {
        self.scenario.model.most_open
    }

    fn max_pending_events(&self) -> u64 {
        self.scenario.model.most_events
    }

    fn finish(&self, nodes: Vec<(u32, Node)>, local: Local) -> Rest {
        let mut rest = Rest {
            digests: Vec::with_capacity(nodes.len()),
            servers: Vec::new(),
            work: 0,
            connection_us: 0,
            up: 0,
            handshakes: 0,
            tally: local.tally,
            breaches: Vec::new(),
            held: Vec::new(),
            policy_s: local.policy.seconds(),
        };
        for (id, node) in nodes {
            rest.digests.push((id, node.digest));
            match node.role {
                Role::Machine(machine) => rest.take_machine(self, id, *machine),
                Role::Clients(clients) if clients.open() > 0 => {
                    rest.tally.violation("a client's request was still open at the end");
                }
                Role::Clients(_) | Role::Discovery(_) => {}
            }
        }
        rest
    }
}

impl Rest {
    fn take_machine(&mut self, world: &World, id: u32, machine: Machine) {
        if let Some(mut proxy) = machine.proxy {
            if !proxy.conserves() {
                self.tally.violation("a proxy's requests do not add up");
            }
            let held = proxy.take_held();
            let room = HELD_TOLD.saturating_sub(self.held.len());
            self.held.extend(held.into_iter().take(room).map(|held| (id, held)));
            self.breaches.extend(proxy.monitor.into_breaches());
        }
        let place = world.machines[machine.number as usize].server;
        if let (Some(mut server), Some((tier, slot))) = (machine.server, place) {
            server.close_accounts(world, world.ends());
            let counts = server.counts;
            self.work += counts.work;
            self.connection_us += counts.connection_us;
            self.up += counts.up;
            self.handshakes += counts.handshakes;
            if self.servers.len() >= SERVERS_TOLD {
                return;
            }
            let (spec, kind) = (&world.tiers[tier as usize].servers[slot as usize], world.kind(tier, slot));
            let able = counts.up as f64 * f64::from(kind.cores);
            let result = ServerResult {
                name: spec.name.clone(),
                tier: world.scenario.tier[tier as usize].name.clone(),
                zone: world.scenario.zones[spec.zone as usize].clone(),
                kind: kind.name.clone(),
                capacity: f64::from(kind.cores) * spec.speed,
                attempts: counts.attempts,
                turned_away: counts.turned_away,
                work_s: counts.work as f64 / 1e9,
                utilization: if able > 0.0 { (counts.busy as f64 / able).min(1.0) } else { 0.0 },
                peak_requests: counts.peak_requests,
                probes: counts.probes,
                peak_connections: counts.peak_connections,
                deaths: counts.deaths,
                fell_over: counts.fell_over,
            };
            self.servers.push(((tier, slot), result));
        }
    }
}

impl Message {
    /// A number that tells what happened, for the digest.
    fn fingerprint(&self) -> u64 {
        let logical = |l: &message::Logical| {
            u64::from(l.node) << 40 ^ u64::from(l.slot) << 20 ^ u64::from(l.generation)
        };
        let (kind, what) = match self {
            Message::Arrive => (1, 0),
            Message::Patience(l, n) => (2, logical(l) ^ u64::from(*n) << 60),
            Message::Leaves(l, n) => (3, logical(l) ^ u64::from(*n) << 60),
            Message::Again(l) => (4, logical(l)),
            Message::Expired(r) => (5, *r),
            Message::Overdue(r) => (6, *r),
            Message::Timer(timer, life) => (7, timer_number(*timer) ^ u64::from(*life) << 56),
            Message::Capped { request, number, outcome } => {
                (8, request ^ u64::from(*number) << 50 ^ (*outcome as u64) << 58)
            }
            Message::ProbeLost(p) => (9, *p),
            Message::Sweep(life) => (10, u64::from(*life)),
            Message::Look => (11, 0),
            Message::Worked { job, run } => (12, u64::from(*job) << 32 | u64::from(*run)),
            Message::Pause => (13, 0),
            Message::Change(_) => (14, 0),
            Message::Heard(lines) => (15, lines.len() as u64),
            Message::Turn(proxy, watch) => (16, u64::from(*proxy) << 1 | u64::from(*watch)),
            Message::Outage => (17, 0),
            Message::Request(call) => (18, logical(&call.logical) ^ call.work),
            Message::Reply(l, n, verdict) => {
                (19, logical(l) ^ u64::from(*n) << 60 ^ verdict_number(*verdict))
            }
            Message::Gone(l, n) => (20, logical(l) ^ u64::from(*n) << 60),
            Message::Attempt(a) => {
                (21, a.id.request << 24 ^ u64::from(a.id.proxy) << 4 ^ u64::from(a.id.number))
            }
            Message::Drop(id) => (22, id.request << 24 ^ u64::from(id.proxy) << 4 ^ u64::from(id.number)),
            Message::Closed(c) => (23, u64::from(c.life) << 32 | u64::from(c.count)),
            Message::Answer(a) => {
                (24, a.request << 16 ^ u64::from(a.number) << 8 ^ a.outcome as u64 ^ a.work << 20)
            }
            Message::Probe(proxy, probe) => (25, u64::from(*proxy) << 40 ^ probe),
            Message::Probed(probe, outcome, _) => (26, probe << 4 ^ *outcome as u64),
            Message::Ask(proxy, watch) => (27, u64::from(*proxy) << 1 | u64::from(*watch)),
            Message::News(news) => (28, news_number(news)),
            Message::Executed(l, group) => (29, logical(l) ^ group),
        };
        what.rotate_left(7) ^ kind
    }
}

fn timer_number(timer: olivecart_decisions::Timer) -> u64 {
    use olivecart_decisions::Timer;
    match timer {
        Timer::HealthCheck(e) => u64::from(e.0) << 2,
        Timer::Request(r) => r.0 << 2 | 1,
        Timer::Discovery => 2,
    }
}

fn verdict_number(verdict: message::Verdict) -> u64 {
    match verdict {
        message::Verdict::Served(work) => work << 2,
        message::Verdict::Refused(back) => back << 2 | 1,
        message::Verdict::Failed => 2,
        message::Verdict::Unreachable => 3,
    }
}

fn news_number(news: &message::News) -> u64 {
    match news {
        message::News::Full(lines) => lines.len() as u64,
        message::News::Delta(lines) => {
            lines.iter().fold(1, |sum, l| world::mix(sum, u64::from(l.slot) ^ l.started))
        }
        message::News::Failed => u64::MAX,
    }
}

/// The hash of all nodes' events, in the nodes' order.
pub fn digest(mut digests: Vec<(u32, u64)>) -> String {
    digests.sort_unstable();
    let bytes: Vec<u8> = digests.iter().flat_map(|(_, digest)| digest.to_le_bytes()).collect();
    format!("{:016x}", xxh3_64(&bytes))
}

pub use monitor::first_of_each;
