//! The discovery service: it receives changes of endpoints with a lag, serves calls one after another, and
//! can have outages.

use super::context::Context;
use super::message::{DiscoveryUpdate, ListEntry, Message};
use super::network;
use super::topology::{Tier, Topology};
use crate::scenario::DiscoveryMode;
use olivecart_decisions::{EndpointState, Nanos};
use std::collections::BTreeSet;
use std::sync::Arc;

/// The interval at which discovery retries unreachable watchers.
const RETRY_INTERVAL: Nanos = 500_000_000;

impl Topology {
    /// The endpoint list of a tier that discovery had at a time, ordered by server.
    pub fn list_at(&self, tier: u8, at: Nanos) -> Vec<ListEntry> {
        let mut list = initial_list(self, tier);
        let lag = self.scenario.discovery.lag.nanos();
        for (happens_at, _, entry) in self.timeline.list_changes.iter().filter(|(_, of, _)| *of == tier) {
            if self.timeline.discovered_at(*happens_at, lag) <= at {
                replace_entry(&mut list, *entry);
            }
        }
        list
    }
}

fn initial_list(topology: &Topology, tier: u8) -> Vec<ListEntry> {
    let servers = (0..).zip(&topology.tiers[tier as usize].servers);
    let ready = |(slot, _)| ListEntry { slot, state: EndpointState::Ready, started: 0 };
    servers.filter(|(_, spec)| spec.present_at_start).map(ready).collect()
}

/// Replaces the entry of a server, or deletes it if the server was removed.
fn replace_entry(list: &mut Vec<ListEntry>, entry: ListEntry) {
    let is_removed = entry.state == EndpointState::Removed;
    match list.binary_search_by_key(&entry.slot, |listed| listed.slot) {
        Ok(index) if is_removed => _ = list.remove(index),
        Ok(index) => list[index] = entry,
        Err(_) if is_removed => {}
        Err(index) => list.insert(index, entry),
    }
}

/// The discovery service.
pub struct Discovery {
    node: u32,
    /// The endpoint lists, by tier.
    lists: Vec<Vec<ListEntry>>,
    /// The proxies that are notified of changes, by tier.
    watchers: Vec<BTreeSet<u32>>,
    /// Watchers that missed a change and will receive the complete list.
    unreachable_watchers: BTreeSet<u32>,
    /// The time by which all queued calls are served.
    busy_until: Nanos,
}

impl Discovery {
    /// Creates the service at the start of a run and schedules the changes and outages.
    pub fn new(node: u32, context: &mut Context) -> Discovery {
        let topology = context.topology;
        schedule_changes(context);
        for outage in &topology.timeline.outages {
            context.outbox.schedule(outage.from, Message::DiscoveryOutage);
        }
        let tiers = topology.tiers.len() as u8;
        Discovery {
            node,
            lists: (0..tiers).map(|tier| initial_list(topology, tier)).collect(),
            watchers: topology.tiers.iter().map(|tier| initial_watchers(topology, tier)).collect(),
            unreachable_watchers: BTreeSet::new(),
            busy_until: 0,
        }
    }

    /// Handles one event.
    pub fn handle(&mut self, context: &mut Context, message: Message) {
        match message {
            Message::DiscoveryNotified(changes) => self.changes_arrived(context, &changes),
            Message::DiscoveryRequest(proxy, watch) => self.request_arrived(context, proxy, watch),
            Message::DiscoveryCallServed(proxy, watch) => self.serve_call(context, proxy, watch),
            Message::DiscoveryOutage => self.begin_outage(context),
            _ => context
                .thread
                .counters
                .record_violation("discovery received a message of another kind of node"),
        }
    }

    fn tier_of(&self, topology: &Topology, proxy: u32) -> Option<u8> {
        let machine = topology.machines.get(proxy.checked_sub(topology.clients)? as usize)?;
        machine.proxy.map(|(tier, _)| tier)
    }

    /// Applies changes and notifies the watchers. Without changes, it retries the unreachable watchers.
    fn changes_arrived(&mut self, context: &mut Context, changes: &[(u8, ListEntry)]) {
        if changes.is_empty() {
            return self.retry_unreachable(context);
        }
        for (tier, entry) in changes {
            replace_entry(&mut self.lists[*tier as usize], *entry);
            let delta: Arc<[ListEntry]> = [*entry].into();
            let watchers: Vec<u32> = self.watchers[*tier as usize].iter().copied().collect();
            for proxy in watchers {
                // A watcher that missed a change receives the complete list later.
                if self.unreachable_watchers.contains(&proxy) {
                    continue;
                }
                let is_reached = self.notify(context, proxy, DiscoveryUpdate::Delta(delta.clone()));
                if !is_reached {
                    self.add_unreachable(context, proxy);
                }
            }
        }
    }

