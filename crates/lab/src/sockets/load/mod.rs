//! An open-loop load: requests go out when their schedule says, however long others take.
//!
//! Latency counts from when a request was due, not from when it could be sent. Danger: a tool that waits for
//! answers before it sends more leaves out just the requests that a stalled server would have kept waiting
//! (coordinated omission; Gil Tene, "How NOT to Measure Latency", 2013).

mod front;
mod request;
mod schedule;

pub use front::Target;
pub use schedule::{MOST, Planned, Schedule, TooMany};

use super::client::Pool;
use super::held;
use crate::model::{Counters, Topology};
use crate::run::{out_of_bounds, peak_mib, revision};
use crate::run_result::{Breach, Cost, Latency, RunResult, SCHEMA};
use crate::scenario::Checked;
use front::Front;
use hdrhistogram::Histogram;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio::task::JoinSet;

/// How the tool may go about it.
#[derive(Clone, Debug)]
pub struct Options {
    /// Requests open at a time, at most; further ones are not sent, and the result is unsound.
    pub most_open: u64,
    /// Connections to each target, at most.
    pub most_connections: usize,
    /// The tool has fallen behind when a hundredth of its requests begin later than this after they were due.
    pub lag: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Options { most_open: 50_000, most_connections: 4096, lag: Duration::from_millis(5) }
    }
}

