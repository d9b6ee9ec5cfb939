//! One sidecar: the real xDS session, the real catalog, and the real decisions of each cluster.

use super::fleet::{lives, mark, name};
use super::{Attempt, GOES, LATENCY, Message, Of, Requests, World};
use crate::control_plane::{Heard, Said};
use crate::engine::Outbox;
use crate::model::mix;
use olivecart_decisions::{
    Action, AttemptEnd, Balancer, Class, ClassId, EndpointEntry, EndpointId, EndpointState, EndpointUpdate,
    Event, Nanos, Outcome, Request, RequestId, Settings,
};
use olivecart_membership::xds::session::{self, Config, Input, Node, Output, Response, Session, Variant};
use olivecart_membership::{Catalog, Output as Told, Policy, SourceId};
use rand::Rng;
use rand_distr::Exp1;
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::time::Duration;

/// The connect timeout, in nanoseconds.
const CONNECT: Nanos = 5_000_000_000;
/// The mean service time of a request, in nanoseconds.
const SERVICE: f64 = 5e6;
/// The deadline of clients, in nanoseconds.
const PATIENCE: Nanos = 1_000_000_000;
/// Sidecars start at random times within this many nanoseconds.
const STARTS: Nanos = 3_000_000_000;

/// An open request.
struct Open {
    /// The phase of arrival: 0 before the outage of the control plane, 1 during it, 2 after it.
    when: usize,
    deadline: Nanos,
    attempts: u32,
}

/// The state of a sidecar.
pub struct Sidecar {
    id: u32,
    talk: Session,
    catalog: Catalog,
    /// The number of the current connection, and whether it is established.
    link: (u32, bool),
    /// Responses that arrived and that the session's read limit delays.
    unread: VecDeque<Box<Said>>,
    reads: bool,
    /// The time of the next scheduled wake-up.
    wakes: Nanos,
    clusters: Vec<Balancer>,
    /// The numbers of the servers by id.
    known: FxHashMap<String, u32>,
    open: FxHashMap<u64, Open>,
    next: u64,
    /// The fingerprint of the servers in the catalog: the sum of their marks.
    held: u64,
    newest: Option<Nanos>,
    requests: [Requests; 3],
}

impl Sidecar {
    pub fn new(world: &World, id: u32, rng: &mut Pcg64Mcg, out: &mut Outbox<World>) -> Sidecar {
        let plan = &world.plan;
        let source = SourceId::new("plane");
        let node = Node { id: format!("sidecar-{id}"), ..Node::default() };
        let own = if plan.one_seed { 0 } else { u64::from(id) };
        let config = Config {
            variant: plan.variant,
            backoff_base: Config::BACKOFF_BASE.min(plan.backoff),
            backoff_most: plan.backoff,
            seed: mix(plan.seed, own),
            ..Config::new(source.clone(), node)
        };
        let policy = Policy { hold: Duration::ZERO, ..Policy::default() };
        // Cannot fail: the only setting that differs from the defaults is in its range.
        let catalog = Catalog::new(policy, [source]).unwrap_or_else(|bad| unreachable!("{bad}"));
        let settings = Settings {
            replica_index: id - 1,
            replica_count: plan.sidecars,
            classes: vec![Class {
                latency_objective: PATIENCE / 10,
                client_deadline: PATIENCE,
                ..Class::default()
            }],
            ..Settings::default()
        };
        let balancer =
            |at: u32| Balancer::new(settings.clone(), mix(plan.seed, u64::from(id) << 16 | u64::from(at)), 0);
        let numbers = world.fleet.servers.iter().zip(0..);
        out.schedule(rng.random_range(0..STARTS), Message::Wake);
        out.schedule(STARTS * 2, Message::Arrival);
        Sidecar {
            id,
            talk: Session::new(config),
            catalog,
            link: (0, false),
            unread: VecDeque::new(),
            reads: false,
            wakes: 0,
            clusters: (0..plan.clusters).map(balancer).collect(),
            known: numbers.map(|(server, number)| (server.id.clone(), number)).collect(),
            open: FxHashMap::default(),
            next: 0,
            held: 0,
            newest: None,
            requests: Default::default(),
        }
    }

    pub fn rest(self) -> Of {
        Of::Sidecar { requests: self.requests, newest: self.newest }
    }

