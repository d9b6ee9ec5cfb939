//! A server of the model: slots, cores, a bounded queue, connections, and the ways in which it is slow or ill.
//!
//! A request holds a slot from its begin to its response, also while it waits for the next tier. Its work is
//! cut into equal parts by its calls to the next tier; each part waits for a core in turn and then runs to
//! its end. Simpler than reality: cores are not shared by time slices, and a part runs at the speed that the
//! server had when the part began.
//!
//! Its machine calls it for each event and carries out its [`ServerEffect`]s; it sends nothing itself but
//! messages to its own machine.

mod admission;
mod jobs;
mod lifecycle;
mod load_report;

pub use load_report::with_noise;

use super::context::Context;
use super::message::{Attempt, AttemptId, AttemptResponse, ServerStateBroadcast};
use super::pressure::Pressure;
use super::topology::Topology;
use crate::policy::TrueState;
use crate::scenario::Kind;
use olivecart_decisions::{LoadReport, Nanos};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// A server whose injected error share reaches this does not count as serving.
const NOT_SERVING_ERROR_SHARE: f64 = 0.5;
/// The least speed of a core, so that every job ends.
const MIN_CORE_SPEED: f64 = 1e-6;

/// What a server asks of its machine.
#[derive(Debug)]
pub enum ServerEffect {
    /// A response goes to a proxy.
    Respond {
        /// The proxy's node.
        proxy: u32,
        /// The response.
        response: AttemptResponse,
    },
    /// A job calls the next tier.
    CallNextTier {
        /// The job.
        job: u32,
        /// Which run of the job's slot: a response to an earlier run is ignored.
        run: u32,
        /// The attempt that the job works on.
        attempt: Attempt,
    },
    /// A job no longer waits for its call.
    CancelCall {
        /// The request's number at the machine's own proxy.
        request: u64,
    },
    /// A request had its effect.
    Executed(Attempt),
}

/// What a job waits for.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// For a slot.
    Waiting,
    /// For a core.
    Ready,
    /// It runs on a core until then.
    Running { ends_at: Nanos },
    /// For the next tier.
    Calling { request: Option<u64> },
    /// For nothing any more.
    Done,
}

/// An attempt that the server has admitted.
struct Job {
    attempt: Attempt,
    stage: Stage,
    /// Which run of this index: events of an earlier run are ignored.
    run: u32,
    /// The work of each part.
    part: u64,
    calls_left: u32,
    /// Work done for it here and in the tiers below.
    work_done: u64,
    /// Work here that is still to be done.
    work_left: u64,
    /// Its connection is open: the response can reach the proxy.
    is_connected: bool,
}

/// The state of the server's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Down,
    Up,
    Draining,
}

/// A load report, and when it was made.
#[derive(Clone, Copy)]
struct TimedReport {
    made_at: Nanos,
    load: LoadReport,
}

/// Counters for the report; whole numbers, so that sums are the same in any order.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerCounters {
    /// Attempts that arrived.
    pub attempts: u64,
    /// Attempts that were not admitted.
    pub turned_away: u64,
    /// Attempts that got a response, errors included.
    pub answered: u64,
    /// Attempts that were admitted and got no response: cancelled, or lost with the process.
    pub lost: u64,
    /// Work done, at speed 1.
    pub work: u64,
    /// Core time used.
    pub busy: u64,
    /// Time that it ran.
    pub up: u64,
    /// Most requests at a time.
    pub peak_requests: u64,
    /// Health checks.
    pub probes: u64,
    /// New connections.
    pub handshakes: u64,
    /// Most connections at a time.
    pub peak_connections: u64,
    /// Connections times time, in microseconds.
    pub connection_us: u64,
    /// How often its process died.
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
    /// Counts its processes, so that what an earlier one left means nothing to the next.
    incarnation: u32,
    /// When this process started; 0: long ago, and it is warm.
    started: Nanos,
    hangs: bool,
    /// Injected share of requests that fail at once.
    error_share: f64,
    /// Injected factor by which it is slower.
    slowdown: f64,
    /// Injected delay of load reports.
    report_delay: Nanos,
    jobs: Vec<Option<Job>>,
    free_indices: Vec<u32>,
    job_by_attempt: FxHashMap<AttemptId, u32>,
    waiting: VecDeque<u32>,
    ready: VecDeque<u32>,
    runs: u32,
    slots_used: u32,
    cores_used: u32,
    /// Work that is here and not yet done.
    backlog: u64,
    /// Work of health checks and handshakes, done with the next part.
    overhead: u64,
    paused_until: Nanos,
    crowded_since: Option<Nanos>,
    rested_since: Option<Nanos>,
    is_crowded: bool,
    connections: u32,
    /// Load reports, oldest first.
    reports: VecDeque<TimedReport>,
    /// Requests served since the last load report.
    served_since_report: u64,
    /// Core time used up to the last load report.
    busy_at_report: u64,
    pressure: Pressure,
    accounted_until: Nanos,
    /// For the report.
    pub counters: ServerCounters,
}

