//! A machine: a server, a proxy, or a server with the proxy for its calls to the next tier, which starts and
//! stops with it.

use super::ctx::Ctx;
use super::message::{Call, Change, Message, Verdict};
use super::monitor::Rule;
use super::net;
use super::proxy::{Origin, Proxy};
use super::server::{Effect, Server, noisy};
use super::world::World;
use olivecart_decisions as decisions;

/// A machine.
pub struct Machine {
    /// Its number.
    pub number: u32,
    node: u32,
    /// Its server.
    pub server: Option<Server>,
    /// Its proxy.
    pub proxy: Option<Proxy>,
}

impl Machine {
    /// A machine as it is at the begin, with its faults to come.
    pub fn new(number: u32, ctx: &mut Ctx) -> Machine {
        let (world, spec) = (ctx.world, &ctx.world.machines[number as usize]);
        let server = spec.server.map(|(tier, slot)| Server::new(tier, slot, ctx));
        let proxy = spec.proxy.map(|(tier, among)| Proxy::new(world, number, tier, among));
        let mut machine = Machine { number, node: world.machine_node(number), server, proxy };
        for &(at, change) in &world.timeline.changes[number as usize] {
            ctx.out.schedule(at, Message::Change(change));
        }
        let there = machine.server.as_ref().is_none_or(Server::runs);
        if let Some(proxy) = machine.proxy.as_mut().filter(|_| there) {
            proxy.start(ctx);
        }
        machine.post(ctx);
        machine
    }

    /// Plays one event.
    pub fn handle(&mut self, ctx: &mut Ctx, message: Message) {
        let mut effects = Vec::new();
        match message {
            Message::Change(change) => self.change(ctx, change, &mut effects),
            Message::Request(call) => self.request(ctx, call),
            Message::Pause => _ = self.server.as_mut().map(|s| s.pause(ctx)),
            Message::Worked { job, run } => {
                _ = self.server.as_mut().map(|s| s.worked(ctx, job, run, &mut effects))
            }
            Message::Attempt(attempt) => {
                let Some(server) = &mut self.server else { return };
                let fell = server.counts.fell_over;
                server.arrive(ctx, attempt, &mut effects);
                if server.counts.fell_over && !fell {
                    self.fell_over(ctx, attempt.id.proxy);
                }
            }
            Message::Drop(id) => _ = self.server.as_mut().map(|s| s.drop_attempt(ctx, id, &mut effects)),
            Message::Closed(closed) => {
                _ = self.server.as_mut().map(|s| s.close(ctx.world, ctx.now, closed.life, closed.count));
            }
            Message::Probe(proxy, probe) => self.probe(ctx, proxy, probe),
            other => self.for_the_proxy(ctx, other),
        }
        self.settle(ctx, effects);
        self.post(ctx);
    }

    fn for_the_proxy(&mut self, ctx: &mut Ctx, message: Message) {
        let Some(proxy) = &mut self.proxy else { return };
        match message {
            Message::Gone(logical, attempt) => proxy.gone(ctx, logical, attempt),
            Message::Expired(request) => proxy.expired(ctx, request),
            Message::Overdue(request) => proxy.overdue(ctx, request),
            Message::Timer(timer, life) => proxy.timer(ctx, timer, life),
            Message::Capped { request, number, outcome } => proxy.capped(ctx, request, number, outcome),
            Message::ProbeLost(probe) => proxy.probed(ctx, probe, decisions::Outcome::Timeout, None),
            Message::Probed(probe, outcome, load) => proxy.probed(ctx, probe, outcome, load),
            Message::Sweep(life) => proxy.sweep(ctx, life),
            Message::Look => proxy.look(ctx),
            Message::Answer(answer) => proxy.answered(ctx, answer),
            Message::News(news) => proxy.news(ctx, news),
            _ => ctx.local.tally.violation("a machine got a message that is none of its own"),
        }
    }

    fn request(&mut self, ctx: &mut Ctx, call: Call) {
        let origin = Origin::Client(call.logical, call.attempt);
        match self.proxy.as_mut().filter(|p| p.runs()) {
            Some(proxy) => _ = proxy.take(ctx, call, origin),
            None => {
                let at = ctx.now + net::client(ctx.world, ctx.rng);
                let reply = Message::Reply(call.logical, call.attempt, Verdict::Unreachable);
                ctx.out.send(call.logical.node, at, reply);
            }
        }
    }

    fn change(&mut self, ctx: &mut Ctx, change: Change, effects: &mut Vec<Effect>) {
        if let Some(server) = &mut self.server {
            server.change(ctx, change, effects);
        }
        let up = self.server.as_ref().is_none_or(Server::runs);
        match (change, &mut self.proxy) {
            (Change::Die { silent }, Some(proxy)) => proxy.die(ctx, silent),
            (Change::Start, Some(proxy)) if up && !proxy.runs() => proxy.start(ctx),
            _ => {}
        }
    }