    pub fn handle(
        &mut self,
        world: &World,
        rng: &mut Pcg64Mcg,
        now: Nanos,
        message: Message,
        out: &mut Outbox<World>,
    ) {
        match message {
            Message::Wake if now >= self.wakes => {
                self.wakes = Nanos::MAX;
                self.talk(world, rng, now, Input::Tick, out);
                self.hear(world, rng, now, olivecart_membership::Event::Tick, out);
            }
            Message::Accepted(number) if number == self.link.0 => {
                self.link.1 = true;
                self.talk(world, rng, now, Input::Connected, out);
            }
            Message::Accepted(number) => out.send(0, now + LATENCY, Message::HangUp(self.id, number)),
            Message::Lost(number) if number == self.link.0 => self.lost(world, rng, now, "reset", out),
            Message::TooLong(number) if number == self.link.0 && !self.link.1 => {
                self.lost(world, rng, now, "it takes too long", out);
            }
            Message::Response(number, said) if number == self.link.0 && self.link.1 => {
                self.unread.push_back(said);
                self.read(world, rng, now, out);
            }
            Message::Read => {
                self.reads = false;
                self.read(world, rng, now, out);
            }
            Message::Arrival => self.arrival(world, rng, now, out),
            Message::Timer(cluster, timer) => {
                self.decide(world, rng, now, cluster, Event::TimerFired(timer), out)
            }
            Message::Attempt(cluster, attempt) => self.attempt(world, rng, now, (cluster, attempt), out),
            Message::Checked(cluster, endpoint, outcome, took) => {
                let event = Event::HealthCheckCompleted { endpoint, outcome, duration: took, load: None };
                self.decide(world, rng, now, cluster, event, out);
            }
            _ => {}
        }
        let deadline = [self.talk.deadline(), self.catalog.deadline()].into_iter().flatten().min();
        if let Some(at) = deadline.filter(|at| *at < self.wakes) {
            self.wakes = at.max(now);
            out.schedule(self.wakes, Message::Wake);
        }
    }

    fn lost(&mut self, world: &World, rng: &mut Pcg64Mcg, now: Nanos, why: &str, out: &mut Outbox<World>) {
        // Messages of the lost connection are recognized by the old number and ignored.
        self.link = (self.link.0 + 1, false);
        self.unread.clear();
        self.talk(world, rng, now, Input::Lost { why: why.to_owned() }, out);
    }

    /// Reads as many responses as the session's read limit allows.
    fn read(&mut self, world: &World, rng: &mut Pcg64Mcg, now: Nanos, out: &mut Outbox<World>) {
        while !self.unread.is_empty() {
            let at = self.talk.next_read_at();
            if at > now {
                if !self.reads {
                    self.reads = true;
                    out.schedule(at, Message::Read);
                }
                return;
            }
            let Some(said) = self.unread.pop_front() else { return };
            let response = match *said {
                Said::World(response) => Response::World(response),
                Said::Delta(response) => Response::Delta(response),
            };
            self.talk(world, rng, now, Input::Response(response), out);
        }
    }

    fn talk(&mut self, world: &World, rng: &mut Pcg64Mcg, now: Nanos, input: Input, out: &mut Outbox<World>) {
        let mut outputs = Vec::new();
        self.talk.handle(now, input, &mut outputs);
        for output in outputs {
            match output {
                Output::Connect => {
                    let number = self.link.0;
                    out.send(0, now + LATENCY, Message::Dial(self.id, number));
                    out.schedule(now + CONNECT, Message::TooLong(number));
                }
                Output::Send(request) => {
                    let heard = match *request {
                        session::Request::World(request) => Heard::World(request),
                        session::Request::Delta(request) => Heard::Delta(request),
                    };
                    out.send(0, now + LATENCY, Message::Request(self.id, self.link.0, Box::new(heard)));
                }
                Output::Notify(event) => self.hear(world, rng, now, event, out),
                Output::Log(_) => {}
            }
        }
    }

    /// Passes an event to the catalog, and the resulting changes to the decisions.
    fn hear(
        &mut self,
        world: &World,
        rng: &mut Pcg64Mcg,
        now: Nanos,
        event: olivecart_membership::Event,
        out: &mut Outbox<World>,
    ) {
        let mut told = Vec::new();
        self.catalog.handle(now, event, &mut told);
        let mut asks = Vec::new();
        for output in told {
            match output {
                Told::Changed(change) => {
                    let cluster = (0..world.plan.clusters).find(|at| name(*at) == change.cluster.as_str());
                    let Some(cluster) = cluster else { continue };
                    let mut entries = Vec::new();
                    for (id, state) in change.removed.iter().map(|id| (id, EndpointState::Removed)).chain(
                        change
                            .upserted
                            .iter()
                            .map(|upserted| (&upserted.endpoint.name, EndpointState::Ready)),
                    ) {
                        let Some(&number) = self.known.get(id.as_str()) else { continue };
                        let endpoint = EndpointId(number - world.fleet.first[cluster as usize]);
                        let is_new = state == EndpointState::Ready;
                        let mark = mark(number);
                        self.held =
                            if is_new { self.held.wrapping_add(mark) } else { self.held.wrapping_sub(mark) };
                        entries.push(EndpointEntry { state, ..EndpointEntry::ready(endpoint, id.as_str()) });
                    }
                    let event = Event::Endpoints(EndpointUpdate::Delta(entries));
                    self.decide(world, rng, now, cluster, event, out);
                }
                Told::RefetchRequested { cluster, .. } => asks.push(cluster),
                _ => {}
            }
        }
        for cluster in asks {
            self.talk(world, rng, now, Input::Refetch(cluster), out);
        }
        if self.newest.is_none() && now >= world.plan.back() && self.held == world.newest {
            self.newest = Some(now);
        }
    }

