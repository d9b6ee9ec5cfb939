//! A scenario's servers and its discovery on loopback.
//!
//! Where it differs from the world: connections between clients and first-tier proxies have no delay of their
//! own; a zone's loss and a partition hold between proxies and servers and between proxies and discovery, whose
//! sockets stay silent as in the world, but connections to a proxy that has vanished are still acknowledged by
//! this machine; and work done in vain is known to each tier only for itself.

mod discovery;
mod node;
mod play;
mod record;
mod serve;

pub use record::Record;

use super::cast::{self, Member};
use super::chance::{Chance, Draw, Undrawable, stream};
use super::client::Pool;
use super::clock::{Alarm, Clock};
use super::effects::Effects;
use super::faults::{FaultError, Timeline, timeline};
use super::held;
use super::protocol::{Document, Line, State};
use super::registry::Entry;
use super::stream::{Door, Loopback};
use crate::run::result::Window;
use crate::scenario::{Class, Kind, Scenario};
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
    /// A fault of the scenario cannot be played.
    #[error(transparent)]
    Fault(#[from] FaultError),
    /// A class's work cannot be drawn.
    #[error("class {0}: {1}")]
    Work(String, Undrawable),
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

/// The proxies that live and die with a fleet.
pub trait Proxies: Send + Sync {
    /// Starts the proxy beside a server, for its calls to the next tier, and waits until it is ready. An error
    /// says why it is not.
    fn start(&self, place: Place, id: &str, zone: usize) -> BoxFuture<'static, Result<SocketAddr, String>>;
    /// The proxy beside a server dies with it. Silently: nobody is told, and its connections stay open.
    fn dies(&self, place: Place, silently: bool);
    /// First-tier proxies die, or new ones take their places.
    fn fronts(&self, which: &[usize], up: bool);
    /// The first-tier proxies of a zone vanish without a word, or new ones take their places.
    fn zone(&self, zone: usize, up: bool);
}

/// What all servers share.
struct Shared {
    scenario: Scenario,
    seed: u64,
    clock: Clock,
    alarm: Arc<Alarm>,
    /// By class.
    work: Vec<Draw>,
    /// By tier.
    effects: Vec<Mutex<Effects>>,
    counts: Counts,
    sidecars: Mutex<FxHashMap<Place, Arc<Pool>>>,
    /// All servers that there were, by tier.
    nodes: Vec<Mutex<Vec<Arc<Node>>>>,
    discovery: Arc<Discovery>,
    net: Arc<Loopback>,
    tasks: Mutex<JoinSet<()>>,
    chance: Mutex<Chance>,
    /// What went wrong that no fault meant to.
    troubles: Mutex<Vec<String>>,
}

impl Shared {
    fn node(&self, place: Place) -> Arc<Node> {
        held(&self.nodes[place.tier])[place.index].clone()
    }

    fn kind(&self, member: &Member) -> &Kind {
        &self.scenario.tier[member.tier].kind[member.kind]
    }

    fn all_nodes(&self) -> Vec<Arc<Node>> {
        self.nodes.iter().flat_map(|tier| held(tier).clone()).collect()
    }

    /// Whether a server calls another tier.
    fn calls_on(&self, place: Place) -> bool {
        place.tier + 1 < self.scenario.tier.len()
    }

    fn sidecar(&self, place: Place) -> Option<Arc<Pool>> {
        held(&self.sidecars).get(&place).cloned()
    }

    /// A request has run to its end.
    fn took_place(&self, member: &Member, class: usize, key: Option<&str>) {
        let effects = &self.effects[member.tier];
        held(effects).ran(self.clock.now(), class, key, member.zone as u64, member.cell);
    }

    /// Waits for as long as so many one-way trips between two zones take.
    async fn travels(&self, from: usize, to: usize, trips: u32) {
        let network = &self.scenario.network;
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
fn entry(scenario: &Scenario, clock: &Clock, node: &Node, state: State) -> Entry {
    let member = &node.member;
    let started = node.started();
    let line = Line {
        id: member.id.clone(),
        addr: String::new(),
        zone: scenario.zones[member.zone].clone(),
        kind: scenario.tier[member.tier].kind[member.kind].name.clone(),
        cell: member.cell,
        state,
        weight: member.weight,
        started_ms: if started == 0 { 0 } else { clock.unix_ms(started) },
    };
    Entry { line, doors: node.doors.clone() }
}

type Time = (Clock, Arc<Alarm>);

/// A server with a door for each zone. It is warm and runs, or is not there yet.
fn new_node(
    scenario: &Scenario,
    seed: u64,
    net: &Loopback,
    time: Time,
    member: Member,
    up: bool,
) -> io::Result<(Arc<Node>, Vec<TcpListener>)> {
    let listeners: Vec<TcpListener> =
        scenario.zones.iter().map(|_| net.listen()).collect::<io::Result<_>>()?;
    let doors = listeners.iter().map(TcpListener::local_addr).collect::<io::Result<_>>()?;
    Ok((Node::new((scenario, seed), member, up, doors, time), listeners))
}

/// Servers and discovery that run. Dropped, they are gone.
pub struct Fleet {
    shared: Arc<Shared>,
    /// Where discovery is, by tier and zone.
    discovery: Vec<Vec<SocketAddr>>,
    timeline: Timeline,
    proxies: Option<Arc<dyn Proxies>>,
}

impl Fleet {
    /// Starts a scenario's servers and its discovery. All is well until [`Fleet::begin`]; servers that call
    /// another tier need [`Fleet::attach`] first.
    ///
    /// # Errors
    /// The scenario cannot be played, or there are no sockets for it.
    pub fn start(scenario: &Scenario, seed: u64, net: Arc<Loopback>) -> Result<Fleet, FleetError> {
        let members = cast::cast(scenario, seed);
        let timeline = timeline(scenario, &members, seed)?;
        let time: Time = (Clock::start(), Arc::new(Alarm::start()?));
        let mut tiers = Vec::new();
        for tier in members {
            let node = |member| new_node(scenario, seed, &net, time.clone(), member, true);
            tiers.push(tier.into_iter().map(node).collect::<io::Result<Vec<_>>>()?);
        }
        let list = |tier: &Vec<(Arc<Node>, _)>| {
            tier.iter().map(|(node, _)| entry(scenario, &time.0, node, State::Ready)).collect()
        };
        let lists = tiers.iter().map(list).collect();
        let nodes = |tier: &Vec<(Arc<Node>, _)>| Mutex::new(tier.iter().map(|(n, _)| n.clone()).collect());
        let work = |c: &Class| Draw::new(&c.work).map_err(|e| FleetError::Work(c.name.clone(), e));
        let shared = Arc::new(Shared {
            scenario: scenario.clone(),
            seed,
            clock: time.0,
            alarm: time.1.clone(),
            work: scenario.class.iter().map(work).collect::<Result<_, _>>()?,
            effects: tiers.iter().map(|_| Mutex::new(Effects::new(&scenario.class))).collect(),
            counts: Counts::new(scenario),
            sidecars: Mutex::default(),
            nodes: tiers.iter().map(nodes).collect(),
            discovery: Discovery::new(time, lists, scenario),
            net,
            tasks: Mutex::default(),
            chance: Mutex::new(stream(seed, "network", 0)),
            troubles: Mutex::default(),
        });
        for (node, listeners) in tiers.into_iter().flatten() {
            shared.open(&node, listeners);
        }
        let discovery = open_discovery(&shared)?;
        Ok(Fleet { shared, discovery, timeline, proxies: None })
    }

    /// Starts the proxies beside all servers that call another tier.
    ///
    /// # Errors
    /// One of them does not come up.
    pub async fn attach(&mut self, proxies: Arc<dyn Proxies>) -> Result<(), FleetError> {
        let nodes = self.shared.all_nodes();
        let each = nodes.iter().map(|node| play::beside(&self.shared, Some(&*proxies), node));
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
        self.shared.spawn(player.play(begin, self.timeline.steps.clone()));
    }

    /// Where discovery tells of a tier's servers, for proxies in a zone.
    pub fn discovery(&self, tier: usize, zone: usize) -> SocketAddr {
        self.discovery[tier][zone]
    }

    /// The list of a tier as discovery has it.
    pub fn list(&self, tier: usize, zone: usize) -> Document {
        self.shared.discovery.list(tier, zone)
    }

    /// Names and addresses of a tier's servers, as seen from a zone; replaced ones included.
    pub fn servers(&self, tier: usize, zone: usize) -> Vec<(String, SocketAddr)> {
        held(&self.shared.nodes[tier]).iter().map(|n| (n.member.id.clone(), n.doors[zone])).collect()
    }

    /// Who does not run at present.
    pub fn down(&self) -> Vec<String> {
        let nodes = self.shared.all_nodes();
        nodes.iter().filter(|node| !node.alive()).map(|node| node.member.id.clone()).collect()
    }

    /// What went wrong that no fault meant to.
    pub fn troubles(&self) -> Vec<String> {
        held(&self.shared.troubles).clone()
    }

    fn windows(&self) -> Vec<Window> {
        self.timeline.windows.clone()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.shared.all_nodes().iter().for_each(|node| node.ends());
        held(&self.shared.tasks).abort_all();
    }
}

/// Opens a door to discovery for each tier and zone.
fn open_discovery(shared: &Arc<Shared>) -> io::Result<Vec<Vec<SocketAddr>>> {
    let mut doors = Vec::new();
    for tier in 0..shared.scenario.tier.len() {
        let mut of_tier = Vec::new();
        for zone in 0..shared.scenario.zones.len() {
            let listener = shared.net.listen()?;
            of_tier.push(listener.local_addr()?);
            let door = Door::new(listener, shared.discovery.silences[zone].clone());
            shared.spawn(shared.discovery.clone().take(door, tier, zone));
        }
        doors.push(of_tier);
    }
    Ok(doors)
}
