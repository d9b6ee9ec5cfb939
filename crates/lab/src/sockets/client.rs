//! An HTTP/1.1 client with a connection pool and one request at a time per connection.

use super::lock;
use super::protocol::BODY_LIMIT;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::AbortHandle;

/// A connection that has been idle for this long is not reused. Peers close idle connections, and a request
/// sent at the same time is lost.
const MAX_IDLE_TIME: Duration = Duration::from_secs(5);

/// Why a call got no response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection was established; nothing was sent.
    #[error("cannot connect: {0}")]
    Connect(io::Error),
    /// The connection failed after the request was sent; the request may have been executed.
    #[error("the connection failed during the request: {0}")]
    ConnectionFailed(hyper::Error),
    /// The response body is too long or incomplete.
    #[error("the response body is longer than {BODY_LIMIT} bytes or incomplete")]
    Body,
}

/// A complete response.
#[derive(Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// A request with a complete body.
pub type Outgoing = Request<Full<Bytes>>;

/// A connection. Dropping it closes it at once, even during a request.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    idle_since: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// A pool of connections to one address.
pub struct Pool {
    address: SocketAddr,
    /// Idle connections, longest idle first.
    idle: Mutex<VecDeque<Connection>>,
    permits: Semaphore,
    opened: AtomicU64,
    waited: AtomicU64,
}

impl Pool {
    /// Creates an empty pool of at most `max_connections` connections, including idle ones.
    pub fn new(address: SocketAddr, max_connections: usize) -> Pool {
        let permits = Semaphore::new(max_connections.min(Semaphore::MAX_PERMITS));
        Pool {
            address,
            idle: Mutex::default(),
            permits,
            opened: AtomicU64::new(0),
            waited: AtomicU64::new(0),
        }
    }

    /// Returns the address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of connections opened so far.
    pub fn opened(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }

    /// Returns the number of calls that had to wait for a free connection.
    pub fn waited(&self) -> u64 {
        self.waited.load(Ordering::Relaxed)
    }

    /// Sends a request and waits for the complete response. Dropping the future closes the connection. If an
    /// idle connection turns out closed before the request is sent, another connection is used.
    ///
    /// # Errors
    /// No connection was established, it failed, or the response body is too long.
    pub async fn call(&self, mut request: Outgoing) -> Result<Answer, CallError> {
        let _permit = match self.permits.try_acquire() {
            Ok(permit) => Some(permit),
            Err(_) => {
                self.waited.fetch_add(1, Ordering::Relaxed);
                self.permits.acquire().await.ok() // the semaphore is never closed
            }
        };
        while let Some(mut idle_connection) = self.take_idle() {
            match idle_connection.sender.try_send_request(request).await {
                Ok(response) => return self.read_response(idle_connection, response).await,
                Err(mut failed) => match failed.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(CallError::ConnectionFailed(failed.into_error())),
                },
            }
        }
        let mut connection = self.connect().await?;
        let response = connection.sender.send_request(request).await.map_err(CallError::ConnectionFailed)?;
        self.read_response(connection, response).await
    }

    async fn read_response(
        &self,
        connection: Connection,
        response: hyper::Response<hyper::body::Incoming>,
    ) -> Result<Answer, CallError> {
        let (head, body) = response.into_parts();
        let body = Limited::new(body, BODY_LIMIT).collect().await.map_err(|_| CallError::Body)?.to_bytes();
        self.put_idle(connection);
        Ok(Answer { status: head.status, headers: head.headers, body })
    }

    /// Takes the most recently used idle connection that is still open.
    fn take_idle(&self) -> Option<Connection> {
        let mut idle = lock(&self.idle);
        while idle.front().is_some_and(|oldest| oldest.idle_since.elapsed() >= MAX_IDLE_TIME) {
            idle.pop_front();
        }
        while let Some(last) = idle.pop_back() {
            if !last.sender.is_closed() {
                return Some(last);
            }
        }
        None
    }

    fn put_idle(&self, mut connection: Connection) {
        if !connection.sender.is_closed() {
            connection.idle_since = Instant::now();
            lock(&self.idle).push_back(connection);
        }
    }

    async fn connect(&self) -> Result<Connection, CallError> {
        let stream = TcpStream::connect(self.address).await.map_err(CallError::Connect)?;
        let _ = stream.set_nodelay(true); // a hint; without it small requests wait for acknowledgements
        let handshaken = handshake(TokioIo::new(stream)).await;
        let (sender, driver) = handshaken.map_err(|e| CallError::Connect(io::Error::other(e)))?;
        let driver = tokio::spawn(async move { _ = driver.await }).abort_handle();
        self.opened.fetch_add(1, Ordering::Relaxed);
        Ok(Connection { sender, driver, idle_since: Instant::now() })
    }
}
