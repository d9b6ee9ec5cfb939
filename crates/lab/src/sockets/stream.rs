//! Sockets as the stand-ins use them: addresses of a run's own on loopback, listeners that can fall silent,
//! and streams that end like those of a process that died.

use super::held;
use socket2::SockRef;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::time::timeout;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// The first port that is tried.
const FIRST_PORT: u16 = 10_000;
/// A connection on loopback that has not come up by now will not.
const NEVER: Duration = Duration::from_millis(50);

/// An address of a run's own in 127.0.0.0/8, on which it deals out ports one after another. Danger: a port
/// that was free a moment ago on 127.0.0.1 may be some connection's by the time that a child listens on it.
#[derive(Debug)]
pub struct Loopback {
    ip: IpAddr,
    next: AtomicU16,
}

impl Loopback {
    /// An address that no other run is likely to have.
    pub fn new() -> Loopback {
        let [a, b, c, ..] = RandomState::new().build_hasher().finish().to_le_bytes();
        let ip = Ipv4Addr::new(127, 16 + a % 224, b, 1 + c % 254);
        Loopback { ip: IpAddr::V4(ip), next: AtomicU16::new(FIRST_PORT) }
    }

    /// A listener on a new port.
    ///
    /// # Errors
    /// No port is left, or none can be listened on.
    pub fn listen(&self) -> io::Result<TcpListener> {
        loop {
            let port = self.next.fetch_add(1, Ordering::Relaxed);
            match listen(SocketAddr::new(self.ip, port)) {
                Err(e) if e.kind() == io::ErrorKind::AddrInUse && port >= FIRST_PORT => {}
                other => return other,
            }
        }
    }

    /// An address for somebody else to listen on, with a new port that is free.
    ///
    /// # Errors
    /// As [`Loopback::listen`].
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listen()?.local_addr()
    }
}

impl Default for Loopback {
    fn default() -> Self {
        Loopback::new()
    }
}

/// Listens on an address, also where connections of an earlier listener linger.
///
/// # Errors
/// It is in use, or not an address of this machine.
pub fn listen(on: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(on)?;
    socket.listen(BACKLOG)
}

/// Whether a machine, as seen from somewhere, says nothing.
#[derive(Default)]
pub struct Silence {
    on: AtomicBool,
    waiting: Mutex<Vec<Waker>>,
    changed: Notify,
}

impl Silence {
    /// It falls silent, or speaks again.
    pub fn set(&self, on: bool) {
        if self.on.swap(on, Ordering::SeqCst) != on {
            held(&self.waiting).drain(..).for_each(Waker::wake);
            self.changed.notify_waiters();
        }
    }

    /// Whether it is silent.
    pub fn is_on(&self) -> bool {
        self.on.load(Ordering::SeqCst)
    }

    /// Resolves when it is so, or is not.
    pub async fn becomes(&self, on: bool) {
        loop {
            let changed = self.changed.notified();
            if self.is_on() == on {
                return;
            }
            changed.await;
        }
    }

    fn poll(&self, cx: &mut Context<'_>) -> Poll<()> {
        if self.is_on() {
            held(&self.waiting).push(cx.waker().clone());
            if self.is_on() {
                return Poll::Pending;
            }
        }
        Poll::Ready(())
    }
}

/// A listener of a machine that may fall silent.
pub struct Door {
    listener: TcpListener,
    silence: Arc<Silence>,
    /// Connections of our own that wait in its queue.
    own: Vec<SocketAddr>,
}

impl Door {
    /// A listener, and whether its machine is silent.
    pub fn new(listener: TcpListener, silence: Arc<Silence>) -> Door {
        Door { listener, silence, own: Vec::new() }
    }

