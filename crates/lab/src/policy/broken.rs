//! The decisions with a seeded bug: each now and then breaks one rule, so that a monitor has to catch it. A
//! monitor that stays silent on one of these says nothing by its silence on the rest.
//!
//! - `broken_sends_twice`: a second attempt beside the first, elsewhere. Breaks the rule of effects where the
//!   site allows no second copies.
//! - `broken_resends_keyed`: a keyed request that may have run is sent again outside of its cell or zone.
//!   Breaks the rule of effects; needs a class with such a group, and failures that may have run.
//! - `broken_sends_to_draining`: a first attempt to an endpoint withdrawn more than twice the grace ago,
//!   where its class is not kept in a cell or zone. Breaks the rule of drains; needs endpoints that drain or
//!   go.
//! - `broken_floods_cold`: all first attempts of such classes to the endpoint that started last, for four
//!   windows of the rule. Breaks the cold rule; needs an endpoint that starts, and load.
//! - `broken_answers_twice`: refuses a request, sends it all the same, and answers it again at its end.
//!   Breaks the rule of answers: nothing is sent for a request that has ended, and it ends once.
//! - `broken_loses_one`: an attempt is never sent, or a final answer never given. Breaks the rule of answers.
//! - `broken_answers_late`: the answer comes a second after the client's deadline. Breaks the same.
//!
//! What is around the bug stays sound: the decisions are told of their own attempts only, by the numbers and
//! endpoints that they chose, so that no other rule breaks with it.

use super::pick::Chance;
use super::pool::{Ask, Pool};
use super::{Place, Policy, Standing};
use olivecart_decisions::{
    Action, AttemptEnd, Balancer, ClassId, DeduplicationScope, EndpointEntry, EndpointId, EndpointState,
    EndpointUpdate, Event, Idempotency, Nanos, Outcome, Request, RequestId, Settings, Timer,
};
use rand::{Rng, SeedableRng};
use rustc_hash::FxHashMap;
use std::collections::BTreeMap;

/// One in so many chances to do harm is taken.
const SELDOM: u32 = 20;
/// So long after the deadline a late answer comes.
const LATE: Nanos = 1_000_000_000;

/// Which bug.
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

/// What really became of a request, beside what the decisions believe.
struct Track {
    class: ClassId,
    deadline: Nanos,
    /// Attempts made, and those not yet ended.
    made: u32,
    out: u32,
    /// Numbers of those that the decisions do not know of.
    foreign: Vec<u32>,
    /// Those that went elsewhere than they think: number, and where they think.
    astray: Vec<(u32, EndpointId)>,
    /// An attempt that may have run was there.
    ran: Option<EndpointId>,
    /// An answer is to come from here, at the end of the attempt that is out or at the timer.
    owes: bool,
    over: bool,
}

/// The decisions with one bug.
pub(super) struct Broken {
    inner: Balancer,
    bug: Bug,
    settings: Settings,
    chance: Chance,
    now: Nanos,
    pool: Pool,
    withdrawn: BTreeMap<EndpointId, Nanos>,
    started: Option<(Nanos, EndpointId)>,
    tracks: FxHashMap<RequestId, Track>,
    /// What the decisions are to be told next.
    untold: Vec<Event>,
}

impl Broken {
    pub(super) fn boxed(bug: Bug, place: Place) -> Box<dyn Policy> {
        let mut believed = place.settings.clone();
        // One attempt is kept back for the bug: one past the limit would never be issued.
        believed.limits.max_attempts = (believed.limits.max_attempts - 1).max(1);
        Box::new(Broken {
            inner: Balancer::new(believed, place.seed, place.now),
            bug,
            settings: place.settings,
            chance: Chance::seed_from_u64(!place.seed),
            now: place.now,
            pool: Pool::new(false),
            withdrawn: BTreeMap::new(),
            started: None,
            tracks: FxHashMap::default(),
            untold: Vec::new(),
        })
    }

    fn seldom(&mut self) -> bool {
        self.chance.random_range(0..SELDOM) == 0
    }

    // ---- events, on their way in ----

    fn follow_list(&mut self, change: EndpointUpdate) {
        let entries = match &change {
            EndpointUpdate::Delta(entries)
            | EndpointUpdate::Snapshot(entries)
            | EndpointUpdate::Cached(entries) => &entries[..],
            EndpointUpdate::Failed => &[],
        };
        let started =
            |e: &EndpointEntry| e.started.filter(|_| e.state == EndpointState::Ready).map(|at| (at, e.id));
        self.started = entries.iter().filter_map(started).max().max(self.started);
        let (now, withdrawn) = (self.now, &mut self.withdrawn);
        self.pool.follow(change, |pool, id, _| match pool.is_ready(id) {
            true => drop(withdrawn.remove(&id)),
            false => drop(withdrawn.insert(id, now)),
        });
    }

    fn take(&mut self, request: &Request) {
        let track = Track {
            class: request.class,
            deadline: self.now.saturating_add(request.time_left),
            made: 0,
            out: 0,
            foreign: Vec::new(),
            astray: Vec::new(),
            ran: None,
            owes: false,
            over: false,
        };
        self.tracks.insert(request.id, track);
    }

