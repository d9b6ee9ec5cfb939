//! A scenario's servers and its discovery on loopback.
//!
//! Where it differs from the topology: connections between clients and first-tier proxies have no delay of their
//! own; a zone's loss and a partition hold between proxies and servers and between proxies and discovery,
//! whose sockets stay silent as in the topology, but connections to a proxy that has vanished are still
//! acknowledged by this machine; and work done in vain is known to each tier only for itself.

mod discovery;
mod node;
mod play;
mod record;
mod serve;

pub use record::Record;

use super::chance::{Chance, stream};
use super::client::Pool;
use super::clock::{Alarm, Clock};
use super::effects::Effects;
use super::held;
use super::protocol::{Document, Line, State};
use super::registry::Entry;
use super::stream::{Door, Loopback};
use crate::model::{ServerSpec, Topology};
use crate::scenario::Kind;
use discovery::Discovery;
use futures_util::future::{BoxFuture, try_join_all};
use node::Node;
use play::Player;
use rand::Rng;
use record::Counts;
use rustc_hash::FxHashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::task::JoinSet;

/// Why a fleet does not start.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// No socket, or no thread.
    #[error("the fleet cannot be set up: {0}")]
    Io(#[from] io::Error),
    /// A proxy beside a server did not come up: which, and why.
    #[error("{0}")]
    Proxy(String),
}

/// A server's place; one that replaces another has a place of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Place {
    /// Its tier.
    pub tier: usize,
    /// Which of the tier's.
    pub index: usize,
}

impl Place {
    fn spec(self, topology: &Topology) -> &ServerSpec {
        &topology.tiers[self.tier].servers[self.index]
    }

    fn kind(self, topology: &Topology) -> &Kind {
        topology.kind(self.tier as u8, self.index as u32)
    }

    /// The number of its machine.
    fn machine(self, topology: &Topology) -> u32 {
        self.spec(topology).machine
    }
}

/// The proxies that live and die with a fleet, by the number of their machine in its [`Topology`].
pub trait Proxies: Send + Sync {
    /// Starts one, and waits until it is ready. An error says why it is not.
    fn start(&self, machine: u32) -> BoxFuture<'static, Result<SocketAddr, String>>;
    /// One dies with its machine. Silently: nobody is told, and its connections stay open until it starts
    /// again.
    fn dies(&self, machine: u32, silently: bool);
}

/// What all servers share.
struct Shared {
    topology: Arc<Topology>,
    clock: Clock,
    alarm: Arc<Alarm>,
    /// By tier.
    effects: Vec<Mutex<Effects>>,
    counts: Counts,
    sidecars: Mutex<FxHashMap<Place, Arc<Pool>>>,
    /// All servers that there will be, by tier.
    nodes: Vec<Vec<Arc<Node>>>,
    discovery: Arc<Discovery>,
    tasks: Mutex<JoinSet<()>>,
    chance: Mutex<Chance>,
    /// What went wrong that no fault meant to.
    troubles: Mutex<Vec<String>>,
}

impl Shared {
    fn node(&self, place: Place) -> &Arc<Node> {
        &self.nodes[place.tier][place.index]
    }

    fn all_nodes(&self) -> impl Iterator<Item = &Arc<Node>> {
        self.nodes.iter().flatten()
    }

    /// Whether a server calls another tier.
    fn calls_on(&self, place: Place) -> bool {
        place.tier + 1 < self.nodes.len()
    }

    fn sidecar(&self, place: Place) -> Option<Arc<Pool>> {
        held(&self.sidecars).get(&place).cloned()
    }

    /// A request has run to its end.
    fn took_place(&self, node: &Node, class: usize, key: Option<&str>) {
        let cell = node.place.spec(&self.topology).cell;
        held(&self.effects[node.place.tier]).ran(self.clock.now(), class, key, node.zone as u64, cell);
    }

    /// Whether the connection of a request that was just read breaks.
    fn resets(&self, node: &Node) -> bool {
        let (base, tier) = (self.topology.scenario.network.reset_rate, node.place.tier as u8);
        let since = self.counts.since_begin(self.clock.now());
        let rate = since.map_or(base, |at| self.topology.timeline.reset_rate(base, tier, at));
        rate > 0.0 && node.draw(|chance| chance.random::<f64>()) < rate
    }

    /// Waits for as long as so many one-way trips between two zones take.
    async fn travels(&self, from: usize, to: usize, trips: u32) {
        let network = &self.topology.scenario.network;
        let base = if from == to { network.same_zone } else { network.cross_zone }.nanos() as f64;
        let one = |chance: &mut Chance| base * (1.0 - network.jitter * (1.0 - chance.random::<f64>()).ln());
        let whole: f64 = {
            let mut chance = held(&self.chance);
            (0..trips).map(|_| one(&mut chance)).sum()
        };
        self.alarm.wait(Duration::from_nanos(whole as u64)).await;
    }

    /// Runs a task for as long as the fleet lives.
    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let mut tasks = held(&self.tasks);
        while tasks.try_join_next().is_some() {}
        tasks.spawn(task);
    }

    /// Serves a server's doors through its present life.
    fn open(self: &Arc<Shared>, node: &Arc<Node>, listeners: Vec<TcpListener>) {
        for (zone, listener) in listeners.into_iter().enumerate() {
            let door = Door::new(listener, node.silences[zone].clone());
            self.spawn(serve::take(self.clone(), node.clone(), door, zone, node.life()));
        }
    }
}

