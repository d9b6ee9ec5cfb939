//! Owns the decisions of one cluster: puts every event to them in order, does what they answer, and keeps
//! their timers. What it shares with other clusters' is [`Shared`].

use crate::admin_overrides::{AddressedEntry, AdminOverrides, UnknownEndpoint};
use crate::backends::Backends;
use crate::bodies::BodyMemoryLimit;
use crate::call::Verdict;
use crate::clock::Clock;
use crate::descriptors::Descriptors;
use crate::discovery::{Discovery, Subscriber};
use crate::invariant::{check_invariant, take_violations};
use crate::membership::{Endpoint, News};
use crate::platform::registry;
use crate::stages::book::Book;
use crate::stages::context::{Context, Decisions, Limits};
use crate::stages::{route, send};
use crate::start_times::{StartTime, StartTimes};
use crate::stats::{Pool, Stats};
use crate::trace;
use olivecart_decisions::{
    Action, Balancer, Discovery as Mode, EndpointEntry, EndpointState, EndpointStatus, EndpointUpdate, Event,
    LearnedState, Nanos, Settings, Timer,
};
use olivecart_settings::Site;
use slog::{Logger, debug, error, info};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::sleep_until;

/// How often it is seen whether a cluster that was removed has requests still.
const LINGERS: Duration = Duration::from_millis(100);

/// What all clusters share.
pub struct Shared {
    /// The one clock.
    pub clock: Clock,
    /// Settings and names.
    pub site: Rc<RefCell<Site>>,
    /// Open requests: an id stands for one request, whichever cluster it is put to.
    pub book: Rc<Book>,
    /// The budget for connections.
    pub descriptors: Rc<Descriptors>,
    /// The memory for long bodies.
    pub budget: Rc<BodyMemoryLimit>,
    /// The figures, where anybody reads them.
    pub stats: Option<Arc<Stats>>,
    /// What an earlier process had out by hand, and had put back.
    pub by_hand: (BTreeSet<String>, BTreeMap<String, Nanos>),
    /// When it knew its list to be complete last, and when endpoints started for it.
    pub starts: (Option<Nanos>, BTreeMap<String, StartTime>),
}

/// The decisions of one cluster and all that they act on.
pub struct Driver {
    /// What the stages share.
    pub context: Rc<Context>,
    shared: Rc<Shared>,
    balancer: RefCell<Balancer>,
    /// What operators said over the list.
    overrides: RefCell<AdminOverrides>,
    /// When its endpoints started.
    starts: RefCell<StartTimes>,
    /// Where the platform's own cluster comes from.
    discovery: Option<Discovery>,
    /// Of the list that is held.
    version: Cell<u64>,
    events: RefCell<VecDeque<Event>>,
    running: Cell<bool>,
    /// By due time, then in the order asked for.
    timers: RefCell<BTreeMap<(Nanos, u64), Timer>>,
    asked: Cell<u64>,
    earlier: Notify,
    retired: Notify,
    log: Logger,
}

impl Driver {
    /// Starts the decisions of a cluster without endpoints, and the tasks that serve them. `discovery` is
    /// where its endpoints come from, unless somebody brings them.
    pub fn start(
        shared: &Rc<Shared>,
        settings: Settings,
        seed: u64,
        discovery: Option<SocketAddr>,
        log: Logger,
    ) -> Rc<Driver> {
        let site = shared.site.borrow();
        let connect_timeout = Duration::from_nanos(settings.limits.connect_timeout);
        let backends =
            Backends::new(connect_timeout, site.idle_close, shared.descriptors.clone(), log.clone());
        let limits =
            Limits { open_requests: site.max_open_requests, second_copies: settings.limits.hedging_enabled };
        let driver = Rc::new_cyclic(|this: &Weak<Driver>| Driver {
            context: Rc::new(Context::new(
                this.clone(),
                shared.book.clone(),
                backends,
                limits,
                shared.budget.clone(),
                shared.stats.clone(),
            )),
            shared: shared.clone(),
            overrides: RefCell::new(AdminOverrides::restored(&shared.by_hand.0, &shared.by_hand.1)),
            starts: RefCell::new(StartTimes::restored(shared.starts.0, &shared.starts.1)),
            version: Cell::new(0),
            balancer: RefCell::new(Balancer::new(settings, seed, shared.clock.now())),
            discovery: discovery.map(|at| Discovery::new(at, this.clone(), seed, log.clone())),
            events: RefCell::default(),
            running: Cell::new(false),
            timers: RefCell::default(),
            asked: Cell::new(0),
            earlier: Notify::new(),
            retired: Notify::new(),
            log,
        });
        let timers = actix_rt::spawn(driver.clone().keep_timers());
        actix_rt::spawn(driver.clone().keep_house(timers));
        driver
    }

