//! The decisions with a seeded bug: now and then each breaks one rule, and a monitor has to catch it. If a
//! monitor stays silent on one of these, its silence about the other policies proves nothing.
//!
//! - `broken_sends_twice`: a second attempt beside the first, at another endpoint. Breaks the rule of effects
//!   where the site allows no concurrent attempts.
//! - `broken_resends_keyed`: a keyed request that may have been executed is sent again outside of its cell or
//!   zone. Breaks the rule of effects; needs a class confined to a cell or zone, and failures after which the
//!   request may have been executed.
//! - `broken_sends_to_draining`: a first attempt to an endpoint withdrawn more than twice the grace period
//!   ago, if its class is not confined to a cell or zone. Breaks the rule of drains; needs endpoints that
//!   drain or go.
//! - `broken_floods_cold`: all first attempts of such classes to the endpoint that started last, for four
//!   overload windows. Breaks the slow-start rule; needs an endpoint that starts, and load.
//! - `broken_answers_twice`: sheds a request, sends it all the same, and responds again at its end. Breaks
//!   the rule of responses: nothing is sent for a request that has ended, and it ends once.
//! - `broken_loses_one`: an attempt is never sent, or a final response never given. Breaks the rule of
//!   responses.
//! - `broken_answers_late`: the response comes a second after the client's deadline. Breaks the same.
//!
//! Everything around the bug stays sound: the decisions are told of their own attempts only, with the numbers
//! and endpoints that they chose, so that no other rule breaks along with it. This file translates events on
//! their way to the decisions; [`sabotage`] changes the actions on their way back.

mod sabotage;

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

/// One in so many opportunities to do harm is taken.
const OPPORTUNITIES_PER_HARM: u32 = 20;
/// How long after the deadline a late response comes.
const LATE_BY: Nanos = 1_000_000_000;

/// Which bug a broken policy has.
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

/// An attempt that was sent to another endpoint than the decisions believe.
struct RedirectedAttempt {
    number: u32,
    believed_endpoint: EndpointId,
}

/// What really happened to a request, as opposed to what the decisions believe.
struct RequestRecord {
    class: ClassId,
    deadline: Nanos,
    attempts_started: u32,
    attempts_in_flight: u32,
    /// Numbers of the attempts that the decisions do not know of.
    hidden_attempts: Vec<u32>,
    redirected_attempts: Vec<RedirectedAttempt>,
    /// The endpoint of the first attempt that may have been executed.
    executed_at: Option<EndpointId>,
    /// The final response is given by this policy, at the end of the attempt in flight or at the timer.
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

/// The endpoint that started last, and when.
type LatestStart = (Nanos, EndpointId);

/// The decisions with one bug.
pub(super) struct Broken {
    inner: Balancer,
    bug: Bug,
    settings: Settings,
    rng: PolicyRng,
    now: Nanos,
    pool: EndpointPool,
    withdrawn_at: BTreeMap<EndpointId, Nanos>,
    latest_start: Option<LatestStart>,
    requests: FxHashMap<RequestId, RequestRecord>,
    /// Events that the decisions are told next.
    pending_events: Vec<Event>,
}

impl Broken {
    pub(super) fn boxed(bug: Bug, context: PolicyContext) -> Box<dyn Policy> {
        let mut believed_settings = context.settings.clone();
        // One attempt is kept back for the bug: one past the limit would never be issued.
        believed_settings.limits.max_attempts = (believed_settings.limits.max_attempts - 1).max(1);
        Box::new(Broken {
            inner: Balancer::new(believed_settings, context.seed, context.now),
            bug,
            settings: context.settings,
            rng: PolicyRng::seed_from_u64(!context.seed),
            now: context.now,
            pool: EndpointPool::new(false),
            withdrawn_at: BTreeMap::new(),
            latest_start: None,
            requests: FxHashMap::default(),
            pending_events: Vec::new(),
        })
    }

    /// Draws whether an opportunity to do harm is taken.
    fn takes_opportunity(&mut self) -> bool {
        self.rng.random_range(0..OPPORTUNITIES_PER_HARM) == 0
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
        let withdrawn_at = &mut self.withdrawn_at;
        self.pool.apply_update(update, |pool, id, _| {
            if pool.is_ready(id) {
                withdrawn_at.remove(&id);
            } else {
                withdrawn_at.insert(id, now);
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

    /// The number that the decisions gave to an attempt; `None` if they do not know of it.
    fn believed_number(&self, id: RequestId, attempt: u32) -> Option<u32> {
        let hidden = self.hidden_attempts(id);
        let hidden_before = hidden.iter().filter(|number| **number < attempt).count() as u32;
        (!hidden.contains(&attempt)).then(|| attempt - hidden_before)
    }

    /// The end of an attempt as the decisions are told it, if at all.
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
            // The response came from an attempt that the decisions do not know of.
            None if end.request_completed => Some(Event::RequestAborted(end.request)),
            None => None,
        }
    }

    /// Records an event, and returns it as the decisions are told it.
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

    /// Gives the final response that this policy owes, after an event of the request.
    fn settle(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|request| request.attempts_in_flight == 0) else {
            return;
        };
        let is_due = match self.bug {
            Bug::AnswersLate => !request.completed && self.now >= request.deadline.saturating_add(LATE_BY),
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
            self.settle(id, out);
        }
    }

    fn endpoint_health(&self, endpoint: EndpointId) -> Option<EndpointHealth> {
        Policy::endpoint_health(&self.inner, endpoint)
    }
}
