//! A machine: a server, a proxy, or a server with the proxy for its calls to the next tier, which starts and
//! stops with it.
//!
//! The machine forwards events to its server and its proxy, and applies the effects that the server requests.
//! A server and its proxy interact only through their machine.

use super::context::Context;
use super::message::{Attempt, AttemptResponse, MachineChange, Message, ProxyRequest, RequestOutcome};
use super::network;
use super::proxy::{Origin, Proxy};
use super::server::{Server, ServerEffect, with_noise};
use super::topology::{ServerSpec, Topology};
use olivecart_decisions::{DeduplicationScope, Idempotency, Outcome};

/// A machine.
pub struct Machine {
    /// The number of the machine.
    pub number: u32,
    node: u32,
    /// The server, if the machine has one.
    pub server: Option<Server>,
    /// The proxy, if the machine has one.
    pub proxy: Option<Proxy>,
}

impl Machine {
    /// Creates a machine at the start of a run and schedules its faults.
    pub fn new(number: u32, context: &mut Context) -> Machine {
        let topology = context.topology;
        let spec = &topology.machines[number as usize];
        let server = spec.server.map(|(tier, slot)| Server::new(tier, slot, context));
        let proxy = spec.proxy.map(|(tier, index)| Proxy::new(topology, number, tier, index));
        let mut machine = Machine { number, node: topology.machine_node(number), server, proxy };
        for &(at, change) in &topology.timeline.changes[number as usize] {
            context.outbox.schedule(at, Message::MachineChanges(change));
        }
        let is_up = machine.is_server_up();
        if let Some(proxy) = machine.proxy.as_mut().filter(|_| is_up) {
            proxy.start(context);
        }
        machine.broadcast_state(context);
        machine
    }

    /// Whether its server is running; `true` if it has none.
    fn is_server_up(&self) -> bool {
        self.server.as_ref().is_none_or(Server::runs)
    }

    /// Handles one event.
    pub fn handle(&mut self, context: &mut Context, message: Message) {
        let mut effects = Vec::new();
        match message {
            Message::MachineChanges(change) => self.change(context, change, &mut effects),
            Message::Request(request) => self.request_arrived(context, request),
            Message::Attempt(attempt) => self.attempt_arrived(context, attempt, &mut effects),
            Message::HealthCheck(proxy, number) => self.health_check(context, proxy, number),
            other => self.handle_at_server_or_proxy(context, other, &mut effects),
        }
        self.apply_effects(context, effects);
        self.broadcast_state(context);
    }

    fn handle_at_server_or_proxy(
        &mut self,
        context: &mut Context,
        message: Message,
        effects: &mut Vec<ServerEffect>,
    ) {
        match (message, &mut self.server) {
            (Message::ServerPauses, Some(server)) => server.pause(context),
            (Message::WorkCompleted { job, generation }, Some(server)) => {
                server.part_completed(context, job, generation, effects);
            }
            (Message::CancelAttempt(id), Some(server)) => server.cancel_attempt(context, id, effects),
            (Message::ConnectionsClosed(closed), Some(server)) => {
                server.connections_closed(context.topology, context.now, closed);
            }
            (
                Message::ServerPauses
                | Message::WorkCompleted { .. }
                | Message::CancelAttempt(_)
                | Message::ConnectionsClosed(_),
                None,
            ) => {}
            (other, _) => self.handle_at_proxy(context, other),
        }
    }

    fn handle_at_proxy(&mut self, context: &mut Context, message: Message) {
        let Some(proxy) = &mut self.proxy else { return };
        match message {
            Message::ClientDisconnected(request, attempt) => {
                proxy.client_disconnected(context, request, attempt);
            }
            Message::DeadlineExpired(request) => proxy.deadline_expired(context, request),
            Message::ResponseOverdue(request) => proxy.response_overdue(context, request),
            Message::PolicyTimer(timer, incarnation) => proxy.policy_timer(context, timer, incarnation),
            Message::AttemptTimedOut { request, number, outcome } => {
                proxy.attempt_timed_out(context, request, number, outcome);
            }
            Message::HealthCheckTimedOut(number) => {
                proxy.health_check_completed(context, number, Outcome::Timeout, None);
            }
            Message::HealthCheckResponse(number, outcome, load) => {
                proxy.health_check_completed(context, number, outcome, load);
            }
            Message::SweepIdleConnections(incarnation) => proxy.sweep_idle_connections(context, incarnation),
            Message::SampleEndpointHealth => proxy.sample_endpoint_health(context),
            Message::AttemptResponse(response) => proxy.response_received(context, response),
            Message::DiscoveryUpdate(update) => proxy.discovery_update(context, update),
            _ => context
                .thread
                .counters
                .record_violation("a machine received a message of another kind of node"),
        }
    }

