//! Calls discovery: a watch on what changes, or the whole list once. When to call, when to give up and when to call
//! again is up to [`watch`]; here is what does it.

mod lines;
mod watch;

use crate::answer::Seen;
use crate::backends;
use crate::membership::News;
use crate::platform::registry;
use awc::http::Uri;
use futures_util::StreamExt;
use lines::{BadLine, Line, Lines};
use slog::{Logger, debug, info};
use std::cell::{Cell, RefCell};
use std::future::{Future, pending};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::sleep_until;
use watch::{Action, Asks, CallId, Event, Older, Watch};

/// Longer than any call: the watch's own times end it.
const NO_LIMIT: Duration = Duration::from_secs(3600);

/// Why a call to discovery ended.
#[derive(Debug, thiserror::Error)]
enum Ended {
    #[error("no connection or no answer: {0}")]
    Call(#[from] awc::error::SendRequestError),
    #[error("status {0}")]
    Status(u16),
    #[error("the answer broke off: {0}")]
    Broken(#[from] awc::error::PayloadError),
    #[error("unreadable: {0}")]
    Line(#[from] BadLine),
    #[error("unreadable: {0}")]
    Object(#[from] serde_json::Error),
    #[error("a list that goes back: {0}")]
    Older(#[from] Older),
    #[error("no answer in time")]
    Slow,
    #[error("no whole line in time")]
    Silent,
    #[error("its end")]
    Closed,
}

/// Whoever is told what discovery says.
pub trait Subscriber {
    /// A list or a change came.
    fn news(&self, news: News<'_>);
    /// Discovery says that the list as it was told is all there is at this moment.
    fn list_is_complete(&self);
}

/// The way to discovery. Calls go on until this is dropped.
pub struct Discovery {
    shared: Rc<Shared>,
    tasks: [JoinHandle<()>; 2],
}

struct Shared {
    subscriber: Weak<dyn Subscriber>,
    addr: Cell<SocketAddr>,
    /// Of the list that is held.
    version: Cell<u64>,
    origin: Instant,
    changes: Pursuit,
    whole: Pursuit,
    log: Logger,
}

/// What is asked for, and what is to be done about it.
struct Pursuit {
    watch: RefCell<Watch>,
    /// Of several only the last counts: each drops whatever call is out.
    order: Cell<Option<Action>>,
    ordered: Notify,
}

impl Pursuit {
    fn new(asks: Asks, seed: u64) -> Pursuit {
        let watch = RefCell::new(Watch::new(asks, seed));
        Pursuit { watch, order: Cell::default(), ordered: Notify::new() }
    }
}

impl Discovery {
    /// Nothing is asked until [`watch`](Self::watch) or [`refresh`](Self::refresh). `seed` has to differ between
    /// copies, or they call in step.
    pub fn new(addr: SocketAddr, subscriber: Weak<dyn Subscriber>, seed: u64, log: Logger) -> Discovery {
        let shared = Rc::new(Shared {
            subscriber,
            addr: Cell::new(addr),
            version: Cell::new(0),
            origin: Instant::now(),
            changes: Pursuit::new(Asks::Changes, seed),
            whole: Pursuit::new(Asks::Whole, !seed),
            log,
        });
        let pursue = |asks| actix_rt::spawn(shared.clone().pursue(asks));
        let tasks = [pursue(Asks::Changes), pursue(Asks::Whole)];
        Discovery { shared, tasks }
    }

    /// Notes the version of the list that is held.
    pub fn holds(&self, version: u64) {
        self.shared.version.set(version);
    }

    /// Keeps a watch open from now on, or no longer.
    pub fn watch(&self, on: bool) {
        self.shared.order(&self.shared.changes, if on { Event::Begin } else { Event::End });
    }

    /// Discovery is elsewhere from now on: asks there, within moments, for what changed after the version held.
    /// Danger: news that is still under way from the old address must not overwrite the new one's, so that
    /// whatever is out is dropped first.
    pub fn move_to(&self, addr: SocketAddr) {
        if self.shared.addr.replace(addr) != addr {
            self.shared.order(&self.shared.changes, Event::Moved);
            self.shared.order(&self.shared.whole, Event::Moved);
        }
    }

    /// Asks for the whole list once, until it has come.
    pub fn refresh(&self) {
        self.shared.order(&self.shared.whole, Event::Begin);
    }
}

impl Drop for Discovery {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

type Calling = Pin<Box<dyn Future<Output = Result<(), Ended>>>>;

impl Shared {
    fn pursuit(&self, asks: Asks) -> &Pursuit {
        match asks {
            Asks::Changes => &self.changes,
            Asks::Whole => &self.whole,
        }
    }

    fn handle(&self, pursuit: &Pursuit, event: Event) -> Option<Action> {
        pursuit.watch.borrow_mut().handle(self.origin.elapsed(), event)
    }

    fn order(&self, pursuit: &Pursuit, event: Event) {
        if let Some(action) = self.handle(pursuit, event) {
            pursuit.order.set(Some(action));
            pursuit.ordered.notify_one();
        }
    }

    /// Does what the state machine says, for good.
    async fn pursue(self: Rc<Self>, asks: Asks) {
        let pursuit = self.pursuit(asks);
        let mut call: Option<(CallId, Calling)> = None;
        loop {
            let due = pursuit.watch.borrow().due().map(|due| self.origin + due);
            // Danger, in this order: a dropped call still speaks; and a watch whose lines wait to be read, since the
            // process stood still, is given up for its silence.
            let action = tokio::select! {
                biased;
                () = pursuit.ordered.notified() => pursuit.order.take(),
                (id, result) = out(&mut call) => {
                    call = None;
                    let event = if result.is_ok() { Event::Done(id) } else { Event::Failed(id) };
                    result.err().iter().for_each(|ended| self.remark(asks, ended));
                    self.handle(pursuit, event)
                }
                () = at(due) => self.handle(pursuit, Event::Due),
            };
            let given_up = match action {
                None => continue,
                Some(Action::Call(id)) => {
                    call = Some((id, Box::pin(self.clone().call(asks, id))));
                    continue;
                }
                Some(Action::Drop) => None,
                Some(Action::GiveUpSlow) => Some(Ended::Slow),
                Some(Action::GiveUpSilent) => Some(Ended::Silent),
            };
            call = None;
            given_up.iter().for_each(|ended| self.remark(asks, ended));
        }
    }

    fn target(&self, asks: Asks) -> String {
        match asks {
            Asks::Changes => registry::watch(self.version.get()),
            Asks::Whole => registry::LIST.into(),
        }
    }

    fn remark(&self, asks: Asks, ended: &Ended) {
        let (peer, target) = (self.addr.get(), self.target(asks));
        info!(self.log, "discovery"; "peer" => %peer, "target" => target, "ended" => %ended);
    }

    /// One call, on a connection of its own, to its end.
    async fn call(self: Rc<Self>, asks: Asks, id: CallId) -> Result<(), Ended> {
        let (pursuit, addr, target) = (self.pursuit(asks), self.addr.get(), self.target(asks));
        let client = backends::client(addr, NO_LIMIT, &Rc::new(Seen::new(usize::MAX)));
        debug!(self.log, "discovery is called"; "peer" => %addr, "target" => &target);
        let uri = Uri::builder().scheme("http").authority(addr.to_string()).path_and_query(&*target);
        let request = client.get(uri.build().unwrap_or_default()).no_decompress();
        let mut response = request.send().await?;
        if response.status().as_u16() != 200 {
            return Err(Ended::Status(response.status().as_u16()));
        }
        self.handle(pursuit, Event::Head(id));
        debug!(self.log, "discovery answers"; "peer" => %addr, "target" => &target);
        let (mut lines, mut whole) = (Lines::default(), None);
        while let Some(chunk) = response.next().await {
            lines.push(&chunk?);
            while let Some(line) = lines.next()? {
                match (asks, line) {
                    (Asks::Changes, Line::Empty) => {
                        self.handle(pursuit, Event::Line(id));
                        self.confirm_list(pursuit, id);
                    }
                    (Asks::Changes, Line::Object(text)) => {
                        self.handle(pursuit, Event::Line(id));
                        self.tell(asks, id, &text)?;
                    }
                    (Asks::Whole, Line::Empty) => {}
                    (Asks::Whole, Line::Object(text)) => {
                        if whole.replace(text).is_some() {
                            return Err(BadLine::Surplus('{').into());
                        }
                    }
                }
            }
        }
        match asks {
            Asks::Changes => Err(Ended::Closed),
            Asks::Whole => {
                let text = lines.finish()?.or(whole).ok_or(BadLine::Nothing)?;
                self.tell(asks, id, &text)
            }
        }
    }

    /// Passes on an object that came.
    fn tell(&self, asks: Asks, id: CallId, text: &[u8]) -> Result<(), Ended> {
        let news = registry::read(text)?;
        if !self.pursuit(asks).watch.borrow().is_out(id) {
            return Ok(()); // dropped meanwhile
        }
        let Some(subscriber) = self.subscriber.upgrade() else { return Ok(()) };
        let open = self.changes.watch.borrow().is_open();
        if let Err(older) = watch::fits(asks, open, self.version.get(), news.version, news.full) {
            if asks == Asks::Changes {
                // Discovery counts otherwise than what is held: only the entire list tells how things stand.
                self.version.set(0);
            }
            return Err(older.into());
        }
        subscriber.news(news);
        subscriber.list_is_complete();
        Ok(())
    }

    /// Passes on that nothing has changed since the last object that came.
    fn confirm_list(&self, pursuit: &Pursuit, id: CallId) {
        if !pursuit.watch.borrow().is_out(id) {
            return; // dropped meanwhile
        }
        if let Some(subscriber) = self.subscriber.upgrade() {
            subscriber.list_is_complete();
        }
    }
}

/// The end of the call that is out.
async fn out(call: &mut Option<(CallId, Calling)>) -> (CallId, Result<(), Ended>) {
    match call {
        Some((id, calling)) => (*id, calling.await),
        None => pending().await,
    }
}

async fn at(due: Option<Instant>) {
    match due {
        Some(due) => sleep_until(due.into()).await,
        None => pending().await,
    }
}
