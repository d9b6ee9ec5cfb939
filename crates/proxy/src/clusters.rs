//! All clusters of the proxy: the platform's own, and those that the operators' sources bring.

use crate::bodies::BodyMemoryLimit;
use crate::catalog::{Numbered, Step};
use crate::clock::{Clock, SystemClocks};
use crate::config::Changes;
use crate::console::request::{AdminError, AdminRequest};
use crate::descriptors::Descriptors;
use crate::driver::{Driver, Shared};
use crate::hot_restart::State;
use crate::membership::News;
use crate::operators::{Overrides, REGISTRY, Rules};
use crate::platform::registry;
use crate::stages::choose::Routes;
use crate::stats::{Pool, Stats};
use olivecart_decisions::{CellId, Discovery, EndpointEntry, EndpointId, KindId, Nanos, Settings, ZoneId};
use olivecart_membership::{ClusterName, ClusterSettings};
use olivecart_settings::Site;
use rustc_hash::FxBuildHasher;
use slog::{Logger, crit, info, o, warn};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::hash::BuildHasher;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::sync::mpsc::Receiver;
use tokio::time::interval_at;

/// Endpoints taken in at a time. Each part costs the decisions a look at all endpoints of the cluster (some
/// 1 ms where there are 10,000) and some 1 µs for each endpoint in it.
const PART: usize = 1024;
/// How often all is told to the log.
const REPORT: Duration = Duration::from_secs(60);

/// All clusters, and the way of a request to one.
pub struct Clusters {
    /// The rules, and what of each cluster the stages need.
    pub routes: Rc<Routes>,
    shared: Rc<Shared>,
    /// The platform's own; none if the operators lead nothing there.
    registry: Option<Rc<Driver>>,
    /// Those that sources bring.
    brought: RefCell<BTreeMap<ClusterName, Rc<Driver>>>,
    overrides: BTreeMap<ClusterName, Overrides>,
    seed: u64,
    /// The longest that a part of a change has held the event loop.
    longest: Cell<Duration>,
    log: Logger,
}

impl Clusters {
    /// Starts the platform's own cluster with the list as it was last known. Those of sources come with
    /// their sources' news, see [`follow`](Self::follow).
    ///
    /// Weighed against putting the registry through the catalog too: its watch and its lists are part of the
    /// decisions' interface (they say when to ask, and judge its silence), and without an operators' file it
    /// must stay what it is. So it is a cluster beside the catalog's, which rules can lead to.
    pub fn start(config: Start, log: &Logger) -> Rc<Clusters> {
        let Start { site, clock, seed, descriptors, discovery, known, routing, budget, stats, taken_over } =
            config;
        let inherited = taken_over.unwrap_or_default();
        let shared = Rc::new(Shared {
            clock,
            site,
            book: Rc::default(),
            descriptors,
            budget,
            stats,
            by_hand: (inherited.detached, inherited.attached_at),
            starts: (inherited.list_complete_at, inherited.start_times),
        });
        let Routing { named, rules, overrides } = routing;
        let at = |name: ClusterName| named.iter().position(|known| *known == name).unwrap_or(0);
        let rules = rules.map(at);
        let routes = Rc::new(Routes::new(named.iter().map(|name| Rc::from(name.as_str())), rules));
        let mut clusters = Clusters {
            routes,
            shared,
            registry: None,
            brought: RefCell::default(),
            overrides,
            seed,
            longest: Cell::default(),
            log: log.clone(),
        };
        if let Some(place) = clusters.routes.place(REGISTRY) {
            let name = REGISTRY.into();
            let settings = clusters.settings(&name, &ClusterSettings::default());
            let driver = Driver::start(&clusters.shared, settings, seed, discovery, log.clone());
            clusters.limit(&name, &driver, &ClusterSettings::default());
            place.serve(driver.context.clone());
            match &inherited.list {
                Some(list) => {
                    driver.take_over(&self::known(Some(list), log), inherited.learned_state.as_ref())
                }
                None => driver.follow(&self::known(known.as_deref(), log)),
            }
            clusters.registry = Some(driver);
        }
        Rc::new(clusters)
    }