    fn arrival(&mut self, world: &World, rng: &mut Pcg64Mcg, now: Nanos, out: &mut Outbox<World>) {
        let gap: f64 = rng.sample(Exp1);
        out.schedule(now + (gap * 1e9 / world.plan.rate) as Nanos + 1, Message::Arrival);
        let when = usize::from(now >= GOES) + usize::from(now >= world.plan.back());
        let cluster = rng.random_range(0..world.plan.clusters);
        let id = self.next;
        self.next += 1;
        self.requests[when].taken += 1;
        self.open.insert(id, Open { when, deadline: now + PATIENCE, attempts: 0 });
        let request = Request::new(RequestId(id), ClassId(0), PATIENCE);
        self.decide(world, rng, now, cluster, Event::RequestArrived(request), out);
    }

    fn attempt(
        &mut self,
        world: &World,
        rng: &mut Pcg64Mcg,
        now: Nanos,
        (cluster, attempt): (u32, Attempt),
        out: &mut Outbox<World>,
    ) {
        let Attempt { request, attempt, endpoint, outcome, sent } = attempt;
        // Attempts whose request has already ended are reported too.
        let over = self.open.get(&request).is_none_or(|open| outcome == Outcome::Ok || now >= open.deadline);
        if over {
            self.end(request, outcome == Outcome::Ok);
        }
        let (request, took) = (RequestId(request), now - sent);
        let end = AttemptEnd {
            request,
            attempt,
            endpoint,
            outcome,
            duration: took,
            request_completed: over,
            load: None,
        };
        self.decide(world, rng, now, cluster, Event::AttemptEnded(end), out);
    }

    fn end(&mut self, request: u64, answered: bool) {
        let Some(open) = self.open.remove(&request) else { return };
        let requests = &mut self.requests[open.when];
        requests.answered += u64::from(answered);
        requests.lost += u64::from(!answered);
        requests.again += u64::from(open.attempts.saturating_sub(1));
    }

    /// Passes an event to a cluster's decisions and carries out the resulting actions.
    fn decide(
        &mut self,
        world: &World,
        rng: &mut Pcg64Mcg,
        now: Nanos,
        cluster: u32,
        event: Event,
        out: &mut Outbox<World>,
    ) {
        let mut actions = Vec::new();
        let Some(balancer) = self.clusters.get_mut(cluster as usize) else { return };
        balancer.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::StartAttempt { request, endpoint, timeout: cap, .. } => {
                    let Some(open) = self.open.get_mut(&request.0) else { continue };
                    let attempt = open.attempts;
                    open.attempts += 1;
                    let server = world.fleet.server(cluster, endpoint);
                    let service = 2 * LATENCY + (rng.sample::<f64, _>(Exp1) * SERVICE) as Nanos;
                    let limit = match cap {
                        0 => open.deadline,
                        cap => open.deadline.min(now + cap),
                    };
                    let (at, outcome) = match lives(server, now) {
                        false => (now + 2 * LATENCY, Outcome::ConnectFailed),
                        true if now + service >= server.dies => (server.dies.max(now), Outcome::Reset),
                        true => (now + service, Outcome::Ok),
                    };
                    let (at, outcome) = if at > limit { (limit, Outcome::Timeout) } else { (at, outcome) };
                    let attempt = Attempt { request: request.0, attempt, endpoint, outcome, sent: now };
                    out.schedule(at, Message::Attempt(cluster, attempt));
                }
                Action::StartHealthCheck(endpoint) => {
                    let server = world.fleet.server(cluster, endpoint);
                    let outcome = if lives(server, now) { Outcome::Ok } else { Outcome::ConnectFailed };
                    let took = 2 * LATENCY;
                    out.schedule(now + took, Message::Checked(cluster, endpoint, outcome, took));
                }
                Action::SetTimer { at, timer } => out.schedule(at.max(now), Message::Timer(cluster, timer)),
                Action::Shed { request, .. } | Action::Fail(request) => self.end(request.0, false),
                _ => {}
            }
        }
    }
}

/// The protocol variants by their names on the command line.
pub const VARIANTS: [(&str, Variant); 2] =
    [("incremental", Variant::Incremental), ("state-of-the-world", Variant::StateOfTheWorld)];
