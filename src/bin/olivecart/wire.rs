//! A TCP stream that lets somebody watch what is read from it, on either side of the proxy.
//!
//! Towards backends: awc alone tells neither whether the connection of an attempt given up had come up, nor
//! a whole body from one that was cut off. Towards clients: actix-http goes on with a request whose client
//! has closed.

use actix_rt::net::{ActixStream, Ready};
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// What a read came to.
pub enum Read {
    /// Bytes came.
    Some,
    /// The peer ended its sending, or the stream broke.
    Ended,
    /// Nothing yet.
    Nothing,
}

/// Somebody who watches the reads of a stream.
pub trait Tap {
    /// Is told of each read. True: a stream with nothing to read is to look as if the peer had ended it.
    fn read(&self, read: Read, cx: &Context<'_>) -> bool;
}

/// What is known of a connection to a backend.
#[derive(Debug, Default)]
pub struct Seen {
    /// It came up, now or for an earlier request: bytes of this one may have been written.
    pub connected: Cell<bool>,
    /// The peer ended its sending, or the stream broke.
    pub ended: Cell<bool>,
}

impl Seen {
    /// A connection has just come up.
    pub fn comes_up(&self) {
        self.connected.set(true);
        self.ended.set(false);
    }
}

impl Tap for Seen {
    fn read(&self, read: Read, _: &Context<'_>) -> bool {
        self.ended.set(self.ended.get() || matches!(read, Read::Ended));
        false
    }
}

/// The stream.
#[derive(Debug)]
pub struct Wire<T> {
    /// The socket.
    pub stream: TcpStream,
    /// Who watches.
    pub tap: Rc<T>,
}

impl<T: Tap> AsyncRead for Wire<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let (before, room) = (buf.filled().len(), buf.remaining() > 0);
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read = match &polled {
            Poll::Ready(Ok(())) if buf.filled().len() > before || !room => Read::Some,
            Poll::Ready(_) => Read::Ended,
            Poll::Pending => Read::Nothing,
        };
        let end = self.tap.read(read, cx);
        if end && polled.is_pending() { Poll::Ready(Ok(())) } else { polled }
    }
}

impl<T> AsyncWrite for Wire<T> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl ActixStream for Wire<Seen> {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, cx)
    }
}