    /// The platform's own cluster, if anything leads to it.
    #[cfg(test)]
    pub fn own(&self) -> Option<Rc<Driver>> {
        self.registry.clone()
    }

    /// Another address of discovery's holds from now on.
    pub fn adopt(&self, changes: &Changes) {
        self.registry.iter().for_each(|driver| driver.adopt(changes.discovery));
    }

    fn drivers(&self) -> Vec<Rc<Driver>> {
        self.registry.iter().chain(self.brought.borrow().values()).cloned().collect()
    }

    /// Does what an operator asks, in every cluster that has the backend.
    ///
    /// # Errors
    /// None has it.
    pub fn by_hand(&self, call: &AdminRequest) -> Result<(), AdminError> {
        let (target, done): (_, Vec<_>) = match call {
            AdminRequest::Detach(target) => {
                (target, self.drivers().iter().map(|d| d.detach(target)).collect())
            }
            AdminRequest::Attach(target) => {
                (target, self.drivers().iter().map(|d| d.attach(target)).collect())
            }
            AdminRequest::Ready | AdminRequest::Vars => return Ok(()), // which change nothing
        };
        if done.iter().any(Result::is_ok) { Ok(()) } else { Err(AdminError::Unknown(target.clone())) }
    }

    /// Does what an operator asked of another process. Danger: a change of the list reaches one process before the
    /// other; what only that one lists when it is taken out would be used here from when it is listed here.
    pub fn by_hand_elsewhere(&self, call: &AdminRequest) {
        if let (AdminRequest::Detach(target), Err(_)) = (call, self.by_hand(call)) {
            self.drivers().iter().for_each(|driver| driver.detach_ahead(target));
        }
    }

    /// What the next process must know.
    pub fn state(&self) -> State {
        let learned_state = self.registry.as_ref().map(|driver| driver.knowledge());
        let mut state = State {
            learned_state,
            list: self.registry.as_ref().map(|driver| driver.held_list()),
            clock: Some(self.shared.clock.reading(&SystemClocks)),
            list_complete_at: self.registry.as_ref().and_then(|driver| driver.list_complete_at()),
            ..State::default()
        };
        self.drivers().iter().for_each(|driver| state.start_times.extend(driver.start_times()));
        for (out, back) in self.drivers().iter().map(|driver| driver.by_hand()) {
            state.detached.extend(out);
            state.attached_at.extend(back);
        }
        state
    }

    /// Other shares of the descriptors hold from now on.
    pub fn limit_connections(&self, most: usize) {
        self.shared.descriptors.adopt(most);
    }

    /// All lists' size, and how many of them are avoided now.
    pub fn pool(&self) -> Pool {
        self.drivers().iter().map(|driver| driver.pool()).fold(Pool::default(), |all, one| Pool {
            size: all.size + one.size,
            ejected: all.ejected + one.ejected,
        })
    }

    /// Does what the catalog says, for good.
    pub async fn follow(self: Rc<Self>, mut steps: Receiver<Step>) {
        while let Some(step) = steps.recv().await {
            self.apply(step).await;
        }
        crit!(self.log, "the catalog has ended; endpoints stay as they are");
    }

    /// Does one step.
    pub async fn apply(&self, step: Step) {
        match step {
            Step::Added(cluster, limits) => self.add(cluster, &limits),
            Step::Removed(cluster) => self.remove(&cluster),
            Step::Changed { cluster, limits, stops, takes, words } => {
                let Some(driver) = self.brought.borrow().get(&cluster).cloned() else { return };
                limits.iter().for_each(|limits| self.limit(&cluster, &driver, limits));
                self.change(&driver, stops, takes).await;
                if let Some(words) = words {
                    info!(self.log, "cluster changed"; "cluster" => %cluster, "last" => words);
                }
            }
            Step::Renewed { cluster, limits, stops, takes } => {
                let old = self.brought.borrow().get(&cluster).cloned();
                let driver = self.start_one(&cluster, &limits);
                // Filled before requests are put to it; what is open at the old one ends there.
                self.change(&driver, stops, takes).await;
                self.serve(cluster, driver);
                old.iter().for_each(|old| old.retire());
            }
        }
    }

