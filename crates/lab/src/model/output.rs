//! The output of one thread of a run, and how the outputs of all threads are merged.

use super::context::ThreadState;
use super::counters::Counters;
use super::machine::Machine;
use super::monitor::Rule;
use super::proxy::Proxy;
use super::server::Server;
use super::topology::Topology;
use crate::run_result::{Breach, Held, Server as ServerResult};

/// The maximum number of servers per thread that are reported individually.
const MAX_REPORTED_SERVERS: usize = 20_000;
/// The maximum number of ejections per thread that are reported.
const MAX_REPORTED_EJECTIONS: usize = 5_000;

/// The output of one thread of a run.
pub struct ThreadOutput {
    /// The digest of the events of each node, by node.
    pub digests: Vec<(u32, u64)>,
    /// The figures of each server, by tier and by index in the tier.
    pub servers: Vec<((u8, u32), ServerResult)>,
    /// Work done by servers, in nanoseconds on a core of speed 1.
    pub work: u64,
    /// The number of open connections integrated over time, in microseconds.
    pub connection_us: u64,
    /// The time that servers were running, in nanoseconds.
    pub uptime: u64,
    /// Connections opened.
    pub handshakes: u64,
    /// The counters of the thread.
    pub counters: Counters,
    /// The rules that were broken.
    pub breaches: Vec<(Rule, Breach)>,
    /// The endpoints that each proxy treated as unhealthy or ejected, and when.
    pub ejections: Vec<(u32, Held)>,
    /// Time spent in policies, in seconds.
    pub policy_s: f64,
}

impl ThreadOutput {
    /// Creates the output of a thread without its machines.
    pub(super) fn new(thread: ThreadState) -> ThreadOutput {
        ThreadOutput {
            digests: Vec::new(),
            servers: Vec::new(),
            work: 0,
            connection_us: 0,
            uptime: 0,
            handshakes: 0,
            counters: thread.counters,
            breaches: Vec::new(),
            ejections: Vec::new(),
            policy_s: thread.policy_time.seconds(),
        }
    }

    /// Adds another thread's output.
    pub fn merge(&mut self, other: ThreadOutput) {
        self.digests.extend(other.digests);
        self.servers.extend(other.servers);
        self.work += other.work;
        self.connection_us += other.connection_us;
        self.uptime += other.uptime;
        self.handshakes += other.handshakes;
        self.counters.add(&other.counters);
        self.breaches.extend(other.breaches);
        self.ejections.extend(other.ejections);
        self.policy_s += other.policy_s;
    }

    /// Sorts servers and ejections into an order that does not depend on the number of threads.
    pub fn sort(&mut self) {
        self.servers.sort_by_key(|(position, _)| *position);
        self.ejections.sort_by(|(proxy, held), (other_proxy, other)| {
            let by_start = held.from_ms.cmp(&other.from_ms);
            proxy.cmp(other_proxy).then(by_start).then_with(|| held.server.cmp(&other.server))
        });
    }

    /// Adds the figures of a machine at the end of the run.
    pub(super) fn add_machine(&mut self, topology: &Topology, id: u32, machine: Machine) {
        if let Some(proxy) = machine.proxy {
            self.add_proxy(id, proxy);
        }
        let position = topology.machines[machine.number as usize].server;
        if let (Some(server), Some((tier, slot))) = (machine.server, position) {
            self.add_server(topology, server, tier, slot);
        }
    }

    fn add_proxy(&mut self, id: u32, mut proxy: Proxy) {
        if !proxy.has_consistent_counts() {
            self.counters.record_violation("a proxy's request counts are inconsistent");
        }
        let room = MAX_REPORTED_EJECTIONS.saturating_sub(self.ejections.len());
        self.ejections.extend(proxy.take_ejections().into_iter().take(room).map(|held| (id, held)));
        self.breaches.extend(proxy.monitor.into_breaches());
    }

    fn add_server(&mut self, topology: &Topology, mut server: Server, tier: u8, slot: u32) {
        server.finish_accounting(topology, topology.ends());
        self.work += server.counters.work;
        self.connection_us += server.counters.connection_us;
        self.uptime += server.counters.uptime;
        self.handshakes += server.counters.handshakes;
        if self.servers.len() < MAX_REPORTED_SERVERS {
            self.servers.push(((tier, slot), server_result(topology, &server, tier, slot)));
        }
    }
}

fn server_result(topology: &Topology, server: &Server, tier: u8, slot: u32) -> ServerResult {
    let spec = &topology.tiers[tier as usize].servers[slot as usize];
    let kind = topology.kind(tier, slot);
    let counters = server.counters;
    let core_time = counters.uptime as f64 * f64::from(kind.cores);
    ServerResult {
        name: spec.name.clone(),
        tier: topology.scenario.tier[tier as usize].name.clone(),
        zone: topology.scenario.zones[spec.zone as usize].clone(),
        kind: kind.name.clone(),
        capacity: f64::from(kind.cores) * spec.speed,
        attempts: counters.attempts,
        turned_away: counters.rejected,
        work_s: counters.work as f64 / 1e9,
        utilization: if core_time > 0.0 { (counters.busy as f64 / core_time).min(1.0) } else { 0.0 },
        peak_requests: counters.peak_requests,
        probes: counters.probes,
        peak_connections: counters.peak_connections,
        deaths: counters.deaths,
        fell_over: counters.fell_over,
    }
}
