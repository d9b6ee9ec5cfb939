//! Client of the discovery service: keeps a watch for changes open and fetches the full endpoint list on
//! demand.
//!
//! A cluster runtime owns a [`Discovery`] and is its [`Subscriber`]. One task per [`Query`] runs until the
//! [`Discovery`] is dropped. [`watch`] decides when a call starts, is abandoned and is retried; this module
//! does the I/O. It reads nothing from an update but its version.

mod lines;
mod watch;

use crate::http_client;
use crate::membership::ListUpdate;
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
use watch::{Action, CallId, CurrentList, Event, Query, ReceivedUpdate, StaleUpdate, Watch};

/// Timeout of the HTTP client, longer than any call: the timeouts in [`watch`] apply first.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3600);

/// Why a call to discovery ended.
#[derive(Debug, thiserror::Error)]
enum CallEnd {
    #[error("connection or request failed: {0}")]
    Request(#[from] SendRequestError),
    #[error("unexpected status {0}")]
    Status(u16),
    #[error("response body interrupted: {0}")]
    Truncated(#[from] PayloadError),
    #[error("malformed response: {0}")]
    Line(#[from] LineError),
    #[error("invalid endpoint list: {0}")]
    Object(#[from] serde_json::Error),
    #[error("stale update: {0}")]
    Stale(#[from] StaleUpdate),
    #[error("response timeout")]
    ResponseTimeout,
    #[error("no complete line before the silence timeout")]
    SilenceTimeout,
    #[error("response ended")]
    StreamEnded,
}

/// Receives the updates from discovery.
pub trait Subscriber {
    /// Called for each full list and each change.
    fn on_update(&self, update: ListUpdate<'_>);
    /// Called when discovery confirms that the list, with all updates delivered so far, is current.
    fn on_list_complete(&self);
}

/// The client of the discovery service. Dropping it ends its calls.
pub struct Discovery {
    shared: Rc<Shared>,
    tasks: [JoinHandle<()>; 2],
}

/// State shared by the two query tasks and the [`Discovery`] handle.
struct Shared {
    subscriber: Weak<dyn Subscriber>,
    address: Cell<SocketAddr>,
    /// The version of the current list.
    version: Cell<u64>,
    origin: Instant,
    changes: QueryState,
    snapshot: QueryState,
    log: Logger,
}

/// The state machine of a query and the next action of its task.
struct QueryState {
    watch: RefCell<Watch>,
    /// Only the latest action is kept, since every action drops the current call.
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
    /// Creates a client that makes no call before [`watch`](Self::watch) or [`refresh`](Self::refresh). With
    /// the same `seed`, replicas would call discovery at the same times.
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

    /// Sets the version of the current list, from which the next watch continues.
    pub fn set_version(&self, version: u64) {
        self.shared.version.set(version);
    }

    /// Starts or stops keeping a watch open.
    pub fn watch(&self, on: bool) {
        let event = if on { Event::Start } else { Event::Stop };
        self.shared.signal(&self.shared.changes, event);
    }

    /// Changes the address of discovery. The watch is reopened there after a short random delay, from the
    /// current version. The current calls are dropped first, so that a late update from the old address
    /// cannot overwrite one from the new address.
    pub fn set_address(&self, address: SocketAddr) {
        if self.shared.address.replace(address) != address {
            self.shared.signal(&self.shared.changes, Event::AddressChanged);
            self.shared.signal(&self.shared.snapshot, Event::AddressChanged);
        }
    }

    /// Fetches the full list once, with retries until it is received.
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

    /// Passes an event from outside the query's task to its state machine and wakes the task for the
    /// resulting action.
    fn signal(&self, state: &QueryState, event: Event) {
        if let Some(action) = self.handle(state, event) {
            state.pending_action.set(Some(action));
            state.action_set.notify_one();
        }
    }

    /// Carries out the actions of the state machine until the task is aborted.
    async fn run_query(self: Rc<Self>, query: Query) {
        let state = self.state(query);
        let mut call: Option<(CallId, CallFuture)> = None;
        loop {
            let due = state.watch.borrow().due().map(|due| self.origin + due);
            // The order matters: a pending action first, since it drops the call whose result is otherwise
            // handled; received data before the timer, since after a pause of the process a watch would
            // otherwise be abandoned as silent while its lines wait to be read.
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

    /// Makes one call on a connection of its own and reads its response to the end.
    async fn call(self: Rc<Self>, query: Query, id: CallId) -> Result<(), CallEnd> {
        let address = self.address.get();
        let target = self.target(query);
        let client =
            http_client::connecting_to(address, CLIENT_TIMEOUT, &Rc::new(ResponseMonitor::new(usize::MAX)));
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

    /// Applies each object of a watch as it is received.
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

    /// Reads the response to its end and applies the single object in it.
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

    /// Passes an object to the subscriber unless its call has been dropped.
    fn apply(&self, query: Query, id: CallId, text: &[u8]) -> Result<(), CallEnd> {
        let update = registry::read(text)?;
        if !self.state(query).watch.borrow().is_current(id) {
            return Ok(());
        }
        let Some(subscriber) = self.subscriber.upgrade() else { return Ok(()) };
        let is_watched = self.changes.watch.borrow().is_streaming();
        let current = CurrentList { version: self.version.get(), is_watched };
        let received = ReceivedUpdate { version: update.version, is_snapshot: update.full };
        if let Err(stale) = watch::check_version(query, current, received) {
            if query == Query::Changes {
                // Discovery has restarted its version numbers: the next watch fetches the full list.
                self.version.set(0);
            }
            return Err(stale.into());
        }
        subscriber.on_update(update);
        subscriber.on_list_complete();
        Ok(())
    }

    /// Notifies the subscriber that the list is unchanged since the last object of a watch, unless the watch
    /// has been dropped.
    fn confirm_list(&self, id: CallId) {
        if !self.changes.watch.borrow().is_current(id) {
            return;
        }
        if let Some(subscriber) = self.subscriber.upgrade() {
            subscriber.on_list_complete();
        }
    }
}

/// Resolves with the result of the current call, or never if there is no call.
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
