//! Changes the actions of the decision module according to the bug of a broken policy.

use super::{Broken, Bug, LATE_RESPONSE_DELAY, RedirectedAttempt};
use crate::policy::pool::{EndpointPool, PickRequest};
use olivecart_decisions::{
    Action, AttemptEnd, ClassId, DeduplicationScope, EndpointId, Event, Idempotency, Nanos, Outcome,
    RequestId, Timer,
};
use rand::Rng;

impl Broken {
    /// Forwards an action of the decision module, changed by the bug.
    pub(super) fn forward(&mut self, action: Action, out: &mut Vec<Action>) {
        let id = match &action {
            Action::StartAttempt { request, .. }
            | Action::CancelAttempt { request, .. }
            | Action::Shed { request, .. } => *request,
            Action::Fail(request) => *request,
            _ => return out.push(action),
        };
        match action {
            _ if !self.requests.contains_key(&id) => out.push(action),
            Action::StartAttempt { endpoint, timeout, .. } => self.send(id, endpoint, timeout, out),
            Action::CancelAttempt { attempt, .. } => out.push(self.cancel(id, attempt)),
            response => self.respond(id, response, out),
        }
    }

    /// Handles an attempt that the decision module starts; most bugs take effect here.
    fn send(&mut self, id: RequestId, endpoint: EndpointId, timeout: Nanos, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let is_first = request.attempts_started == 0;
        let deadline = request.deadline;
        let redirect_target = self.redirect_target(request.class, is_first, request.executed_at);
        if is_first && matches!(self.bug, Bug::LosesOne | Bug::AnswersLate) && self.takes_effect() {
            return self.drop_attempt(id, endpoint, deadline, out);
        }
        if self.bug == Bug::AnswersTwice && is_first && self.takes_effect() {
            out.push(Action::Shed { request: id, retry_after: 0 });
            self.update_request(id, |request| request.owes_response = true);
        }
        let number = self.start_attempt(id, redirect_target.unwrap_or(endpoint), timeout, out);
        if redirect_target.is_some() {
            let redirected = RedirectedAttempt { number, believed_endpoint: endpoint };
            self.update_request(id, |request| request.redirected_attempts.push(redirected));
        }
        if self.bug == Bug::SendsTwice && self.takes_effect() {
            self.send_duplicate(id, endpoint, out);
        }
    }

    /// The endpoint to which the bug redirects an attempt, instead of the endpoint that the decision module
    /// chose.
    fn redirect_target(
        &mut self,
        class: ClassId,
        is_first: bool,
        executed_at: Option<EndpointId>,
    ) -> Option<EndpointId> {
        match self.bug {
            Bug::SendsToDraining if is_first && !self.is_confined(class) => self.endpoint_past_drain_grace(),
            Bug::FloodsCold if is_first && !self.is_confined(class) => self.latest_cold_endpoint(),
            Bug::ResendsKeyed => executed_at.and_then(|member| self.endpoint_outside_group(class, member)),
            _ => None,
        }
    }

    fn send_duplicate(&mut self, id: RequestId, endpoint: EndpointId, out: &mut Vec<Action>) {
        let is_other = |pool: &EndpointPool, id: EndpointId| pool.ready().len() < 2 || id != endpoint;
        if let Some(other) = self.random_ready(is_other) {
            self.start_hidden_attempt(id, other, out);
        }
    }

    /// Drops an attempt that the decision module starts, and notifies it that the request has ended.
    fn drop_attempt(&mut self, id: RequestId, endpoint: EndpointId, deadline: Nanos, out: &mut Vec<Action>) {
        if self.bug == Bug::AnswersLate {
            out.push(Action::SetTimer {
                at: deadline.saturating_add(LATE_RESPONSE_DELAY),
                timer: Timer::Request(id),
            });
            self.update_request(id, |request| request.owes_response = true);
        } else {
            self.requests.remove(&id);
        }
        self.pending_events.push(Event::AttemptEnded(AttemptEnd {
            request: id,
            attempt: 0,
            endpoint,
            outcome: Outcome::NotSent,
            duration: 0,
            request_completed: true,
            load: None,
        }));
    }

    /// Starts an attempt and returns its number.
    fn start_attempt(
        &mut self,
        id: RequestId,
        endpoint: EndpointId,
        timeout: Nanos,
        out: &mut Vec<Action>,
    ) -> u32 {
        out.push(Action::StartAttempt { request: id, endpoint, timeout, start_by: Nanos::MAX });
        let Some(request) = self.requests.get_mut(&id) else { return 0 };
        let number = request.attempts_started;
        request.attempts_started += 1;
        request.attempts_in_flight += 1;
        number
    }

