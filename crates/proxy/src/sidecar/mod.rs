//! The sidecar: one process beside an application. Before it an inbound listener, which admits by the application's
//! limits and is ready only when the application is; for each service that it calls an outbound listener with
//! clusters, rules and decisions of its own; one budget of descriptors for all; an admin listener on loopback.
//!
//! Each listener has its own book of open requests: an application that hands on the id of a request that it serves
//! is not sending that request twice.

mod admin;
mod application;
mod live;
mod settings;

use crate::bodies::BodyMemoryLimit;
use crate::catalog::{self, Step};
use crate::clock::Clock;
use crate::clusters::{Clusters, Routing, Start};
use crate::config::Sockets;
use crate::descriptors::Descriptors;
use crate::listen::{self, AcceptControl, ListenerParts};
use crate::operators::{Overrides, Rules};
use crate::{reload, shutdown};
use application::{Application, Limit};
use live::Live;
use olivecart_config::check::check;
use olivecart_config::load::Loaded;
use olivecart_config::report::text;
use olivecart_config::resolve::{Environment, Resolved};
use olivecart_membership::{ClusterName, Policy};
use settings::{sites, sources};
use slog::{Logger, error, info};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Instant;
use tokio::net::TcpListener;
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
struct Side {
    /// `inbound`, or the service that is called.
    name: String,
    listener: TcpListener,
    control: Rc<AcceptControl>,
    clusters: Rc<Clusters>,
}

/// All that runs, for the admin listener.
pub struct Sidecar {
    /// What is in force, with origins.
    pub config: String,
    /// Listeners, by name.
    pub sides: Vec<(String, Rc<AcceptControl>, Rc<Clusters>)>,
    /// What all connections to endpoints count against.
    pub descriptors: Rc<Descriptors>,
    /// Whether the application passes its checks; so if there is none before it.
    pub application: Rc<Cell<bool>>,
    /// An end was asked for.
    pub leaving: Cell<bool>,
    /// To ask for one.
    pub leave: tokio::sync::Notify,
}

impl Sidecar {
    /// Whether requests are welcome.
    pub fn is_ready(&self) -> bool {
        self.application.get() && !self.leaving.get()
    }
}

/// Bytes that long bodies may hold; a sidecar is told no limit of memory.
const BODIES: usize = 16 << 20;

