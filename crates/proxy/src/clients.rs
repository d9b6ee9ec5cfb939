//! The table of client connections: their states and their timeouts. [`eviction`] has the order in which they are
//! evicted.
//!
//! [`Clients`] owns the queues and each [`Client`] the state of one connection. `listen.rs` registers
//! connections and reports the progress of their requests; [`stream`] reports reads and writes. This module
//! does no I/O.
//!
//! A connection has a request in flight, or waits for the first or the remaining bytes of a request head, or
//! receives a body, or is idle between two requests, or is being closed (`closing.rs`). A connection with a
//! request in flight is never evicted. All others are in queues ordered by the time they entered their state,
//! so that no operation scans connections that entered theirs a short time ago.

mod eviction;
mod head_memory;
mod incoming;
pub mod stream;

pub use self::eviction::IdleEviction;
use self::eviction::SILENT_EVICTION_AGE;
use self::head_memory::HeadMemory;
pub use self::incoming::Incoming;
use crate::closing::{Closing, Event, Step};
use crate::framing::ScannedHead;
use crate::memory::{
    BufferUse, CHARGED_FIELDS, ConnectionCharge, ConnectionKind, MemoryAccountant, ReadAllowance,
    SHORT_MESSAGE_BYTES, UNRESERVED_BYTES,
};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker, ready};
use std::time::{Duration, Instant};
pub use stream::{Connection, PeerSocket, Stream};
use tokio::sync::Notify;

/// Maximum time from the first byte of a request head to its end. For the first request on a connection, the
/// time starts at accept. Without this limit, clients that send nothing, or one byte at a time, would occupy
/// connections that other clients need. Clients are allowed to take 2 s for a request head.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_millis(2500);
/// Maximum time for which a whole head waits for memory. Its client may wait for its response for little longer.
const HELD_HEAD_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time between two reads of a request body. The whole body may take longer.
const BODY_PROGRESS_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum idle time between two requests on a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The time at which a connection entered its queue, and a sequence number that distinguishes equal times.
type QueueKey = (Instant, u64);
type Queue = RefCell<BTreeMap<QueueKey, Rc<Client>>>;

/// All client connections of one listener.
#[derive(Default)]
pub struct Clients {
    /// Connections without a complete request head, by the time at which the wait for it began.
    awaiting_head: Queue,
    /// The subset of `awaiting_head` that has sent nothing, by the same time.
    silent: Queue,
    /// The rest of `awaiting_head`, by the time of the last read.
    partial: Queue,
    /// Connections whose request body is being read, by the time of the last read.
    uploading: Queue,
    /// Idle connections that have sent at least one request other than a health check.
    idle: Queue,
    /// Idle connections that have sent only health checks.
    idle_unused: Queue,
    /// Connections that are being closed, by the time of the last progress: a write that the client accepted,
    /// or the half-close.
    closing: Queue,
    next_sequence: Cell<u64>,
    open: Cell<usize>,
    in_flight: Cell<usize>,
    /// Whether idle connections are closed instead of kept.
    closes_idle: Cell<bool>,
    /// Whether idle connections are evicted last.
    protects_idle: Cell<bool>,
    connection_closed: Notify,
    memory: Rc<MemoryAccountant>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    /// Waits for the first byte of its first request since the given key.
    Silent(QueueKey),
    /// Waits for the rest of a request head: the key of the start of the wait, and the key of the last read.
    Partial(QueueKey, QueueKey),
    /// Receives a request body: the key of the last read.
    Uploading(QueueKey),
    InFlight,
    Idle(QueueKey),
    Closing(QueueKey),
    Closed,
}

/// Whether and on what condition a connection is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseIntent {
    /// The connection stays open.
    KeepOpen,
    /// The connection is closed unless an unread request has arrived on it. Closing would lose that request,
    /// which the client may be unable to repeat. Carries the key from which the head timeout of an awaited
    /// first request runs.
    UnlessRequestArrives(Option<QueueKey>),
    /// No further bytes are read as a request: reads by the HTTP library return end of stream.
    Now,
}

