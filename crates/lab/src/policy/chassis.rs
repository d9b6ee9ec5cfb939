//! What every textbook policy needs and that is no choice of a server: the list, the open requests, and the
//! four rules.
//!
//! A request is sent at once, or refused with a come-back time where no endpoint can take it: nothing is
//! held, and no timer is set for it. A failed attempt is repeated once, at another endpoint, where the rules
//! permit it. Nothing is learnt from failures: there are no probes and no ejection; only the repeat of a
//! request avoids the endpoint that just failed it. Warm-up is ignored as well, as textbooks do, so that such
//! a policy may push a cold server over: that is a finding about the policy, not a fault of this chassis.

use super::pick::{Chance, Pick};
use super::pool::{Ask, Pool};
use super::{Place, Policy};
use olivecart_decisions::{
    Action, AttemptEnd, ClassId, DeduplicationScope, Discovery, EndpointId, EndpointUpdate, Event,
    Idempotency, Nanos, Outcome, Request, RequestId, Settings, Timer,
};
use rand::{Rng, SeedableRng};
use rustc_hash::FxHashMap;
use xxhash_rust::xxh3::xxh3_64;

/// Attempts of a request: the first, and one repeat.
const ATTEMPTS: u32 = 2;

/// A request that was sent and not yet answered. One attempt of it is out.
struct Open {
    class: ClassId,
    /// No further attempt of it would be issued: its stream has begun, or it has used up what it may.
    last: bool,
    attempts: u32,
    /// Where the attempt is that is out, and since when.
    at: EndpointId,
    sent: Nanos,
    /// The first attempt that may have run: where, and when it was sent.
    ran: Option<(EndpointId, Nanos)>,
    deadline: Nanos,
    key: u64,
    work: Nanos,
}

/// What the rules still permit for a request: until when it may be sent, and only to the group of which
/// endpoint; and whether it may be refused.
struct Permit {
    until: Nanos,
    within: Option<(DeduplicationScope, EndpointId)>,
    shed: bool,
}

/// A textbook policy: the chassis round one way to choose.
pub struct Textbook<P> {
    settings: Settings,
    pick: P,
    pool: Pool,
    /// Only ever looked up by id: the order of a hash table must not reach results.
    open: FxHashMap<RequestId, Open>,
    chance: Chance,
    now: Nanos,
    asked: bool,
    watch_failures: u32,
}

impl<P: Pick> Textbook<P> {
    /// One that knows nothing yet.
    pub fn new(place: Place, pick: P) -> Textbook<P> {
        let settings = place.settings;
        let by_cell =
            |e: &Idempotency| matches!(e, Idempotency::Keyed { scope: DeduplicationScope::Cell, .. });
        Textbook {
            pool: Pool::new(settings.classes.iter().any(|c| by_cell(&c.idempotency))),
            settings,
            pick,
            open: FxHashMap::default(),
            chance: Chance::seed_from_u64(place.seed),
            now: place.now,
            asked: false,
            watch_failures: 0,
        }
    }

    // ---- the list ----

    fn follow_list(&mut self, change: EndpointUpdate, out: &mut Vec<Action>) {
        if matches!(change, EndpointUpdate::Failed) {
            // Discovery is one small service for all: ask again spread out, and further apart each time.
            self.watch_failures = (self.watch_failures + 1).min(3);
            return self.ask_within((self.settings.rules.poll_interval / 16) << self.watch_failures, out);
        }
        self.watch_failures = 0;
        let pick = &mut self.pick;
        self.pool.follow(change, |pool, id, entry| match entry.filter(|_| pool.is_ready(id)) {
            Some(entry) => pick.joined(pool, id, &entry.name),
            None => pick.left(pool, id),
        });
        pick.listed(&self.pool);
    }

    /// Subscribes after a wait between `least` and twice that.
    fn ask_within(&mut self, least: Nanos, out: &mut Vec<Action>) {
        if self.settings.discovery == Discovery::Subscribe {
            let wait = least + self.chance.random_range(0..=least);
            out.push(Action::SetTimer { at: self.now + wait.max(1), timer: Timer::Discovery });
        }
    }

    // ---- requests ----

    fn take(&mut self, request: Request, out: &mut Vec<Action>) {
        let key = request.key.unwrap_or(request.id.0);
        let aim = self.settings.classes.get(request.class.0 as usize).map_or(0, |c| c.latency_objective);
        let open = Open {
            class: request.class,
            last: false,
            attempts: 0,
            at: EndpointId(0),
            sent: self.now,
            ran: None,
            deadline: self.now.saturating_add(request.time_left),
            key: xxh3_64(&key.to_le_bytes()),
            // Without a hint, what the decisions take a class to need before they have seen any of it.
            work: request.estimated_work.unwrap_or(aim / 4),
        };
        let permit = self.permit(&open);
        self.dispatch(request.id, open, &permit, out);
    }

