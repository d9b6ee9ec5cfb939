//! Runs the balancer of one cluster: passes events to it in order, carries out its actions and keeps its
//! timers.
//!
//! [`crate::clusters`] starts one [`ClusterRuntime`] for each cluster. Discovery calls it as a
//! [`Subscriber`], and the stages of requests as an [`EventSink`]. It makes no load-balancing decision
//! itself. The runtimes of all clusters share a [`ProxyState`].

mod actions;
mod endpoint_list;
mod endpoint_updates;
mod maintenance;
mod timers;

use crate::backends::Backends;
use crate::clock::Clock;
use crate::descriptors::Descriptors;
use crate::discovery::{Discovery, Subscriber};
use crate::membership::ListUpdate;
use crate::memory::MemoryAccountant;
use crate::stages::context::{Context, EventSink, Limits};
use crate::stages::request_table::RequestTable;
use crate::start_times::StartTime;
use crate::stats::Stats;
use crate::trace;
use endpoint_list::EndpointList;
use olivecart_decisions::{
    Balancer, Discovery as DiscoveryMode, EndpointUpdate, Event, LearnedState, Nanos, Settings,
};
use olivecart_settings::Site;
use slog::{Logger, error};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;
use timers::TimerQueue;
use tokio::sync::Notify;

/// State that all clusters of the proxy share.
pub struct ProxyState {
    /// The clock that all balancers use.
    pub clock: Clock,
    /// The settings, and the numbering of names.
    pub site: Rc<RefCell<Site>>,
    /// The open requests of all clusters; a request id is unique across clusters.
    pub request_table: Rc<RequestTable>,
    /// The limit on connections to endpoints.
    pub descriptors: Rc<Descriptors>,
    /// The memory of the process.
    pub memory: Rc<MemoryAccountant>,
    /// Metrics; `None` if nothing reads them.
    pub stats: Option<Arc<Stats>>,
    /// The endpoint state of an earlier process.
    pub inherited: InheritedEndpoints,
}

/// The endpoint state of an earlier process. Its times are on the clock that this process continues.
#[derive(Default)]
pub struct InheritedEndpoints {
    /// The names of endpoints that operators detached.
    pub detached: BTreeSet<String>,
    /// When operators attached other endpoints again.
    pub attached_at: BTreeMap<String, Nanos>,
    /// When the list was last known to be complete.
    pub list_complete_at: Option<Nanos>,
    /// Endpoints whose effective start time differs from the listed one.
    pub start_times: BTreeMap<String, StartTime>,
}

/// The configuration of one cluster's runtime.
pub struct RuntimeConfig {
    /// The balancer's settings.
    pub settings: Settings,
    /// Seeds all random choices of the cluster.
    pub seed: u64,
    /// The address of discovery; `None` if the cluster's endpoints come from the catalog.
    pub discovery: Option<SocketAddr>,
    /// The cluster's logger.
    pub log: Logger,
}

/// The balancer of one cluster, with the cluster's connections, endpoint list and timers.
pub struct ClusterRuntime {
    /// What the stages of the cluster's requests share.
    pub context: Rc<Context>,
    shared: Rc<ProxyState>,
    balancer: RefCell<Balancer>,
    endpoints: EndpointList,
    discovery: Option<Discovery>,
    pending_events: RefCell<VecDeque<Event>>,
    handling_event: Cell<bool>,
    timers: TimerQueue,
    retired: Notify,
    log: Logger,
}

impl ClusterRuntime {
    /// Starts a cluster without endpoints, and its timer and maintenance tasks.
    pub fn start(shared: &Rc<ProxyState>, config: RuntimeConfig) -> Rc<ClusterRuntime> {
        let runtime = Rc::new_cyclic(|this: &Weak<ClusterRuntime>| ClusterRuntime::new(this, shared, config));
        let timers = actix_rt::spawn(runtime.clone().run_timers());
        actix_rt::spawn(runtime.clone().run_maintenance(timers));
        runtime
    }

