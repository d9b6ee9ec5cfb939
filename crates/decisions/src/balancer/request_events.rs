//! Handling of requests: admission, endpoint selection or queueing, the ends of attempts, completion.

use super::Balancer;
use crate::admission::AdmissionRequest;
use crate::endpoint_selection::EndpointSelection;
use crate::event::{Action, AttemptEnd, Request, Timer};
use crate::health_check;
use crate::id::{Nanos, RequestId};
use crate::in_flight::{Attempt, InFlightRequest};
use crate::request_queue::{MAX_FAILED_DRAIN_ATTEMPTS, QueueDeadlines};
use crate::retry_policy::AttemptPermit;

impl Balancer {
    pub(super) fn on_request_arrived(&mut self, request: &Request, actions: &mut Vec<Action>) {
        let class = self.track_request(request);
        self.retry_budget.deposit();
        match self.retry_after_if_rejected(request, class) {
            Some(retry_after) => self.complete_request(request.id, retry_after, actions),
            None => self.dispatch_or_queue(request.id, actions),
        }
    }

    /// Adds a request to the requests in flight and returns the index of its class.
    fn track_request(&mut self, request: &Request) -> usize {
        let class = (request.class.0 as usize).min(self.latencies.classes.len() - 1);
        let latency_objective = self.settings.classes[class].latency_objective;
        let work_scale = self.latencies.work_scale(class, request.estimated_work);
        let in_flight = InFlightRequest {
            class,
            work_scale,
            work: self.latencies.expected_duration(class, work_scale),
            deadline: self.now + request.time_left,
            queue_deadlines: QueueDeadlines::new(self.now, request.time_left, latency_objective),
            attempts: Vec::new(),
            response_started: false,
        };
        self.requests.insert(request.id, in_flight);
        class
    }

    /// Returns `None` if the request is admitted, otherwise the delay before the client may retry. Quotas
    /// are counted in every tier, but load is shed only in the first.
    fn retry_after_if_rejected(&mut self, request: &Request, class: usize) -> Option<Nanos> {
        let over_quota = request.tenant.is_some_and(|tenant| {
            self.admission.is_over_quota(self.now, tenant.0 as usize, &self.settings, &mut self.rng)
        });
        if self.settings.tier != 0 {
            return None;
        }
        let request = AdmissionRequest { class, over_quota, in_flight: self.requests.len() };
        self.admission.rejects(self.now, &request, &self.settings, &self.latencies)
    }

    /// Sends a new request, or queues it if no endpoint can be selected now. The time in the queue is
    /// limited, because a client that is rejected shortly before its deadline has no time left to retry
    /// elsewhere.
    fn dispatch_or_queue(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if self.dispatch(id, actions) {
            return;
        }
        let Some(request) = self.requests.get(&id) else { return };
        debug_assert!(request.attempts.is_empty(), "a retry is never queued");
        let any_available = self.endpoints.iter().any(super::super::endpoint::Endpoint::is_available);
        let deadline = request.queue_deadlines.current(any_available);
        // A rest of up to two clock steps counts as no time left: no timer would fire and no attempt start
        // in it.
        let time_left = deadline.saturating_sub(self.now + 2 * self.settings.clock_granularity);
        if time_left == 0 {
            return self.complete_request(id, self.retry_after_unavailable(), actions);
        }
        let recheck_delay = time_left.min(self.settings.limits.connect_timeout);
        self.set_timer(recheck_delay, Timer::Request(id), actions);
        self.queue.insert(id);
    }

    /// Sends queued requests, oldest first. A few requests that cannot be sent do not block the others.
    /// After [`MAX_FAILED_DRAIN_ATTEMPTS`] of them the rest is not tried, since probably none can be sent.
    pub(super) fn drain_queue(&mut self, actions: &mut Vec<Action>) {
        let mut previous = None;
        let mut failures = 0;
        while failures < MAX_FAILED_DRAIN_ATTEMPTS {
            let Some(id) = self.queue.next_after(previous) else { return };
            debug_assert!(self.requests.contains_key(&id), "{id:?} is queued and has ended");
            failures += u32::from(!self.dispatch(id, actions));
            previous = Some(id);
        }
    }

    /// Sends an attempt if one is permitted and an endpoint can be selected. Returns whether it was sent.
    fn dispatch(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let permit = AttemptPermit::of(request, self.settings.classes[request.class].idempotency);
        if !request.has_attempts_left(self.settings.limits.max_attempts as usize)
            || self.now >= permit.until
            || self.now >= request.deadline
        {
            return false;
        }
        let selection = EndpointSelection {
            now: self.now,
            settings: &self.settings,
            endpoints: &mut self.endpoints,
            sent_work: &mut self.sent_work,
            mean_work: self.latencies.mean_over_responses(),
            request,
            permit: &permit,
        };
        let Some(slot) = selection.select() else { return false };
        self.start_attempt(id, slot, permit.until, actions);
        true
    }

