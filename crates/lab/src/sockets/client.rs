//! Calls over HTTP/1.1 on connections that are kept, one request at a time on each.

use super::held;
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

/// A connection that has been idle for this long is not used again. Danger: peers close idle ones, and a
/// request that crosses their closing is lost.
const IDLE: Duration = Duration::from_secs(5);

/// How a call came to no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection came up; nothing was sent.
    #[error("no connection: {0}")]
    Connect(io::Error),
    /// The connection broke with the request under way; it may have run.
    #[error("the connection broke: {0}")]
    Broken(hyper::Error),
    /// The answer is longer than any may be.
    #[error("the answer is longer than {BODY_LIMIT} bytes, or broke off")]
    Body,
}

/// A whole answer.
#[derive(Debug)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// A request as calls send it.
pub type Outgoing = Request<Full<Bytes>>;

/// One connection. Dropped, it closes at once, whatever is under way on it.
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

/// The connections to one address.
pub struct Pool {
    to: SocketAddr,
    /// Idle for longest first.
    idle: Mutex<VecDeque<Connection>>,
    room: Semaphore,
    opened: AtomicU64,
    waited: AtomicU64,
}

impl Pool {
    /// No connection yet; at most `most` at a time, idle ones included.
    pub fn new(to: SocketAddr, most: usize) -> Pool {
        let room = Semaphore::new(most.min(Semaphore::MAX_PERMITS));
        Pool { to, idle: Mutex::default(), room, opened: AtomicU64::new(0), waited: AtomicU64::new(0) }
    }

    /// Where it leads.
    pub fn to(&self) -> SocketAddr {
        self.to
    }

    /// Connections opened so far.
    pub fn opened(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }

    /// Calls that had to wait for one of the connections.
    pub fn waited(&self) -> u64 {
        self.waited.load(Ordering::Relaxed)
    }

    /// Sends a request and waits for its whole answer. Dropped before that, it closes the connection. A
    /// request that a kept connection did not take any more goes out on a new one.
    ///
    /// # Errors
    /// No connection came up, or it broke.
    pub async fn call(&self, mut request: Outgoing) -> Result<Answer, CallError> {
        let _room = match self.room.try_acquire() {
            Ok(room) => Some(room),
            Err(_) => {
                self.waited.fetch_add(1, Ordering::Relaxed);
                self.room.acquire().await.ok() // it is never closed
            }
        };
        while let Some(mut kept) = self.take_idle() {
            match kept.sender.try_send_request(request).await {
                Ok(response) => return self.whole(kept, response).await,
                Err(mut failed) => match failed.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(CallError::Broken(failed.into_error())),
                },
            }
        }
        let mut new = self.connect().await?;
        let response = new.sender.send_request(request).await.map_err(CallError::Broken)?;
        self.whole(new, response).await
    }

    async fn whole(
        &self,
        connection: Connection,
        response: hyper::Response<hyper::body::Incoming>,
    ) -> Result<Answer, CallError> {
        let (head, body) = response.into_parts();
        let body = Limited::new(body, BODY_LIMIT).collect().await.map_err(|_| CallError::Body)?.to_bytes();
        self.keep(connection);
        Ok(Answer { status: head.status, headers: head.headers, body })
    }

    /// The connection used last of those that are still good.
    fn take_idle(&self) -> Option<Connection> {
        let mut idle = held(&self.idle);
        while idle.front().is_some_and(|oldest| oldest.idle_since.elapsed() >= IDLE) {
            idle.pop_front();
        }
        while let Some(last) = idle.pop_back() {
            if !last.sender.is_closed() {
                return Some(last);
            }
        }
        None
    }

    fn keep(&self, mut connection: Connection) {
        if !connection.sender.is_closed() {
            connection.idle_since = Instant::now();
            held(&self.idle).push_back(connection);
        }
    }

    async fn connect(&self) -> Result<Connection, CallError> {
        let stream = TcpStream::connect(self.to).await.map_err(CallError::Connect)?;
        let _ = stream.set_nodelay(true); // a hint; without it small requests wait for acknowledgements
        let shaken = handshake(TokioIo::new(stream)).await;
        let (sender, driver) = shaken.map_err(|e| CallError::Connect(io::Error::other(e)))?;
        let driver = tokio::spawn(async move { _ = driver.await }).abort_handle();
        self.opened.fetch_add(1, Ordering::Relaxed);
        Ok(Connection { sender, driver, idle_since: Instant::now() })
    }
}
