//! Starts a whole scenario on loopback: stand-in servers and discovery, the sidecar of each server that calls
//! another tier, and the first tier's proxies. The proxies are real and run as child processes.

use super::child::{Child, ChildError, becomes_ready};
use super::fleet::{Fleet, FleetError, Proxies, Record};
use super::load::{Load, LoadError, Options, Report, Target};
use super::lock;
use super::proc::{Track, Tracks};
use super::protocol::Document;
use super::settings::{Limits, Start, config};
use super::stream::Loopback;
use crate::model::{Topology, mix};
use futures_util::future::{BoxFuture, try_join_all};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tempfile::TempDir;
use tokio::task::JoinHandle;

/// How long proxies may take to shut down before they are killed.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a testbed did not start.
#[derive(Debug, thiserror::Error)]
pub enum TestbedError {
    /// A socket or the directory of the children's files could not be created.
    #[error("cannot create the testbed's sockets or temporary directory: {0}")]
    Io(#[from] io::Error),
    /// The servers did not start.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// A first-tier proxy did not start.
    #[error("{0}")]
    Front(String),
    /// The load cannot be generated.
    #[error(transparent)]
    Load(#[from] LoadError),
}

/// The proxies of a testbed.
#[derive(Clone)]
struct Children(Arc<Inner>);

struct Inner {
    topology: Arc<Topology>,
    program: PathBuf,
    limits: Limits,
    /// The directory of the children's files, or `None` after the testbed was dropped.
    folder: Mutex<Option<TempDir>>,
    /// The listening address of the proxy by machine.
    addresses: Vec<Option<SocketAddr>>,
    /// The address of discovery and the initial list by tier and zone.
    discovery: Vec<Vec<(SocketAddr, Document)>>,
    /// The running children by machine.
    running: Mutex<BTreeMap<u32, Child>>,
    tracks: Mutex<Tracks>,
    started: AtomicU64,
}

impl Children {
    fn spawn(&self, machine: u32) -> Result<SocketAddr, ChildError> {
        let inner = &self.0;
        let spec = &inner.topology.machines[machine as usize];
        let no_proxy = || ChildError::Start(inner.program.clone(), io::ErrorKind::NotFound.into());
        let (tier, _) = spec.proxy.ok_or_else(no_proxy)?;
        let listen = inner.addresses[machine as usize].ok_or_else(no_proxy)?;
        let (discovery, known) = &inner.discovery[tier as usize][spec.zone as usize];
        let name = inner.topology.proxy_name(machine).replace("'s proxy", "-proxy");
        let seed =
            mix(inner.topology.seed, inner.started.fetch_add(1, Ordering::SeqCst) << 32 | u64::from(machine));
        let start = Start { name: &name, listen, discovery: *discovery, seed, known, limits: inner.limits };
        let config = config(&inner.topology, machine, &start).ok_or_else(no_proxy)?;
        let folder = lock(&inner.folder);
        let folder = folder.as_ref().ok_or_else(no_proxy)?;
        let mut running = lock(&inner.running);
        // A child that was only frozen still occupies the address.
        running.remove(&machine);
        running.insert(machine, Child::start(&inner.program, folder.path(), &name, listen, &config)?);
        Ok(listen)
    }

    /// Checks that a machine's child, if it has one, still runs.
    fn check(&self, machine: u32) -> Result<(), ChildError> {
        match lock(&self.0.running).get_mut(&machine) {
            Some(child) => child.check(),
            None => Ok(()), // killed by a fault of the scenario
        }
    }

    fn sample(&self) {
        let running = lock(&self.0.running);
        let pids: Vec<_> = running.values().map(|child| (child.name().to_owned(), child.pid())).collect();
        drop(running);
        lock(&self.0.tracks).sample_all(pids);
    }
}

impl Proxies for Children {
    fn start(&self, machine: u32) -> BoxFuture<'static, Result<SocketAddr, String>> {
        let children = self.clone();
        Box::pin(async move {
            let listen = children.spawn(machine).map_err(|e| e.to_string())?;
            match becomes_ready(listen, || children.check(machine)).await {
                Ok(true) => Ok(listen),
                Ok(false) => {
                    let error = lock(&children.0.running).get(&machine).map(Child::not_ready);
                    error.map_or(Ok(listen), |e| Err(e.to_string()))
                }
                Err(e) => Err(e.to_string()),
            }
        })
    }

    fn kill(&self, machine: u32, silently: bool) {
        let mut running = lock(&self.0.running);
        if silently {
            running.get(&machine).into_iter().for_each(Child::freeze);
        } else {
            running.remove(&machine);
        }
    }
}

/// Options of a testbed.
#[derive(Clone, Debug)]
pub struct TestbedOptions {
    /// The program `olivecart`.
    pub program: PathBuf,
    /// The resource limits in the proxies' configuration.
    pub limits: Limits,
    /// Whether to start the first tier's proxies.
    pub fronts: bool,
}

/// A running scenario. Dropping it stops everything, including the child processes.
pub struct Testbed {
    topology: Arc<Topology>,
    fleet: Fleet,
    children: Children,
    fronts: Vec<Target>,
    sampler: JoinHandle<()>,
}

impl Testbed {
    /// Starts a scenario. No fault is applied before [`Testbed::begin`].
    ///
    /// # Errors
    /// A server, discovery or a proxy did not start.
    pub async fn start(topology: Arc<Topology>, setting: TestbedOptions) -> Result<Testbed, TestbedError> {
        let net = Loopback::new();
        let mut fleet = Fleet::start(topology.clone(), &net)?;
        let zones = topology.scenario.zones.len();
        let lists_of_tier =
            |tier| (0..zones).map(|zone| (fleet.discovery(tier, zone), fleet.list(tier, zone))).collect();
        let discovery = (0..topology.tiers.len()).map(lists_of_tier).collect();
        let address = |spec: &crate::model::MachineSpec| spec.proxy.map(|_| net.address()).transpose();
        let children = Children(Arc::new(Inner {
            program: setting.program,
            limits: setting.limits,
            folder: Mutex::new(Some(TempDir::with_prefix("olivecart-lab-")?)),
            addresses: topology.machines.iter().map(address).collect::<io::Result<_>>()?,
            discovery,
            running: Mutex::default(),
            tracks: Mutex::default(),
            started: AtomicU64::new(0),
            topology: topology.clone(),
        }));
        fleet.attach(Arc::new(children.clone())).await?;
        let fronts = if setting.fronts { start_fronts(&topology, &children).await? } else { Vec::new() };
        let sampled = children.clone();
        let sampler = tokio::spawn(async move {
            let mut ticks = tokio::time::interval(Tracks::PERIOD);
            loop {
                ticks.tick().await;
                sampled.sample();
            }
        });
        Ok(Testbed { topology, fleet, children, fronts, sampler })
    }

