use super::*;
use crate::response_monitor::ResponseMonitor;
use std::cell::Cell;
use std::future::poll_fn;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Signals that come in a row.
const INTERRUPTIONS: usize = 100;

/// A socket whose every read, write and look is interrupted many times before it is done.
#[derive(Debug)]
struct Interrupted {
    stream: TcpStream,
    left: Cell<usize>,
}

impl Interrupted {
    fn interrupts(&self) -> io::Result<()> {
        if self.left.get() == 0 {
            self.left.set(INTERRUPTIONS);
            return Ok(());
        }
        self.left.set(self.left.get() - 1);
        Err(io::ErrorKind::Interrupted.into())
    }
}

impl AsyncRead for Interrupted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.interrupts()?;
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Interrupted {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.interrupts()?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl ActixStream for Interrupted {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, cx)
    }
}

impl Socket for Interrupted {
    fn peek_byte(&self) -> io::Result<usize> {
        self.interrupts()?;
        self.stream.peek_byte()
    }
}

/// Both ends of a connection, ours with many signals.
async fn connection() -> (Wire<ResponseMonitor, Interrupted>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("bound");
    let stream = TcpStream::connect(addr).await.expect("connected");
    let (peer, _) = listener.accept().await.expect("accepted");
    let socket = Interrupted { stream, left: Cell::new(INTERRUPTIONS) };
    let observer = Rc::new(ResponseMonitor::new(usize::MAX));
    observer.on_connected();
    (Wire { stream: socket, observer }, peer)
}

#[test]
fn a_hundred_signals_at_each_read_and_write_leave_a_request_and_its_answer_whole() {
    const REQUEST: &[u8] = b"GET / HTTP/1.1\r\n\r\n";
    const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
    actix_rt::System::new().block_on(async {
        let (mut wire, mut peer) = connection().await;
        wire.observer.begin_request(None);
        wire.write_all(REQUEST).await.expect("written");
        let mut got = [0; REQUEST.len()];
        peer.read_exact(&mut got).await.expect("it came");
        peer.write_all(ANSWER).await.expect("answered");
        let mut got = [0; ANSWER.len()];
        wire.read_exact(&mut got).await.expect("it came");
        assert_eq!(got, ANSWER);
        assert!(wire.observer.is_reusable());
    });
}

#[test]
fn a_signal_at_the_look_for_news_is_no_news() {
    actix_rt::System::new().block_on(async {
        let (mut wire, peer) = connection().await;
        let nothing = poll_fn(|cx| {
            let mut space = [0; 8];
            Poll::Ready(Pin::new(&mut wire).poll_read(cx, &mut ReadBuf::new(&mut space)))
        });
        assert!(nothing.await.is_pending(), "nothing has come on it");
        assert!(wire.observer.is_reusable(), "it can carry a request");
        drop(peer);
    });
}
