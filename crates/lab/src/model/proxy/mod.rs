//! A proxy of the model: a policy, and the parts of the real proxy around it: open requests, connections,
//! health checks and timers.
//!
//! The proxy performs the actions of its policy and checks them against the rules. Its machine calls it for
//! each event. It does not access the state of its policy, and knows of servers only what discovery has sent.

mod attempts;
mod connections;
mod endpoints;
mod health;
mod requests;

use super::context::{Context, ZoneTrueStateView};
use super::message::{ClientRequestId, Message, ProxyRequest, RequestOutcome};
use super::monitor::{Monitor, Rule, Subject, TraceEvent};
use super::topology::{Topology, mix};
use crate::policy::{EndpointHealth, Policy, PolicyContext};
use crate::run_result::Held;
use olivecart_decisions::{Action, EndpointState, EndpointUpdate, Event, Nanos, Outcome, Settings, Timer};
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// The caller that waits for the final response to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Origin {
    /// An attempt of a client.
    Client {
        /// The client's request.
        request: ClientRequestId,
        /// The number of the client's attempt.
        attempt: u8,
    },
    /// A job of the machine's own server.
    Job {
        /// The job.
        job: u32,
        /// The generation of the job's index.
        generation: u32,
    },
}

/// A call of the machine's own server that has ended.
pub struct FinishedCall {
    /// The job that called.
    pub job: u32,
    /// The generation of the job's index.
    pub generation: u32,
    /// The work that was done, if the call was served.
    pub work: Option<u64>,
}

/// An attempt of an open request.
struct AttemptRecord {
    endpoint: u32,
    sent_at: Nanos,
    /// The time at which it arrives at its server.
    arrives_at: Nanos,
    /// `None` while it is in flight.
    outcome: Option<Outcome>,
}

impl AttemptRecord {
    fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::was_never_executed)
    }
}

struct OpenRequest {
    origin: Origin,
    call: ProxyRequest,
    attempts: Vec<AttemptRecord>,
    /// Whether it has its final response, or its caller no longer waits.
    ended: bool,
}

impl OpenRequest {
    fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.is_in_flight()).count()
    }
}

/// An idle connection to a server.
#[derive(Clone, Copy)]
struct IdleConnection {
    since: Nanos,
    /// The server incarnation to which it was opened.
    incarnation: u32,
}

/// The state of a server that discovery reported as not ready.
#[derive(Clone, Copy)]
struct Withdrawal {
    state: EndpointState,
    notified_at: Nanos,
}

/// A health check in flight.
struct PendingHealthCheck {
    server: u32,
    sent_at: Nanos,
}

/// The health of an endpoint as last sampled.
#[derive(Clone, Copy)]
struct SampledHealth {
    health: EndpointHealth,
    since: Nanos,
}

/// A proxy.
pub struct Proxy {
    node: u32,
    machine: u32,
    tier: u8,
    number: u32,
    settings: Settings,
    /// `None` while its process does not run.
    policy: Option<Box<dyn Policy>>,
    /// The number of the proxy's process. Timers of an earlier process are ignored.
    incarnation: u32,
    open_requests: FxHashMap<u64, OpenRequest>,
    by_client: FxHashMap<(ClientRequestId, u8), u64>,
    next_request: u64,
    /// The idle connections to each server; the most recently used is last.
    idle: BTreeMap<u32, Vec<IdleConnection>>,
    /// The servers that are not ready.
    not_ready: FxHashMap<u32, Withdrawal>,
    /// The last known start time of each server that started during the run.
    started: FxHashMap<u32, Nanos>,
    health_checks: FxHashMap<u64, PendingHealthCheck>,
    next_health_check: u64,
    is_watching: bool,
    /// How long discovery has been unreachable for the watch of this proxy.
    watch_silent_for: Nanos,
    pending_events: VecDeque<Event>,
    /// The buffer for the policy's actions; kept to reuse its allocation.
    actions: Vec<Action>,
    is_notifying_policy: bool,
    sampled_health: Vec<SampledHealth>,
    ejections: Vec<Held>,
    accepted: u64,
    ended: u64,
    finished_calls: Vec<FinishedCall>,
    /// The trace of this proxy and its breaches of rules.
    pub monitor: Monitor,
}

