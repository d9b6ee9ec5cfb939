//! A whole scenario on loopback: servers and discovery, the proxy beside each server that calls another tier,
//! and the first tier's proxies. Real proxies, as children.

use super::child::{Child, ChildError, becomes_ready};
use super::fleet::{Fleet, FleetError, Proxies, Record};
use super::held;
use super::load::{Load, LoadError, Options, Report, Target};
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

/// A proxy that was asked to leave has left after this, or is killed.
const LEAVES: Duration = Duration::from_secs(5);

/// Why a stage is not set.
#[derive(Debug, thiserror::Error)]
pub enum StageError {
    /// No socket, or no folder for the children's files.
    #[error("the stage cannot be set: {0}")]
    Io(#[from] io::Error),
    /// The servers do not start.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// A first-tier proxy did not come up.
    #[error("{0}")]
    Front(String),
    /// There is no load.
    #[error(transparent)]
    Load(#[from] LoadError),
}

/// The real proxies of a stage.
#[derive(Clone)]
struct Children(Arc<Inner>);

struct Inner {
    topology: Arc<Topology>,
    program: PathBuf,
    limits: Limits,
    /// For the children's files; none once it is all over.
    folder: Mutex<Option<TempDir>>,
    /// By machine: where its proxy listens.
    addresses: Vec<Option<SocketAddr>>,
    /// Where discovery is, and the first list, by tier and zone.
    discovery: Vec<Vec<(SocketAddr, Document)>>,
    /// By machine.
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
        let folder = held(&inner.folder);
        let folder = folder.as_ref().ok_or_else(no_proxy)?;
        let mut running = held(&inner.running);
        // Danger: one that only vanished still has the address.
        running.remove(&machine);
        running.insert(machine, Child::start(&inner.program, folder.path(), &name, listen, &config)?);
        Ok(listen)
    }

    /// Whether a child is there and runs.
    fn check(&self, machine: u32) -> Result<(), ChildError> {
        match held(&self.0.running).get_mut(&machine) {
            Some(child) => child.check(),
            None => Ok(()), // it died as the scenario says
        }
    }

    fn sample(&self) {
        let running = held(&self.0.running);
        let pids: Vec<_> = running.values().map(|child| (child.name().to_owned(), child.pid())).collect();
        drop(running);
        held(&self.0.tracks).take(pids);
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
                    let late = held(&children.0.running).get(&machine).map(Child::not_ready);
                    late.map_or(Ok(listen), |e| Err(e.to_string()))
                }
                Err(e) => Err(e.to_string()),
            }
        })
    }

    fn dies(&self, machine: u32, silently: bool) {
        let mut running = held(&self.0.running);
        if silently {
            running.get(&machine).into_iter().for_each(Child::freeze);
        } else {
            running.remove(&machine);
        }
    }
}

/// How a stage is set.
#[derive(Clone, Debug)]
pub struct Setting {
    /// The program `olivecart`.
    pub program: PathBuf,
    /// What its processes are told that they may use.
    pub limits: Limits,
    /// With the first tier's proxies.
    pub fronts: bool,
}

/// A scenario that is up. Dropped, it is gone, children included.
pub struct Stage {
    topology: Arc<Topology>,
    fleet: Fleet,
    children: Children,
    fronts: Vec<Target>,
    sampler: JoinHandle<()>,
}

