//! The sidecar: one process beside each instance of an application.
//!
//! It has an inbound listener in front of the application, which enforces the application's limits and is
//! ready only while the application is healthy; an outbound listener, with separate clusters, rules and
//! decisions, for each service that the application calls; one limit on descriptors for all; and an admin
//! listener on loopback. `cli.rs` calls [`serve`] once. The spawned tasks end with its runtime.
//!
//! Each listener has its own table of open requests. Therefore an application can pass the id of a request
//! that it serves on to the services that it calls, without the sidecar taking the calls for duplicates.

mod admin;
mod application;
mod live;
mod settings;

use crate::catalog::{self, Step};
use crate::clock::Clock;
use crate::cluster_config::{Overrides, Rules};
use crate::clusters::{Clusters, ClustersConfig, Routing};
use crate::config::Sockets;
use crate::descriptors::Descriptors;
use crate::listen::{self, AcceptControl, ListenerParts};
use crate::memory::{self, MemoryAccountant};
use crate::{reload, shutdown};
use application::{Application, RequestLimit};
use live::ReloadableConfig;
use olivecart_config::check::check;
use olivecart_config::load::Loaded;
use olivecart_config::report::text;
use olivecart_config::resolve::{Environment, Resolved};
use olivecart_config::types::{Outbound, Proxy};
use olivecart_decisions::ClassId;
use olivecart_membership::{ClusterName, Policy};
use olivecart_settings::Site;
use settings::{DescriptorShares, convert_sources, read_sites};
use slog::{Logger, error, info};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Instant;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::sync::mpsc::Receiver;

