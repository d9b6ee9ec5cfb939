//! One server: slots, cores, a bounded queue, connections, and the ways in which it is slow or ill.
//!
//! A request holds a slot from its begin to its answer, also while it waits for the next tier. Its work is
//! cut into equal parts by its calls to the next tier; each part waits for a core in turn and then runs to
//! its end. Simpler than the world: cores are not shared by time slices, and a part runs at the speed that
//! the server had when the part began.

use super::ctx::Ctx;
use super::faults::Stretch;
use super::message::{Answer, Attempt, AttemptId, Change, Message, ServerStateBroadcast};
use super::pressure::Pressure;
use super::world::World;
use crate::policy::TrueState;
use crate::scenario::{Cancel, Kind};
use olivecart_decisions::{LoadReport, Nanos, Outcome};
use rand::Rng;
use rand_distr::{Exp1, StandardNormal};
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// What a server asks of its machine.
#[derive(Debug)]
pub enum Effect {
    /// An answer goes to a proxy.
    Answer(u32, Answer),
    /// A job calls the next tier.
    Call {
        /// The job, and which of its calls: an answer to an earlier one is none of this.
        job: u32,
        /// Which run of the job's place.
        run: u32,
        /// What it works on.
        attempt: Attempt,
    },
    /// A job does not wait for its call any more.
    Hangup {
        /// The request's number at the machine's own proxy.
        request: u64,
    },
    /// A request had its effect.
    Executed(Attempt),
}

/// Where a job stands.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// For a slot.
    Waiting,
    /// For a core.
    Ready,
    /// On a core until then.
    Running { ends: Nanos },
    /// For the next tier.
    Calling { request: Option<u64> },
    /// For nothing any more.
    Done,
}

struct Job {
    attempt: Attempt,
    stage: Stage,
    /// Which run of this place: what was started for an earlier one is not for this.
    run: u32,
    /// Work of each part, and calls still to be made.
    part: u64,
    calls: u32,
    /// Work done for it here and below, and work here that is still to be done.
    done: u64,
    left: u64,
    /// Its connection is open: the answer can reach somebody.
    connected: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Down,
    Up,
    Draining,
}

/// Counts for the report; whole numbers, so that sums are the same in any order.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Attempts that came.
    pub attempts: u64,
    /// Turned away unseen.
    pub turned_away: u64,
    /// Answered, also with errors.
    pub answered: u64,
    /// Taken in and not answered: dropped, dead, or hung.
    pub lost: u64,
    /// Work done, at speed 1.
    pub work: u64,
    /// Core time used.
    pub busy: u64,
    /// Time that it ran.
    pub up: u64,
    /// Most requests at a time.
    pub peak_requests: u64,
    /// Probes.
    pub probes: u64,
    /// New connections.
    pub handshakes: u64,
    /// Most connections at a time.
    pub peak_connections: u64,
    /// Connections times time, in microseconds.
    pub connection_us: u64,
    /// Deaths.
    pub deaths: u32,
    /// It fell over while cold.
    pub fell_over: bool,
}

/// A server.
pub struct Server {
    tier: u8,
    slot: u32,
    speed: f64,
    state: State,
    /// Counts its lives, so that what an earlier one left means nothing to the next.
    life: u32,
    /// When this life began; 0: long ago, and it is warm.
    started: Nanos,
    hangs: bool,
    errors: f64,
    slower: f64,
    late: Nanos,
    jobs: Vec<Option<Job>>,
    free: Vec<u32>,
    ids: FxHashMap<AttemptId, u32>,
    waiting: VecDeque<u32>,
    ready: VecDeque<u32>,
    runs: u32,
    slots_used: u32,
    cores_used: u32,
    /// Work that is here and not yet done.
    backlog: u64,
    /// Work of probes and handshakes, done with the next part.
    overhead: u64,
    paused_until: Nanos,
    crowded_since: Option<Nanos>,
    rested_since: Option<Nanos>,
    crowded: bool,
    connections: u32,
    /// Load reports, oldest first: when made, and what.
    reports: VecDeque<(Nanos, LoadReport)>,
    served_since: u64,
    busy_since: u64,
    pressure: Pressure,
    changed_at: Nanos,
    /// For the report.
    pub counts: Counts,
}

