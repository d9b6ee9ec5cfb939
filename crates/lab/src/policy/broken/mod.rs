//! The decision module with a seeded bug: each policy occasionally breaks one rule, which a monitor has to
//! detect. A monitor that misses such a bug proves nothing about the other policies.
//!
//! - `broken_sends_twice`: sends a second, concurrent attempt to another endpoint. Breaks the rule of
//!   effects, as concurrent attempts are not allowed.
//! - `broken_resends_keyed`: sends a keyed request that may have been executed again outside of its cell or
//!   zone. Breaks the rule of effects. Needs a class confined to a cell or zone, and failures after which the
//!   request may have been executed.
//! - `broken_sends_to_draining`: sends a first attempt to an endpoint that ceased to be ready more than twice
//!   the grace period ago, if its class is not confined to a cell or zone. Breaks the rule of drains. Needs
//!   endpoints that are draining or removed.
//! - `broken_floods_cold`: sends all first attempts of such classes to the endpoint that started last, for
//!   four overload windows. Breaks the slow-start rule. Needs an endpoint that starts, and load.
//! - `broken_answers_twice`: sheds a request, sends it nevertheless, and responds again at its end. Breaks
//!   the rule of responses: a request ends only once, and is not sent after its end.
//! - `broken_loses_one`: drops an attempt or a final response. Breaks the rule of responses.
//! - `broken_answers_late`: responds one second after the client's deadline. Breaks the rule of responses.
//!
//! To break no other rule, the decision module is notified only of its own attempts, with the numbers and
//! endpoints that it chose. This file translates the events for the decision module; [`bug_injection`]
//! changes its actions.

mod bug_injection;

use super::pick::PolicyRng;
use super::pool::EndpointPool;
use super::{EndpointHealth, Policy, PolicyContext};
use olivecart_decisions::{
    Action, AttemptEnd, Balancer, ClassId, EndpointEntry, EndpointId, EndpointState, EndpointUpdate, Event,
    Nanos, Request, RequestId, Settings, Timer,
};
use rand::{Rng, SeedableRng};
use rustc_hash::FxHashMap;
use std::collections::BTreeMap;

/// The bug takes effect at one in this many opportunities, on average.
const OPPORTUNITIES_PER_BREACH: u32 = 20;
/// The delay of a late response after the deadline.
const LATE_RESPONSE_DELAY: Nanos = 1_000_000_000;

/// The bug of a broken policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Bug {
    SendsTwice,
    SendsToDraining,
    AnswersTwice,
    LosesOne,
    AnswersLate,
    FloodsCold,
    ResendsKeyed,
}

/// An attempt that was sent to another endpoint than the decision module assumes.
struct RedirectedAttempt {
    number: u32,
    believed_endpoint: EndpointId,
}

/// The actual state of a request, which may differ from the state in the decision module.
struct RequestRecord {
    class: ClassId,
    deadline: Nanos,
    attempts_started: u32,
    attempts_in_flight: u32,
    /// The numbers of the attempts that the decision module does not know of.
    hidden_attempts: Vec<u32>,
    redirected_attempts: Vec<RedirectedAttempt>,
    /// The endpoint of the first attempt that may have been executed.
    executed_at: Option<EndpointId>,
    /// Whether this policy gives the final response, at the end of the attempt in flight or when the timer
    /// fires.
    owes_response: bool,
    completed: bool,
}

impl RequestRecord {
    fn new(class: ClassId, deadline: Nanos) -> RequestRecord {
        RequestRecord {
            class,
            deadline,
            attempts_started: 0,
            attempts_in_flight: 0,
            hidden_attempts: Vec::new(),
            redirected_attempts: Vec::new(),
            executed_at: None,
            owes_response: false,
            completed: false,
        }
    }
}

/// The latest start of an endpoint: its time and the endpoint.
type LatestStart = (Nanos, EndpointId);

/// The decision module with one bug.
pub(super) struct Broken {
    inner: Balancer,
    bug: Bug,
    settings: Settings,
    rng: PolicyRng,
    now: Nanos,
    pool: EndpointPool,
    not_ready_since: BTreeMap<EndpointId, Nanos>,
    latest_start: Option<LatestStart>,
    requests: FxHashMap<RequestId, RequestRecord>,
    /// The next events for the decision module.
    pending_events: Vec<Event>,
}

impl Broken {
    pub(super) fn new_boxed(bug: Bug, context: PolicyContext) -> Box<dyn Policy> {
        let mut believed_settings = context.settings.clone();
        // One attempt is reserved for the bug, as an attempt beyond the limit would not be sent.
        believed_settings.limits.max_attempts = (believed_settings.limits.max_attempts - 1).max(1);
        Box::new(Broken {
            inner: Balancer::new(believed_settings, context.seed, context.now),
            bug,
            settings: context.settings,
            rng: PolicyRng::seed_from_u64(!context.seed),
            now: context.now,
            pool: EndpointPool::new(false),
            not_ready_since: BTreeMap::new(),
            latest_start: None,
            requests: FxHashMap::default(),
            pending_events: Vec::new(),
        })
    }

