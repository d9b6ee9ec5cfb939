//! Clients: an open-loop stream of requests, each with tries, patience and back-off of its own, and the
//! front that spreads them over the proxies of their zone.

use super::ctx::Ctx;
use super::message::{Call, Logical, Message, Verdict};
use super::net;
use super::tally::End;
use super::world::{NOBODY, World};
use crate::scenario::Shape;
use olivecart_decisions::{DeduplicationScope, Idempotency, Nanos};
use rand::Rng;
use rand_distr::Exp1;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// Proxies that are tried at random before all that are there are looked for.
const LUCKY: usize = 8;

/// A client's request over all its tries.
struct Request {
    generation: u32,
    class: u16,
    tenant: u16,
    arrived: Nanos,
    work: u64,
    /// Its tenant sends more than its share, and this is part of that.
    over_share: bool,
    /// Which try is out, or was last.
    attempt: u8,
    /// The proxy that has it.
    proxy: Option<u32>,
    /// How the last try ended, if it did.
    last: Option<Verdict>,
}

/// Executions of a request whose effect must not take place twice.
struct Executed {
    group: u64,
    at: Nanos,
    counted: bool,
}

/// One stream of clients.
pub struct Clients {
    node: u32,
    zone: u16,
    /// Requests a second.
    rate: f64,
    requests: Vec<Option<Request>>,
    free: Vec<u32>,
    generation: u32,
    /// Cumulative shares of classes, and of tenants' usual traffic.
    classes: Vec<f64>,
    tenants: Vec<f64>,
    /// By tenant: requests that it may still send within its share.
    allowances: Vec<(f64, Nanos)>,
    executed: FxHashMap<Logical, Executed>,
    expiring: VecDeque<(Nanos, Logical)>,
    offered: u64,
    ended: u64,
}

impl Clients {
    /// A stream that begins at once.
    pub fn new(node: u32, ctx: &mut Ctx) -> Clients {
        let (world, scenario) = (ctx.world, &ctx.world.scenario);
        let zone = world.zone_of(node);
        let traffic = |t: &crate::scenario::Tenant| t.traffic.unwrap_or(t.share);
        let clients = Clients {
            node,
            zone,
            rate: world.rate / f64::from(world.clients),
            requests: Vec::new(),
            free: Vec::new(),
            generation: 0,
            classes: cumulative(scenario.class.iter().map(|c| c.share)),
            tenants: scenario.tenant.iter().map(traffic).collect(),
            allowances: vec![(1.0, 0); scenario.tenant.len()],
            executed: FxHashMap::default(),
            expiring: VecDeque::new(),
            offered: 0,
            ended: 0,
        };
        clients.next_arrival(ctx);
        clients
    }

    /// Plays one event.
    pub fn handle(&mut self, ctx: &mut Ctx, message: Message) {
        match message {
            Message::Arrive => self.arrive(ctx),
            Message::Reply(logical, attempt, verdict) => self.replied(ctx, logical, attempt, verdict),
            // At its deadline it just stops waiting; whether an answer is owed then is the proxy's affair.
            Message::Patience(logical, attempt) => self.replied(ctx, logical, attempt, Verdict::Failed),
            Message::Leaves(logical, attempt) => self.leaves(ctx, logical, attempt),
            Message::Again(logical) => self.try_once(ctx, logical),
            Message::Executed(logical, group) => self.executed(ctx, logical, group),
            _ => ctx.local.tally.violation("clients got a message that is none of their own"),
        }
    }

    // ---- arrivals ----

    /// The rate over its mean at a time, and its greatest.
    fn shape(&self, world: &World, at: Nanos) -> (f64, f64) {
        let (factor, most) = match &world.scenario.clients.shape {
            Shape::Steady => (1.0, 1.0),
            Shape::Wave { swing, period } => {
                let phase = at as f64 / period.nanos().max(1) as f64 * std::f64::consts::TAU;
                (1.0 + swing * phase.sin(), 1.0 + swing)
            }
            Shape::Bursts { factor, every, length } => {
                // The mean over a period is 1.
                let share = length.nanos() as f64 / every.nanos().max(1) as f64;
                let base = 1.0 / (1.0 + (factor - 1.0) * share);
                let bursts = at % every.nanos().max(1) < length.nanos();
                (if bursts { base * factor } else { base }, base * factor)
            }
        };
        let (flood, most_flood) = self.flood(world, at);
        (factor * flood, most * most_flood)
    }

