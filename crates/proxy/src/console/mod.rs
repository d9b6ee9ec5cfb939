//! Where operators call: readiness, figures, backends out by hand. `docs/operators/console.md` is for its callers.
//!
//! It runs on a thread of its own and reads the figures without the event loop, so that it answers however busy that
//! is. Only a change has to be done there: it is put to it, and waited for within bounds.

pub mod call;

use crate::accept::Acceptor;
use crate::interrupted::Uninterrupted;
use crate::stats::Stats;
use call::{Call, No};
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

/// Connections at a time; so many descriptors are set aside for them.
pub const CONNECTIONS: usize = 24;
/// Connections that wait to be accepted.
const BACKLOG: i32 = 1024;
/// A call is there this long after its connection was made, or never.
const WHOLE: Duration = Duration::from_secs(5);
/// Where all connections are taken, one without a whole call gives way after this long. Danger: callers that
/// connect and say nothing, and so keep out those that call.
const FRESH: Duration = Duration::from_millis(20);
/// Longest wait for the event loop; the answer is owed in 1 s.
const DONE: Duration = Duration::from_millis(800);
/// Longest that an answer takes to be written, and its reader to close.
const READ: Duration = Duration::from_secs(1);
/// Changes that wait for the event loop.
const WAITING: usize = 64;

/// Something to do in the event loop, and who is told that it was done.
pub struct Change {
    /// [`Call::Detach`] or [`Call::Attach`].
    pub call: Call,
    /// Told what came of it.
    pub done: oneshot::Sender<Result<(), No>>,
}

/// Listens where operators call.
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

/// Starts to answer, on a thread of its own, for as long as the process lives. What is to be done in the event loop
/// comes from the receiver.
///
/// # Errors
/// There is no thread.
pub fn start(listener: Bound, stats: Arc<Stats>, log: Logger) -> io::Result<mpsc::Receiver<Change>> {
    let (changes, receiver) = mpsc::channel(WAITING);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new().name("console".into()).spawn(move || {
        runtime.block_on(LocalSet::new().run_until(async move {
            match TcpListener::from_std(listener) {
                Ok(listener) => Rc::new(Console::new(stats, changes, log)).accept(listener).await,
                Err(e) => warn!(log, "the console does not answer"; "error" => %e),
            }
        }));
    })?;
    Ok(receiver)
}

struct Console {
    stats: Arc<Stats>,
    changes: mpsc::Sender<Change>,
    /// Connections without a whole call, oldest first.
    owed: RefCell<VecDeque<(u64, Instant, AbortHandle)>>,
    open: Rc<()>,
    left: Rc<Notify>,
    log: Logger,
}

/// Counts as an open connection while it lives.
struct Open(#[allow(dead_code)] Rc<()>, Rc<Notify>);

impl Drop for Open {
    fn drop(&mut self) {
        self.1.notify_one();
    }
}

impl Console {
    fn new(stats: Arc<Stats>, changes: mpsc::Sender<Change>, log: Logger) -> Console {
        Console { stats, changes, owed: RefCell::default(), open: Rc::default(), left: Rc::default(), log }
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        let mut acceptor = Acceptor::new(listener, "console", self.log.clone());
        for number in 0.. {
            self.make_room().await;
            let (stream, _) = acceptor.accept(|| _ = self.give_up_oldest(FRESH)).await;
            let open = Open(self.open.clone(), self.left.clone());
            let serving = self.clone().serve(number, stream, open);
            let task = spawn_local(serving).abort_handle();
            self.owed.borrow_mut().push_back((number, Instant::now(), task));
        }
    }

    /// Waits until there is room for one more. The oldest without a whole call gives way, but not before it had a
    /// moment to make it.
    async fn make_room(&self) {
        while Rc::strong_count(&self.open) > CONNECTIONS {
            let wait = self.give_up_oldest(FRESH);
            let _ = timeout(wait, self.left.notified()).await;
        }
    }

    /// Gives up the oldest connection without a whole call, if it is of that age at least. How long to wait for room.
    fn give_up_oldest(&self, least_age: Duration) -> Duration {
        let oldest = self.owed.borrow().front().map(|(_, since, _)| since.elapsed());
        match oldest {
            Some(age) if age >= least_age => {
                let given_up = self.owed.borrow_mut().pop_front();
                given_up.into_iter().for_each(|(_, _, task)| task.abort());
                least_age
            }
            Some(age) => least_age - age,
            None => least_age,
        }
    }

    async fn serve(self: Rc<Self>, number: u64, stream: TcpStream, _open: Open) {
        let mut stream = Uninterrupted(stream);
        let call = timeout(WHOLE, receive(&mut stream)).await;
        self.owed.borrow_mut().retain(|(other, ..)| *other != number);
        let answer = match call {
            Ok(Ok(Ok(call))) => self.answer(call).await,
            Ok(Ok(Err(no))) => Err(no),
            Ok(Err(_)) | Err(_) => return, // gone, or nothing to answer
        };
        let _ = timeout(READ, async {
            stream.write_all(call::word(&answer).as_bytes()).await?;
            stream.shutdown().await?;
            // Danger: closed with bytes unread, the caller's end is reset and the answer with it.
            let mut rest = [0; 1024];
            while stream.read(&mut rest).await? > 0 {}
            Ok::<_, io::Error>(())
        })
        .await;
    }

    async fn answer(&self, call: Call) -> Result<String, No> {
        match call {
            Call::Ready if self.stats.ready() => Ok("ready".into()),
            Call::Ready => Err(No::NotReady),
            Call::Vars => Ok(self.stats.to_string()),
            Call::Detach(_) | Call::Attach(_) => {
                let (done, told) = oneshot::channel();
                let words = format!("{call:?}");
                self.changes.try_send(Change { call, done }).map_err(|_| No::Busy)?;
                let done = timeout(DONE, told).await.ok().and_then(Result::ok).unwrap_or(Err(No::Busy));
                info!(self.log, "console"; "call" => words, "no" => done.as_ref().err().map(No::to_string));
                done.map(|()| "done".into())
            }
        }
    }
}

/// A whole call. The outer error: there will be none.
async fn receive(stream: &mut Uninterrupted<TcpStream>) -> io::Result<Result<Call, No>> {
    let mut came = Vec::with_capacity(1024);
    loop {
        match call::read(&came) {
            Ok(Some(call)) => return Ok(Ok(call)),
            Ok(None) => {}
            Err(no) => return Ok(Err(no)),
        }
        if stream.read_buf(&mut came).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}
