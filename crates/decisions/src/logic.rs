//! All decisions of olivecart. Its interface (settings and events in, actions out) is `src/interface.rs`.
//!
//! The ordinary path is FAS: every listed endpoint is checked periodically and so marked up or down, and a
//! call goes to the first marked-up endpoint in this instance's own preferred order, skipping one that
//! holds too much over the lowest in-flight count. `docs/design.md` says what was added, why, and when each
//! departure acts. Durations are nanoseconds; "work" is the time a request should take, in the same unit.

use crate::decayed::Decayed;
use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use xxhash_rust::xxh3::xxh3_64;

#[path = "sight.rs"]
mod sight; // a child, so that it sees what is private here
pub use sight::{EndpointStatus, LearnedState};

/// Calls an endpoint of ordinary speed may hold above the lowest count before the walk skips it. Under one:
/// at full size an instance holds few calls, and a second one on a favourite is worse than an idle endpoint.
const ALLOWANCE: f64 = 0.4;
/// Below this share of endpoints in good standing the trouble is ours or everybody's: marks are ignored.
const PANIC_SHARE: f64 = 1.0 / 3.0;
/// Retries and hedges of calls that may have run, per request taken, and the most saved up.
const RETRY_SHARE: f64 = 0.15;
const RETRY_SAVINGS: f64 = 10.0;
/// Checks are meant to be this share of the calls sent.
const CHECK_SHARE: f64 = 0.1;
/// Idle connections to an endpoint that are never let go for being too many.
const SPARE: u32 = 2;
/// Weight of one call in what is learned of an endpoint; a class's own norm moves at a quarter of it.
const LEARN: f64 = 0.1;
/// Weight of one failure, and the failure level above the list's mean that holds back: two in a row.
const BLAME: f64 = 0.3;
const SUSPECT: f64 = 0.35;
/// A call is overdue this many mean deviations past its mean duration (as TCP's retransmission timer).
const OVERDUE_DEVIATIONS: f64 = 4.0;
/// No single duration counts for more than this multiple of the expected one.
const LONGEST_RATIO: f64 = 4.0;
/// Load is shed when serving the work taken needs more of the aim than leaves room for this many deviations
/// of a duration, and recent answers took more than `SLOW_SHARE` of that.
const WAIT_DEVIATIONS: f64 = 1.5;
const SLOW_SHARE: f64 = 0.7;
/// Part of the rule's multiple that the cold budget uses; the rest is margin for checks, handshakes, chance.
const COLD_SHARE: f64 = 0.6;
/// An answer that took less than this multiple of the expected duration came in its usual time.
const USUAL_RATIO: f64 = 2.0;
/// What a copy's cold budget gave in this part of the window may be saved up.
const SAVED_SHARE: f64 = 0.5;
/// Part of its time for which a request is held while there is nowhere to send it.
const HOLD_SHARE: f64 = 0.4;
/// The same as a part of its class's aim: what waits longer is late in any case.
const WAIT_SHARE: f64 = 0.25;
/// An endpoint has out what it answers in this part of the shortest aim, but always so many calls, or twice
/// as many of all copies that clients call; its rate is seen over so long, the mean's has so many answers.
const ROOM_SHARE: f64 = 0.5;
const LEAST_ROOM: f64 = 6.0;
const PRIOR: f64 = 4.0;
/// Held requests that are tried in vain before the rest is left for later.
const RESUME_TRIES: u32 = 3;
const RATE_SPAN: f64 = 3e9;
const GOLDEN: f64 = 0.618_033_988_749_894_9; // its multiples, modulo one, are spread evenly

#[derive(Default)]
struct Endpoint {
    entry: EndpointEntry,
    up: bool,
    next_check: Nanos,
    in_flight: u32,
    /// Most calls out at a time since the last check, and since connections were last let go: about as
    /// many are open.
    peak: u32,
    opened: u32,
    /// Duration of its answers relative to what they should have taken, and when it last answered.
    slow: f64,
    answered: Nanos,
    /// Failure level, 0 to 1.
    blame: f64,
    /// Evidence from calls holds it back since then: until a check passes and then a trial call.
    held: Option<Nanos>,
    trial_at: Nanos,
    back_off: u32,
    full_until: Nanos,
    /// Calls it answered lately.
    rate: Decayed,
    /// Cold budget: calls of mean work that may be sent, or are owed; and when it was last topped up.
    budget: f64,
    topped: Nanos,
}

/// One attempt of an open request.
struct Try {
    slot: usize,
    sent: Nanos,
    done: Option<Outcome>,
}