/// Serves until a signal or the admin listener ends it.
///
/// # Errors
/// It did not start.
pub async fn serve(path: &Path, environment: &Environment, log: Logger) -> Result<(), SidecarError> {
    let (loaded, resolved) = read(path, environment)?;
    let proxy = &resolved.proxy;
    let clock = Clock::start();
    let seed = clock.now() ^ u64::from(std::process::id()) << 32;
    let shares = settings::shares(proxy);
    let descriptors = Rc::new(Descriptors::new(shares.endpoints));
    let budget = Rc::new(BodyMemoryLimit::new(BODIES));
    let bind = |what: &str, address: SocketAddr| {
        listen::bind(address, false).map_err(|error| SidecarError::Bind {
            what: what.to_owned(),
            address,
            error,
        })
    };
    // Danger: unregistered, a signal ends the program and all that it had taken.
    let (hang_up, mut signals) = (reload::register()?, shutdown::ShutdownSignals::register()?);
    // All addresses before anything runs: a sidecar serves whole or not at all.
    let admin = proxy.admin.as_ref().map(|admin| bind("admin", admin.listen)).transpose()?;
    let mut sides = Vec::new();
    let sites = sites(proxy)?;
    for (call, site) in proxy.outbound.iter().zip(sites.outbound) {
        let listener = bind(&call.application, call.listen)?;
        let named: Vec<ClusterName> = call.clusters.iter().map(|name| name.as_str().into()).collect();
        let class =
            |name: &str| site.classes.get(name).map(|class| olivecart_decisions::ClassId(class as u16));
        let rules = Rules::new(settings::rules(&call.routes, class));
        let limits = |name: &ClusterName| {
            (name.clone(), Overrides { max_attempts: Some(call.attempts), ..Overrides::default() })
        };
        let overrides = named.iter().map(limits).collect();
        let routing = Routing { named, rules, overrides };
        let log = log.new(slog::o!("listener" => call.application.clone()));
        let side =
            Parts { clock, seed, descriptors: &descriptors, budget: &budget, clients: shares.outbound };
        sides.push(side.start(call.application.clone(), listener, site, routing, log));
    }
    let outbound: Vec<Rc<Clusters>> = sides.iter().map(|side| side.clusters.clone()).collect();
    let health = Rc::new(Cell::new(proxy.inbound.is_none()));
    let (mut inbound, mut limit) = (None, None);
    if let (Some(own), Some(site)) = (&proxy.inbound, sites.inbound) {
        let listener = bind("inbound", own.listen)?;
        let name = ClusterName::from(application::CLUSTER);
        let routing = Routing { named: vec![name], ..Routing::default() };
        let log = log.new(slog::o!("listener" => "inbound"));
        let side = Parts { clock, seed, descriptors: &descriptors, budget: &budget, clients: shares.inbound };
        let side = side.start("inbound".into(), listener, site, routing, log.clone());
        let most = own.max_requests.unwrap_or(olivecart_config::resolve::MAX_REQUESTS);
        let own_limit = Rc::new(Limit::new(most, side.clusters.clone()));
        let application = Application::new(own.application, own_limit.clone(), health.clone(), log);
        limit = Some(own_limit);
        actix_rt::spawn(application.watch());
        inbound = Some(side);
    }
    if !outbound.is_empty() {
        let named: Vec<ClusterName> = proxy
            .outbound
            .iter()
            .flat_map(|call| &call.clusters)
            .map(|name| ClusterName::from(name.as_str()))
            .collect();
        let beside = path.parent().unwrap_or(Path::new(""));
        let handle =
            catalog::start(sources(proxy, beside), Policy::default(), named, seed, clock, log.clone())?;
        actix_rt::spawn(hand_out(handle.steps, outbound, log.clone(), handle.report));
    }
    let all = sides.iter().chain(&inbound);
    let sidecar = Rc::new(Sidecar {
        config: olivecart_config::write::text(&resolved, &loaded.sources),
        sides: all.map(|side| (side.name.clone(), side.control.clone(), side.clusters.clone())).collect(),
        descriptors,
        application: health,
        leaving: Cell::new(false),
        leave: tokio::sync::Notify::new(),
    });
    if let Some(listener) = admin {
        actix_rt::spawn(admin::serve(listener, sidecar.clone(), log.clone()));
    }
    for side in sides.iter().chain(&inbound) {
        info!(log, "listening"; "for" => &side.name, "version" => env!("CARGO_PKG_VERSION"));
    }
    let controls: Vec<Rc<AcceptControl>> = sides.iter().map(|side| side.control.clone()).collect();
    let before = inbound.as_ref().map(|side| side.control.clone());
    for side in sides.into_iter().chain(inbound) {
        actix_rt::spawn(listen::serve(side.listener, side.control));
    }
    let live = Live {
        path: path.to_owned(),
        environment: environment.clone(),
        proxy: proxy.clone(),
        inbound: before.clone().zip(limit),
        outbound: controls.clone(),
        log: log.clone(),
    };
    actix_rt::spawn(live.follow(hang_up));
    tokio::select! {
        () = signals.received() => {}
        () = sidecar.leave.notified() => {}
    }
    sidecar.leaving.set(true);
    // The application still calls others for what it has taken: outbound outlives inbound.
    if let Some(control) = before {
        shutdown::drain(&[control], shutdown::ShutdownTimes::default(), &log).await;
    }
    info!(log, "inbound has ended");
    shutdown::close_connections(&controls, Instant::now() + shutdown::LONGEST_SHUTDOWN, &log).await;
    Ok(())
}

/// What a listener is made of besides its own.
struct Parts<'a> {
    clock: Clock,
    seed: u64,
    descriptors: &'a Rc<Descriptors>,
    budget: &'a Rc<BodyMemoryLimit>,
    clients: usize,
}

impl Parts<'_> {
    fn start(
        &self,
        name: String,
        listener: TcpListener,
        site: olivecart_settings::Site,
        routing: Routing,
        log: Logger,
    ) -> Side {
        let site = Rc::new(RefCell::new(site));
        let clusters = Clusters::start(
            Start {
                site: site.clone(),
                clock: self.clock,
                seed: self.seed,
                descriptors: self.descriptors.clone(),
                discovery: None,
                known: None,
                routing,
                budget: self.budget.clone(),
                stats: None,
                taken_over: None,
            },
            &log,
        );
        let sockets = Sockets { clients: self.clients, backends: 0 };
        let control = Rc::new(AcceptControl::new(ListenerParts {
            routes: clusters.routes.clone(),
            site,
            log,
            sockets,
            budget: self.budget.clone(),
            stats: None,
        }));
        Side { name, listener, control, clusters }
    }
}

/// Hands what the catalog says to the listeners that lead to the cluster.
async fn hand_out(
    mut steps: Receiver<Step>,
    all: Vec<Rc<Clusters>>,
    log: Logger,
    _report: tokio::sync::mpsc::Sender<()>,
) {
    while let Some(step) = steps.recv().await {
        for clusters in all.iter().filter(|clusters| clusters.routes.place(step.cluster().as_str()).is_some())
        {
            clusters.apply(step.clone()).await;
        }
    }
    error!(log, "the catalog has ended; endpoints stay as they are");
}
