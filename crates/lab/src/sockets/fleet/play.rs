//! Plays what goes wrong, when it is due.

use super::node::Node;
use super::{Place, Proxies, Shared, discovery, entry};
use crate::model::{MachineChange, Topology};
use crate::sockets::client::Pool;
use crate::sockets::held;
use crate::sockets::protocol::State;
use crate::sockets::stream::listen;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Between two tries to listen again where a server was.
const AGAIN: Duration = Duration::from_millis(10);
/// Connections that a server keeps to the proxy beside it.
const CALLS: usize = 1024;

/// One thing that happens.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// To a machine.
    Machine(u32, MachineChange),
    /// A zone is cut off, or no longer.
    Cut,
    /// Discovery goes down, or comes back.
    Outage(bool),
    /// Discovery hears nothing, or hears again.
    Stale(bool),
}

/// All that happens, by time. What ends at an instant comes before what begins then.
fn steps(topology: &Topology) -> Vec<(u64, Step)> {
    let timeline = &topology.timeline;
    let of = |(machine, changes): (u32, &Vec<(u64, MachineChange)>)| {
        changes.iter().map(move |(at, change)| (*at, Step::Machine(machine, *change))).collect::<Vec<_>>()
    };
    let mut steps: Vec<(u64, Step)> = (0..).zip(&timeline.changes).flat_map(of).collect();
    for (cut, _) in &timeline.cuts {
        steps.extend([(cut.to, Step::Cut), (cut.from, Step::Cut)]);
    }
    for outage in &timeline.outages {
        steps.extend([(outage.to, Step::Outage(false)), (outage.from, Step::Outage(true))]);
    }
    for stale in &timeline.stale {
        steps.extend([(stale.to, Step::Stale(false)), (stale.from, Step::Stale(true))]);
    }
    steps.sort_by_key(|(at, _)| *at);
    steps
}

/// Whoever plays it.
pub struct Player {
    shared: Arc<Shared>,
    proxies: Option<Arc<dyn Proxies>>,
    /// The time of the present step, in the scenario's count.
    at: u64,
}

impl Player {
    /// Nothing has happened yet.
    pub fn new(shared: Arc<Shared>, proxies: Option<Arc<dyn Proxies>>) -> Player {
        Player { shared, proxies, at: 0 }
    }

    /// Plays all of it, counted from a time.
    pub async fn play(mut self, begin: u64) {
        for (at, step) in steps(&self.shared.topology) {
            self.shared.alarm.until(self.shared.clock.instant(begin + at)).await;
            self.at = at;
            match step {
                Step::Machine(machine, change) => self.machine(machine, change),
                Step::Cut => self.silence(),
                Step::Outage(on) => self.shared.discovery.down(on),
                Step::Stale(on) => self.shared.discovery.deaf(on),
            }
        }
    }

    fn machine(&self, number: u32, change: MachineChange) {
        let Some((tier, slot)) = self.shared.topology.machines[number as usize].server else {
            return self.front(number, change);
        };
        let node = self.shared.node(Place { tier: tier as usize, index: slot as usize });
        match change {
            MachineChange::Die { silent } => self.dies(node, silent),
            MachineChange::Start if !node.fell_over() => {
                node.vanishes(false);
                node.ends(); // what a silent death has left open
                self.silence();
                let (shared, proxies, node) = (self.shared.clone(), self.proxies.clone(), node.clone());
                self.shared.spawn(async move { comes_up(&shared, proxies.as_deref(), &node).await });
            }
            MachineChange::Start => {}
            MachineChange::Drain => {
                node.change(change);
                self.tell(node, State::Draining);
            }
            _ => node.change(change),
        }
    }

    fn dies(&self, node: &Arc<Node>, silently: bool) {
        node.dies();
        if silently {
            node.vanishes(true);
            self.silence();
        } else {
            node.ends();
        }
        held(&self.shared.sidecars).remove(&node.place);
        if let Some(proxies) = self.proxies.as_ref().filter(|_| self.shared.calls_on(node.place)) {
            proxies.dies(node.place.machine(&self.shared.topology), silently);
        }
        self.tell(node, State::Gone);
    }

    /// A first-tier proxy.
    fn front(&self, number: u32, change: MachineChange) {
        let Some(proxies) = &self.proxies else { return };
        match change {
            MachineChange::Die { silent } => proxies.dies(number, silent),
            MachineChange::Start => {
                let (starts, shared) = (proxies.start(number), self.shared.clone());
                self.shared.spawn(async move {
                    if let Err(what) = starts.await {
                        held(&shared.troubles).push(what);
                    }
                });
            }
            _ => {}
        }
    }

    fn tell(&self, node: &Node, state: State) {
        let entry = entry(&self.shared.topology, &self.shared.clock, node, state);
        self.shared.discovery.report(node.place.tier, entry);
    }

    /// Sets who says nothing to whom.
    fn silence(&self) {
        let joined = |a: usize, b: usize| self.shared.topology.timeline.joined(a as u16, b as u16, self.at);
        for node in self.shared.all_nodes() {
            for (zone, silence) in node.silences.iter().enumerate() {
                silence.set(node.has_vanished() || !joined(node.zone, zone));
            }
        }
        for (zone, silence) in self.shared.discovery.silences.iter().enumerate() {
            silence.set(!joined(discovery::LIVES_IN, zone));
        }
    }
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

/// A server comes up cold with the proxy beside it, and discovery is told.
async fn comes_up(shared: &Arc<Shared>, proxies: Option<&dyn Proxies>, node: &Arc<Node>) {
    let listeners = listen_again(&node.doors).await;
    if let Err(what) = beside(shared, proxies, node).await {
        held(&shared.troubles).push(what);
    }
    node.starts();
    shared.open(node, listeners);
    shared.discovery.report(node.place.tier, entry(&shared.topology, &shared.clock, node, State::Ready));
}

/// Starts the proxy beside a server, if it calls anybody. An error says why there is none.
pub async fn beside(
    shared: &Arc<Shared>,
    proxies: Option<&dyn Proxies>,
    node: &Arc<Node>,
) -> Result<(), String> {
    let Some(proxies) = proxies.filter(|_| shared.calls_on(node.place)) else { return Ok(()) };
    let addr = proxies.start(node.place.machine(&shared.topology)).await?;
    held(&shared.sidecars).insert(node.place, Arc::new(Pool::new(addr, CALLS)));
    Ok(())
}
