//! A server of the model: slots, cores, a bounded queue, connections, and its slowdowns and faults.
//!
//! A request occupies a slot from its start to its response, also while it waits for the next tier. Its calls
//! to the next tier split its work into equal parts; each part waits for a core and then runs to its end. The
//! model simplifies reality: cores are not time-shared, and a part runs at the speed that the server had when
//! the part started.
//!
//! The machine calls its server for each event and applies the [`ServerEffect`]s; the server itself only
//! schedules messages to its own machine.

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

/// A server with at least this injected share of errors does not count as serving.
const NOT_SERVING_ERROR_SHARE: f64 = 0.5;
/// The minimum speed of a core, so that every job ends.
const MIN_CORE_SPEED: f64 = 1e-6;

/// An action that a server requests from its machine.
#[derive(Debug)]
pub enum ServerEffect {
    /// Send a response to a proxy.
    Respond {
        /// The proxy's node.
        proxy: u32,
        /// The response.
        response: AttemptResponse,
    },
    /// Call the next tier for a job.
    CallNextTier {
        /// The job.
        job: u32,
        /// The generation of the job's index; a response for an earlier generation is ignored.
        generation: u32,
        /// The attempt that the job handles.
        attempt: Attempt,
    },
    /// Cancel a call to the next tier, as its job has ended.
    CancelCall {
        /// The number of the call at the machine's own proxy.
        request: u64,
    },
    /// Report that a request was executed and had its effect.
    Executed(Attempt),
}

/// The stage of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// It waits for a slot.
    Waiting,
    /// It waits for a core.
    Ready,
    /// It runs on a core until `ends_at`.
    Running { ends_at: Nanos },
    /// It waits for the next tier.
    Calling { request: Option<u64> },
    /// All of its work is done.
    Done,
}

/// An attempt that the server has admitted.
struct Job {
    attempt: Attempt,
    stage: Stage,
    /// The generation of the job's index; events of an earlier generation are ignored.
    generation: u32,
    /// The work of each part.
    part: u64,
    calls_left: u32,
    /// Work done for the job at this server and in the next tiers.
    work_done: u64,
    /// Remaining work at this server.
    work_left: u64,
    /// Whether its connection is open, so that the response can reach the proxy.
    is_connected: bool,
}

/// The state of the server's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Down,
    Up,
    Draining,
}

/// A load report and the time at which it was created.
#[derive(Clone, Copy)]
struct TimedReport {
    made_at: Nanos,
    load: LoadReport,
}

/// The counters of a server for the report. They are integers, so that sums do not depend on the order.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerCounters {
    /// Attempts that arrived.
    pub attempts: u64,
    /// Attempts that were rejected.
    pub rejected: u64,
    /// Attempts that got a response, errors included.
    pub answered: u64,
    /// Attempts that were admitted but got no response, because they were cancelled or the process ended.
    pub lost: u64,
    /// Work done, in nanoseconds on a core of speed 1.
    pub work: u64,
    /// Core time used, in nanoseconds.
    pub busy: u64,
    /// The time that the server was running, in nanoseconds.
    pub uptime: u64,
    /// The peak number of concurrent requests.
    pub peak_requests: u64,
    /// Health checks that arrived.
    pub probes: u64,
    /// Connections opened.
    pub handshakes: u64,
    /// The peak number of open connections.
    pub peak_connections: u64,
    /// The number of open connections integrated over time, in microseconds.
    pub connection_us: u64,
    /// The number of times that its process died.
    pub deaths: u32,
    /// Whether the server was overloaded while cold and crashed.
    pub fell_over: bool,
}

/// A server.
pub struct Server {
    tier: u8,
    slot: u32,
    speed: f64,
    state: State,
    /// The number of the server's process. Connections of an earlier process are ignored.
    incarnation: u32,
    /// The start time of the process; 0 if the server was running and warm before the run.
    started: Nanos,
    hangs: bool,
    /// The injected share of requests that fail at once.
    error_share: f64,
    /// The injected factor by which the server is slower.
    slowdown: f64,
    /// The injected delay of load reports.
    report_delay: Nanos,
    jobs: Vec<Option<Job>>,
    free_indices: Vec<u32>,
    job_by_attempt: FxHashMap<AttemptId, u32>,
    waiting: VecDeque<u32>,
    ready: VecDeque<u32>,
    last_generation: u32,
    slots_used: u32,
    cores_used: u32,
    /// The remaining work of all jobs.
    backlog: u64,
    /// Work of health checks and handshakes, added to the next part that starts.
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
    /// Core time used by the time of the last load report.
    busy_at_report: u64,
    pressure: Pressure,
    counted_until: Nanos,
    /// The counters for the report.
    pub counters: ServerCounters,
}

impl Server {
    /// Creates a server. It runs and is warm if it is present at the start of the run; otherwise it is down.
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
            last_generation: 0,
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
            counted_until: context.now,
            counters: ServerCounters::default(),
        };
        server.schedule_pause(context);
        server
    }

    /// Whether the server's process is running.
    pub fn runs(&self) -> bool {
        self.state != State::Down
    }

    /// The start time of the server's process.
    pub fn started(&self) -> Nanos {
        self.started
    }

    fn kind<'a>(&self, topology: &'a Topology) -> &'a Kind {
        topology.kind(self.tier, self.slot)
    }

    /// The current speed of a core.
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

    /// The true state of the server, for policies that may see it.
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

    /// The true state of the server as a broadcast to all threads.
    pub fn state_broadcast(&self, topology: &Topology, now: Nanos) -> ServerStateBroadcast {
        let true_state = self.true_state(topology, now);
        ServerStateBroadcast { tier: self.tier, slot: self.slot, true_state }
    }

    /// Whether the counters account for every attempt that arrived.
    pub fn has_consistent_counts(&self) -> bool {
        let ServerCounters { attempts, rejected, answered, lost, .. } = self.counters;
        attempts == rejected + answered + lost + self.job_by_attempt.len() as u64
    }

    /// Updates the counters to the end of a run.
    pub fn finish_accounting(&mut self, topology: &Topology, now: Nanos) {
        self.update_counters(topology, now);
    }
}
