//! The idle connections of a proxy, and the connection of its watch on discovery, which is checked with them.

use super::{IdleConnection, Proxy};
use crate::model::context::Context;
use crate::model::message::{ClosedConnections, Message};
use crate::model::network;
use crate::model::topology::Topology;
use olivecart_decisions::{EndpointUpdate, Event, Nanos};

/// A watch is considered dead when discovery has been unreachable for this long.
const WATCH_SILENCE_TIMEOUT: Nanos = 3_000_000_000;
const MIN_SWEEP_INTERVAL: Nanos = 100_000_000;
const MAX_SWEEP_INTERVAL: Nanos = 5_000_000_000;

impl Proxy {
    /// Closes connections whose idle timeout has passed, and detects a dead watch.
    pub fn sweep_idle_connections(&mut self, context: &mut Context, incarnation: u32) {
        if incarnation != self.incarnation {
            return;
        }
        let interval = self.sweep_interval(context.topology);
        let servers: Vec<u32> = self.idle.keys().copied().collect();
        for server in servers {
            self.close_expired(context, server);
        }
        self.check_watch(context, interval);
        let next_sweep = context.now + interval;
        context.outbox.schedule(next_sweep, Message::SweepIdleConnections(self.incarnation));
    }

    fn close_expired(&mut self, context: &mut Context, server: u32) {
        let idle_timeout = context.topology.kind(self.tier, server).connections.idle.nanos();
        let oldest = context.now.saturating_sub(idle_timeout);
        let Some(idle) = self.idle.get_mut(&server) else { return };
        let first_to_keep = idle.partition_point(|connection| connection.since < oldest);
        let expired: Vec<_> = idle.drain(..first_to_keep).collect();
        if idle.is_empty() {
            self.idle.remove(&server);
        }
        self.close(context, server, &expired);
    }

    fn check_watch(&mut self, context: &mut Context, interval: Nanos) {
        let discovery = context.topology.discovery_node();
        if !self.is_watching || network::reaches(context.topology, self.node, discovery, context.now) {
            return;
        }
        self.watch_silent_for += interval;
        if self.watch_silent_for >= WATCH_SILENCE_TIMEOUT {
            self.watch_silent_for = 0;
            self.is_watching = false;
            self.notify_policy(context, Event::Endpoints(EndpointUpdate::Failed));
        }
    }

    /// A quarter of the shortest idle timeout in the tier, within bounds.
    pub(super) fn sweep_interval(&self, topology: &Topology) -> Nanos {
        let kinds = topology.scenario.tier[self.tier as usize].kind.iter();
        let shortest = kinds.map(|kind| kind.connections.idle.nanos()).min().unwrap_or(0);
        (shortest / 4).clamp(MIN_SWEEP_INTERVAL, MAX_SWEEP_INTERVAL)
    }

    /// Closes idle connections to a server. The server counts only those to its latest incarnation.
    pub(super) fn close(&self, context: &mut Context, server: u32, idle: &[IdleConnection]) {
        let node = context.topology.server_node(self.tier, server);
        let at = context.now + network::draw_delay(context.topology, self.node, node, context.rng);
        if idle.is_empty() || !network::reaches(context.topology, self.node, node, at) {
            return;
        }
        let incarnation = idle.iter().map(|connection| connection.incarnation).max().unwrap_or(0);
        let to_newest = idle.iter().filter(|connection| connection.incarnation == incarnation);
        let closed = ClosedConnections { incarnation, count: to_newest.count() as u32 };
        context.outbox.send(node, at, Message::ConnectionsClosed(closed));
    }
}
