//! A proxy: a policy, and round it what the real proxy has: open requests, connections, probes, timers. It
//! does what the policy decides and watches that this keeps the rules.

use super::ctx::{Ctx, ZoneTrueStateView};
use super::message::{Answer, Attempt, AttemptId, Call, Closed, Line, Logical, Message, News, Verdict};
use super::monitor::{Monitor, Note, Rule};
use super::net;
use super::world::{World, mix};
use crate::policy::{EndpointHealth, Policy, PolicyContext};
use crate::run::result::Held;
use olivecart_decisions::{
    Action, AttemptEnd, ClassId, DeduplicationScope, EndpointId, EndpointState, EndpointUpdate, Event,
    Idempotency, Nanos, Outcome, Request, RequestId, Settings, TenantId, Timer,
};
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// A watch that says nothing for this long is dead.
const SILENCE: Nanos = 3_000_000_000;
/// The health of endpoints is looked at this often, at a few proxies of tiers that are not too large.
const LOOK: Nanos = 200_000_000;
const LOOKING_PROXIES: u32 = 8;
const LOOKED_AT: usize = 400;
/// Times held back that are kept, of one proxy.
const HELD: usize = 500;

/// Who waits for a request's end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Origin {
    /// A client's try.
    Client(Logical, u8),
    /// A job of the machine's own server, in this run of its place.
    Job(u32, u32),
}

/// The end of a call by the machine's own server: the job, its run, and the work done if it was served.
pub type Finished = (u32, u32, Option<u64>);

struct Try {
    endpoint: u32,
    sent: Nanos,
    /// When it reaches its server.
    arrives: Nanos,
    done: Option<Outcome>,
}

struct Open {
    origin: Origin,
    call: Call,
    tries: Vec<Try>,
    ended: bool,
}

impl Open {
    fn out(&self) -> usize {
        self.tries.iter().filter(|t| t.done.is_none()).count()
    }
}

/// A proxy.
pub struct Proxy {
    node: u32,
    machine: u32,
    tier: u8,
    number: u32,
    settings: Settings,
    /// None while its process does not run.
    policy: Option<Box<dyn Policy>>,
    life: u32,
    open: FxHashMap<u64, Open>,
    by_client: FxHashMap<(Logical, u8), u64>,
    next: u64,
    /// By server: idle connections, as since when and to which of its lives; the last one used is the last.
    idle: BTreeMap<u32, Vec<(Nanos, u32)>>,
    /// By server that takes no requests: its state, and when this proxy was told.
    unready: FxHashMap<u32, (EndpointState, Nanos)>,
    /// By server that started during the run: when, as this proxy was told.
    started: FxHashMap<u32, Nanos>,
    probes: FxHashMap<u64, (u32, Nanos)>,
    next_probe: u64,
    watching: bool,
    unheard: Nanos,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    telling: bool,
    endpoint_healths: Vec<(EndpointHealth, Nanos)>,
    held: Vec<Held>,
    taken: u64,
    ended: u64,
    finished: Vec<Finished>,
    /// What was found here.
    pub monitor: Monitor,
}

impl Proxy {
    /// A proxy whose process does not run yet.
    pub fn new(world: &World, machine: u32, tier: u8, number: u32) -> Proxy {
        Proxy {
            node: world.machine_node(machine),
            machine,
            tier,
            number,
            settings: world.settings(tier, number, world.machines[machine as usize].zone),
            policy: None,
            life: 0,
            open: FxHashMap::default(),
            by_client: FxHashMap::default(),
            next: 0,
            idle: BTreeMap::new(),
            unready: FxHashMap::default(),
            started: FxHashMap::default(),
            probes: FxHashMap::default(),
            next_probe: 0,
            watching: false,
            unheard: 0,
            events: VecDeque::new(),
            actions: Vec::new(),
            telling: false,
            endpoint_healths: Vec::new(),
            held: Vec::new(),
            taken: 0,
            ended: 0,
            finished: Vec::new(),
            monitor: Monitor::default(),
        }
    }

