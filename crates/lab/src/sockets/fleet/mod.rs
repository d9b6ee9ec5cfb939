//! A scenario's servers and its discovery service on loopback.
//!
//! Differences from the simulated model: connections between clients and first-tier proxies have no added
//! delay; the loss of a zone and a partition make servers and discovery unreachable from proxies, as in the
//! model, but connections to a proxy that has vanished are still acknowledged by this machine's kernel; and
//! each tier counts only its own wasted work.

mod discovery;
mod node;
mod play;
mod record;
mod serve;

pub use record::Record;

use super::client::Pool;
use super::clock::{Alarm, Clock};
use super::effects::Effects;
use super::lock;
use super::protocol::{Document, ServerEntry, State};
use super::random::{RandomStream, stream};
use super::registry::RegisteredServer;
use super::stream::{BlackholeListener, Loopback};
use crate::model::{ServerSpec, Topology};
use crate::scenario::Kind;
use discovery::Discovery;
use futures_util::future::{BoxFuture, try_join_all};
use node::Node;
use play::FaultPlayer;
use rand::Rng;
use record::Counts;
use rustc_hash::FxHashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::task::JoinSet;

/// Why a fleet did not start.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A socket or a thread could not be created.
    #[error("cannot create the fleet's sockets or its timer thread: {0}")]
    Io(#[from] io::Error),
    /// A sidecar did not start; the text names it and the reason.
    #[error("{0}")]
    Proxy(String),
}

/// A server's position in the topology. A replacement server has its own position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Place {
    /// The index of the tier.
    pub tier: usize,
    /// The index of the server in the tier.
    pub index: usize,
}

impl Place {
    fn spec(self, topology: &Topology) -> &ServerSpec {
        &topology.tiers[self.tier].servers[self.index]
    }

    fn kind(self, topology: &Topology) -> &Kind {
        topology.kind(self.tier as u8, self.index as u32)
    }

    /// Returns the index of the server's machine.
    fn machine(self, topology: &Topology) -> u32 {
        self.spec(topology).machine
    }
}

/// Starts and kills the proxies of a fleet. Proxies are identified by their machine's index in the
/// [`Topology`].
pub trait Proxies: Send + Sync {
    /// Starts a proxy and waits until it is ready. The error is the reason why it is not.
    fn start(&self, machine: u32) -> BoxFuture<'static, Result<SocketAddr, String>>;
    /// Kills a proxy together with its machine. After a silent death, its connections stay open until it
    /// starts again.
    fn kill(&self, machine: u32, silently: bool);
}

/// The state shared by all servers of a fleet.
struct Shared {
    topology: Arc<Topology>,
    clock: Clock,
    alarm: Arc<Alarm>,
    /// The deduplication tables by tier.
    effects: Vec<Mutex<Effects>>,
    counts: Counts,
    sidecars: Mutex<FxHashMap<Place, Arc<Pool>>>,
    /// All servers by tier, including those that later deploys add.
    nodes: Vec<Vec<Arc<Node>>>,
    discovery: Arc<Discovery>,
    tasks: Mutex<JoinSet<()>>,
    rng: Mutex<RandomStream>,
    /// Failures that no fault of the scenario caused.
    unexpected_failures: Mutex<Vec<String>>,
}

impl Shared {
    fn node(&self, place: Place) -> &Arc<Node> {
        &self.nodes[place.tier][place.index]
    }

    fn all_nodes(&self) -> impl Iterator<Item = &Arc<Node>> {
        self.nodes.iter().flatten()
    }

    /// Returns whether a server calls another tier.
    fn calls_on(&self, place: Place) -> bool {
        place.tier + 1 < self.nodes.len()
    }

    fn sidecar(&self, place: Place) -> Option<Arc<Pool>> {
        lock(&self.sidecars).get(&place).cloned()
    }

    /// Records the effect of a request that was executed completely.
    fn record_effect(&self, node: &Node, class: usize, key: Option<&str>) {
        let cell = node.place.spec(&self.topology).cell;
        lock(&self.effects[node.place.tier]).record(self.clock.now(), class, key, node.zone as u64, cell);
    }

