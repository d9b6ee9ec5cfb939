//! Establishes TCP connections to endpoints, and says whose fault it is when one fails to come up.
//!
//! [`Connect`] is the seam to the operating system, used by `backends`; nothing here knows requests or retries.

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
    /// Begins one.
    fn connect(&self, addr: SocketAddr) -> Connecting;
}

/// Through the operating system.
pub struct SystemConnect;

impl Connect for SystemConnect {
    fn connect(&self, addr: SocketAddr) -> Connecting {
        Box::pin(TcpStream::connect(addr))
    }
}

/// Why a connection did not come up. Nothing was sent on it.
#[derive(Debug, thiserror::Error)]
pub enum ConnectFailure {
    /// It did not come up in time.
    #[error("the connection to {0} did not come up in time")]
    TimedOut(SocketAddr),
    /// The endpoint, or the way to it, does not take connections.
    #[error("no connection to {0}: {1}")]
    Unreachable(SocketAddr, io::Error),
    /// This machine has no means for it now. It tells nothing of the endpoint.
    #[error("this machine could not connect to {0}: {1}")]
    Local(SocketAddr, io::Error),
}

/// Failures of `socket` and `connect` that are this machine's own: no port, memory, descriptor or network, or
/// a signal.
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
    /// What a failed `socket` or `connect` means.
    pub fn of(addr: SocketAddr, error: io::Error) -> ConnectFailure {
        let local = Errno::from_io_error(&error).is_some_and(|errno| LOCAL_ERRORS.contains(&errno));
        if local { ConnectFailure::Local(addr, error) } else { ConnectFailure::Unreachable(addr, error) }
    }
}

#[cfg(test)]
mod tests;