    /// Starts an attempt that the decision module does not know of.
    fn start_hidden_attempt(&mut self, id: RequestId, endpoint: EndpointId, out: &mut Vec<Action>) {
        let number = self.start_attempt(id, endpoint, 0, out);
        self.update_request(id, |request| request.hidden_attempts.push(number));
    }

    /// The cancellation of an attempt, with its real number instead of the number that the decision module
    /// uses.
    fn cancel(&self, request: RequestId, believed_number: u32) -> Action {
        let hidden = self.hidden_attempts(request);
        let number = (0..).filter(|number| !hidden.contains(number)).nth(believed_number as usize);
        Action::CancelAttempt { request, attempt: number.unwrap_or(believed_number) }
    }

    /// Handles the final response that the decision module gives to a request.
    fn respond(&mut self, id: RequestId, response: Action, out: &mut Vec<Action>) {
        if self.bug == Bug::LosesOne && self.takes_effect() {
            self.requests.remove(&id);
            return;
        }
        let Some(request) = self.requests.get(&id) else { return };
        if let Some(endpoint) = self.resend_target(request.class, request.deadline, request.executed_at) {
            self.start_hidden_attempt(id, endpoint, out);
            self.update_request(id, |request| request.owes_response = true);
            return;
        }
        self.update_request(id, |request| request.completed = true);
        out.push(response);
    }

    /// The endpoint to which the bug sends a request again although the decision module has ended it.
    fn resend_target(
        &mut self,
        class: ClassId,
        deadline: Nanos,
        executed_at: Option<EndpointId>,
    ) -> Option<EndpointId> {
        if self.bug != Bug::ResendsKeyed || self.now >= deadline {
            return None;
        }
        self.endpoint_outside_group(class, executed_at?)
    }

    // ---- endpoints that the bugs use ----

    /// Draws one of the ready endpoints that match.
    fn random_ready(&mut self, matches: impl Fn(&EndpointPool, EndpointId) -> bool) -> Option<EndpointId> {
        let ready = self.pool.ready().iter().copied();
        let matching: Vec<_> = ready.filter(|id| matches(&self.pool, *id)).collect();
        if matching.is_empty() {
            return None;
        }
        Some(matching[self.rng.random_range(0..matching.len())])
    }

    /// Whether retries of a class have to stay in the cell or zone of the first attempt. Its first attempts
    /// must not be redirected, as the decision module would not know where they went.
    fn is_confined(&self, class: ClassId) -> bool {
        self.confining_scope(class).is_some()
    }

    fn confining_scope(&self, class: ClassId) -> Option<DeduplicationScope> {
        match self.settings.classes.get(class.0 as usize)?.idempotency {
            Idempotency::Keyed { scope: DeduplicationScope::All, .. } => None,
            Idempotency::Keyed { scope, .. } => Some(scope),
            Idempotency::Idempotent | Idempotency::NonIdempotent => None,
        }
    }

    /// An endpoint that ceased to be ready more than twice the grace period ago, if the bug takes effect.
    fn endpoint_past_drain_grace(&mut self) -> Option<EndpointId> {
        let long = 2 * self.settings.rules.drain_grace;
        let now = self.now;
        let mut not_ready = self.not_ready_since.iter();
        let found = not_ready.find(|(_, since)| **since + long < now).map(|(id, _)| *id);
        found.filter(|_| self.takes_effect())
    }

    /// The endpoint that started last, if it is still in slow start.
    fn latest_cold_endpoint(&self) -> Option<EndpointId> {
        let rules = &self.settings.rules;
        let (started_at, id) = self.latest_start?;
        let flood_window = rules.slow_start_window.min(4 * rules.overload_window);
        let is_cold = self.now < started_at.saturating_add(flood_window);
        (is_cold && self.pool.is_ready(id)).then_some(id)
    }

    /// Draws an endpoint outside of the cell or zone to which a keyed request is confined.
    fn endpoint_outside_group(&mut self, class: ClassId, member: EndpointId) -> Option<EndpointId> {
        let scope = self.confining_scope(class)?;
        let within_group = PickRequest {
            now: self.now,
            hash: 0,
            estimated_work: 0,
            excluded: None,
            restricted_to: Some((scope, member)),
        };
        self.random_ready(|pool, id| !pool.allows(&within_group, id))
    }
}
