//! Sockets of the stand-ins: loopback addresses that are unique to a run, listeners that can become
//! unreachable, and streams that are reset like those of a process that died.

use super::lock;
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

/// The length of the accept queue.
const BACKLOG: u32 = 1024;
/// The first port to try.
const FIRST_PORT: u16 = 10_000;
/// A loopback connection that is not established within this time will not be.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(50);

/// An address in 127.0.0.0/8 that is unique to a run, with ports assigned in sequence. A port probed as free
/// on 127.0.0.1 may be used by another connection before a child process listens on it.
#[derive(Debug)]
pub struct Loopback {
    ip: IpAddr,
    next: AtomicU16,
}

impl Loopback {
    /// Picks a random address, which no other run is likely to use.
    pub fn new() -> Loopback {
        let [a, b, c, ..] = RandomState::new().build_hasher().finish().to_le_bytes();
        let ip = Ipv4Addr::new(127, 16 + a % 224, b, 1 + c % 254);
        Loopback { ip: IpAddr::V4(ip), next: AtomicU16::new(FIRST_PORT) }
    }

    /// Listens on a new port.
    ///
    /// # Errors
    /// No port is left, or the address cannot be used.
    pub fn listen(&self) -> io::Result<TcpListener> {
        loop {
            let port = self.next.fetch_add(1, Ordering::Relaxed);
            match listen(SocketAddr::new(self.ip, port)) {
                Err(e) if e.kind() == io::ErrorKind::AddrInUse && port >= FIRST_PORT => {}
                other => return other,
            }
        }
    }

    /// Returns an address with a new free port, for a child process to listen on.
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

/// Listens on an address, even if connections of an earlier listener are still closing.
///
/// # Errors
/// The address is in use, or is not an address of this machine.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Whether a machine is unreachable from a zone: it neither accepts connections nor sends anything.
#[derive(Default)]
pub struct Blackhole {
    on: AtomicBool,
    waiting: Mutex<Vec<Waker>>,
    changed: Notify,
}

impl Blackhole {
    /// Makes the machine unreachable or reachable again.
    pub fn set(&self, on: bool) {
        if self.on.swap(on, Ordering::SeqCst) != on {
            lock(&self.waiting).drain(..).for_each(Waker::wake);
            self.changed.notify_waiters();
        }
    }

    /// Returns whether the machine is unreachable.
    pub fn is_on(&self) -> bool {
        self.on.load(Ordering::SeqCst)
    }

    /// Resolves when the machine is unreachable (`true`) or reachable (`false`).
    pub async fn wait_until(&self, on: bool) {
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
            lock(&self.waiting).push(cx.waker().clone());
            if self.is_on() {
                return Poll::Pending;
            }
        }
        Poll::Ready(())
    }
}

/// A listener of a machine that may become unreachable.
pub struct BlackholeListener {
    listener: TcpListener,
    blackhole: Arc<Blackhole>,
    /// The local addresses of connections made by [`BlackholeListener::fill`] that wait in the accept queue.
    filler_addrs: Vec<SocketAddr>,
}

impl BlackholeListener {
    /// Creates a listener that follows the state of its machine.
    pub fn new(listener: TcpListener, blackhole: Arc<Blackhole>) -> BlackholeListener {
        BlackholeListener { listener, blackhole, filler_addrs: Vec::new() }
    }

    /// Accepts the next connection. While the machine is unreachable, no connection is established: the
    /// accept queue is kept full, so the kernel does not even acknowledge a SYN.
    ///
    /// # Errors
    /// `accept` failed, or the accept queue could not be filled.
    pub async fn accept(&mut self) -> io::Result<TcpStream> {
        loop {
            if self.blackhole.is_on() {
                let filled = self.fill().await?;
                self.blackhole.wait_until(false).await;
                drop(filled);
                self.set_backlog(BACKLOG)?;
            }
            tokio::select! {
                biased;
                () = self.blackhole.wait_until(true) => {}
                accepted = self.listener.accept() => {
                    let (stream, peer) = accepted?;
                    match self.filler_addrs.iter().position(|addr| *addr == peer) {
                        Some(index) => _ = self.filler_addrs.swap_remove(index),
                        None => return Ok(stream),
                    }
                }
            }
        }
    }