    fn retry_unreachable(&mut self, context: &mut Context) {
        for proxy in std::mem::take(&mut self.unreachable_watchers) {
            let Some(tier) = self.tier_of(context.topology, proxy) else { continue };
            let full = DiscoveryUpdate::Full(self.lists[tier as usize].clone().into());
            let is_reached = self.notify(context, proxy, full);
            if !is_reached {
                self.add_unreachable(context, proxy);
            }
        }
    }

    /// Marks a watcher that missed a change: it receives the complete list once it is reachable.
    fn add_unreachable(&mut self, context: &mut Context, proxy: u32) {
        if self.unreachable_watchers.is_empty() {
            let retry_at = context.now + RETRY_INTERVAL;
            context.outbox.schedule(retry_at, Message::DiscoveryNotified([].into()));
        }
        self.unreachable_watchers.insert(proxy);
    }

    /// Sends an update to a proxy. Returns whether the proxy is reachable.
    fn notify(&self, context: &mut Context, proxy: u32, update: DiscoveryUpdate) -> bool {
        let at = context.now + network::draw_delay(context.topology, self.node, proxy, context.rng);
        let is_reached = network::reaches(context.topology, self.node, proxy, at);
        if is_reached {
            context.outbox.send(proxy, at, Message::DiscoveryUpdate(update));
        }
        is_reached
    }

    fn is_in_outage(&self, context: &Context) -> bool {
        context.topology.timeline.outages.iter().any(|outage| outage.contains(context.now))
    }

    /// Queues a call of a proxy. The call fails if it would wait longer than the timeout.
    fn request_arrived(&mut self, context: &mut Context, proxy: u32, watch: bool) {
        let spec = &context.topology.scenario.discovery;
        let service_time = (1e9 / spec.calls_per_s) as Nanos;
        let timeout = spec.timeout.nanos();
        let served_at = self.busy_until.max(context.now) + service_time;
        if self.is_in_outage(context) || served_at > context.now + timeout {
            let delay = network::draw_delay(context.topology, self.node, proxy, context.rng);
            let fails_at = context.now + timeout + delay;
            return context.outbox.send(proxy, fails_at, Message::DiscoveryUpdate(DiscoveryUpdate::Failed));
        }
        self.busy_until = served_at;
        context.outbox.schedule(served_at, Message::DiscoveryCallServed(proxy, watch));
    }

    fn serve_call(&mut self, context: &mut Context, proxy: u32, watch: bool) {
        let Some(tier) = self.tier_of(context.topology, proxy) else { return };
        if self.is_in_outage(context) {
            self.notify(context, proxy, DiscoveryUpdate::Failed);
            return;
        }
        if watch {
            self.watchers[tier as usize].insert(proxy);
        }
        self.notify(context, proxy, DiscoveryUpdate::Full(self.lists[tier as usize].clone().into()));
    }

    /// Ends all watches and notifies the watchers.
    fn begin_outage(&mut self, context: &mut Context) {
        if context.topology.scenario.discovery.mode == DiscoveryMode::Push {
            // Pushed updates stop without notice.
            return;
        }
        for tier in 0..self.watchers.len() {
            for proxy in std::mem::take(&mut self.watchers[tier]) {
                self.notify(context, proxy, DiscoveryUpdate::Failed);
            }
        }
    }
}

/// Schedules the time at which discovery notifies watchers of each change: after its lag and after any
/// outage.
fn schedule_changes(context: &mut Context) {
    let topology = context.topology;
    let timeline = &topology.timeline;
    let lag = topology.scenario.discovery.lag.nanos();
    for (happens_at, tier, entry) in &timeline.list_changes {
        let discovered_at = timeline.discovered_at(*happens_at, lag);
        let outages = timeline.outages.iter().filter(|outage| outage.contains(discovered_at));
        let notified_at = outages.map(|outage| outage.to).max().unwrap_or(discovered_at);
        context.outbox.schedule(notified_at, Message::DiscoveryNotified([(*tier, *entry)].into()));
    }
}

/// The callers of a tier in push mode, where they receive changes without a request.
fn initial_watchers(topology: &Topology, tier: &Tier) -> BTreeSet<u32> {
    match topology.scenario.discovery.mode {
        DiscoveryMode::Push => tier.callers.iter().map(|machine| topology.machine_node(*machine)).collect(),
        DiscoveryMode::Watch => BTreeSet::new(),
    }
}