/// A request that was taken and not yet answered.
struct Open {
    class: usize,
    /// Size relative to its class, and the work it should be.
    scale: f64,
    work: f64,
    deadline: Nanos,
    /// Until when it waits for somewhere to go, and where there only is no room.
    hold: Nanos,
    wait: Nanos,
    tries: Vec<Try>,
    begun: bool,
}

/// What the rules still permit for a request: sends, until when and to whose group; and a refusal.
struct Permit {
    until: Nanos,
    within: Option<(DeduplicationScope, usize)>,
    shed: bool,
}

/// What a class usually takes: mean duration, its relative deviation, of how many; mean hint.
struct Norm {
    mean: f64,
    deviation: f64,
    seen: f64,
    cost: f64,
}

/// One sidecar's decisions. Feed it every event in order; do what it answers.
pub struct Balancer {
    settings: Settings,
    rng: fastrand::Rng,
    now: Nanos,
    endpoints: Vec<Endpoint>,
    /// Slots of the endpoints that take requests, preferred first.
    order: Vec<usize>,
    open: BTreeMap<RequestId, Open>,
    /// Those that wait for somewhere to go, oldest first.
    held: BTreeSet<RequestId>,
    norms: Vec<Norm>,
    retry_budget: f64,
    sent_work: Decayed,
    served: Decayed,
    arrived: Decayed,
    tenants: Vec<Decayed>,
    /// Time of recent answers over the aim of their class.
    recent: f64,
    watch_failures: u32,
}

impl Balancer {
    /// A balancer that knows nothing yet. `seed` feeds all its chance.
    pub fn new(settings: Settings, seed: u64, now: Nanos) -> Balancer {
        let mean = |c: &Class| c.latency_objective as f64 / OVERDUE_DEVIATIONS;
        let norm = |c| Norm { mean: mean(c), deviation: 1.0, seen: 0.0, cost: 0.0 };
        Balancer {
            rng: fastrand::Rng::with_seed(seed),
            now,
            endpoints: Vec::new(),
            order: Vec::new(),
            open: BTreeMap::new(),
            held: BTreeSet::new(),
            norms: settings.classes.iter().map(norm).collect(),
            retry_budget: 1.0,
            sent_work: Decayed::default(),
            served: Decayed::default(),
            arrived: Decayed::default(),
            tenants: vec![Decayed::default(); settings.tenants.len()],
            recent: 0.0,
            watch_failures: 0,
            settings,
        }
    }

