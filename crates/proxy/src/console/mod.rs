//! The admin server of `olivecart serve`: reports readiness and statistics, and detaches or attaches
//! endpoints. `docs/operators/console.md` documents its requests.
//!
//! It runs on a separate thread and reads the statistics without the event loop, so that it answers even when
//! the event loop is busy. Only changes are made in the event loop: `serve.rs` receives them, and the wait
//! for the result has a timeout.

pub mod request;

use crate::accept::Acceptor;
use crate::interrupted::Uninterrupted;
use crate::stats::Stats;
use request::{AdminError, AdminRequest};
use slog::{Logger, info, warn};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, TcpListener as StdTcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::{AbortHandle, LocalSet, spawn_local};
use tokio::time::timeout;

/// The maximum number of connections. This many descriptors are reserved for them.
pub const MAX_CONNECTIONS: usize = 24;
/// The maximum number of connections waiting to be accepted.
const LISTEN_BACKLOG: i32 = 1024;
/// The time from accepting a connection until its request must be complete.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// When all connections are in use, a connection without a complete request can be evicted after this time.
/// Without the eviction, callers that connect and send nothing would lock out all others.
const EVICTION_GRACE: Duration = Duration::from_millis(20);
/// The timeout of a change in the event loop. Callers expect a response within 1 s.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(800);
/// The timeout of writing a response and waiting until the caller closes the connection.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum number of changes queued for the event loop.
const MAX_QUEUED_CHANGES: usize = 64;

/// A change to be made in the event loop.
pub struct Change {
    /// [`AdminRequest::Detach`] or [`AdminRequest::Attach`].
    pub request: AdminRequest,
    /// Receives the result of the change.
    pub done: oneshot::Sender<Result<(), AdminError>>,
}

/// Binds the address of the admin server.
///
/// # Errors
/// Returns an error if the address cannot be bound.
pub fn bind(address: SocketAddr) -> io::Result<StdTcpListener> {
    use socket2::{Domain, Socket, Type};
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

/// Starts the admin server on a separate thread, which runs until the process ends. Returns the receiver of
/// the changes to be made in the event loop.
///
/// # Errors
/// Returns an error if the runtime or the thread cannot be created.
pub fn start(listener: StdTcpListener, stats: Arc<Stats>, log: Logger) -> io::Result<mpsc::Receiver<Change>> {
    let (changes, receiver) = mpsc::channel(MAX_QUEUED_CHANGES);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new().name("console".into()).spawn(move || {
        runtime.block_on(LocalSet::new().run_until(async move {
            match TcpListener::from_std(listener) {
                Ok(listener) => Rc::new(AdminServer::new(stats, changes, log)).accept(listener).await,
                Err(e) => warn!(log, "admin server failed to start"; "error" => %e),
            }
        }));
    })?;
    Ok(receiver)
}

struct AdminServer {
    stats: Arc<Stats>,
    changes: mpsc::Sender<Change>,
    /// Connections without a complete request, oldest first.
    awaiting_request: RefCell<VecDeque<(u64, Instant, AbortHandle)>>,
    open_connections: Rc<()>,
    closed: Rc<Notify>,
    log: Logger,
}

/// Counts as an open connection until it is dropped.
struct OpenConnection(#[allow(dead_code)] Rc<()>, Rc<Notify>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.1.notify_one();
    }
}

impl AdminServer {
    fn new(stats: Arc<Stats>, changes: mpsc::Sender<Change>, log: Logger) -> AdminServer {
        AdminServer {
            stats,
            changes,
            awaiting_request: RefCell::default(),
            open_connections: Rc::default(),
            closed: Rc::default(),
            log,
        }
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        let mut acceptor = Acceptor::new(listener, "console", self.log.clone());
        for number in 0.. {
            self.wait_for_free_connection().await;
            let (stream, _) = acceptor.accept(|| _ = self.evict_oldest()).await;
            let open = OpenConnection(self.open_connections.clone(), self.closed.clone());
            let serving = self.clone().serve(number, stream, open);
            let task = spawn_local(serving).abort_handle();
            self.awaiting_request.borrow_mut().push_back((number, Instant::now(), task));
        }
    }