    /// The decisions' own number of an attempt; none: they do not know of it.
    fn own(&self, id: RequestId, attempt: u32) -> Option<u32> {
        let foreign = self.tracks.get(&id).map_or(&[][..], |t| &t.foreign);
        let before = foreign.iter().filter(|n| **n < attempt).count() as u32;
        (!foreign.contains(&attempt)).then(|| attempt - before)
    }

    /// The end of an attempt as the decisions are to be told it, if at all.
    fn attempt_ended(&mut self, mut end: AttemptEnd) -> Option<Event> {
        let own = self.own(end.request, end.attempt);
        if let Some(track) = self.tracks.get_mut(&end.request) {
            track.out = track.out.saturating_sub(1);
            track.over |= end.request_completed;
            if !end.outcome.was_never_executed() && !end.request_completed {
                track.ran = track.ran.or(Some(end.endpoint));
            }
            if let Some((_, thought)) = track.astray.iter().find(|(n, _)| *n == end.attempt) {
                end.endpoint = *thought;
            }
        }
        match own {
            Some(attempt) => Some(Event::AttemptEnded(AttemptEnd { attempt, ..end })),
            None if end.request_completed => Some(Event::RequestAborted(end.request)), // answered by what they do not know of
            None => None,
        }
    }

    /// Notes an event, and gives it as the decisions are to be told it.
    fn translate(&mut self, event: Event) -> Option<Event> {
        match event {
            Event::AttemptEnded(end) => return self.attempt_ended(end),
            Event::ResponseStarted { request, attempt } => {
                return self.own(request, attempt).map(|attempt| Event::ResponseStarted { request, attempt });
            }
            Event::Endpoints(ref change) => self.follow_list(change.clone()),
            Event::RequestArrived(ref request) => self.take(request),
            Event::RequestAborted(id) => {
                self.tracks.entry(id).and_modify(|t| t.over = true);
            }
            _ => {}
        }
        Some(event)
    }

    /// Gives the answers that are owed from here, after an event of this request.
    fn settle(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(track) = self.tracks.get(&id).filter(|t| t.out == 0) else { return };
        let owed = match self.bug {
            Bug::AnswersLate => !track.over && self.now >= track.deadline.saturating_add(LATE),
            Bug::AnswersTwice => true,
            _ => !track.over,
        };
        if track.owes && owed {
            out.push(Action::Fail(id));
        }
        if track.over || track.owes && owed {
            self.tracks.remove(&id);
        }
    }

    // ---- actions, on their way out ----

    fn act(&mut self, action: Action, out: &mut Vec<Action>) {
        let id = match &action {
            Action::StartAttempt { request, .. }
            | Action::CancelAttempt { request, .. }
            | Action::Shed { request, .. } => *request,
            Action::Fail(request) => *request,
            _ => return out.push(action),
        };
        match action {
            _ if !self.tracks.contains_key(&id) => out.push(action),
            Action::StartAttempt { endpoint, timeout: cap, .. } => self.send(id, endpoint, cap, out),
            Action::CancelAttempt { attempt, .. } => out.push(self.cancel(id, attempt)),
            answer => self.answer(id, answer, out),
        }
    }

    /// The decisions send; here most bugs act.
    fn send(&mut self, id: RequestId, endpoint: EndpointId, cap: Nanos, out: &mut Vec<Action>) {
        let Some(Track { class, made, deadline, ran, .. }) = self.tracks.get(&id) else { return };
        let (class, first, deadline, ran) = (*class, *made == 0, *deadline, *ran);
        let target = match self.bug {
            Bug::SendsToDraining if first && !self.confined(class) => self.long_withdrawn(),
            Bug::FloodsCold if first && !self.confined(class) => self.cold(),
            Bug::ResendsKeyed => ran.and_then(|like| self.outside(class, like)),
            _ => None,
        };
        if first && matches!(self.bug, Bug::LosesOne | Bug::AnswersLate) && self.seldom() {
            return self.lose(id, endpoint, deadline, out);
        }
        if self.bug == Bug::AnswersTwice && first && self.seldom() {
            out.push(Action::Shed { request: id, retry_after: 0 });
            self.tracks.entry(id).and_modify(|t| t.owes = true);
        }
        let number = self.attempt(id, target.unwrap_or(endpoint), cap, out);
        if target.is_some() {
            self.tracks.entry(id).and_modify(|t| t.astray.push((number, endpoint)));
        }
        if self.bug == Bug::SendsTwice && self.seldom() {
            let other = |pool: &Pool, id: EndpointId| pool.ready().len() < 2 || id != endpoint;
            if let Some(other) = self.any(other) {
                self.foreign(id, other, out);
            }
        }
    }

    /// A request that the decisions send is not sent, and they believe that it has ended.
    fn lose(&mut self, id: RequestId, endpoint: EndpointId, deadline: Nanos, out: &mut Vec<Action>) {
        if self.bug == Bug::AnswersLate {
            out.push(Action::SetTimer { at: deadline.saturating_add(LATE), timer: Timer::Request(id) });
            self.tracks.entry(id).and_modify(|t| t.owes = true);
        } else {
            self.tracks.remove(&id);
        }
        let (request, attempt, outcome, took, over) = (id, 0, Outcome::NotSent, 0, true);
        let end = AttemptEnd {
            request,
            attempt,
            endpoint,
            outcome,
            duration: took,
            request_completed: over,
            load: None,
        };
        self.untold.push(Event::AttemptEnded(end));
    }

