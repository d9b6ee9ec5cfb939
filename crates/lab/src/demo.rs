//! Half a minute of three tiers on loopback, with their real proxies and clients, and one fault.

use crate::model::{PolicyChoice, Topology};
use crate::policy::UnknownPolicy;
use crate::run_result::RunResult;
use crate::scenario::{Problems, Scenario, Span};
use crate::sockets::load::{self, LoadError};
use crate::sockets::program::{Build, ProgramError, find};
use crate::sockets::settings::Limits;
use crate::sockets::show::{self, WatchError, interrupted};
use crate::sockets::testbed::{Testbed, TestbedError, TestbedOptions};
use std::io::{self, Write};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What is played.
const SCENARIO: &str = include_str!("../../../scenarios/demo.toml");
/// From when all is up to the first request.
const SETTLES: Duration = Duration::from_millis(500);

/// How the demonstration is given.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program `olivecart`; the one beside this program unless given.
    pub proxy: Option<PathBuf>,
    /// Feeds all chance.
    pub seed: u64,
    /// Seconds, if not as long as the scenario says.
    pub seconds: Option<u32>,
}

impl Default for Options {
    fn default() -> Self {
        Options { proxy: None, seed: 1, seconds: None }
    }
}

/// Why there is no demonstration.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    /// The scenario is wrong, at this length.
    #[error("{0}")]
    Scenario(Problems),
    /// The project's own decisions have another name.
    #[error(transparent)]
    Policy(#[from] UnknownPolicy),
    /// There is no program `olivecart`.
    #[error(transparent)]
    Program(#[from] ProgramError),
    /// Something does not come up.
    #[error(transparent)]
    Testbed(#[from] TestbedError),
    /// There is no load.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// The load came to nothing.
    #[error(transparent)]
    Watch(#[from] WatchError),
    /// Nobody reads what it says, or signals cannot be caught.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// Somebody ended it.
    #[error("interrupted")]
    Interrupted,
}

/// Gives the demonstration, and says on `out` how it goes. Nothing is left running, also after an interrupt,
/// a SIGTERM or a SIGHUP. Only a SIGKILL leaves the proxies.
///
/// # Errors
/// Something does not come up, or somebody ended it.
pub async fn demo(options: Options, out: &mut (dyn Write + Send)) -> Result<RunResult, DemoError> {
    tokio::select! {
        result = play(options, out) => result,
        caught = interrupted() => Err(caught.map_or_else(DemoError::Io, |()| DemoError::Interrupted)),
    }
}

async fn play(options: Options, out: &mut (dyn Write + Send)) -> Result<RunResult, DemoError> {
    let scenario = Scenario::parse("scenarios/demo.toml", SCENARIO).map_err(DemoError::Scenario)?;
    let mut scenario = scenario.into_inner();
    if let Some(seconds) = options.seconds {
        scenario.length = Span::from_nanos(u64::from(seconds) * 1_000_000_000);
        scenario.fault.retain(|fault| fault.start < scenario.length);
    }
    let topology = Arc::new(Topology::new(scenario, options.seed, PolicyChoice::named("olivecart")?));
    let program = tokio::task::spawn_blocking(move || find(options.proxy.as_deref(), Build::Always));
    let program = program.await.map_err(io::Error::other)??;
    writeln!(out, "{}", topology.scenario.about)?;
    let setting = TestbedOptions { program, limits: Limits::default(), fronts: true };
    let stage = Testbed::start(topology.clone(), setting).await?;
    introduce(&topology, &stage, out)?;
    let (load, begin) = (stage.load(load::Options::default())?, Instant::now() + SETTLES);
    stage.begin(begin);
    let mut report = show::watch(load, begin, || stage.down(), out).await?;
    stage.complete(&mut report);
    let tracks = stage.tracks();
    stage.shut_down().await;
    writeln!(out)?;
    show::table(&report, out)?;
    let (attempts, twice) = (report.result.totals.attempts_per_request, report.result.totals.second_effects);
    writeln!(out, "{attempts:.2} attempts a request; {twice} effects that took place twice\n")?;
    show::proxies(&tracks, out)?;
    Ok(report.result)
}

fn introduce(topology: &Topology, stage: &Testbed, out: &mut dyn Write) -> io::Result<()> {
    let tiers = topology.scenario.tier.iter().map(|t| format!("{} {}", t.servers, t.name));
    writeln!(out, "tiers: {}", tiers.collect::<Vec<_>>().join(", "))?;
    let fronts = stage.fronts().iter().map(|front| front.addr.to_string());
    writeln!(out, "first-tier proxies: {}", fronts.collect::<Vec<_>>().join(", "))?;
    for window in &topology.timeline.windows {
        let (from, to) = (window.from_ms as f64 / 1e3, window.to_ms as f64 / 1e3);
        writeln!(out, "from {from} to {to} s: {} of {}", window.kind, window.touched)?;
    }
    writeln!(out, "{:.0} requests a second for {} s\n", topology.rate, topology.scenario.length.seconds())
}