    /// Takes in changed endpoints: those that stop in one turn, the others in parts, between which the event
    /// loop does what else is due. Danger: 10,000 in one piece hold it for over 5 ms.
    async fn change(&self, driver: &Driver, stops: Vec<Numbered>, takes: Vec<Numbered>) {
        let (mut stops, mut takes) = (stops.into_iter(), takes.into_iter());
        loop {
            let began = Instant::now();
            let part: Vec<Numbered> = stops.by_ref().chain(takes.by_ref().take(PART)).collect();
            let site = &self.shared.site;
            driver.change(part.iter().map(|one| (entry(&mut site.borrow_mut(), one), one.endpoint.address)));
            drop(part);
            self.longest.set(self.longest.get().max(began.elapsed()));
            if takes.len() == 0 {
                return;
            }
            tokio::task::yield_now().await;
        }
    }

    fn add(&self, cluster: ClusterName, limits: &ClusterSettings) {
        let driver = self.start_one(&cluster, limits);
        self.serve(cluster.clone(), driver);
        info!(self.log, "cluster added"; "cluster" => %cluster);
    }

    fn start_one(&self, cluster: &ClusterName, limits: &ClusterSettings) -> Rc<Driver> {
        let settings = self.settings(cluster, limits);
        let seed = self.seed ^ FxBuildHasher.hash_one(cluster.as_str());
        let log = self.log.new(o!("cluster" => cluster.as_str().to_owned()));
        let driver = Driver::start(&self.shared, settings, seed, None, log);
        self.limit(cluster, &driver, limits);
        driver
    }

    fn serve(&self, cluster: ClusterName, driver: Rc<Driver>) {
        self.routes.place(cluster.as_str()).iter().for_each(|place| place.serve(driver.context.clone()));
        self.brought.borrow_mut().insert(cluster, driver);
    }

    fn remove(&self, cluster: &ClusterName) {
        self.routes.place(cluster.as_str()).iter().for_each(|place| place.remove());
        let driver = self.brought.borrow_mut().remove(cluster);
        driver.iter().for_each(|driver| driver.retire());
        info!(self.log, "cluster removed"; "cluster" => %cluster);
    }

    /// What the decisions of a cluster are told at its start.
    fn settings(&self, cluster: &ClusterName, limits: &ClusterSettings) -> Settings {
        let own = self.overrides.get(cluster).copied().unwrap_or_default();
        let mut settings = self.shared.site.borrow().settings.clone();
        if cluster.as_str() != REGISTRY {
            settings.discovery = Discovery::Automatic; // the catalog says what there is
        }
        let site = &mut settings.limits;
        if let Some(time) = own.over(limits).connect_timeout {
            site.connect_timeout = time.as_nanos() as Nanos;
        }
        site.max_attempts = own.max_attempts.map_or(site.max_attempts, |most| site.max_attempts.min(most));
        site.health_checks_enabled &= own.probes.unwrap_or(true);
        settings
    }

    /// Limits that can change while a cluster serves.
    fn limit(&self, cluster: &ClusterName, driver: &Driver, limits: &ClusterSettings) {
        let limits = self.overrides.get(cluster).copied().unwrap_or_default().over(limits);
        let usual = Duration::from_nanos(self.shared.site.borrow().settings.limits.connect_timeout);
        let most = |limit: Option<u32>| limit.map_or(usize::MAX, |most| most as usize);
        let connect_timeout = limits.connect_timeout.unwrap_or(usual);
        driver.context.backends.adopt(connect_timeout, most(limits.max_connections));
        driver.context.adopt(most(limits.max_requests));
        if limits.max_pending_requests.is_some() || limits.max_retries.is_some() {
            info!(self.log, "limits that mean nothing here: max_pending_requests, max_retries; the decisions \
                hold and repeat requests by budgets of their own"; "cluster" => %cluster);
        }
    }

