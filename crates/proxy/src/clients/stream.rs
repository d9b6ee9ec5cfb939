//! The socket of one client: what the HTTP library reads and writes on it, detection of its close while the library
//! does neither, and its own close.
//!
//! `listen.rs` makes a [`Connection`] for each accepted socket, and gives the HTTP library a [`Stream`] of it. What the
//! connection is waiting for and when it is evicted is the [`Client`]'s; nothing here interprets a request.
//!
//! actix-http reads on while a request is in flight and takes what comes for further requests; or it does not read at
//! all: after something that is no request, and while a body waits for its endpoint. In neither case would it notice that
//! the client has closed. So what comes behind a request in flight is kept here, and what the library leaves unread is
//! read ahead of it, up to [`READ_AHEAD_BYTES`]. A client that sends more behind a complete request gets its response as
//! the last one, and the rest is dropped: behind bytes that are left unread, its close need never arrive. A body that
//! waits is left unread, which holds its client back, and the runtime tells of a close behind it.

use super::{Client, CloseIntent, State};
use crate::closing::{Event, Step};
use crate::interrupted::poll_uninterrupted;
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
use std::time::Instant;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::timeout_at;

/// Most bytes that are read ahead of the HTTP library. Danger: each of hundreds of clients may send as much as it likes.
const READ_AHEAD_BYTES: usize = 16 * 1024;
/// A client that sends this much behind a request in flight counts as closed.
const FLOOD_BYTES: usize = 4 * 1024 * 1024;
/// Most bytes read at a time where they are dropped or kept here.
const CHUNK_BYTES: usize = 16 * 1024;

/// The system calls on a client's socket. Tests have one whose calls fail.
pub trait ClientSocket: ActixStream {
    /// The socket itself, for what the runtime knows of it.
    fn tcp(&self) -> &TcpStream;
    /// Reads what has come, whether or not the runtime has heard of it.
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

/// One connection, shared between the HTTP library and the task that ends it.
pub struct Connection<S = TcpStream> {
    stream: RefCell<S>,
    client: Rc<Client>,
    /// Read and not yet given to the library.
    read_ahead: RefCell<BytesMut>,
    /// Bytes dropped behind the request in flight, which is the last.
    dropped_bytes: Cell<usize>,
    /// In this poll of the task the library has asked for bytes and waits for the socket.
    library_awaits_socket: Cell<bool>,
    /// In this poll it was given some bytes.
    library_was_fed: Cell<bool>,
    /// The library has asked for bytes and was told to wait, without a read of the socket.
    read_was_deferred: Cell<bool>,
    /// The runtime was told that the socket is not readable, without a read that showed it.
    readiness_unknown: Cell<bool>,
}

/// The side of a connection that the HTTP library has.
pub struct Stream<S = TcpStream>(pub Rc<Connection<S>>);

impl<S: ClientSocket> Connection<S> {
    /// A socket that was accepted, and its state.
    pub fn new(stream: S, client: Rc<Client>) -> Connection<S> {
        Connection {
            stream: RefCell::new(stream),
            client,
            read_ahead: RefCell::default(),
            dropped_bytes: Cell::new(0),
            library_awaits_socket: Cell::new(false),
            library_was_fed: Cell::new(false),
            read_was_deferred: Cell::new(false),
            readiness_unknown: Cell::new(false),
        }
    }

    /// Its state.
    pub fn client(&self) -> &Rc<Client> {
        &self.client
    }

    /// Runs what serves the connection, and notices its client's close meanwhile.
    pub async fn serve<T>(&self, serving: impl Future<Output = T>) -> T {
        let mut serving = pin!(serving);
        poll_fn(|cx| {
            self.register_task(cx);
            self.library_awaits_socket.set(false);
            let polled = serving.as_mut().poll(cx);
            self.library_was_fed.set(false);
            if polled.is_pending() && !self.library_awaits_socket.get() {
                if !self.defers_reads() && self.read_was_deferred.take() {
                    cx.waker().wake_by_ref();
                } else {
                    self.poll_peer_closed(cx);
                }
            }
            polled
        })
        .await
    }

    /// Closes gracefully: whatever ended the connection, its client can read what was written for it. Resolves when
    /// nothing is left but to drop the connection.
    pub async fn close(&self) {
        let client = &self.client;
        client.begin_close(CloseIntent::Now);
        client.on_close_event(Event::Flushed);
        loop {
            match client.next_step(Instant::now()) {
                Step::Close => return,
                Step::Flush { .. } => client.on_close_event(Event::Flushed), // the library writes no more
                Step::HalfClose => {
                    let shut = poll_fn(|cx| Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(cx)).await;
                    client.on_close_event(if shut.is_ok() { Event::HalfClosed } else { Event::Over });
                }
                Step::Drain { at_most, until } => {
                    let dropped = timeout_at(until.into(), self.drop_bytes(at_most)).await;
                    client.on_close_event(match dropped {
                        Ok(0) => Event::Over,
                        Ok(n) => Event::Dropped(n),
                        Err(_elapsed) => continue, // the next step says so
                    });
                }
            }
        }
    }

    /// Reads and drops some bytes; none if the client has closed, the stream broke, or the descriptor is needed.
    async fn drop_bytes(&self, at_most: usize) -> usize {
        poll_fn(|cx| {
            self.register_task(cx);
            if self.client.next_step(Instant::now()) == Step::Close {
                return Poll::Ready(0);
            }
            let mut space = [MaybeUninit::uninit(); CHUNK_BYTES];
            let mut came = ReadBuf::uninit(&mut space[..at_most.min(CHUNK_BYTES)]);
            self.poll_read_socket(cx, &mut came).map(|read| read.map_or(0, |()| came.filled().len()))
        })
        .await
    }

