//! Accepts connections for the listeners of clients, the admin server and hot restart: classifies failed
//! accepts, retries with a backoff, and limits how often failures are logged.
//!
//! [`AcceptFailure`] and [`AcceptBackoff`] decide without I/O or a clock; [`Acceptor`] waits. Each listener
//! provides its own way to free resources when descriptors or memory run out.

use rustix::io::Errno;
use slog::{Logger, debug, warn};
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream, UnixListener, UnixStream};
use tokio::time::sleep;

/// Delay before the next accept after the first failure that requires a backoff.
const INITIAL_BACKOFF: Duration = Duration::from_millis(2);
/// Maximum delay after several such failures in a row. Clients wait in the listen queue meanwhile, some of
/// them with short deadlines.
const MAX_BACKOFF: Duration = Duration::from_millis(64);
/// Minimum time between two log lines about failures. Each line has the number of failures that were not
/// logged.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The class of a failed accept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// The call was interrupted, or the connection at the head of the queue was lost or rejected. The next
    /// accept can succeed immediately.
    ConnectionLost,
    /// Descriptors or memory have run out, in the process or in the whole system.
    OutOfResources,
    /// Any other error. Retried without a delay, a listener that is broken would keep the CPU busy.
    Unknown,
}

impl AcceptFailure {
    /// Classifies an error. Linux reports network errors that are pending on a new connection as errors of
    /// accept (accept(2)).
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

/// How a listener continues after a failed accept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AcceptRetry {
    /// The class of the failure.
    pub failure: AcceptFailure,
    /// The delay before the next accept.
    pub delay: Duration,
    /// The number of earlier failures that were not logged, or `None` if this failure is not to be logged.
    pub suppressed_count: Option<u64>,
}

/// The backoff and the log limit of one listener.
#[derive(Default)]
pub struct AcceptBackoff {
    /// Failures with a delay since the last accepted connection.
    consecutive_backoffs: u32,
    last_logged_at: Option<Instant>,
    suppressed: u64,
}

impl AcceptBackoff {
    /// Records a failed accept.
    pub fn on_failure(&mut self, error: &io::Error, now: Instant) -> AcceptRetry {
        let failure = AcceptFailure::of(error);
        let delay = match failure {
            AcceptFailure::ConnectionLost => Duration::ZERO,
            AcceptFailure::OutOfResources | AcceptFailure::Unknown => self.next_delay(),
        };
        AcceptRetry { failure, delay, suppressed_count: self.next_suppressed_count(now) }
    }

    /// Records an accepted connection.
    pub fn on_success(&mut self) {
        self.consecutive_backoffs = 0;
    }

    fn next_delay(&mut self) -> Duration {
        let delay =
            INITIAL_BACKOFF.saturating_mul(2_u32.saturating_pow(self.consecutive_backoffs)).min(MAX_BACKOFF);
        self.consecutive_backoffs = self.consecutive_backoffs.saturating_add(1);
        delay
    }

    fn next_suppressed_count(&mut self, now: Instant) -> Option<u64> {
        if self.last_logged_at.is_some_and(|logged| now.saturating_duration_since(logged) < LOG_INTERVAL) {
            self.suppressed += 1;
            return None;
        }
        self.last_logged_at = Some(now);
        Some(std::mem::take(&mut self.suppressed))
    }
}

/// The accept system call. Tests use a listener whose accepts fail.
pub trait Accept {
    /// The type of an accepted connection.
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

/// A listener that retries failed accepts.
pub struct Acceptor<L> {
    listener: L,
    /// The value of the log key `listener`.
    name: &'static str,
    backoff: AcceptBackoff,
    log: Logger,
}

impl<L: Accept> Acceptor<L> {
    /// Creates an acceptor for a listener.
    pub fn new(listener: L, name: &'static str, log: Logger) -> Acceptor<L> {
        Acceptor { listener, name, backoff: AcceptBackoff::default(), log }
    }

    /// Waits for the next connection and retries failed accepts without limit. Calls `free_resources` when
    /// resources have run out. Cancel safe: dropping the future loses no connection.
    pub async fn accept(&mut self, free_resources: impl Fn()) -> L::Connection {
        loop {
            let error = match self.listener.accept_one().await {
                Ok(connection) => {
                    self.backoff.on_success();
                    return connection;
                }
                Err(error) => error,
            };
            let retry = self.backoff.on_failure(&error, Instant::now());
            self.log_failure(&error, &retry);
            if retry.failure == AcceptFailure::OutOfResources {
                free_resources();
            }
            if retry.delay.is_zero() {
                tokio::task::yield_now().await; // lets other tasks run between failures
            } else {
                sleep(retry.delay).await;
            }
        }
    }

    fn log_failure(&self, error: &io::Error, retry: &AcceptRetry) {
        let Some(not_logged) = retry.suppressed_count else { return };
        match retry.failure {
            AcceptFailure::ConnectionLost => debug!(self.log, "accept failed";
                "listener" => self.name, "error" => %error, "not_logged" => not_logged),
            AcceptFailure::OutOfResources | AcceptFailure::Unknown => warn!(self.log, "accept failed";
                "listener" => self.name, "error" => %error, "not_logged" => not_logged),
        }
    }
}

#[cfg(test)]
mod tests;
