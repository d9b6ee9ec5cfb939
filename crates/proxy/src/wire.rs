//! A TCP stream to a backend or to the discovery service whose reads pass through an observer.
//!
//! The observer (`response_monitor.rs`) detects what the HTTP client awc does not report: awc treats an
//! interim response as the final one, discards bytes behind a response and reuses the connection, and reports
//! neither whether a connection was established nor whether a body was truncated. Streams from clients are in
//! `clients/stream.rs`.

use actix_rt::net::{ActixStream, Ready};
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The socket operations that a stream to a backend uses. Tests use an implementation whose calls are
/// interrupted.
pub trait Socket: AsyncRead + AsyncWrite + ActixStream + Peek {}

impl Socket for TcpStream {}

/// A socket whose next byte can be looked at without reading it.
pub trait Peek {
    /// Peeks at the next byte. Returns the number of bytes seen: 1, or 0 at the end of the stream.
    ///
    /// # Errors
    /// Returns `WouldBlock` if no byte has arrived.
    fn peek_byte(&self) -> io::Result<usize>;
}

impl Peek for TcpStream {
    fn peek_byte(&self) -> io::Result<usize> {
        SockRef::from(self).peek(&mut [MaybeUninit::uninit()])
    }
}

/// Repeats a call while signals interrupt it. An interrupted call has had no effect; treating it as a
/// connection failure would end a request that the backend may have processed.
pub fn uninterrupted<T>(mut call: impl FnMut() -> Poll<io::Result<T>>) -> Poll<io::Result<T>> {
    loop {
        match call() {
            Poll::Ready(Err(error)) if error.kind() == io::ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}

/// Performs all reads of a stream and is notified of writes.
pub trait StreamObserver {
    /// Reads from the stream.
    fn poll_read(
        &self,
        stream: Pin<&mut dyn Socket>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>>;

    /// Called before each write to `socket`.
    ///
    /// # Errors
    /// Returns an error if the write is not allowed.
    fn on_write(&self, _socket: &dyn Peek) -> io::Result<()> {
        Ok(())
    }
}

/// A stream whose reads pass through its observer.
#[derive(Debug)]
pub struct ObservedStream<T, S = TcpStream> {
    /// The socket.
    pub stream: S,
    /// The observer.
    pub observer: Rc<T>,
}

impl<T: StreamObserver, S: Socket> AsyncRead for ObservedStream<T, S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let observed = &mut *self;
        observed.observer.poll_read(Pin::new(&mut observed.stream), cx, buf)
    }
}

impl<T: StreamObserver, S: Socket> AsyncWrite for ObservedStream<T, S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        if let Err(closed) = self.observer.on_write(&self.stream) {
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

impl<T: StreamObserver + 'static, S: Socket> ActixStream for ObservedStream<T, S> {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, cx)
    }
}

#[cfg(test)]
mod tests;
