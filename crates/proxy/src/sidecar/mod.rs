//! The sidecar: one process beside an application.
//!
//! It has an inbound listener before the application, which admits by the application's limits and is ready only when
//! the application is; an outbound listener, with clusters, rules and decisions of its own, for each service that the
//! application calls; one budget of descriptors for all; and an admin listener on loopback. `cli.rs` calls [`serve`]
//! once, which owns all tasks: they end with its runtime.
//!
//! Each listener has its own table of open requests: an application that hands on the id of a request that it serves is
//! not sending that request twice.

mod admin;
mod application;
mod live;
mod settings;

use crate::bodies::BodyMemoryLimit;
use crate::catalog::{self, Step};
use crate::clock::Clock;
use crate::cluster_config::{Overrides, Rules};
use crate::clusters::{Clusters, ClustersConfig, Routing};
use crate::config::Sockets;
use crate::descriptors::Descriptors;
use crate::listen::{self, AcceptControl, ListenerParts};
use crate::{reload, shutdown};
use application::{Application, Limit};
use live::Live;
use olivecart_config::check::check;
use olivecart_config::load::Loaded;
use olivecart_config::report::text;
use olivecart_config::resolve::{Environment, Resolved};
use olivecart_config::types::{Outbound, Proxy};
use olivecart_decisions::ClassId;
use olivecart_membership::{ClusterName, Policy};
use olivecart_settings::Site;
use settings::{Shares, sites, sources};
use slog::{Logger, error, info};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Instant;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::sync::mpsc::Receiver;