/// The reason a sidecar could not start.
#[derive(Debug, thiserror::Error)]
pub enum SidecarError {
    /// The configuration file is invalid. The text lists all errors in it.
    #[error("{0}")]
    InvalidFile(String),
    /// The settings of a listener are invalid.
    #[error(transparent)]
    Settings(#[from] olivecart_settings::SettingsError),
    /// The catalog could not start.
    #[error(transparent)]
    Catalog(#[from] catalog::StartError),
    /// An address could not be bound.
    #[error("{listener_name}: {address}: {error}")]
    Bind {
        /// The name of the listener.
        listener_name: String,
        /// The address of the listener.
        address: SocketAddr,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// A signal handler could not be registered.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// Reads and checks the configuration file of one proxy.
///
/// # Errors
/// Returns all errors in the file.
pub fn read(path: &Path, environment: &Environment) -> Result<(Loaded, Resolved), SidecarError> {
    let loaded = Loaded::read(path);
    let (resolved, findings) = check(&loaded, environment);
    if findings.has_errors() {
        return Err(SidecarError::InvalidFile(text(&findings).trim_end().to_owned()));
    }
    match <[Resolved; 1]>::try_from(resolved) {
        Ok([resolved]) if resolved.application.is_none() => Ok((loaded, resolved)),
        _ => Err(SidecarError::InvalidFile(format!(
            "{}: not the configuration of one proxy (kind = \"proxy\"); `olivecart config write` generates it from a fleet",
            path.display()
        ))),
    }
}

/// A listener and its clusters.
#[derive(Clone)]
pub struct Listener {
    /// `inbound`, or the name of the called service.
    pub name: String,
    /// Controls which connections the listener accepts.
    pub control: Rc<AcceptControl>,
    /// The clusters that its requests are routed to.
    pub clusters: Rc<Clusters>,
}

/// The state of the sidecar that the admin listener reads.
pub struct Sidecar {
    /// The text of the configuration at the start, with the origin of each value.
    pub config: String,
    /// The outbound listeners, followed by the inbound listener.
    pub listeners: Vec<Listener>,
    /// The limit on connections to endpoints, shared by all listeners.
    pub descriptors: Rc<Descriptors>,
    /// Whether the application is healthy. True if there is no inbound listener.
    pub is_application_healthy: Rc<Cell<bool>>,
    /// Whether a shutdown has begun.
    pub is_shutting_down: Cell<bool>,
    /// Requests a shutdown.
    pub shutdown: Notify,
}

impl Sidecar {
    /// Whether the sidecar is ready for requests.
    pub fn is_ready(&self) -> bool {
        self.is_application_healthy.get() && !self.is_shutting_down.get()
    }
}

/// Serves until a signal or the admin listener requests a shutdown, and the shutdown has completed.
///
/// # Errors
/// Returns an error if the sidecar could not start.
pub async fn serve(path: &Path, environment: &Environment, log: Logger) -> Result<(), SidecarError> {
    let (loaded, resolved) = read(path, environment)?;
    let proxy = &resolved.proxy;
    let shared = Shared::new(proxy, &log);
    // Unregistered, a signal would end the process and abort its open requests.
    let reload_signal = reload::register()?;
    let mut signals = shutdown::ShutdownSignals::register()?;
    // All addresses are bound before anything is served, so that a sidecar never serves with some listeners
    // missing.
    let admin = proxy.admin.as_ref().map(|admin| bind("admin", admin.listen)).transpose()?;
    let sites = read_sites(proxy)?;
    let outbound = shared.start_outbound(proxy, sites.outbound)?;
    let is_application_healthy = Rc::new(Cell::new(proxy.inbound.is_none()));
    let inbound = shared.start_inbound(proxy, sites.inbound, is_application_healthy.clone())?;
    shared.follow_catalog(proxy, path, &outbound)?;
    let inbound_listener = inbound.as_ref().map(|inbound| &inbound.bound);
    let all: Vec<&BoundListener> = outbound.iter().chain(inbound_listener).collect();
    let sidecar = Rc::new(Sidecar {
        config: olivecart_config::write::text(&resolved, &loaded.sources),
        listeners: all.iter().map(|bound| bound.listener.clone()).collect(),
        descriptors: shared.descriptors.clone(),
        is_application_healthy,
        is_shutting_down: Cell::new(false),
        shutdown: Notify::new(),
    });
    if let Some(listener) = admin {
        actix_rt::spawn(admin::serve(listener, sidecar.clone(), log.clone()));
    }
    for bound in all {
        info!(log, "listening"; "listener" => &bound.listener.name, "version" => env!("CARGO_PKG_VERSION"));
    }
    let reloadable = ReloadableConfig {
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
    actix_rt::spawn(reloadable.reload_on_signal(reload_signal));
    tokio::select! {
        () = signals.received() => {}
        () = sidecar.shutdown.notified() => {}
    }
    sidecar.is_shutting_down.set(true);
    // The outbound listeners close last, since the application calls other services for its open requests.
    if let Some(control) = inbound_control {
        shutdown::drain(&[control], shutdown::ShutdownTimes::default(), &log).await;
    }
    info!(log, "inbound listener drained");
    let shutdown_deadline = Instant::now() + shutdown::LONGEST_SHUTDOWN;
    shutdown::close_connections(&outbound_controls, shutdown_deadline, &log).await;
    Ok(())
}

fn bind(listener_name: &str, address: SocketAddr) -> Result<TcpListener, SidecarError> {
    listen::bind(address, false).map_err(|error| SidecarError::Bind {
        listener_name: listener_name.to_owned(),
        address,
        error,
    })
}

/// A bound listener that does not accept connections yet.
struct BoundListener {
    listener: Listener,
    socket: TcpListener,
}

impl BoundListener {
    /// Starts to accept connections.
    fn accept(self) -> Rc<AcceptControl> {
        actix_rt::spawn(listen::serve(self.socket, self.listener.control.clone()));
        self.listener.control
    }
}

/// The inbound listener, and the request limit of the application behind it.
struct Inbound {
    bound: BoundListener,
    limit: Rc<RequestLimit>,
}

/// The state that all listeners share.
struct Shared {
    clock: Clock,
    seed: u64,
    descriptors: Rc<Descriptors>,
    memory: Rc<MemoryAccountant>,
    shares: DescriptorShares,
    log: Logger,
}

impl Shared {
    fn new(proxy: &Proxy, log: &Logger) -> Shared {
        let clock = Clock::start();
        let shares = settings::divide_descriptors(proxy);
        let measuring = |limit| MemoryAccountant::measuring(limit, memory::allocated_bytes);
        let memory = Rc::new(settings::memory_limit(proxy).map_or_else(MemoryAccountant::default, measuring));
        Shared {
            clock,
            seed: clock.now() ^ u64::from(std::process::id()) << 32,
            descriptors: Rc::new(Descriptors::new(shares.endpoints, memory.clone())),
            memory,
            shares,
            log: log.clone(),
        }
    }

    /// Binds a listener for each service that the application calls.
    fn start_outbound(&self, proxy: &Proxy, sites: Vec<Site>) -> Result<Vec<BoundListener>, SidecarError> {
        let mut bound = Vec::new();
        for (outbound, site) in proxy.outbound.iter().zip(sites) {
            let socket = bind(&outbound.application, outbound.listen)?;
            let routing = routing(outbound, &site);
            bound.push(self.start_listener(
                &outbound.application,
                socket,
                site,
                routing,
                self.shares.outbound,
            ));
        }
        Ok(bound)
    }

    /// Binds the inbound listener and starts the health checks of the application. Returns `None` if no
    /// inbound listener is configured.
    fn start_inbound(
        &self,
        proxy: &Proxy,
        site: Option<Site>,
        is_application_healthy: Rc<Cell<bool>>,
    ) -> Result<Option<Inbound>, SidecarError> {
        let (Some(own), Some(site)) = (&proxy.inbound, site) else { return Ok(None) };
        let socket = bind("inbound", own.listen)?;
        let routing =
            Routing { clusters: vec![ClusterName::from(application::CLUSTER)], ..Routing::default() };
        let bound = self.start_listener("inbound", socket, site, routing, self.shares.inbound);
        let max_requests = own.max_requests.unwrap_or(olivecart_config::resolve::MAX_REQUESTS);
        let limit = Rc::new(RequestLimit::new(max_requests, bound.listener.clusters.clone()));
        let log = self.log.new(slog::o!("listener" => "inbound"));
        let application = Application::new(own.application, limit.clone(), is_application_healthy, log);
        actix_rt::spawn(application.run_health_checks());
        Ok(Some(Inbound { bound, limit }))
    }

    fn start_listener(
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
            memory: self.memory.clone(),
            stats: None,
            taken_over: None,
        };
        let clusters = Clusters::start(clusters_config, &log);
        let control = Rc::new(AcceptControl::new(ListenerParts {
            routes: clusters.routes.clone(),
            site,
            log,
            sockets: Sockets { clients: client_connections, backends: 0 },
            memory: self.memory.clone(),
            stats: None,
        }));
        BoundListener { listener: Listener { name: name.to_owned(), control, clusters }, socket }
    }

    /// Starts the catalog of the called clusters, if there are any, and the task that applies it to the
    /// listeners.
    fn follow_catalog(
        &self,
        proxy: &Proxy,
        path: &Path,
        outbound: &[BoundListener],
    ) -> Result<(), SidecarError> {
        if outbound.is_empty() {
            return Ok(());
        }
        let called = proxy.outbound.iter().flat_map(|outbound| &outbound.clusters);
        let named = called.map(|name| ClusterName::from(name.as_str())).collect();
        let directory = path.parent().unwrap_or(Path::new(""));
        let sources = convert_sources(proxy, directory);
        let handle =
            catalog::start(sources, Policy::default(), named, self.seed, self.clock, self.log.clone())?;
        let clusters = outbound.iter().map(|bound| bound.listener.clusters.clone()).collect();
        actix_rt::spawn(distribute_steps(handle.steps, clusters, self.log.clone(), handle.report));
        Ok(())
    }
}

/// Returns the routing of an outbound listener.
fn routing(outbound: &Outbound, site: &Site) -> Routing {
    let named: Vec<ClusterName> = outbound.clusters.iter().map(|name| name.as_str().into()).collect();
    let class = |name: &str| site.classes.get(name).map(|class| ClassId(class as u16));
    let rules = Rules::new(settings::convert_routes(&outbound.routes, class));
    let overrides = Overrides { max_attempts: Some(outbound.attempts), ..Overrides::default() };
    let overrides = named.iter().map(|name| (name.clone(), overrides)).collect();
    Routing { clusters: named, rules, overrides }
}

/// Applies each step of the catalog to the listeners that route to its cluster.
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
