//! Owns the decisions: puts every event to them in order, does what they answer, and keeps their timers.

use crate::backends::Backends;
use crate::call::Verdict;
use crate::clock::Clock;
use crate::config::{Config, Sockets};
use crate::discovery::{Discovery, Subscriber};
use crate::invariant::{must, take_broken};
use crate::membership::{Endpoint, News};
use crate::platform::registry;
use crate::stages::context::{Context, Decisions, Limits};
use crate::stages::{route, send};
use olivecart_decisions::{
    Action, Balancer, Discovery as Mode, Entry, Event, ListChange, Nanos, State, Timer,
};
use olivecart_settings::{Listed, Site};
use slog::{Logger, debug, error, info, warn};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::sleep_until;

/// The decisions and all that they act on.
pub struct Driver {
    /// What the stages share.
    pub context: Rc<Context>,
    /// Settings and names.
    pub site: Rc<RefCell<Site>>,
    clock: Clock,
    balancer: RefCell<Balancer>,
    discovery: Discovery,
    events: RefCell<VecDeque<Event>>,
    running: Cell<bool>,
    /// By due time, then in the order asked for.
    timers: RefCell<BTreeMap<(Nanos, u64), Timer>>,
    asked: Cell<u64>,
    earlier: Notify,
    log: Logger,
}

impl Driver {
    /// Starts the decisions with the list as it was last known, and the tasks that serve them.
    pub fn start(config: Config, log: Logger) -> Rc<Driver> {
        let (clock, site) = (Clock::start(), config.site);
        let settings = site.settings.clone();
        let connect_timeout = Duration::from_nanos(settings.limits.connect_timeout);
        let backends = Backends::new(connect_timeout, site.idle_close, config.sockets.backends);
        let limits = Limits { open_requests: site.most_held, second_copies: settings.limits.second_copies };
        let driver = Rc::new_cyclic(|this: &Weak<Driver>| Driver {
            context: Rc::new(Context::new(this.clone(), backends, limits)),
            site: Rc::new(RefCell::new(site)),
            clock,
            balancer: RefCell::new(Balancer::new(settings.clone(), config.seed, clock.now())),
            discovery: Discovery::new(config.discovery, this.clone(), log.clone()),
            events: RefCell::default(),
            running: Cell::new(false),
            timers: RefCell::default(),
            asked: Cell::new(0),
            earlier: Notify::new(),
            log,
        });
        let known = match config.known.as_deref().map(|text| registry::read(text.as_bytes())) {
            Some(Ok(news)) => news,
            Some(Err(e)) => {
                warn!(driver.log, "the known list is unreadable and taken as empty"; "known" => %e);
                News::nothing()
            }
            None => News::nothing(),
        };
        driver.list(&known, ListChange::Cached);
        if settings.discovery == Mode::Automatic {
            driver.discovery.watch(true); // the decisions take for granted that changes come
        }
        actix_rt::spawn(driver.clone().keep_timers());
        actix_rt::spawn(driver.clone().keep_house());
        driver
    }

    /// Another address of discovery's, and other shares of the descriptors, hold from now on.
    pub fn adopt(&self, discovery: SocketAddr, sockets: Sockets) {
        self.context.backends.adopt(sockets.backends);
        self.discovery.move_to(discovery);
    }

    /// Takes in a list or a change, and tells the decisions.
    fn list(&self, news: &News, change: impl Fn(Vec<Entry>) -> ListChange) {
        let (version, named) = (news.version, news.endpoints.len());
        debug!(self.log, "list"; "version" => version, "full" => news.full, "entries" => named);
        let backends = &self.context.backends;
        if news.full {
            backends.forget_all();
        }
        self.discovery.holds(version);
        let mut entries = Vec::with_capacity(named);
        for endpoint in &news.endpoints {
            let entry = numbered(&mut self.site.borrow_mut(), endpoint);
            backends.place(entry.id, endpoint.addr, endpoint.started, endpoint.state == State::Ready);
            entries.push(entry);
        }
        self.tell(Event::List(change(entries)));
    }

    fn perform(&self, action: Action) {
        let Context { book, backends, .. } = &*self.context;
        match action {
            Action::Send { request, endpoint, cap } => route::route(&self.context, request, endpoint, cap),
            Action::Cancel { request, attempt } => book.cancel(request, attempt),
            Action::Shed { request, come_back } => {
                let come_back = Duration::from_nanos(come_back);
                must(book.finish(request, Verdict::Refused { come_back }), "one verdict a request");
            }
            Action::Fail(request) => must(book.finish(request, Verdict::Failed), "one verdict a request"),
            Action::Check(endpoint) => drop(actix_rt::spawn(send::probe(self.context.clone(), endpoint))),
            Action::SetTimer { at, timer } => self.set_timer(at, timer),
            Action::Watch(on) => self.discovery.watch(on),
            Action::Refresh => self.discovery.refresh(),
            Action::Close(endpoint) => backends.close_idle(endpoint),
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
            self.context.backends.sweep();
            for (what, times) in take_broken() {
                error!(self.log, "an invariant does not hold"; "what" => what, "times" => times);
            }
        }
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
}

impl Subscriber for Driver {
    fn news(&self, news: News<'_>) {
        self.list(&news, if news.full { ListChange::Full } else { ListChange::Delta });
    }

    fn failed(&self) {
        self.tell(Event::List(ListChange::Failed));
    }
}

/// An endpoint in the module's numbers; what is new gets one.
fn numbered(site: &mut Site, endpoint: &Endpoint) -> Entry {
    site.entry(&Listed {
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
mod tests {
    use super::*;

    #[test]
    fn endpoints_are_numbered_by_name_in_the_order_they_are_heard_of() {
        let settings =
            r#"{"grades":[{"name":"v","aim-ns":1,"give-up-ns":2,"effect":"repeatable"}],"dcs":["z"]}"#;
        let mut site = Site::read(settings).expect("settings");
        let text = br#"{"version":43,"servers":[{"id":"s","state":"gone","zone":"y","started_ms":7},
            {"id":"t","state":"gone","zone":"z"},{"id":"s","state":"gone","zone":"y"}]}"#;
        let news = registry::read(text).expect("a change");
        let entries: Vec<_> = news.endpoints.iter().map(|e| numbered(&mut site, e)).collect();
        let numbers: Vec<_> = entries.iter().map(|e| (e.id.0, &*e.name, e.zone.0)).collect();
        assert_eq!(numbers, [(0, "s", 1), (1, "t", 0), (0, "s", 1)], "zone z is 0 by the settings");
        assert_eq!((entries[0].started, entries[1].started), (Some(7_000_000), None));
    }
}