    fn new(this: &Weak<ClusterRuntime>, shared: &Rc<ProxyState>, config: RuntimeConfig) -> ClusterRuntime {
        let RuntimeConfig { settings, seed, discovery, log } = config;
        let site = shared.site.borrow();
        let connect_timeout = Duration::from_nanos(settings.limits.connect_timeout);
        let backends =
            Backends::new(connect_timeout, site.idle_close, shared.descriptors.clone(), log.clone());
        let limits = Limits {
            max_open_requests: site.max_open_requests,
            hedging_enabled: settings.limits.hedging_enabled,
        };
        let context = Context::new(
            this.clone(),
            shared.request_table.clone(),
            backends,
            limits,
            shared.memory.clone(),
            shared.stats.clone(),
        );
        ClusterRuntime {
            context: Rc::new(context),
            shared: shared.clone(),
            balancer: RefCell::new(Balancer::new(settings, seed, shared.clock.now())),
            endpoints: EndpointList::restored(&shared.inherited),
            discovery: discovery.map(|address| Discovery::new(address, this.clone(), seed, log.clone())),
            pending_events: RefCell::default(),
            handling_event: Cell::new(false),
            timers: TimerQueue::default(),
            retired: Notify::new(),
            log,
        }
    }

    /// Applies the list that an earlier process stored, and watches discovery for changes.
    pub fn start_from_cached_list(&self, cached: &ListUpdate) {
        self.apply_list(cached, EndpointUpdate::Cached);
        if self.shared.site.borrow().settings.discovery == DiscoveryMode::Automatic {
            self.set_watch(true); // in this mode the balancer never asks for updates
        }
    }

    /// Applies the list of the predecessor of a hot restart, restores the learned state of its balancer, and
    /// watches discovery at once: the list is as current as one from discovery.
    pub fn start_from_predecessor(&self, list: &ListUpdate, learned_state: Option<&LearnedState>) {
        self.apply_list(list, EndpointUpdate::Snapshot);
        if let Some(learned_state) = learned_state {
            self.balancer.borrow_mut().restore(learned_state);
        }
        self.set_watch(true);
    }

    /// The learned state of the balancer.
    pub fn learned_state(&self) -> LearnedState {
        self.balancer.borrow().learned_state()
    }

    /// Changes the address of discovery.
    pub fn set_discovery_address(&self, address: SocketAddr) {
        if let Some(discovery) = &self.discovery {
            discovery.set_address(address);
        }
    }

    /// Retires a removed cluster: no new attempt is sent to its endpoints. Admitted requests finish, or fail
    /// at their deadlines; then the tasks end and the cluster is dropped.
    pub fn retire(&self) {
        self.context.backends.close();
        self.report(Event::Endpoints(EndpointUpdate::Snapshot(Vec::new())));
        self.retired.notify_one();
    }

    fn set_watch(&self, enabled: bool) {
        if let Some(discovery) = &self.discovery {
            discovery.watch(enabled);
        }
    }

    fn handle_event(&self, event: Event) {
        trace::event(&self.log, &event);
        let mut actions = Vec::new();
        let handle = || self.balancer.borrow_mut().handle(self.shared.clock.now(), event, &mut actions);
        if catch_unwind(AssertUnwindSafe(handle)).is_err() {
            // Open requests still get a response at their deadline.
            error!(self.log, "balancer panicked");
        }
        for action in actions {
            self.perform(action);
        }
    }
}

impl EventSink for ClusterRuntime {
    /// Passes an event to the balancer and carries out the resulting actions. Events that these actions cause
    /// are queued until all actions are carried out, so that the balancer is never re-entered.
    fn report(&self, event: Event) {
        self.pending_events.borrow_mut().push_back(event);
        if self.handling_event.replace(true) {
            return;
        }
        loop {
            let Some(event) = self.pending_events.borrow_mut().pop_front() else { break };
            self.handle_event(event);
        }
        self.handling_event.set(false);
    }
}

impl Subscriber for ClusterRuntime {
    fn on_update(&self, update: ListUpdate<'_>) {
        self.apply_list(&update, if update.full { EndpointUpdate::Snapshot } else { EndpointUpdate::Delta });
    }

    fn on_list_complete(&self) {
        self.endpoints.set_complete(self.shared.clock.now());
    }
}

#[cfg(test)]
mod tests;
