//! The requests of a proxy, from their arrival to their final response.

use super::{FinishedCall, OpenRequest, Origin, Proxy};
use crate::model::context::Context;
use crate::model::message::{ClientRequestId, Message, ProxyRequest, RequestOutcome};
use crate::model::monitor::{Rule, Subject, TraceEvent};
use crate::model::network;
use crate::model::topology::NO_TENANT;
use olivecart_decisions::{
    ClassId, DeduplicationScope, Event, Idempotency, Nanos, Outcome, Request, RequestId, TenantId,
};

impl Proxy {
    /// Handles the arrival of a request. Returns its number, or `None` if it is refused immediately or the
    /// proxy is down.
    pub fn accept_request(
        &mut self,
        context: &mut Context,
        call: ProxyRequest,
        origin: Origin,
    ) -> Option<u64> {
        self.policy.as_ref()?;
        if self.open_requests.len() >= context.topology.scenario.limits.most_held as usize {
            self.deliver(context, origin, RequestOutcome::Refused(0));
            return None;
        }
        let number = self.next_request;
        self.next_request += 1;
        self.accepted += 1;
        self.monitor.record(context.now, TraceEvent::Accepted(number));
        let request = OpenRequest { origin, call, attempts: Vec::new(), ended: false };
        self.open_requests.insert(number, request);
        if let Origin::Client { request, attempt } = origin {
            self.by_client.insert((request, attempt), number);
        }
        context.outbox.schedule(call.deadline.max(context.now), Message::DeadlineExpired(number));
        let time_left = call.deadline.saturating_sub(context.now);
        let arrived = Request {
            tenant: (call.tenant != NO_TENANT).then_some(TenantId(call.tenant)),
            is_retry: call.is_retry,
            ..Request::new(RequestId(number), ClassId(call.class), time_left)
        };
        self.notify_policy(context, Event::RequestArrived(arrived));
        Some(number)
    }

    /// Handles a client that has closed its connection.
    pub fn client_disconnected(&mut self, context: &mut Context, request: ClientRequestId, attempt: u8) {
        if let Some(&number) = self.by_client.get(&(request, attempt)) {
            self.abort(context, number);
        }
    }

    /// Aborts a request whose caller no longer waits for a response.
    pub fn abort(&mut self, context: &mut Context, number: u64) {
        let Some(request) = self.open_requests.get_mut(&number).filter(|request| !request.ended) else {
            return;
        };
        request.ended = true;
        self.ended += 1;
        self.monitor.record(context.now, TraceEvent::Aborted(number));
        self.notify_policy(context, Event::RequestAborted(RequestId(number)));
        self.forget_if_done(number);
    }

    /// Handles the deadline of a request: its attempts in flight time out.
    pub fn deadline_expired(&mut self, context: &mut Context, number: u64) {
        let Some(request) = self.open_requests.get(&number) else { return };
        let had_ended = request.ended;
        let attempts = request.attempts.len() as u32;
        self.monitor.record(context.now, TraceEvent::Expired(number));
        for attempt in 0..attempts {
            self.abandon_attempt(context, number, attempt, Outcome::Timeout);
        }
        if !had_ended && self.is_unanswered(number) {
            let grace = context.topology.scenario.rules.answer_grace.nanos();
            context.outbox.schedule(context.now + grace + 1, Message::ResponseOverdue(number));
        }
    }

    /// Handles the end of the grace period after a request's deadline. A request without a final response is
    /// a breach.
    pub fn response_overdue(&mut self, context: &mut Context, number: u64) {
        let Some(request) = self.open_requests.get(&number).filter(|request| !request.ended) else { return };
        let origin = request.origin;
        let what = format!("request {number} has no final response after its deadline and the grace period");
        self.report_breach(context, Rule::Answer, Subject::request(number), what);
        self.abort(context, number);
        if let Origin::Job { job, generation } = origin {
            self.finished_calls.push(FinishedCall { job, generation, work: None });
        }
    }

    pub(super) fn is_unanswered(&self, number: u64) -> bool {
        self.open_requests.get(&number).is_some_and(|request| !request.ended)
    }

    /// Sheds a request for the policy.
    pub(super) fn shed(&mut self, context: &mut Context, number: u64, retry_after: Nanos) {
        self.monitor.record(context.now, TraceEvent::Refused(number));
        if self.is_shedding_harmful(context, number) {
            let what = format!("request {number} was refused although it may have run");
            self.report_breach(context, Rule::Effect, Subject::request(number), what);
        }
        self.finish(context, number, RequestOutcome::Refused(retry_after));
    }

    /// Whether a client that retries a shed request could cause a second effect.
    fn is_shedding_harmful(&self, context: &Context, number: u64) -> bool {
        let Some(request) = self.open_requests.get(&number).filter(|request| !request.ended) else {
            return false;
        };
        let class = &context.topology.classes[request.call.class as usize];
        let is_harmless_to_retry = matches!(
            class.settings.idempotency,
            Idempotency::Idempotent | Idempotency::Keyed { scope: DeduplicationScope::All, .. }
        );
        let may_have_run = request.attempts.iter().any(|attempt| attempt.may_have_run());
        may_have_run && !is_harmless_to_retry
    }

    /// Ends a request with its final response.
    pub(super) fn finish(&mut self, context: &mut Context, number: u64, outcome: RequestOutcome) {
        let Some(request) = self.open_requests.get_mut(&number).filter(|request| !request.ended) else {
            let what = format!("request {number} got another response after it had ended");
            return self.report_breach(context, Rule::Answer, Subject::request(number), what);
        };
        request.ended = true;
        let origin = request.origin;
        self.ended += 1;
        self.deliver(context, origin, outcome);
        self.forget_if_done(number);
    }

    /// Forwards a final response to the client or to the job that made the call.
    fn deliver(&mut self, context: &mut Context, origin: Origin, outcome: RequestOutcome) {
        match origin {
            Origin::Client { request, attempt } => {
                self.respond_to_client(context, request, attempt, outcome);
            }
            Origin::Job { job, generation } => {
                let work = match outcome {
                    RequestOutcome::Served(work) => Some(work),
                    _ => None,
                };
                self.finished_calls.push(FinishedCall { job, generation, work });
            }
        }
    }

    pub(super) fn respond_to_client(
        &mut self,
        context: &mut Context,
        request: ClientRequestId,
        attempt: u8,
        outcome: RequestOutcome,
    ) {
        let at = context.now + network::draw_client_delay(context.topology, context.rng);
        if network::reaches(context.topology, self.node, request.node, at) {
            context.outbox.send(request.node, at, Message::Response(request, attempt, outcome));
        }
    }

    /// Forgets a request that has ended and has no attempt in flight.
    pub(super) fn forget_if_done(&mut self, number: u64) {
        let is_done = |request: &OpenRequest| request.ended && request.in_flight() == 0;
        if self.open_requests.get(&number).is_some_and(is_done)
            && let Some(request) = self.open_requests.remove(&number)
            && let Origin::Client { request, attempt } = request.origin
        {
            self.by_client.remove(&(request, attempt));
        }
    }
}