impl Server {
    /// A server that runs and is warm, or one that is not there yet.
    pub fn new(tier: u8, slot: u32, ctx: &mut Ctx) -> Server {
        let (world, now) = (ctx.world, ctx.now);
        let spec = &world.tiers[tier as usize].servers[slot as usize];
        let server = Server {
            tier,
            slot,
            speed: spec.speed,
            state: if spec.first { State::Up } else { State::Down },
            life: 0,
            started: 0,
            hangs: false,
            errors: 0.0,
            slower: 1.0,
            late: 0,
            jobs: Vec::new(),
            free: Vec::new(),
            ids: FxHashMap::default(),
            waiting: VecDeque::new(),
            ready: VecDeque::new(),
            runs: 0,
            slots_used: 0,
            cores_used: 0,
            backlog: 0,
            overhead: 0,
            paused_until: 0,
            crowded_since: None,
            rested_since: Some(now),
            crowded: false,
            connections: 0,
            reports: VecDeque::new(),
            served_since: 0,
            busy_since: 0,
            pressure: Pressure::default(),
            changed_at: now,
            counts: Counts::default(),
        };
        server.next_pause(ctx);
        server
    }

    /// Whether its process runs.
    pub fn runs(&self) -> bool {
        self.state != State::Down
    }

    /// When this life began.
    pub fn started(&self) -> Nanos {
        self.started
    }

