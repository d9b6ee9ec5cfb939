//! A TCP stream to a backend that remembers what became of it. awc alone tells neither
//! whether the connection of an attempt given up had come up, nor a whole body from one that was cut off.

use actix_rt::net::{ActixStream, Ready};
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// What is known of the stream that a client holds or last held.
#[derive(Debug, Default)]
pub struct Seen {
    /// A connection came up, now or for an earlier request: bytes of this one may have been written.
    pub connected: Cell<bool>,
    /// The peer ended its sending, or the stream broke.
    pub ended: Cell<bool>,
}

/// The stream.
#[derive(Debug)]
pub struct Wire {
    stream: TcpStream,
    seen: Rc<Seen>,
}

impl Wire {
    /// Wraps a stream that has just come up.
    pub fn new(stream: TcpStream, seen: Rc<Seen>) -> Wire {
        seen.connected.set(true);
        seen.ended.set(false);
        Wire { stream, seen }
    }
}

impl AsyncRead for Wire {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let room = buf.remaining() > 0;
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if let Poll::Ready(result) = &polled
            && (result.is_err() || room && buf.filled().len() == before)
        {
            self.seen.ended.set(true);
        }
        polled
    }
}

impl AsyncWrite for Wire {
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

impl ActixStream for Wire {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, cx)
    }
}
