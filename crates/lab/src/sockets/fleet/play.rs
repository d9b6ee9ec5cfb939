//! Applies the faults and deploys of a scenario's timeline when they are due.

use super::node::Node;
use super::{Place, Proxies, Shared, discovery, entry};
use crate::model::{MachineChange, Topology};
use crate::sockets::client::Pool;
use crate::sockets::lock;
use crate::sockets::protocol::State;
use crate::sockets::stream::listen;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// The delay between attempts to listen on the address of a server that is restarting.
const LISTEN_RETRY_DELAY: Duration = Duration::from_millis(10);
/// The largest number of connections from a server to its sidecar.
const MAX_SIDECAR_CONNECTIONS: usize = 1024;

/// An event of the timeline.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A machine changes.
    Machine(u32, MachineChange),
    /// A partition of a zone begins or ends.
    Cut,
    /// A discovery outage begins (`true`) or ends.
    Outage(bool),
    /// Discovery stops receiving updates (`true`) or receives them again.
    Stale(bool),
}

/// Returns all events of the timeline by time. At the same instant, faults end before others begin.
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

/// Applies the timeline to a fleet.
pub struct FaultPlayer {
    shared: Arc<Shared>,
    proxies: Option<Arc<dyn Proxies>>,
    /// The time of the current step since the begin of the run, in nanoseconds.
    at: u64,
}

impl FaultPlayer {
    /// Creates a player at the beginning of the timeline.
    pub fn new(shared: Arc<Shared>, proxies: Option<Arc<dyn Proxies>>) -> FaultPlayer {
        FaultPlayer { shared, proxies, at: 0 }
    }

    /// Applies the whole timeline; `begin` is its time 0 on the fleet's clock.
    pub async fn play(mut self, begin: u64) {
        for (at, step) in steps(&self.shared.topology) {
            self.shared.alarm.until(self.shared.clock.instant(begin + at)).await;
            self.at = at;
            match step {
                Step::Machine(machine, change) => self.change_machine(machine, change),
                Step::Cut => self.update_blackholes(),
                Step::Outage(on) => self.shared.discovery.set_down(on),
                Step::Stale(on) => self.shared.discovery.set_stale(on),
            }
        }
    }

    fn change_machine(&self, number: u32, change: MachineChange) {
        let Some((tier, slot)) = self.shared.topology.machines[number as usize].server else {
            return self.change_front_proxy(number, change);
        };
        let node = self.shared.node(Place { tier: tier as usize, index: slot as usize });
        match change {
            MachineChange::Die { silent } => self.kill_server(node, silent),
            MachineChange::Start if !node.fell_over() => {
                node.set_vanished(false);
                node.reset_connections(); // connections that a silent death has left open
                self.update_blackholes();
                let (shared, proxies, node) = (self.shared.clone(), self.proxies.clone(), node.clone());
                self.shared.spawn(async move { start_server(&shared, proxies.as_deref(), &node).await });
            }
            MachineChange::Start => {}
            MachineChange::Drain => {
                node.change(change);
                self.report_state(node, State::Draining);
            }
            _ => node.change(change),
        }
    }

    fn kill_server(&self, node: &Arc<Node>, silently: bool) {
        node.die();
        if silently {
            node.set_vanished(true);
            self.update_blackholes();
        } else {
            node.reset_connections();
        }
        lock(&self.shared.sidecars).remove(&node.place);
        if let Some(proxies) = self.proxies.as_ref().filter(|_| self.shared.calls_on(node.place)) {
            proxies.kill(node.place.machine(&self.shared.topology), silently);
        }
        self.report_state(node, State::Gone);
    }

    /// Applies a change to a first-tier proxy.
    fn change_front_proxy(&self, number: u32, change: MachineChange) {
        let Some(proxies) = &self.proxies else { return };
        match change {
            MachineChange::Die { silent } => proxies.kill(number, silent),
            MachineChange::Start => {
                let (starts, shared) = (proxies.start(number), self.shared.clone());
                self.shared.spawn(async move {
                    if let Err(error) = starts.await {
                        lock(&shared.unexpected_failures).push(error);
                    }
                });
            }
            _ => {}
        }
    }

    fn report_state(&self, node: &Node, state: State) {
        let entry = entry(&self.shared.topology, &self.shared.clock, node, state);
        self.shared.discovery.report(node.place.tier, entry);
    }

    /// Updates which servers are unreachable from which zones.
    fn update_blackholes(&self) {
        let joined = |a: usize, b: usize| self.shared.topology.timeline.joined(a as u16, b as u16, self.at);
        for node in self.shared.all_nodes() {
            for (zone, blackhole) in node.blackholes.iter().enumerate() {
                blackhole.set(node.has_vanished() || !joined(node.zone, zone));
            }
        }
        for (zone, blackhole) in self.shared.discovery.blackholes.iter().enumerate() {
            blackhole.set(!joined(discovery::DISCOVERY_ZONE, zone));
        }
    }
}

/// Listens on a server's previous addresses. Retries while the old listeners are still closing.
async fn listen_again(addresses: &[SocketAddr]) -> Vec<TcpListener> {
    let mut listeners = Vec::new();
    for listener in addresses {
        loop {
            match listen(*listener) {
                Ok(listener) => break listeners.push(listener),
                Err(_) => tokio::time::sleep(LISTEN_RETRY_DELAY).await,
            }
        }
    }
    listeners
}

/// Starts a server cold, together with its sidecar, and reports it to discovery.
async fn start_server(shared: &Arc<Shared>, proxies: Option<&dyn Proxies>, node: &Arc<Node>) {
    let listeners = listen_again(&node.addresses).await;
    if let Err(error) = start_sidecar(shared, proxies, node).await {
        lock(&shared.unexpected_failures).push(error);
    }
    node.start();
    shared.open(node, listeners);
    shared.discovery.report(node.place.tier, entry(&shared.topology, &shared.clock, node, State::Ready));
}

/// Starts a server's sidecar if the server calls another tier.
///
/// # Errors
/// The sidecar did not start; the text is the reason.
pub async fn start_sidecar(
    shared: &Arc<Shared>,
    proxies: Option<&dyn Proxies>,
    node: &Arc<Node>,
) -> Result<(), String> {
    let Some(proxies) = proxies.filter(|_| shared.calls_on(node.place)) else { return Ok(()) };
    let addr = proxies.start(node.place.machine(&shared.topology)).await?;
    lock(&shared.sidecars).insert(node.place, Arc::new(Pool::new(addr, MAX_SIDECAR_CONNECTIONS)));
    Ok(())
}
