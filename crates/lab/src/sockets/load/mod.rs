//! An open-loop load generator: each request is sent when its schedule says, no matter how long others take.
//!
//! Latency is measured from when a request was due, not from when it was sent. A generator that waits for
//! responses before it sends more omits just the requests that a stalled server would have kept waiting
//! (coordinated omission; Gil Tene, "How NOT to Measure Latency", 2013).

mod front;
mod request;
mod schedule;

pub use front::Target;
pub use schedule::{MAX_SCHEDULED_REQUESTS, Planned, Schedule, ScheduleTooLong};

use super::client::Pool;
use super::lock;
use crate::model::{Counters, Topology};
use crate::run::{out_of_bounds, peak_mib, revision};
use crate::run_result::{Breach, Cost, Latency, RunResult, SCHEMA};
use crate::scenario::Checked;
use front::TargetSelector;
use hdrhistogram::Histogram;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio::task::JoinSet;

/// Limits of the load generator.
#[derive(Clone, Debug)]
pub struct Options {
    /// The largest number of open requests. Further requests are not sent, and the result is marked unsound.
    pub most_open: u64,
    /// The largest number of connections to each target.
    pub most_connections: usize,
    /// The result is marked unsound if the 99th percentile of the delay between due and sent exceeds this.
    pub lag: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Options { most_open: 50_000, most_connections: 4096, lag: Duration::from_millis(5) }
    }
}