    /// The next connection. While it is silent none comes up: the listener's queue is full, and what comes
    /// then is not even acknowledged.
    ///
    /// # Errors
    /// As the listener's, and when no connections can be made to it.
    pub async fn accept(&mut self) -> io::Result<TcpStream> {
        loop {
            if self.silence.is_on() {
                let filled = self.fill().await?;
                self.silence.becomes(false).await;
                drop(filled);
                self.backlog(BACKLOG)?;
            }
            tokio::select! {
                biased;
                () = self.silence.becomes(true) => {}
                accepted = self.listener.accept() => {
                    let (stream, peer) = accepted?;
                    match self.own.iter().position(|own| *own == peer) {
                        Some(own) => _ = self.own.swap_remove(own),
                        None => return Ok(stream),
                    }
                }
            }
        }
    }

    /// Fills the queue; connections of others that were in it stay there.
    async fn fill(&mut self) -> io::Result<Vec<TcpStream>> {
        self.backlog(0)?;
        let (to, mut filled) = (self.listener.local_addr()?, Vec::new());
        while let Ok(stream) = timeout(NEVER, TcpStream::connect(to)).await {
            let stream = stream?;
            self.own.push(stream.local_addr()?);
            filled.push(stream);
        }
        Ok(filled)
    }

    /// To listen again sets the length of the queue.
    fn backlog(&self, length: u32) -> io::Result<()> {
        SockRef::from(&self.listener).listen(length as i32)
    }
}

/// A server's end of a connection. Dropped while it is abrupt, it resets the connection.
pub struct Line {
    stream: TcpStream,
    silence: Arc<Silence>,
    abrupt: Arc<AtomicBool>,
}

impl Line {
    /// A connection to a machine that may fall silent, and whose process may die.
    pub fn new(stream: TcpStream, silence: Arc<Silence>, abrupt: Arc<AtomicBool>) -> Line {
        let _ = stream.set_nodelay(true); // a hint; without it small answers wait for acknowledgements
        Line { stream, silence, abrupt }
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        if self.abrupt.load(Ordering::SeqCst) {
            let _ = self.stream.set_zero_linger(); // the peer has gone already
        }
    }
}

impl AsyncRead for Line {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.silence.poll(cx));
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Line {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        ready!(self.silence.poll(cx));
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.silence.poll(cx));
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.silence.poll(cx));
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};

    #[tokio::test]
    async fn a_silent_machine_takes_no_connection_and_answers_nothing_until_it_is_back() {
        let (net, silence) = (Loopback::new(), Arc::<Silence>::default());
        let listener = net.listen().unwrap();
        let to = listener.local_addr().unwrap();
        let its = silence.clone();
        let mut door = Door::new(listener, silence.clone());
        tokio::spawn(async move {
            loop {
                let stream = door.accept().await.unwrap();
                let mut line = Line::new(stream, its.clone(), Arc::default());
                tokio::spawn(async move {
                    let mut byte = [0];
                    while line.read_exact(&mut byte).await.is_ok() {
                        line.write_all(&byte).await.unwrap();
                    }
                });
            }
        });
        let mut before = TcpStream::connect(to).await.unwrap();
        before.write_all(b"a").await.unwrap();
        assert_eq!(before.read_u8().await.unwrap(), b'a');
        silence.set(true);
        before.write_all(b"b").await.unwrap();
        assert!(timeout(NEVER, before.read_u8()).await.is_err());
        // One may still slip in before the queue is filled.
        let mut came_up = Vec::new();
        while let Ok(stream) = timeout(NEVER * 4, TcpStream::connect(to)).await {
            came_up.push(stream.unwrap());
            assert!(came_up.len() < 5, "connections go on to come up");
        }
        silence.set(false);
        assert_eq!(before.read_u8().await.unwrap(), b'b');
        let mut after = TcpStream::connect(to).await.unwrap();
        after.write_all(b"c").await.unwrap();
        assert_eq!(after.read_u8().await.unwrap(), b'c');
    }

    #[tokio::test]
    async fn a_stream_of_a_process_that_died_is_reset() {
        let listener = Loopback::new().listen().unwrap();
        let mut client = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let abrupt = Arc::new(AtomicBool::new(true));
        drop(Line::new(listener.accept().await.unwrap().0, Arc::default(), abrupt));
        let error = client.read_u8().await.unwrap_err();
        assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
    }
}
