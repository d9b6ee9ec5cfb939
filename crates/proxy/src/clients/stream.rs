//! The socket of one client: the reads and writes of the HTTP library, detection of the client's close while
//! the library does neither, and the graceful close.
//!
//! `listen.rs` creates a [`Connection`] for each accepted socket and passes the HTTP library a [`Stream`] of
//! it. The state and the eviction of the connection belong to [`Client`]; this module does not interpret
//! requests.
//!
//! While a request is in flight, actix-http either keeps reading and parses the bytes as further requests, or
//! does not read at all: after bytes that are not a request, and while a body waits for its endpoint. In
//! neither case does it notice that the client has closed. Therefore bytes behind a request in flight are
//! buffered here, and bytes that the library leaves unread are read ahead of it, up to
//! [`MAX_READ_AHEAD_BYTES`]. If a client sends more than that behind a complete request, the response to that
//! request is the last one on the connection and the further bytes are discarded: a close behind unread bytes
//! may never become visible. A body that waits stays unread, which applies backpressure to its client; the
//! runtime reports a close behind it.
//!
//! The library would read 128 KiB of a body at once, and as much again while its consumer reads nothing. So
//! [`ReadAllowance`](crate::memory::ReadAllowance) limits what it gets until the consumer asks for more.

use super::{Client, CloseIntent, State};
use crate::closing::{Event, Step};
use crate::interrupted::poll_uninterrupted;
use crate::memory::{Owner, Reservation};
use crate::platform::client::refusal_bytes;
use actix_rt::net::{ActixStream, Ready};
use bytes::{Buf, BytesMut};
use futures_util::FutureExt;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io::{self, ErrorKind, Read};
use std::mem::MaybeUninit;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{timeout, timeout_at};

/// Maximum number of bytes that are read ahead of the HTTP library, per connection. Without this limit, each
/// of hundreds of clients could occupy any amount of memory.
const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;
/// A client that sends this many excess bytes behind a request in flight is treated as closed.
const MAX_DISCARDED_BYTES: usize = 4 * 1024 * 1024;
/// Maximum size of one read that this module discards or buffers.
const CHUNK_BYTES: usize = 16 * 1024;

/// Maximum time for the write of a refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(100);

/// The system calls on a client's socket. Tests use an implementation whose calls fail.
pub trait ClientSocket: ActixStream {
    /// Returns the socket itself, for its readiness in the runtime.
    fn tcp(&self) -> &TcpStream;
    /// Reads from the socket without consulting the runtime's readiness.
    fn read_directly(&self, buf: &mut [u8]) -> io::Result<usize>;
}

impl ClientSocket for TcpStream {
    fn tcp(&self) -> &TcpStream {
        self
    }

    fn read_directly(&self, buf: &mut [u8]) -> io::Result<usize> {
        (&*SockRef::from(self)).read(buf)
    }
}

/// A socket whose other end may have been closed.
pub trait PeerSocket {
    /// Whether the other end was closed or the connection failed, as far as the runtime was told: even if bytes before
    /// the end were not read.
    fn is_closed_by_peer(&self) -> bool;
}

/// One connection, shared between the HTTP library and the task that closes it.
pub struct Connection<S = TcpStream> {
    stream: RefCell<S>,
    client: Rc<Client>,
    /// Bytes that were read but not yet passed to the library.
    read_ahead: RefCell<BytesMut>,
    /// The memory of `read_ahead`, if it is not empty.
    read_ahead_memory: RefCell<Option<Reservation>>,
    /// The number of bytes discarded behind the last request of the connection while it is in flight.
    discarded_bytes: Cell<usize>,
    /// Whether the library has requested bytes in this poll of the task and waits for the socket.
    library_awaits_socket: Cell<bool>,
    /// Whether the library has received bytes in this poll of the task.
    library_received_bytes: Cell<bool>,
    /// Whether a read of the library returned pending without a read of the socket.
    read_was_deferred: Cell<bool>,
    /// Whether the runtime's read readiness was cleared without a read that returned `WouldBlock`.
    readiness_unknown: Cell<bool>,
}

