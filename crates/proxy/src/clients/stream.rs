//! A client's connection: what the HTTP library reads and writes of it, what is seen of it while the library does
//! neither, and its close.
//!
//! actix-http reads on while a request is in flight and takes what comes for further requests; or it does not read at
//! all: after something that is no request, and while a body waits for its backend. Then nobody hears that the client
//! has closed. So what comes behind a request in flight stays here, and whatever the library leaves unread is read
//! ahead of it, so far. Who sends more behind a whole request has its answer as the last one, and the rest is dropped:
//! behind what is left unread, an end need never arrive. A body that waits is left unread, which holds its client back,
//! and the runtime tells of an end behind it.

use super::{Client, Ending, State};
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

/// So much is read ahead of the HTTP library. Danger: each of hundreds of clients may send as much as it likes.
const AHEAD: usize = 16 * 1024;
/// Who sends so much behind a request in flight is taken to have gone.
const FLOOD: usize = 4 * 1024 * 1024;
/// Bytes read at a time where they are dropped or kept here.
const READ: usize = 16 * 1024;

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
    ahead: RefCell<BytesMut>,
    /// Dropped behind the request in flight, which is the last.
    dropped: Cell<usize>,
    /// In this turn of the task the library has asked for bytes and waits for the socket.
    waits: Cell<bool>,
    /// In this turn it has had some bytes.
    fed: Cell<bool>,
    /// It has asked for bytes and was told to wait, without the socket being asked.
    held_back: Cell<bool>,
    /// The runtime was told that the socket has nothing more to read, which nobody has tried.
    untried: Cell<bool>,
}

/// The HTTP library's end of it.
pub struct Stream<S = TcpStream>(pub Rc<Connection<S>>);

impl<S: ClientSocket> Connection<S> {
    /// A connection that was accepted.
    pub fn new(stream: S, client: Rc<Client>) -> Connection<S> {
        let (ahead, flag) = (RefCell::default(), || Cell::new(false));
        let stream = RefCell::new(stream);
        Connection {
            stream,
            client,
            ahead,
            dropped: Cell::new(0),
            waits: flag(),
            fed: flag(),
            held_back: flag(),
            untried: flag(),
        }
    }

    /// Whose it is.
    pub fn client(&self) -> &Rc<Client> {
        &self.client
    }

    /// Runs what serves the connection, and watches for its client's end meanwhile.
    pub async fn serve<T>(&self, serving: impl Future<Output = T>) -> T {
        let mut serving = pin!(serving);
        poll_fn(|cx| {
            self.hears(cx);
            self.waits.set(false);
            let polled = serving.as_mut().poll(cx);
            self.fed.set(false);
            if polled.is_pending() && !self.waits.get() {
                if !self.holds_back() && self.held_back.take() {
                    cx.waker().wake_by_ref();
                } else {
                    self.watch(cx);
                }
            }
            polled
        })
        .await
    }

    /// The close: whatever ended the connection, its client can read what was written for it. Resolves when nothing is
    /// left but to drop the connection.
    pub async fn close(&self) {
        let client = &self.client;
        client.ends(Ending::Now);
        client.close_after(Event::Flushed);
        loop {
            match client.next_step(Instant::now()) {
                Step::Close => return,
                Step::Flush { .. } => client.close_after(Event::Flushed), // whatever is left, nobody writes it
                Step::HalfClose => {
                    let shut = poll_fn(|cx| Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(cx)).await;
                    client.close_after(if shut.is_ok() { Event::HalfClosed } else { Event::Over });
                }
                Step::Drain { at_most, until } => {
                    let dropped = timeout_at(until.into(), self.drop_some(at_most)).await;
                    client.close_after(match dropped {
                        Ok(0) => Event::Over,
                        Ok(n) => Event::Dropped(n),
                        Err(_) => continue, // it is past that time
                    });
                }
            }
        }
    }

    /// Reads and drops some bytes; none if the client has closed, the stream broke, or the descriptor is needed.
    async fn drop_some(&self, at_most: usize) -> usize {
        poll_fn(|cx| {
            self.hears(cx);
            if self.client.next_step(Instant::now()) == Step::Close {
                return Poll::Ready(0);
            }
            let mut space = [MaybeUninit::uninit(); READ];
            let mut came = ReadBuf::uninit(&mut space[..at_most.min(READ)]);
            self.read(cx, &mut came).map(|read| read.map_or(0, |()| came.filled().len()))
        })
        .await
    }

    fn hears(&self, cx: &Context<'_>) {
        let mut task = self.client.task.borrow_mut();
        if !task.as_ref().is_some_and(|task| task.will_wake(cx.waker())) {
            *task = Some(cx.waker().clone());
        }
    }

    /// Whether the library is given nothing now. Danger: it makes requests of all that it has, however many, and
    /// answers what is none by never reading again.
    fn holds_back(&self) -> bool {
        let client = &self.client;
        match client.state.get() {
            State::InFlight => client.whole.get(),
            State::Silent(_) | State::Partial(..) | State::Idle(_) => self.fed.get(),
            State::Uploads(_) | State::Closing(_) | State::Gone => false,
        }
    }

