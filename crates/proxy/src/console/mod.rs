//! The admin server: readiness, figures, and endpoints detached or attached by operators. `docs/operators/console.md` is
//! for its callers.
//!
//! It runs on a thread of its own and reads the figures without the event loop, so that it answers however busy that
//! is. Only a change is made in the event loop: `serve.rs` receives it, and the answer is awaited within bounds.

pub mod request;

use crate::accept::Acceptor;
use crate::interrupted::Uninterrupted;
use crate::stats::Stats;
use request::{AdminError, AdminRequest};
use slog::{Logger, info, warn};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, TcpListener as Bound};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::{AbortHandle, LocalSet, spawn_local};
use tokio::time::timeout;

/// Most connections at a time; so many descriptors are set aside for them.
pub const MOST_CONNECTIONS: usize = 24;
/// Connections that wait to be accepted.
const BACKLOG: i32 = 1024;
/// A request is complete this long after its connection was accepted.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Where all connections are taken, one without a complete request is evicted after this long. Danger: callers that
/// connect and send nothing, and so keep out those that do.
const EVICTION_GRACE: Duration = Duration::from_millis(20);
/// Longest wait for the event loop; the answer is awaiting_request in 1 s.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest that a response takes to be written, and its reader to close.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Changes that wait for the event loop.
const MOST_QUEUED_CHANGES: usize = 64;

/// A change to be made in the event loop, and who is told of its outcome.
pub struct Change {
    /// [`AdminRequest::Detach`] or [`AdminRequest::Attach`].
    pub request: AdminRequest,
    /// Told the outcome.
    pub done: oneshot::Sender<Result<(), AdminError>>,
}

/// Binds the address for operators.
///
/// # Errors
/// The address can't be had.
pub fn bind(on: SocketAddr) -> io::Result<Bound> {
    use socket2::{Domain, Socket, Type};
    let socket = Socket::new(Domain::for_address(on), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&on.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

/// Starts to serve, on a thread of its own, for as long as the process lives. The receiver has the changes to be made
/// in the event loop.
///
/// # Errors
/// There is no thread.
pub fn start(listener: Bound, stats: Arc<Stats>, log: Logger) -> io::Result<mpsc::Receiver<Change>> {
    let (changes, receiver) = mpsc::channel(MOST_QUEUED_CHANGES);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new().name("console".into()).spawn(move || {
        runtime.block_on(LocalSet::new().run_until(async move {
            match TcpListener::from_std(listener) {
                Ok(listener) => Rc::new(AdminServer::new(stats, changes, log)).accept(listener).await,
                Err(e) => warn!(log, "the console does not answer"; "error" => %e),
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
    open: Rc<()>,
    closed: Rc<Notify>,
    log: Logger,
}

/// Counts as an open connection while it lives.
struct Open(#[allow(dead_code)] Rc<()>, Rc<Notify>);

impl Drop for Open {
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
            open: Rc::default(),
            closed: Rc::default(),
            log,
        }
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        let mut acceptor = Acceptor::new(listener, "console", self.log.clone());
        for number in 0.. {
            self.make_room().await;
            let (stream, _) = acceptor.accept(|| _ = self.evict_oldest()).await;
            let open = Open(self.open.clone(), self.closed.clone());
            let serving = self.clone().serve(number, stream, open);
            let task = spawn_local(serving).abort_handle();
            self.awaiting_request.borrow_mut().push_back((number, Instant::now(), task));
        }
    }

    /// Waits until there is room for one more. The oldest without a complete request is evicted, but not before
    /// [`EVICTION_GRACE`].
    async fn make_room(&self) {
        while Rc::strong_count(&self.open) > MOST_CONNECTIONS {
            let wait = self.evict_oldest();
            let _ = timeout(wait, self.closed.notified()).await;
        }
    }

    /// Evicts the oldest connection without a complete request, unless it is younger than [`EVICTION_GRACE`]. Returns how
    /// long to wait for room.
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

    async fn serve(self: Rc<Self>, number: u64, stream: TcpStream, _open: Open) {
        let mut stream = Uninterrupted(stream);
        let received = timeout(REQUEST_TIMEOUT, receive(&mut stream)).await;
        self.awaiting_request.borrow_mut().retain(|(other, ..)| *other != number);
        let answer = match received {
            Ok(Ok(Ok(request))) => self.answer(request).await,
            Ok(Ok(Err(rejected))) => Err(rejected),
            Ok(Err(_closed)) => return,
            Err(_elapsed) => return,
        };
        let _ = timeout(RESPONSE_TIMEOUT, async {
            stream.write_all(request::response(&answer).as_bytes()).await?;
            stream.shutdown().await?;
            // Danger: closed with bytes unread, the caller's end is reset and the answer with it.
            let mut rest = [0; 1024];
            while stream.read(&mut rest).await? > 0 {}
            Ok::<_, io::Error>(())
        })
        .await;
    }

    async fn answer(&self, request: AdminRequest) -> Result<String, AdminError> {
        match request {
            AdminRequest::Ready if self.stats.ready() => Ok("ready".into()),
            AdminRequest::Ready => Err(AdminError::NotReady),
            AdminRequest::Vars => Ok(self.stats.to_string()),
            AdminRequest::Detach(_) | AdminRequest::Attach(_) => {
                let shown = format!("{request:?}");
                let outcome = self.change(request).await?;
                let error = outcome.as_ref().err().map(AdminError::to_string);
                info!(self.log, "admin request handled"; "request" => shown, "error" => error);
                outcome.map(|()| "done".into())
            }
        }
    }

    /// Has a change made in the event loop. The outer error: it was not even queued.
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

/// A complete request. The outer error: its connection has ended before.
async fn receive(stream: &mut Uninterrupted<TcpStream>) -> io::Result<Result<AdminRequest, AdminError>> {
    let mut received = Vec::with_capacity(1024);
    loop {
        match request::read(&received) {
            Ok(Some(request)) => return Ok(Ok(request)),
            Ok(None) => {}
            Err(rejected) => return Ok(Err(rejected)),
        }
        if stream.read_buf(&mut received).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}