    /// Whether its process runs.
    pub fn runs(&self) -> bool {
        self.policy.is_some()
    }

    /// Calls of the machine's own server that have ended since this was last asked.
    pub fn take_finished(&mut self) -> Vec<Finished> {
        std::mem::take(&mut self.finished)
    }

    /// Requests taken, ended, and open: every one is one of the latter two.
    pub fn conserves(&self) -> bool {
        self.taken == self.ended + self.open.values().filter(|o| !o.ended).count() as u64
    }

    /// The same without a look at all that is open, for every event.
    pub fn balance(&self) -> bool {
        self.taken >= self.ended && self.taken - self.ended <= self.open.len() as u64
    }

    // ---- its process ----

    /// Its process starts, with the list as it was known when an earlier one ended.
    pub fn start(&mut self, ctx: &mut Ctx) {
        let (world, zone) = (ctx.world, world_zone(ctx.world, self.machine));
        let zones = world.tiers[self.tier as usize].servers.iter().map(|s| s.zone).collect();
        let cuts = world.timeline.cuts.iter().map(|(time, zone)| (time.from, time.to, *zone)).collect();
        let (true_states, clock, tier) = (ctx.local.true_states.clone(), ctx.local.clock.clone(), self.tier);
        let true_state = Rc::new(ZoneTrueStateView { true_states, clock, tier, zones, cuts, zone });
        let seed = mix(mix(world.seed, u64::from(self.node)), u64::from(self.life) + 1);
        let context = PolicyContext { settings: self.settings.clone(), seed, now: ctx.now, true_state };
        self.policy = Some((world.policy_factory)(context));
        let known: Vec<Line> = world.list_as_of(self.tier, ctx.now);
        self.listen(ctx, &known, true, EndpointUpdate::Cached);
        ctx.out.schedule(ctx.now + self.sweep_every(ctx.world), Message::Sweep(self.life));
        if self.number < LOOKING_PROXIES && world.tiers[self.tier as usize].servers.len() <= LOOKED_AT {
            ctx.out.schedule(ctx.now + LOOK, Message::Look);
        }
    }

    /// Its process ends, and with it all that it had taken. Silent: with its machine, and nobody is told.
    pub fn die(&mut self, ctx: &mut Ctx, silent: bool) {
        if self.policy.take().is_none() {
            return;
        }
        self.life += 1;
        let mut all: Vec<(u64, Open)> = self.open.drain().collect();
        all.sort_unstable_by_key(|(number, _)| *number);
        for (number, open) in all {
            self.ended += u64::from(!open.ended);
            for (at, t) in open.tries.iter().enumerate().filter(|(_, t)| t.done.is_none() && !silent) {
                self.drop_connection(ctx, number, at as u32, t);
            }
            if let Origin::Client(logical, attempt) = open.origin
                && !open.ended
                && !silent
            {
                self.reply(ctx, logical, attempt, Verdict::Unreachable);
            }
        }
        if !silent {
            let idle = std::mem::take(&mut self.idle);
            idle.into_iter().for_each(|(server, idle)| self.close(ctx, server, idle));
        }
        self.idle.clear();
        self.by_client.clear();
        self.unready.clear();
        self.started.clear();
        self.probes.clear();
        self.events.clear();
        self.endpoint_healths.clear();
        self.watching = false;
    }

    // ---- what comes ----

    /// A request has come.
    pub fn take(&mut self, ctx: &mut Ctx, call: Call, origin: Origin) -> Option<u64> {
        self.policy.as_ref()?;
        if self.open.len() >= ctx.world.scenario.limits.most_held as usize {
            match origin {
                Origin::Client(logical, attempt) => self.reply(ctx, logical, attempt, Verdict::Refused(0)),
                Origin::Job(job, run) => self.finished.push((job, run, None)),
            }
            return None;
        }
        let (number, id) = (self.next, RequestId(self.next));
        self.next += 1;
        self.taken += 1;
        self.monitor.note(ctx.now, Note::Took(number));
        self.open.insert(number, Open { origin, call, tries: Vec::new(), ended: false });
        if let Origin::Client(logical, attempt) = origin {
            self.by_client.insert((logical, attempt), number);
        }
        ctx.out.schedule(call.deadline.max(ctx.now), Message::Expired(number));
        let tenant = (call.tenant != super::world::NOBODY).then_some(TenantId(call.tenant));
        let left = call.deadline.saturating_sub(ctx.now);
        let request = Request { tenant, is_retry: call.retry, ..Request::new(id, ClassId(call.class), left) };
        self.tell(ctx, Event::RequestArrived(request));
        Some(number)
    }