impl Stage {
    /// Brings all of a scenario up. All is well until [`Stage::begin`].
    ///
    /// # Errors
    /// Something does not come up.
    pub async fn set(topology: Arc<Topology>, setting: Setting) -> Result<Stage, StageError> {
        let net = Loopback::new();
        let mut fleet = Fleet::start(topology.clone(), &net)?;
        let zones = topology.scenario.zones.len();
        let of_tier =
            |tier| (0..zones).map(|zone| (fleet.discovery(tier, zone), fleet.list(tier, zone))).collect();
        let discovery = (0..topology.tiers.len()).map(of_tier).collect();
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
            let mut every = tokio::time::interval(Tracks::PERIOD);
            loop {
                every.tick().await;
                sampled.sample();
            }
        });
        Ok(Stage { topology, fleet, children, fronts, sampler })
    }

    /// The first tier's proxies.
    pub fn fronts(&self) -> &[Target] {
        &self.fronts
    }

    /// Servers and discovery.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// The configuration file of a first-tier proxy that somebody else starts, to listen at an address.
    pub fn config_of_front(&self, machine: u32, listen: SocketAddr) -> Option<serde_json::Value> {
        let zone = self.topology.machines.get(machine as usize)?.zone as usize;
        let (discovery, known) = &self.children.0.discovery[0][zone];
        let name = self.topology.proxy_name(machine);
        let (seed, limits) = (mix(self.topology.seed, machine.into()), self.children.0.limits);
        let start = Start { name: &name, listen, discovery: *discovery, seed, known, limits };
        config(&self.topology, machine, &start)
    }

    /// The run begins at this time; see [`Fleet::begin`].
    pub fn begin(&self, at: Instant) {
        self.fleet.begin(at);
    }

    /// A load of the scenario's clients on the first tier's proxies.
    ///
    /// # Errors
    /// As [`Load::new`].
    pub fn load(&self, options: Options) -> Result<Load, LoadError> {
        Load::new(self.topology.clone(), self.fronts.clone(), options)
    }

    /// What servers saw so far.
    pub fn record(&self) -> Record {
        self.fleet.record()
    }

    /// Who does not run at present: servers and first-tier proxies.
    pub fn down(&self) -> Vec<String> {
        let mut down = self.fleet.down();
        let running = held(&self.children.0.running);
        let gone = (0..self.fronts.len() as u32).filter(|machine| !running.contains_key(machine));
        down.extend(gone.map(|machine| self.topology.proxy_name(machine)));
        down
    }

    /// What each proxy has used so far.
    pub fn tracks(&self) -> Vec<Track> {
        self.children.sample();
        held(&self.children.0.tracks).all().to_vec()
    }

    /// What went wrong that the scenario did not mean to: proxies that ended by themselves, or did not come
    /// up.
    pub fn troubles(&self) -> Vec<String> {
        let mut troubles = self.fleet.troubles();
        let machines: Vec<u32> = held(&self.children.0.running).keys().copied().collect();
        troubles.extend(machines.iter().filter_map(|m| self.children.check(*m).err()).map(|e| e.to_string()));
        troubles
    }

    /// Enters what servers saw, and what went wrong that should not have, into a load's report.
    pub fn complete(&self, report: &mut Report) {
        self.record().enter(&mut report.result, &self.topology.scenario);
        report.result.unsound.extend(self.troubles());
    }

    /// Ends it: proxies are asked to leave, and killed if they have not after a while.
    pub async fn end(self) {
        let mut running = std::mem::take(&mut *held(&self.children.0.running));
        running.values().for_each(Child::terminate);
        let end = Instant::now() + LEAVES;
        for child in running.values_mut() {
            child.ends_within(end.saturating_duration_since(Instant::now())).await;
        }
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        self.sampler.abort();
        // Tasks that have not noticed their end yet may still hold the children.
        let folder = held(&self.children.0.folder).take();
        held(&self.children.0.running).clear();
        drop(folder);
    }
}

async fn start_fronts(topology: &Topology, children: &Children) -> Result<Vec<Target>, StageError> {
    let fronts = topology.fronts.iter().flatten().copied();
    let start = |machine: u32| {
        let zone = topology.machines[machine as usize].zone as usize;
        let started = children.start(machine);
        async move { started.await.map(|addr| (machine, Target { addr, zone: Some(zone) })) }
    };
    let mut started = try_join_all(fronts.map(start)).await.map_err(StageError::Front)?;
    started.sort_by_key(|(machine, _)| *machine);
    Ok(started.into_iter().map(|(_, target)| target).collect())
}