    /// Fills the accept queue. Connections of clients that were already in it stay there.
    async fn fill(&mut self) -> io::Result<Vec<TcpStream>> {
        self.set_backlog(0)?;
        let (to, mut filled) = (self.listener.local_addr()?, Vec::new());
        while let Ok(stream) = timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await {
            let stream = stream?;
            self.filler_addrs.push(stream.local_addr()?);
            filled.push(stream);
        }
        Ok(filled)
    }

    /// Sets the length of the accept queue by calling `listen` again.
    fn set_backlog(&self, length: u32) -> io::Result<()> {
        SockRef::from(&self.listener).listen(length as i32)
    }
}

/// A server's end of a connection. Dropping it resets the connection if `reset_on_close` is set.
pub struct ServerStream {
    stream: TcpStream,
    blackhole: Arc<Blackhole>,
    reset_on_close: Arc<AtomicBool>,
}

impl ServerStream {
    /// Wraps an accepted connection of a machine that may become unreachable and whose process may die.
    pub fn new(
        stream: TcpStream,
        blackhole: Arc<Blackhole>,
        reset_on_close: Arc<AtomicBool>,
    ) -> ServerStream {
        let _ = stream.set_nodelay(true); // a hint; without it small answers wait for acknowledgements
        ServerStream { stream, blackhole, reset_on_close }
    }
}

impl Drop for ServerStream {
    fn drop(&mut self) {
        if self.reset_on_close.load(Ordering::SeqCst) {
            let _ = self.stream.set_zero_linger(); // an error means that the peer has closed the connection
        }
    }
}

impl AsyncRead for ServerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.blackhole.poll(cx));
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for ServerStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        ready!(self.blackhole.poll(cx));
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.blackhole.poll(cx));
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.blackhole.poll(cx));
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};

    #[tokio::test]
    async fn unreachable_machine_accepts_and_sends_nothing_until_it_is_reachable() {
        let (net, blackhole) = (Loopback::new(), Arc::<Blackhole>::default());
        let listener = net.listen().unwrap();
        let to = listener.local_addr().unwrap();
        let task_blackhole = blackhole.clone();
        let mut listener = BlackholeListener::new(listener, blackhole.clone());
        tokio::spawn(async move {
            loop {
                let stream = listener.accept().await.unwrap();
                let mut stream = ServerStream::new(stream, task_blackhole.clone(), Arc::default());
                tokio::spawn(async move {
                    let mut byte = [0];
                    while stream.read_exact(&mut byte).await.is_ok() {
                        stream.write_all(&byte).await.unwrap();
                    }
                });
            }
        });
        let mut before = TcpStream::connect(to).await.unwrap();
        before.write_all(b"a").await.unwrap();
        assert_eq!(before.read_u8().await.unwrap(), b'a');
        blackhole.set(true);
        before.write_all(b"b").await.unwrap();
        assert!(timeout(CONNECT_TIMEOUT, before.read_u8()).await.is_err());
        // Connections may still be established before the accept queue is full.
        let mut connected = Vec::new();
        while let Ok(stream) = timeout(CONNECT_TIMEOUT * 4, TcpStream::connect(to)).await {
            connected.push(stream.unwrap());
            assert!(connected.len() < 5, "connections are still established");
        }
        blackhole.set(false);
        assert_eq!(before.read_u8().await.unwrap(), b'b');
        let mut after = TcpStream::connect(to).await.unwrap();
        after.write_all(b"c").await.unwrap();
        assert_eq!(after.read_u8().await.unwrap(), b'c');
    }

    #[tokio::test]
    async fn stream_of_a_dead_process_is_reset() {
        let listener = Loopback::new().listen().unwrap();
        let mut client = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let reset_on_close = Arc::new(AtomicBool::new(true));
        drop(ServerStream::new(listener.accept().await.unwrap().0, Arc::default(), reset_on_close));
        let error = client.read_u8().await.unwrap_err();
        assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
    }
}
