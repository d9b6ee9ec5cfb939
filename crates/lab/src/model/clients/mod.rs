//! Clients: an open-loop stream of requests with client-side timeouts, retries and back-off, and the load
//! balancer in front that distributes them over the proxies of their zone.
//!
//! The clients track each request from its arrival to its end and count the outcome. They do not access
//! proxies or servers: they know of them only from messages and, for the load balancer in front, from the
//! timeline of faults.

mod arrivals;
mod attempts;

use super::context::Context;
use super::counters::CompletedRequest;
use super::message::{ClientRequestId, Message, RequestOutcome};
use crate::scenario::Tenant;
use arrivals::cumulative;
use olivecart_decisions::{Idempotency, Nanos};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// A client's request over all of its attempts.
struct Request {
    generation: u32,
    class: u16,
    tenant: u16,
    arrived_at: Nanos,
    work: u64,
    /// Whether the request exceeds its tenant's share.
    over_share: bool,
    /// The number of the current attempt.
    attempt: u8,
    /// The proxy that the current attempt was sent to.
    proxy: Option<u32>,
    /// The outcome of the current attempt, once it has ended.
    outcome: Option<RequestOutcome>,
}

/// The first execution of a request that is not idempotent.
struct Execution {
    group: u64,
    at: Nanos,
    /// Whether a second effect was already counted.
    counted: bool,
}

/// A token bucket: the requests that a tenant may still send within its share.
#[derive(Clone, Copy)]
struct Allowance {
    requests: f64,
    updated_at: Nanos,
}

/// A client node: one stream of requests.
pub struct Clients {
    node: u32,
    zone: u16,
    /// Requests per second.
    rate: f64,
    requests: Vec<Option<Request>>,
    free_slots: Vec<u32>,
    generation: u32,
    /// Cumulative shares of the classes.
    class_shares: Vec<f64>,
    /// The shares of the tenants in the usual traffic.
    tenant_traffic: Vec<f64>,
    /// The allowance of each tenant.
    allowances: Vec<Allowance>,
    executions: FxHashMap<ClientRequestId, Execution>,
    /// The times at which executions are forgotten, oldest first.
    expiring_executions: VecDeque<(Nanos, ClientRequestId)>,
    offered: u64,
    ended: u64,
}

impl Clients {
    /// Creates a stream and schedules its first arrival.
    pub fn new(node: u32, context: &mut Context) -> Clients {
        let topology = context.topology;
        let scenario = &topology.scenario;
        let traffic = |tenant: &Tenant| tenant.traffic.unwrap_or(tenant.share);
        let allowance = Allowance { requests: 1.0, updated_at: 0 };
        let clients = Clients {
            node,
            zone: topology.zone_of(node),
            rate: topology.rate / f64::from(topology.clients),
            requests: Vec::new(),
            free_slots: Vec::new(),
            generation: 0,
            class_shares: cumulative(scenario.class.iter().map(|class| class.share)),
            tenant_traffic: scenario.tenant.iter().map(traffic).collect(),
            allowances: vec![allowance; scenario.tenant.len()],
            executions: FxHashMap::default(),
            expiring_executions: VecDeque::new(),
            offered: 0,
            ended: 0,
        };
        clients.schedule_arrival(context);
        clients
    }

    /// Handles one event.
    pub fn handle(&mut self, context: &mut Context, message: Message) {
        match message {
            Message::ClientArrives => self.client_arrives(context),
            Message::Response(request, attempt, outcome) => {
                self.attempt_ended(context, request, attempt, outcome);
            }
            // At the deadline a client only stops waiting; the proxy is responsible for responding in time.
            Message::ClientTimesOut(request, attempt) => {
                self.attempt_ended(context, request, attempt, RequestOutcome::Failed);
            }
            Message::ClientDisconnects(request, attempt) => self.disconnect(context, request, attempt),
            Message::ClientRetries(request) => self.send_attempt(context, request),
            Message::EffectExecuted(request, group) => self.effect_executed(context, request, group),
            _ => {
                context.thread.counters.record_violation("clients received a message of another kind of node")
            }
        }
    }