    fn poll_read(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let client = &self.client;
        if self.holds_back() {
            self.held_back.set(true);
            return Poll::Pending;
        }
        let in_flight = client.state.get() == State::InFlight;
        if client.ended.get() || client.is_ending() && !in_flight {
            return Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        let mut read = self.read_on(cx, buf);
        if read.is_pending() && self.ends_unless_spoken_on() {
            read = match self.read_now(cx, buf) {
                Poll::Ready(Err(e)) if e.kind() == ErrorKind::WouldBlock => {
                    client.ends(Ending::Now);
                    return Poll::Ready(Ok(()));
                }
                read => read,
            };
        }
        match &read {
            Poll::Ready(Ok(())) if buf.filled().len() > before => {
                self.fed.set(true);
                client.came();
            }
            Poll::Ready(_) => client.notes_end(),
            Poll::Pending => self.waits.set(true),
        }
        read
    }

    fn ends_unless_spoken_on(&self) -> bool {
        let retires = || self.client.all.retiring.get() && matches!(self.client.state.get(), State::Idle(_));
        matches!(self.client.ending.get(), Ending::Unless(_)) || retires()
    }

    /// What was read ahead, or else what the socket has.
    fn read_on(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut ahead = self.ahead.borrow_mut();
        if ahead.is_empty() {
            return self.read(cx, buf);
        }
        let part = ahead.len().min(buf.remaining());
        buf.put_slice(&ahead[..part]);
        ahead.advance(part);
        if ahead.is_empty() {
            *ahead = BytesMut::new(); // few clients send ahead, and none does always
        }
        Poll::Ready(Ok(()))
    }

    fn read(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if self.untried.get() {
            match self.read_now(cx, buf) {
                Poll::Ready(Err(e)) if e.kind() == ErrorKind::WouldBlock => self.untried.set(false),
                read => return read,
            }
        }
        let mut stream = self.stream.borrow_mut();
        poll_uninterrupted(cx, |cx| Pin::new(&mut *stream).poll_read(cx, buf))
    }

    /// What the socket has, whether or not the runtime has heard of it. Danger: of what came in this turn it has not.
    /// Pending, with the task woken, where it was interrupted too often in a row to know; nothing to read is an error.
    fn read_now(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let stream = self.stream.borrow();
        poll_uninterrupted(cx, |_| {
            let read = stream.read_directly(buf.initialize_unfilled())?;
            buf.advance(read);
            Poll::Ready(Ok(()))
        })
    }

    /// Sees to it that the client's end is heard of while the library waits for nothing from it.
    fn watch(&self, cx: &mut Context<'_>) {
        let client = &self.client;
        while !client.ended.get() {
            let whole = client.state.get() == State::InFlight && client.whole.get();
            let mut room = AHEAD.saturating_sub(self.ahead.borrow().len());
            if room == 0 && whole {
                client.last_answer();
            }
            let drops = whole && client.is_ending();
            if drops {
                self.ahead.take();
                room = READ;
            }
            let mut space = [MaybeUninit::uninit(); READ];
            let mut came = ReadBuf::uninit(&mut space[..room.min(READ)]);
            let seen = if room == 0 { self.poll_end(cx) } else { self.read(cx, &mut came) };
            let came = came.filled();
            match seen {
                Poll::Pending => return,
                Poll::Ready(Ok(())) if came.is_empty() => client.notes_end(),
                Poll::Ready(Err(_)) => client.notes_end(),
                Poll::Ready(Ok(())) if drops => {
                    self.dropped.set(self.dropped.get() + came.len());
                    if self.dropped.get() >= FLOOD {
                        client.notes_end();
                    }
                }
                Poll::Ready(Ok(())) => self.ahead.borrow_mut().extend_from_slice(came),
            }
        }
    }

    /// The end of the stream behind bytes that are left unread: back-pressure for who sends them.
    fn poll_end(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let stream = self.stream.borrow();
        let stream = stream.tcp();
        loop {
            match stream.ready(Interest::READABLE).now_or_never() {
                Some(Ok(ready)) if !ready.is_read_closed() => {}
                Some(_) => return Poll::Ready(Ok(())),
                None => {}
            }
            // Forgets that there is something to read, or each turn of the task would find it again. What comes next
            // is heard, and so is the end, which is not forgotten.
            self.untried.set(true);
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
        if client.is_given_up() {
            return Poll::Ready(Err(ErrorKind::TimedOut.into()));
        }
        let mut stream = stream.borrow_mut();
        let wrote = poll_uninterrupted(cx, |cx| Pin::new(&mut *stream).poll_write(cx, buf));
        if matches!(wrote, Poll::Ready(Ok(n)) if n > 0) {
            client.close_after(Event::Wrote);
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
