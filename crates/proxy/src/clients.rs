//! The table of client connections: their states, their timeouts, and which one is evicted under descriptor pressure.
//!
//! [`Clients`] owns the queues, and each connection's [`Client`] its state. `listen.rs` registers connections and tells
//! what becomes of their requests; [`stream`] tells what is read and written. Nothing here does I/O.
//!
//! A connection has a request in flight; or waits for a request head, its first or one that has begun; or receives a
//! body; or lies idle between two requests; or is being closed (`closing.rs`). One with a request in flight is never
//! evicted. The others are kept in queues in the order in which they entered their state, so that no operation looks at
//! all connections.

pub mod stream;

use crate::closing::{Closing, Event, Step};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::task::Waker;
use std::time::{Duration, Instant};
pub use stream::{Connection, Stream};
use tokio::sync::Notify;

/// A request head is complete this long after its first byte, and the first one after the connection was accepted.
/// Danger: clients that connect and send nothing, or a byte at a time, and so hold what others need. One may take 2 s.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_millis(2500);
/// A body may take longer, but some of it has to come this often.
const BODY_PROGRESS_TIMEOUT: Duration = Duration::from_secs(2);
/// A connection is kept this long between two requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Under descriptor pressure, a connection that has sent nothing is evicted before an idle one after this long; and
/// where all connections are to end it is closed then.
const SILENT_EVICTION_AGE: Duration = Duration::from_millis(250);
/// No connection without a request is evicted before this: what an ordinary client sends is on its way.
const EVICTION_GRACE: Duration = Duration::from_millis(20);
/// Where idle connections are protected, one of whose request nothing more has come for this long is evicted before
/// them: a client that writes a whole head within 2 s pauses for less.
const STALLED_EVICTION_AGE: Duration = Duration::from_secs(1);

/// When a connection entered its queue, and a number that tells those of one instant apart.
type QueueKey = (Instant, u64);
type Queue = RefCell<BTreeMap<QueueKey, Rc<Client>>>;

/// All connections from clients.
#[derive(Default)]
pub struct Clients {
    /// Those without a complete request head, by when it began.
    awaiting_head: Queue,
    /// Those of them that have sent nothing, by the same.
    silent: Queue,
    /// The others of them, by when some of it came last.
    partial: Queue,
    /// Those whose request body is being read, by when some of it came last.
    uploading: Queue,
    /// Idle ones that have sent a request.
    idle: Queue,
    /// Idle ones that have only asked for health.
    idle_unused: Queue,
    /// Those that are being closed, by when their client last took some of what is written for it.
    closing: Queue,
    next_sequence: Cell<u64>,
    open: Cell<usize>,
    in_flight: Cell<usize>,
    /// Idle connections are closed.
    retiring: Cell<bool>,
    /// Idle connections are evicted last.
    protects_idle: Cell<bool>,
    connection_closed: Notify,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    /// Since when it waits for the first byte of a request.
    Silent(QueueKey),
    /// Since when it waits for the rest of a request head, and when some of it came last.
    Partial(QueueKey, QueueKey),
    /// When some of the request body came last.
    Uploading(QueueKey),
    InFlight,
    Idle(QueueKey),
    Closing(QueueKey),
    Closed,
}

/// Whether a connection is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseIntent {
    /// It stays open.
    KeepOpen,
    /// Unless a request has come on it that is not read yet. Danger: it would be lost to a client that may not send it
    /// again. With when the request that is awaited was due to begin, if one is.
    UnlessRequestArrives(Option<QueueKey>),
    /// Nothing more of it is read as a request: to the HTTP library it looks as if its client had closed it.
    Now,
}

/// How much of the body of a request has been read when it is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestBody {
    /// All: what comes next belongs to another request.
    Complete,
    /// The rest is read at the pace of a backend.
    Streaming,
}

/// The state of one connection from a client.
pub struct Client {
    all: Rc<Clients>,
    state: Cell<State>,
    has_sent_request: Cell<bool>,
    /// The request in flight has come whole: what comes next is another's.
    request_is_complete: Cell<bool>,
    /// The client has closed, or the stream broke.
    peer_closed: Cell<bool>,
    peer_closed_notify: Notify,
    close_intent: Cell<CloseIntent>,
    /// How far its close has come, once it is being closed.
    close_state: Cell<Option<Closing>>,
    /// The task that serves it.
    task: RefCell<Option<Waker>>,
}

impl Clients {
    /// Connections that are open.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Connections with a request in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Adds a new connection, which waits for its first request.
    pub fn register(self: &Rc<Self>) -> Rc<Client> {
        self.open.set(self.open.get() + 1);
        let client = Rc::new(Client {
            all: self.clone(),
            state: Cell::new(State::Closed),
            has_sent_request: Cell::new(false),
            request_is_complete: Cell::new(false),
            peer_closed: Cell::new(false),
            peer_closed_notify: Notify::new(),
            close_intent: Cell::new(CloseIntent::KeepOpen),
            close_state: Cell::new(None),
            task: RefCell::default(),
        });
        client.set_state(State::Silent(self.next_key()));
        client
    }