/// How much of a request body has been read when the request is dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestBody {
    /// All of it: the next bytes belong to another request.
    Complete,
    /// The rest is read as fast as a backend accepts it.
    Streaming,
}

/// The state of one client connection.
pub struct Client {
    clients: Rc<Clients>,
    state: Cell<State>,
    has_sent_request: Cell<bool>,
    /// Whether the request in flight was received completely, so that the next bytes belong to another
    /// request.
    request_is_complete: Cell<bool>,
    /// Whether the client has closed the connection or the stream failed.
    peer_closed: Cell<bool>,
    peer_closed_notify: Notify,
    close_intent: Cell<CloseIntent>,
    /// The state of the close, once it has begun.
    close_state: Cell<Option<Closing>>,
    /// Whether only the end of the connection tells the client where its response ends.
    response_ends_with_connection: Cell<bool>,
    /// Wakes the task that serves the connection.
    task: RefCell<Option<Waker>>,
    /// The socket, once there is one.
    socket: RefCell<Option<Weak<dyn PeerSocket>>>,
    /// How much may be read before there is memory for more.
    allowance: Rc<ReadAllowance>,
    /// What has arrived at this machine.
    incoming: Incoming,
    /// The memory of a long request head.
    head_memory: HeadMemory,
    charge: ConnectionCharge,
    /// How much of the buffers was used so far.
    buffer_use: Cell<BufferUse>,
}

impl Clients {
    /// Creates a table without connections, which are charged to `memory`.
    pub fn new(memory: Rc<MemoryAccountant>) -> Clients {
        Clients { memory, ..Clients::default() }
    }

    /// The memory of the process.
    pub fn memory(&self) -> &Rc<MemoryAccountant> {
        &self.memory
    }

    /// The number of open connections.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// The number of connections with a request in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Adds a new connection that waits for its first request.
    pub fn register(self: &Rc<Self>) -> Rc<Client> {
        self.open.set(self.open.get() + 1);
        let client = Rc::new(Client {
            clients: self.clone(),
            state: Cell::new(State::Closed),
            has_sent_request: Cell::new(false),
            request_is_complete: Cell::new(false),
            peer_closed: Cell::new(false),
            peer_closed_notify: Notify::new(),
            close_intent: Cell::new(CloseIntent::KeepOpen),
            close_state: Cell::new(None),
            response_ends_with_connection: Cell::new(false),
            task: RefCell::default(),
            socket: RefCell::default(),
            allowance: Rc::new(ReadAllowance::new(SHORT_MESSAGE_BYTES)),
            incoming: Incoming::new(Instant::now()),
            head_memory: HeadMemory::default(),
            buffer_use: Cell::new(BufferUse::Short),
            charge: self.memory.charge_connection(ConnectionKind::Client),
        });
        client.set_state(State::Silent(self.next_key()));
        client
    }

    /// Removes a connection after its descriptor was closed.
    pub fn unregister(&self, client: &Rc<Client>) {
        client.set_state(State::Closed);
        client.task.take();
        self.open.set(self.open.get() - 1);
        self.connection_closed.notify_one();
    }

    /// Waits until a connection is removed.
    pub async fn wait_for_closed_connection(&self) {
        self.connection_closed.notified().await;
    }

    /// Closes the connections whose timeout has expired.
    pub fn close_expired(&self) {
        self.close_expired_at(Instant::now());
    }

    fn close_expired_at(&self, now: Instant) {
        // While idle connections are being closed, a new connection still gets enough time for a normal first
        // request.
        let silent = if self.closes_idle.get() { SILENT_EVICTION_AGE } else { REQUEST_HEAD_TIMEOUT };
        let timeouts = [
            (&self.silent, silent),
            (&self.awaiting_head, REQUEST_HEAD_TIMEOUT),
            (&self.uploading, BODY_PROGRESS_TIMEOUT),
            (&self.idle, IDLE_TIMEOUT),
            (&self.idle_unused, IDLE_TIMEOUT),
        ];
        for (queue, timeout) in timeouts {
            while Clients::oldest_entry_time(queue).is_some_and(|since| now - since >= timeout) {
                Clients::close_oldest(queue);
            }
        }
        self.close_held_heads(now, HELD_HEAD_TIMEOUT);
        let has_expired = |client: &Rc<Client>| client.next_step(now) == Step::Close;
        while let Some(client) = Clients::oldest_client(&self.closing).filter(&has_expired) {
            client.abandon();
        }
    }