    /// Sends a request if that is permitted and there is somewhere to send it; else gives its final answer.
    fn dispatch(&mut self, id: RequestId, mut open: Open, permit: &Permit, out: &mut Vec<Action>) {
        let (now, most) = (self.now, self.settings.limits.max_attempts.min(ATTEMPTS));
        let not = (open.attempts > 0).then_some(open.at);
        let ask = Ask { now, key: open.key, work: open.work, not, within: permit.within };
        let possible = open.attempts < most && now < permit.until && now < open.deadline && !open.last;
        let target = if possible { self.pick.choose(&self.pool, &ask, &mut self.chance) } else { None };
        let Some(endpoint) = target else { return self.finish(id, permit, out) };
        (open.at, open.sent, open.attempts) = (endpoint, now, open.attempts + 1);
        self.pool.sent(endpoint);
        self.pick.sent(&self.pool, endpoint, &ask);
        self.open.insert(id, open);
        out.push(Action::StartAttempt { request: id, endpoint, timeout: 0, start_by: Nanos::MAX });
    }

    fn attempt_ended(&mut self, end: AttemptEnd, out: &mut Vec<Action>) {
        if self.pool.ended(end.endpoint) {
            self.pick.ended(&self.pool, end.endpoint);
        }
        let current = |open: &Open| end.request_completed || open.attempts == end.attempt + 1;
        if !self.open.get(&end.request).is_some_and(current) {
            return;
        }
        let Some(mut open) = self.open.remove(&end.request).filter(|_| !end.request_completed) else {
            return;
        };
        if !end.outcome.was_never_executed() {
            open.ran = open.ran.or(Some((open.at, open.sent)));
        }
        open.last |= end.outcome == Outcome::NotSent;
        let permit = self.permit(&open);
        self.dispatch(end.request, open, &permit, out);
    }

    /// The one place that says what may still be done with a request, no attempt of which is out.
    fn permit(&self, open: &Open) -> Permit {
        let anything = Permit { until: Nanos::MAX, within: None, shed: true };
        let Some((first, sent)) = open.ran else { return anything };
        match self.settings.classes.get(open.class.0 as usize).map(|c| c.idempotency) {
            Some(Idempotency::Idempotent) => anything,
            Some(Idempotency::Keyed { scope: group, window }) => Permit {
                until: sent.saturating_add(window - window / 8), // it has to arrive inside the window too
                within: Some((group, first)),
                shed: group == DeduplicationScope::All,
            },
            Some(Idempotency::NonIdempotent) | None => Permit { until: 0, within: None, shed: false },
        }
    }

    /// A refusal where it is true that trying again is harmless, else a failure.
    fn finish(&mut self, request: RequestId, permit: &Permit, out: &mut Vec<Action>) {
        let come_back = (self.settings.rules.poll_interval / 8).min(self.settings.limits.max_retry_after);
        out.push(if permit.shed {
            Action::Shed { request, retry_after: come_back }
        } else {
            Action::Fail(request)
        });
    }

    fn client_left(&mut self, request: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.open.remove(&request) else { return };
        if self.settings.limits.cancellation_enabled {
            out.push(Action::CancelAttempt { request, attempt: open.attempts.saturating_sub(1) });
        }
    }
}

impl<P: Pick> Policy for Textbook<P> {
    fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        self.now = now.max(self.now);
        if !self.asked {
            // Spread, or all proxies that start together would ask together.
            self.asked = true;
            let most = self.settings.rules.poll_interval / 2;
            let least = self.chance.random_range(0..=most / 2);
            self.ask_within(least, out);
        }
        match event {
            Event::Endpoints(change) => self.follow_list(change, out),
            Event::RequestArrived(request) => self.take(request, out),
            Event::ResponseStarted { request, .. } => {
                self.open.entry(request).and_modify(|open| open.last = true);
            }
            Event::AttemptEnded(end) => self.attempt_ended(end, out),
            Event::RequestAborted(request) => self.client_left(request, out),
            Event::TimerFired(Timer::Discovery) => out.push(Action::WatchEndpoints(true)),
            Event::TimerFired(_) | Event::HealthCheckCompleted { .. } | Event::PeerMessage { .. } => {}
        }
    }
}