    fn request_arrived(&mut self, context: &mut Context, request: ProxyRequest) {
        let ProxyRequest { client_request, attempt, .. } = request;
        if let Some(proxy) = self.proxy.as_mut().filter(|proxy| proxy.runs()) {
            let origin = Origin::Client { request: client_request, attempt };
            proxy.accept_request(context, request, origin);
        } else {
            let at = context.now + network::draw_client_delay(context.topology, context.rng);
            let response = Message::Response(client_request, attempt, RequestOutcome::Unreachable);
            context.outbox.send(client_request.node, at, response);
        }
    }

    fn attempt_arrived(&mut self, context: &mut Context, attempt: Attempt, effects: &mut Vec<ServerEffect>) {
        let Some(server) = &mut self.server else { return };
        let had_fallen_over = server.counters.fell_over;
        server.attempt_arrived(context, attempt, effects);
        if server.counters.fell_over && !had_fallen_over {
            self.report_cold_overload(context, attempt.id.proxy);
        }
    }

    fn change(&mut self, context: &mut Context, change: MachineChange, effects: &mut Vec<ServerEffect>) {
        if let Some(server) = &mut self.server {
            server.change(context, change, effects);
        }
        let is_up = self.is_server_up();
        match (change, &mut self.proxy) {
            (MachineChange::Die { silent }, Some(proxy)) => proxy.die(context, silent),
            (MachineChange::Start, Some(proxy)) if is_up && !proxy.runs() => proxy.start(context),
            _ => {}
        }
    }

    fn health_check(&mut self, context: &mut Context, proxy: u32, number: u64) {
        let Some(server) = &mut self.server else { return };
        let (outcome, responds_at, load) = server.health_check(context.topology, context.now);
        let at = responds_at + network::draw_delay(context.topology, self.node, proxy, context.rng);
        if network::reaches(context.topology, self.node, proxy, at) {
            context.outbox.send(proxy, at, Message::HealthCheckResponse(number, outcome, load));
        }
    }

    /// Applies the effects that the server requests, and those that result from them, until none is left.
    fn apply_effects(&mut self, context: &mut Context, mut effects: Vec<ServerEffect>) {
        loop {
            for effect in std::mem::take(&mut effects) {
                self.apply_effect(context, effect);
            }
            let Some(proxy) = &mut self.proxy else { break };
            let finished_calls = proxy.take_finished_calls();
            let Some(server) = &mut self.server else { break };
            for call in finished_calls {
                server.call_completed(context, call, &mut effects);
            }
            if effects.is_empty() {
                break;
            }
        }
    }

    fn apply_effect(&mut self, context: &mut Context, effect: ServerEffect) {
        match effect {
            ServerEffect::Respond { proxy, response } => self.respond(context, proxy, response),
            ServerEffect::CallNextTier { job, generation, attempt } => {
                self.call_next_tier(context, job, generation, &attempt);
            }
            ServerEffect::CancelCall { request } => {
                if let Some(proxy) = &mut self.proxy {
                    proxy.abort(context, request);
                }
            }
            ServerEffect::Executed(attempt) => self.report_execution(context, &attempt),
        }
    }

    fn respond(&mut self, context: &mut Context, proxy: u32, mut response: AttemptResponse) {
        let noise = self.report_noise(context.topology);
        response.load = with_noise(response.load, noise, context.rng);
        let at = context.now + network::draw_delay(context.topology, self.node, proxy, context.rng);
        if network::reaches(context.topology, self.node, proxy, at) {
            context.outbox.send(proxy, at, Message::AttemptResponse(response));
        }
    }

