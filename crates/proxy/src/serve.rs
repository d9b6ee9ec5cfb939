//! Assembles and runs the proxy of `olivecart serve`, from registering signal handlers to the last response.
//!
//! `cli.rs` calls [`serve`] once. The spawned tasks end with its runtime. Their work is in the modules that
//! it assembles.

use crate::clock::{Clock, SystemClocks};
use crate::cluster_config::ClusterConfig;
use crate::clusters::{Clusters, ClustersConfig, Routing};
use crate::config::{Changes, Config};
use crate::descriptors::Descriptors;
use crate::hot_restart::HotRestart;
use crate::listen::{AcceptControl, ListenerParts};
use crate::memory::{self, MemoryAccountant};
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

/// The maximum age of the pool statistics and the readiness that the admin server reports.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(100);

/// Serves until a signal requests a shutdown and the shutdown has completed.
///
/// # Errors
/// Returns an error if the proxy could not start, for example because an address is in use.
pub async fn serve(config: Config, log: &Logger) -> Result<(), Box<dyn Error>> {
    let reload_signal = reload::register()?; // before anything that takes time
    let mut signals = ShutdownSignals::register()?;
    let Config {
        listen,
        discovery,
        console,
        seed,
        sockets,
        memory_bytes,
        cached_endpoints,
        source,
        cluster_config,
        ..
    } = config;
    // Unregistered, SIGUSR1 ends the process. It is registered only with an operators' file: without one
    // there is no report to write.
    let report_signal = cluster_config.is_some().then(|| signal(SignalKind::user_defined1())).transpose()?;
    let console = console.map(bind_console).transpose()?;
    let Some(open) = open_listener(listen, console.is_some(), &mut signals, log).await? else {
        return Ok(()); // no connection was accepted yet
    };
    let OpenListener { listener, path, taken_over, connection } = open;
    let kept_listener = path.is_some().then(|| listener.try_clone()).transpose()?;
    let memory = Rc::new(MemoryAccountant::measuring(memory_bytes, memory::allocated_bytes));
    let listener = tokio::net::TcpListener::from_std(listener)?;
    info!(log, "listening"; "address" => %listen, "version" => env!("CARGO_PKG_VERSION"));
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
        descriptors: Rc::new(Descriptors::new(sockets.backends, memory.clone())),
        discovery: Some(discovery),
        cached_list: cached_endpoints,
        routing,
        memory: memory.clone(),
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
        memory: memory.clone(),
        stats: stats.clone(),
    }));
    let limits = ProcessLimits { sockets, memory_bytes };
    let process =
        ServingProcess::new(control.clone(), clusters.clone(), kept_listener, limits, memory.clone());
    let process = Rc::new(process);
    let hot_restart = path.map(|path| HotRestart::start(process.clone(), path, connection, log.clone()));
    if let Some(hot_restart) = hot_restart.clone() {
        clusters.recent_ids(|ids| ids.set_listener(move |event| hot_restart.on_request_id(event)));
    }
    if let (Some(console), Some(stats)) = (console, stats) {
        let admin_state = AdminState {
            stats,
            clusters: clusters.clone(),
            control: control.clone(),
            memory: memory.clone(),
            hot_restart: hot_restart.clone(),
        };
        admin_state.start(console, log)?;
    }
    let apply_reload = move |changes: &Changes| {
        process.set_limits(ProcessLimits { sockets: changes.sockets, memory_bytes: changes.memory_bytes });
        clusters.adopt(changes);
    };
    actix_rt::spawn(reload::on_signal(reload_signal, source, apply_reload, log.clone()));
    let accept_task = actix_rt::spawn(listen::serve(listener, control.clone()));
    let notify_hot_restart = || hot_restart.as_ref().is_some_and(HotRestart::on_shutdown);
    shutdown::on_signal(signals, control, times, notify_hot_restart, log.clone()).await;
    accept_task.abort();
    info!(log, "stopped"; "memory_peak" => %memory.peak(), "memory_assignable" => memory.assignable(),
        "long_bodies_peak" => memory.bodies_peak());
    Ok(())
}