    /// Removes a connection whose descriptor is closed.
    pub fn unregister(&self, client: &Rc<Client>) {
        client.set_state(State::Closed);
        client.task.take();
        self.open.set(self.open.get() - 1);
        self.connection_closed.notify_one();
    }

    /// Resolves when a connection is removed.
    pub async fn wait_for_closed_connection(&self) {
        self.connection_closed.notified().await;
    }

    /// Closes the connections whose timeout is over.
    pub fn expire(&self) {
        self.expire_at(Instant::now());
    }

    fn expire_at(&self, now: Instant) {
        // Where all are to end, an ordinary client's first request is still waited for.
        let silent = if self.retiring.get() { SILENT_EVICTION_AGE } else { REQUEST_HEAD_TIMEOUT };
        let timeouts = [
            (&self.silent, silent),
            (&self.awaiting_head, REQUEST_HEAD_TIMEOUT),
            (&self.uploading, BODY_PROGRESS_TIMEOUT),
            (&self.idle, IDLE_TIMEOUT),
            (&self.idle_unused, IDLE_TIMEOUT),
        ];
        for (queue, timeout) in timeouts {
            while Clients::first_since(queue).is_some_and(|since| now - since >= timeout) {
                Clients::close_first(queue);
            }
        }
        let is_over = |client: &Rc<Client>| client.next_step(now) == Step::Close;
        while let Some(client) = Clients::first_client(&self.closing).filter(&is_over) {
            client.abandon();
        }
    }

    /// Evicts the connection that can best be spared, if any can: one that is being closed and whose client has had time
    /// to read its response; or that was accepted a while ago and has sent nothing; or else an idle one, since its client
    /// opens another when it needs one; or else the one of whose request nothing has come for longest.
    /// Danger: an honest client may take 2 s for its request, while thousands come and send none.
    pub fn make_room(&self) {
        self.make_room_at(Instant::now());
    }

    fn make_room_at(&self, now: Instant) {
        let has_age = |queue, age| Clients::first_since(queue).is_some_and(|since| now - since >= age);
        if has_age(&self.closing, EVICTION_GRACE) {
            if let Some(client) = Clients::first_client(&self.closing) {
                client.abandon();
            }
            return;
        }
        let idle = (&self.idle, Duration::ZERO);
        let third = if self.protects_idle.get() { (&self.partial, STALLED_EVICTION_AGE) } else { idle };
        let mut order = vec![
            (&self.silent, SILENT_EVICTION_AGE),
            (&self.idle_unused, Duration::ZERO),
            third,
            (&self.silent, EVICTION_GRACE),
        ];
        // Danger: one that sends slowly, or that is protected, evicted in a moment in which all that send nothing have
        // just come.
        if self.silent.borrow().is_empty() {
            order.extend([idle, (&self.partial, EVICTION_GRACE)]);
        }
        if let Some((queue, _)) = order.into_iter().find(|(queue, age)| has_age(queue, *age)) {
            Clients::close_first(queue);
        }
    }

    /// From now on clients with an idle connection may find no other proxy, and keep it for as long as any other can be
    /// evicted. Danger: many clients that go on connecting take them from the clients of a proxy that is shutting down.
    pub fn protect_idle(&self) {
        self.protects_idle.set(true);
    }

    /// Idle connections are closed from now on, unless a request has just come on them.
    pub fn close_idle(&self) {
        self.retiring.set(true);
        for idle in [&self.idle, &self.idle_unused] {
            idle.borrow().values().for_each(|client| client.wake());
        }
    }

    fn next_key(&self) -> QueueKey {
        (Instant::now(), self.next_sequence.replace(self.next_sequence.get() + 1))
    }

    /// Since when the first of a queue has been in it.
    fn first_since(queue: &Queue) -> Option<Instant> {
        queue.borrow().first_key_value().map(|((since, _), _)| *since)
    }

    fn first_client(queue: &Queue) -> Option<Rc<Client>> {
        queue.borrow().first_key_value().map(|(_, client)| client.clone())
    }

    fn close_first(queue: &Queue) {
        if let Some(client) = Clients::first_client(queue) {
            // Danger: a client that sends a byte now and then would be looked at, found to have sent one, and kept for
            // ever.
            client.begin_close(match client.state.get() {
                State::Silent(since) => CloseIntent::UnlessRequestArrives(Some(since)),
                State::Idle(_) => CloseIntent::UnlessRequestArrives(None),
                _ => CloseIntent::Now,
            });
            client.wake();
        }
    }
}

impl Client {
    /// The head of a request is complete, and its body is read.
    pub fn on_head_received(self: &Rc<Self>) {
        self.set_state(State::Uploading(self.all.next_key()));
        self.has_sent_request.set(true);
    }

    /// Its request is in flight.
    pub fn on_request_taken(self: &Rc<Self>, body: RequestBody) {
        self.set_state(State::InFlight);
        self.request_is_complete.set(body == RequestBody::Complete);
    }