    /// Draws whether the connection of a request that was just read is reset.
    fn draws_reset(&self, node: &Node) -> bool {
        let (base, tier) = (self.topology.scenario.network.reset_rate, node.place.tier as u8);
        let since = self.counts.since_begin(self.clock.now());
        let rate = since.map_or(base, |at| self.topology.timeline.reset_rate(base, tier, at));
        rate > 0.0 && node.draw(|rng| rng.random::<f64>()) < rate
    }

    /// Waits for the duration of a number of one-way trips between two zones.
    async fn wait_for_network(&self, from: usize, to: usize, trips: u32) {
        let network = &self.topology.scenario.network;
        let base = if from == to { network.same_zone } else { network.cross_zone }.nanos() as f64;
        let one = |rng: &mut RandomStream| base * (1.0 - network.jitter * (1.0 - rng.random::<f64>()).ln());
        let total: f64 = {
            let mut rng = lock(&self.rng);
            (0..trips).map(|_| one(&mut rng)).sum()
        };
        self.alarm.wait(Duration::from_nanos(total as u64)).await;
    }

    /// Spawns a task that is aborted when the fleet is dropped.
    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let mut tasks = lock(&self.tasks);
        while tasks.try_join_next().is_some() {}
        tasks.spawn(task);
    }

    /// Serves a server's listeners until its current incarnation ends.
    fn open(self: &Arc<Shared>, node: &Arc<Node>, listeners: Vec<TcpListener>) {
        for (zone, listener) in listeners.into_iter().enumerate() {
            let listener = BlackholeListener::new(listener, node.blackholes[zone].clone());
            self.spawn(serve::accept_connections(
                self.clone(),
                node.clone(),
                listener,
                zone,
                node.incarnation(),
            ));
        }
    }
}

/// Returns a server's entry in discovery.
fn entry(topology: &Topology, clock: &Clock, node: &Node, state: State) -> RegisteredServer {
    let spec = node.place.spec(topology);
    let started = node.started();
    let entry = ServerEntry {
        id: spec.name.clone(),
        addr: String::new(),
        zone: topology.scenario.zones[node.zone].clone(),
        kind: node.place.kind(topology).name.clone(),
        cell: spec.cell,
        state,
        weight: spec.weight,
        started_ms: if started == 0 { 0 } else { clock.unix_ms(started) },
    };
    RegisteredServer { entry, addresses: node.addresses.clone() }
}

type Time = (Clock, Arc<Alarm>);

/// Running servers and their discovery service. Dropping the fleet stops them.
pub struct Fleet {
    shared: Arc<Shared>,
    /// The addresses of discovery by tier and zone.
    discovery: Vec<Vec<SocketAddr>>,
    proxies: Option<Arc<dyn Proxies>>,
}

impl Fleet {
    /// Starts a scenario's servers and its discovery service. No fault is applied before [`Fleet::begin`].
    /// Servers that call another tier need [`Fleet::attach`] first.
    ///
    /// # Errors
    /// A socket or the timer thread cannot be created.
    pub fn start(topology: Arc<Topology>, net: &Loopback) -> Result<Fleet, FleetError> {
        let time: Time = (Clock::start(), Arc::new(Alarm::start()?));
        let zones = topology.scenario.zones.len();
        let (mut nodes, mut lists, mut open) = (Vec::new(), Vec::new(), Vec::new());
        for (tier, spec) in topology.tiers.iter().enumerate() {
            let (mut of_tier, mut list) = (Vec::new(), Vec::new());
            for (index, spec) in spec.servers.iter().enumerate() {
                let listeners = (0..zones).map(|_| net.listen()).collect::<io::Result<Vec<_>>>()?;
                let addresses = listeners.iter().map(TcpListener::local_addr).collect::<io::Result<_>>()?;
                let node = Node::new(&topology, Place { tier, index }, addresses, time.clone());
                if spec.present_at_start {
                    list.push(entry(&topology, &time.0, &node, State::Ready));
                    open.push((node.clone(), listeners));
                }
                of_tier.push(node);
            }
            nodes.push(of_tier);
            lists.push(list);
        }
        let shared = Arc::new(Shared {
            clock: time.0,
            alarm: time.1.clone(),
            effects: topology
                .tiers
                .iter()
                .map(|_| Mutex::new(Effects::new(&topology.scenario.class)))
                .collect(),
            counts: Counts::new(&topology.scenario),
            sidecars: Mutex::default(),
            nodes,
            discovery: Discovery::new(time, lists, &topology.scenario),
            tasks: Mutex::default(),
            rng: Mutex::new(stream(topology.seed, "network", 0)),
            unexpected_failures: Mutex::default(),
            topology,
        });
        open.into_iter().for_each(|(node, listeners)| shared.open(&node, listeners));
        let discovery = open_discovery(&shared, net)?;
        Ok(Fleet { shared, discovery, proxies: None })
    }

