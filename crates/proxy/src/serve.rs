//! Assembles and runs the proxy of `olivecart serve`, from the first signal handler to the last response.
//!
//! `cli.rs` calls [`serve`] once. It owns the tasks that it spawns: they end with its runtime. What they do is in the
//! modules that it puts together.

use crate::bodies::BodyMemoryLimit;
use crate::clock::{Clock, SystemClocks};
use crate::cluster_config::ClusterConfig;
use crate::clusters::{Clusters, ClustersConfig, Routing};
use crate::config::{Changes, Config};
use crate::descriptors::Descriptors;
use crate::hot_restart::HotRestart;
use crate::listen::{AcceptControl, ListenerParts};
use crate::serving_process::{AcquiredListener, ProcessLimits, ServingProcess};
use crate::shutdown::{ShutdownSignals, ShutdownTimes};
use crate::stats::Stats;
use crate::{catalog, console, listen, reload, serving_process, shutdown};
use olivecart_settings::Site;
use slog::{Logger, info};
use std::cell::RefCell;
use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::Notify;
use tokio::sync::mpsc::{Receiver, Sender};

/// How old the figures of the pool and the readiness may be.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(100);

/// Serves until a signal asks for the shutdown and that is over.
///
/// # Errors
/// Something that it needs can't be had, and it has not started.
pub async fn serve(config: Config, log: &Logger) -> Result<(), Box<dyn Error>> {
    let hang_up = reload::register()?; // before anything that takes time
    let mut signals = ShutdownSignals::register()?;
    let Config { listen, discovery, console, seed, sockets, bodies, known, origin, cluster_config, .. } =
        config;
    // Danger: unregistered, the signal ends the program. Without an operators' file it does, as ever.
    let report_signal = cluster_config.is_some().then(|| signal(SignalKind::user_defined1())).transpose()?;
    let console = console.map(bind_console).transpose()?;
    let Some(front) = open_listener(listen, console.is_some(), &mut signals, log).await? else {
        return Ok(()); // nothing was taken yet
    };
    let OpenListener { listener, path, taken_over, connection } = front;
    let kept_listener = path.is_some().then(|| listener.try_clone()).transpose()?;
    let budget = Rc::new(BodyMemoryLimit::new(bodies));
    let listener = tokio::net::TcpListener::from_std(listener)?;
    info!(log, "listening"; "on" => %listen, "version" => env!("CARGO_PKG_VERSION"));
    let times = shutdown_times(&config.site);
    let stats = console.is_some().then(|| Arc::new(Stats::new(config.site.classes.names())));
    let site = Rc::new(RefCell::new(config.site));
    let clock = Clock::starting(&SystemClocks, taken_over.as_ref().and_then(|state| state.clock));
    let (routing, catalog) = match cluster_config {
        Some(cluster_config) => start_catalog(cluster_config, seed, clock, log).map(|(r, c)| (r, Some(c)))?,
        None => (Routing::default(), None),
    };
    let clusters_config = ClustersConfig {
        site: site.clone(),
        clock,
        seed,
        descriptors: Rc::new(Descriptors::new(sockets.backends)),
        discovery: Some(discovery),
        cached_list: known,
        routing,
        budget: budget.clone(),
        stats: stats.clone(),
        taken_over,
    };
    let clusters = Clusters::start(clusters_config, log);
    if let (Some(catalog), Some(report_signal)) = (catalog, report_signal) {
        follow_catalog(&clusters, catalog, report_signal);
    }
    let control = Rc::new(AcceptControl::new(ListenerParts {
        routes: clusters.routes.clone(),
        site,
        log: log.clone(),
        sockets,
        budget: budget.clone(),
        stats: stats.clone(),
    }));
    let limits = ProcessLimits { sockets, body_bytes: bodies };
    let process =
        ServingProcess::new(control.clone(), clusters.clone(), kept_listener, limits, budget.clone());
    let process = Rc::new(process);
    let hot_restart = path.map(|path| HotRestart::start(process.clone(), path, connection, log.clone()));
    if let (Some(console), Some(stats)) = (console, stats) {
        let operated = Operated {
            stats,
            clusters: clusters.clone(),
            control: control.clone(),
            hot_restart: hot_restart.clone(),
        };
        operated.start(console, log)?;
    }
    let adopt = move |changes: &Changes| {
        process.set_limits(ProcessLimits { sockets: changes.sockets, body_bytes: changes.bodies });
        clusters.adopt(changes);
    };
    actix_rt::spawn(reload::on_signal(hang_up, origin, adopt, log.clone()));
    let accept_task = actix_rt::spawn(listen::serve(listener, control.clone()));
    let leave = || hot_restart.as_ref().is_some_and(HotRestart::on_shutdown);
    shutdown::on_signal(signals, control, times, leave, log.clone()).await;
    accept_task.abort();
    info!(log, "stopped"; "long_bodies_peak" => budget.peak(), "of" => bodies);
    Ok(())
}