    fn start_attempt(&mut self, id: RequestId, slot: usize, until: Nanos, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        debug_assert!(self.settings.limits.hedging_enabled || !request.has_attempt_in_flight());
        debug_assert!(!request.was_sent_to(slot), "no endpoint gets a request twice");
        let start_by = until.min(request.deadline);
        let work = request.work;
        let overdue_after = self.attempt_overdue_after(request, request.attempts.len());
        let endpoint = &mut self.endpoints[slot];
        let mean_work = self.latencies.mean_over_responses();
        endpoint.on_attempt_started(work / mean_work, self.now + overdue_after);
        let attempt = Action::StartAttempt { request: id, endpoint: endpoint.entry.id, timeout: 0, start_by };
        actions.push(attempt);
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts.push(Attempt { slot, sent_at: self.now, outcome: None });
        }
        self.queue.remove(id);
        self.sent_work.add(self.now, self.settings.rules.poll_interval as f64, work);
        self.set_timer(overdue_after, Timer::Request(id), actions);
    }

    fn attempt_overdue_after(&self, request: &InFlightRequest, attempt: usize) -> Nanos {
        let connect_timeout = self.settings.limits.connect_timeout;
        self.latencies.overdue_after(request.class, request.work, attempt, connect_timeout)
    }

    pub(super) fn on_response_started(&mut self, id: RequestId, attempt: u32, actions: &mut Vec<Action>) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.response_started = true;
        }
        self.cancel_attempts(id, Some(attempt), actions);
    }

    pub(super) fn on_attempt_ended(&mut self, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let slot = end.endpoint.0 as usize;
        let Some(endpoint) = self.endpoints.get_mut(slot) else { return };
        endpoint.on_attempt_ended();
        if let Some(request) = self.requests.get_mut(&end.request)
            && let Some(attempt) = request.attempts.get_mut(end.attempt as usize)
        {
            attempt.outcome = Some(end.outcome);
        }
        self.record_outcome(slot, end, actions);
        self.retry_or_complete(end, actions);
        self.drain_queue(actions);
    }

    /// Retries or completes a request after an attempt ended.
    fn retry_or_complete(&mut self, end: &AttemptEnd, actions: &mut Vec<Action>) {
        if end.request_completed {
            return self.remove_request(end.request, actions);
        }
        let Some(request) = self.requests.get(&end.request) else { return };
        if request.response_started || request.has_attempt_in_flight() {
            return;
        }
        if !self.retry_budget.allows_retry_after(end.outcome) || !self.dispatch(end.request, actions) {
            return self.complete_request(end.request, self.retry_after_unavailable(), actions);
        }
        if !end.outcome.was_never_executed() {
            self.retry_budget.withdraw();
        }
    }

    /// Handles a request's timer: dispatches a queued request again, or handles an overdue attempt.
    pub(super) fn on_request_timer(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|request| request.is_waiting()) else { return };
        let Some(attempt) = request.attempts.last() else { return self.dispatch_or_queue(id, actions) };
        let overdue_at = attempt.sent_at + self.attempt_overdue_after(request, request.attempts.len() - 1);
        if overdue_at > self.now {
            // The latency estimate has changed since the timer was set.
            return self.set_timer(overdue_at - self.now, Timer::Request(id), actions);
        }
        let slot = attempt.slot;
        // An endpoint that accepts work and never responds hangs. An endpoint that has responded since is
        // only slow. If all responses are slow, requests are queueing, and cancelling would lengthen the
        // queue.
        let has_responded_since = self.endpoints[slot].latency.last_response_at > attempt.sent_at;
        let is_hanging = !has_responded_since && self.latencies.responses_are_fast();
        if is_hanging && !self.endpoints[slot].outlier.is_ejected() {
            self.eject(slot, actions);
        }
        self.hedge_or_cancel(id, is_hanging, actions);
    }

    /// Starts a hedged attempt for an overdue request. If hedging is disabled, cancels the overdue attempt
    /// of a hanging endpoint instead, so that its end leads to a retry.
    fn hedge_or_cancel(&mut self, id: RequestId, is_hanging: bool, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let permit = AttemptPermit::of(request, self.settings.classes[request.class].idempotency);
        if !self.retry_budget.has_token() || permit.until <= self.now {
            return;
        }
        if self.settings.limits.hedging_enabled {
            if self.dispatch(id, actions) {
                self.retry_budget.withdraw();
            }
        } else if is_hanging {
            // Only if hanging: cancelling slow attempts while all are slow would waste their work twice.
            self.cancel_attempts(id, None, actions);
        }
    }

    /// Cancels the attempts of a request that are in flight, except `kept`.
    fn cancel_attempts(&self, id: RequestId, kept: Option<u32>, actions: &mut Vec<Action>) {
        if !self.settings.limits.cancellation_enabled {
            return;
        }
        let Some(request) = self.requests.get(&id) else { return };
        for (attempt, number) in request.attempts.iter().zip(0..) {
            if attempt.is_in_flight() && Some(number) != kept {
                actions.push(Action::CancelAttempt { request: id, attempt: number });
            }
        }
    }

    /// Returns the retry delay for a client whose request could not be sent to any endpoint.
    fn retry_after_unavailable(&self) -> Nanos {
        health_check::recheck_delay(self.settings.rules.poll_interval)
    }

    /// Completes a request without a response of an endpoint: sheds it if a retry is harmless, otherwise
    /// fails it.
    fn complete_request(&mut self, id: RequestId, retry_after: Nanos, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let permit = AttemptPermit::of(request, self.settings.classes[request.class].idempotency);
        let retry_after = retry_after.min(self.settings.limits.max_retry_after);
        let response =
            if permit.may_shed { Action::Shed { request: id, retry_after } } else { Action::Fail(id) };
        actions.push(response);
        self.remove_request(id, actions);
    }

    /// Removes a request that has ended and cancels its attempts in flight.
    pub(super) fn remove_request(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        self.cancel_attempts(id, None, actions);
        self.requests.remove(&id);
        self.queue.remove(id);
    }
}
