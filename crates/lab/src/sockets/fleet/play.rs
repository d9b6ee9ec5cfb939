//! Plays the timeline of what goes wrong.

use super::node::Node;
use super::{Place, Proxies, Shared, discovery, new_node};
use crate::sockets::client::Pool;
use crate::sockets::faults::{Change, Step, Trouble};
use crate::sockets::held;
use crate::sockets::protocol::State;
use crate::sockets::stream::listen;
use rustc_hash::FxHashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Between two tries to listen again where a server was.
const AGAIN: Duration = Duration::from_millis(10);
/// Connections that a server keeps to the proxy beside it.
const CALLS: usize = 1024;

/// Who is where at present, and what is wrong with it.
pub struct Player {
    shared: Arc<Shared>,
    proxies: Option<Arc<dyn Proxies>>,
    /// Who has the place of whom: a server of the scenario, and the one that replaced it.
    now: FxHashMap<Place, Place>,
    /// By server of the scenario: reasons why it is dead.
    dead: FxHashMap<Place, u32>,
    /// By zone: times that it is lost, and times that it is cut off.
    lost: Vec<u32>,
    apart: Vec<u32>,
}

impl Player {
    /// Nothing is wrong yet.
    pub fn new(shared: Arc<Shared>, proxies: Option<Arc<dyn Proxies>>) -> Player {
        let zones = shared.scenario.zones.len();
        let (now, dead) = (FxHashMap::default(), FxHashMap::default());
        Player { shared, proxies, now, dead, lost: vec![0; zones], apart: vec![0; zones] }
    }

    /// Plays all steps, counted from a time.
    pub async fn play(mut self, begin: u64, steps: Vec<Step>) {
        for step in steps {
            let at = self.shared.clock.instant(begin + step.at);
            self.shared.alarm.until(at).await;
            self.change(step.change);
        }
    }

    fn node(&self, tier: usize, index: usize) -> Arc<Node> {
        let place = Place { tier, index };
        self.shared.node(*self.now.get(&place).unwrap_or(&place))
    }

    fn change(&mut self, change: Change) {
        match change {
            Change::Trouble { at: (tier, index), trouble: Trouble::Crash, on } => {
                self.dead(Place { tier, index }, on, false);
            }
            Change::Trouble { at: (tier, index), trouble, on } => self.node(tier, index).trouble(trouble, on),
            Change::Drain(tier, index) => {
                let node = self.node(tier, index);
                node.drain();
                self.tell(&node, State::Draining);
            }
            Change::Replace(tier, index) => self.replace(Place { tier, index }),
            Change::DiscoveryDown(on) => self.shared.discovery.down(on),
            Change::Stale(on) => self.shared.discovery.deaf(on),
            Change::ZoneLost(zone, on) => self.zone_lost(zone, on),
            Change::ZoneApart(zone, on) => {
                count(&mut self.apart[zone], on);
                self.silence();
            }
            Change::ProxiesDown(which, on) => {
                if let Some(proxies) = &self.proxies {
                    proxies.fronts(&which, !on);
                }
            }
        }
    }

    fn tell(&self, node: &Node, state: State) {
        let entry = super::entry(&self.shared.scenario, &self.shared.clock, node, state);
        self.shared.discovery.report(node.member.tier, entry);
    }

    /// A server dies, or comes back cold. Silently: its connections stay open until then.
    fn dead(&mut self, place: Place, on: bool, silently: bool) {
        let times = self.dead.entry(place).or_default();
        count(times, on);
        let node = self.node(place.tier, place.index);
        match (on, self.dead[&place]) {
            (true, 1) => self.kill(&node, silently),
            (false, 0) => self.revive(&node),
            _ => {}
        }
    }

    fn kill(&self, node: &Arc<Node>, silently: bool) {
        node.dies();
        if !silently {
            node.ends();
        }
        held(&self.shared.sidecars).remove(&node.place());
        if let Some(proxies) = self.proxies.as_ref().filter(|_| self.shared.calls_on(node.place())) {
            proxies.dies(node.place(), silently);
        }
        self.tell(node, State::Gone);
    }