/// The stream through which the HTTP library uses a connection.
pub struct Stream<S = TcpStream>(pub Rc<Connection<S>>);

impl<S: ClientSocket> Connection<S> {
    /// Creates the connection of an accepted socket and its state.
    pub fn new(stream: S, client: Rc<Client>) -> Connection<S> {
        Connection {
            stream: RefCell::new(stream),
            client,
            read_ahead: RefCell::default(),
            read_ahead_memory: RefCell::default(),
            discarded_bytes: Cell::new(0),
            library_awaits_socket: Cell::new(false),
            library_received_bytes: Cell::new(false),
            read_was_deferred: Cell::new(false),
            readiness_unknown: Cell::new(false),
        }
    }

    /// Returns the state of the connection.
    pub fn client(&self) -> &Rc<Client> {
        &self.client
    }

    /// Runs the future that serves the connection and detects the client's close in the meantime.
    pub async fn serve<T>(&self, serving: impl Future<Output = T>) -> T {
        let mut serving = pin!(serving);
        poll_fn(|cx| {
            self.register_task(cx);
            self.note_arrivals();
            self.library_awaits_socket.set(false);
            let polled = serving.as_mut().poll(cx);
            self.library_received_bytes.set(false);
            if polled.is_pending() && !self.library_awaits_socket.get() {
                let may_read = !self.defers_reads() && self.client.incoming().accepts_bytes();
                if may_read && self.read_was_deferred.take() {
                    cx.waker().wake_by_ref();
                } else {
                    self.poll_peer_closed(cx);
                }
            }
            polled
        })
        .await
    }

    /// Lets the client see a reset and no end of the stream once the connection is dropped.
    pub fn reset(&self) {
        let _ = SockRef::from(self.stream.borrow().tcp()).set_linger(Some(Duration::ZERO)); // fails if it has ended
    }

    /// Closes the connection gracefully: whatever ended it, the client can read everything that was written.
    /// After this, the connection only has to be dropped.
    pub async fn close(&self) {
        let client = &self.client;
        client.begin_close(CloseIntent::Now);
        if client.owes_refusal() {
            self.write_refusal().await;
        }
        client.on_close_event(Event::Flushed);
        loop {
            match client.next_step(Instant::now()) {
                Step::Close => return,
                Step::Flush { .. } => client.on_close_event(Event::Flushed), // the library is done writing
                Step::HalfClose => {
                    let shutdown =
                        poll_fn(|cx| Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(cx)).await;
                    client.on_close_event(if shutdown.is_ok() { Event::HalfClosed } else { Event::Ended });
                }
                Step::Drain { max_bytes, deadline } => {
                    let drained = timeout_at(deadline.into(), self.discard_bytes(max_bytes)).await;
                    client.on_close_event(match drained {
                        Ok(0) => Event::Ended,
                        Ok(n) => Event::Drained(n),
                        Err(_elapsed) => continue, // the next step is `Step::Close`
                    });
                }
            }
        }
    }

    /// Refuses a request whose head the library did not get. A short write fits into the system's buffer, or the
    /// client has not read what came before.
    async fn write_refusal(&self) {
        let refusal = refusal_bytes();
        let write = poll_fn(|cx| Pin::new(&mut *self.stream.borrow_mut()).poll_write(cx, refusal.as_bytes()));
        let _ = timeout(REFUSAL_TIMEOUT, write).await;
    }

    /// Reads and discards bytes and returns their number, or 0 if the client has closed, the stream failed,
    /// or the close was abandoned.
    async fn discard_bytes(&self, max_bytes: usize) -> usize {
        poll_fn(|cx| {
            self.register_task(cx);
            if self.client.next_step(Instant::now()) == Step::Close {
                return Poll::Ready(0);
            }
            let mut storage = [MaybeUninit::uninit(); CHUNK_BYTES];
            let mut received = ReadBuf::uninit(&mut storage[..max_bytes.min(CHUNK_BYTES)]);
            self.poll_read_socket(cx, &mut received).map(|read| read.map_or(0, |()| received.filled().len()))
        })
        .await
    }

