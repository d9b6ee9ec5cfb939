use super::*;
use crate::clients::stream::ClientSocket;
use std::cell::Cell;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The number of calls that are still to be interrupted, by kind.
#[derive(Clone, Default)]
pub struct Interruptions {
    /// Reads through the runtime.
    pub reads: Rc<Cell<usize>>,
    /// Reads that bypass the runtime.
    pub direct_reads: Rc<Cell<usize>>,
    /// Writes.
    pub writes: Rc<Cell<usize>>,
}

/// A socket whose calls are interrupted.
pub struct InterruptedSocket<S> {
    /// The socket itself.
    pub socket: S,
    /// The remaining interruptions.
    pub interruptions: Interruptions,
}

/// Fails with `Interrupted` and decrements the count unless it is 0.
fn interrupt(remaining: &Cell<usize>) -> io::Result<()> {
    if remaining.get() == 0 {
        return Ok(());
    }
    remaining.set(remaining.get() - 1);
    Err(ErrorKind::Interrupted.into())
}

impl<S: AsyncRead + Unpin> AsyncRead for InterruptedSocket<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        interrupt(&self.interruptions.reads)?;
        Pin::new(&mut self.socket).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for InterruptedSocket<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        interrupt(&self.interruptions.writes)?;
        Pin::new(&mut self.socket).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}

impl ActixStream for InterruptedSocket<TcpStream> {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.socket, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.socket, cx)
    }
}

impl ClientSocket for InterruptedSocket<TcpStream> {
    fn tcp(&self) -> &TcpStream {
        &self.socket
    }

    fn read_directly(&self, buf: &mut [u8]) -> io::Result<usize> {
        interrupt(&self.interruptions.direct_reads)?;
        self.socket.read_directly(buf)
    }
}

#[test]
fn consecutive_interruptions_neither_end_a_stream_nor_lose_a_byte() {
    actix_rt::System::new().block_on(async {
        let (socket, mut peer) = tokio::io::duplex(64);
        let interruptions = Interruptions::default();
        interruptions.reads.set(100);
        interruptions.writes.set(100);
        let socket = InterruptedSocket { socket, interruptions: interruptions.clone() };
        let mut stream = Uninterrupted(socket);
        peer.write_all(b"ping").await.expect("taken");
        let mut received = [0; 4];
        // A single call each, as the HTTP library makes it.
        assert_eq!(stream.read(&mut received).await.expect("no end"), 4);
        assert_eq!(stream.write(b"pong").await.expect("no end"), 4);
        let mut response = [0; 4];
        peer.read_exact(&mut response).await.expect("all of it");
        assert_eq!((&received, &response), (b"ping", b"pong"));
        assert_eq!((interruptions.reads.get(), interruptions.writes.get()), (0, 0));
    });
}

#[test]
fn call_that_keeps_being_interrupted_yields_to_other_tasks() {
    let mut cx = Context::from_waker(std::task::Waker::noop());
    let mut calls = 0;
    let polled = poll_uninterrupted::<()>(&mut cx, |_| {
        calls += 1;
        Poll::Ready(Err(ErrorKind::Interrupted.into()))
    });
    assert!(polled.is_pending());
    assert_eq!(calls, MAX_IMMEDIATE_RETRIES);
}