    /// Evicts idle connections last from now on. During a shutdown their clients may find no other proxy, and
    /// many new clients that keep connecting would otherwise displace them.
    pub fn protect_idle(&self) {
        self.protects_idle.set(true);
    }

    /// Closes idle connections from now on, unless an unread request has arrived on them.
    pub fn close_idle(&self) {
        self.closes_idle.set(true);
        for idle in [&self.idle, &self.idle_unused] {
            idle.borrow().values().for_each(|client| client.wake());
        }
    }

    fn next_key(&self) -> QueueKey {
        (Instant::now(), self.next_sequence.replace(self.next_sequence.get() + 1))
    }

    /// Returns the time at which the oldest entry of a queue was added.
    fn oldest_entry_time(queue: &Queue) -> Option<Instant> {
        queue.borrow().first_key_value().map(|((since, _), _)| *since)
    }

    fn oldest_client(queue: &Queue) -> Option<Rc<Client>> {
        queue.borrow().first_key_value().map(|(_, client)| client.clone())
    }

    fn close_oldest(queue: &Queue) {
        if let Some(client) = Clients::oldest_client(queue) {
            // A partial or uploading connection is closed without a check for unread bytes. Otherwise a
            // client that sends a byte from time to time would never be closed.
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
    /// Records that a request head is complete and that its body is being read.
    pub fn on_head_received(self: &Rc<Self>) {
        self.head_memory.stop_waiting();
        self.set_state(State::Uploading(self.clients.next_key()));
        self.has_sent_request.set(true);
    }

    /// Records that the request is in flight.
    pub fn on_request_dispatched(self: &Rc<Self>, body: RequestBody) {
        self.set_state(State::InFlight);
        self.request_is_complete.set(body == RequestBody::Complete);
    }

    /// Records that bytes were read that may belong to a request.
    fn on_bytes_received(self: &Rc<Self>) {
        let key = self.clients.next_key();
        if let CloseIntent::UnlessRequestArrives(awaited_since) = self.close_intent.get() {
            self.close_intent.set(CloseIntent::KeepOpen);
            self.close_state.set(None);
            return self.set_state(State::Partial(awaited_since.unwrap_or(key), key));
        }
        match self.state.get() {
            State::Idle(_) => self.set_state(State::Partial(key, key)),
            State::Silent(since) | State::Partial(since, _) => self.set_state(State::Partial(since, key)),
            State::Uploading(_) => self.set_state(State::Uploading(key)),
            State::InFlight | State::Closing(_) | State::Closed => {}
        }
    }

    /// Records that the response has been sent.
    pub fn on_response_sent(self: &Rc<Self>) {
        self.head_memory.release();
        self.charge.charge_buffers(self.buffer_use.get());
        self.allowance.set(self.unreserved_bytes());
        match (self.state.get(), self.close_intent.get()) {
            (State::Closed, _) => {}
            (_, CloseIntent::Now) => self.begin_close(CloseIntent::Now),
            _ => self.set_state(State::Idle(self.clients.next_key())),
        }
    }

    /// Closes the connection after the response. Bytes that the client sends from now on are not read as a
    /// request.
    pub fn close_after_response(&self) {
        self.close_intent.set(CloseIntent::Now);
    }

    /// Records that only the end of the connection tells the client where its response ends.
    pub fn end_response_with_connection(&self) {
        self.response_ends_with_connection.set(true);
    }

    /// Whether the client can tell a response that broke off from a complete one only by a reset.
    pub fn needs_reset_after_incomplete_response(&self) -> bool {
        self.response_ends_with_connection.get()
    }

    /// Records that the request was rejected. The connection is closed after the response.
    pub fn on_request_rejected(self: &Rc<Self>) {
        self.begin_close(CloseIntent::Now);
    }

    /// Records how much of the buffers a body uses that is received or sent without a reservation.
    pub fn on_buffers_used(&self, buffer_use: BufferUse) {
        self.charge.charge_buffers(buffer_use);
        self.on_reserved_buffers_used(buffer_use);
    }

    /// Records how much of the buffers a body uses that a reservation covers. They are charged to the connection once
    /// the response was sent.
    pub fn on_reserved_buffers_used(&self, buffer_use: BufferUse) {
        self.buffer_use.set(self.buffer_use.get().max(buffer_use));
    }

    /// Whether the connection is to be closed after the response, because memory is short and its buffers keep
    /// more of it than those of a new one.
    pub fn gives_back_buffers(&self) -> bool {
        self.buffer_use.get() > BufferUse::Short && self.clients.memory.is_short()
    }

    /// How many bytes of a request may be read without a reservation.
    fn unreserved_bytes(&self) -> usize {
        match self.charge.buffer_use() {
            BufferUse::Short => SHORT_MESSAGE_BYTES,
            BufferUse::Unreserved | BufferUse::Reserved => UNRESERVED_BYTES,
        }
    }

    /// How much of the request may be read before there is memory for more.
    pub fn allowance(&self) -> &Rc<ReadAllowance> {
        &self.allowance
    }

    /// What has arrived at this machine.
    pub fn incoming(&self) -> &Incoming {
        &self.incoming
    }

    /// Whether a request is received whose last byte may arrive before it is read.
    fn receives_slowly(&self) -> bool {
        match self.state.get() {
            State::Partial(..) | State::Uploading(_) => true,
            State::InFlight => !self.request_is_complete.get(),
            State::Silent(_) | State::Idle(_) | State::Closing(_) | State::Closed => false,
        }
    }

    /// Returns how many bytes may be read now. For a long request head, waits for memory; a body's consumer does
    /// that itself.
    fn poll_allowance(&self, cx: &mut Context<'_>) -> Poll<usize> {
        ready!(self.head_memory.poll_fields(cx));
        let remaining = self.allowance.poll_remaining(cx);
        if remaining > 0 {
            return Poll::Ready(remaining);
        }
        if self.charge.buffer_use() == BufferUse::Short && self.charge.try_charge_buffers() {
            self.allowance.set(UNRESERVED_BYTES - SHORT_MESSAGE_BYTES);
            return Poll::Ready(UNRESERVED_BYTES - SHORT_MESSAGE_BYTES);
        }
        if !matches!(self.state.get(), State::Silent(_) | State::Partial(..) | State::Idle(_)) {
            return Poll::Pending;
        }
        self.head_memory.poll_piece(&self.clients.memory, cx).map(|bytes| {
            self.allowance.set(bytes);
            bytes
        })
    }

    /// Whether there is memory for one more parsed head with so many fields. Only heads with few fields are parsed
    /// ahead of their turn.
    fn has_memory_for_head(&self, head: ScannedHead) -> bool {
        if head.is_pipelined {
            return head.fields <= CHARGED_FIELDS && self.charge.try_charge_buffers();
        }
        self.head_memory.has_memory_for_fields(&self.clients.memory, head.fields)
    }

    /// Whether the connection is closed although a whole head was read that waits for memory: its client is owed a
    /// refusal.
    fn owes_refusal(&self) -> bool {
        self.head_memory.holds_head() && !self.peer_closed.get()
    }

    /// Whether no further bytes are read as a request.
    pub fn is_closing(&self) -> bool {
        self.close_intent.get() == CloseIntent::Now
    }

    /// Whether the client has closed the connection or the stream failed.
    pub fn has_peer_closed(&self) -> bool {
        self.peer_closed.get()
    }

    /// Sets the socket of the connection.
    pub fn set_socket(&self, socket: Weak<dyn PeerSocket>) {
        *self.socket.borrow_mut() = Some(socket);
    }

    /// Whether the client has closed the connection, even if bytes before its end were not read.
    pub fn has_left(&self) -> bool {
        let socket = self.socket.borrow().as_ref().and_then(Weak::upgrade);
        self.peer_closed.get() || socket.is_some_and(|socket| socket.is_closed_by_peer())
    }

    /// Waits until the client closes the connection or the stream fails.
    pub async fn wait_for_peer_close(&self) {
        while !self.peer_closed.get() {
            self.peer_closed_notify.notified().await;
        }
    }

    /// Starts closing the connection.
    fn begin_close(self: &Rc<Self>, intent: CloseIntent) {
        self.close_intent.set(intent);
        let key = self.clients.next_key();
        if self.close_state.get().is_none() {
            self.close_state.set(Some(Closing::start(key.0)));
        }
        self.set_state(State::Closing(key));
    }

    /// Returns the next step of the close.
    fn next_step(&self, now: Instant) -> Step {
        self.close_state.get().map_or(Step::Close, |close| close.next_step(now))
    }

    /// Whether the close has got beyond the last write.
    fn has_written_all(&self) -> bool {
        self.close_state.get().is_some_and(|close| !close.is_flushing())
    }

    /// Applies an event to the close, if one has begun.
    fn on_close_event(self: &Rc<Self>, event: Event) {
        if let Some(close) = self.close_state.get() {
            let key = self.clients.next_key();
            self.close_state.set(Some(close.on_event(key.0, event)));
            // Progress moves the connection to the end of the closing queue. It stays in that queue until it
            // is closed, because nothing else would time it out.
            if matches!(event, Event::Written | Event::HalfClosed)
                && matches!(self.state.get(), State::Closing(_))
            {
                self.set_state(State::Closing(key));
            }
        }
    }

    /// Whether the close has ended or its time is up, so that the connection no longer waits for its client.
    fn is_abandoned(&self) -> bool {
        self.close_state.get().is_some_and(|close| close.next_step(Instant::now()) == Step::Close)
    }

    /// Ends the close immediately.
    fn abandon(self: &Rc<Self>) {
        self.on_close_event(Event::Ended);
        self.set_state(State::Closed);
        self.wake();
    }

    /// Records that the client has closed the connection or the stream failed.
    fn on_peer_closed(&self) {
        self.peer_closed.set(true);
        self.peer_closed_notify.notify_one();
    }

    fn set_state(self: &Rc<Self>, state: State) {
        let clients = &self.clients;
        let idle = if self.has_sent_request.get() { &clients.idle } else { &clients.idle_unused };
        match self.state.replace(state) {
            State::Silent(since) => {
                clients.awaiting_head.borrow_mut().remove(&since);
                clients.silent.borrow_mut().remove(&since);
            }
            State::Partial(since, last) => {
                clients.awaiting_head.borrow_mut().remove(&since);
                clients.partial.borrow_mut().remove(&last);
            }
            State::Uploading(key) => _ = clients.uploading.borrow_mut().remove(&key),
            State::Idle(key) => _ = idle.borrow_mut().remove(&key),
            State::Closing(key) => _ = clients.closing.borrow_mut().remove(&key),
            State::InFlight => clients.in_flight.set(clients.in_flight.get() - 1),
            State::Closed => {}
        }
        match state {
            State::Silent(since) => {
                clients.awaiting_head.borrow_mut().insert(since, self.clone());
                clients.silent.borrow_mut().insert(since, self.clone());
            }
            State::Partial(since, last) => {
                clients.awaiting_head.borrow_mut().insert(since, self.clone());
                clients.partial.borrow_mut().insert(last, self.clone());
            }
            State::Uploading(key) => _ = clients.uploading.borrow_mut().insert(key, self.clone()),
            State::Idle(key) => _ = idle.borrow_mut().insert(key, self.clone()),
            State::Closing(key) => _ = clients.closing.borrow_mut().insert(key, self.clone()),
            State::InFlight => clients.in_flight.set(clients.in_flight.get() + 1),
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