    /// What floods make of the traffic at a time, and the most that they ever do.
    fn flood(&self, world: &World, at: Nanos) -> (f64, f64) {
        if world.timeline.floods.is_empty() {
            return (1.0, 1.0);
        }
        let all: f64 = self.tenants.iter().sum();
        let with = |factor: &dyn Fn(u16) -> f64| {
            (0..).zip(&self.tenants).map(|(tenant, share)| share * factor(tenant)).sum::<f64>() / all
        };
        let now = with(&|tenant| world.timeline.flood(tenant, at));
        let floods = &world.timeline.floods;
        let of = |tenant| {
            floods.iter().filter(move |(_, t, _)| *t == tenant).map(|(_, _, f)| f.max(1.0)).product()
        };
        (now, with(&of))
    }

    /// Arrivals of a Poisson process whose rate varies, by thinning (Lewis and Shedler 1979).
    fn next_arrival(&self, ctx: &mut Ctx) {
        let mut at = ctx.now as f64;
        loop {
            let (_, most) = self.shape(ctx.world, at as Nanos);
            at += ctx.rng.sample::<f64, _>(Exp1) / (self.rate * most) * 1e9;
            if at >= ctx.world.scenario.length.nanos() as f64 {
                return;
            }
            let (factor, _) = self.shape(ctx.world, at as Nanos);
            if ctx.rng.random::<f64>() * most < factor {
                return ctx.out.schedule((at as Nanos).max(ctx.now + 1), Message::Arrive);
            }
        }
    }

    fn arrive(&mut self, ctx: &mut Ctx) {
        let class = pick(&self.classes, ctx.rng.random()) as u16;
        let tenant = self.tenant(ctx);
        let over_share = tenant != NOBODY && self.over_share(ctx, tenant);
        self.generation += 1;
        let request = Request {
            generation: self.generation,
            class,
            tenant,
            arrived: ctx.now,
            work: ctx.world.classes[class as usize].work.draw(ctx.rng),
            over_share,
            attempt: 0,
            proxy: None,
            last: None,
        };
        let slot = match self.free.pop() {
            Some(slot) => {
                self.requests[slot as usize] = Some(request);
                slot
            }
            None => {
                self.requests.push(Some(request));
                self.requests.len() as u32 - 1
            }
        };
        self.offered += 1;
        ctx.local.open += 1;
        self.try_once(ctx, Logical { node: self.node, slot, generation: self.generation });
        self.next_arrival(ctx);
    }

    fn tenant(&self, ctx: &mut Ctx) -> u16 {
        if self.tenants.is_empty() {
            return NOBODY;
        }
        let floods = &ctx.world.timeline;
        let now = (0..).zip(&self.tenants).map(|(t, share)| share * floods.flood(t, ctx.now));
        pick(&cumulative(now), ctx.rng.random()) as u16
    }

    /// Whether a request is beyond its tenant's share of what the fleet can do, with a second's slack.
    fn over_share(&mut self, ctx: &Ctx, tenant: u16) -> bool {
        let world = ctx.world;
        let quota = world.scenario.tenant[tenant as usize].share * world.capacity / f64::from(world.clients);
        let (left, at) = &mut self.allowances[tenant as usize];
        *left = (*left + quota * (ctx.now - *at) as f64 / 1e9).min(quota.max(1.0));
        *at = ctx.now;
        let over = *left < 1.0;
        *left -= if over { 0.0 } else { 1.0 };
        over
    }

    // ---- tries ----

    fn get(&mut self, logical: Logical) -> Option<&mut Request> {
        let request = self.requests.get_mut(logical.slot as usize)?.as_mut()?;
        (request.generation == logical.generation).then_some(request)
    }

