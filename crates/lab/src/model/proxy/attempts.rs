//! The attempts of a proxy: how they are sent, and how they end.

use super::{AttemptRecord, IdleConnection, OpenRequest, Proxy};
use crate::model::context::Context;
use crate::model::message::{Attempt, AttemptId, AttemptResponse, Message, ProxyRequest, RequestOutcome};
use crate::model::monitor::{Rule, Subject, TraceEvent};
use crate::model::network;
use crate::model::topology::Topology;
use olivecart_decisions::{
    AttemptEnd, DeduplicationScope, EndpointId, Event, Idempotency, LoadReport, Nanos, Outcome, RequestId,
};
use rand::Rng;

/// The result of an attempt.
pub(super) struct AttemptResult {
    outcome: Outcome,
    /// The work done for the response in all tiers.
    work: u64,
    load: Option<LoadReport>,
}

impl AttemptResult {
    fn without_response(outcome: Outcome) -> AttemptResult {
        AttemptResult { outcome, work: 0, load: None }
    }
}

impl Proxy {
    /// Handles the response to an attempt.
    pub fn response_received(&mut self, context: &mut Context, response: AttemptResponse) {
        let AttemptResponse { request, number, outcome, connection_incarnation, work, load } = response;
        let attempt = self.attempt(request, number).filter(|attempt| attempt.is_in_flight());
        let Some(endpoint) = attempt.map(|attempt| attempt.endpoint) else {
            // The attempt was abandoned, and its connection was closed.
            return;
        };
        if let Some(incarnation) = connection_incarnation {
            let connection = IdleConnection { since: context.now, incarnation };
            self.idle.entry(endpoint).or_default().push(connection);
        }
        self.attempt_ended(context, request, number, AttemptResult { outcome, work, load });
    }

    /// Handles the timeout of an attempt.
    pub fn attempt_timed_out(&mut self, context: &mut Context, request: u64, number: u32, outcome: Outcome) {
        self.abandon_attempt(context, request, number, outcome);
    }

    fn attempt(&self, request: u64, number: u32) -> Option<&AttemptRecord> {
        self.open_requests.get(&request)?.attempts.get(number as usize)
    }

    fn attempt_mut(&mut self, request: u64, number: u32) -> Option<&mut AttemptRecord> {
        self.open_requests.get_mut(&request)?.attempts.get_mut(number as usize)
    }

    /// Starts an attempt for the policy; a timeout of 0 means no timeout.
    pub(super) fn start_attempt(
        &mut self,
        context: &mut Context,
        request: u64,
        endpoint: u32,
        timeout: Nanos,
    ) {
        let number = self.open_requests.get(&request).map_or(0, |open| open.attempts.len() as u32);
        self.monitor.record(context.now, TraceEvent::Sent(request, number, endpoint));
        if !self.check_rules(context, request, endpoint) {
            return;
        }
        let Some(open) = self.open_requests.get_mut(&request) else { return };
        open.attempts.push(AttemptRecord {
            endpoint,
            sent_at: context.now,
            arrives_at: context.now,
            outcome: None,
        });
        if number >= context.topology.scenario.limits.max_attempts {
            let not_sent = AttemptResult::without_response(Outcome::NotSent);
            return self.attempt_ended(context, request, number, not_sent);
        }
        let call = open.call;
        if timeout > 0 && context.now + timeout < call.deadline {
            let timed_out = Message::AttemptTimedOut { request, number, outcome: Outcome::Timeout };
            context.outbox.schedule(context.now + timeout, timed_out);
        }
        context.thread.counters.attempt_sent(context.now, self.tier);
        let id = AttemptId { proxy: self.node, request, number };
        let arrives_at = self.transmit(context, &call, id, endpoint);
        if let Some(attempt) = self.attempt_mut(request, number) {
            attempt.arrives_at = arrives_at;
        }
    }

    /// Reports the rules that an attempt breaks. Returns `false` if the attempt cannot be sent at all.
    fn check_rules(&mut self, context: &Context, request: u64, endpoint: u32) -> bool {
        let subject = Subject { request: Some(request), server: Some(endpoint) };
        if endpoint as usize >= context.topology.tiers[self.tier as usize].servers.len() {
            let what = format!("request {request} was sent to server {endpoint}, which does not exist");
            self.report_breach(context, Rule::Drain, subject, what);
            return false;
        }
        let Some(open) = self.open_requests.get(&request).filter(|open| !open.ended) else {
            let what = format!("request {request} was sent to server {endpoint} after it had ended");
            self.report_breach(context, Rule::Answer, subject, what);
            return false;
        };
        let is_concurrent = open.in_flight() > 0;
        let violation = self.effect_violation(context.topology, context.now, open, endpoint);
        if is_concurrent {
            let what = format!(
                "request {request} was sent to server {endpoint} while another attempt was in flight"
            );
            self.report_breach(context, Rule::Effect, subject, what);
        }
        if let Some(why) = violation {
            let what = format!("request {request}, which may have run, was sent to server {endpoint}: {why}");
            self.report_breach(context, Rule::Effect, subject, what);
        }
        let grace = context.topology.scenario.rules.drain_grace.nanos();
        let withdrawal = self.not_ready.get(&endpoint).copied();
        if let Some(withdrawal) = withdrawal.filter(|withdrawal| context.now > withdrawal.notified_at + grace)
        {
            let ms = (context.now - withdrawal.notified_at) as f64 / 1e6;
            let what = format!(
                "request {request} was sent to server {endpoint} {ms:.1} ms after it was listed as {:?}",
                withdrawal.state
            );
            self.report_breach(context, Rule::Drain, subject, what);
        }
        true
    }

