//! The attempts of clients: the choice of a proxy, and retries.

use super::{Clients, Request};
use crate::model::context::Context;
use crate::model::message::{ClientRequestId, Message, ProxyRequest, RequestOutcome};
use crate::model::network;
use olivecart_decisions::{DeduplicationScope, Idempotency, Nanos};
use rand::Rng;

/// The number of proxies that are drawn at random before all available proxies are listed.
const MAX_PROXY_PROBES: usize = 8;
/// The maximum number of retries, so that attempt numbers fit their type.
const MAX_RETRIES: u32 = 200;

impl Clients {
    /// Returns the request of an attempt if the attempt has not ended yet.
    fn waiting_request(&mut self, id: ClientRequestId, attempt: u8) -> Option<&mut Request> {
        let is_waiting = |request: &&mut Request| request.attempt == attempt && request.outcome.is_none();
        self.request_mut(id).filter(is_waiting)
    }

    /// Sends an attempt to one of the proxies that appear to be up.
    pub(super) fn send_attempt(&mut self, context: &mut Context, id: ClientRequestId) {
        let proxy = self.choose_proxy(context);
        let node = self.node;
        let clients = &context.topology.scenario.clients;
        let Some(request) = self.request_mut(id) else { return };
        let client_deadline = context.topology.classes[request.class as usize].settings.client_deadline;
        let attempt_timeout = (client_deadline as f64 * clients.patience) as Nanos;
        let deadline = (request.arrived_at + client_deadline).min(context.now + attempt_timeout);
        request.proxy = proxy;
        let call = ProxyRequest {
            client_request: id,
            attempt: request.attempt,
            class: request.class,
            tenant: request.tenant,
            is_retry: clients.marks_retry && request.attempt > 0,
            deadline,
            work: request.work,
        };
        context.outbox.schedule(deadline, Message::ClientTimesOut(id, call.attempt));
        if clients.impatient > 0.0 && context.rng.random::<f64>() < clients.impatient {
            let wait = (deadline - context.now) as f64 * context.rng.random::<f64>();
            let leaves_at = context.now + wait as Nanos;
            context.outbox.schedule(leaves_at, Message::ClientDisconnects(id, call.attempt));
        }
        if let Some(proxy) = proxy {
            let at = context.now + network::draw_client_delay(context.topology, context.rng);
            let proxy_node = context.topology.machine_node(proxy);
            if network::reaches(context.topology, node, proxy_node, at) {
                context.outbox.send(proxy_node, at, Message::Request(call));
            }
        }
    }

    /// Chooses a proxy at random. A dead proxy is detected only after some time. If no proxy of the zone is
    /// up, proxies of other zones are used.
    fn choose_proxy(&self, context: &mut Context) -> Option<u32> {
        let detection_time = context.topology.scenario.clients.notices_dead_proxy.nanos();
        let timeline = &context.topology.timeline;
        let now = context.now;
        let seems_up = |machine: &u32| {
            let down_since = timeline.proxy_down_since(*machine, now);
            down_since.is_none_or(|since| now < since + detection_time)
        };
        let zones = &context.topology.fronts;
        let in_zone = &zones[self.zone as usize];
        // Usually all proxies are up, and the first draw succeeds.
        for _ in 0..MAX_PROXY_PROBES.min(in_zone.len()) {
            let proxy = in_zone[context.rng.random_range(0..in_zone.len())];
            if seems_up(&proxy) {
                return Some(proxy);
            }
        }
        let mut candidates: Vec<u32> = in_zone.iter().copied().filter(seems_up).collect();
        if candidates.is_empty() {
            candidates = zones.iter().flatten().copied().filter(seems_up).collect();
        }
        if candidates.is_empty() {
            return None;
        }
        Some(candidates[context.rng.random_range(0..candidates.len())])
    }

    /// Handles a client that closes its connection before its timeout; the proxy is notified.
    pub(super) fn disconnect(&mut self, context: &mut Context, id: ClientRequestId, attempt: u8) {
        let node = self.node;
        let Some(request) = self.waiting_request(id, attempt) else { return };
        if let Some(proxy) = request.proxy {
            let proxy_node = context.topology.machine_node(proxy);
            let at = context.now + network::draw_client_delay(context.topology, context.rng);
            if network::reaches(context.topology, node, proxy_node, at) {
                context.outbox.send(proxy_node, at, Message::ClientDisconnected(id, attempt));
            }
        }
        self.attempt_ended(context, id, attempt, RequestOutcome::Failed);
    }

    /// Handles the end of an attempt: the request is retried or ends.
    pub(super) fn attempt_ended(
        &mut self,
        context: &mut Context,
        id: ClientRequestId,
        attempt: u8,
        outcome: RequestOutcome,
    ) {
        let Some(request) = self.waiting_request(id, attempt) else { return };
        request.outcome = Some(outcome);
        if let RequestOutcome::Served(work) = outcome {
            context.thread.counters.add_useful_work(work);
            return self.end(context, id, outcome);
        }
        let Some(wait) = self.retry_wait(context, id, outcome) else {
            return self.end(context, id, outcome);
        };
        let Some(request) = self.request_mut(id) else { return };
        request.attempt += 1;
        request.outcome = None;
        context.thread.counters.client_retry(context.now);
        context.outbox.schedule(context.now + wait, Message::ClientRetries(id));
    }

    /// Returns the delay before the retry of a request, or `None` if it is not retried.
    fn retry_wait(
        &mut self,
        context: &mut Context,
        id: ClientRequestId,
        outcome: RequestOutcome,
    ) -> Option<Nanos> {
        let clients = &context.topology.scenario.clients;
        let storm = context.topology.timeline.storm(context.now);
        let honours_retry_after = context.rng.random::<f64>() < clients.honours_retry_after;
        let request = self.request_mut(id)?;
        let class = &context.topology.classes[request.class as usize].settings;
        let is_harmless = match (outcome, class.idempotency) {
            (RequestOutcome::Refused(_) | RequestOutcome::Unreachable, _) => true,
            (_, Idempotency::Idempotent) => true,
            (_, Idempotency::Keyed { scope: DeduplicationScope::All, window }) => {
                context.now < request.arrived_at + window
            }
            _ => false,
        };
        let max_retries = storm.unwrap_or(clients.retries).min(MAX_RETRIES);
        let wait = match (storm, outcome) {
            (Some(_), _) => 0,
            (None, RequestOutcome::Refused(retry_after)) if honours_retry_after && retry_after > 0 => {
                retry_after.min(context.topology.scenario.limits.max_retry_after.nanos())
            }
            _ => clients.backoff.nanos(),
        };
        let deadline = request.arrived_at + class.client_deadline;
        let has_retries_left = u32::from(request.attempt) < max_retries;
        (is_harmless && has_retries_left && context.now + wait < deadline).then_some(wait)
    }
}