    fn attempt(&mut self, id: RequestId, endpoint: EndpointId, cap: Nanos, out: &mut Vec<Action>) -> u32 {
        out.push(Action::StartAttempt { request: id, endpoint, timeout: cap, start_by: Nanos::MAX });
        let Some(track) = self.tracks.get_mut(&id) else { return 0 };
        (track.made, track.out) = (track.made + 1, track.out + 1);
        track.made - 1
    }

    /// An attempt that the decisions do not know of.
    fn foreign(&mut self, id: RequestId, endpoint: EndpointId, out: &mut Vec<Action>) {
        let number = self.attempt(id, endpoint, 0, out);
        self.tracks.entry(id).and_modify(|t| t.foreign.push(number));
    }

    /// Their number of an attempt made the real one.
    fn cancel(&self, request: RequestId, attempt: u32) -> Action {
        let foreign = self.tracks.get(&request).map_or(&[][..], |t| &t.foreign);
        let own = (0..).filter(|n| !foreign.contains(n)).nth(attempt as usize);
        Action::CancelAttempt { request, attempt: own.unwrap_or(attempt) }
    }

    /// The decisions give a request's final answer.
    fn answer(&mut self, id: RequestId, answer: Action, out: &mut Vec<Action>) {
        if self.bug == Bug::LosesOne && self.seldom() {
            self.tracks.remove(&id);
            return;
        }
        let Some(track) = self.tracks.get(&id) else { return };
        let (class, ran, in_time) = (track.class, track.ran, self.now < track.deadline);
        let again = ran.filter(|_| self.bug == Bug::ResendsKeyed && in_time);
        if let Some(outside) = again.and_then(|like| self.outside(class, like)) {
            self.foreign(id, outside, out);
            self.tracks.entry(id).and_modify(|t| t.owes = true);
            return;
        }
        self.tracks.entry(id).and_modify(|t| t.over = true);
        out.push(answer);
    }

    // ---- where harm is done ----

    /// Some ready endpoint that fits.
    fn any(&mut self, fits: impl Fn(&Pool, EndpointId) -> bool) -> Option<EndpointId> {
        let fit: Vec<_> = self.pool.ready().iter().copied().filter(|id| fits(&self.pool, *id)).collect();
        (!fit.is_empty()).then(|| fit[self.chance.random_range(0..fit.len())])
    }

    /// Whether a repeat has to go to the group of the first attempt, about which the decisions must then know
    /// the truth.
    fn confined(&self, class: ClassId) -> bool {
        let effect = self.settings.classes.get(class.0 as usize).map(|c| c.idempotency);
        matches!(
            effect,
            Some(Idempotency::Keyed { scope: DeduplicationScope::Cell | DeduplicationScope::Zone, .. })
        )
    }

    fn long_withdrawn(&mut self) -> Option<EndpointId> {
        let long = 2 * self.settings.rules.drain_grace;
        let is_long = |(_, since): &(&EndpointId, &Nanos)| **since + long < self.now;
        let found = self.withdrawn.iter().find(is_long).map(|(id, _)| *id);
        found.filter(|_| self.seldom())
    }

    fn cold(&self) -> Option<EndpointId> {
        let rules = &self.settings.rules;
        let (at, id) = self.started?;
        let cold = self.now < at.saturating_add(rules.slow_start_window.min(4 * rules.overload_window));
        (cold && self.pool.is_ready(id)).then_some(id)
    }

    /// An endpoint outside of the group that a keyed request has to stay in.
    fn outside(&mut self, class: ClassId, like: EndpointId) -> Option<EndpointId> {
        let effect = self.settings.classes.get(class.0 as usize)?.idempotency;
        let Idempotency::Keyed {
            scope: group @ (DeduplicationScope::Cell | DeduplicationScope::Zone), ..
        } = effect
        else {
            return None;
        };
        let ask = Ask { now: self.now, key: 0, work: 0, not: None, within: Some((group, like)) };
        self.any(|pool, id| !pool.allows(&ask, id))
    }
}

impl Policy for Broken {
    fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        self.now = now.max(self.now);
        let about = match &event {
            Event::AttemptEnded(end) => Some(end.request),
            Event::RequestAborted(id) | Event::TimerFired(Timer::Request(id)) => Some(*id),
            _ => None,
        };
        self.untold = self.translate(event).into_iter().collect();
        while let Some(event) = self.untold.pop() {
            let mut actions = Vec::new();
            self.inner.handle(now, event, &mut actions);
            actions.into_iter().for_each(|action| self.act(action, out));
        }
        if let Some(id) = about {
            self.settle(id, out);
        }
    }

    fn standing(&self, endpoint: EndpointId) -> Option<Standing> {
        Policy::standing(&self.inner, endpoint)
    }
}
