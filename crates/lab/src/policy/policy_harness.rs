//! The part that all textbook policies share: the endpoint list, the open requests, and the four rules. An
//! [`EndpointPicker`] chooses the endpoint of each request.
//!
//! A request is sent immediately, or shed with a retry-after time if no endpoint is available: no request is
//! queued, and no request timer is set. A failed attempt is retried once, at another endpoint, if the rules
//! permit it. The harness has no health checks and no outlier detection; only the retry of a request avoids
//! the endpoint that failed it. Slow start is ignored as well, as in textbooks, so these policies may
//! overload a cold server: this is a property of the policies, not a bug of the harness.

use super::pick::{EndpointPicker, PolicyRng};
use super::pool::{EndpointPool, PickRequest};
use super::{Policy, PolicyContext};
use olivecart_decisions::{
    Action, AttemptEnd, ClassId, DeduplicationScope, Discovery, EndpointId, EndpointUpdate, Event,
    Idempotency, Nanos, Outcome, Request, RequestId, Settings, Timer,
};
use rand::{Rng, SeedableRng};
use rustc_hash::FxHashMap;
use xxhash_rust::xxh3::xxh3_64;

/// The maximum number of attempts of a request: the first, and one retry.
const MAX_ATTEMPTS: u32 = 2;
/// The wait before the next subscription stops growing after this many consecutive failures.
const MAX_WATCH_BACKOFF_STEPS: u32 = 3;

/// A request that was sent and has no final response yet. Exactly one attempt of it is in flight.
struct OpenRequest {
    class: ClassId,
    /// Whether no further attempt may be started: the response has started, or the proxy did not send the
    /// last attempt.
    retries_exhausted: bool,
    attempts: u32,
    /// The endpoint of the attempt in flight.
    endpoint: EndpointId,
    /// The time at which the attempt in flight was sent.
    sent_at: Nanos,
    /// The first attempt that may have been executed.
    first_execution: Option<PossibleExecution>,
    deadline: Nanos,
    hash: u64,
    estimated_work: Nanos,
}

/// An attempt that may have been executed.
#[derive(Clone, Copy)]
struct PossibleExecution {
    endpoint: EndpointId,
    sent_at: Nanos,
}

/// The actions that the rules permit for a request that has no attempt in flight.
struct Permit {
    /// The time until which it may be sent.
    send_until: Nanos,
    /// The only deduplication group to which it may be sent: that of this endpoint.
    restricted_to: Option<(DeduplicationScope, EndpointId)>,
    /// Whether it may be shed, which signals to the client that a retry is harmless.
    may_shed: bool,
}

impl Permit {
    const UNRESTRICTED: Permit = Permit { send_until: Nanos::MAX, restricted_to: None, may_shed: true };
    const NOTHING: Permit = Permit { send_until: 0, restricted_to: None, may_shed: false };
}

/// A textbook policy: the common part combined with a picker.
pub struct PolicyHarness<P> {
    settings: Settings,
    picker: P,
    pool: EndpointPool,
    /// Only looked up by id and never iterated over, as results must not depend on the order of a hash table.
    open_requests: FxHashMap<RequestId, OpenRequest>,
    rng: PolicyRng,
    now: Nanos,
    subscribed: bool,
    /// The number of consecutive failures of the watch, at most [`MAX_WATCH_BACKOFF_STEPS`].
    watch_failures: u32,
}

impl<P: EndpointPicker> PolicyHarness<P> {
    /// Creates a policy without endpoints.
    pub fn new(context: PolicyContext, picker: P) -> PolicyHarness<P> {
        let settings = context.settings;
        let index_cells = settings.classes.iter().any(|class| is_confined_to_cell(&class.idempotency));
        PolicyHarness {
            pool: EndpointPool::new(index_cells),
            settings,
            picker,
            open_requests: FxHashMap::default(),
            rng: PolicyRng::seed_from_u64(context.seed),
            now: context.now,
            subscribed: false,
            watch_failures: 0,
        }
    }

