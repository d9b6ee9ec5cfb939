//! The command line.

use crate::bodies::BodyMemoryLimit;
use crate::clock::{Clock, SystemClocks};
use crate::clusters::{Clusters, Routing, Start};
use crate::config::{Changes, Config};
use crate::descriptors::Descriptors;
use crate::handover::{self, Handover};
use crate::listen::{AcceptControl, ListenerParts};
use crate::operators::Operators;
use crate::stats::Stats;
use crate::{catalog, config_tool, console, listen, reload, shutdown, sidecar, tools, upgrade};
use argh::FromArgs;
use slog::{Drain, Level, Logger, crit, info, o};
use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::Notify;
use tokio::sync::mpsc::{Receiver, Sender};

/// How old the figures of the pool and the readiness may be.
const PUBLISHED: Duration = Duration::from_millis(100);

/// A load-balancing proxy: one program in front of every tier.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(Serve),
    Check(Check),
    Catalog(tools::Catalog),
    Config(config_tool::Config),
    Sidecar(Sidecar),
    Version(Version),
}

/// Serve until SIGTERM; SIGHUP reads the file again. The configuration comes from EDGE_CONFIG and the other EDGE_ variables.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// configuration file, instead of the one that EDGE_CONFIG names
    #[argh(option)]
    config: Option<PathBuf>,
    /// operators' file with sources of endpoints, clusters and rules, instead of the one that
    /// OLIVECART_CLUSTERS names; without either there is only the platform's registry
    #[argh(option)]
    clusters: Option<PathBuf>,
}

/// Read the configuration, say what is wrong with it or what it amounts to, and start nothing.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// configuration file, instead of the one that EDGE_CONFIG names
    #[argh(option)]
    config: Option<PathBuf>,
    /// operators' file with sources of endpoints, clusters and rules, instead of the one that
    /// OLIVECART_CLUSTERS names; without either there is only the platform's registry
    #[argh(option)]
    clusters: Option<PathBuf>,
}