/// Why a load cannot be generated.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// There is no target.
    #[error("no target address to send requests to")]
    NoTarget,
    /// The schedule is too long.
    #[error(transparent)]
    Schedule(#[from] ScheduleTooLong),
    /// The schedule thread cannot be started.
    #[error("cannot start the schedule thread: {0}")]
    Thread(#[from] io::Error),
}

/// The report of a completed load.
#[derive(Clone, Debug)]
pub struct Report {
    /// The result, without the figures that only servers record.
    pub result: RunResult,
    /// The delay between when requests were due and when they were sent.
    pub lag: Latency,
    /// Connections opened.
    pub connections: u64,
    /// Requests that had to wait for a free connection. The wait counts towards their latency.
    pub waited: u64,
    /// Responses that belonged to another request.
    pub foreign: u64,
}

/// Counts since the previous progress line.
#[derive(Clone, Debug, Default)]
pub struct LiveCounts {
    /// Requests that became due.
    pub offered: u64,
    /// Requests served within the latency objective.
    pub in_time: u64,
    /// Requests served after the latency objective.
    pub late: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests failed.
    pub failed: u64,
    /// Latencies of the served requests, in microseconds, unsorted.
    pub latencies: Vec<u64>,
}

impl LiveCounts {
    /// Returns a percentile of the latencies in milliseconds, or 0 if nothing was served.
    pub fn percentile_ms(&mut self, percentile: f64) -> f64 {
        self.latencies.sort_unstable();
        let rank = (percentile / 100.0 * self.latencies.len() as f64).ceil() as usize;
        self.latencies.get(rank.saturating_sub(1)).map_or(0.0, |us| *us as f64 / 1e3)
    }
}

/// A load that has not begun.
pub struct Load {
    shared: Arc<Shared>,
}

struct Shared {
    topology: Arc<Topology>,
    schedule: Schedule,
    options: Options,
    pools: Vec<Pool>,
    targets: Mutex<TargetSelector>,
    begin: Mutex<Instant>,
    counters: Mutex<Counters>,
    /// `Some` if progress is observed through [`Live`].
    live_counts: Mutex<Option<LiveCounts>>,
    /// The delay between due and sent, in microseconds.
    lag: Mutex<Histogram<u64>>,
    open: AtomicU64,
    dropped: AtomicU64,
    foreign: AtomicU64,
    stop: AtomicBool,
}

impl Load {
    /// Creates a load on these targets with a schedule drawn from the scenario.
    ///
    /// # Errors
    /// There is no target, or the schedule would be too long.
    pub fn new(topology: Arc<Topology>, to: Vec<Target>, options: Options) -> Result<Load, LoadError> {
        if to.is_empty() {
            return Err(LoadError::NoTarget);
        }
        let schedule = Schedule::draw(&topology)?;
        let detection_time = topology.scenario.clients.notices_dead_proxy.nanos();
        let shared = Shared {
            schedule,
            pools: to.iter().map(|t| Pool::new(t.addr, options.most_connections)).collect(),
            targets: Mutex::new(TargetSelector::new(to, detection_time)),
            options,
            begin: Mutex::new(Instant::now()),
            counters: Mutex::new(Counters::new(&topology)),
            live_counts: Mutex::default(),
            lag: Mutex::new(Histogram::new(3).unwrap_or_else(|_| unreachable!("3 digits are allowed"))),
            open: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
            foreign: AtomicU64::new(0),
            stop: AtomicBool::new(false),
            topology,
        };
        Ok(Load { shared: Arc::new(shared) })
    }

    /// Returns the schedule.
    pub fn schedule(&self) -> &Schedule {
        &self.shared.schedule
    }

    /// Returns a handle that observes and stops the load while it runs.
    pub fn live(&self) -> Live {
        lock(&self.shared.live_counts).get_or_insert_default();
        Live(self.shared.clone())
    }

    /// Sends the whole schedule, beginning at a time, and waits for the last response, at most for the
    /// longest deadline after the last request was due. Dropping the future ends the load at once.
    ///
    /// # Errors
    /// The schedule thread cannot be started.
    pub async fn run(self, begin: Instant) -> Result<Report, LoadError> {
        let shared = self.shared;
        *lock(&shared.begin) = begin;
        let _stop_on_drop = StopOnDrop(shared.clone());
        let (sender, mut due) = mpsc::unbounded_channel();
        let thread_shared = shared.clone();
        let pace = std::thread::Builder::new().name("schedule".into());
        pace.spawn(move || run_schedule(&thread_shared, begin, &sender))?;
        let mut checks = JoinSet::new();
        for target in 0..shared.pools.len() {
            checks.spawn(request::check_target(shared.clone(), target));
        }
        let mut requests = JoinSet::new();
        loop {
            tokio::select! {
                biased;
                next = due.recv() => match next {
                    Some(number) => _ = requests.spawn(request::run_request(shared.clone(), number)),
                    None => break,
                },
                Some(_) = requests.join_next() => {}
            }
        }
        while requests.join_next().await.is_some() {}
        Ok(shared.report(begin.elapsed()))
    }
}

/// Stops the schedule thread when it is dropped.
struct StopOnDrop(Arc<Shared>);

impl Drop for StopOnDrop {
    fn drop(&mut self) {
        self.0.stop.store(true, Ordering::SeqCst);
    }
}

/// Sends the number of each request when it is due. This runs in a separate thread, whose sleeps are accurate
/// to some ten microseconds; the runtime's timers have a resolution of one millisecond.
fn run_schedule(shared: &Shared, begin: Instant, due: &mpsc::UnboundedSender<usize>) {
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
    /// Returns the nanoseconds since the begin of the load.
    fn now(&self) -> u64 {
        lock(&self.begin).elapsed().as_nanos() as u64
    }

    fn report(&self, took: Duration) -> Report {
        let counters = lock(&self.counters);
        let scenario = &self.topology.scenario;
        let (lag, foreign) = (latency(&lock(&self.lag)), self.foreign.load(Ordering::SeqCst));
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

    /// Returns the reasons why the result is unsound.
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
    let what = "a client received the response to another request".to_owned();
    let breach = || Breach { rule: "answer".into(), count, what, ..Breach::default() };
    (count > 0).then(breach)
}

/// Summarizes a histogram of microseconds.
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

/// Observes and stops a running load.
pub struct Live(Arc<Shared>);

impl Live {
    /// Returns and resets the counts since the previous call.
    pub fn live_counts(&self) -> LiveCounts {
        lock(&self.0.live_counts).replace(LiveCounts::default()).unwrap_or_default()
    }

    /// Ends the load early: no further request is sent, and open requests are completed.
    pub fn stop(&self) {
        self.0.stop.store(true, Ordering::SeqCst);
    }
}