    fn call_next_tier(&mut self, context: &mut Context, job: u32, generation: u32, attempt: &Attempt) {
        let class = &context.topology.classes[attempt.class as usize];
        let own_deadline = context.now + class.settings.client_deadline;
        let passes_deadline = context.topology.scenario.limits.passes_deadline;
        let call = ProxyRequest {
            client_request: attempt.client_request,
            attempt: 0,
            class: attempt.class,
            tenant: attempt.tenant,
            is_retry: false,
            deadline: if passes_deadline { attempt.deadline } else { own_deadline },
            work: attempt.work,
        };
        let Some(proxy) = &mut self.proxy else { return };
        let number = proxy.accept_request(context, call, Origin::Job { job, generation });
        if let (Some(number), Some(server)) = (number, &mut self.server) {
            server.call_started(job, generation, number);
        }
    }

    /// Notifies the client that a request had its effect at this server.
    fn report_execution(&self, context: &mut Context, attempt: &Attempt) {
        let is_first_tier = self.server_tier(context.topology) == Some(0);
        let idempotency = context.topology.classes[attempt.class as usize].settings.idempotency;
        if is_first_tier && idempotency != Idempotency::Idempotent {
            let at = context.now + network::draw_client_delay(context.topology, context.rng);
            let group = self.deduplication_group(context.topology, idempotency);
            let executed = Message::EffectExecuted(attempt.client_request, group);
            context.outbox.send(attempt.client_request.node, at, executed);
        }
    }

    fn server_tier(&self, topology: &Topology) -> Option<u8> {
        topology.machines[self.number as usize].server.map(|(tier, _)| tier)
    }

    fn server_spec<'a>(&self, topology: &'a Topology) -> Option<&'a ServerSpec> {
        let (tier, slot) = topology.machines[self.number as usize].server?;
        Some(&topology.tiers[tier as usize].servers[slot as usize])
    }

    /// The number of the deduplication group, within which a retry of the request has no second effect.
    fn deduplication_group(&self, topology: &Topology, idempotency: Idempotency) -> u64 {
        let Some(spec) = self.server_spec(topology) else { return 0 };
        match idempotency {
            Idempotency::Keyed { scope: DeduplicationScope::Zone, .. } => u64::from(spec.zone),
            Idempotency::Keyed { scope: DeduplicationScope::Cell, .. } => spec.cell,
            _ => 0,
        }
    }

    fn report_noise(&self, topology: &Topology) -> f64 {
        let server = topology.machines[self.number as usize].server;
        let report = server.and_then(|(tier, slot)| topology.kind(tier, slot).report);
        report.map_or(0.0, |report| report.noise)
    }

    /// Reports that the server was overloaded while cold; `last_proxy` sent the last attempt.
    fn report_cold_overload(&self, context: &mut Context, last_proxy: u32) {
        let Some(server) = self.server.as_ref().filter(|server| server.was_overloaded_while_cold()) else {
            return;
        };
        let Some(spec) = self.server_spec(context.topology) else { return };
        let age_ms = (context.now - server.started()) as f64 / 1e6;
        let pressure = server.describe_pressure();
        let what = format!("{} was overloaded {age_ms:.0} ms after its start: {pressure}", spec.name);
        let proxy = context.topology.proxy_name(last_proxy - context.topology.clients);
        context.thread.counters.cold_server_overloaded(context.now, proxy, what);
    }

    fn broadcast_state(&self, context: &mut Context) {
        if context.topology.policy_sees_true_state
            && let Some(server) = &self.server
        {
            context.outbox.broadcast(server.state_broadcast(context.topology, context.now));
        }
    }

    /// Whether the counters of its server and its proxy account for every request.
    pub fn has_consistent_counts(&self) -> bool {
        self.server.as_ref().is_none_or(Server::has_consistent_counts)
            && self.proxy.as_ref().is_none_or(Proxy::has_plausible_counts)
    }
}
