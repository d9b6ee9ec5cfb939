//! Measures the proxy's overhead: the same load through a proxy and directly to its servers, at the same
//! time.

use super::load::{Load, LoadError, Options, Report, Target};
use super::proc::Track;
use super::settings::Limits;
use super::testbed::{Testbed, TestbedError, TestbedOptions};
use crate::model::{PolicyChoice, Topology};
use crate::policy::UnknownPolicy;
use crate::scenario::{Problems, Scenario};
use std::fmt;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Servers with ample capacity, a millisecond of work per request, and a fast network.
const SCENARIO: &str = r#"
version = 1
name = "overhead"
length = "10s"
clients = { rate = 1.0 }
network = { same_zone = "20us", cross_zone = "20us", client = "20us", jitter = 0.0 }
tier = [{ name = "app", servers = 4, proxies = 1, kind = [{ name = "box", cores = 64 }] }]

[[class]]
name = "read"
aim = "1s"
deadline = "5s"
effect = "repeatable"
work = { dist = "fixed", mean = "1ms" }
"#;

/// Why the overhead cannot be measured.
#[derive(Debug, thiserror::Error)]
pub enum OverheadError {
    /// The rate or the length is out of range.
    #[error("{0}")]
    Scenario(Problems),
    /// The policy `olivecart` is unknown.
    #[error(transparent)]
    Policy(#[from] UnknownPolicy),
    /// The proxy or the servers did not start.
    #[error(transparent)]
    Testbed(#[from] TestbedError),
    /// The load cannot be generated.
    #[error(transparent)]
    Load(#[from] LoadError),
}

/// The result for one request rate.
#[derive(Clone, Debug)]
pub struct Overhead {
    /// The requested rate of each of the two loads, in requests per second.
    pub rate: f64,
    /// The load through the proxy.
    pub through: Report,
    /// The load directly to the servers.
    pub straight: Report,
    /// The resource usage of the proxy.
    pub proxy: Track,
}

impl Overhead {
    /// Returns the number of requests that the proxy forwarded per second of its CPU time.
    pub fn requests_per_cpu_second(&self) -> f64 {
        self.through.result.totals.offered as f64 / self.proxy.cpu_s().max(0.01)
    }

    /// Returns the increase of the median, the 99th and the 99.9th percentile of latency by the proxy, in
    /// milliseconds.
    pub fn added_ms(&self) -> [f64; 3] {
        let [through, straight] = [&self.through, &self.straight].map(|r| &r.result.classes[0].latency);
        [
            through.p50_ms - straight.p50_ms,
            through.p99_ms - straight.p99_ms,
            through.p999_ms - straight.p999_ms,
        ]
    }
}

impl fmt::Display for Overhead {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let of = |r: &Report| {
            let latency = r.result.classes[0].latency;
            format!("{:7.3} {:7.3} {:7.3}", latency.p50_ms, latency.p99_ms, latency.p999_ms)
        };
        let [p50, p99, p999] = self.added_ms();
        write!(
            f,
            "{:6.0}/s  through {}  straight {}  added {p50:6.3} {p99:6.3} {p999:6.3} ms  \
             {:6.0} requests a CPU second  {:5.1} MiB",
            self.rate,
            of(&self.through),
            of(&self.straight),
            self.requests_per_cpu_second(),
            self.proxy.peak_mib()
        )?;
        let unsound = self.through.result.unsound.iter().chain(&self.straight.result.unsound);
        unsound.map(String::as_str).try_for_each(|why| write!(f, "  not to be trusted: {why}"))
    }
}

/// Measures the overhead at a rate for a number of seconds.
///
/// # Errors
/// The proxy or the servers did not start, or the rate is out of range.
pub async fn measure(program: &Path, rate: f64, seconds: u32, seed: u64) -> Result<Overhead, OverheadError> {
    let text = SCENARIO.replace("rate = 1.0", &format!("rate = {rate:?}"));
    let text = text.replace("length = \"10s\"", &format!("length = \"{seconds}s\""));
    let scenario = Scenario::parse("overhead", &text).map_err(OverheadError::Scenario)?.into_inner();
    let policy = PolicyChoice::named("olivecart")?;
    let topology = |seed| Arc::new(Topology::new(scenario.clone(), seed, policy));
    let setting = TestbedOptions { program: program.to_owned(), limits: Limits::default(), fronts: true };
    let stage = Testbed::start(topology(seed), setting).await?;
    let servers = stage.fleet().servers(0, 0).into_iter();
    let straight = servers.map(|(_, addr)| Target { addr, zone: None }).collect();
    let through = stage.load(Options::default())?;
    let straight = Load::new(topology(seed + 1), straight, Options::default())?;
    let begin = Instant::now() + Duration::from_millis(500);
    stage.begin(begin);
    let before = stage.tracks();
    let (through, straight) = tokio::join!(through.run(begin), straight.run(begin));
    let proxy = stage.tracks().into_iter().zip(before).map(|(mut track, before)| {
        // Keeps the samples from the begin of the load, without the usage of the proxy's start.
        track.samples.drain(..before.samples.len().saturating_sub(1));
        track
    });
    let measured = Overhead {
        rate,
        through: through?,
        straight: straight?,
        proxy: proxy.into_iter().next().unwrap_or_default(),
    };
    stage.shut_down().await;
    Ok(measured)
}