    // ---- endpoint list ----

    fn apply_endpoint_update(&mut self, update: EndpointUpdate, out: &mut Vec<Action>) {
        if matches!(update, EndpointUpdate::Failed) {
            return self.resubscribe(out);
        }
        self.watch_failures = 0;
        let picker = &mut self.picker;
        self.pool.apply_update(update, |pool, id, entry| match entry.filter(|_| pool.is_ready(id)) {
            Some(entry) => picker.endpoint_added(pool, id, &entry.name),
            None => picker.endpoint_removed(pool, id),
        });
        picker.update_completed(&self.pool);
    }

    /// Subscribes again after the watch has failed. All proxies share one small discovery service, so the
    /// wait is randomized and grows with each failure.
    fn resubscribe(&mut self, out: &mut Vec<Action>) {
        self.watch_failures = (self.watch_failures + 1).min(MAX_WATCH_BACKOFF_STEPS);
        let least_wait = (self.settings.rules.poll_interval / 16) << self.watch_failures;
        self.subscribe_after(least_wait, out);
    }

    /// Subscribes after a random wait between `least_wait` and twice that.
    fn subscribe_after(&mut self, least_wait: Nanos, out: &mut Vec<Action>) {
        if self.settings.discovery == Discovery::Subscribe {
            let wait = least_wait + self.rng.random_range(0..=least_wait);
            out.push(Action::SetTimer { at: self.now + wait.max(1), timer: Timer::Discovery });
        }
    }

    /// Schedules the first subscription. It is randomized as well; otherwise proxies that start at the same
    /// time would subscribe at the same time.
    fn subscribe_at_start(&mut self, out: &mut Vec<Action>) {
        self.subscribed = true;
        let longest_wait = self.settings.rules.poll_interval / 2;
        let least_wait = self.rng.random_range(0..=longest_wait / 2);
        self.subscribe_after(least_wait, out);
    }

    // ---- requests ----

    fn request_arrived(&mut self, request: Request, out: &mut Vec<Action>) {
        let key = request.idempotency_key.unwrap_or(request.id.0);
        let class = self.settings.classes.get(request.class.0 as usize);
        let latency_objective = class.map_or(0, |class| class.latency_objective);
        let open = OpenRequest {
            class: request.class,
            retries_exhausted: false,
            attempts: 0,
            endpoint: EndpointId(0),
            sent_at: self.now,
            first_execution: None,
            deadline: self.now.saturating_add(request.time_left),
            hash: xxh3_64(&key.to_le_bytes()),
            // Without a hint, this is the estimate of the decision module for a class without observations.
            estimated_work: request.estimated_work.unwrap_or(latency_objective / 4),
        };
        let permit = self.permit(&open);
        self.dispatch(request.id, open, &permit, out);
    }

    /// Sends a request if the rules permit it and an endpoint is available; otherwise ends the request.
    fn dispatch(&mut self, id: RequestId, mut open: OpenRequest, permit: &Permit, out: &mut Vec<Action>) {
        let pick = PickRequest {
            now: self.now,
            hash: open.hash,
            estimated_work: open.estimated_work,
            excluded: (open.attempts > 0).then_some(open.endpoint),
            restricted_to: permit.restricted_to,
        };
        let target = if self.may_send(&open, permit) {
            self.picker.pick(&self.pool, &pick, &mut self.rng)
        } else {
            None
        };
        let Some(endpoint) = target else { return self.finish(id, permit, out) };
        open.endpoint = endpoint;
        open.sent_at = self.now;
        open.attempts += 1;
        self.pool.attempt_started(endpoint);
        self.picker.attempt_started(&self.pool, endpoint, &pick);
        self.open_requests.insert(id, open);
        out.push(Action::StartAttempt { request: id, endpoint, timeout: 0, start_by: Nanos::MAX });
    }