    /// A client has closed its connection.
    pub fn gone(&mut self, ctx: &mut Ctx, logical: Logical, attempt: u8) {
        if let Some(&number) = self.by_client.get(&(logical, attempt)) {
            self.abort(ctx, number);
        }
    }

    /// Nobody waits for a request any more.
    pub fn abort(&mut self, ctx: &mut Ctx, number: u64) {
        let Some(open) = self.open.get_mut(&number).filter(|o| !o.ended) else { return };
        open.ended = true;
        self.ended += 1;
        self.monitor.note(ctx.now, Note::Left(number));
        self.tell(ctx, Event::RequestAborted(RequestId(number)));
        self.settle(number);
    }

    /// A request's deadline has come: what is still out for it has timed out.
    pub fn expired(&mut self, ctx: &mut Ctx, number: u64) {
        let Some(open) = self.open.get(&number) else { return };
        let ended = open.ended;
        self.monitor.note(ctx.now, Note::Expired(number));
        for at in 0..self.open.get(&number).map_or(0, |o| o.tries.len()) {
            self.give_up(ctx, number, at as u32, Outcome::Timeout);
        }
        if !ended && self.open.get(&number).is_some_and(|o| !o.ended) {
            let grace = ctx.world.scenario.rules.answer_grace.nanos();
            ctx.out.schedule(ctx.now + grace + 1, Message::Overdue(number));
        }
    }

    /// And so has the time after it within which an answer is owed.
    pub fn overdue(&mut self, ctx: &mut Ctx, number: u64) {
        if self.open.get(&number).is_none_or(|o| o.ended) {
            return;
        }
        let what = format!("request {number} has no final answer after its deadline and the grace");
        self.breach(ctx, Rule::Answer, (Some(number), None), what);
        let origin = self.open.get(&number).map(|o| o.origin);
        self.abort(ctx, number);
        if let Some(Origin::Job(job, run)) = origin {
            self.finished.push((job, run, None));
        }
    }

    /// An answer has come.
    pub fn answered(&mut self, ctx: &mut Ctx, answer: Answer) {
        let Answer { request, number, outcome, kept, work, load } = answer;
        let done = self.open.get(&request).and_then(|o| o.tries.get(number as usize));
        let Some(endpoint) = done.filter(|t| t.done.is_none()).map(|t| t.endpoint) else {
            return; // it was given up, and its connection closed
        };
        if let Some(life) = kept {
            self.idle.entry(endpoint).or_default().push((ctx.now, life));
        }
        self.attempt_ended(ctx, request, number, outcome, work, load);
    }

    /// An attempt's time is up.
    pub fn capped(&mut self, ctx: &mut Ctx, request: u64, number: u32, outcome: Outcome) {
        self.give_up(ctx, request, number, outcome);
    }

    /// A timer of this life's policy.
    pub fn timer(&mut self, ctx: &mut Ctx, timer: Timer, life: u32) {
        if life == self.life {
            self.tell(ctx, Event::TimerFired(timer));
        }
    }

    /// A probe has ended.
    pub fn probed(
        &mut self,
        ctx: &mut Ctx,
        probe: u64,
        outcome: Outcome,
        load: Option<olivecart_decisions::LoadReport>,
    ) {
        let Some((endpoint, sent)) = self.probes.remove(&probe) else { return };
        let (endpoint, took) = (EndpointId(endpoint), ctx.now - sent);
        self.tell(ctx, Event::HealthCheckCompleted { endpoint, outcome, duration: took, load });
    }

