//! The endpoint list of a proxy: requests to discovery, and the updates that it sends.

use super::{Proxy, Withdrawal};
use crate::model::context::Context;
use crate::model::message::{DiscoveryUpdate, ListEntry, Message};
use crate::model::monitor::TraceEvent;
use crate::model::network;
use olivecart_decisions::{EndpointEntry, EndpointState, EndpointUpdate, Event};

impl Proxy {
    /// Handles an update from discovery.
    pub fn discovery_update(&mut self, context: &mut Context, update: DiscoveryUpdate) {
        if self.policy.is_none() {
            return;
        }
        self.watch_silent_for = 0;
        match update {
            DiscoveryUpdate::Full(entries) => {
                self.replace_list(context, &entries, EndpointUpdate::Snapshot);
            }
            DiscoveryUpdate::Delta(entries) => self.change_list(context, &entries),
            DiscoveryUpdate::Failed => {
                self.is_watching = false;
                self.notify_policy(context, Event::Endpoints(EndpointUpdate::Failed));
            }
        }
    }

    /// Applies a complete list. Servers that it does not contain are removed.
    pub(super) fn replace_list(
        &mut self,
        context: &mut Context,
        entries: &[ListEntry],
        update: fn(Vec<EndpointEntry>) -> EndpointUpdate,
    ) {
        let removed = Withdrawal { state: EndpointState::Removed, notified_at: context.now };
        for slot in 0..context.topology.tiers[self.tier as usize].servers.len() as u32 {
            if entries.binary_search_by_key(&slot, |entry| entry.slot).is_err() {
                self.not_ready.entry(slot).or_insert(removed);
            }
        }
        self.apply_entries(context, entries, update);
    }

    /// Applies the entries that changed.
    fn change_list(&mut self, context: &mut Context, entries: &[ListEntry]) {
        for entry in entries {
            let listed = TraceEvent::Listed(entry.slot, entry.state, entry.started);
            self.monitor.record(context.now, listed);
        }
        self.apply_entries(context, entries, EndpointUpdate::Delta);
    }

    fn apply_entries(
        &mut self,
        context: &mut Context,
        entries: &[ListEntry],
        update: fn(Vec<EndpointEntry>) -> EndpointUpdate,
    ) {
        for entry in entries {
            self.apply_entry(context, entry);
        }
        let names = &context.thread.names[self.tier as usize];
        let to_endpoint =
            |entry: &ListEntry| context.topology.entry(self.tier, *entry, names[entry.slot as usize].clone());
        let endpoints = entries.iter().map(to_endpoint).collect();
        self.notify_policy(context, Event::Endpoints(update(endpoints)));
    }

    fn apply_entry(&mut self, context: &mut Context, entry: &ListEntry) {
        if entry.started > 0 {
            self.started.insert(entry.slot, entry.started);
        }
        if entry.state == EndpointState::Ready {
            self.not_ready.remove(&entry.slot);
            return;
        }
        let withdrawal = Withdrawal { state: entry.state, notified_at: context.now };
        self.not_ready.entry(entry.slot).or_insert(withdrawal);
        if let Some(idle) = self.idle.remove(&entry.slot) {
            self.close(context, entry.slot, &idle);
        }
    }

    /// Requests the list from discovery, and all later changes.
    pub(super) fn watch_list(&mut self, context: &mut Context) {
        self.is_watching = true;
        self.request_list(context, true);
    }

    /// Requests the list from discovery and, if `watch` is set, all later changes.
    pub(super) fn request_list(&mut self, context: &mut Context, watch: bool) {
        let discovery = context.topology.discovery_node();
        let at = context.now + network::draw_delay(context.topology, self.node, discovery, context.rng);
        if network::reaches(context.topology, self.node, discovery, at) {
            context.outbox.send(discovery, at, Message::DiscoveryRequest(self.node, watch));
        } else {
            let fails_at = context.now + context.topology.scenario.discovery.timeout.nanos();
            context.outbox.schedule(fails_at, Message::DiscoveryUpdate(DiscoveryUpdate::Failed));
        }
    }
}