    fn register_task(&self, cx: &Context<'_>) {
        let mut task = self.client.task.borrow_mut();
        if !task.as_ref().is_some_and(|task| task.will_wake(cx.waker())) {
            *task = Some(cx.waker().clone());
        }
    }

    /// Notes what has arrived of a request that is not read as fast as it arrives, or of one behind the request in
    /// flight. While nothing is read, the runtime wakes the task whenever more arrives.
    fn note_arrivals(&self) {
        let read_ahead = self.read_ahead.borrow().len() as u64;
        if self.client.receives_slowly() || read_ahead > 0 {
            let in_system = rustix::io::ioctl_fionread(self.stream.borrow().tcp()).unwrap_or(0);
            self.client.incoming().arrivals().on_unread(in_system + read_ahead, Instant::now());
        }
    }

    /// Whether reads of the library are deferred. The library parses everything that it reads into requests,
    /// without a limit on their number, and after bytes that are not a request it never reads again.
    fn defers_reads(&self) -> bool {
        let client = &self.client;
        match client.state.get() {
            State::InFlight => client.request_is_complete.get(),
            State::Silent(_) | State::Partial(..) | State::Idle(_) => self.library_received_bytes.get(),
            State::Uploading(_) | State::Closing(_) | State::Closed => false,
        }
    }

    fn poll_read(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let client = &self.client;
        if self.defers_reads() {
            self.read_was_deferred.set(true);
            return Poll::Pending;
        }
        let in_flight = client.state.get() == State::InFlight;
        if client.peer_closed.get() || client.is_closing() && !in_flight {
            return Poll::Ready(Ok(()));
        }
        if !client.incoming().accepts_bytes() {
            self.read_was_deferred.set(true);
            return Poll::Pending;
        }
        let Poll::Ready(allowed) = client.poll_allowance(cx) else { return Poll::Pending };
        let before = buf.filled().len();
        let mut read = self.poll_read_at_most(cx, buf, allowed);
        if read.is_pending() && self.closes_unless_request_arrives() {
            read = match self.poll_read_directly(cx, buf) {
                Poll::Ready(Err(e)) if e.kind() == ErrorKind::WouldBlock => {
                    client.begin_close(CloseIntent::Now);
                    return Poll::Ready(Ok(()));
                }
                read => read,
            };
        }
        match &read {
            Poll::Ready(Ok(())) if buf.filled().len() > before => {
                return self.pass_on_accepted(cx, buf, before);
            }
            Poll::Ready(_) => client.on_peer_closed(),
            Poll::Pending => self.library_awaits_socket.set(true),
        }
        read
    }

    /// Leaves those of the bytes that were read from `before` on in the buffer that the library may have.
    fn pass_on_accepted(
        &self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
        before: usize,
    ) -> Poll<io::Result<()>> {
        let client = &self.client;
        let has_memory = |head| client.has_memory_for_head(head);
        let accepted = client.incoming().accept(&buf.filled()[before..], Instant::now(), has_memory);
        self.put_back(&buf.filled()[before + accepted..]);
        buf.set_filled(before + accepted);
        self.client.on_bytes_received();
        if accepted == 0 {
            // The consumer of the body was woken, and rejects the request; or the head waits for memory.
            if client.head_memory.poll_fields(cx).is_ready() {
                self.read_was_deferred.set(true);
            }
            return Poll::Pending;
        }
        self.library_received_bytes.set(true);
        self.client.allowance().consume(accepted);
        Poll::Ready(Ok(()))
    }