    /// News of the list.
    pub fn news(&mut self, ctx: &mut Ctx, news: News) {
        if self.policy.is_none() {
            return;
        }
        self.unheard = 0;
        match news {
            News::Full(lines) => self.listen(ctx, &lines, true, EndpointUpdate::Snapshot),
            News::Delta(lines) => self.listen(ctx, &lines, false, EndpointUpdate::Delta),
            News::Failed => {
                self.watching = false;
                self.tell(ctx, Event::Endpoints(EndpointUpdate::Failed));
            }
        }
    }

    fn listen(
        &mut self,
        ctx: &mut Ctx,
        lines: &[Line],
        whole: bool,
        change: impl Fn(Vec<olivecart_decisions::EndpointEntry>) -> EndpointUpdate,
    ) {
        let listed: Vec<u32> = if whole { lines.iter().map(|l| l.slot).collect() } else { Vec::new() };
        if whole {
            // What a whole list does not name is gone.
            for slot in 0..ctx.world.tiers[self.tier as usize].servers.len() as u32 {
                if listed.binary_search(&slot).is_err() {
                    self.unready.entry(slot).or_insert((EndpointState::Removed, ctx.now));
                }
            }
        }
        for line in lines {
            if !whole {
                self.monitor.note(ctx.now, Note::Told(line.slot, line.state, line.started));
            }
            match line.state {
                EndpointState::Ready => _ = self.unready.remove(&line.slot),
                state => _ = self.unready.entry(line.slot).or_insert((state, ctx.now)),
            }
            if line.started > 0 {
                self.started.insert(line.slot, line.started);
            }
            if line.state != EndpointState::Ready
                && let Some(idle) = self.idle.remove(&line.slot)
            {
                self.close(ctx, line.slot, idle);
            }
        }
        let names = &ctx.local.names[self.tier as usize];
        let entry = |l: &Line| ctx.world.entry(self.tier, *l, names[l.slot as usize].clone());
        let entries = lines.iter().map(entry).collect();
        self.tell(ctx, Event::Endpoints(change(entries)));
    }

    /// Closes connections that were idle for long, and notices a watch that says nothing.
    pub fn sweep(&mut self, ctx: &mut Ctx, life: u32) {
        if life != self.life {
            return;
        }
        let every = self.sweep_every(ctx.world);
        let servers: Vec<u32> = self.idle.keys().copied().collect();
        for server in servers {
            let limit = ctx.world.kind(self.tier, server).connections.idle.nanos();
            let old = ctx.now.saturating_sub(limit);
            let Some(idle) = self.idle.get_mut(&server) else { continue };
            let fresh = idle.partition_point(|(since, _)| *since < old);
            let closed: Vec<_> = idle.drain(..fresh).collect();
            if idle.is_empty() {
                self.idle.remove(&server);
            }
            self.close(ctx, server, closed);
        }
        if self.watching && !net::reaches(ctx.world, self.node, ctx.world.discovery_node(), ctx.now) {
            self.unheard += every;
            if self.unheard >= SILENCE {
                self.unheard = 0;
                self.watching = false;
                self.tell(ctx, Event::Endpoints(EndpointUpdate::Failed));
            }
        }
        ctx.out.schedule(ctx.now + every, Message::Sweep(self.life));
    }

    fn sweep_every(&self, world: &World) -> Nanos {
        let idle =
            world.scenario.tier[self.tier as usize].kind.iter().map(|k| k.connections.idle.nanos()).min();
        (idle.unwrap_or(0) / 4).clamp(100_000_000, 5_000_000_000)
    }

    // ---- what the policy decides ----