    fn probe(&mut self, ctx: &mut Ctx, proxy: u32, probe: u64) {
        let Some(server) = &mut self.server else { return };
        let (outcome, answered, load) = server.probe(ctx.world, ctx.now);
        let at = answered + net::between(ctx.world, self.node, proxy, ctx.rng);
        if net::reaches(ctx.world, self.node, proxy, at) {
            ctx.out.send(proxy, at, Message::Probed(probe, outcome, load));
        }
    }

    /// Does what the server asks for, and what comes of that, until nothing is left to do.
    fn settle(&mut self, ctx: &mut Ctx, mut effects: Vec<Effect>) {
        loop {
            for effect in std::mem::take(&mut effects) {
                self.perform(ctx, effect);
            }
            let Some(proxy) = &mut self.proxy else { break };
            let finished = proxy.take_finished();
            let Some(server) = &mut self.server else { break };
            for (job, run, served) in finished {
                server.called(ctx, (job, run), served, &mut effects);
            }
            if effects.is_empty() {
                break;
            }
        }
    }

    fn perform(&mut self, ctx: &mut Ctx, effect: Effect) {
        match effect {
            Effect::Answer(proxy, mut answer) => {
                let noise = self.report_noise(ctx.world);
                answer.load = noisy(answer.load, noise, ctx.rng);
                let at = ctx.now + net::between(ctx.world, self.node, proxy, ctx.rng);
                if net::reaches(ctx.world, self.node, proxy, at) {
                    ctx.out.send(proxy, at, Message::Answer(answer));
                }
            }
            Effect::Call { job, run, attempt } => {
                let class = &ctx.world.classes[attempt.class as usize];
                let whole = ctx.now + class.told.client_deadline;
                let passes = ctx.world.scenario.limits.passes_deadline;
                let call = Call {
                    logical: attempt.logical,
                    attempt: 0,
                    class: attempt.class,
                    tenant: attempt.tenant,
                    retry: false,
                    deadline: if passes { attempt.deadline } else { whole },
                    work: attempt.work,
                };
                let number = self.proxy.as_mut().and_then(|p| p.take(ctx, call, Origin::Job(job, run)));
                if let (Some(number), Some(server)) = (number, &mut self.server) {
                    server.calls_as(job, run, number);
                }
            }
            Effect::Hangup { request } => _ = self.proxy.as_mut().map(|p| p.abort(ctx, request)),
            Effect::Executed(attempt) => {
                let first_tier = self.server_tier(ctx.world) == Some(0);
                let effect = ctx.world.classes[attempt.class as usize].told.idempotency;
                if first_tier && effect != decisions::Idempotency::Idempotent {
                    let at = ctx.now + net::client(ctx.world, ctx.rng);
                    let group = self.group(ctx.world, effect);
                    ctx.out.send(attempt.logical.node, at, Message::Executed(attempt.logical, group));
                }
            }
        }
    }

    fn server_tier(&self, world: &World) -> Option<u8> {
        world.machines[self.number as usize].server.map(|(tier, _)| tier)
    }

    /// The group of servers within which a repeat of this effect is dropped, as a number.
    fn group(&self, world: &World, effect: decisions::Idempotency) -> u64 {
        let Some((tier, slot)) = world.machines[self.number as usize].server else { return 0 };
        let spec = &world.tiers[tier as usize].servers[slot as usize];
        match effect {
            decisions::Idempotency::Keyed { scope: decisions::DeduplicationScope::Zone, .. } => {
                u64::from(spec.zone)
            }
            decisions::Idempotency::Keyed { scope: decisions::DeduplicationScope::Cell, .. } => spec.cell,
            _ => 0,
        }
    }

    fn report_noise(&self, world: &World) -> f64 {
        let server = world.machines[self.number as usize].server;
        server.and_then(|(tier, slot)| world.kind(tier, slot).report).map_or(0.0, |r| r.noise)
    }

    fn fell_over(&mut self, ctx: &mut Ctx, last: u32) {
        let Some(server) = self.server.as_ref().filter(|s| s.pushed_over()) else { return };
        let Some((tier, slot)) = ctx.world.machines[self.number as usize].server else { return };
        let name = &ctx.world.tiers[tier as usize].servers[slot as usize].name;
        let age = (ctx.now - server.started()) as f64 / 1e6;
        let what = format!("{name} fell over {age:.0} ms after its start: {}", server.pressure_in_words());
        let proxy = ctx.world.proxy_name(last - ctx.world.clients);
        ctx.local.tally.cold_breach(ctx.now, proxy, what);
        debug_assert_eq!(Rule::Cold.name(), "cold");
    }

    fn post(&self, ctx: &mut Ctx) {
        if ctx.world.policy_sees_true_state
            && let Some(server) = &self.server
        {
            ctx.out.broadcast(server.post(ctx.world, ctx.now));
        }
    }

    /// Whether every request is accounted for.
    pub fn conserves(&self) -> bool {
        self.server.as_ref().is_none_or(Server::conserves) && self.proxy.as_ref().is_none_or(Proxy::balance)
    }
}