    fn register_task(&self, cx: &Context<'_>) {
        let mut task = self.client.task.borrow_mut();
        if !task.as_ref().is_some_and(|task| task.will_wake(cx.waker())) {
            *task = Some(cx.waker().clone());
        }
    }

    /// Whether the library is given no bytes now. Danger: it makes requests of all that it has, however many, and after
    /// what is no request it never reads again.
    fn defers_reads(&self) -> bool {
        let client = &self.client;
        match client.state.get() {
            State::InFlight => client.request_is_complete.get(),
            State::Silent(_) | State::Partial(..) | State::Idle(_) => self.library_was_fed.get(),
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
        if client.peer_closed.get() || client.is_ending() && !in_flight {
            return Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        let mut read = self.poll_read_buffered(cx, buf);
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
                self.library_was_fed.set(true);
                client.on_bytes_received();
            }
            Poll::Ready(_) => client.on_peer_closed(),
            Poll::Pending => self.library_awaits_socket.set(true),
        }
        read
    }

    fn closes_unless_request_arrives(&self) -> bool {
        let client = &self.client;
        let is_evicted = matches!(client.close_intent.get(), CloseIntent::UnlessRequestArrives(_));
        let is_retired = client.all.retiring.get() && matches!(client.state.get(), State::Idle(_));
        is_evicted || is_retired
    }

    /// What was read ahead, or else what the socket has.
    fn poll_read_buffered(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut ahead = self.read_ahead.borrow_mut();
        if ahead.is_empty() {
            return self.poll_read_socket(cx, buf);
        }
        let part = ahead.len().min(buf.remaining());
        buf.put_slice(&ahead[..part]);
        ahead.advance(part);
        if ahead.is_empty() {
            *ahead = BytesMut::new(); // few clients send ahead, and none does always
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

    /// Reads the socket whether or not the runtime knows it to be readable. Danger: of what came in this poll it does not
    /// know. Nothing to read is [`ErrorKind::WouldBlock`]; pending, with the task woken, after too many interruptions.
    fn poll_read_directly(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let stream = self.stream.borrow();
        poll_uninterrupted(cx, |_| {
            let read = stream.read_directly(buf.initialize_unfilled())?;
            buf.advance(read);
            Poll::Ready(Ok(()))
        })
    }

    /// Notices the client's close while the library waits for nothing from it, and reads ahead as far as that takes.
    fn poll_peer_closed(&self, cx: &mut Context<'_>) {
        let client = &self.client;
        while !client.peer_closed.get() {
            let is_complete = client.state.get() == State::InFlight && client.request_is_complete.get();
            let mut room = READ_AHEAD_BYTES.saturating_sub(self.read_ahead.borrow().len());
            if room == 0 && is_complete {
                client.end_after_response();
            }
            let drops = is_complete && client.is_ending();
            if drops {
                self.read_ahead.take();
                room = CHUNK_BYTES;
            }
            let mut space = [MaybeUninit::uninit(); CHUNK_BYTES];
            let mut came = ReadBuf::uninit(&mut space[..room.min(CHUNK_BYTES)]);
            let seen =
                if room == 0 { self.poll_end_of_stream(cx) } else { self.poll_read_socket(cx, &mut came) };
            let came = came.filled();
            match seen {
                Poll::Pending => return,
                Poll::Ready(Ok(())) if came.is_empty() => client.on_peer_closed(),
                Poll::Ready(Err(_)) => client.on_peer_closed(),
                Poll::Ready(Ok(())) if drops => {
                    self.dropped_bytes.set(self.dropped_bytes.get() + came.len());
                    if self.dropped_bytes.get() >= FLOOD_BYTES {
                        client.on_peer_closed();
                    }
                }
                Poll::Ready(Ok(())) => self.read_ahead.borrow_mut().extend_from_slice(came),
            }
        }
    }

    /// The end of the stream behind bytes that are left unread, which holds their sender back.
    fn poll_end_of_stream(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let stream = self.stream.borrow();
        let stream = stream.tcp();
        loop {
            match stream.ready(Interest::READABLE).now_or_never() {
                Some(Ok(ready)) if !ready.is_read_closed() => {}
                Some(_) => return Poll::Ready(Ok(())),
                None => {}
            }
            // Clears the readiness, or each poll of the task would find it again. What comes next is noticed, and so is
            // the end, which is not cleared.
            self.readiness_unknown.set(true);
            let _ = stream.try_io(Interest::READABLE, || Err::<(), _>(ErrorKind::WouldBlock.into()));
            if stream.poll_read_ready(cx).is_pending() {
                return Poll::Pending;
            }
        }
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
        // Danger: nothing else bounds how long the library waits for a client that does not read its answer.
        if client.is_abandoned() {
            return Poll::Ready(Err(ErrorKind::TimedOut.into()));
        }
        let mut stream = stream.borrow_mut();
        let wrote = poll_uninterrupted(cx, |cx| Pin::new(&mut *stream).poll_write(cx, buf));
        if matches!(wrote, Poll::Ready(Ok(n)) if n > 0) {
            client.on_close_event(Event::Wrote);
        }
        wrote
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.stream.borrow_mut()).poll_flush(cx)
    }

    /// Nothing: all that the library has written is out, and [`Connection::close`] does the rest, here as where the
    /// library drops its end without a word.
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
