//! Owns the decisions: puts every event to them in order, does what they answer, and keeps their timers.

use crate::backends::Backends;
use crate::call::Verdict;
use crate::clock::Clock;
use crate::config::{Config, Sockets};
use crate::discovery::{Discovery, News};
use crate::invariant::{must, take_broken};
use crate::platform::registry;
use crate::stages::{book::Book, route, send};
use olivecart_decisions::{Action, Balancer, Discovery as Mode, Event, ListChange, Nanos, State, Timer};
use olivecart_settings::Site;
use slog::{Logger, debug, error, info, warn};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::sleep_until;

/// The decisions and all that they act on.
pub struct Driver {
    /// Accounts of open requests.
    pub book: Book,
    /// Endpoints and connections.
    pub backends: Backends,
    /// Settings and names.
    pub site: RefCell<Site>,
    /// Open requests at a time, at most.
    pub most_held: usize,
    /// Two attempts of a request may be out at once.
    pub second_copies: bool,
    clock: Clock,
    balancer: RefCell<Balancer>,
    discovery: Discovery,
    events: RefCell<VecDeque<Event>>,
    running: Cell<bool>,
    listed: Cell<bool>,
    /// By due time, then in the order asked for.
    timers: RefCell<BTreeMap<(Nanos, u64), Timer>>,
    asked: Cell<u64>,
    earlier: Notify,
    log: Logger,
}

impl Driver {
    /// Starts the decisions with the list as it was last known, and the tasks that serve them.
    pub fn start(config: Config, log: Logger) -> Rc<Driver> {
        let (clock, mut site) = (Clock::start(), config.site);
        let settings = site.settings.clone();
        let known = config.known.map(|text| registry::read(&mut site, text.as_bytes()));
        let limits = &settings.limits;
        let connect_timeout = Duration::from_nanos(limits.connect_timeout);
        let driver = Rc::new(Driver {
            book: Book::default(),
            backends: Backends::new(connect_timeout, site.idle_close, config.sockets.backends),
            most_held: site.most_held,
            second_copies: limits.second_copies,
            site: RefCell::new(site),
            clock,
            balancer: RefCell::new(Balancer::new(settings.clone(), config.seed, clock.now())),
            discovery: Discovery::new(config.discovery, log.clone()),
            events: RefCell::default(),
            running: Cell::new(false),
            listed: Cell::new(false),
            timers: RefCell::default(),
            asked: Cell::new(0),
            earlier: Notify::new(),
            log,
        });
        let news = match known {
            Some(Ok(news)) => news,
            Some(Err(e)) => {
                warn!(driver.log, "the known list is unreadable and taken as empty"; "known" => %e);
                News { version: 0, full: true, entries: Vec::new() }
            }
            None => News { version: 0, full: true, entries: Vec::new() },
        };
        driver.list(news, ListChange::Cached);
        if settings.discovery == Mode::Automatic {
            driver.discovery.watch(&driver, true); // the decisions take for granted that changes come
        }
        actix_rt::spawn(driver.clone().keep_timers());
        actix_rt::spawn(driver.clone().keep_house());
        driver
    }

    /// Whether there is any endpoint to send to.
    pub fn ready(&self) -> bool {
        self.listed.get()
    }

    /// Another address of discovery's, and other shares of the descriptors, hold from now on.
    pub fn adopt(self: &Rc<Self>, discovery: SocketAddr, sockets: Sockets) {
        self.backends.adopt(sockets.backends);
        self.discovery.move_to(self, discovery);
    }

    /// Takes in a list or a change, and tells the decisions.
    pub fn hear(self: &Rc<Self>, news: News) {
        let full = news.full;
        self.list(news, if full { ListChange::Full } else { ListChange::Delta });
    }

    fn list(self: &Rc<Self>, news: News, change: impl Fn(Vec<olivecart_decisions::Entry>) -> ListChange) {
        debug!(self.log, "list"; "version" => news.version, "full" => news.full, "entries" => news.entries.len());
        if news.full {
            self.backends.forget_all();
        }
        self.discovery.holds(news.version);
        let mut entries = Vec::with_capacity(news.entries.len());
        for (entry, addr) in news.entries {
            self.backends.place(entry.id, addr, entry.started, entry.state == State::Ready);
            entries.push(entry);
        }
        self.listed.set(self.backends.any_takes_requests());
        self.tell(Event::List(change(entries)));
    }

    /// Puts an event to the decisions and does what they answer. What that brings about in turn waits until
    /// it is done: the decisions are never entered twice.
    pub fn tell(self: &Rc<Self>, event: Event) {
        self.events.borrow_mut().push_back(event);
        if self.running.replace(true) {
            return;
        }
        loop {
            let Some(event) = self.events.borrow_mut().pop_front() else { break };
            let mut actions = Vec::new();
            let handle = || self.balancer.borrow_mut().handle(self.clock.now(), event, &mut actions);
            if catch_unwind(AssertUnwindSafe(handle)).is_err() {
                // Requests are still answered at their deadline.
                error!(self.log, "the decisions panicked on an event");
            }
            actions.into_iter().for_each(|action| self.perform(action));
        }
        self.running.set(false);
    }

    fn perform(self: &Rc<Self>, action: Action) {
        match action {
            Action::Send { request, endpoint, cap } => route::route(self, request, endpoint, cap),
            Action::Cancel { request, attempt } => self.book.cancel(request, attempt),
            Action::Shed { request, come_back } => {
                let come_back = Duration::from_nanos(come_back);
                must(self.book.finish(request, Verdict::Refused { come_back }), "one verdict a request");
            }
            Action::Fail(request) => {
                must(self.book.finish(request, Verdict::Failed), "one verdict a request")
            }
            Action::Check(endpoint) => drop(actix_rt::spawn(send::probe(self.clone(), endpoint))),
            Action::SetTimer { at, timer } => self.set_timer(at, timer),
            Action::Watch(on) => self.discovery.watch(self, on),
            Action::Refresh => self.discovery.refresh(self),
            Action::Close(endpoint) => self.backends.close_idle(endpoint),
            Action::Publish { .. } => must(false, "copies have no way to talk to each other"),
            Action::Remark(text) => info!(self.log, "remark"; "text" => text),
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
                Some(due) if due > self.clock.now() => {
                    tokio::select! {
                        () = sleep_until(self.clock.instant(due).into()) => {}
                        () = self.earlier.notified() => {}
                    }
                }
                Some(_) => {
                    let timer = self.timers.borrow_mut().pop_first().map(|(_, timer)| timer);
                    timer.into_iter().for_each(|timer| self.tell(Event::Timer(timer)));
                }
            }
        }
    }

    /// Lets idle connections go in time, and reports what did not hold.
    async fn keep_house(self: Rc<Self>) {
        let mut every = tokio::time::interval(Duration::from_secs(1));
        loop {
            every.tick().await;
            self.backends.sweep();
            for (what, times) in take_broken() {
                error!(self.log, "an invariant does not hold"; "what" => what, "times" => times);
            }
        }
    }
}
