//! A TCP stream to a backend or to discovery, with somebody at its reading end.
//!
//! awc takes an interim answer for the final one, drops what came behind an answer and uses
//! the connection again, and tells neither whether a connection had come up nor a whole body from one that was
//! cut off (`answer.rs`). The clients' side is `clients/stream.rs`.

use actix_rt::net::{ActixStream, Ready};
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A socket, as far as a stream to a backend uses it: the seam to the operating system.
pub trait Socket: AsyncRead + AsyncWrite + ActixStream {
    /// Looks at the next byte without taking it; how many there were, 0 at the end of the stream.
    ///
    /// # Errors
    /// `WouldBlock`: nothing has come.
    fn peek_byte(&self) -> io::Result<usize>;
}

impl Socket for TcpStream {
    fn peek_byte(&self) -> io::Result<usize> {
        SockRef::from(self).peek(&mut [MaybeUninit::uninit()])
    }
}

/// Does it again as long as a signal interrupts it. Danger: an interrupted call has done nothing, and taken for a
/// broken connection it ends a request that may have run.
pub fn uninterrupted<T>(mut call: impl FnMut() -> Poll<io::Result<T>>) -> Poll<io::Result<T>> {
    loop {
        match call() {
            Poll::Ready(Err(error)) if error.kind() == io::ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}

/// Somebody through whom all reads of a stream go, and who is told of writes.
pub trait Tap {
    /// Reads.
    fn poll_read(
        &self,
        stream: Pin<&mut dyn Socket>,
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
pub struct Wire<T, S = TcpStream> {
    /// The socket.
    pub stream: S,
    /// Who reads.
    pub tap: Rc<T>,
}

impl<T: Tap, S: Socket> AsyncRead for Wire<T, S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let wire = &mut *self;
        wire.tap.poll_read(Pin::new(&mut wire.stream), cx, buf)
    }
}

impl<T: Tap, S: Socket> AsyncWrite for Wire<T, S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        if let Err(closed) = self.tap.writes() {
            return Poll::Ready(Err(closed));
        }
        uninterrupted(|| Pin::new(&mut self.stream).poll_write(cx, buf))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl<T: Tap + 'static, S: Socket> ActixStream for Wire<T, S> {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, cx)
    }
}

#[cfg(test)]
mod tests;