impl Proxy {
    /// Creates a proxy whose process is not running yet.
    pub fn new(topology: &Topology, machine: u32, tier: u8, number: u32) -> Proxy {
        Proxy {
            node: topology.machine_node(machine),
            machine,
            tier,
            number,
            settings: topology.settings(tier, number, topology.machines[machine as usize].zone),
            policy: None,
            incarnation: 0,
            open_requests: FxHashMap::default(),
            by_client: FxHashMap::default(),
            next_request: 0,
            idle: BTreeMap::new(),
            not_ready: FxHashMap::default(),
            started: FxHashMap::default(),
            health_checks: FxHashMap::default(),
            next_health_check: 0,
            is_watching: false,
            watch_silent_for: 0,
            pending_events: VecDeque::new(),
            actions: Vec::new(),
            is_notifying_policy: false,
            sampled_health: Vec::new(),
            ejections: Vec::new(),
            accepted: 0,
            ended: 0,
            finished_calls: Vec::new(),
            monitor: Monitor::default(),
        }
    }

    /// Whether the proxy's process is running.
    pub fn runs(&self) -> bool {
        self.policy.is_some()
    }

    /// Returns the calls of the machine's own server that have ended since the last call of this function.
    pub fn take_finished_calls(&mut self) -> Vec<FinishedCall> {
        std::mem::take(&mut self.finished_calls)
    }

    /// Whether every accepted request has ended or is open.
    pub fn has_consistent_counts(&self) -> bool {
        let open = self.open_requests.values().filter(|request| !request.ended).count();
        self.accepted == self.ended + open as u64
    }

    /// A cheaper form of [`Proxy::has_consistent_counts`] for use on every event: it does not iterate over
    /// the open requests.
    pub fn has_plausible_counts(&self) -> bool {
        self.accepted >= self.ended && self.accepted - self.ended <= self.open_requests.len() as u64
    }

    /// Starts the process with the endpoint list that discovery has at this time.
    pub fn start(&mut self, context: &mut Context) {
        let topology = context.topology;
        let seed = mix(mix(topology.seed, u64::from(self.node)), u64::from(self.incarnation) + 1);
        let policy_context = PolicyContext {
            settings: self.settings.clone(),
            seed,
            now: context.now,
            true_state: Rc::new(self.true_state_view(context)),
        };
        self.policy = Some((topology.policy_factory)(policy_context));
        let known = topology.list_at(self.tier, context.now);
        self.replace_list(context, &known, EndpointUpdate::Cached);
        let sweep_at = context.now + self.sweep_interval(topology);
        context.outbox.schedule(sweep_at, Message::SweepIdleConnections(self.incarnation));
        if self.is_sampled(topology) {
            self.schedule_health_sample(context);
        }
    }

    fn true_state_view(&self, context: &Context) -> ZoneTrueStateView {
        let topology = context.topology;
        let servers = &topology.tiers[self.tier as usize].servers;
        ZoneTrueStateView {
            true_states: context.thread.true_states.clone(),
            clock: context.thread.clock.clone(),
            tier: self.tier,
            zones: servers.iter().map(|server| server.zone).collect(),
            cuts: topology.timeline.cuts.iter().copied().collect(),
            zone: topology.machines[self.machine as usize].zone,
        }
    }

