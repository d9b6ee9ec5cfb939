//! Client of the discovery service: keeps a watch on changes open, and fetches the whole list on demand.
//!
//! A cluster runtime owns a [`Discovery`] and is its [`Subscriber`]. Two tasks, one a [`Query`], run for as long as it
//! lives: dropping it ends both. [`watch`] decides when to call, when to abandon a call and when to call again; this
//! module does the I/O. It never interprets a list beyond its version.

mod lines;
mod watch;

use crate::backends;
use crate::membership::News;
use crate::platform::registry;
use crate::response_monitor::ResponseMonitor;
use awc::error::{PayloadError, SendRequestError};
use awc::http::Uri;
use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use lines::{Line, LineError, LineSplitter};
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
use watch::{Action, CallId, Event, HeldList, Query, ReceivedUpdate, StaleUpdate, Watch};

/// Longer than any call: the timeouts in [`watch`] end it.
const NO_TIMEOUT: Duration = Duration::from_secs(3600);

/// Why a call to discovery ended.
#[derive(Debug, thiserror::Error)]
enum CallEnd {
    #[error("no connection or no answer: {0}")]
    Request(#[from] SendRequestError),
    #[error("status {0}")]
    Status(u16),
    #[error("the answer broke off: {0}")]
    Truncated(#[from] PayloadError),
    #[error("unreadable: {0}")]
    Line(#[from] LineError),
    #[error("unreadable: {0}")]
    Object(#[from] serde_json::Error),
    #[error("a list that goes back: {0}")]
    Stale(#[from] StaleUpdate),
    #[error("no answer in time")]
    ResponseTimeout,
    #[error("no whole line in time")]
    SilenceTimeout,
    #[error("its end")]
    StreamEnded,
}

/// Receives what discovery says.
pub trait Subscriber {
    /// A list or a change came.
    fn on_update(&self, update: News<'_>);
    /// Discovery says that the list as it was last told is complete at this moment.
    fn on_list_complete(&self);
}

/// The client. Calls go on until it is dropped.
pub struct Discovery {
    shared: Rc<Shared>,
    tasks: [JoinHandle<()>; 2],
}

/// What the two tasks and the handle share.
struct Shared {
    subscriber: Weak<dyn Subscriber>,
    address: Cell<SocketAddr>,
    /// Of the list that is held.
    version: Cell<u64>,
    origin: Instant,
    changes: QueryState,
    snapshot: QueryState,
    log: Logger,
}

/// One query: its state machine, and what its task has to do next.
struct QueryState {
    watch: RefCell<Watch>,
    /// Only the last action counts: each drops the current call.
    pending_action: Cell<Option<Action>>,
    action_set: Notify,
}

impl QueryState {
    fn new(query: Query, seed: u64) -> QueryState {
        QueryState {
            watch: RefCell::new(Watch::new(query, seed)),
            pending_action: Cell::default(),
            action_set: Notify::new(),
        }
    }
}

impl Discovery {
    /// No call is made until [`watch`](Self::watch) or [`refresh`](Self::refresh). `seed` has to differ between
    /// replicas, or they call in step.
    pub fn new(address: SocketAddr, subscriber: Weak<dyn Subscriber>, seed: u64, log: Logger) -> Discovery {
        let shared = Rc::new(Shared {
            subscriber,
            address: Cell::new(address),
            version: Cell::new(0),
            origin: Instant::now(),
            changes: QueryState::new(Query::Changes, seed),
            snapshot: QueryState::new(Query::Snapshot, !seed),
            log,
        });
        let run = |query| actix_rt::spawn(shared.clone().run_query(query));
        let tasks = [run(Query::Changes), run(Query::Snapshot)];
        Discovery { shared, tasks }
    }

    /// Notes the version of the list that is held.
    pub fn set_version(&self, version: u64) {
        self.shared.version.set(version);
    }

    /// Keeps a watch open from now on, or no longer.
    pub fn watch(&self, on: bool) {
        let event = if on { Event::Start } else { Event::Stop };
        self.shared.signal(&self.shared.changes, event);
    }

    /// Discovery has this address from now on: asks there, within moments, for what changed after the version held.
    /// Danger: an update that is still under way from the old address must not overwrite the new one's, so that
    /// the current calls are dropped first.
    pub fn set_address(&self, address: SocketAddr) {
        if self.shared.address.replace(address) != address {
            self.shared.signal(&self.shared.changes, Event::AddressChanged);
            self.shared.signal(&self.shared.snapshot, Event::AddressChanged);
        }
    }

    /// Fetches the whole list once, retrying until it has come.
    pub fn refresh(&self) {
        self.shared.signal(&self.shared.snapshot, Event::Start);
    }
}

impl Drop for Discovery {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

type CallFuture = Pin<Box<dyn Future<Output = Result<(), CallEnd>>>>;

impl Shared {
    fn state(&self, query: Query) -> &QueryState {
        match query {
            Query::Changes => &self.changes,
            Query::Snapshot => &self.snapshot,
        }
    }

    fn handle(&self, state: &QueryState, event: Event) -> Option<Action> {
        state.watch.borrow_mut().handle(self.origin.elapsed(), event)
    }

    /// Puts an event from outside of the query's task to its state machine, and has the task do what follows.
    fn signal(&self, state: &QueryState, event: Event) {
        if let Some(action) = self.handle(state, event) {
            state.pending_action.set(Some(action));
            state.action_set.notify_one();
        }
    }

    /// Does what the state machine says, until the task is aborted.
    async fn run_query(self: Rc<Self>, query: Query) {
        let state = self.state(query);
        let mut call: Option<(CallId, CallFuture)> = None;
        loop {
            let due = state.watch.borrow().due().map(|due| self.origin + due);
            // Danger, in this order: a dropped call still speaks; and a watch whose lines wait to be read, since the
            // process stood still, is abandoned for its silence.
            let action = tokio::select! {
                biased;
                () = state.action_set.notified() => state.pending_action.take(),
                (id, result) = call_result(&mut call) => {
                    call = None;
                    self.on_call_ended(query, id, result)
                }
                () = sleep_until_due(due) => self.handle(state, Event::TimerFired),
            };
            let Some(action) = action else { continue };
            match action {
                Action::StartCall(id) => {
                    call = Some((id, Box::pin(self.clone().call(query, id))));
                    continue;
                }
                Action::DropCall => {}
                Action::AbandonUnanswered => self.log_call_end(query, &CallEnd::ResponseTimeout),
                Action::AbandonSilent => self.log_call_end(query, &CallEnd::SilenceTimeout),
            }
            call = None;
        }
    }

    fn on_call_ended(&self, query: Query, id: CallId, result: Result<(), CallEnd>) -> Option<Action> {
        let event = match &result {
            Ok(()) => Event::SnapshotReceived(id),
            Err(end) => {
                self.log_call_end(query, end);
                Event::CallFailed(id)
            }
        };
        self.handle(self.state(query), event)
    }

    fn target(&self, query: Query) -> String {
        match query {
            Query::Changes => registry::watch(self.version.get()),
            Query::Snapshot => registry::LIST.into(),
        }
    }

    fn log_call_end(&self, query: Query, end: &CallEnd) {
        info!(self.log, "discovery call ended"; "peer" => %self.address.get(), "target" => self.target(query),
            "reason" => %end);
    }

    /// One call, on a connection of its own, to its end.
    async fn call(self: Rc<Self>, query: Query, id: CallId) -> Result<(), CallEnd> {
        let address = self.address.get();
        let target = self.target(query);
        let client = backends::client(address, NO_TIMEOUT, &Rc::new(ResponseMonitor::new(usize::MAX)));
        debug!(self.log, "discovery call started"; "peer" => %address, "target" => &target);
        let uri = Uri::builder().scheme("http").authority(address.to_string()).path_and_query(&*target);
        let request = client.get(uri.build().unwrap_or_default()).no_decompress();
        let response = request.send().await?;
        if response.status().as_u16() != 200 {
            return Err(CallEnd::Status(response.status().as_u16()));
        }
        self.handle(self.state(query), Event::ResponseStarted(id));
        debug!(self.log, "discovery response started"; "peer" => %address, "target" => &target);
        match query {
            Query::Changes => self.read_changes(id, response).await,
            Query::Snapshot => self.read_snapshot(id, response).await,
        }
    }

    /// Passes on each object of a watch as it comes.
    async fn read_changes(
        &self,
        id: CallId,
        mut response: impl Stream<Item = Result<Bytes, PayloadError>> + Unpin,
    ) -> Result<(), CallEnd> {
        let mut lines = LineSplitter::default();
        while let Some(chunk) = response.next().await {
            lines.push(&chunk?);
            while let Some(line) = lines.next()? {
                self.handle(&self.changes, Event::LineReceived(id));
                match line {
                    Line::Empty => self.confirm_list(id),
                    Line::Object(text) => self.apply(Query::Changes, id, &text)?,
                }
            }
        }
        Err(CallEnd::StreamEnded)
    }

    /// Reads the one object of a response to its end, and passes it on.
    async fn read_snapshot(
        &self,
        id: CallId,
        mut response: impl Stream<Item = Result<Bytes, PayloadError>> + Unpin,
    ) -> Result<(), CallEnd> {
        let mut lines = LineSplitter::default();
        let mut object = None;
        while let Some(chunk) = response.next().await {
            lines.push(&chunk?);
            while let Some(line) = lines.next()? {
                match line {
                    Line::Empty => {}
                    Line::Object(text) => {
                        if object.replace(text).is_some() {
                            return Err(LineError::TrailingData('{').into());
                        }
                    }
                }
            }
        }
        let text = lines.finish()?.or(object).ok_or(LineError::NoData)?;
        self.apply(Query::Snapshot, id, &text)
    }

    /// Passes an object on to the subscriber, unless its call was dropped meanwhile.
    fn apply(&self, query: Query, id: CallId, text: &[u8]) -> Result<(), CallEnd> {
        let update = registry::read(text)?;
        if !self.state(query).watch.borrow().is_current(id) {
            return Ok(());
        }
        let Some(subscriber) = self.subscriber.upgrade() else { return Ok(()) };
        let is_watched = self.changes.watch.borrow().is_streaming();
        let held = HeldList { version: self.version.get(), is_watched };
        let received = ReceivedUpdate { version: update.version, is_snapshot: update.full };
        if let Err(stale) = watch::check_version(query, held, received) {
            if query == Query::Changes {
                // Discovery counts otherwise than what is held: only the entire list tells how things stand.
                self.version.set(0);
            }
            return Err(stale.into());
        }
        subscriber.on_update(update);
        subscriber.on_list_complete();
        Ok(())
    }

    /// Passes on that nothing has changed since the last object of a watch, unless that was dropped meanwhile.
    fn confirm_list(&self, id: CallId) {
        if !self.changes.watch.borrow().is_current(id) {
            return;
        }
        if let Some(subscriber) = self.subscriber.upgrade() {
            subscriber.on_list_complete();
        }
    }
}

/// Resolves with the result of the current call; never if there is none.
async fn call_result(call: &mut Option<(CallId, CallFuture)>) -> (CallId, Result<(), CallEnd>) {
    match call {
        Some((id, future)) => (*id, future.await),
        None => pending().await,
    }
}

async fn sleep_until_due(due: Option<Instant>) {
    match due {
        Some(due) => sleep_until(due.into()).await,
        None => pending().await,
    }
}