    fn kind<'a>(&self, world: &'a World) -> &'a Kind {
        world.kind(self.tier, self.slot)
    }

    /// The speed of a core now.
    fn speed_now(&self, world: &World, now: Nanos) -> f64 {
        let kind = self.kind(world);
        let warmth = match kind.cold {
            Some(cold) if self.started > 0 && cold.warm_in.nanos() > 0 => {
                let age = now.saturating_sub(self.started) as f64 / cold.warm_in.nanos() as f64;
                cold.from + (1.0 - cold.from) * age.min(1.0)
            }
            _ => 1.0,
        };
        let crowd = kind.crowd.filter(|_| self.crowded).map_or(1.0, |c| c.slower);
        (self.speed * warmth / crowd / self.slower).max(1e-6)
    }

    /// Its true state, for a policy that may see it.
    pub fn true_state(&self, world: &World, now: Nanos) -> TrueState {
        let speed = self.speed_now(world, now);
        let capacity = f64::from(self.kind(world).cores) * speed;
        let paused = self.paused_until.saturating_sub(now);
        TrueState {
            is_serving: self.state == State::Up && !self.hangs && self.errors < 0.5,
            queue_delay: (self.backlog as f64 / capacity) as Nanos + paused,
            capacity,
            core_speed: speed,
        }
    }

    // ---- what comes over the network ----

    /// An attempt has come.
    pub fn arrive(&mut self, ctx: &mut Ctx, attempt: Attempt, effects: &mut Vec<Effect>) {
        let (world, now) = (ctx.world, ctx.now);
        self.counts.attempts += 1;
        let (kind, id) = (self.kind(world), attempt.id);
        let turned_away = |outcome, kept, effects: &mut Vec<Effect>| {
            let answer =
                Answer { request: id.request, number: id.number, outcome, kept, work: 0, load: None };
            effects.push(Effect::Answer(id.proxy, answer));
        };
        if self.state == State::Down {
            self.counts.turned_away += 1;
            return turned_away(Outcome::ConnectFailed, None, effects);
        }
        self.settle(world, now);
        let work = self.own_work(world, &attempt);
        // What it turns away presses on it too.
        if self.bears_too_much(world, now, work, &attempt) {
            self.counts.turned_away += 1;
            self.counts.fell_over = true;
            self.die(world, now, false, effects);
            return turned_away(Outcome::Reset, None, effects);
        }
        let fresh = attempt.kept != Some(self.life);
        let cap = kind.connections.cap;
        if fresh && cap > 0 && self.connections >= cap {
            self.counts.turned_away += 1;
            return turned_away(Outcome::ConnectFailed, None, effects);
        }
        if fresh {
            self.connections += 1;
            self.counts.handshakes += 1;
            self.counts.peak_connections = self.counts.peak_connections.max(self.connections.into());
            self.overhead += kind.connections.handshake_work.nanos();
        }
        let kept = Some(self.life);
        if self.state == State::Draining
            || self.waiting.len() >= kind.queue as usize && self.slots_used >= kind.slots
        {
            self.counts.turned_away += 1;
            return turned_away(Outcome::Overloaded, kept, effects);
        }
        if ctx.rng.random::<f64>() < kind.error_rate.max(self.errors) {
            self.counts.answered += 1;
            return turned_away(Outcome::Error, kept, effects);
        }
        self.take_in(ctx, attempt, work);
        if attempt.breaks {
            self.connections = self.connections.saturating_sub(1);
            turned_away(Outcome::Reset, None, effects);
        }
    }

    fn own_work(&self, world: &World, attempt: &Attempt) -> u64 {
        (attempt.work as f64 * world.scenario.tier[self.tier as usize].work_share) as u64
    }

    fn take_in(&mut self, ctx: &mut Ctx, attempt: Attempt, work: u64) {
        let calls = ctx.world.scenario.tier.get(self.tier as usize + 1).map_or(0, |next| {
            let sure = next.calls.floor();
            sure as u32 + u32::from(ctx.rng.random::<f64>() < next.calls - sure)
        });
        self.runs = self.runs.wrapping_add(1);
        let job = Job {
            attempt,
            stage: Stage::Waiting,
            run: self.runs,
            part: work / u64::from(calls + 1),
            calls,
            done: 0,
            left: work / u64::from(calls + 1) * u64::from(calls + 1),
            connected: !attempt.breaks,
        };
        self.backlog += job.left;
        let at = match self.free.pop() {
            Some(at) => {
                self.jobs[at as usize] = Some(job);
                at
            }
            None => {
                self.jobs.push(Some(job));
                self.jobs.len() as u32 - 1
            }
        };
        self.ids.insert(attempt.id, at);
        self.counts.peak_requests = self.counts.peak_requests.max(self.ids.len() as u64);
        self.waiting.push_back(at);
        self.go_on(ctx);
    }

    /// An attempt is given up, and its connection closed.
    pub fn drop_attempt(&mut self, ctx: &mut Ctx, id: AttemptId, effects: &mut Vec<Effect>) {
        let (world, now) = (ctx.world, ctx.now);
        let Some(&at) = self.ids.get(&id) else { return };
        self.settle(world, now);
        self.connections = self.connections.saturating_sub(1);
        let Some(job) = self.jobs[at as usize].as_mut() else { return };
        job.connected = false;
        let stage = job.stage;
        let stops = match (self.kind(world).cancel, stage) {
            (Cancel::None, _) => false,
            (_, Stage::Waiting) => true,
            (Cancel::Queued, _) => false,
            (Cancel::Running, _) => true,
        };
        if stops {
            if let Stage::Calling { request: Some(request) } = stage {
                effects.push(Effect::Hangup { request });
            }
            self.counts.lost += 1;
            self.remove(at, now);
            self.go_on(ctx);
        }
    }

    /// Idle connections are closed.
    pub fn close(&mut self, world: &World, now: Nanos, life: u32, count: u32) {
        if life == self.life {
            self.settle(world, now);
            self.connections = self.connections.saturating_sub(count);
        }
    }

    /// A probe has come: how it ends, and when it is answered. It is answered beside the queue, so that a
    /// server that hangs passes it.
    pub fn probe(&mut self, world: &World, now: Nanos) -> (Outcome, Nanos, Option<LoadReport>) {
        self.counts.probes += 1;
        match self.state {
            State::Down => (Outcome::ConnectFailed, now, None),
            State::Up | State::Draining => {
                let work = self.kind(world).probe_work.nanos();
                self.overhead += work;
                let ends = now.max(self.paused_until) + (work as f64 / self.speed_now(world, now)) as Nanos;
                (Outcome::Ok, ends, self.report(world, now))
            }
        }
    }

    // ---- work ----

    /// A core may have finished a part.
    pub fn worked(&mut self, ctx: &mut Ctx, job: u32, run: u32, effects: &mut Vec<Effect>) {
        let (world, now) = (ctx.world, ctx.now);
        let Some(Some(this)) = self.jobs.get_mut(job as usize) else { return };
        let Stage::Running { ends } = this.stage else { return };
        if this.run != run {
            return;
        }
        if self.hangs {
            this.stage = Stage::Running { ends: Nanos::MAX }; // until it hangs no more
            return;
        }
        if ends > now {
            return ctx.out.schedule(ends, Message::Worked { job, run }); // it stood still meanwhile
        }
        self.settle(world, now);
        let Some(Some(this)) = self.jobs.get_mut(job as usize) else { return };
        this.done += this.part;
        this.left = this.left.saturating_sub(this.part);
        self.counts.work += this.part;
        self.backlog = self.backlog.saturating_sub(this.part);
        self.cores_used -= 1;
        if this.calls > 0 {
            this.calls -= 1;
            this.stage = Stage::Calling { request: None };
            effects.push(Effect::Call { job, run, attempt: this.attempt });
        } else {
            this.stage = Stage::Done;
            self.finish(world, now, job, Outcome::Ok, effects);
        }
        self.go_on(ctx);
    }

    /// The machine's proxy has taken a job's call under this number.
    pub fn calls_as(&mut self, job: u32, run: u32, number: u64) {
        if let Some(Some(this)) = self.jobs.get_mut(job as usize)
            && this.run == run
            && let Stage::Calling { request } = &mut this.stage
        {
            *request = Some(number);
        }
    }

    /// A job's call has ended: with the work done for it, or in vain.
    pub fn called(
        &mut self,
        ctx: &mut Ctx,
        (job, run): (u32, u32),
        served: Option<u64>,
        effects: &mut Vec<Effect>,
    ) {
        let (world, now) = (ctx.world, ctx.now);
        let Some(Some(this)) = self.jobs.get_mut(job as usize) else { return };
        if this.run != run || !matches!(this.stage, Stage::Calling { .. }) {
            return;
        }
        match served {
            Some(work) => {
                this.done += work;
                this.stage = Stage::Ready;
                self.ready.push_back(job);
            }
            None => self.finish(world, now, job, Outcome::Error, effects),
        }
        self.go_on(ctx);
    }

    fn finish(&mut self, world: &World, now: Nanos, at: u32, outcome: Outcome, effects: &mut Vec<Effect>) {
        let Some(job) = self.jobs[at as usize].as_ref() else { return };
        let attempt = job.attempt;
        if outcome == Outcome::Ok {
            self.served_since += 1;
            effects.push(Effect::Executed(attempt));
        }
        if job.connected {
            self.counts.answered += 1;
            let AttemptId { proxy, request, number } = attempt.id;
            let (kept, work) = (Some(self.life), job.done);
            let load = self.report(world, now);
            effects.push(Effect::Answer(proxy, Answer { request, number, outcome, kept, work, load }));
        } else {
            self.counts.lost += 1;
        }
        self.remove(at, now);
    }

    /// Takes a job out, wherever it stands.
    fn remove(&mut self, at: u32, now: Nanos) {
        let Some(job) = self.jobs[at as usize].take() else { return };
        self.ids.remove(&job.attempt.id);
        self.free.push(at);
        self.backlog = self.backlog.saturating_sub(job.left);
        match job.stage {
            Stage::Waiting => self.waiting.retain(|j| *j != at),
            Stage::Ready => {
                self.ready.retain(|j| *j != at);
                self.slots_used -= 1;
            }
            Stage::Running { ends } => {
                // What was done of the part is done in vain.
                self.unbusy(ends, now);
                self.cores_used -= 1;
                self.slots_used -= 1;
            }
            Stage::Calling { .. } | Stage::Done => self.slots_used -= 1,
        }
    }

    /// A core that was counted as busy until then is free now.
    fn unbusy(&mut self, ends: Nanos, now: Nanos) {
        if ends != Nanos::MAX {
            self.counts.busy = self.counts.busy.saturating_sub(ends.saturating_sub(now));
        }
    }

    /// Gives slots and cores to those whose turn it is.
    fn go_on(&mut self, ctx: &mut Ctx) {
        let (world, now) = (ctx.world, ctx.now);
        if self.hangs {
            return;
        }
        let (slots, cores) = (self.kind(world).slots, self.kind(world).cores);
        while self.slots_used < slots
            && let Some(at) = self.waiting.pop_front()
        {
            self.slots_used += 1;
            if let Some(job) = &mut self.jobs[at as usize] {
                job.stage = Stage::Ready;
            }
            self.ready.push_back(at);
        }
        self.watch_crowd(world, now);
        while self.cores_used < cores
            && let Some(at) = self.ready.pop_front()
        {
            let speed = self.speed_now(world, now);
            let Some(job) = &mut self.jobs[at as usize] else { continue };
            let took = ((job.part + std::mem::take(&mut self.overhead)) as f64 / speed) as Nanos;
            let ends = now.max(self.paused_until) + took;
            job.stage = Stage::Running { ends };
            self.cores_used += 1;
            self.counts.busy += took;
            ctx.out.schedule(ends, Message::Worked { job: at, run: job.run });
        }
    }

    // ---- how it is ----

    /// Slow at once when too much is here for a while; fast again only after rest.
    fn watch_crowd(&mut self, world: &World, now: Nanos) {
        let kind = self.kind(world);
        let Some(crowd) = kind.crowd else { return };
        let here = self.ids.len() as f64 / f64::from(kind.cores);
        let since = |held: Option<Nanos>, holds: bool| held.filter(|_| holds).or(holds.then_some(now));
        self.crowded_since = since(self.crowded_since, here > crowd.per_core);
        self.rested_since = since(self.rested_since, here < 1.0);
        let lasts = |held: Option<Nanos>, least: Nanos| held.is_some_and(|s| now - s >= least);
        if lasts(self.crowded_since, crowd.after.nanos()) {
            self.crowded = true;
        } else if lasts(self.rested_since, crowd.rest.nanos()) {
            self.crowded = false;
        }
    }

    /// Whether this work topples it: cold, and sent more than it can bear.
    fn bears_too_much(&mut self, world: &World, now: Nanos, work: u64, attempt: &Attempt) -> bool {
        let kind = self.kind(world);
        let Some(cold) = kind.cold.filter(|_| self.started > 0) else { return false };
        let warm_at = self.started + cold.warm_in.nanos();
        if now >= warm_at {
            self.pressure = Pressure::default();
            return false;
        }
        let rules = &world.scenario.rules;
        let capacity = f64::from(kind.cores) * self.speed_now(world, now);
        let told = attempt.told_started == self.started;
        let window = Stretch { from: now.saturating_sub(rules.fall_window.nanos()), to: now + 1 };
        let bearable = rules.fall_multiple * capacity * rules.fall_window.nanos() as f64;
        self.pressure.add(window, work, told, bearable)
    }

    /// Whether it fell over because of proxies that had been told of its start.
    pub fn pushed_over(&self) -> bool {
        self.counts.fell_over && self.pressure.by_those_told()
    }

    /// What pushed it over, in words.
    pub fn pressure_in_words(&self) -> String {
        self.pressure.to_string()
    }

    /// Brings its accounts up to a time, and makes the load reports that are due.
    fn settle(&mut self, world: &World, now: Nanos) {
        let passed = now - self.changed_at;
        self.changed_at = now;
        if self.state != State::Down {
            self.counts.up += passed;
            self.counts.connection_us += u64::from(self.connections) * (passed / 1000);
        }
        let Some(report) = self.kind(world).report else { return };
        let (period, last) = (report.period.nanos().max(1), self.reports.back().map_or(0, |(at, _)| *at));
        if now / period > last / period {
            let (span, cores) = ((now - last).max(1) as f64, f64::from(self.kind(world).cores));
            let busy = (self.counts.busy - self.busy_since.min(self.counts.busy)) as f64;
            let load = LoadReport {
                active: Some(f64::from(self.slots_used)),
                waiting: Some(self.waiting.len() as f64),
                cpu: Some((busy / span / cores).min(1.0)),
                rate: Some(self.served_since as f64 * 1e9 / span),
                ..LoadReport::default()
            };
            (self.busy_since, self.served_since) = (self.counts.busy, 0);
            self.reports.push_back((now, load));
            let oldest = now.saturating_sub(report.delay.nanos() + self.late + 10 * period);
            while self.reports.len() > 2 && self.reports[1].0 < oldest {
                self.reports.pop_front();
            }
        }
    }

    fn report(&self, world: &World, now: Nanos) -> Option<LoadReport> {
        let delay = self.kind(world).report.map_or(0, |r| r.delay.nanos());
        let told = now.saturating_sub(delay + self.late);
        self.reports.iter().rev().find(|(at, _)| *at <= told).map(|(_, load)| *load)
    }

    fn next_pause(&self, ctx: &mut Ctx) {
        if let Some(pause) = self.kind(ctx.world).pause {
            let wait = pause.every.nanos() as f64 * ctx.rng.sample::<f64, _>(Exp1);
            ctx.out.schedule(ctx.now + wait.max(1.0) as Nanos, Message::Pause);
        }
    }

    /// It stands still for a while: what runs ends later, what begins begins later.
    pub fn pause(&mut self, ctx: &mut Ctx) {
        let Some(pause) = self.kind(ctx.world).pause else { return };
        let length = pause.length.nanos();
        self.paused_until = self.paused_until.max(ctx.now + length);
        for job in self.jobs.iter_mut().flatten() {
            if let Stage::Running { ends } = &mut job.stage {
                *ends = ends.saturating_add(length);
            }
        }
        self.next_pause(ctx);
    }

    /// A fault begins or ends.
    pub fn change(&mut self, ctx: &mut Ctx, change: Change, effects: &mut Vec<Effect>) {
        let (world, now) = (ctx.world, ctx.now);
        self.settle(world, now);
        match change {
            Change::Die { silent } => self.die(world, now, silent, effects),
            Change::Start if self.state == State::Down && !self.counts.fell_over => {
                self.state = State::Up;
                self.started = now;
                self.rested_since = Some(now);
            }
            Change::Start => {}
            Change::Drain if self.state == State::Up => self.state = State::Draining,
            Change::Drain => {}
            Change::Errors(share) => self.errors = share,
            Change::Slow(factor) => self.slower = factor.max(1.0),
            Change::Late(late) => self.late = late,
            Change::Hang(hangs) => self.hang(ctx, hangs),
        }
    }

    /// While it hangs nothing begins and nothing ends. What was running ends when it hangs no more.
    fn hang(&mut self, ctx: &mut Ctx, hangs: bool) {
        let now = ctx.now;
        if self.state == State::Down || self.hangs == hangs {
            return;
        }
        self.hangs = hangs;
        for (at, job) in (0..).zip(&mut self.jobs) {
            if let Some(Job { stage: Stage::Running { ends }, run, .. }) = job
                && !hangs
                && *ends == Nanos::MAX
            {
                *ends = now;
                ctx.out.schedule(now, Message::Worked { job: at, run: *run });
            }
        }
        self.go_on(ctx);
    }

    /// Its process ends, and with it all that it had.
    fn die(&mut self, world: &World, now: Nanos, silent: bool, effects: &mut Vec<Effect>) {
        self.settle(world, now);
        if self.state == State::Down {
            return;
        }
        let mut jobs: Vec<Job> = self.jobs.drain(..).flatten().collect();
        jobs.sort_by_key(|job| job.run);
        for job in jobs {
            self.counts.lost += 1;
            if let Stage::Running { ends } = job.stage {
                self.unbusy(ends, now);
            }
            let AttemptId { proxy, request, number } = job.attempt.id;
            if job.connected && !silent {
                let (outcome, work) = (Outcome::Reset, job.done);
                let answer = Answer { request, number, outcome, kept: None, work, load: None };
                effects.push(Effect::Answer(proxy, answer));
            }
        }
        self.counts.deaths += 1;
        self.state = State::Down;
        self.life += 1;
        (self.slots_used, self.cores_used, self.backlog, self.overhead) = (0, 0, 0, 0);
        (self.connections, self.paused_until, self.crowded) = (0, 0, false);
        (self.crowded_since, self.rested_since, self.hangs) = (None, None, false);
        (self.busy_since, self.served_since) = (self.counts.busy, 0);
        self.ids.clear();
        self.free.clear();
        self.waiting.clear();
        self.ready.clear();
        self.reports.clear();
    }

    /// Its true state, for all threads.
    pub fn post(&self, world: &World, now: Nanos) -> ServerStateBroadcast {
        ServerStateBroadcast { tier: self.tier, slot: self.slot, true_state: self.true_state(world, now) }
    }

    /// Every attempt that came is accounted for.
    pub fn conserves(&self) -> bool {
        let counts = &self.counts;
        counts.attempts == counts.turned_away + counts.answered + counts.lost + self.ids.len() as u64
    }

    /// Brings its accounts to the end of a run.
    pub fn close_accounts(&mut self, world: &World, now: Nanos) {
        self.settle(world, now);
    }
}

/// A factor on a report's figures.
pub fn noisy(load: Option<LoadReport>, noise: f64, rng: &mut Pcg64Mcg) -> Option<LoadReport> {
    if noise <= 0.0 {
        return load;
    }
    let mut factor = |value: Option<f64>| {
        value.map(|v| (v * (1.0 + noise * rng.sample::<f64, _>(StandardNormal))).max(0.0))
    };
    load.map(|l| LoadReport {
        active: factor(l.active),
        waiting: factor(l.waiting),
        cpu: factor(l.cpu),
        rate: factor(l.rate),
        ..l
    })
}