    /// Ends the process with all open requests. If `silent`, the machine is lost with it and no node is
    /// notified.
    pub fn die(&mut self, context: &mut Context, silent: bool) {
        if self.policy.take().is_none() {
            return;
        }
        self.incarnation += 1;
        let mut requests: Vec<(u64, OpenRequest)> = self.open_requests.drain().collect();
        requests.sort_unstable_by_key(|(number, _)| *number);
        for (number, request) in requests {
            self.ended += u64::from(!request.ended);
            if !silent {
                self.drop_request(context, number, &request);
            }
        }
        if !silent {
            for (server, idle) in std::mem::take(&mut self.idle) {
                self.close(context, server, &idle);
            }
        }
        self.idle.clear();
        self.by_client.clear();
        self.not_ready.clear();
        self.started.clear();
        self.health_checks.clear();
        self.pending_events.clear();
        self.sampled_health.clear();
        self.is_watching = false;
    }

    /// Closes the connections of a request at the end of the process, and notifies its client.
    fn drop_request(&mut self, context: &mut Context, number: u64, request: &OpenRequest) {
        for (index, attempt) in request.attempts.iter().enumerate() {
            if attempt.is_in_flight() {
                self.drop_connection(context, number, index as u32, attempt);
            }
        }
        if let Origin::Client { request: client_request, attempt } = request.origin
            && !request.ended
        {
            self.respond_to_client(context, client_request, attempt, RequestOutcome::Unreachable);
        }
    }

    /// Handles a timer of the policy. Timers of an earlier process are ignored.
    pub fn policy_timer(&mut self, context: &mut Context, timer: Timer, incarnation: u32) {
        if incarnation == self.incarnation {
            self.notify_policy(context, Event::TimerFired(timer));
        }
    }

    /// Passes an event to the policy and performs the resulting actions. Events that these actions cause are
    /// queued until all actions are performed.
    fn notify_policy(&mut self, context: &mut Context, event: Event) {
        self.pending_events.push_back(event);
        if std::mem::replace(&mut self.is_notifying_policy, true) {
            return;
        }
        let mut actions = std::mem::take(&mut self.actions);
        while let Some(event) = self.pending_events.pop_front() {
            let Some(policy) = &mut self.policy else { break };
            let now = context.now;
            let timed = context.topology.timed;
            context.thread.policy_time.measure(timed, || policy.handle(now, event, &mut actions));
            for action in actions.drain(..) {
                self.perform(context, action);
            }
        }
        self.actions = actions;
        self.is_notifying_policy = false;
    }

    fn perform(&mut self, context: &mut Context, action: Action) {
        match action {
            Action::StartAttempt { request, endpoint, timeout, .. } => {
                self.start_attempt(context, request.0, endpoint.0, timeout);
            }
            Action::CancelAttempt { request, attempt } => {
                self.monitor.record(context.now, TraceEvent::Cancelled(request.0, attempt));
                self.abandon_attempt(context, request.0, attempt, Outcome::Cancelled);
            }
            Action::Shed { request, retry_after } => self.shed(context, request.0, retry_after),
            Action::Fail(request) => {
                self.monitor.record(context.now, TraceEvent::Failed(request.0));
                self.finish(context, request.0, RequestOutcome::Failed);
            }
            Action::StartHealthCheck(endpoint) => self.start_health_check(context, endpoint.0),
            Action::SetTimer { at, timer } => {
                let at = at.max(context.now + 1);
                context.outbox.schedule(at, Message::PolicyTimer(timer, self.incarnation));
            }
            Action::WatchEndpoints(true) => self.watch_list(context),
            Action::WatchEndpoints(false) => self.is_watching = false,
            Action::RefreshEndpoints => self.request_list(context, false),
            Action::CloseIdleConnections(endpoint) => {
                if let Some(idle) = self.idle.remove(&endpoint.0) {
                    self.close(context, endpoint.0, &idle);
                }
            }
            // The model has no messages between proxies.
            Action::Publish { .. } | Action::Log(_) => {}
        }
    }

    fn report_breach(&mut self, context: &Context, rule: Rule, subject: Subject, what: String) {
        let name = context.topology.proxy_name(self.machine);
        self.monitor.report_breach(rule, context.now, &name, subject, what);
    }
}