/// Why there is no load.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// There is nowhere to send it.
    #[error("no address to send to")]
    NoTarget,
    /// The schedule is too long.
    #[error(transparent)]
    Schedule(#[from] TooMany),
    /// The thread that keeps the schedule cannot be started.
    #[error("the thread that keeps the schedule: {0}")]
    Thread(#[from] io::Error),
}

/// What a load came to.
#[derive(Clone, Debug)]
pub struct Report {
    /// Its result; what only servers know is not in it.
    pub result: RunResult,
    /// By how much requests began later than they were due.
    pub lag: Latency,
    /// Connections opened.
    pub connections: u64,
    /// Requests that had to wait for one of the connections that it may have; that time counts as theirs.
    pub waited: u64,
    /// Answers that were made for other requests.
    pub foreign: u64,
}

/// What has happened lately, for a live line.
#[derive(Clone, Debug, Default)]
pub struct Lately {
    /// First tries that were due.
    pub offered: u64,
    /// Served within the aim.
    pub in_time: u64,
    /// Served after it.
    pub late: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Latencies of those served, in microseconds, in no order.
    pub latencies: Vec<u64>,
}

impl Lately {
    /// A percentile of the latencies, in milliseconds; 0 where nothing was served.
    pub fn percentile_ms(&mut self, percentile: f64) -> f64 {
        self.latencies.sort_unstable();
        let rank = (percentile / 100.0 * self.latencies.len() as f64).ceil() as usize;
        self.latencies.get(rank.saturating_sub(1)).map_or(0.0, |us| *us as f64 / 1e3)
    }
}

/// A load that is ready to begin.
pub struct Load {
    shared: Arc<Shared>,
}

struct Shared {
    topology: Arc<Topology>,
    schedule: Schedule,
    options: Options,
    pools: Vec<Pool>,
    front: Mutex<Front>,
    begin: Mutex<Instant>,
    counters: Mutex<Counters>,
    /// Where somebody looks.
    lately: Mutex<Option<Lately>>,
    /// In microseconds.
    lag: Mutex<Histogram<u64>>,
    open: AtomicU64,
    dropped: AtomicU64,
    foreign: AtomicU64,
    stop: AtomicBool,
}

impl Load {
    /// Draws the schedule of a scenario. Its clients send to these targets.
    ///
    /// # Errors
    /// There is no target, or the schedule would be too long.
    pub fn new(topology: Arc<Topology>, to: Vec<Target>, options: Options) -> Result<Load, LoadError> {
        if to.is_empty() {
            return Err(LoadError::NoTarget);
        }
        let schedule = Schedule::draw(&topology)?;
        let notices = topology.scenario.clients.notices_dead_proxy.nanos();
        let shared = Shared {
            schedule,
            pools: to.iter().map(|t| Pool::new(t.addr, options.most_connections)).collect(),
            front: Mutex::new(Front::new(to, notices)),
            options,
            begin: Mutex::new(Instant::now()),
            counters: Mutex::new(Counters::new(&topology)),
            lately: Mutex::default(),
            lag: Mutex::new(Histogram::new(3).unwrap_or_else(|_| unreachable!("3 digits are allowed"))),
            open: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
            foreign: AtomicU64::new(0),
            stop: AtomicBool::new(false),
            topology,
        };
        Ok(Load { shared: Arc::new(shared) })
    }

    /// The schedule.
    pub fn schedule(&self) -> &Schedule {
        &self.shared.schedule
    }

    /// Something to look at it with while it runs.
    pub fn live(&self) -> Live {
        held(&self.shared.lately).get_or_insert_default();
        Live(self.shared.clone())
    }

    /// Sends all of it, beginning at a time, and waits for the last answer: no longer than the longest
    /// deadline after the last request was due. Dropped before that, it ends at once.
    ///
    /// # Errors
    /// The thread that keeps the schedule cannot be started.
    pub async fn run(self, begin: Instant) -> Result<Report, LoadError> {
        let shared = self.shared;
        *held(&shared.begin) = begin;
        let _stops = Stops(shared.clone());
        let (sender, mut due) = mpsc::unbounded_channel();
        let its = shared.clone();
        let pace = std::thread::Builder::new().name("schedule".into());
        pace.spawn(move || keep_schedule(&its, begin, &sender))?;
        let mut looks = JoinSet::new();
        for target in 0..shared.pools.len() {
            looks.spawn(request::look_after(shared.clone(), target));
        }
        let mut requests = JoinSet::new();
        loop {
            tokio::select! {
                biased;
                next = due.recv() => match next {
                    Some(number) => _ = requests.spawn(request::play(shared.clone(), number)),
                    None => break,
                },
                Some(_) = requests.join_next() => {}
            }
        }
        while requests.join_next().await.is_some() {}
        Ok(shared.report(begin.elapsed()))
    }
}

/// Ends the thread that keeps the schedule.
struct Stops(Arc<Shared>);

impl Drop for Stops {
    fn drop(&mut self) {
        self.0.stop.store(true, Ordering::SeqCst);
    }
}

/// Says which request is due, when it is. A thread of its own sleeps to within some ten microseconds; the
/// runtime's timers go by the millisecond.
fn keep_schedule(shared: &Shared, begin: Instant, due: &mpsc::UnboundedSender<usize>) {
    const STEP: Duration = Duration::from_millis(50);
    for (number, request) in shared.schedule.requests.iter().enumerate() {
        let at = begin + Duration::from_nanos(request.due);
        loop {
            let left = at.saturating_duration_since(Instant::now());
            if shared.stop.load(Ordering::SeqCst) {
                return;
            }
            if left.is_zero() {
                break;
            }
            std::thread::sleep(left.min(STEP));
        }
        if due.send(number).is_err() {
            return;
        }
    }
}

impl Shared {
    /// Nanoseconds since the begin.
    fn now(&self) -> u64 {
        held(&self.begin).elapsed().as_nanos() as u64
    }

    fn report(&self, took: Duration) -> Report {
        let counters = held(&self.counters);
        let scenario = &self.topology.scenario;
        let (lag, foreign) = (latency(&held(&self.lag)), self.foreign.load(Ordering::SeqCst));
        let mut result = RunResult {
            schema: SCHEMA,
            scenario: scenario.name.clone(),
            scenario_digest: Checked::new(scenario.clone()).map_or(String::new(), |c| c.digest().to_owned()),
            revision: revision().into(),
            policy: "sockets".into(),
            seed: self.topology.seed,
            digest: format!("{:016x}", self.schedule.digest),
            unsound: self.unsound(&lag),
            totals: counters.totals(0),
            worst_window: counters.worst_window(),
            classes: counters.classes(&self.topology),
            tenants: counters.tenants(&self.topology),
            seconds: counters.seconds(),
            faults: self.topology.timeline.windows.clone(),
            breaches: foreign_answers(foreign).into_iter().collect(),
            cost: Cost { wall_s: took.as_secs_f64(), peak_mib: peak_mib(), ..Cost::default() },
            ..RunResult::default()
        };
        result.out_of_bounds = out_of_bounds(scenario, &result);
        let connections = self.pools.iter().map(Pool::opened).sum();
        let waited = self.pools.iter().map(Pool::waited).sum();
        Report { result, lag, connections, waited, foreign }
    }

    /// Why the figures are not to be trusted.
    fn unsound(&self, lag: &Latency) -> Vec<String> {
        let mut reasons = Vec::new();
        let bound = self.options.lag.as_secs_f64() * 1e3;
        if lag.p99_ms > bound {
            reasons.push(format!(
                "the load fell behind its schedule: a hundredth of the requests began {:.1} ms late or more, \
                 {bound:.1} ms is allowed",
                lag.p99_ms
            ));
        }
        let dropped = self.dropped.load(Ordering::SeqCst);
        if dropped > 0 {
            let most = self.options.most_open;
            reasons.push(format!("{dropped} requests were not sent: {most} were open already"));
        }
        reasons
    }
}

fn foreign_answers(count: u64) -> Option<Breach> {
    let what = "a client got the answer to another request".to_owned();
    let breach = || Breach { rule: "answer".into(), count, what, ..Breach::default() };
    (count > 0).then(breach)
}

/// Percentiles of a histogram of microseconds.
fn latency(of: &Histogram<u64>) -> Latency {
    let at = |percentile| of.value_at_percentile(percentile) as f64 / 1e3;
    Latency {
        count: of.len(),
        mean_ms: of.mean() / 1e3,
        p50_ms: at(50.0),
        p90_ms: at(90.0),
        p99_ms: at(99.0),
        p999_ms: at(99.9),
        max_ms: of.max() as f64 / 1e3,
    }
}

/// Looks at a load while it runs.
pub struct Live(Arc<Shared>);

impl Live {
    /// What has happened since the last time that this was asked.
    pub fn lately(&self) -> Lately {
        held(&self.0.lately).replace(Lately::default()).unwrap_or_default()
    }

    /// The load ends early: nothing more is sent, and what is open is played to its end.
    pub fn stop(&self) {
        self.0.stop.store(true, Ordering::SeqCst);
    }
}