/// Serve beside an application, from the file that `config write` makes: an inbound listener before it, and an outbound
/// one for each service that it calls. SIGTERM or POST /drain ends it.
#[derive(FromArgs)]
#[argh(subcommand, name = "sidecar")]
struct Sidecar {
    /// what one proxy reads (kind = "proxy")
    #[argh(option)]
    config: PathBuf,
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

/// Does what the command line asks for.
pub fn run() -> ExitCode {
    match argh::from_env::<Arguments>().command {
        Command::Version(Version {}) => {
            println!("olivecart {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Command::Catalog(asked) => tools::run(asked),
        Command::Config(asked) => config_tool::run(asked),
        Command::Sidecar(Sidecar { config }) => beside(&config),
        Command::Check(Check { config, clusters }) => match Config::from_environment(config, clusters) {
            Ok(config) => {
                println!("{config}");
                ExitCode::SUCCESS
            }
            Err(e) => fail(&e),
        },
        Command::Serve(Serve { config, clusters }) => match Config::from_environment(config, clusters) {
            Ok(config) => serve(config),
            Err(e) => fail(&e),
        },
    }
}

fn fail(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("olivecart: {error}");
    ExitCode::FAILURE
}

/// Starts the catalog that the operators' file asks for.
fn with_catalog(
    operators: Operators,
    seed: u64,
    clock: Clock,
    log: &Logger,
) -> Result<(Routing, catalog::Handle), catalog::StartError> {
    let named = operators.named();
    let Operators { sources, policy, clusters: overrides, rules, .. } = operators;
    let handle = catalog::start(sources, policy, named.clone(), seed, clock, log.clone())?;
    Ok((Routing { named, rules, overrides }, handle))
}

/// SIGUSR1 has all told to the log, by the event loop and by the catalog.
async fn pass_on(mut ask: Signal, asked: Rc<Notify>, report: Sender<()>) {
    while ask.recv().await.is_some() {
        asked.notify_one();
        let _ = report.try_send(()); // one report answers all who ask meanwhile
    }
}

/// The least level that is logged: OLIVECART_LOG, info unless it names one.
fn level() -> Level {
    std::env::var("OLIVECART_LOG").ok().and_then(|level| level.parse().ok()).unwrap_or(Level::Info)
}

/// Lines go to standard error from a thread of their own; when it can't keep up they are dropped, and a reader that
/// stalls never stalls the proxy. What is still queued is written when the guard is dropped.
fn logger(name: String) -> (Logger, slog_async::AsyncGuard) {
    let decorator = slog_term::PlainDecorator::new(std::io::stderr());
    let drain = slog_term::FullFormat::new(decorator).build().fuse();
    let (drain, guard) = slog_async::Async::new(drain).build_with_guard();
    // Danger: judged behind the queue, every line would be made and sent there to be dropped.
    let drain = slog::LevelFilter::new(drain, level()).fuse();
    (Logger::root(drain, o!("proxy" => name)), guard)
}

/// Runs a sidecar.
fn beside(path: &Path) -> ExitCode {
    let environment = config_tool::environment();
    let name = match sidecar::read(path, &environment) {
        Ok((_, resolved)) => resolved.proxy.name,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::FAILURE;
        }
    };
    let (log, guard) = logger(name);
    let done = actix_rt::System::new().block_on(sidecar::serve(path, &environment, log.clone()));
    if let Err(e) = &done {
        crit!(log, "stopped"; "error" => %e);
    }
    drop(log);
    drop(guard); // writes what is still queued
    if done.is_ok() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Keeps the figures of the pool and the readiness up to date, for good.
async fn publish(
    stats: Arc<Stats>,
    clusters: Rc<Clusters>,
    control: Rc<AcceptControl>,
    mut beside: Option<Rc<Handover>>,
) {
    let mut every = tokio::time::interval(PUBLISHED);
    loop {
        every.tick().await;
        stats.publish(clusters.pool(), control.is_ready());
        if control.is_ready() {
            beside.take().iter().for_each(|beside| beside.ready());
        }
    }
}

/// Does what operators ask, for good.
async fn by_hand(
    mut changes: Receiver<console::Change>,
    stats: Arc<Stats>,
    clusters: Rc<Clusters>,
    control: Rc<AcceptControl>,
    beside: Option<Rc<Handover>>,
) {
    while let Some(console::Change { call, done }) = changes.recv().await {
        let answer = clusters.by_hand(&call);
        if let (Ok(()), Some(beside), Some(change)) = (&answer, &beside, upgrade::told(&call)) {
            beside.by_hand(change);
        }
        stats.publish(clusters.pool(), control.is_ready());
        let _ = done.send(answer); // nobody waits any more; it is done all the same
    }
}

fn serve(config: Config) -> ExitCode {
    let (log, guard) = logger(config.name.clone());
    let done = actix_rt::System::new().block_on(async {
        let hang_up = reload::register()?; // before anything that takes time
        let mut signals = shutdown::ShutdownSignals::register()?;
        let Config { listen, discovery, console, seed, sockets, bodies, known, origin, operators, .. } =
            config;
        // Danger: unregistered, the signal ends the program. Without an operators' file it does, as ever.
        let ask = operators.is_some().then(|| signal(SignalKind::user_defined1())).transpose()?;
        let console =
            console.map(|at| console::bind(at).map_err(|e| format!("console: {at}: {e}"))).transpose()?;
        let begun = match &console {
            Some(_) => Some(tokio::select! {
                begun = upgrade::begin(listen, &log) => begun.map_err(|e| format!("listen: {listen}: {e}"))?,
                () = signals.received() => return Ok(()), // nothing was taken yet
            }),
            None => None,
        };
        let (listener, path, given) = match begun {
            Some(upgrade::Begun { listener, path, given }) => (listener, Some(path), given),
            None => (listen::bind(listen, false)?.into_std()?, None, None),
        };
        let (taken_over, link) = given.map(handover::Given::split).unzip();
        let kept = path.is_some().then(|| listener.try_clone()).transpose()?;
        let budget = Rc::new(BodyMemoryLimit::new(bodies));
        let listener = tokio::net::TcpListener::from_std(listener)?;
        info!(log, "listening"; "on" => %listen, "version" => env!("CARGO_PKG_VERSION"));
        let longest = config.site.settings.classes.iter().map(|class| class.client_deadline).max();
        let times = shutdown::ShutdownTimes::new(Duration::from_nanos(longest.unwrap_or(0)));
        let stats = console.is_some().then(|| Arc::new(Stats::new(config.site.classes.names())));
        let site = Rc::new(RefCell::new(config.site));
        let handed_clock = taken_over.as_ref().and_then(|state| state.clock);
        let clock = Clock::starting(&SystemClocks, handed_clock);
        let (routing, catalog) = match operators {
            Some(operators) => with_catalog(operators, seed, clock, &log).map(|(r, c)| (r, Some(c)))?,
            None => (Routing::default(), None),
        };
        let descriptors = Rc::new(Descriptors::new(sockets.backends));
        let discovery = Some(discovery);
        let start = Start {
            site: site.clone(),
            clock,
            seed,
            descriptors,
            discovery,
            known,
            routing,
            budget: budget.clone(),
            stats: stats.clone(),
            taken_over,
        };
        let clusters = Clusters::start(start, &log);
        if let (Some(catalog), Some(ask)) = (catalog, ask) {
            let asked = Rc::new(Notify::new());
            actix_rt::spawn(clusters.clone().follow(catalog.steps));
            actix_rt::spawn(clusters.clone().keep_reporting(asked.clone()));
            actix_rt::spawn(pass_on(ask, asked, catalog.report));
        }
        let control = Rc::new(AcceptControl::new(ListenerParts {
            routes: clusters.routes.clone(),
            site,
            log: log.clone(),
            sockets,
            budget: budget.clone(),
            stats: stats.clone(),
        }));
        let process = Rc::new(upgrade::Process::new(
            control.clone(),
            clusters.clone(),
            kept,
            sockets,
            (budget.clone(), bodies),
        ));
        let beside = path.map(|path| Handover::start(process.clone(), path, link, log.clone()));
        if let (Some(console), Some(stats)) = (console, stats) {
            stats.publish(clusters.pool(), control.is_ready());
            actix_rt::spawn(publish(stats.clone(), clusters.clone(), control.clone(), beside.clone()));
            let changes = console::start(console, stats.clone(), log.clone())?;
            actix_rt::spawn(by_hand(changes, stats, clusters.clone(), control.clone(), beside.clone()));
        }
        let adopt = {
            move |changes: &Changes| {
                process.adopt(changes.sockets, changes.bodies);
                clusters.adopt(changes);
            }
        };
        actix_rt::spawn(reload::on_signal(hang_up, origin, adopt, log.clone()));
        let front = actix_rt::spawn(listen::serve(listener, control.clone()));
        let leave = || beside.as_ref().is_some_and(Handover::leave);
        shutdown::on_signal(signals, control, times, leave, log.clone()).await;
        front.abort();
        info!(log, "stopped"; "long_bodies_peak" => budget.peak(), "of" => bodies);
        Ok::<_, Box<dyn std::error::Error>>(())
    });
    let code = match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            crit!(log, "stopped"; "error" => %e);
            ExitCode::FAILURE
        }
    };
    drop(log);
    drop(guard); // writes what is still queued
    code
}
