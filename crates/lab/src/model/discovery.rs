//! Discovery: one service that hears of changes late, answers calls one after another, and can be out.

use super::ctx::Ctx;
use super::faults::Timeline;
use super::message::{Line, Message, News};
use super::net;
use super::world::World;
use crate::scenario::DiscoveryMode;
use olivecart_decisions::{EndpointState, Nanos};
use std::collections::BTreeSet;
use std::sync::Arc;

impl World {
    /// The list of a tier as discovery had it at a time, in the servers' order.
    pub fn list_as_of(&self, tier: u8, at: Nanos) -> Vec<Line> {
        let mut lines = first_lines(self, tier);
        let lag = self.scenario.discovery.lag.nanos();
        for (when, _, line) in self.timeline.facts.iter().filter(|(_, t, _)| *t == tier) {
            if self.timeline.heard_at(*when, lag) <= at {
                enter(&mut lines, *line);
            }
        }
        lines
    }
}

fn first_lines(world: &World, tier: u8) -> Vec<Line> {
    let servers = (0..).zip(&world.tiers[tier as usize].servers);
    let ready = |(slot, _)| Line { slot, state: EndpointState::Ready, started: 0 };
    servers.filter(|(_, spec)| spec.first).map(ready).collect()
}

/// A line that replaces an older one of its server; what is gone is no longer listed.
fn enter(lines: &mut Vec<Line>, line: Line) {
    match (lines.binary_search_by_key(&line.slot, |l| l.slot), line.state) {
        (Ok(at), EndpointState::Removed) => _ = lines.remove(at),
        (Ok(at), _) => lines[at] = line,
        (Err(_), EndpointState::Removed) => {}
        (Err(at), _) => lines.insert(at, line),
    }
}

/// The service.
pub struct Discovery {
    node: u32,
    lists: Vec<Vec<Line>>,
    /// Proxies that are told of changes, by tier.
    watchers: Vec<BTreeSet<u32>>,
    /// Those who could not be told.
    behind: BTreeSet<u32>,
    /// When it is done with the calls that it has.
    busy_until: Nanos,
}

impl Discovery {
    /// The service at the begin of a run.
    pub fn new(node: u32, ctx: &mut Ctx) -> Discovery {
        let (world, timeline): (&World, &Timeline) = (ctx.world, &ctx.world.timeline);
        let lag = world.scenario.discovery.lag.nanos();
        for (at, tier, line) in &timeline.facts {
            let mut heard = timeline.heard_at(*at, lag);
            // During an outage it can't tell anybody; it does when it is back.
            let out = timeline.outages.iter().filter(|o| o.holds(heard)).map(|o| o.to).max();
            heard = out.unwrap_or(heard);
            ctx.out.schedule(heard, Message::Heard([(*tier, *line)].into()));
        }
        for outage in &timeline.outages {
            ctx.out.schedule(outage.from, Message::Outage);
        }
        let push = world.scenario.discovery.mode == DiscoveryMode::Push;
        let callers = |t: &super::world::Tier| {
            let nodes = t.callers.iter().map(|m| world.machine_node(*m));
            if push { nodes.collect() } else { BTreeSet::new() }
        };
        Discovery {
            node,
            lists: (0..world.tiers.len() as u8).map(|tier| first_lines(world, tier)).collect(),
            watchers: world.tiers.iter().map(callers).collect(),
            behind: BTreeSet::new(),
            busy_until: 0,
        }
    }

    /// Plays one event.
    pub fn handle(&mut self, ctx: &mut Ctx, message: Message) {
        match message {
            Message::Heard(changes) => self.heard(ctx, &changes),
            Message::Ask(proxy, watch) => self.asked(ctx, proxy, watch),
            Message::Turn(proxy, watch) => self.turn(ctx, proxy, watch),
            Message::Outage => self.goes_out(ctx),
            _ => ctx.local.tally.violation("discovery got a message that is none of its own"),
        }
    }

    fn tier_of(&self, world: &World, proxy: u32) -> Option<u8> {
        let machine = world.machines.get(proxy.checked_sub(world.clients)? as usize)?;
        machine.proxy.map(|(tier, _)| tier)
    }

    /// It hears of changes and tells who watches.
    fn heard(&mut self, ctx: &mut Ctx, changes: &[(u8, Line)]) {
        let again = changes.is_empty();
        for (tier, line) in changes {
            enter(&mut self.lists[*tier as usize], *line);
            let delta: Arc<[Line]> = [*line].into();
            let watchers: Vec<u32> = self.watchers[*tier as usize].iter().copied().collect();
            for proxy in watchers {
                if !self.behind.contains(&proxy) && !self.tell(ctx, proxy, News::Delta(delta.clone())) {
                    self.fall_behind(ctx, proxy);
                }
            }
        }
        if again {
            for proxy in std::mem::take(&mut self.behind) {
                let full = self
                    .tier_of(ctx.world, proxy)
                    .map(|tier| News::Full(self.lists[tier as usize].clone().into()));
                if full.is_some_and(|full| !self.tell(ctx, proxy, full)) {
                    self.fall_behind(ctx, proxy);
                }
            }
        }
    }

    /// One who could not be told of a change gets the whole list as soon as it can be reached.
    fn fall_behind(&mut self, ctx: &mut Ctx, proxy: u32) {
        if self.behind.is_empty() {
            ctx.out.schedule(ctx.now + 500_000_000, Message::Heard([].into()));
        }
        self.behind.insert(proxy);
    }

    fn tell(&self, ctx: &mut Ctx, proxy: u32, news: News) -> bool {
        let at = ctx.now + net::between(ctx.world, self.node, proxy, ctx.rng);
        let reached = net::reaches(ctx.world, self.node, proxy, at);
        if reached {
            ctx.out.send(proxy, at, Message::News(news));
        }
        reached
    }

    fn is_out(&self, ctx: &Ctx) -> bool {
        ctx.world.timeline.outages.iter().any(|o| o.holds(ctx.now))
    }

    /// Calls wait in turn, and fail when they would wait too long.
    fn asked(&mut self, ctx: &mut Ctx, proxy: u32, watch: bool) {
        let spec = &ctx.world.scenario.discovery;
        let (takes, timeout) = ((1e9 / spec.calls_per_s) as Nanos, spec.timeout.nanos());
        let done = self.busy_until.max(ctx.now) + takes;
        if self.is_out(ctx) || done > ctx.now + timeout {
            let at = ctx.now + timeout + net::between(ctx.world, self.node, proxy, ctx.rng);
            return ctx.out.send(proxy, at, Message::News(News::Failed));
        }
        self.busy_until = done;
        ctx.out.schedule(done, Message::Turn(proxy, watch));
    }

    fn turn(&mut self, ctx: &mut Ctx, proxy: u32, watch: bool) {
        let Some(tier) = self.tier_of(ctx.world, proxy) else { return };
        if self.is_out(ctx) {
            self.tell(ctx, proxy, News::Failed);
            return;
        }
        if watch {
            self.watchers[tier as usize].insert(proxy);
        }
        self.tell(ctx, proxy, News::Full(self.lists[tier as usize].clone().into()));
    }

    /// Watches end, and whoever had one is told so.
    fn goes_out(&mut self, ctx: &mut Ctx) {
        if ctx.world.scenario.discovery.mode == DiscoveryMode::Push {
            return; // what comes unasked just stays away
        }
        for tier in 0..self.watchers.len() {
            for proxy in std::mem::take(&mut self.watchers[tier]) {
                self.tell(ctx, proxy, News::Failed);
            }
        }
    }
}