    /// Puts an event to the policy and does what it answers; what that brings about waits until it is done.
    fn tell(&mut self, ctx: &mut Ctx, event: Event) {
        self.events.push_back(event);
        if std::mem::replace(&mut self.telling, true) {
            return;
        }
        let mut actions = std::mem::take(&mut self.actions);
        while let Some(event) = self.events.pop_front() {
            let Some(policy) = &mut self.policy else { break };
            let (now, timed) = (ctx.now, ctx.world.timed);
            ctx.local.policy.of(timed, || policy.handle(now, event, &mut actions));
            for action in actions.drain(..) {
                self.perform(ctx, action);
            }
        }
        self.actions = actions;
        self.telling = false;
    }

    fn perform(&mut self, ctx: &mut Ctx, action: Action) {
        match action {
            Action::StartAttempt { request, endpoint, timeout: cap, .. } => {
                self.send(ctx, request.0, endpoint.0, cap)
            }
            Action::CancelAttempt { request, attempt } => {
                self.monitor.note(ctx.now, Note::Cancelled(request.0, attempt));
                self.give_up(ctx, request.0, attempt, Outcome::Cancelled);
            }
            Action::Shed { request, retry_after: come_back } => self.refuse(ctx, request.0, come_back),
            Action::Fail(request) => {
                self.monitor.note(ctx.now, Note::Failed(request.0));
                self.finish(ctx, request.0, Verdict::Failed);
            }
            Action::StartHealthCheck(endpoint) => self.check(ctx, endpoint.0),
            Action::SetTimer { at, timer } => {
                ctx.out.schedule(at.max(ctx.now + 1), Message::Timer(timer, self.life));
            }
            Action::WatchEndpoints(on) => self.ask(ctx, on, on),
            Action::RefreshEndpoints => self.ask(ctx, true, false),
            Action::CloseIdleConnections(endpoint) => {
                if let Some(idle) = self.idle.remove(&endpoint.0) {
                    self.close(ctx, endpoint.0, idle);
                }
            }
            // Copies have no way to talk to each other.
            Action::Publish { .. } | Action::Log(_) => {}
        }
    }

    fn send(&mut self, ctx: &mut Ctx, request: u64, endpoint: u32, cap: Nanos) {
        self.monitor.note(ctx.now, Note::Sent(request, self.tries(request), endpoint));
        let concerns = (Some(request), Some(endpoint));
        if endpoint as usize >= ctx.world.tiers[self.tier as usize].servers.len() {
            let what = format!("request {request} was sent to a server that no list ever named");
            return self.breach(ctx, Rule::Drain, concerns, what);
        }
        let Some(open) = self.open.get(&request).filter(|o| !o.ended) else {
            let what = format!("request {request} was sent to server {endpoint} after it had ended");
            return self.breach(ctx, Rule::Answer, concerns, what);
        };
        let (out, number) = (open.out(), open.tries.len() as u32);
        let forbidden = self.forbids(ctx.world, ctx.now, open, endpoint);
        if out > 0 {
            let what =
                format!("request {request} was sent to server {endpoint} while another attempt was out");
            self.breach(ctx, Rule::Effect, concerns, what);
        }
        if let Some(why) = forbidden {
            let what = format!("request {request}, which may have run, was sent to server {endpoint}: {why}");
            self.breach(ctx, Rule::Effect, concerns, what);
        }
        let grace = ctx.world.scenario.rules.drain_grace.nanos();
        if let Some(&(state, told)) = self.unready.get(&endpoint).filter(|(_, told)| ctx.now > told + grace) {
            let ms = (ctx.now - told) as f64 / 1e6;
            let what = format!(
                "request {request} was sent to server {endpoint} {ms:.1} ms after it was told {state:?}"
            );
            self.breach(ctx, Rule::Drain, concerns, what);
        }
        let Some(open) = self.open.get_mut(&request) else { return };
        let moot = number >= ctx.world.scenario.limits.max_attempts;
        let deadline = if cap > 0 { open.call.deadline.min(ctx.now + cap) } else { open.call.deadline };
        open.tries.push(Try { endpoint, sent: ctx.now, arrives: ctx.now, done: None });
        if moot {
            return self.attempt_ended(ctx, request, number, Outcome::NotSent, 0, None);
        }
        let call = open.call;
        if deadline < call.deadline {
            let outcome = Outcome::Timeout;
            ctx.out.schedule(deadline, Message::Capped { request, number, outcome });
        }
        ctx.local.tally.attempt(ctx.now, self.tier);
        let arrives = self.put_out(ctx, &call, AttemptId { proxy: self.node, request, number }, endpoint);
        if let Some(t) = self.open.get_mut(&request).and_then(|o| o.tries.get_mut(number as usize)) {
            t.arrives = arrives;
        }
    }

