use super::*;
use crate::response_monitor::ResponseMonitor;
use std::cell::Cell;
use std::future::poll_fn;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// The number of interruptions before each successful call.
const CONSECUTIVE_INTERRUPTIONS: usize = 100;

/// A socket on which every read, write and peek is interrupted [`CONSECUTIVE_INTERRUPTIONS`] times before it
/// succeeds.
#[derive(Debug)]
struct InterruptedSocket {
    stream: TcpStream,
    remaining: Cell<usize>,
}

impl InterruptedSocket {
    fn interrupt(&self) -> io::Result<()> {
        if self.remaining.get() == 0 {
            self.remaining.set(CONSECUTIVE_INTERRUPTIONS);
            return Ok(());
        }
        self.remaining.set(self.remaining.get() - 1);
        Err(io::ErrorKind::Interrupted.into())
    }
}

impl AsyncRead for InterruptedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.interrupt()?;
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for InterruptedSocket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.interrupt()?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl ActixStream for InterruptedSocket {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, cx)
    }
}

impl Socket for InterruptedSocket {}

impl Peek for InterruptedSocket {
    fn peek_byte(&self) -> io::Result<usize> {
        self.interrupt()?;
        self.stream.peek_byte()
    }
}

/// Returns both ends of a connection. The calls of the proxy's end are interrupted.
async fn connection() -> (ObservedStream<ResponseMonitor, InterruptedSocket>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("bound");
    let stream = TcpStream::connect(addr).await.expect("connected");
    let (peer, _) = listener.accept().await.expect("accepted");
    let socket = InterruptedSocket { stream, remaining: Cell::new(CONSECUTIVE_INTERRUPTIONS) };
    let observer = Rc::new(ResponseMonitor::new(usize::MAX));
    observer.on_connected();
    (ObservedStream { stream: socket, observer }, peer)
}

#[test]
fn interrupted_reads_and_writes_do_not_damage_a_request_or_its_response() {
    const REQUEST: &[u8] = b"GET / HTTP/1.1\r\n\r\n";
    const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
    actix_rt::System::new().block_on(async {
        let (mut stream, mut peer) = connection().await;
        stream.observer.begin_request(None);
        stream.write_all(REQUEST).await.expect("written");
        let mut received = [0; REQUEST.len()];
        peer.read_exact(&mut received).await.expect("request received");
        peer.write_all(RESPONSE).await.expect("written");
        let mut received = [0; RESPONSE.len()];
        stream.read_exact(&mut received).await.expect("response received");
        assert_eq!(received, RESPONSE);
        assert!(stream.observer.is_reusable());
    });
}

#[test]
fn interrupted_peek_does_not_count_as_received_bytes() {
    actix_rt::System::new().block_on(async {
        let (mut stream, peer) = connection().await;
        let read = poll_fn(|cx| {
            let mut buffer = [0; 8];
            Poll::Ready(Pin::new(&mut stream).poll_read(cx, &mut ReadBuf::new(&mut buffer)))
        });
        assert!(read.await.is_pending(), "no bytes have arrived");
        assert!(stream.observer.is_reusable(), "the connection can carry a request");
        drop(peer);
    });
}