    /// Tells the log of all clusters, every minute and when asked.
    pub async fn keep_reporting(self: Rc<Self>, asked: Rc<Notify>) {
        let mut every = interval_at(tokio::time::Instant::now() + REPORT, REPORT);
        loop {
            tokio::select! {
                _ = every.tick() => {}
                () = asked.notified() => {}
            }
            for place in self.routes.places() {
                let (requests, connections) = place
                    .context()
                    .map_or((0, 0), |context| (context.open_requests(), context.backends.connections()));
                info!(self.log, "traffic"; "cluster" => &*place.cluster, "there" => place.context().is_some(),
                    "open_requests" => requests, "connections" => connections, "refused" => place.refused());
            }
            info!(self.log, "traffic"; "connections" => self.shared.descriptors.open(),
                "longest_part_us" => self.longest.get().as_micros() as u64);
        }
    }
}

/// An endpoint in the words of the decisions.
fn entry(site: &mut Site, Numbered { number, state, endpoint }: &Numbered) -> EndpointEntry {
    EndpointEntry {
        id: EndpointId(*number),
        name: endpoint.name.as_str().into(),
        state: *state,
        zone: ZoneId(site.zones.id(endpoint.zone.as_str()) as u16),
        kind: KindId(site.kinds.id(endpoint.kind.as_str()) as u16),
        cell: CellId(endpoint.cell),
        size: endpoint.weight,
        started: endpoint.started,
    }
}

/// What it takes to start.
pub struct Start {
    /// Settings and names.
    pub site: Rc<RefCell<Site>>,
    /// The one clock.
    pub clock: Clock,
    /// Feeds all chance.
    pub seed: u64,
    /// What connections to endpoints count against.
    pub descriptors: Rc<Descriptors>,
    /// Discovery's address; none where no platform's cluster is led to.
    pub discovery: Option<SocketAddr>,
    /// The platform's list as this proxy last had it, in discovery's form.
    pub known: Option<String>,
    /// Which request goes where.
    pub routing: Routing,
    /// The memory for long bodies.
    pub budget: Rc<BodyMemoryLimit>,
    /// The figures, where anybody reads them.
    pub stats: Option<Arc<Stats>>,
    /// What an earlier process knew that this one takes over from.
    pub taken_over: Option<State>,
}

/// Which request goes where, and what clusters may use.
pub struct Routing {
    /// The clusters that anything leads to, the default first.
    pub named: Vec<ClusterName>,
    /// The rules.
    pub rules: Rules<ClusterName>,
    /// What they may use.
    pub overrides: BTreeMap<ClusterName, Overrides>,
}

impl Default for Routing {
    /// All goes to the platform's own.
    fn default() -> Routing {
        let (rules, overrides) = Default::default();
        Routing { named: vec![REGISTRY.into()], rules, overrides }
    }
}

/// The list as this proxy last had it.
fn known<'a>(text: Option<&'a str>, log: &Logger) -> News<'a> {
    match text.map(|text| registry::read(text.as_bytes())) {
        Some(Ok(news)) => news,
        Some(Err(e)) => {
            warn!(log, "the known list is unreadable and taken as empty"; "known" => %e);
            News::nothing()
        }
        None => News::nothing(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use slog::Discard;

    #[test]
    fn what_another_process_left_out_before_it_was_listed_here_is_out_once_it_is() {
        let settings =
            r#"{"grades":[{"name":"v","aim-ns":1,"give-up-ns":2,"effect":"repeatable"}],"dcs":["z"]}"#;
        let start = Start {
            site: Rc::new(RefCell::new(Site::read(settings).expect("settings"))),
            clock: Clock::start(),
            seed: 0,
            descriptors: Rc::new(Descriptors::new(1)),
            discovery: None,
            known: None,
            routing: Routing::default(),
            budget: Rc::default(),
            stats: None,
            taken_over: None,
        };
        let server = |id| format!(r#"{{"id":"{id}","addr":"127.0.0.1:1","state":"ready","zone":"z"}}"#);
        let list = format!(r#"{{"version":2,"full":true,"servers":[{},{}]}}"#, server("a"), server("b"));
        actix_rt::System::new().block_on(async {
            let clusters = Clusters::start(start, &Logger::root(Discard, o!()));
            clusters.by_hand_elsewhere(&AdminRequest::Detach("a".into()));
            let registry = clusters.registry.as_ref().expect("the platform's own");
            registry.follow(&known(Some(&list), &clusters.log));
            assert_eq!(clusters.pool(), Pool { size: 2, ejected: 1 });
        });
    }
}