    /// Returns the first tier's proxies.
    pub fn fronts(&self) -> &[Target] {
        &self.fronts
    }

    /// Returns the servers and discovery.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the configuration of a first-tier proxy that is started outside of the testbed and listens on
    /// `listen`.
    pub fn config_of_front(&self, machine: u32, listen: SocketAddr) -> Option<serde_json::Value> {
        let zone = self.topology.machines.get(machine as usize)?.zone as usize;
        let (discovery, known) = &self.children.0.discovery[0][zone];
        let name = self.topology.proxy_name(machine);
        let (seed, limits) = (mix(self.topology.seed, machine.into()), self.children.0.limits);
        let start = Start { name: &name, listen, discovery: *discovery, seed, known, limits };
        config(&self.topology, machine, &start)
    }

    /// Begins the run at a time; see [`Fleet::begin`].
    pub fn begin(&self, at: Instant) {
        self.fleet.begin(at);
    }

    /// Creates the load of the scenario's clients on the first tier's proxies.
    ///
    /// # Errors
    /// As [`Load::new`].
    pub fn load(&self, options: Options) -> Result<Load, LoadError> {
        Load::new(self.topology.clone(), self.fronts.clone(), options)
    }

    /// Returns what the servers have recorded so far.
    pub fn record(&self) -> Record {
        self.fleet.record()
    }

    /// Returns the names of the servers and first-tier proxies that do not run.
    pub fn down(&self) -> Vec<String> {
        let mut down = self.fleet.down();
        let running = lock(&self.children.0.running);
        let stopped = (0..self.fronts.len() as u32).filter(|machine| !running.contains_key(machine));
        down.extend(stopped.map(|machine| self.topology.proxy_name(machine)));
        down
    }

    /// Returns the resource usage of each proxy so far.
    pub fn tracks(&self) -> Vec<Track> {
        self.children.sample();
        lock(&self.children.0.tracks).all().to_vec()
    }

    /// Returns the failures that no fault of the scenario caused: proxies that ended or did not start.
    pub fn unexpected_failures(&self) -> Vec<String> {
        let mut unexpected_failures = self.fleet.unexpected_failures();
        let machines: Vec<u32> = lock(&self.children.0.running).keys().copied().collect();
        unexpected_failures
            .extend(machines.iter().filter_map(|m| self.children.check(*m).err()).map(|e| e.to_string()));
        unexpected_failures
    }

    /// Adds what the servers recorded, and the unexpected failures, to a load's report.
    pub fn complete(&self, report: &mut Report) {
        self.record().enter(&mut report.result, &self.topology.scenario);
        report.result.unsound.extend(self.unexpected_failures());
    }

    /// Shuts the proxies down, and kills those that do not exit in time.
    pub async fn shut_down(self) {
        let mut running = std::mem::take(&mut *lock(&self.children.0.running));
        running.values().for_each(Child::terminate);
        let end = Instant::now() + SHUTDOWN_TIMEOUT;
        for child in running.values_mut() {
            child.wait_for_exit(end.saturating_duration_since(Instant::now())).await;
        }
    }
}

impl Drop for Testbed {
    fn drop(&mut self) {
        self.sampler.abort();
        // Aborted tasks that have not ended yet may still keep a reference to the children.
        let folder = lock(&self.children.0.folder).take();
        lock(&self.children.0.running).clear();
        drop(folder);
    }
}

async fn start_fronts(topology: &Topology, children: &Children) -> Result<Vec<Target>, TestbedError> {
    let fronts = topology.fronts.iter().flatten().copied();
    let start = |machine: u32| {
        let zone = topology.machines[machine as usize].zone as usize;
        let started = children.start(machine);
        async move { started.await.map(|addr| (machine, Target { addr, zone: Some(zone) })) }
    };
    let mut started = try_join_all(fronts.map(start)).await.map_err(TestbedError::Front)?;
    started.sort_by_key(|(machine, _)| *machine);
    Ok(started.into_iter().map(|(_, target)| target).collect())
}