    /// Returns why an attempt at a server breaks [`Rule::Effect`], or `None` if it does not.
    fn effect_violation(
        &self,
        topology: &Topology,
        now: Nanos,
        open: &OpenRequest,
        endpoint: u32,
    ) -> Option<String> {
        let first = open.attempts.iter().find(|attempt| attempt.may_have_run())?;
        match topology.classes[open.call.class as usize].settings.idempotency {
            Idempotency::Idempotent => None,
            Idempotency::NonIdempotent => Some("its class has effect `once`".into()),
            Idempotency::Keyed { scope, window } => {
                let servers = &topology.tiers[self.tier as usize].servers;
                let earlier = &servers[first.endpoint as usize];
                let target = &servers[endpoint as usize];
                let is_same_group = match scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => earlier.zone == target.zone,
                    DeduplicationScope::Cell => earlier.cell == target.cell,
                };
                if !is_same_group {
                    return Some(format!(
                        "server {}, which may have run it, is in another deduplication group",
                        first.endpoint
                    ));
                }
                (now > first.sent_at + window).then(|| "its deduplication window has passed".into())
            }
        }
    }

    /// Sends an attempt on an idle connection or a new one. Returns its arrival time.
    fn transmit(
        &mut self,
        context: &mut Context,
        call: &ProxyRequest,
        id: AttemptId,
        endpoint: u32,
    ) -> Nanos {
        let topology = context.topology;
        let server = topology.server_node(self.tier, endpoint);
        let connections = &topology.kind(self.tier, endpoint).connections;
        let oldest = context.now.saturating_sub(connections.idle.nanos());
        let last_used = self.idle.get_mut(&endpoint).and_then(Vec::pop);
        let connection = last_used.filter(|connection| connection.since >= oldest);
        let mut delay = network::draw_delay(topology, self.node, server, context.rng);
        if connection.is_none() {
            for _ in 0..2 * connections.handshake_rtts {
                delay += network::draw_delay(topology, self.node, server, context.rng);
            }
        }
        let arrives_at = context.now + delay;
        if !network::reaches(topology, self.node, server, arrives_at) {
            if connection.is_none() {
                self.schedule_connect_failure(context, id);
            }
            return arrives_at;
        }
        let attempt = Attempt {
            id,
            client_request: call.client_request,
            class: call.class,
            tenant: call.tenant,
            deadline: call.deadline,
            work: call.work,
            connection_incarnation: connection.map(|connection| connection.incarnation),
            known_start: self.started.get(&endpoint).copied().unwrap_or(0),
            breaks_connection: self.draw_reset(context),
        };
        context.outbox.send(server, arrives_at, Message::Attempt(attempt));
        arrives_at
    }

    fn schedule_connect_failure(&self, context: &mut Context, id: AttemptId) {
        let at = context.now + context.topology.scenario.limits.connect_timeout.nanos();
        let AttemptId { request, number, .. } = id;
        let failed = Message::AttemptTimedOut { request, number, outcome: Outcome::ConnectFailed };
        context.outbox.schedule(at, failed);
    }

    /// Draws whether the connection of an attempt is reset once the attempt is written.
    fn draw_reset(&self, context: &mut Context) -> bool {
        let base = context.topology.scenario.network.reset_rate;
        let rate = context.topology.timeline.reset_rate(base, self.tier, context.now);
        rate > 0.0 && context.rng.random::<f64>() < rate
    }

    /// Closes the connection of an attempt in flight; the attempt ends with this outcome.
    pub(super) fn abandon_attempt(
        &mut self,
        context: &mut Context,
        request: u64,
        number: u32,
        outcome: Outcome,
    ) {
        let Some(attempt) = self.attempt(request, number).filter(|attempt| attempt.is_in_flight()) else {
            return;
        };
        self.drop_connection(context, request, number, attempt);
        self.attempt_ended(context, request, number, AttemptResult::without_response(outcome));
    }

    pub(super) fn drop_connection(
        &self,
        context: &mut Context,
        request: u64,
        number: u32,
        attempt: &AttemptRecord,
    ) {
        let server = context.topology.server_node(self.tier, attempt.endpoint);
        let delay = network::draw_delay(context.topology, self.node, server, context.rng);
        // The close cannot overtake data that was written before it.
        let at = (context.now + delay).max(attempt.arrives_at + 1);
        if network::reaches(context.topology, self.node, server, at) {
            let id = AttemptId { proxy: self.node, request, number };
            context.outbox.send(server, at, Message::CancelAttempt(id));
        }
    }

    fn attempt_ended(&mut self, context: &mut Context, request: u64, number: u32, result: AttemptResult) {
        let AttemptResult { outcome, work, load } = result;
        let Some(attempt) = self.attempt_mut(request, number) else { return };
        attempt.outcome = Some(outcome);
        let endpoint = attempt.endpoint;
        let duration = context.now - attempt.sent_at;
        self.monitor.record(context.now, TraceEvent::Ended(request, number, endpoint, outcome));
        if outcome == Outcome::Ok && self.is_unanswered(request) {
            self.monitor.record(context.now, TraceEvent::Served(request));
            self.finish(context, request, RequestOutcome::Served(work));
        }
        let request_completed = !self.is_unanswered(request);
        self.forget_if_done(request);
        let end = AttemptEnd {
            request: RequestId(request),
            attempt: number,
            endpoint: EndpointId(endpoint),
            outcome,
            duration,
            request_completed,
            load,
        };
        self.notify_policy(context, Event::AttemptEnded(end));
    }
}