fn bind_console(address: SocketAddr) -> Result<std::net::TcpListener, String> {
    console::bind(address).map_err(|e| format!("console: {address}: {e}"))
}

/// The clients' listener, and what came with it.
struct OpenListener {
    listener: std::net::TcpListener,
    /// Where a successor may take over; none if none may.
    path: Option<std::path::PathBuf>,
    /// What the predecessor handed over.
    taken_over: Option<crate::hot_restart::State>,
    connection: Option<crate::hot_restart::PeerConnection>,
}

/// Takes over or binds the clients' listener; only a process with a console takes part in hot restarts. None if a
/// signal asked for the shutdown first.
async fn open_listener(
    listen: SocketAddr,
    has_console: bool,
    signals: &mut ShutdownSignals,
    log: &Logger,
) -> Result<Option<OpenListener>, Box<dyn Error>> {
    if !has_console {
        let listener = listen::bind(listen, false)?.into_std()?;
        return Ok(Some(OpenListener { listener, path: None, taken_over: None, connection: None }));
    }
    let AcquiredListener { listener, path, predecessor } = tokio::select! {
        taken = serving_process::take_over_or_bind(listen, log) => {
            taken.map_err(|e| format!("listen: {listen}: {e}"))?
        }
        () = signals.received() => return Ok(None),
    };
    let (taken_over, connection) = predecessor.unzip();
    Ok(Some(OpenListener { listener, path: Some(path), taken_over, connection }))
}

/// The times of a shutdown, by the longest deadline of all classes of requests.
fn shutdown_times(site: &Site) -> ShutdownTimes {
    let longest = site.settings.classes.iter().map(|class| class.client_deadline).max();
    ShutdownTimes::new(Duration::from_nanos(longest.unwrap_or(0)))
}

/// Starts the catalog that the operators' file asks for.
fn start_catalog(
    cluster_config: ClusterConfig,
    seed: u64,
    clock: Clock,
    log: &Logger,
) -> Result<(Routing, catalog::Handle), catalog::StartError> {
    let named = cluster_config.routed_clusters();
    let ClusterConfig { sources, policy, clusters: overrides, rules, .. } = cluster_config;
    let handle = catalog::start(sources, policy, named.clone(), seed, clock, log.clone())?;
    Ok((Routing { clusters: named, rules, overrides }, handle))
}

/// Has the clusters follow the catalog, and both report to the log at each SIGUSR1.
fn follow_catalog(clusters: &Rc<Clusters>, catalog: catalog::Handle, report_signal: Signal) {
    let asked = Rc::new(Notify::new());
    actix_rt::spawn(clusters.clone().apply_steps(catalog.steps));
    actix_rt::spawn(clusters.clone().run_reports(asked.clone()));
    actix_rt::spawn(pass_on_report_signal(report_signal, asked, catalog.report));
}

async fn pass_on_report_signal(mut signal: Signal, asked: Rc<Notify>, report: Sender<()>) {
    while signal.recv().await.is_some() {
        asked.notify_one();
        let _ = report.try_send(()); // one report answers all who ask meanwhile
    }
}

/// What operators see and change by the console.
#[derive(Clone)]
struct Operated {
    stats: Arc<Stats>,
    clusters: Rc<Clusters>,
    control: Rc<AcceptControl>,
    hot_restart: Option<Rc<HotRestart>>,
}

impl Operated {
    /// Starts the console's thread, and the tasks that serve it here.
    fn start(self, console: std::net::TcpListener, log: &Logger) -> std::io::Result<()> {
        self.publish();
        actix_rt::spawn(self.clone().keep_publishing());
        let changes = console::start(console, self.stats.clone(), log.clone())?;
        actix_rt::spawn(self.apply_changes(changes));
        Ok(())
    }

    fn publish(&self) {
        self.stats.publish(self.clusters.pool(), self.control.is_ready());
    }

    /// Keeps the figures of the pool and the readiness up to date, and tells the predecessor once this process is ready.
    async fn keep_publishing(mut self) {
        let mut every = tokio::time::interval(PUBLISH_INTERVAL);
        loop {
            every.tick().await;
            self.publish();
            if self.control.is_ready()
                && let Some(hot_restart) = self.hot_restart.take()
            {
                hot_restart.on_ready();
            }
        }
    }

    /// Makes the changes that operators ask for.
    async fn apply_changes(self, mut changes: Receiver<console::Change>) {
        while let Some(console::Change { request, done }) = changes.recv().await {
            let answer = self.clusters.apply_admin_request(&request);
            let change = serving_process::manual_change(&request);
            if let (Ok(()), Some(hot_restart), Some(change)) = (&answer, &self.hot_restart, change) {
                hot_restart.on_manual_change(change);
            }
            self.publish();
            let _ = done.send(answer); // nobody waits any more; it is done all the same
        }
    }
}