    /// Draws whether the bug takes effect at an opportunity.
    fn takes_effect(&mut self) -> bool {
        self.rng.random_range(0..OPPORTUNITIES_PER_BREACH) == 0
    }

    fn update_request(&mut self, id: RequestId, update: impl FnOnce(&mut RequestRecord)) {
        if let Some(request) = self.requests.get_mut(&id) {
            update(request);
        }
    }

    fn apply_endpoint_update(&mut self, update: EndpointUpdate) {
        let entries = match &update {
            EndpointUpdate::Delta(entries)
            | EndpointUpdate::Snapshot(entries)
            | EndpointUpdate::Cached(entries) => &entries[..],
            EndpointUpdate::Failed => &[],
        };
        let latest_start = entries.iter().filter_map(start_of_ready).max();
        self.latest_start = latest_start.max(self.latest_start);
        let now = self.now;
        let not_ready_since = &mut self.not_ready_since;
        self.pool.apply_update(update, |pool, id, _| {
            if pool.is_ready(id) {
                not_ready_since.remove(&id);
            } else {
                not_ready_since.insert(id, now);
            }
        });
    }

    fn request_arrived(&mut self, request: &Request) {
        let deadline = self.now.saturating_add(request.time_left);
        self.requests.insert(request.id, RequestRecord::new(request.class, deadline));
    }

    fn hidden_attempts(&self, id: RequestId) -> &[u32] {
        self.requests.get(&id).map_or(&[], |request| &request.hidden_attempts)
    }

    /// The number of an attempt in the decision module; `None` if the module does not know of the attempt.
    fn believed_number(&self, id: RequestId, attempt: u32) -> Option<u32> {
        let hidden = self.hidden_attempts(id);
        let hidden_before = hidden.iter().filter(|number| **number < attempt).count() as u32;
        (!hidden.contains(&attempt)).then(|| attempt - hidden_before)
    }

    /// Records the end of an attempt. Returns the event for the decision module, if any.
    fn attempt_ended(&mut self, mut end: AttemptEnd) -> Option<Event> {
        let believed_number = self.believed_number(end.request, end.attempt);
        if let Some(request) = self.requests.get_mut(&end.request) {
            request.attempts_in_flight = request.attempts_in_flight.saturating_sub(1);
            request.completed |= end.request_completed;
            if !end.outcome.was_never_executed() && !end.request_completed {
                request.executed_at = request.executed_at.or(Some(end.endpoint));
            }
            let mut redirected = request.redirected_attempts.iter();
            if let Some(attempt) = redirected.find(|attempt| attempt.number == end.attempt) {
                end.endpoint = attempt.believed_endpoint;
            }
        }
        match believed_number {
            Some(attempt) => Some(Event::AttemptEnded(AttemptEnd { attempt, ..end })),
            // The response came from an attempt that the decision module does not know of.
            None if end.request_completed => Some(Event::RequestAborted(end.request)),
            None => None,
        }
    }

    /// Records an event. Returns the event for the decision module, if any.
    fn translate(&mut self, event: Event) -> Option<Event> {
        match event {
            Event::AttemptEnded(end) => return self.attempt_ended(end),
            Event::ResponseStarted { request, attempt } => {
                let believed_number = self.believed_number(request, attempt);
                return believed_number.map(|attempt| Event::ResponseStarted { request, attempt });
            }
            Event::Endpoints(ref update) => self.apply_endpoint_update(update.clone()),
            Event::RequestArrived(ref request) => self.request_arrived(request),
            Event::RequestAborted(id) => self.update_request(id, |request| request.completed = true),
            _ => {}
        }
        Some(event)
    }

    /// Gives the final response that this policy owes, if an event of the request has made it due.
    fn give_owed_response(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|request| request.attempts_in_flight == 0) else {
            return;
        };
        let is_due = match self.bug {
            Bug::AnswersLate => {
                !request.completed && self.now >= request.deadline.saturating_add(LATE_RESPONSE_DELAY)
            }
            Bug::AnswersTwice => true,
            _ => !request.completed,
        };
        let responds = request.owes_response && is_due;
        if responds {
            out.push(Action::Fail(id));
        }
        if request.completed || responds {
            self.requests.remove(&id);
        }
    }
}

fn start_of_ready(entry: &EndpointEntry) -> Option<LatestStart> {
    let started = entry.started.filter(|_| entry.state == EndpointState::Ready);
    started.map(|at| (at, entry.id))
}

impl Policy for Broken {
    fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        self.now = now.max(self.now);
        let request = match &event {
            Event::AttemptEnded(end) => Some(end.request),
            Event::RequestAborted(id) | Event::TimerFired(Timer::Request(id)) => Some(*id),
            _ => None,
        };
        self.pending_events = self.translate(event).into_iter().collect();
        while let Some(event) = self.pending_events.pop() {
            let mut actions = Vec::new();
            self.inner.handle(now, event, &mut actions);
            for action in actions {
                self.forward(action, out);
            }
        }
        if let Some(id) = request {
            self.give_owed_response(id, out);
        }
    }

    fn endpoint_health(&self, endpoint: EndpointId) -> Option<EndpointHealth> {
        Policy::endpoint_health(&self.inner, endpoint)
    }
}