    /// Sends a try to one of the proxies that the front takes to be there.
    fn try_once(&mut self, ctx: &mut Ctx, logical: Logical) {
        let proxy = self.proxy(ctx);
        let (node, patience) = (self.node, ctx.world.scenario.clients.patience);
        let Some(request) = self.get(logical) else { return };
        let whole = ctx.world.classes[request.class as usize].told.client_deadline;
        let ends = (request.arrived + whole).min(ctx.now + (whole as f64 * patience) as Nanos);
        request.proxy = proxy;
        let call = Call {
            logical,
            attempt: request.attempt,
            class: request.class,
            tenant: request.tenant,
            retry: ctx.world.scenario.clients.marks_retry && request.attempt > 0,
            deadline: ends,
            work: request.work,
        };
        ctx.out.schedule(ends, Message::Patience(logical, call.attempt));
        if ctx.world.scenario.clients.impatient > 0.0
            && ctx.rng.random::<f64>() < ctx.world.scenario.clients.impatient
        {
            let early = ctx.now + ((ends - ctx.now) as f64 * ctx.rng.random::<f64>()) as Nanos;
            ctx.out.schedule(early, Message::Leaves(logical, call.attempt));
        }
        if let Some(proxy) = proxy {
            let at = ctx.now + net::client(ctx.world, ctx.rng);
            let to = ctx.world.machine_node(proxy);
            if net::reaches(ctx.world, node, to, at) {
                ctx.out.send(to, at, Message::Request(call));
            }
        }
    }

    /// The front notices only after a while that a proxy has gone. Where a zone has none left, others' are used.
    fn proxy(&self, ctx: &mut Ctx) -> Option<u32> {
        let notice = ctx.world.scenario.clients.notices_dead_proxy.nanos();
        let (timeline, now) = (&ctx.world.timeline, ctx.now);
        let there = |machine: &u32| {
            let since = timeline.proxy_down_since(*machine, now);
            since.is_none_or(|since| now < since + notice)
        };
        let zones = &ctx.world.fronts;
        let near = &zones[self.zone as usize];
        // Mostly all are there, and one at random is.
        for _ in 0..LUCKY.min(near.len()) {
            let proxy = near[ctx.rng.random_range(0..near.len())];
            if there(&proxy) {
                return Some(proxy);
            }
        }
        let near: Vec<u32> = near.iter().copied().filter(there).collect();
        let all = || zones.iter().flatten().copied().filter(there).collect();
        let from: Vec<u32> = if near.is_empty() { all() } else { near };
        (!from.is_empty()).then(|| from[ctx.rng.random_range(0..from.len())])
    }

    /// A client goes before its time is up: it closes its connection, and the proxy hears of it.
    fn leaves(&mut self, ctx: &mut Ctx, logical: Logical, attempt: u8) {
        let node = self.node;
        let Some(request) = self.get(logical).filter(|r| r.attempt == attempt && r.last.is_none()) else {
            return;
        };
        if let Some(proxy) = request.proxy {
            let (to, at) = (ctx.world.machine_node(proxy), ctx.now + net::client(ctx.world, ctx.rng));
            if net::reaches(ctx.world, node, to, at) {
                ctx.out.send(to, at, Message::Gone(logical, attempt));
            }
        }
        self.replied(ctx, logical, attempt, Verdict::Failed);
    }

    fn replied(&mut self, ctx: &mut Ctx, logical: Logical, attempt: u8, verdict: Verdict) {
        let Some(request) = self.get(logical).filter(|r| r.attempt == attempt && r.last.is_none()) else {
            return;
        };
        request.last = Some(verdict);
        if let Verdict::Served(work) = verdict {
            ctx.local.tally.useful(work);
            return self.end(ctx, logical, verdict);
        }
        match self.again_in(ctx, logical, verdict) {
            Some(wait) => {
                let Some(request) = self.get(logical) else { return };
                (request.attempt, request.last) = (request.attempt + 1, None);
                ctx.local.tally.client_retry(ctx.now);
                ctx.out.schedule(ctx.now + wait, Message::Again(logical));
            }
            None => self.end(ctx, logical, verdict),
        }
    }