    /// Takes one event at time `now` and appends what is to be done.
    pub fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        self.now = now.max(self.now);
        match event {
            Event::Endpoints(change) => self.follow_list(change, out),
            Event::RequestArrived(request) => self.take(request, out),
            Event::ResponseStarted { request, attempt } => {
                self.open.entry(request).and_modify(|r| r.begun = true);
                self.cancel_rest(request, Some(attempt), out);
            }
            Event::AttemptEnded(end) => self.attempt_ended(end, out),
            Event::RequestAborted(request) => self.forget(request, out),
            Event::HealthCheckCompleted { endpoint, outcome, .. } => self.checked(endpoint, outcome, out),
            Event::TimerFired(Timer::HealthCheck(id)) => self.check_due(id.0 as usize, out),
            Event::TimerFired(Timer::Request(id)) => self.request_due(id, out),
            Event::TimerFired(Timer::Discovery) => out.push(Action::WatchEndpoints(true)),
            Event::PeerMessage { .. } => {} // instances share nothing
        }
    }

    fn listed(&self) -> impl Iterator<Item = &Endpoint> {
        self.order.iter().map(|&slot| &self.endpoints[slot])
    }

    // ---- membership ----

    fn follow_list(&mut self, change: EndpointUpdate, out: &mut Vec<Action>) {
        let must_ask = self.settings.rules.poll_interval;
        let whole = !matches!(change, EndpointUpdate::Delta(_));
        if matches!(change, EndpointUpdate::Cached(_)) && self.settings.discovery == Discovery::Subscribe {
            let wait = self.rng.u64(0..=must_ask / 2);
            self.set_timer(wait, Timer::Discovery, out);
        }
        let entries = match change {
            EndpointUpdate::Failed => {
                // Discovery is one small service for all: ask again spread out, and further apart each time.
                self.watch_failures = (self.watch_failures + 1).min(3);
                let wait = (must_ask / 16) << self.watch_failures;
                let wait = wait + self.rng.u64(0..=wait);
                return self.set_timer(wait, Timer::Discovery, out);
            }
            EndpointUpdate::Cached(entries)
            | EndpointUpdate::Snapshot(entries)
            | EndpointUpdate::Delta(entries) => entries,
        };
        self.watch_failures = 0;
        self.endpoints.iter_mut().filter(|_| whole).for_each(|e| e.entry.state = EndpointState::Removed);
        entries.into_iter().for_each(|entry| self.list_entry(entry, out));
        // The preferred order: endpoints stand on a ring by the hash of their names, this zone's before the
        // others', and each instance starts where its number points. Starts are evenly spread, so that each
        // endpoint is the favourite of about as many instances and their own counts tell of most of its load.
        let zone = self.settings.zone;
        let mut ring: Vec<_> =
            self.endpoints.iter().filter(|e| e.entry.state == EndpointState::Ready).collect();
        ring.sort_by_cached_key(|e| (e.entry.zone != zone, xxh3_64(e.entry.name.as_bytes()), e.entry.id));
        let near = ring.iter().take_while(|e| e.entry.zone == zone).count();
        let start = (f64::from(self.settings.replica_index) * GOLDEN).fract();
        let (near, far) = ring.split_at_mut(near);
        [near, far].into_iter().for_each(|part| part.rotate_left((start * part.len() as f64) as usize));
        self.order = ring.iter().map(|e| e.entry.id.0 as usize).collect();
        self.resume_held(out);
    }

    fn list_entry(&mut self, entry: EndpointEntry, out: &mut Vec<Action>) {
        let (slot, now, ready) = (entry.id.0 as usize, self.now, entry.state == EndpointState::Ready);
        self.endpoints.resize_with(self.endpoints.len().max(slot + 1), Endpoint::default);
        // The cold budget starts at a random phase of one call: all instances together then begin at the
        // budgeted rate instead of sending their first call at the same moment.
        let (budget, period) = (-self.rng.f64(), self.check_period());
        let first_check = self.rng.u64(0..=period);
        let e = &mut self.endpoints[slot];
        let mut entered = ready && e.entry.state != EndpointState::Ready;
        if e.entry.name.is_empty() || entry.started.is_some() && entry.started != e.entry.started {
            // New, or a new process that owes nothing to its predecessor but the calls still out.
            let fresh = Endpoint { up: true, slow: 1.0, answered: now, topped: now, ..Endpoint::default() };
            *e = Endpoint { in_flight: e.in_flight, peak: e.in_flight, opened: e.in_flight, budget, ..fresh };
            entered = ready;
        }
        e.entry = entry;
        if entered && self.settings.limits.health_checks_enabled {
            self.schedule_check(slot, first_check, out); // spread, or all instances would check together
        }
    }

    // ---- checks and marks ----

    /// The base is the time in which a view of the list has to be renewed. The period shortens or grows
    /// from there so that checks stay a small share of this instance's calls, however long the list is.
    fn check_period(&mut self) -> Nanos {
        let base = self.settings.rules.poll_interval;
        let calls = (self.sent_work.add(self.now, base as f64, 0.0) / self.mean_work().max(1.0)).max(1.0);
        let wanted = base as f64 * self.order.len() as f64 / (calls * CHECK_SHARE);
        (wanted as Nanos).clamp(base / 2, 3 * base)
    }

    fn schedule_check(&mut self, slot: usize, wait: Nanos, out: &mut Vec<Action>) {
        let Some(e) = self.endpoints.get_mut(slot) else { return };
        e.next_check = self.now + wait;
        self.set_timer(wait, Timer::HealthCheck(EndpointId(slot as u32)), out);
    }

    fn check_due(&mut self, slot: usize, out: &mut Vec<Action>) {
        let (now, period) = (self.now, self.check_period());
        let jitter = self.rng.u64(0..=period / 8);
        // Else it was rescheduled meanwhile, or is no longer listed.
        let due = |e: &&mut Endpoint| e.next_check <= now && e.entry.state == EndpointState::Ready;
        let Some(e) = self.endpoints.get_mut(slot).filter(due) else { return };
        // One that is down or held back is looked at more often: its place waits for it.
        let wait = if e.up && e.held.is_none() { period } else { period / 8 } + jitter;
        // Danger: idle connections left from a peak fill the endpoint's table and lock others out. But a new
        // one costs more than one kept for a while, so that only what a whole period did not need is let go.
        if e.opened > SPARE && e.peak * 2 <= e.opened {
            e.opened = e.peak;
            out.push(Action::CloseIdleConnections(e.entry.id));
        }
        e.peak = e.in_flight;
        out.push(Action::StartHealthCheck(e.entry.id));
        self.schedule_check(slot, wait, out);
    }

    /// When an endpoint that was found down is looked at again: before then there is little use in asking.
    fn soon(&self) -> Nanos {
        self.settings.rules.poll_interval / 8
    }

    fn checked(&mut self, id: EndpointId, outcome: Outcome, out: &mut Vec<Action>) {
        let (slot, now, soon) = (id.0 as usize, self.now, self.soon());
        let Some(e) = self.endpoints.get_mut(slot) else { return };
        e.up = outcome == Outcome::Ok;
        if e.up {
            self.resume_held(out);
        } else if e.next_check > now + soon {
            self.schedule_check(slot, soon, out);
        }
    }

    /// Evidence from calls: the mark is left to the checks, but the endpoint is held back and its next check
    /// brought forward. Danger: a server that hangs or fails calls while its checks pass.
    fn suspect(&mut self, slot: usize, out: &mut Vec<Action>) {
        let (now, probes) = (self.now, self.settings.limits.health_checks_enabled);
        let base = self.settings.limits.connect_timeout + self.mean_work() as Nanos;
        let Some(e) = self.endpoints.get_mut(slot) else { return };
        (e.held, e.trial_at) = (Some(now), now + (base << e.back_off));
        e.back_off = (e.back_off + 1).min(4);
        if probes {
            e.next_check = now;
            self.check_due(slot, out);
        }
    }

    // ---- the walk ----

    /// Where a call goes: the first in good standing, not loaded too much over the lowest; else the least.
    fn walk(&mut self, request: &Open, permit: &Permit) -> Option<usize> {
        let (now, standing) = (self.now, |e: &Endpoint| e.up && e.held.is_none());
        let good = self.listed().filter(|e| standing(e)).count();
        // Danger: a surge or our own isolation fails checks everywhere, and the survivors drown.
        let panic = (good as f64) < PANIC_SHARE * self.order.len() as f64;
        let repeatable =
            !matches!(self.settings.classes[request.class].idempotency, Idempotency::NonIdempotent);
        self.order.iter().for_each(|&slot| _ = self.endpoints[slot].rate.add(now, RATE_SPAN, 0.0));
        let mean = self.listed().map(|e| e.rate.sum).sum::<f64>() / self.order.len().max(1) as f64;
        let warm = self.listed().filter(|e| standing(e) && self.warmth(e) >= 1.0);
        let warm = warm.fold([0.0; 3], |[n, all, seen], e| [n + 1.0, all + e.entry.size, seen + e.rate.sum]);
        let (ranks, mut rank) = (if panic { self.order.len() } else { good.max(1) }, 0);
        let (mut lowest, mut eligible) = (u32::MAX, Vec::with_capacity(self.order.len()));
        for at in 0..self.order.len() {
            let (slot, e) = (self.order[at], &self.endpoints[self.order[at]]);
            let (part, stands) = (f64::from(rank) / ranks as f64, panic || standing(e));
            rank += u32::from(stands);
            // A trial is one call at a time, and never one that would be lost for good.
            let trial = repeatable && e.up && e.held.is_some() && e.in_flight == 0 && e.trial_at <= now;
            let joins = |(group, like): (DeduplicationScope, usize)| {
                group.is_shared_by(&self.endpoints[like].entry, &e.entry)
            };
            let tried = request.tries.iter().any(|t| t.slot == slot);
            // Danger: marks may all be wrong, but who says it is full is; a call there costs it a handshake.
            let open = (stands || trial) && e.full_until <= now && !tried && permit.within.is_none_or(joins);
            // A cold budget is in parts of a call already, and has to be used by the copy that has it.
            // Danger: at first a call takes many times as long there.
            let (cold, near) = (self.warmth(e) < 1.0, e.entry.zone == self.settings.zone);
            let first = cold && near && self.warmth(e) * USUAL_RATIO >= 1.0;
            let open = open && (!cold || self.cold_budget_allows(slot, request.work, warm));
            let part = if cold { 0.0 } else { part };
            // Danger: repeats are many just where there is no room, and crowd out what would be in time.
            if open && self.has_room(slot, part, mean, request) {
                lowest = lowest.min(self.endpoints[slot].in_flight);
                eligible.push((slot, self.pressure(&self.endpoints[slot]), first));
            }
        }
        let limit = f64::from(lowest) + 1.0 + ALLOWANCE;
        let first = eligible.iter().filter(|e| e.1 <= limit).min_by_key(|e| !e.2);
        let least = || eligible.iter().min_by(|a, b| a.1.total_cmp(&b.1));
        first.or_else(least).map(|e| e.0)
    }

    /// The count with this call, weighed by how slow it was lately and how often it failed; both fade.
    fn pressure(&self, e: &Endpoint) -> f64 {
        let age = self.now.saturating_sub(e.answered) as f64 / self.settings.rules.poll_interval as f64;
        let (slow, blame) = (1.0 + (e.slow - 1.0) * (-age).exp(), e.blame * (-age).exp());
        (1.0 + f64::from(e.in_flight)) * slow * (1.0 + LONGEST_RATIO * blame * blame)
    }

    /// Whether an endpoint answers what is out in time. Danger: where too much waits it turns and stays slow.
    fn has_room(&mut self, slot: usize, part: f64, mean: f64, request: &Open) -> bool {
        let aim = self.settings.classes.iter().map(|c| c.latency_objective).min().unwrap_or(0) as f64;
        let copies =
            f64::from(if self.settings.tier == 0 { self.settings.replica_count.max(2) } else { 2 }) / 2.0;
        let e = &mut self.endpoints[slot];
        let (seen, prior) = (e.rate.add(self.now, RATE_SPAN, 0.0), PRIOR * (1.0 - 1.0 / copies));
        let rate = (seen + prior) / (mean + prior).max(f64::MIN_POSITIVE) * mean / RATE_SPAN;
        let least = LEAST_ROOM * (1.0 / copies).max(1.0 / self.order.len() as f64).min(1.0);
        // Danger: part of a call, rounded up by each copy, is a call of all.
        let out = f64::from(e.in_flight) + (1.0 - 1.0 / copies) * part;
        copies <= 1.0 && !request.tries.is_empty() || out < (rate * aim * ROOM_SHARE).max(least)
    }

    // ---- cold budget ----

    /// What an endpoint is sure to be capable of by its age, as a part of what it can do when warm.
    fn warmth(&self, e: &Endpoint) -> f64 {
        let (least, cold) = (
            self.settings.rules.slow_start_initial_share,
            self.settings.rules.slow_start_window.max(1) as f64,
        );
        least + (1.0 - least) * e.entry.started.map_or(1.0, |t| self.now.saturating_sub(t) as f64 / cold)
    }

    /// The sum over all instances keeps the rule: a cold endpoint gets what a warm one answers this instance,
    /// times its warmth, times part of the rule's multiple; where none is warm, what the mean one was sent.
    /// One that knows no rate yet sends next to nothing. `warm`: their number, size in all, calls answered.
    fn cold_budget_allows(&mut self, slot: usize, work: f64, warm: [f64; 3]) -> bool {
        let (now, unit, rules) = (self.now, self.usual_work(), self.settings.rules.clone());
        let (span, [count, size, seen]) = (rules.poll_interval as f64, warm);
        let sent = self.sent_work.add(now, span, 0.0) / unit / span / self.order.len() as f64;
        // Danger: one smaller than the mean can do less than an ordinary load.
        let part = (self.endpoints[slot].entry.size / size).min(1.0 / count);
        let ordinary = if count > 0.0 { seen / RATE_SPAN * part } else { sent };
        let rate = ordinary * self.warmth(&self.endpoints[slot]) * rules.overload_multiple * COLD_SHARE;
        let (heavy, window) = ((work / unit - 1.0).max(0.0), rate * rules.overload_window as f64);
        let e = &mut self.endpoints[slot];
        let most = if count > 0.0 { window * SAVED_SHARE } else { 1.5 * window.max(1.0 + heavy) - 1.0 };
        (e.budget, e.topped) = (e.budget + rate * now.saturating_sub(e.topped) as f64, now);
        // Danger: thirty copies with a call saved up each send them at once. Beside warm ones, what is left
        // unused goes by whole calls, never rounded up; where none is warm, a rare call would wait in vain.
        e.budget -= if count > 0.0 { (e.budget - most).ceil() } else { e.budget - most }.max(0.0);
        e.budget >= heavy
    }

    // ---- attempts ----

    /// The one place that says what may still be done with a request.
    fn permit(&self, request: &Open) -> Permit {
        let anything = Permit { until: Nanos::MAX, within: None, shed: true };
        let ran = |t: &&Try| !t.done.is_some_and(Outcome::was_never_executed);
        let Some(first) = request.tries.iter().find(ran) else { return anything };
        match self.settings.classes[request.class].idempotency {
            Idempotency::Idempotent => anything,
            Idempotency::Keyed { scope: group, window } => Permit {
                until: first.sent + window - window / 8, // it has to arrive inside the window too
                within: Some((group, first.slot)),
                shed: group == DeduplicationScope::All,
            },
            Idempotency::NonIdempotent => Permit { until: 0, within: None, shed: false },
        }
    }

    /// Sends a request if that is permitted and there is somewhere to send it.
    fn dispatch(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(mut request) = self.open.remove(&id) else { return false };
        let (permit, now, unit) = (self.permit(&request), self.now, self.usual_work());
        let attempts_left = (self.settings.limits.max_attempts as usize).saturating_sub(request.tries.len());
        let possible = attempts_left > 0 && now < permit.until && now < request.deadline;
        let target = if possible { self.walk(&request, &permit) } else { None };
        if let Some(slot) = target {
            let overdue = self.overdue(&request, request.tries.len());
            let (e, start_by) = (&mut self.endpoints[slot], permit.until.min(request.deadline));
            (e.in_flight, e.trial_at) = (e.in_flight + 1, now + overdue);
            (e.peak, e.opened) = (e.peak.max(e.in_flight), e.opened.max(e.in_flight));
            e.budget -= request.work / unit;
            out.push(Action::StartAttempt { request: id, endpoint: e.entry.id, timeout: 0, start_by });
            request.tries.push(Try { slot, sent: now, done: None });
            self.held.remove(&id);
            self.sent_work.add(now, self.settings.rules.poll_interval as f64, request.work);
            self.set_timer(overdue, Timer::Request(id), out);
        }
        self.open.insert(id, request);
        target.is_some()
    }

    /// Whether answers come well before their aims, and waiting is no matter of a queue.
    fn answers_are_quick(&self) -> bool {
        self.recent < SLOW_SHARE / 2.0
    }

    /// How long an attempt may take before it counts as overdue. Danger: where answers take microseconds, any
    /// hiccup of a machine is many deviations; a connection alone may take longer. And a request whose work
    /// is heavy would be called off each time: each attempt has twice the time (Karn and Partridge 1987).
    fn overdue(&self, request: &Open, attempt: usize) -> Nanos {
        let usual = request.work * (1.0 + OVERDUE_DEVIATIONS * self.norms[request.class].deviation);
        let doubled = if self.answers_are_quick() { attempt.min(4) } else { 0 };
        (usual as Nanos).max(self.settings.limits.connect_timeout) << doubled
    }

    fn attempt_ended(&mut self, end: AttemptEnd, out: &mut Vec<Action>) {
        let slot = end.endpoint.0 as usize;
        let Some(e) = self.endpoints.get_mut(slot) else { return };
        e.in_flight = e.in_flight.saturating_sub(1);
        let attempt = self.open.get_mut(&end.request).and_then(|r| r.tries.get_mut(end.attempt as usize));
        attempt.into_iter().for_each(|t| t.done = Some(end.outcome));
        self.learn(slot, &end, out);
        self.attempt_settled(&end, out);
        self.resume_held(out);
    }

    /// What becomes of its request.
    fn attempt_settled(&mut self, end: &AttemptEnd, out: &mut Vec<Action>) {
        if end.request_completed {
            return self.forget(end.request, out);
        }
        if self.open.get(&end.request).is_none_or(|r| r.begun || r.tries.iter().any(|t| t.done.is_none())) {
            return; // another attempt is still out
        }
        // Danger: every tier retrying multiplies a failure. Only a call that never ran is retried for free.
        let free = end.outcome.was_never_executed();
        if (free || self.retry_budget >= 1.0) && self.dispatch(end.request, out) {
            self.retry_budget -= if free { 0.0 } else { 1.0 };
        } else {
            self.finish(end.request, self.soon(), out);
        }
    }

    /// What the end of an attempt tells about its endpoint and its class.
    fn learn(&mut self, slot: usize, end: &AttemptEnd, out: &mut Vec<Action>) {
        let (now, pause, ok) = (self.now, self.mean_work() as Nanos, end.outcome == Outcome::Ok);
        // Danger: what was called off took longer still; left out, nothing strays, and all is called off.
        let called_off = end.outcome == Outcome::Cancelled && !end.request_completed;
        if let Some(request) = self.open.get(&end.request).filter(|_| ok || called_off) {
            let (aim, took) =
                (self.settings.classes[request.class].latency_objective as f64, end.duration as f64);
            let ratio = took / request.work.max(1.0);
            // Danger: where none is warm all would wait, with no rate to go by. So what a cold endpoint has
            // answered in its usual time it may be sent again: that much it can do.
            let alone = ok && !self.listed().any(|e| e.up && e.held.is_none() && self.warmth(e) >= 1.0);
            let again = if alone && ratio < USUAL_RATIO { request.work / self.usual_work() } else { 0.0 };
            let (norm, e) = (&mut self.norms[request.class], &mut self.endpoints[slot]);
            e.budget += again;
            e.slow += if ok { LEARN * (ratio.min(LONGEST_RATIO) - e.slow) } else { 0.0 };
            // The first answers count in full: budgets are in units of this mean and must not shrink later.
            norm.seen += 1.0;
            let pace = (1.0 / norm.seen).max(LEARN / 4.0);
            norm.deviation += pace * ((ratio - 1.0).abs() - norm.deviation);
            norm.mean += if ok { pace * (took / request.scale - norm.mean) } else { 0.0 };
            self.served.add(now, aim, f64::from(u8::from(ok)));
            self.recent += if ok { LEARN * (took / aim - self.recent) } else { 0.0 };
        }
        let level = self.listed().map(|e| e.blame).sum::<f64>() / self.order.len().max(1) as f64;
        let e = &mut self.endpoints[slot];
        match end.outcome {
            Outcome::Ok => {
                e.rate.add(now, RATE_SPAN, 1.0);
                e.blame *= 1.0 - BLAME;
                e.answered = now;
                if e.held.is_none_or(|since| now.saturating_sub(end.duration) >= since) {
                    e.back_off = if e.held.take().is_none() { 0 } else { e.back_off };
                }
            }
            // Danger: an endpoint whose connection table is full refuses connections but is not gone.
            Outcome::ConnectFailed if e.answered + end.duration + pause > now => e.full_until = now + pause,
            Outcome::Overloaded => e.full_until = now + pause,
            Outcome::Error | Outcome::Timeout | Outcome::Reset | Outcome::ConnectFailed => {
                e.blame += BLAME * (1.0 - e.blame);
                // A tier below in trouble fails calls at every endpoint: only the odd one out is held back.
                // Danger: connections break by themselves, everywhere alike; a dead process refuses them.
                if end.outcome == Outcome::ConnectFailed || e.blame - level > SUSPECT {
                    self.suspect(slot, out);
                }
            }
            Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    fn cancel_rest(&self, id: RequestId, keep: Option<u32>, out: &mut Vec<Action>) {
        let Some(request) = self.open.get(&id).filter(|_| self.settings.limits.cancellation_enabled) else {
            return;
        };
        let out_still = request.tries.iter().zip(0..).filter(|(t, n)| t.done.is_none() && Some(*n) != keep);
        out.extend(out_still.map(|(_, attempt)| Action::CancelAttempt { request: id, attempt }));
    }

    /// Nothing more can be done: a refusal where it is true that trying again is harmless, else a failure.
    fn finish(&mut self, id: RequestId, come_back: Nanos, out: &mut Vec<Action>) {
        let come_back = come_back.min(self.settings.limits.max_retry_after);
        let Some(harmless) = self.open.get(&id).map(|r| self.permit(r).shed) else { return };
        out.push(if harmless {
            Action::Shed { request: id, retry_after: come_back }
        } else {
            Action::Fail(id)
        });
        self.forget(id, out);
    }

    /// The request has ended: what of it is still out is called off.
    fn forget(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.cancel_rest(id, None, out);
        self.open.remove(&id);
        self.held.remove(&id);
    }

    // ---- admission ----

    fn take(&mut self, r: Request, out: &mut Vec<Action>) {
        let class = (r.class.0 as usize).min(self.norms.len() - 1);
        let norm = &mut self.norms[class];
        let mut scale = 1.0;
        if let Some(cost) = r.estimated_work.map(|c| c as f64) {
            norm.cost += (1.0 / (1.0 + norm.seen)).max(LEARN / 4.0) * (cost - norm.cost);
            // Half of a duration is taken to follow the work; the other half is waiting on others.
            scale = 0.5 + 0.5 * cost / norm.cost.max(1.0);
        }
        let (work, deadline) = (norm.mean * scale, self.now + r.time_left);
        let hold = self.now + (r.time_left as f64 * HOLD_SHARE) as Nanos;
        let wait = hold
            .min(self.now + (self.settings.classes[class].latency_objective as f64 * WAIT_SHARE) as Nanos);
        self.open
            .insert(r.id, Open { class, scale, work, deadline, hold, wait, tries: Vec::new(), begun: false });
        self.retry_budget = (self.retry_budget + RETRY_SHARE).min(RETRY_SAVINGS);
        let over_share = r.tenant.is_some_and(|t| self.over_share(t.0 as usize));
        match if self.settings.tier == 0 { self.overloaded(class, over_share) } else { None } {
            Some(wait) => self.finish(r.id, wait, out),
            None => self.place(r.id, out),
        }
    }

    /// Whether this request is part of what its tenant sends beyond its share. Danger: a busy zone looks like
    /// every tenant sending too much, so the others' excess over their quotas at this instance is granted.
    fn over_share(&mut self, tenant: usize) -> bool {
        let (now, span) = (self.now, self.settings.rules.poll_interval as f64);
        let Some(mine) = self.tenants.get_mut(tenant).map(|t| t.add(now, span, 1.0)) else { return false };
        let others = self.arrived.add(now, span, 1.0) - mine;
        let all: f64 = self.settings.tenants.iter().map(|t| t.quota_per_s).sum();
        let quota = self.settings.tenants[tenant].quota_per_s;
        let usual = span / 1e9 / f64::from(self.settings.replica_count);
        self.rng.f64() * mine > quota * usual.max(others / (all - quota).max(1.0))
    }

    /// Only where clients call: a refusal further down would waste what was done above. Requests taken and
    /// not yet answered, over the rate of answers, are a newcomer's wait; what is worth less for its work, or
    /// beyond its tenant's share, is turned away at a shorter one. Danger: counted by work instead, one heavy
    /// request shuts itself and others out, and where worth goes by work it is the one to keep.
    fn overloaded(&mut self, class: usize, over_share: bool) -> Option<Nanos> {
        let worth =
            |class: usize| self.settings.classes[class].priority_weight / self.norms[class].mean.max(1.0);
        let best = (0..self.norms.len()).map(worth).fold(f64::MIN_POSITIVE, f64::max);
        let value =
            worth(class) / best * if over_share { self.settings.over_quota_weight_ratio } else { 1.0 };
        let (aim, open) = (self.settings.classes[class].latency_objective as f64, self.open.len() as f64);
        let served = self.served.add(self.now, aim, 0.0);
        let share = 1.0 / (1.0 + WAIT_DEVIATIONS * self.norms[class].deviation);
        let limit = served * share * value.sqrt();
        // Slack for chance: one, and two deviations of a Poisson count that go as answers near the whole aim.
        let slack = 1.0 + 2.0 * limit.sqrt() * (2.0 - 2.0 * self.recent).clamp(0.0, 1.0);
        // Danger: requests stuck on a few endpoints look like a queue; it is one if answers are slow too.
        let overloaded = open > limit + slack && self.recent > share * SLOW_SHARE;
        overloaded.then(|| (open * aim / served.max(1.0)) as Nanos)
    }

    fn mean_work(&self) -> f64 {
        self.norms.iter().map(|n| n.mean).sum::<f64>() / self.norms.len().max(1) as f64
    }

    /// Mean over answers. Danger: by classes alike, one that is rare makes light of all the others.
    fn usual_work(&self) -> f64 {
        let sum = |part: fn(&Norm) -> f64| self.norms.iter().map(part).sum::<f64>();
        (sum(|n| n.mean * (n.seen + 1.0)) / sum(|n| n.seen + 1.0)).max(1.0)
    }

    /// Sends a new request; where no endpoint can take it now it waits for news. Danger: a client that is
    /// held until near its deadline and then turned away has no time left to go elsewhere.
    fn place(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if self.dispatch(id, out) {
            return;
        }
        let Some(request) = self.open.get(&id) else { return };
        let crowded = self.listed().any(|e| e.up && e.held.is_none());
        let until = if crowded { request.wait } else { request.hold };
        match until.saturating_sub(self.now + 2 * self.settings.clock_granularity) {
            0 => self.finish(id, self.soon(), out),
            left => {
                self.set_timer(left.min(self.settings.limits.connect_timeout), Timer::Request(id), out);
                self.held.insert(id);
            }
        }
    }

    /// Sends what is held, oldest first. A few that can't go do not keep back the others; many mean that
    /// none can, and are not all tried each time.
    fn resume_held(&mut self, out: &mut Vec<Action>) {
        let (mut after, mut left) = (None, RESUME_TRIES);
        while left > 0 {
            let rest = (after.map_or(Bound::Unbounded, Bound::Excluded), Bound::Unbounded);
            let Some(&id) = self.held.range::<RequestId, _>(rest).next() else { return };
            left -= u32::from(!self.dispatch(id, out));
            after = Some(id);
        }
    }

    // ---- timers ----

    fn set_timer(&self, wait: Nanos, timer: Timer, out: &mut Vec<Action>) {
        out.push(Action::SetTimer { at: self.now + wait.max(1), timer });
    }

    /// A request's timer: it waits for an endpoint, or its last attempt may be overdue.
    fn request_due(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let waits = |r: &&Open| !r.begun && r.tries.last().is_none_or(|t| t.done.is_none());
        let Some(request) = self.open.get(&id).filter(waits) else { return };
        let Some(&Try { slot, sent, .. }) = request.tries.last() else { return self.place(id, out) };
        let due = sent + self.overdue(request, request.tries.len() - 1);
        if due > self.now {
            return self.set_timer(due - self.now, Timer::Request(id), out); // more is known of its class now
        }
        // Danger: an endpoint that accepts work and answers nothing. One that answered since is only slow,
        // and where all are slow there is a queue, which calling off makes longer.
        let hangs = self.endpoints[slot].answered <= sent && self.answers_are_quick();
        if hangs && self.endpoints[slot].held.is_none() {
            self.suspect(slot, out);
        }
        if self.retry_budget < 1.0 || self.open.get(&id).is_none_or(|r| self.permit(r).until <= self.now) {
            return;
        }
        if self.settings.limits.hedging_enabled {
            self.retry_budget -= if self.dispatch(id, out) { 1.0 } else { 0.0 };
        } else if hangs {
            // Danger: cutting off calls that are merely slow, when all are, wastes their work twice.
            self.cancel_rest(id, None, out);
        }
    }
}