    fn may_send(&self, open: &OpenRequest, permit: &Permit) -> bool {
        let max_attempts = self.settings.limits.max_attempts.min(MAX_ATTEMPTS);
        open.attempts < max_attempts
            && self.now < permit.send_until
            && self.now < open.deadline
            && !open.retries_exhausted
    }

    fn attempt_ended(&mut self, end: AttemptEnd, out: &mut Vec<Action>) {
        if self.pool.attempt_ended(end.endpoint) {
            self.picker.attempt_ended(&self.pool, end.endpoint);
        }
        let Some(open) = self.open_requests.get(&end.request) else { return };
        let is_current_attempt = open.attempts == end.attempt + 1;
        if !end.request_completed && !is_current_attempt {
            return;
        }
        let Some(mut open) = self.open_requests.remove(&end.request) else { return };
        if end.request_completed {
            return;
        }
        if !end.outcome.was_never_executed() {
            let execution = PossibleExecution { endpoint: open.endpoint, sent_at: open.sent_at };
            open.first_execution = open.first_execution.or(Some(execution));
        }
        open.retries_exhausted |= end.outcome == Outcome::NotSent;
        let permit = self.permit(&open);
        self.dispatch(end.request, open, &permit, out);
    }

    /// Determines what the rules permit for a request that has no attempt in flight.
    fn permit(&self, open: &OpenRequest) -> Permit {
        let Some(first) = open.first_execution else { return Permit::UNRESTRICTED };
        match self.settings.classes.get(open.class.0 as usize).map(|class| class.idempotency) {
            Some(Idempotency::Idempotent) => Permit::UNRESTRICTED,
            Some(Idempotency::Keyed { scope, window }) => Permit {
                // The attempt also has to arrive within the window: an eighth of it is reserved as a margin.
                send_until: first.sent_at.saturating_add(window - window / 8),
                restricted_to: Some((scope, first.endpoint)),
                may_shed: scope == DeduplicationScope::All,
            },
            Some(Idempotency::NonIdempotent) | None => Permit::NOTHING,
        }
    }

    /// Sheds a request if a retry by the client is harmless; otherwise fails it.
    fn finish(&mut self, request: RequestId, permit: &Permit, out: &mut Vec<Action>) {
        let retry_after = (self.settings.rules.poll_interval / 8).min(self.settings.limits.max_retry_after);
        out.push(if permit.may_shed { Action::Shed { request, retry_after } } else { Action::Fail(request) });
    }

    fn response_started(&mut self, request: RequestId) {
        if let Some(open) = self.open_requests.get_mut(&request) {
            open.retries_exhausted = true;
        }
    }

    fn request_aborted(&mut self, request: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.open_requests.remove(&request) else { return };
        if self.settings.limits.cancellation_enabled {
            out.push(Action::CancelAttempt { request, attempt: open.attempts.saturating_sub(1) });
        }
    }
}

fn is_confined_to_cell(idempotency: &Idempotency) -> bool {
    matches!(idempotency, Idempotency::Keyed { scope: DeduplicationScope::Cell, .. })
}

impl<P: EndpointPicker> Policy for PolicyHarness<P> {
    fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        self.now = now.max(self.now);
        if !self.subscribed {
            self.subscribe_at_start(out);
        }
        match event {
            Event::Endpoints(update) => self.apply_endpoint_update(update, out),
            Event::RequestArrived(request) => self.request_arrived(request, out),
            Event::ResponseStarted { request, .. } => self.response_started(request),
            Event::AttemptEnded(end) => self.attempt_ended(end, out),
            Event::RequestAborted(request) => self.request_aborted(request, out),
            Event::TimerFired(Timer::Discovery) => out.push(Action::WatchEndpoints(true)),
            Event::TimerFired(_) | Event::HealthCheckCompleted { .. } | Event::PeerMessage { .. } => {}
        }
    }
}
