//! Accepts connections for the listeners of clients, operators and later processes: what a failed accept means, when
//! the next one is tried, and how often it is logged.
//!
//! [`AcceptFailure`] and [`AcceptBackoff`] decide, without I/O and clock; [`Acceptor`] waits. What is given up where
//! descriptors or memory have run out is up to each listener.

use rustix::io::Errno;
use slog::{Logger, debug, warn};
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream, UnixListener, UnixStream};
use tokio::time::sleep;

/// Wait after the first accept that failed for want of resources...
const FIRST_BACKOFF: Duration = Duration::from_millis(2);
/// ...and the longest, after some in a row. Danger: clients wait in the listener's queue meanwhile, some with little
/// time.
const LONGEST_BACKOFF: Duration = Duration::from_millis(64);
/// Failures are logged once in this time at most, with the count of those that were not.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What a failed accept says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// The call was interrupted, or the connection at the head of the queue is gone or refused: the next is not.
    ConnectionLost,
    /// Descriptors or memory have run out, here or in the whole system.
    OutOfResources,
    /// Neither. Danger: tried again at once, a listener that is broken keeps the processor busy.
    Unknown,
}

impl AcceptFailure {
    /// Linux passes network errors of a connection that is not accepted yet on as errors of accept (accept(2)).
    pub fn of(error: &io::Error) -> AcceptFailure {
        match Errno::from_io_error(error) {
            Some(
                Errno::INTR
                | Errno::CONNABORTED
                | Errno::CONNRESET
                | Errno::PROTO
                | Errno::NOPROTOOPT
                | Errno::OPNOTSUPP
                | Errno::PERM
                | Errno::NETDOWN
                | Errno::NETUNREACH
                | Errno::HOSTDOWN
                | Errno::HOSTUNREACH
                | Errno::NONET
                | Errno::TIMEDOUT,
            ) => AcceptFailure::ConnectionLost,
            Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM) => AcceptFailure::OutOfResources,
            _ => AcceptFailure::Unknown,
        }
    }
}

/// How a listener goes on after a failed accept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AfterFailure {
    /// What it was.
    pub failure: AcceptFailure,
    /// How long to wait before the next accept.
    pub wait: Duration,
    /// Whether to log it, and how many before it were not logged.
    pub log: Option<u64>,
}

/// The failures of one listener.
#[derive(Default)]
pub struct AcceptBackoff {
    /// Waits in a row.
    waits: u32,
    logged: Option<Instant>,
    not_logged: u64,
}

impl AcceptBackoff {
    /// Notes that an accept failed.
    pub fn failed(&mut self, error: &io::Error, now: Instant) -> AfterFailure {
        let failure = AcceptFailure::of(error);
        let wait = match failure {
            AcceptFailure::ConnectionLost => Duration::ZERO,
            AcceptFailure::OutOfResources | AcceptFailure::Unknown => self.next_wait(),
        };
        AfterFailure { failure, wait, log: self.next_log(now) }
    }

    /// Notes that a connection was accepted.
    pub fn accepted(&mut self) {
        self.waits = 0;
    }

    fn next_wait(&mut self) -> Duration {
        let wait = FIRST_BACKOFF.saturating_mul(2_u32.saturating_pow(self.waits)).min(LONGEST_BACKOFF);
        self.waits = self.waits.saturating_add(1);
        wait
    }

    fn next_log(&mut self, now: Instant) -> Option<u64> {
        if self.logged.is_some_and(|logged| now.saturating_duration_since(logged) < LOG_INTERVAL) {
            self.not_logged += 1;
            return None;
        }
        self.logged = Some(now);
        Some(std::mem::take(&mut self.not_logged))
    }
}

/// The system call. Tests have a listener whose accepts fail.
pub trait Accept {
    /// What is accepted.
    type Connection;
    /// Waits for the next connection.
    fn accept_one(&self) -> impl Future<Output = io::Result<Self::Connection>>;
}

impl Accept for TcpListener {
    type Connection = (TcpStream, SocketAddr);

    async fn accept_one(&self) -> io::Result<Self::Connection> {
        self.accept().await
    }
}

impl Accept for UnixListener {
    type Connection = UnixStream;

    async fn accept_one(&self) -> io::Result<Self::Connection> {
        self.accept().await.map(|(stream, _)| stream)
    }
}

/// A listener with its failures.
pub struct Acceptor<L> {
    listener: L,
    /// Whose it is, as the log has it.
    name: &'static str,
    backoff: AcceptBackoff,
    log: Logger,
}

impl<L: Accept> Acceptor<L> {
    /// Nothing is accepted yet.
    pub fn new(listener: L, name: &'static str, log: Logger) -> Acceptor<L> {
        Acceptor { listener, name, backoff: AcceptBackoff::default(), log }
    }

    /// Waits for the next connection, however many accepts fail before. Where resources have run out, `give_up` is
    /// to free some. Dropped before its end, it loses no connection.
    pub async fn accept(&mut self, give_up: impl Fn()) -> L::Connection {
        loop {
            let error = match self.listener.accept_one().await {
                Ok(connection) => {
                    self.backoff.accepted();
                    return connection;
                }
                Err(error) => error,
            };
            let after = self.backoff.failed(&error, Instant::now());
            self.report(&error, &after);
            if after.failure == AcceptFailure::OutOfResources {
                give_up();
            }
            if after.wait.is_zero() {
                tokio::task::yield_now().await; // a row of them leaves the other tasks their turn
            } else {
                sleep(after.wait).await;
            }
        }
    }

    fn report(&self, error: &io::Error, after: &AfterFailure) {
        let Some(not_logged) = after.log else { return };
        match after.failure {
            AcceptFailure::ConnectionLost => debug!(self.log, "accept failed";
                "listener" => self.name, "error" => %error, "not_logged" => not_logged),
            AcceptFailure::OutOfResources | AcceptFailure::Unknown => warn!(self.log, "accept failed";
                "listener" => self.name, "error" => %error, "not_logged" => not_logged),
        }
    }
}

#[cfg(test)]
mod tests;