    /// Writes an attempt to a connection, kept or new, and says when it arrives.
    fn put_out(&mut self, ctx: &mut Ctx, call: &Call, id: AttemptId, endpoint: u32) -> Nanos {
        let (world, server) = (ctx.world, ctx.world.server_node(self.tier, endpoint));
        let spec = &world.kind(self.tier, endpoint).connections;
        let oldest = ctx.now.saturating_sub(spec.idle.nanos());
        let kept = self.idle.get_mut(&endpoint).and_then(Vec::pop).filter(|(since, _)| *since >= oldest);
        let mut delay = net::between(world, self.node, server, ctx.rng);
        if kept.is_none() {
            for _ in 0..2 * spec.handshake_rtts {
                delay += net::between(world, self.node, server, ctx.rng);
            }
        }
        let arrives = ctx.now + delay;
        if !net::reaches(world, self.node, server, arrives) {
            if kept.is_none() {
                let at = ctx.now + world.scenario.limits.connect_timeout.nanos();
                let (AttemptId { request, number, .. }, outcome) = (id, Outcome::ConnectFailed);
                ctx.out.schedule(at, Message::Capped { request, number, outcome });
            }
            return arrives;
        }
        let base = world.scenario.network.reset_rate;
        let rate = world.timeline.reset_rate(base, self.tier, ctx.now);
        let breaks = rate > 0.0 && rand::Rng::random::<f64>(ctx.rng) < rate;
        let attempt = Attempt {
            id,
            logical: call.logical,
            class: call.class,
            tenant: call.tenant,
            deadline: call.deadline,
            work: call.work,
            kept: kept.map(|(_, life)| life),
            told_started: self.started.get(&endpoint).copied().unwrap_or(0),
            breaks,
        };
        ctx.out.send(server, arrives, Message::Attempt(attempt));
        arrives
    }

    fn tries(&self, request: u64) -> u32 {
        self.open.get(&request).map_or(0, |o| o.tries.len() as u32)
    }

    /// Why an attempt at a server is against the rule on effects, if it is.
    fn forbids(&self, world: &World, now: Nanos, open: &Open, endpoint: u32) -> Option<String> {
        let ran = |t: &&Try| !t.done.is_some_and(Outcome::was_never_executed);
        let first = open.tries.iter().find(ran)?;
        match world.classes[open.call.class as usize].told.idempotency {
            Idempotency::Idempotent => None,
            Idempotency::NonIdempotent => Some("its effect is `once`".into()),
            Idempotency::Keyed { scope: group, window } => {
                let servers = &world.tiers[self.tier as usize].servers;
                let (a, b) = (&servers[first.endpoint as usize], &servers[endpoint as usize]);
                let joined = match group {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => a.zone == b.zone,
                    DeduplicationScope::Cell => a.cell == b.cell,
                };
                if !joined {
                    return Some(format!(
                        "server {} that may have run it is of another group",
                        first.endpoint
                    ));
                }
                (now > first.sent + window).then(|| "its window is over".into())
            }
        }
    }