/// Why a sidecar does not start, or ended.
#[derive(Debug, thiserror::Error)]
pub enum SidecarError {
    /// Its file is no good: all that is wrong with it.
    #[error("{0}")]
    File(String),
    /// Its settings.
    #[error(transparent)]
    Settings(#[from] olivecart_settings::SettingsError),
    /// The catalog.
    #[error(transparent)]
    Catalog(#[from] catalog::StartError),
    /// An address that cannot be listened on.
    #[error("{what}: {address}: {error}")]
    Bind {
        /// Which listener.
        what: String,
        /// Its address.
        address: SocketAddr,
        /// Why.
        error: std::io::Error,
    },
    /// Signals.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// Reads and checks the file of one proxy, and nothing else.
///
/// # Errors
/// All that is wrong with it.
pub fn read(path: &Path, environment: &Environment) -> Result<(Loaded, Resolved), SidecarError> {
    let loaded = Loaded::read(path);
    let (resolved, findings) = check(&loaded, environment);
    if findings.has_errors() {
        return Err(SidecarError::File(text(&findings).trim_end().to_owned()));
    }
    match <[Resolved; 1]>::try_from(resolved) {
        Ok([one]) if one.application.is_none() => Ok((loaded, one)),
        _ => Err(SidecarError::File(format!(
            "{}: is not what one proxy reads (kind = \"proxy\"); olivecart config write makes it of a fleet",
            path.display()
        ))),
    }
}

/// One listener with its clusters.
#[derive(Clone)]
pub struct Listener {
    /// `inbound`, or the service that is called.
    pub name: String,
    /// Controls what it accepts.
    pub control: Rc<AcceptControl>,
    /// Where its requests go.
    pub clusters: Rc<Clusters>,
}

/// All that runs, for the admin listener.
pub struct Sidecar {
    /// The configuration in force, with origins.
    pub config: String,
    /// The outbound listeners, and then the inbound one.
    pub listeners: Vec<Listener>,
    /// What all connections to endpoints count against.
    pub descriptors: Rc<Descriptors>,
    /// Whether the application passes its checks; so if there is none.
    pub is_application_up: Rc<Cell<bool>>,
    /// A shutdown has begun.
    pub is_shutting_down: Cell<bool>,
    /// Asks for a shutdown.
    pub shutdown: Notify,
}

impl Sidecar {
    /// Whether requests are welcome.
    pub fn is_ready(&self) -> bool {
        self.is_application_up.get() && !self.is_shutting_down.get()
    }
}

/// Bytes that long bodies may hold; a sidecar is told no limit of memory.
const BODY_BUDGET_BYTES: usize = 16 << 20;

/// Serves until a signal or the admin listener ends it.
///
/// # Errors
/// It did not start.
pub async fn serve(path: &Path, environment: &Environment, log: Logger) -> Result<(), SidecarError> {
    let (loaded, resolved) = read(path, environment)?;
    let proxy = &resolved.proxy;
    let shared = Shared::new(proxy, &log);
    // Danger: unregistered, a signal ends the program and all that it had taken.
    let hang_up = reload::register()?;
    let mut signals = shutdown::ShutdownSignals::register()?;
    // All addresses before anything runs: a sidecar serves whole or not at all.
    let admin = proxy.admin.as_ref().map(|admin| bind("admin", admin.listen)).transpose()?;
    let sites = sites(proxy)?;
    let outbound = shared.start_outbound(proxy, sites.outbound)?;
    let is_application_up = Rc::new(Cell::new(proxy.inbound.is_none()));
    let inbound = shared.start_inbound(proxy, sites.inbound, is_application_up.clone())?;
    shared.follow_catalog(proxy, path, &outbound)?;
    let inbound_listener = inbound.as_ref().map(|inbound| &inbound.bound);
    let all: Vec<&BoundListener> = outbound.iter().chain(inbound_listener).collect();
    let sidecar = Rc::new(Sidecar {
        config: olivecart_config::write::text(&resolved, &loaded.sources),
        listeners: all.iter().map(|bound| bound.listener.clone()).collect(),
        descriptors: shared.descriptors.clone(),
        is_application_up,
        is_shutting_down: Cell::new(false),
        shutdown: Notify::new(),
    });
    if let Some(listener) = admin {
        actix_rt::spawn(admin::serve(listener, sidecar.clone(), log.clone()));
    }
    for bound in all {
        info!(log, "listening"; "for" => &bound.listener.name, "version" => env!("CARGO_PKG_VERSION"));
    }
    let live = Live {
        path: path.to_owned(),
        environment: environment.clone(),
        proxy: proxy.clone(),
        inbound: inbound
            .as_ref()
            .map(|inbound| (inbound.bound.listener.control.clone(), inbound.limit.clone())),
        outbound: outbound.iter().map(|bound| bound.listener.control.clone()).collect(),
        log: log.clone(),
    };
    let outbound_controls: Vec<_> = outbound.into_iter().map(BoundListener::accept).collect();
    let inbound_control = inbound.map(|inbound| inbound.bound.accept());
    actix_rt::spawn(live.follow(hang_up));
    tokio::select! {
        () = signals.received() => {}
        () = sidecar.shutdown.notified() => {}
    }
    sidecar.is_shutting_down.set(true);
    // The application still calls others for what it has taken: outbound outlives inbound.
    if let Some(control) = inbound_control {
        shutdown::drain(&[control], shutdown::ShutdownTimes::default(), &log).await;
    }
    info!(log, "inbound has ended");
    let give_up_at = Instant::now() + shutdown::LONGEST_SHUTDOWN;
    shutdown::close_connections(&outbound_controls, give_up_at, &log).await;
    Ok(())
}

fn bind(what: &str, address: SocketAddr) -> Result<TcpListener, SidecarError> {
    listen::bind(address, false).map_err(|error| SidecarError::Bind { what: what.to_owned(), address, error })
}

/// A listener that does not accept yet.
struct BoundListener {
    listener: Listener,
    socket: TcpListener,
}

impl BoundListener {
    /// Accepts connections from now on.
    fn accept(self) -> Rc<AcceptControl> {
        actix_rt::spawn(listen::serve(self.socket, self.listener.control.clone()));
        self.listener.control
    }
}

/// The inbound listener, and the limit of the application behind it.
struct Inbound {
    bound: BoundListener,
    limit: Rc<Limit>,
}

/// What all listeners are started with.
struct Shared {
    clock: Clock,
    seed: u64,
    descriptors: Rc<Descriptors>,
    budget: Rc<BodyMemoryLimit>,
    shares: Shares,
    log: Logger,
}

impl Shared {
    fn new(proxy: &Proxy, log: &Logger) -> Shared {
        let clock = Clock::start();
        let shares = settings::shares(proxy);
        Shared {
            clock,
            seed: clock.now() ^ u64::from(std::process::id()) << 32,
            descriptors: Rc::new(Descriptors::new(shares.endpoints)),
            budget: Rc::new(BodyMemoryLimit::new(BODY_BUDGET_BYTES)),
            shares,
            log: log.clone(),
        }
    }

    /// A listener for each service that the application calls.
    fn start_outbound(&self, proxy: &Proxy, sites: Vec<Site>) -> Result<Vec<BoundListener>, SidecarError> {
        let mut bound = Vec::new();
        for (call, site) in proxy.outbound.iter().zip(sites) {
            let socket = bind(&call.application, call.listen)?;
            let routing = routing(call, &site);
            bound.push(self.start(&call.application, socket, site, routing, self.shares.outbound));
        }
        Ok(bound)
    }

    /// The listener before the application, and the task that checks that; none if there is no application.
    fn start_inbound(
        &self,
        proxy: &Proxy,
        site: Option<Site>,
        is_application_up: Rc<Cell<bool>>,
    ) -> Result<Option<Inbound>, SidecarError> {
        let (Some(own), Some(site)) = (&proxy.inbound, site) else { return Ok(None) };
        let socket = bind("inbound", own.listen)?;
        let routing =
            Routing { clusters: vec![ClusterName::from(application::CLUSTER)], ..Routing::default() };
        let bound = self.start("inbound", socket, site, routing, self.shares.inbound);
        let most_requests = own.max_requests.unwrap_or(olivecart_config::resolve::MAX_REQUESTS);
        let limit = Rc::new(Limit::new(most_requests, bound.listener.clusters.clone()));
        let log = self.log.new(slog::o!("listener" => "inbound"));
        let application = Application::new(own.application, limit.clone(), is_application_up, log);
        actix_rt::spawn(application.watch());
        Ok(Some(Inbound { bound, limit }))
    }

    fn start(
        &self,
        name: &str,
        socket: TcpListener,
        site: Site,
        routing: Routing,
        client_connections: usize,
    ) -> BoundListener {
        let log = self.log.new(slog::o!("listener" => name.to_owned()));
        let site = Rc::new(RefCell::new(site));
        let clusters_config = ClustersConfig {
            site: site.clone(),
            clock: self.clock,
            seed: self.seed,
            descriptors: self.descriptors.clone(),
            discovery: None,
            cached_list: None,
            routing,
            budget: self.budget.clone(),
            stats: None,
            taken_over: None,
        };
        let clusters = Clusters::start(clusters_config, &log);
        let control = Rc::new(AcceptControl::new(ListenerParts {
            routes: clusters.routes.clone(),
            site,
            log,
            sockets: Sockets { clients: client_connections, backends: 0 },
            budget: self.budget.clone(),
            stats: None,
        }));
        BoundListener { listener: Listener { name: name.to_owned(), control, clusters }, socket }
    }

    /// Starts the catalog of the clusters that are called, if there are any, and has the listeners follow it.
    fn follow_catalog(
        &self,
        proxy: &Proxy,
        path: &Path,
        outbound: &[BoundListener],
    ) -> Result<(), SidecarError> {
        if outbound.is_empty() {
            return Ok(());
        }
        let called = proxy.outbound.iter().flat_map(|call| &call.clusters);
        let named = called.map(|name| ClusterName::from(name.as_str())).collect();
        let directory = path.parent().unwrap_or(Path::new(""));
        let sources = sources(proxy, directory);
        let handle =
            catalog::start(sources, Policy::default(), named, self.seed, self.clock, self.log.clone())?;
        let clusters = outbound.iter().map(|bound| bound.listener.clusters.clone()).collect();
        actix_rt::spawn(distribute_steps(handle.steps, clusters, self.log.clone(), handle.report));
        Ok(())
    }
}

/// Where the requests of an outbound listener go.
fn routing(call: &Outbound, site: &Site) -> Routing {
    let named: Vec<ClusterName> = call.clusters.iter().map(|name| name.as_str().into()).collect();
    let class = |name: &str| site.classes.get(name).map(|class| ClassId(class as u16));
    let rules = Rules::new(settings::rules(&call.routes, class));
    let overrides = Overrides { max_attempts: Some(call.attempts), ..Overrides::default() };
    let overrides = named.iter().map(|name| (name.clone(), overrides)).collect();
    Routing { clusters: named, rules, overrides }
}

/// Applies the steps of the catalog to the listeners that lead to their cluster.
async fn distribute_steps(
    mut steps: Receiver<Step>,
    all: Vec<Rc<Clusters>>,
    log: Logger,
    _report: tokio::sync::mpsc::Sender<()>,
) {
    while let Some(step) = steps.recv().await {
        for clusters in all.iter().filter(|clusters| clusters.routes.get(step.cluster().as_str()).is_some()) {
            clusters.apply(step.clone()).await;
        }
    }
    error!(log, "catalog thread ended");
}
