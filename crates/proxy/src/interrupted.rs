//! Repeats socket calls that a signal interrupted (EINTR).
//!
//! Neither tokio nor the HTTP library repeats them: both treat EINTR as the end of the connection.
//! Connections that were accepted by a listener are read and written through this module, which does not
//! interpret the bytes.

use actix_rt::net::{ActixStream, Ready};
use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Maximum number of interrupted calls in a row before other tasks run.
const MAX_IMMEDIATE_RETRIES: usize = 16;

/// Repeats a call until it is not interrupted. After [`MAX_IMMEDIATE_RETRIES`] interruptions, returns pending
/// and wakes the task, because the runtime still considers the socket ready and would not wake it.
pub fn poll_uninterrupted<T>(
    cx: &mut Context<'_>,
    mut call: impl FnMut(&mut Context<'_>) -> Poll<io::Result<T>>,
) -> Poll<io::Result<T>> {
    for _ in 0..MAX_IMMEDIATE_RETRIES {
        match call(cx) {
            Poll::Ready(Err(e)) if e.kind() == ErrorKind::Interrupted => {}
            done => return done,
        }
    }
    cx.waker().wake_by_ref();
    Poll::Pending
}

/// A stream that repeats interrupted reads and writes.
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