    /// Puts bytes that the library may not have yet before those that were read ahead.
    fn put_back(&self, bytes: &[u8]) {
        if !bytes.is_empty() {
            let mut read_ahead = self.read_ahead.borrow_mut();
            let behind = std::mem::replace(&mut *read_ahead, BytesMut::from(bytes));
            read_ahead.extend_from_slice(&behind);
        }
    }

    fn closes_unless_request_arrives(&self) -> bool {
        let client = &self.client;
        let is_evicted = matches!(client.close_intent.get(), CloseIntent::UnlessRequestArrives(_));
        let closes_as_idle = client.clients.closes_idle.get() && matches!(client.state.get(), State::Idle(_));
        is_evicted || closes_as_idle
    }

    /// Reads up to a number of bytes.
    fn poll_read_at_most(
        &self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
        max_bytes: usize,
    ) -> Poll<io::Result<()>> {
        if buf.remaining() <= max_bytes {
            return self.poll_read_buffered(cx, buf);
        }
        let mut limited = ReadBuf::new(buf.initialize_unfilled_to(max_bytes));
        let read = self.poll_read_buffered(cx, &mut limited);
        let length = limited.filled().len();
        buf.advance(length);
        read
    }

    /// Reads from the read-ahead buffer, or from the socket if the buffer is empty.
    fn poll_read_buffered(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut buffered = self.read_ahead.borrow_mut();
        if buffered.is_empty() {
            return self.poll_read_socket(cx, buf);
        }
        let length = buffered.len().min(buf.remaining());
        buf.put_slice(&buffered[..length]);
        buffered.advance(length);
        if buffered.is_empty() {
            *buffered = BytesMut::new(); // frees the memory, which few clients need and none all the time
            self.read_ahead_memory.take();
        }
        Poll::Ready(Ok(()))
    }

    fn poll_read_socket(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if self.readiness_unknown.get() {
            match self.poll_read_directly(cx, buf) {
                Poll::Ready(Err(e)) if e.kind() == ErrorKind::WouldBlock => self.readiness_unknown.set(false),
                read => return read,
            }
        }
        let mut stream = self.stream.borrow_mut();
        poll_uninterrupted(cx, |cx| Pin::new(&mut *stream).poll_read(cx, buf))
    }

    /// Reads the socket without consulting the runtime's readiness, which does not yet include bytes that
    /// arrived during this poll. Returns [`ErrorKind::WouldBlock`] if there is nothing to read, and pending,
    /// with the task woken, after too many interruptions.
    fn poll_read_directly(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let stream = self.stream.borrow();
        poll_uninterrupted(cx, |_| {
            let read = stream.read_directly(buf.initialize_unfilled())?;
            buf.advance(read);
            Poll::Ready(Ok(()))
        })
    }

    /// Detects the client's close while the library does not wait for bytes, and reads ahead as far as that
    /// requires.
    fn poll_peer_closed(&self, cx: &mut Context<'_>) {
        let client = &self.client;
        while !client.peer_closed.get() {
            let is_complete = client.state.get() == State::InFlight && client.request_is_complete.get();
            let mut capacity = self.read_ahead_capacity();
            if capacity == 0 && is_complete {
                client.close_after_response();
            }
            let discards = is_complete && client.is_closing();
            if discards {
                self.read_ahead.take();
                self.read_ahead_memory.take();
                capacity = CHUNK_BYTES;
            }
            let mut storage = [MaybeUninit::uninit(); CHUNK_BYTES];
            let mut received = ReadBuf::uninit(&mut storage[..capacity.min(CHUNK_BYTES)]);
            let polled = if capacity == 0 {
                self.poll_end_of_stream(cx)
            } else {
                self.poll_read_socket(cx, &mut received)
            };
            let received = received.filled();
            match polled {
                Poll::Pending => return,
                Poll::Ready(Ok(())) if received.is_empty() => client.on_peer_closed(),
                Poll::Ready(Err(_)) => client.on_peer_closed(),
                Poll::Ready(Ok(())) if discards => {
                    self.discarded_bytes.set(self.discarded_bytes.get() + received.len());
                    if self.discarded_bytes.get() >= MAX_DISCARDED_BYTES {
                        client.on_peer_closed();
                    }
                }
                Poll::Ready(Ok(())) if self.has_read_ahead_memory() => self.keep_read_ahead(received),
                // No response to these bytes is owed yet, so that they can be discarded.
                Poll::Ready(Ok(())) => client.close_after_response(),
            }
        }
    }

