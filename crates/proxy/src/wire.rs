//! A TCP stream to a backend or to discovery, with somebody at its reading end.
//!
//! awc takes an interim answer for the final one, drops what came behind an answer and uses
//! the connection again, and tells neither whether a connection had come up nor a whole body from one that was
//! cut off (`answer.rs`). The clients' side is `clients/stream.rs`.

use actix_rt::net::{ActixStream, Ready};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Somebody through whom all reads of a stream go, and who is told of writes.
pub trait Tap {
    /// Reads.
    fn poll_read(
        &self,
        stream: Pin<&mut TcpStream>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>>;

    /// Something is about to be written.
    ///
    /// # Errors
    /// It must not be.
    fn writes(&self) -> io::Result<()> {
        Ok(())
    }
}

/// The stream.
#[derive(Debug)]
pub struct Wire<T> {
    /// The socket.
    pub stream: TcpStream,
    /// Who reads.
    pub tap: Rc<T>,
}

impl<T: Tap> AsyncRead for Wire<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let wire = &mut *self;
        wire.tap.poll_read(Pin::new(&mut wire.stream), cx, buf)
    }
}

impl<T: Tap> AsyncWrite for Wire<T> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        if let Err(closed) = self.tap.writes() {
            return Poll::Ready(Err(closed));
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl<T: Tap + 'static> ActixStream for Wire<T> {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, cx)
    }
}