    /// Starts the sidecars of all servers that call another tier.
    ///
    /// # Errors
    /// A sidecar did not start.
    pub async fn attach(&mut self, proxies: Arc<dyn Proxies>) -> Result<(), FleetError> {
        let running = self.shared.all_nodes().filter(|node| node.alive());
        let starts = running.map(|node| play::start_sidecar(&self.shared, Some(&*proxies), node));
        try_join_all(starts).await.map_err(FleetError::Proxy)?;
        self.proxies = Some(proxies);
        Ok(())
    }

    /// Begins the run at a time: from then on, faults are applied and attempts are counted.
    pub fn begin(&self, at: Instant) {
        let now = self.shared.clock.now();
        let begin = now + at.saturating_duration_since(Instant::now()).as_nanos() as u64;
        self.shared.counts.begin(begin);
        let player = FaultPlayer::new(self.shared.clone(), self.proxies.clone());
        self.shared.spawn(player.play(begin));
    }

    /// Returns the address at which proxies in a zone reach discovery for a tier.
    pub fn discovery(&self, tier: usize, zone: usize) -> SocketAddr {
        self.discovery[tier][zone]
    }

    /// Returns the servers of a tier as discovery lists them for a zone.
    pub fn list(&self, tier: usize, zone: usize) -> Document {
        self.shared.discovery.list(tier, zone)
    }

    /// Returns names and addresses of a tier's servers for a zone, including those that later deploys add.
    pub fn servers(&self, tier: usize, zone: usize) -> Vec<(String, SocketAddr)> {
        self.shared.nodes[tier].iter().map(|node| (node.name.clone(), node.addresses[zone])).collect()
    }

    /// Returns the names of the servers that ran before and do not run now.
    pub fn down(&self) -> Vec<String> {
        let gone = |node: &&Arc<Node>| !node.alive() && node.tally().0.uptime > 0;
        self.shared.all_nodes().filter(gone).map(|node| node.name.clone()).collect()
    }

    /// Failures that no fault of the scenario caused.
    pub fn unexpected_failures(&self) -> Vec<String> {
        lock(&self.shared.unexpected_failures).clone()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.shared.all_nodes().for_each(|node| node.reset_connections());
        lock(&self.shared.tasks).abort_all();
    }
}

/// Opens a discovery listener for each tier and zone, and returns the addresses.
fn open_discovery(shared: &Arc<Shared>, net: &Loopback) -> io::Result<Vec<Vec<SocketAddr>>> {
    let mut addresses = Vec::new();
    for tier in 0..shared.nodes.len() {
        let mut of_tier = Vec::new();
        for blackhole in &shared.discovery.blackholes {
            let listener = net.listen()?;
            let zone = of_tier.len();
            of_tier.push(listener.local_addr()?);
            let listener = BlackholeListener::new(listener, blackhole.clone());
            shared.spawn(shared.discovery.clone().accept_connections(listener, tier, zone));
        }
        addresses.push(of_tier);
    }
    Ok(addresses)
}