    fn request_mut(&mut self, id: ClientRequestId) -> Option<&mut Request> {
        let request = self.requests.get_mut(id.slot as usize)?.as_mut()?;
        (request.generation == id.generation).then_some(request)
    }

    /// Stores a request and returns its id.
    fn store(&mut self, request: Request) -> ClientRequestId {
        let generation = request.generation;
        let slot = if let Some(slot) = self.free_slots.pop() {
            self.requests[slot as usize] = Some(request);
            slot
        } else {
            self.requests.push(Some(request));
            self.requests.len() as u32 - 1
        };
        ClientRequestId { node: self.node, slot, generation }
    }

    /// Ends a request and counts how it ended.
    fn end(&mut self, context: &mut Context, id: ClientRequestId, outcome: RequestOutcome) {
        let Some(request) = self.requests[id.slot as usize].take() else { return };
        self.free_slots.push(id.slot);
        self.ended += 1;
        context.thread.open_requests -= 1;
        let class = &context.topology.classes[request.class as usize];
        let took = context.now - request.arrived_at;
        let in_time = took <= class.settings.latency_objective;
        let factor = if request.over_share { context.topology.scenario.over_share_worth } else { 1.0 };
        let scaled = |worth: u64| (worth as f64 * factor).round() as u64;
        let served = match outcome {
            RequestOutcome::Served(_) if in_time => scaled(class.worth),
            RequestOutcome::Served(_) => scaled(class.late_worth),
            _ => 0,
        };
        context.thread.counters.request_completed(&CompletedRequest {
            class: request.class,
            tenant: request.tenant,
            arrived: request.arrived_at,
            took,
            outcome,
            in_time,
            asked: scaled(class.worth),
            served,
            // Requests beyond the tenant's share count in the totals, but not for the tenant.
            over_share: request.over_share,
        });
    }

    /// Handles the execution of a request at a server. A second execution counts as a second effect, unless
    /// it was deduplicated by the request's key.
    fn effect_executed(&mut self, context: &mut Context, id: ClientRequestId, group: u64) {
        self.forget_executions(context.now);
        let classes = &context.topology.classes;
        let longest_deadline = classes.iter().map(|class| class.settings.client_deadline).max().unwrap_or(0);
        let widest_window =
            classes.iter().map(|class| deduplication_window(class.settings.idempotency)).max().unwrap_or(0);
        let Some(first) = self.executions.get_mut(&id) else {
            self.executions.insert(id, Execution { group, at: context.now, counted: false });
            let forgotten_at = context.now + 2 * (longest_deadline + widest_window);
            self.expiring_executions.push_back((forgotten_at, id));
            return;
        };
        let was_deduplicated =
            widest_window > 0 && first.group == group && context.now <= first.at + widest_window;
        if !was_deduplicated && !first.counted {
            first.counted = true;
            context.thread.counters.second_effect_detected();
        }
    }

    fn forget_executions(&mut self, now: Nanos) {
        while let Some(&(_, id)) = self.expiring_executions.front().filter(|(at, _)| *at <= now) {
            self.expiring_executions.pop_front();
            self.executions.remove(&id);
        }
    }

    /// Whether every request has ended or is open.
    pub fn has_consistent_counts(&self) -> bool {
        self.offered == self.ended + self.open() as u64
    }

    /// The number of open requests.
    pub fn open(&self) -> usize {
        self.requests.len() - self.free_slots.len()
    }
}

fn deduplication_window(idempotency: Idempotency) -> Nanos {
    match idempotency {
        Idempotency::Keyed { window, .. } => window,
        Idempotency::Idempotent | Idempotency::NonIdempotent => 0,
    }
}