    /// Takes in the list as it was last known, and follows it from there.
    pub fn follow(&self, known: &News) {
        self.list(known, EndpointUpdate::Cached);
        if self.shared.site.borrow().settings.discovery == Mode::Automatic {
            self.watch(true); // the decisions take for granted that changes come
        }
    }

    /// Takes in the list as another process has it at this moment and what its decisions have learned, and follows it
    /// at once: it is as good as told.
    pub fn take_over(&self, list: &News, knowledge: Option<&LearnedState>) {
        self.list(list, EndpointUpdate::Snapshot);
        knowledge.into_iter().for_each(|knowledge| self.balancer.borrow_mut().restore(knowledge));
        self.watch(true);
    }

    /// What the decisions have learned.
    pub fn knowledge(&self) -> LearnedState {
        self.balancer.borrow().learned_state()
    }

    /// The list as it is held, in discovery's form.
    pub fn held_list(&self) -> String {
        let (overrides, site) = (self.overrides.borrow(), self.shared.site.borrow());
        let starts = self.starts.borrow();
        let endpoint = |(entry, addr): &'_ AddressedEntry| Endpoint {
            name: entry.name.to_string().into(),
            state: entry.state,
            zone: site.zones.name(entry.zone.0.into()).map_or("".into(), |name| name.to_string().into()),
            kind: site.kinds.name(entry.kind.0.into()).map_or("".into(), |name| name.to_string().into()),
            cell: entry.cell.0,
            size: entry.size,
            started: starts.listed(&entry.name, entry.started),
            addr: *addr,
        };
        let endpoints = overrides.listed().map(endpoint).collect();
        registry::write(&News { version: self.version.get(), full: true, endpoints })
    }

    /// Who is out by hand, and who was put back when.
    pub fn by_hand(&self) -> (Vec<String>, Vec<(String, Nanos)>) {
        let overrides = self.overrides.borrow();
        let (out, back) = overrides.overrides();
        let back = back.iter().map(|(name, at)| (name.to_string(), *at)).collect();
        (out.map(|name| name.to_string()).collect(), back)
    }

    /// Endpoints that count as started at another time than the list says.
    pub fn start_times(&self) -> Vec<(String, StartTime)> {
        self.starts.borrow().amended().collect()
    }

    /// When the list was last known to be complete.
    pub fn list_complete_at(&self) -> Option<Nanos> {
        self.starts.borrow().complete_at()
    }

    /// Another address of discovery's holds from now on.
    pub fn adopt(&self, discovery: SocketAddr) {
        self.discovery.iter().for_each(|own| own.set_address(discovery));
    }

    /// Takes in a list or a change, and tells the decisions.
    fn list(&self, news: &News, change: impl Fn(Vec<EndpointEntry>) -> EndpointUpdate) {
        let (version, named) = (news.version, news.endpoints.len());
        debug!(self.log, "list"; "version" => version, "full" => news.full, "entries" => named);
        if news.full {
            self.context.backends.forget_all();
            self.overrides.borrow_mut().begin_snapshot();
        }
        self.version.set(version);
        self.discovery.iter().for_each(|discovery| discovery.set_version(version));
        let mut entries = Vec::with_capacity(named);
        for endpoint in &news.endpoints {
            let entry = self.dated(numbered(&mut self.shared.site.borrow_mut(), endpoint));
            let entry = self.overrides.borrow_mut().apply(entry, endpoint.addr);
            trace::listed(&self.log, &entry);
            self.place(&entry, endpoint.addr);
            entries.push(entry);
        }
        self.bound_start_times();
        self.tell_list(change(entries));
    }

    /// Takes in changed endpoints in the numbers of whoever brings them, and tells the decisions.
    pub fn change(&self, changed: impl Iterator<Item = (EndpointEntry, Option<SocketAddr>)>) {
        let noted = |(entry, addr): (EndpointEntry, _)| {
            let entry = self.overrides.borrow_mut().apply(self.dated(entry), addr);
            self.place(&entry, addr);
            entry
        };
        let changed = changed.map(noted).collect();
        self.bound_start_times();
        self.tell_list(EndpointUpdate::Delta(changed));
    }

    /// An endpoint with the start time that counts for it.
    fn dated(&self, entry: EndpointEntry) -> EndpointEntry {
        let now = self.shared.clock.now();
        let started = self.starts.borrow_mut().effective(&entry.name, entry.started, now);
        EndpointEntry { started, ..entry }
    }

    fn bound_start_times(&self) {
        let overrides = self.overrides.borrow();
        self.starts.borrow_mut().bound(|name| overrides.is_listed(name));
    }

    fn place(&self, entry: &EndpointEntry, addr: Option<SocketAddr>) {
        self.context.backends.place(entry.id, addr, entry.started, entry.state == EndpointState::Ready);
    }

    /// Tells the decisions of a change of the list, once it is noted here.
    fn tell_list(&self, change: EndpointUpdate) {
        self.context.set_all_out(self.overrides.borrow().detaches_all_ready());
        self.tell(Event::Endpoints(change));
    }

    /// Leaves an endpoint out by hand; the decisions know of it on return.
    ///
    /// # Errors
    /// It is not of this cluster.
    pub fn detach(&self, name: &str) -> Result<(), UnknownEndpoint> {
        let changed = self.overrides.borrow_mut().detach(name)?;
        self.change_one(changed);
        Ok(())
    }

    /// The same for one that another process lists, and this one not yet.
    pub fn detach_ahead(&self, name: &str) {
        self.overrides.borrow_mut().detach_unlisted(name);
    }

    /// Puts an endpoint back by hand, and checks it at once.
    ///
    /// # Errors
    /// It is not of this cluster.
    pub fn attach(&self, name: &str) -> Result<(), UnknownEndpoint> {
        let changed = self.overrides.borrow_mut().attach(name, self.shared.clock.now())?;
        let takes = changed
            .as_ref()
            .filter(|(entry, _)| entry.state == EndpointState::Ready)
            .map(|(entry, _)| entry.id);
        self.change_one(changed);
        if let Some(endpoint) =
            takes.filter(|_| self.shared.site.borrow().settings.limits.health_checks_enabled)
        {
            actix_rt::spawn(send::probe(self.context.clone(), endpoint));
        }
        Ok(())
    }

    fn change_one(&self, changed: Option<(EndpointEntry, Option<SocketAddr>)>) {
        if let Some((entry, addr)) = changed {
            trace::listed(&self.log, &entry);
            self.place(&entry, addr);
            self.tell_list(EndpointUpdate::Delta(vec![entry]));
        }
    }

    /// The list's size, and how many of it are avoided now.
    pub fn pool(&self) -> Pool {
        let balancer = self.balancer.borrow();
        let avoids = |endpoint| {
            matches!(
                balancer.endpoint_status(endpoint),
                EndpointStatus::DrainingOrRemoved
                    | EndpointStatus::Unhealthy
                    | EndpointStatus::Ejected { .. }
            )
        };
        self.overrides.borrow().pool(avoids)
    }

    /// The cluster is no more: nothing new goes to its endpoints. What was taken in finishes, or fails by its
    /// own deadline; then the tasks end, and nothing of the cluster is left.
    pub fn retire(&self) {
        self.context.backends.close();
        self.tell(Event::Endpoints(EndpointUpdate::Snapshot(Vec::new())));
        self.retired.notify_one();
    }

    fn watch(&self, on: bool) {
        self.discovery.iter().for_each(|discovery| discovery.watch(on));
    }

    fn perform(&self, action: Action) {
        trace::action(&self.log, &action);
        let Context { book, backends, .. } = &*self.context;
        match action {
            Action::StartAttempt { request, endpoint, timeout: cap, start_by } => {
                route::route(&self.context, request, endpoint, cap, self.shared.clock.instant(start_by));
            }
            Action::CancelAttempt { request, attempt } => book.cancel(request, attempt),
            Action::Shed { request, retry_after: come_back } => {
                let come_back = Duration::from_nanos(come_back);
                check_invariant(
                    book.finish(request, Verdict::Refused { come_back }),
                    "one verdict a request",
                );
            }
            Action::Fail(request) => {
                check_invariant(book.finish(request, Verdict::Failed), "one verdict a request")
            }
            Action::StartHealthCheck(endpoint) => {
                drop(actix_rt::spawn(send::probe(self.context.clone(), endpoint)))
            }
            Action::SetTimer { at, timer } => self.set_timer(at, timer),
            Action::WatchEndpoints(on) => self.watch(on),
            Action::RefreshEndpoints => self.discovery.iter().for_each(Discovery::refresh),
            Action::CloseIdleConnections(endpoint) => backends.close_idle(endpoint),
            Action::Publish { .. } => check_invariant(false, "copies have no way to talk to each other"),
            Action::Log(text) => info!(self.log, "remark"; "text" => text),
        }
    }

    fn set_timer(&self, at: Nanos, timer: Timer) {
        let mut timers = self.timers.borrow_mut();
        let first = timers.first_key_value().is_none_or(|((due, _), _)| at < *due);
        timers.insert((at, self.asked.replace(self.asked.get() + 1)), timer);
        if first {
            self.earlier.notify_one();
        }
    }

    async fn keep_timers(self: Rc<Self>) {
        loop {
            let due = self.timers.borrow().first_key_value().map(|((due, _), _)| *due);
            match due {
                None => self.earlier.notified().await,
                Some(due) if due > self.shared.clock.now() => {
                    tokio::select! {
                        () = sleep_until(self.shared.clock.instant(due).into()) => {}
                        () = self.earlier.notified() => {}
                    }
                }
                Some(_) => {
                    let timer = self.timers.borrow_mut().pop_first().map(|(_, timer)| timer);
                    timer.into_iter().for_each(|timer| self.tell(Event::TimerFired(timer)));
                }
            }
        }
    }

    /// Lets idle connections go in time, and reports what did not hold.
    async fn keep_house(self: Rc<Self>, timers: JoinHandle<()>) {
        let mut every = tokio::time::interval(Duration::from_secs(1));
        loop {
            tokio::select! {
                _ = every.tick() => {}
                () = self.retired.notified() => break,
            }
            self.context.backends.sweep();
            for (what, times) in take_violations() {
                error!(self.log, "an invariant does not hold"; "what" => what, "times" => times);
            }
        }
        // Requests, attempts and probes hold the context.
        let mut every = tokio::time::interval(LINGERS);
        while Rc::strong_count(&self.context) > 1 {
            every.tick().await;
        }
        timers.abort();
        info!(self.log, "a cluster that was removed has ended its last request");
    }
}