fn bind_console(address: SocketAddr) -> Result<std::net::TcpListener, String> {
    console::bind(address).map_err(|e| format!("console: {address}: {e}"))
}

/// The listener for clients, and the state and connection that a predecessor handed over with it.
struct OpenListener {
    listener: std::net::TcpListener,
    /// The path of the socket where a successor can take over; `None` if hot restarts are disabled.
    path: Option<std::path::PathBuf>,
    /// The state that the predecessor handed over.
    taken_over: Option<crate::hot_restart::State>,
    connection: Option<crate::hot_restart::PeerConnection>,
}

/// Takes over or binds the listener for clients. Only a process with an admin server takes part in hot
/// restarts. Returns `None` if a signal requested a shutdown in the meantime.
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
        listener = serving_process::take_over_or_bind(listen, log) => {
            listener.map_err(|e| format!("listen: {listen}: {e}"))?
        }
        () = signals.received() => return Ok(None),
    };
    let (taken_over, connection) = predecessor.unzip();
    Ok(Some(OpenListener { listener, path: Some(path), taken_over, connection }))
}

/// Returns the time limits of a shutdown, which depend on the longest deadline of all classes.
fn shutdown_times(site: &Site) -> ShutdownTimes {
    let longest = site.settings.classes.iter().map(|class| class.client_deadline).max();
    ShutdownTimes::new(Duration::from_nanos(longest.unwrap_or(0)))
}

/// Starts the catalog with the sources of the operators' file.
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

/// Starts the tasks that apply the catalog's steps to the clusters, and that log a report of both at each
/// SIGUSR1.
fn follow_catalog(clusters: &Rc<Clusters>, catalog: catalog::Handle, report_signal: Signal) {
    let report_requested = Rc::new(Notify::new());
    actix_rt::spawn(clusters.clone().apply_steps(catalog.steps));
    actix_rt::spawn(clusters.clone().run_reports(report_requested.clone()));
    actix_rt::spawn(forward_report_signal(report_signal, report_requested, catalog.report));
}

async fn forward_report_signal(mut signal: Signal, report_requested: Rc<Notify>, report: Sender<()>) {
    while signal.recv().await.is_some() {
        report_requested.notify_one();
        let _ = report.try_send(()); // one report serves all signals that arrive before it is written
    }
}

/// The state that operators read and change through the admin server.
#[derive(Clone)]
struct AdminState {
    stats: Arc<Stats>,
    clusters: Rc<Clusters>,
    control: Rc<AcceptControl>,
    memory: Rc<MemoryAccountant>,
    hot_restart: Option<Rc<HotRestart>>,
}

impl AdminState {
    /// Starts the thread of the admin server, and the tasks in the event loop that serve it.
    fn start(self, console: std::net::TcpListener, log: &Logger) -> std::io::Result<()> {
        self.publish();
        actix_rt::spawn(self.clone().publish_periodically());
        let changes = console::start(console, self.stats.clone(), log.clone())?;
        actix_rt::spawn(self.apply_changes(changes));
        Ok(())
    }

    fn publish(&self) {
        self.stats.publish(self.clusters.pool(), self.control.is_ready());
        self.stats.publish_memory(&self.memory);
    }

    /// Publishes the pool statistics and the readiness, and notifies the predecessor once this process is
    /// ready.
    async fn publish_periodically(mut self) {
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

    /// Applies the changes that operators request.
    async fn apply_changes(self, mut changes: Receiver<console::Change>) {
        while let Some(console::Change { request, done }) = changes.recv().await {
            let result = self.clusters.apply_admin_request(&request);
            let change = serving_process::manual_change(&request);
            if let (Ok(()), Some(hot_restart), Some(change)) = (&result, &self.hot_restart, change) {
                hot_restart.on_manual_change(change);
            }
            self.publish();
            let _ = done.send(result); // the caller may have timed out; the change stays in force
        }
    }
}