impl Server {
    /// A server that runs and is warm, or one that does not run yet.
    pub fn new(tier: u8, slot: u32, context: &mut Context) -> Server {
        let spec = &context.topology.tiers[tier as usize].servers[slot as usize];
        let server = Server {
            tier,
            slot,
            speed: spec.speed,
            state: if spec.present_at_start { State::Up } else { State::Down },
            incarnation: 0,
            started: 0,
            hangs: false,
            error_share: 0.0,
            slowdown: 1.0,
            report_delay: 0,
            jobs: Vec::new(),
            free_indices: Vec::new(),
            job_by_attempt: FxHashMap::default(),
            waiting: VecDeque::new(),
            ready: VecDeque::new(),
            runs: 0,
            slots_used: 0,
            cores_used: 0,
            backlog: 0,
            overhead: 0,
            paused_until: 0,
            crowded_since: None,
            rested_since: Some(context.now),
            is_crowded: false,
            connections: 0,
            reports: VecDeque::new(),
            served_since_report: 0,
            busy_at_report: 0,
            pressure: Pressure::default(),
            accounted_until: context.now,
            counters: ServerCounters::default(),
        };
        server.schedule_pause(context);
        server
    }

    /// Whether its process runs.
    pub fn runs(&self) -> bool {
        self.state != State::Down
    }

    /// When its process started.
    pub fn started(&self) -> Nanos {
        self.started
    }

    fn kind<'a>(&self, topology: &'a Topology) -> &'a Kind {
        topology.kind(self.tier, self.slot)
    }

    /// The present speed of a core.
    fn core_speed(&self, topology: &Topology, now: Nanos) -> f64 {
        let kind = self.kind(topology);
        let warmth = match kind.cold {
            Some(cold) if self.started > 0 && cold.warm_in.nanos() > 0 => {
                let age = now.saturating_sub(self.started) as f64 / cold.warm_in.nanos() as f64;
                cold.from + (1.0 - cold.from) * age.min(1.0)
            }
            _ => 1.0,
        };
        let crowding = kind.crowd.filter(|_| self.is_crowded).map_or(1.0, |crowd| crowd.slower);
        (self.speed * warmth / crowding / self.slowdown).max(MIN_CORE_SPEED)
    }

    /// Its true state, for a policy that may see it.
    pub fn true_state(&self, topology: &Topology, now: Nanos) -> TrueState {
        let core_speed = self.core_speed(topology, now);
        let capacity = f64::from(self.kind(topology).cores) * core_speed;
        let paused = self.paused_until.saturating_sub(now);
        let is_healthy = !self.hangs && self.error_share < NOT_SERVING_ERROR_SHARE;
        TrueState {
            is_serving: self.state == State::Up && is_healthy,
            queue_delay: (self.backlog as f64 / capacity) as Nanos + paused,
            capacity,
            core_speed,
        }
    }

    /// Its true state, for all threads.
    pub fn state_broadcast(&self, topology: &Topology, now: Nanos) -> ServerStateBroadcast {
        let true_state = self.true_state(topology, now);
        ServerStateBroadcast { tier: self.tier, slot: self.slot, true_state }
    }

    /// Whether every attempt that arrived is accounted for.
    pub fn conserves(&self) -> bool {
        let ServerCounters { attempts, turned_away, answered, lost, .. } = self.counters;
        attempts == turned_away + answered + lost + self.job_by_attempt.len() as u64
    }

    /// Brings its counters up to the end of a run.
    pub fn close_accounts(&mut self, topology: &Topology, now: Nanos) {
        self.update_accounts(topology, now);
    }
}