/// How discovery lists a server.
fn entry(topology: &Topology, clock: &Clock, node: &Node, state: State) -> Entry {
    let spec = node.place.spec(topology);
    let started = node.started();
    let line = Line {
        id: spec.name.clone(),
        addr: String::new(),
        zone: topology.scenario.zones[node.zone].clone(),
        kind: node.place.kind(topology).name.clone(),
        cell: spec.cell,
        state,
        weight: spec.weight,
        started_ms: if started == 0 { 0 } else { clock.unix_ms(started) },
    };
    Entry { line, doors: node.doors.clone() }
}

type Time = (Clock, Arc<Alarm>);

/// Servers and discovery that run. Dropped, they are gone.
pub struct Fleet {
    shared: Arc<Shared>,
    /// Where discovery is, by tier and zone.
    discovery: Vec<Vec<SocketAddr>>,
    proxies: Option<Arc<dyn Proxies>>,
}

impl Fleet {
    /// Starts a scenario's servers and its discovery. All is well until [`Fleet::begin`]; servers that call
    /// another tier need [`Fleet::attach`] first.
    ///
    /// # Errors
    /// There are no sockets for it.
    pub fn start(topology: Arc<Topology>, net: &Loopback) -> Result<Fleet, FleetError> {
        let time: Time = (Clock::start(), Arc::new(Alarm::start()?));
        let zones = topology.scenario.zones.len();
        let (mut nodes, mut lists, mut open) = (Vec::new(), Vec::new(), Vec::new());
        for (tier, spec) in topology.tiers.iter().enumerate() {
            let (mut of_tier, mut list) = (Vec::new(), Vec::new());
            for (index, spec) in spec.servers.iter().enumerate() {
                let listeners = (0..zones).map(|_| net.listen()).collect::<io::Result<Vec<_>>>()?;
                let doors = listeners.iter().map(TcpListener::local_addr).collect::<io::Result<_>>()?;
                let node = Node::new(&topology, Place { tier, index }, doors, time.clone());
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
            chance: Mutex::new(stream(topology.seed, "network", 0)),
            troubles: Mutex::default(),
            topology,
        });
        open.into_iter().for_each(|(node, listeners)| shared.open(&node, listeners));
        let discovery = open_discovery(&shared, net)?;
        Ok(Fleet { shared, discovery, proxies: None })
    }

    /// Starts the proxies beside all servers that call another tier.
    ///
    /// # Errors
    /// One of them does not come up.
    pub async fn attach(&mut self, proxies: Arc<dyn Proxies>) -> Result<(), FleetError> {
        let there = self.shared.all_nodes().filter(|node| node.alive());
        let each = there.map(|node| play::beside(&self.shared, Some(&*proxies), node));
        try_join_all(each).await.map_err(FleetError::Proxy)?;
        self.proxies = Some(proxies);
        Ok(())
    }

    /// The run begins at this time: faults are played and attempts counted from it on.
    pub fn begin(&self, at: Instant) {
        let now = self.shared.clock.now();
        let begin = now + at.saturating_duration_since(Instant::now()).as_nanos() as u64;
        self.shared.counts.begin(begin);
        let player = Player::new(self.shared.clone(), self.proxies.clone());
        self.shared.spawn(player.play(begin));
    }

    /// Where discovery tells of a tier's servers, for proxies in a zone.
    pub fn discovery(&self, tier: usize, zone: usize) -> SocketAddr {
        self.discovery[tier][zone]
    }

    /// The list of a tier as discovery has it.
    pub fn list(&self, tier: usize, zone: usize) -> Document {
        self.shared.discovery.list(tier, zone)
    }

    /// Names and addresses of a tier's servers, as seen from a zone; those of later deploys included.
    pub fn servers(&self, tier: usize, zone: usize) -> Vec<(String, SocketAddr)> {
        self.shared.nodes[tier].iter().map(|node| (node.name.clone(), node.doors[zone])).collect()
    }

    /// Who has run and does not at present.
    pub fn down(&self) -> Vec<String> {
        let gone = |node: &&Arc<Node>| !node.alive() && node.tally().0.uptime > 0;
        self.shared.all_nodes().filter(gone).map(|node| node.name.clone()).collect()
    }

    /// What went wrong that no fault meant to.
    pub fn troubles(&self) -> Vec<String> {
        held(&self.shared.troubles).clone()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.shared.all_nodes().for_each(|node| node.ends());
        held(&self.shared.tasks).abort_all();
    }
}

/// Opens a door to discovery for each tier and zone.
fn open_discovery(shared: &Arc<Shared>, net: &Loopback) -> io::Result<Vec<Vec<SocketAddr>>> {
    let mut doors = Vec::new();
    for tier in 0..shared.nodes.len() {
        let mut of_tier = Vec::new();
        for silence in &shared.discovery.silences {
            let listener = net.listen()?;
            let zone = of_tier.len();
            of_tier.push(listener.local_addr()?);
            let door = Door::new(listener, silence.clone());
            shared.spawn(shared.discovery.clone().take(door, tier, zone));
        }
        doors.push(of_tier);
    }
    Ok(doors)
}