    /// Waits until another connection can be accepted. Evicts the oldest connection without a complete
    /// request if it is older than [`EVICTION_GRACE`].
    async fn wait_for_free_connection(&self) {
        while Rc::strong_count(&self.open_connections) > MAX_CONNECTIONS {
            let wait = self.evict_oldest();
            let _ = timeout(wait, self.closed.notified()).await;
        }
    }

    /// Evicts the oldest connection without a complete request, unless it is younger than [`EVICTION_GRACE`].
    /// Returns the time to wait for a free connection.
    fn evict_oldest(&self) -> Duration {
        let oldest = self.awaiting_request.borrow().front().map(|(_, since, _)| since.elapsed());
        match oldest {
            Some(age) if age >= EVICTION_GRACE => {
                if let Some((_, _, task)) = self.awaiting_request.borrow_mut().pop_front() {
                    task.abort();
                }
                EVICTION_GRACE
            }
            Some(age) => EVICTION_GRACE - age,
            None => EVICTION_GRACE,
        }
    }

    async fn serve(self: Rc<Self>, number: u64, stream: TcpStream, _open: OpenConnection) {
        let mut stream = Uninterrupted(stream);
        let received = timeout(REQUEST_TIMEOUT, receive(&mut stream)).await;
        self.awaiting_request.borrow_mut().retain(|(other, ..)| *other != number);
        let result = match received {
            Ok(Ok(Ok(request))) => self.handle_request(request).await,
            Ok(Ok(Err(rejection))) => Err(rejection),
            Ok(Err(_closed)) => return,
            Err(_elapsed) => return,
        };
        let _ = timeout(RESPONSE_TIMEOUT, async {
            stream.write_all(request::response(&result).as_bytes()).await?;
            stream.shutdown().await?;
            // Closing a connection with unread bytes would reset it, and the caller could lose the response.
            let mut rest = [0; 1024];
            while stream.read(&mut rest).await? > 0 {}
            Ok::<_, io::Error>(())
        })
        .await;
    }

    async fn handle_request(&self, request: AdminRequest) -> Result<String, AdminError> {
        match request {
            AdminRequest::Ready if self.stats.is_ready() => Ok("ready".into()),
            AdminRequest::Ready => Err(AdminError::NotReady),
            AdminRequest::Vars => Ok(format!("{}{}", self.stats.memory(), self.stats)),
            AdminRequest::Detach(_) | AdminRequest::Attach(_) => {
                let request_text = format!("{request:?}");
                let outcome = self.change(request).await?;
                let error = outcome.as_ref().err().map(AdminError::to_string);
                info!(self.log, "admin request handled"; "request" => request_text, "error" => error);
                outcome.map(|()| "done".into())
            }
        }
    }

    /// Passes a change to the event loop and returns its result. The outer error means that it was not
    /// queued.
    async fn change(&self, request: AdminRequest) -> Result<Result<(), AdminError>, AdminError> {
        let (done, outcome) = oneshot::channel();
        self.changes.try_send(Change { request, done }).map_err(|_full| AdminError::Busy)?;
        match timeout(CHANGE_TIMEOUT, outcome).await {
            Ok(Ok(outcome)) => Ok(outcome),
            Ok(Err(_dropped)) => Ok(Err(AdminError::Busy)),
            Err(_elapsed) => Ok(Err(AdminError::Busy)),
        }
    }
}

/// Receives a complete request. The outer error means that the connection ended before.
async fn receive(stream: &mut Uninterrupted<TcpStream>) -> io::Result<Result<AdminRequest, AdminError>> {
    let mut received = Vec::with_capacity(1024);
    loop {
        match request::parse(&received) {
            Ok(Some(request)) => return Ok(Ok(request)),
            Ok(None) => {}
            Err(rejection) => return Ok(Err(rejection)),
        }
        if stream.read_buf(&mut received).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}