    fn keep_read_ahead(&self, received: &[u8]) {
        self.read_ahead.borrow_mut().extend_from_slice(received);
        self.note_arrivals();
    }

    /// How many bytes may still be read ahead. A head or body that waits for memory stays unread.
    fn read_ahead_capacity(&self) -> usize {
        match self.client.state.get() {
            State::Uploading(_) | State::Silent(_) | State::Partial(..) => 0,
            _ => MAX_READ_AHEAD_BYTES.saturating_sub(self.read_ahead.borrow().len()),
        }
    }

    /// Whether there is memory for bytes that are read ahead. That of a streamed body is reserved with it.
    fn has_read_ahead_memory(&self) -> bool {
        if self.client.state.get() == State::InFlight && !self.client.request_is_complete.get() {
            return true;
        }
        let mut memory = self.read_ahead_memory.borrow_mut();
        if memory.is_none() {
            let accountant = self.client.clients.memory();
            *memory = accountant.try_reserve(Owner::RequestHeads, MAX_READ_AHEAD_BYTES);
        }
        memory.is_some()
    }

    /// Polls for the end of the stream behind bytes that stay unread to apply backpressure to the client.
    fn poll_end_of_stream(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let stream = self.stream.borrow();
        let stream = stream.tcp();
        loop {
            match stream.ready(Interest::READABLE).now_or_never() {
                Some(Ok(ready)) if !ready.is_read_closed() => {}
                Some(_) => return Poll::Ready(Ok(())),
                None => {}
            }
            // Clears the read readiness, which every poll of the task would find again. New bytes set it
            // again, and the end of the stream is not cleared.
            self.readiness_unknown.set(true);
            let _ = stream.try_io(Interest::READABLE, || Err::<(), _>(ErrorKind::WouldBlock.into()));
            if stream.poll_read_ready(cx).is_pending() {
                return Poll::Pending;
            }
        }
    }
}

impl<S: ClientSocket> PeerSocket for Connection<S> {
    fn is_closed_by_peer(&self) -> bool {
        let stream = self.stream.borrow();
        let ready = stream.tcp().ready(Interest::READABLE).now_or_never();
        ready.is_some_and(|ready| ready.is_ok_and(|ready| ready.is_read_closed()))
    }
}

impl<S: ClientSocket> AsyncRead for Stream<S> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        self.0.poll_read(cx, buf)
    }
}

impl<S: ClientSocket> AsyncWrite for Stream<S> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let Connection { stream, client, .. } = &*self.0;
        // Nothing else limits how long the library waits for a client that does not read its response.
        if client.is_abandoned() {
            return Poll::Ready(Err(ErrorKind::TimedOut.into()));
        }
        let mut stream = stream.borrow_mut();
        let written = poll_uninterrupted(cx, |cx| Pin::new(&mut *stream).poll_write(cx, buf));
        if matches!(written, Poll::Ready(Ok(n)) if n > 0) {
            client.on_close_event(Event::Written);
        }
        written
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.stream.borrow_mut()).poll_flush(cx)
    }

    /// Does nothing: everything that the library has written is sent already, and [`Connection::close`] shuts
    /// the socket down, as it also does when the library drops its stream without a shutdown.
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

impl<S: ClientSocket> ActixStream for Stream<S> {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&*self.0.stream.borrow(), cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&*self.0.stream.borrow(), cx)
    }
}

#[cfg(test)]
mod tests;