    /// When a request is tried again, if it is.
    fn again_in(&mut self, ctx: &mut Ctx, logical: Logical, verdict: Verdict) -> Option<Nanos> {
        let clients = &ctx.world.scenario.clients;
        let storm = ctx.world.timeline.storm(ctx.now);
        let honours = ctx.rng.random::<f64>() < clients.honours_retry_after;
        let request = self.get(logical)?;
        let class = &ctx.world.classes[request.class as usize].told;
        let harmless = match (verdict, class.idempotency) {
            (Verdict::Refused(_) | Verdict::Unreachable, _) | (_, Idempotency::Idempotent) => true,
            (_, Idempotency::Keyed { scope: DeduplicationScope::All, window }) => {
                ctx.now < request.arrived + window
            }
            _ => false,
        };
        let tries = storm.unwrap_or(clients.retries).min(200);
        let wait = match (storm, verdict) {
            (Some(_), _) => 0,
            (None, Verdict::Refused(come_back)) if honours && come_back > 0 => {
                come_back.min(ctx.world.scenario.limits.max_retry_after.nanos())
            }
            _ => clients.backoff.nanos(),
        };
        let ends = request.arrived + class.client_deadline;
        (harmless && u32::from(request.attempt) < tries && ctx.now + wait < ends).then_some(wait)
    }

    fn end(&mut self, ctx: &mut Ctx, logical: Logical, verdict: Verdict) {
        let Some(request) = self.requests[logical.slot as usize].take() else { return };
        self.free.push(logical.slot);
        self.ended += 1;
        ctx.local.open -= 1;
        let class = &ctx.world.classes[request.class as usize];
        let took = ctx.now - request.arrived;
        let part = if request.over_share { ctx.world.scenario.over_share_worth } else { 1.0 };
        let worth = |worth: u64| (worth as f64 * part).round() as u64;
        let served = match verdict {
            Verdict::Served(_) if took <= class.told.latency_objective => worth(class.worth),
            Verdict::Served(_) => worth(class.late_worth),
            _ => 0,
        };
        ctx.local.tally.ended(&End {
            class: request.class,
            tenant: request.tenant,
            arrived: request.arrived,
            took,
            verdict,
            in_time: took <= class.told.latency_objective,
            asked: worth(class.worth),
            served,
            // What its tenant sends beyond its share counts for the whole, not for the tenant.
            over_share: request.over_share,
        });
    }

    // ---- effects ----

    /// A request ran to its end at a server: for the second time, that is an effect too many, unless its key
    /// kept it from taking place.
    fn executed(&mut self, ctx: &mut Ctx, logical: Logical, group: u64) {
        while let Some(&(_, old)) = self.expiring.front().filter(|(at, _)| *at <= ctx.now) {
            self.expiring.pop_front();
            self.executed.remove(&old);
        }
        let classes = &ctx.world.classes;
        let longest = classes.iter().map(|c| c.told.client_deadline).max().unwrap_or(0);
        let window = |effect| if let Idempotency::Keyed { window, .. } = effect { window } else { 0 };
        let widest = classes.iter().map(|c| window(c.told.idempotency)).max().unwrap_or(0);
        let Some(first) = self.executed.get_mut(&logical) else {
            self.executed.insert(logical, Executed { group, at: ctx.now, counted: false });
            self.expiring.push_back((ctx.now + 2 * (longest + widest), logical));
            return;
        };
        let dropped = widest > 0 && first.group == group && ctx.now <= first.at + widest;
        if !dropped && !first.counted {
            first.counted = true;
            ctx.local.tally.second_effect();
        }
    }

    /// Whether every request has ended or is open.
    pub fn conserves(&self) -> bool {
        let open = self.requests.len() - self.free.len();
        self.offered == self.ended + open as u64
    }

    /// Requests that are open.
    pub fn open(&self) -> usize {
        self.requests.len() - self.free.len()
    }
}

fn cumulative(shares: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut sum = 0.0;
    let mut all: Vec<f64> = shares
        .map(|share| {
            sum += share;
            sum
        })
        .collect();
    all.iter_mut().for_each(|s| *s /= sum);
    all
}

/// The first whose cumulative share is above a number between 0 and 1.
fn pick(cumulative: &[f64], at: f64) -> usize {
    cumulative.partition_point(|share| *share <= at).min(cumulative.len().saturating_sub(1))
}