    fn revive(&self, node: &Arc<Node>) {
        node.ends(); // what a silent death has left open
        if !node.fell_over() {
            let (shared, proxies, node) = (self.shared.clone(), self.proxies.clone(), node.clone());
            self.shared.spawn(async move {
                let listeners = listen_again(&node.doors).await;
                comes_up(&shared, proxies.as_deref(), &node, listeners).await;
            });
        }
    }

    /// A new server with another name takes a place.
    fn replace(&mut self, place: Place) {
        let old = self.node(place.tier, place.index);
        self.kill(&old, false);
        let index = held(&self.shared.nodes[place.tier]).len();
        let mut member = old.member.clone();
        (member.index, member.id) =
            (index, format!("{}-{index}", self.shared.scenario.tier[place.tier].name));
        let time = (self.shared.clock, self.shared.alarm.clone());
        let new = new_node(&self.shared.scenario, self.shared.seed, &self.shared.net, time, member, false);
        let Ok((node, listeners)) = new else { return }; // no socket is left: the place stays empty
        held(&self.shared.nodes[place.tier]).push(node.clone());
        self.now.insert(place, node.place());
        self.silence();
        let (shared, proxies) = (self.shared.clone(), self.proxies.clone());
        self.shared.spawn(async move { comes_up(&shared, proxies.as_deref(), &node, listeners).await });
    }

    fn zone_lost(&mut self, zone: usize, on: bool) {
        count(&mut self.lost[zone], on);
        self.silence();
        let scenario = self.shared.scenario.clone();
        for tier in 0..scenario.tier.len() {
            let seats = scenario.layout(tier);
            for index in (0..seats.len()).filter(|index| seats[*index].zone == zone) {
                self.dead(Place { tier, index }, on, true);
            }
        }
        if let Some(proxies) = &self.proxies {
            proxies.zone(zone, !on);
        }
    }

    /// Sets who says nothing to whom.
    fn silence(&self) {
        let joined = |a: usize, b: usize| a == b || self.apart[a] == 0 && self.apart[b] == 0;
        for node in self.shared.all_nodes() {
            let its = node.member.zone;
            for (zone, silence) in node.silences.iter().enumerate() {
                silence.set(self.lost[its] > 0 || !joined(its, zone));
            }
        }
        for (zone, silence) in self.shared.discovery.silences.iter().enumerate() {
            silence.set(!joined(discovery::LIVES_IN, zone));
        }
    }
}

fn count(times: &mut u32, on: bool) {
    *times = if on { *times + 1 } else { times.saturating_sub(1) };
}

/// Listens where a server listened before; its old listeners may still be closing.
async fn listen_again(doors: &[SocketAddr]) -> Vec<TcpListener> {
    let mut listeners = Vec::new();
    for door in doors {
        loop {
            match listen(*door) {
                Ok(listener) => break listeners.push(listener),
                Err(_) => tokio::time::sleep(AGAIN).await,
            }
        }
    }
    listeners
}

/// A server comes up with the proxy beside it, and discovery is told.
pub async fn comes_up(
    shared: &Arc<Shared>,
    proxies: Option<&dyn Proxies>,
    node: &Arc<Node>,
    listeners: Vec<TcpListener>,
) {
    if let Err(what) = beside(shared, proxies, node).await {
        held(&shared.troubles).push(what);
    }
    node.starts();
    shared.open(node, listeners);
    let entry = super::entry(&shared.scenario, &shared.clock, node, State::Ready);
    shared.discovery.report(node.member.tier, entry);
}

/// Starts the proxy beside a server, if it calls anybody.
pub async fn beside(
    shared: &Arc<Shared>,
    proxies: Option<&dyn Proxies>,
    node: &Arc<Node>,
) -> Result<(), String> {
    let Some(proxies) = proxies.filter(|_| shared.calls_on(node.place())) else { return Ok(()) };
    let started = proxies.start(node.place(), &node.member.id, node.member.zone).await;
    let addr =
        started.map_err(|what| format!("the proxy beside {} did not come up: {what}", node.member.id))?;
    held(&shared.sidecars).insert(node.place(), Arc::new(Pool::new(addr, CALLS)));
    Ok(())
}
