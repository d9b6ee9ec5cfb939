//! Establishes TCP connections to endpoints, and classifies connect failures as local or caused by the
//! endpoint.
//!
//! [`Connect`] abstracts the operating system for `backends`. This module knows nothing of requests or
//! retries.

use rustix::io::Errno;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use tokio::net::TcpStream;

/// A connection that is being established.
pub type Connecting = Pin<Box<dyn Future<Output = io::Result<TcpStream>>>>;

/// Establishes connections.
pub trait Connect {
    /// Starts to connect to `addr`.
    fn connect(&self, addr: SocketAddr) -> Connecting;
}

/// Connects through the operating system.
pub struct SystemConnect;

impl Connect for SystemConnect {
    fn connect(&self, addr: SocketAddr) -> Connecting {
        Box::pin(TcpStream::connect(addr))
    }
}

/// Why a connection could not be established. No bytes were sent on it.
#[derive(Debug, thiserror::Error)]
pub enum ConnectFailure {
    /// The connect timeout expired.
    #[error("connect to {0} timed out")]
    TimedOut(SocketAddr),
    /// The endpoint refused the connection or could not be reached.
    #[error("connect to {0} failed: {1}")]
    Unreachable(SocketAddr, io::Error),
    /// This machine lacked a resource to connect, which says nothing about the endpoint.
    #[error("connect to {0} failed because of a local error: {1}")]
    Local(SocketAddr, io::Error),
}

/// Errors of `socket` and `connect` that this machine causes: no port, memory, descriptor or network, or a
/// signal.
const LOCAL_ERRORS: [Errno; 10] = [
    Errno::ADDRNOTAVAIL,
    Errno::ADDRINUSE,
    Errno::AGAIN,
    Errno::NOBUFS,
    Errno::NOMEM,
    Errno::MFILE,
    Errno::NFILE,
    Errno::NETUNREACH,
    Errno::NETDOWN,
    Errno::INTR,
];

impl ConnectFailure {
    /// Classifies an error of `socket` or `connect`.
    pub fn of(addr: SocketAddr, error: io::Error) -> ConnectFailure {
        let local = Errno::from_io_error(&error).is_some_and(|errno| LOCAL_ERRORS.contains(&errno));
        if local { ConnectFailure::Local(addr, error) } else { ConnectFailure::Unreachable(addr, error) }
    }
}

#[cfg(test)]
mod tests;
