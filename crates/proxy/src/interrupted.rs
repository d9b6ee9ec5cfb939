//! Socket calls that a signal interrupted (EINTR), repeated.
//!
//! Neither tokio nor the HTTP library repeats them: both take EINTR for the end of the connection. The listeners'
//! connections are read and written through here. Nothing here knows what is read or written.

use actix_rt::net::{ActixStream, Ready};
use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// So many interrupted calls in a row are repeated at once; then the other tasks have a turn first.
const REPEATED_AT_ONCE: usize = 16;

/// Makes a call until it is not interrupted. After [`REPEATED_AT_ONCE`] interruptions it is pending, with the task
/// woken: the runtime still holds that the socket is ready, so that nothing else would wake the task.
pub fn poll_uninterrupted<T>(
    cx: &mut Context<'_>,
    mut call: impl FnMut(&mut Context<'_>) -> Poll<io::Result<T>>,
) -> Poll<io::Result<T>> {
    for _ in 0..REPEATED_AT_ONCE {
        match call(cx) {
            Poll::Ready(Err(e)) if e.kind() == ErrorKind::Interrupted => {}
            done => return done,
        }
    }
    cx.waker().wake_by_ref();
    Poll::Pending
}

/// A stream whose reads and writes are repeated when they are interrupted.
pub struct Uninterrupted<S>(pub S);

impl<S: AsyncRead + Unpin> AsyncRead for Uninterrupted<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        poll_uninterrupted(cx, |cx| Pin::new(&mut self.0).poll_read(cx, buf))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Uninterrupted<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        poll_uninterrupted(cx, |cx| Pin::new(&mut self.0).poll_write(cx, buf))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        poll_uninterrupted(cx, |cx| Pin::new(&mut self.0).poll_flush(cx))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        poll_uninterrupted(cx, |cx| Pin::new(&mut self.0).poll_shutdown(cx))
    }
}

impl<S: ActixStream> ActixStream for Uninterrupted<S> {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        self.0.poll_read_ready(cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        self.0.poll_write_ready(cx)
    }
}

#[cfg(test)]
pub mod tests;