impl Decisions for Driver {
    /// Puts an event to the decisions and does what they answer. What that brings about in turn waits until
    /// it is done: the decisions are never entered twice.
    fn tell(&self, event: Event) {
        self.events.borrow_mut().push_back(event);
        if self.running.replace(true) {
            return;
        }
        loop {
            let Some(event) = self.events.borrow_mut().pop_front() else { break };
            trace::event(&self.log, &event);
            let mut actions = Vec::new();
            let handle = || self.balancer.borrow_mut().handle(self.shared.clock.now(), event, &mut actions);
            if catch_unwind(AssertUnwindSafe(handle)).is_err() {
                // Requests are still answered at their deadline.
                error!(self.log, "the decisions panicked on an event");
            }
            actions.into_iter().for_each(|action| self.perform(action));
        }
        self.running.set(false);
    }
}

impl Subscriber for Driver {
    fn on_update(&self, update: News<'_>) {
        self.list(&update, if update.full { EndpointUpdate::Snapshot } else { EndpointUpdate::Delta });
    }

    fn on_list_complete(&self) {
        self.starts.borrow_mut().list_is_complete(self.shared.clock.now());
    }
}

/// An endpoint in the module's numbers; what is new gets one.
fn numbered(site: &mut Site, endpoint: &Endpoint) -> EndpointEntry {
    site.entry(&olivecart_settings::ListedEndpoint {
        name: &endpoint.name,
        state: endpoint.state,
        zone: &endpoint.zone,
        kind: &endpoint.kind,
        cell: endpoint.cell,
        size: endpoint.size,
        started: endpoint.started,
    })
}

#[cfg(test)]
mod tests;