    fn refuse(&mut self, ctx: &mut Ctx, request: u64, come_back: Nanos) {
        self.monitor.note(ctx.now, Note::Refused(request));
        let ran = |t: &Try| !t.done.is_some_and(Outcome::was_never_executed);
        let harmful = self.open.get(&request).filter(|o| !o.ended && o.tries.iter().any(ran)).map(|o| {
            match ctx.world.classes[o.call.class as usize].told.idempotency {
                Idempotency::Idempotent | Idempotency::Keyed { scope: DeduplicationScope::All, .. } => false,
                Idempotency::NonIdempotent | Idempotency::Keyed { .. } => true,
            }
        });
        if harmful == Some(true) {
            let what = format!("request {request} was refused though it may have run");
            self.breach(ctx, Rule::Effect, (Some(request), None), what);
        }
        self.finish(ctx, request, Verdict::Refused(come_back));
    }

    /// Gives a request its final answer.
    fn finish(&mut self, ctx: &mut Ctx, request: u64, verdict: Verdict) {
        let Some(open) = self.open.get_mut(&request).filter(|o| !o.ended) else {
            let what = format!("request {request} was answered after it had ended");
            return self.breach(ctx, Rule::Answer, (Some(request), None), what);
        };
        open.ended = true;
        self.ended += 1;
        match open.origin {
            Origin::Client(logical, attempt) => self.reply(ctx, logical, attempt, verdict),
            Origin::Job(job, run) => {
                let work = if let Verdict::Served(work) = verdict { Some(work) } else { None };
                self.finished.push((job, run, work));
            }
        }
        self.settle(request);
    }

    fn reply(&mut self, ctx: &mut Ctx, logical: Logical, attempt: u8, verdict: Verdict) {
        let at = ctx.now + net::client(ctx.world, ctx.rng);
        if net::reaches(ctx.world, self.node, logical.node, at) {
            ctx.out.send(logical.node, at, Message::Reply(logical, attempt, verdict));
        }
    }

    // ---- attempts ----

    /// An attempt is given up: its connection closes, and it ends like this.
    fn give_up(&mut self, ctx: &mut Ctx, request: u64, number: u32, outcome: Outcome) {
        let Some(open) = self.open.get(&request) else { return };
        let Some(t) = open.tries.get(number as usize).filter(|t| t.done.is_none()) else { return };
        self.drop_connection(ctx, request, number, t);
        self.attempt_ended(ctx, request, number, outcome, 0, None);
    }

    fn drop_connection(&self, ctx: &mut Ctx, request: u64, number: u32, t: &Try) {
        let server = ctx.world.server_node(self.tier, t.endpoint);
        // It can't overtake what was written before it.
        let at = (ctx.now + net::between(ctx.world, self.node, server, ctx.rng)).max(t.arrives + 1);
        if net::reaches(ctx.world, self.node, server, at) {
            ctx.out.send(server, at, Message::Drop(AttemptId { proxy: self.node, request, number }));
        }
    }

    fn attempt_ended(
        &mut self,
        ctx: &mut Ctx,
        request: u64,
        number: u32,
        outcome: Outcome,
        work: u64,
        load: Option<olivecart_decisions::LoadReport>,
    ) {
        let Some(t) = self.open.get_mut(&request).and_then(|o| o.tries.get_mut(number as usize)) else {
            return;
        };
        t.done = Some(outcome);
        let (endpoint, took) = (EndpointId(t.endpoint), ctx.now - t.sent);
        self.monitor.note(ctx.now, Note::Ended(request, number, endpoint.0, outcome));
        if outcome == Outcome::Ok && self.open.get(&request).is_some_and(|o| !o.ended) {
            self.monitor.note(ctx.now, Note::Served(request));
            self.finish(ctx, request, Verdict::Served(work));
        }
        let over = self.open.get(&request).is_none_or(|o| o.ended);
        self.settle(request);
        let end = AttemptEnd {
            request: RequestId(request),
            attempt: number,
            endpoint,
            outcome,
            duration: took,
            request_completed: over,
            load,
        };
        self.tell(ctx, Event::AttemptEnded(end));
    }

    /// Forgets a request that has ended and of which nothing is out.
    fn settle(&mut self, request: u64) {
        if self.open.get(&request).is_some_and(|o| o.ended && o.out() == 0)
            && let Some(open) = self.open.remove(&request)
            && let Origin::Client(logical, attempt) = open.origin
        {
            self.by_client.remove(&(logical, attempt));
        }
    }