    /// Some bytes were read, which may belong to a request.
    fn on_bytes_received(self: &Rc<Self>) {
        let place = self.all.next_key();
        if let CloseIntent::UnlessRequestArrives(owed) = self.close_intent.get() {
            self.close_intent.set(CloseIntent::KeepOpen);
            self.close_state.set(None);
            return self.set_state(State::Partial(owed.unwrap_or(place), place));
        }
        match self.state.get() {
            State::Idle(_) => self.set_state(State::Partial(place, place)),
            State::Silent(since) | State::Partial(since, _) => self.set_state(State::Partial(since, place)),
            State::Uploading(_) => self.set_state(State::Uploading(place)),
            State::InFlight | State::Closing(_) | State::Closed => {}
        }
    }

    /// The response to its request is sent.
    pub fn on_response_sent(self: &Rc<Self>) {
        match (self.state.get(), self.close_intent.get()) {
            (State::Closed, _) => {}
            (_, CloseIntent::Now) => self.begin_close(CloseIntent::Now),
            _ => self.set_state(State::Idle(self.all.next_key())),
        }
    }

    /// The connection is closed after the response. What its client goes on to send is not read as a request.
    pub fn end_after_response(&self) {
        self.close_intent.set(CloseIntent::Now);
    }

    /// Its request was rejected, and the connection is closed after the response.
    pub fn on_request_rejected(self: &Rc<Self>) {
        self.begin_close(CloseIntent::Now);
    }

    /// Whether nothing more of it is read as a request.
    pub fn is_ending(&self) -> bool {
        self.close_intent.get() == CloseIntent::Now
    }

    /// Whether the client has closed, or the stream broke.
    pub fn has_closed(&self) -> bool {
        self.peer_closed.get()
    }

    /// Resolves when the client has closed, or the stream broke.
    pub async fn wait_for_close(&self) {
        while !self.peer_closed.get() {
            self.peer_closed_notify.notified().await;
        }
    }

    /// Begins its close.
    fn begin_close(self: &Rc<Self>, how: CloseIntent) {
        self.close_intent.set(how);
        let place = self.all.next_key();
        if self.close_state.get().is_none() {
            self.close_state.set(Some(Closing::begin(place.0)));
        }
        self.set_state(State::Closing(place));
    }

    /// The next step of its close.
    fn next_step(&self, now: Instant) -> Step {
        self.close_state.get().map_or(Step::Close, |close| close.next(now))
    }

    /// Takes an event of its close.
    fn on_close_event(self: &Rc<Self>, event: Event) {
        if let Some(close) = self.close_state.get() {
            let place = self.all.next_key();
            self.close_state.set(Some(close.after(place.0, event)));
            // Danger: taken out of the queue for good, it is nobody's to cut off.
            if matches!(event, Event::Wrote | Event::HalfClosed)
                && matches!(self.state.get(), State::Closing(_))
            {
                self.set_state(State::Closing(place));
            }
        }
    }

    /// Whether its close is over, whatever its client still does.
    fn is_abandoned(&self) -> bool {
        self.close_state.get().is_some_and(|close| close.next(Instant::now()) == Step::Close)
    }

    /// Ends its close at once.
    fn abandon(self: &Rc<Self>) {
        self.on_close_event(Event::Over);
        self.set_state(State::Closed);
        self.wake();
    }

    /// The client has closed, or the stream broke.
    fn on_peer_closed(&self) {
        self.peer_closed.set(true);
        self.peer_closed_notify.notify_one();
    }

    fn set_state(self: &Rc<Self>, state: State) {
        let all = &self.all;
        let idle = if self.has_sent_request.get() { &all.idle } else { &all.idle_unused };
        match self.state.replace(state) {
            State::Silent(since) => {
                all.awaiting_head.borrow_mut().remove(&since);
                all.silent.borrow_mut().remove(&since);
            }
            State::Partial(since, last) => {
                all.awaiting_head.borrow_mut().remove(&since);
                all.partial.borrow_mut().remove(&last);
            }
            State::Uploading(place) => _ = all.uploading.borrow_mut().remove(&place),
            State::Idle(place) => _ = idle.borrow_mut().remove(&place),
            State::Closing(place) => _ = all.closing.borrow_mut().remove(&place),
            State::InFlight => all.in_flight.set(all.in_flight.get() - 1),
            State::Closed => {}
        }
        match state {
            State::Silent(since) => {
                all.awaiting_head.borrow_mut().insert(since, self.clone());
                all.silent.borrow_mut().insert(since, self.clone());
            }
            State::Partial(since, last) => {
                all.awaiting_head.borrow_mut().insert(since, self.clone());
                all.partial.borrow_mut().insert(last, self.clone());
            }
            State::Uploading(place) => _ = all.uploading.borrow_mut().insert(place, self.clone()),
            State::Idle(place) => _ = idle.borrow_mut().insert(place, self.clone()),
            State::Closing(place) => _ = all.closing.borrow_mut().insert(place, self.clone()),
            State::InFlight => all.in_flight.set(all.in_flight.get() + 1),
            State::Closed => {}
        }
    }

    fn wake(&self) {
        if let Some(task) = &*self.task.borrow() {
            task.wake_by_ref();
        }
    }
}

#[cfg(test)]
mod tests;
