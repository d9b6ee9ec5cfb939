//! Scenarios on real sockets: a fleet of stand-ins, a load, and the demonstration.

use super::run::{read, store, verdict};
use super::{FAULTY, FINE, faulty};
use argh::FromArgs;
use olivecart_lab::demo;
use olivecart_lab::model::{PolicyChoice, Topology};
use olivecart_lab::report::{self, Content, Shown};
use olivecart_lab::sockets::load::{self, Load as Schedule, Target};
use olivecart_lab::sockets::program::{Build, find};
use olivecart_lab::sockets::settings::Limits;
use olivecart_lab::sockets::show::{self, interrupted};
use olivecart_lab::sockets::testbed::{Testbed, TestbedOptions};
use slog::{Logger, info};
use std::error::Error;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// From when all is up to the first request.
const SETTLES: Duration = Duration::from_millis(500);

/// Play a scenario's servers, discovery and proxies on loopback, faults included, until it is interrupted or over.
#[derive(FromArgs)]
#[argh(subcommand, name = "fleet")]
pub struct Fleet {
    /// scenario file
    #[argh(positional)]
    scenario: PathBuf,
    /// seed of all chance (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// leave out the first tier's proxies, and write the configuration of each into this folder instead
    #[argh(option)]
    without_proxies: Option<PathBuf>,
    /// the program olivecart (default: the one beside this program)
    #[argh(option)]
    proxy: Option<PathBuf>,
}

/// Send a scenario's requests to an address, each when it is due, and measure from then.
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
pub struct Load {
    /// scenario file
    #[argh(positional)]
    scenario: PathBuf,
    /// address and port; may be given several times, and clients are spread over them
    #[argh(option)]
    to: Vec<SocketAddr>,
    /// seed of all chance (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// append the result to this file, one JSON object a line
    #[argh(option)]
    json: Option<PathBuf>,
}

/// Half a minute of three tiers on loopback with real proxies and one fault: a line a second, a table, a report.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Demo {
    /// the program olivecart (default: the one beside this program, built first under cargo)
    #[argh(option)]
    proxy: Option<PathBuf>,
    /// seed of all chance (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// seconds (default: as long as the scenario says)
    #[argh(option)]
    seconds: Option<u32>,
    /// the report (default demo.html)
    #[argh(option, default = "PathBuf::from(\"demo.html\")")]
    out: PathBuf,
}

type Outcome = Result<u8, Box<dyn Error>>;

/// Runs a command on a runtime of its own; an interrupt ends it, and with it all that it started.
fn on_sockets(command: impl Future<Output = Outcome>) -> u8 {
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return faulty(error),
    };
    let done = runtime.block_on(async {
        tokio::select! {
            done = command => done,
            caught = interrupted() => caught.map(|()| FINE).map_err(Into::into),
        }
    });
    done.unwrap_or_else(faulty)
}

fn topology(path: &Path, seed: u64) -> Result<Result<Topology, u8>, Box<dyn Error>> {
    let policy = PolicyChoice::named("olivecart")?;
    Ok(read(path).map(|scenario| Topology::new(scenario.into_inner(), seed, policy)))
}

impl Fleet {
    /// Plays it.
    pub fn run(self, log: &Logger) -> u8 {
        on_sockets(self.play(log))
    }

    async fn play(self, log: &Logger) -> Outcome {
        let topology = match topology(&self.scenario, self.seed)? {
            Ok(topology) => Arc::new(topology),
            Err(code) => return Ok(code),
        };
        let (wanted, later) = (self.proxy.clone(), topology.tiers.len() > 1);
        let needed = later || self.without_proxies.is_none();
        let program = tokio::task::spawn_blocking(move || match needed {
            true => find(wanted.as_deref(), Build::Always),
            false => Ok(PathBuf::new()), // nobody is started
        });
        let fronts = self.without_proxies.is_none();
        let setting = TestbedOptions { program: program.await??, limits: Limits::default(), fronts };
        let stage = Testbed::start(topology.clone(), setting).await?;
        match &self.without_proxies {
            Some(folder) => configurations(&topology, &stage, folder)?,
            None => stage.fronts().iter().for_each(|front| println!("proxy {}", front.addr)),
        }
        for tier in 0..topology.tiers.len() {
            println!(
                "discovery of {} {}",
                topology.scenario.tier[tier].name,
                stage.fleet().discovery(tier, 0)
            );
        }
        info!(log, "all is up"; "scenario" => &topology.scenario.name);
        stage.begin(Instant::now() + SETTLES);
        tokio::time::sleep(SETTLES + Duration::from_nanos(topology.ends())).await;
        stage.shut_down().await;
        Ok(FINE)
    }
}

/// Writes the configuration of each first-tier proxy, for somebody else to start them.
fn configurations(topology: &Topology, stage: &Testbed, folder: &Path) -> Result<(), Box<dyn Error>> {
    std::fs::create_dir_all(folder)?;
    for machine in topology.fronts.iter().flatten() {
        let listen = std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let Some(config) = stage.config_of_front(*machine, listen) else { continue };
        let path = folder.join(format!("{}.json", topology.proxy_name(*machine)));
        std::fs::write(&path, serde_json::to_vec_pretty(&config)?)?;
        println!("proxy {listen} by {}", path.display());
    }
    Ok(())
}

impl Load {
    /// Sends it.
    pub fn run(self, _log: &Logger) -> u8 {
        on_sockets(self.send())
    }

    async fn send(self) -> Outcome {
        let topology = match topology(&self.scenario, self.seed)? {
            Ok(topology) => Arc::new(topology),
            Err(code) => return Ok(code),
        };
        let targets = self.to.iter().map(|addr| Target { addr: *addr, zone: None }).collect();
        let load = Schedule::new(topology, targets, load::Options::default())?;
        let report = show::watch(load, Instant::now() + SETTLES, Vec::new, &mut std::io::stdout()).await?;
        println!();
        show::table(&report, &mut std::io::stdout())?;
        if let Some(path) = &self.json {
            store(path, &report.result)?;
        }
        Ok(if report.result.unsound.is_empty() { FINE } else { FAULTY })
    }
}

impl Demo {
    /// Gives it.
    pub fn run(self, _log: &Logger) -> u8 {
        on_sockets(self.give())
    }

    async fn give(self) -> Outcome {
        let options = demo::Options { proxy: self.proxy, seed: self.seed, seconds: self.seconds };
        let result = match demo::demo(options, &mut std::io::stdout()).await {
            Ok(result) => result,
            Err(demo::DemoError::Interrupted) => return Ok(FINE),
            Err(error) => return Err(error.into()),
        };
        let code = verdict(&result);
        let run = Box::new(result);
        let content = Content { runs: vec![Shown { cell: Default::default(), run }], ..Content::default() };
        report::write(&content, &self.out)?;
        println!("\nreport: {}", self.out.display());
        Ok(code)
    }
}