    fn close(&self, ctx: &mut Ctx, server: u32, idle: Vec<(Nanos, u32)>) {
        let node = ctx.world.server_node(self.tier, server);
        let at = ctx.now + net::between(ctx.world, self.node, node, ctx.rng);
        if idle.is_empty() || !net::reaches(ctx.world, self.node, node, at) {
            return;
        }
        let life = idle.iter().map(|(_, life)| *life).max().unwrap_or(0);
        let count = idle.iter().filter(|(_, l)| *l == life).count() as u32;
        ctx.out.send(node, at, Message::Closed(Closed { life, count }));
    }

    // ---- checks and the list ----

    fn check(&mut self, ctx: &mut Ctx, endpoint: u32) {
        if endpoint as usize >= ctx.world.tiers[self.tier as usize].servers.len() {
            return;
        }
        let probe = self.next_probe;
        self.next_probe += 1;
        self.probes.insert(probe, (endpoint, ctx.now));
        ctx.local.tally.probe(ctx.now);
        let server = ctx.world.server_node(self.tier, endpoint);
        let at = ctx.now + net::between(ctx.world, self.node, server, ctx.rng);
        ctx.out
            .schedule(ctx.now + ctx.world.scenario.limits.probe_timeout.nanos(), Message::ProbeLost(probe));
        if net::reaches(ctx.world, self.node, server, at) {
            ctx.out.send(server, at, Message::Probe(self.node, probe));
        }
    }

    fn ask(&mut self, ctx: &mut Ctx, on: bool, watch: bool) {
        self.watching = watch || self.watching && on;
        if !on {
            return;
        }
        let discovery = ctx.world.discovery_node();
        let at = ctx.now + net::between(ctx.world, self.node, discovery, ctx.rng);
        if net::reaches(ctx.world, self.node, discovery, at) {
            ctx.out.send(discovery, at, Message::Ask(self.node, watch));
        } else {
            let fails = ctx.now + ctx.world.scenario.discovery.timeout.nanos();
            ctx.out.schedule(fails, Message::News(News::Failed));
        }
    }

    // ---- for the report ----

    /// Looks at how the policy sees the servers.
    pub fn look(&mut self, ctx: &mut Ctx) {
        ctx.out.schedule(ctx.now + LOOK, Message::Look);
        let Some(policy) = &self.policy else { return };
        let servers = &ctx.world.tiers[self.tier as usize].servers;
        self.endpoint_healths.resize(servers.len(), (EndpointHealth::Healthy, ctx.now));
        for (slot, (before, since)) in self.endpoint_healths.iter_mut().enumerate() {
            let listed = !self.unready.contains_key(&(slot as u32));
            let health = policy
                .endpoint_health(EndpointId(slot as u32))
                .filter(|_| listed)
                .unwrap_or(EndpointHealth::Healthy);
            if health == *before {
                continue;
            }
            let why = match before {
                EndpointHealth::Healthy => "",
                EndpointHealth::Unhealthy => "down",
                EndpointHealth::Ejected => "held",
            };
            if !why.is_empty() && self.held.len() < HELD {
                self.held.push(Held {
                    proxy: ctx.world.proxy_name(self.machine),
                    server: servers[slot].name.clone(),
                    from_ms: *since / 1_000_000,
                    to_ms: ctx.now / 1_000_000,
                    why: why.into(),
                });
            }
            (*before, *since) = (health, ctx.now);
        }
    }

    /// Who was held back when.
    pub fn take_held(&mut self) -> Vec<Held> {
        std::mem::take(&mut self.held)
    }

    fn breach(&mut self, ctx: &Ctx, rule: Rule, concerns: (Option<u64>, Option<u32>), what: String) {
        let name = ctx.world.proxy_name(self.machine);
        self.monitor.breach(rule, ctx.now, &name, concerns, what);
    }
}

fn world_zone(world: &World, machine: u32) -> u16 {
    world.machines[machine as usize].zone
}
