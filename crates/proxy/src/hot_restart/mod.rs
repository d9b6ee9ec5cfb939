//! Hot restart: the process that serves an address hands its listening socket and state to its successor, over a Unix
//! socket in `$TMPDIR`.
//!
//! [`state_machine`] decides; this module owns the sockets and tasks. It knows the process only as a [`HotRestartHost`],
//! which `serving_process.rs` implements. `docs/operations.md` has the design, and `docs/operators/upgrades.md` is for
//! operators.

mod message;
pub mod state_machine;

pub use message::State;

use self::state_machine::{Action, Event, ManualChange, Peer, RestartState};
use crate::accept::Acceptor;
use crate::interrupted::Uninterrupted;
use message::{LONGEST_LINE_BYTES, Message, PROTOCOL_VERSION};
use rustix::io::retry_on_intr;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use slog::{Logger, info, warn};
use std::cell::RefCell;
use std::io::{self, IoSlice, IoSliceMut, Write};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::UnixStream as Blocking;
use std::path::{Path, PathBuf};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Interest};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Longest exchange of the state, on either side. Danger: a new process has 6 s in all to get ready.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Messages that wait to be written to a peer. A peer that reads none of so many is disconnected.
const MOST_QUEUED_MESSAGES: usize = 1024;

/// Why this process takes over from none.
#[derive(Debug, thiserror::Error)]
pub enum TakeOverError {
    /// Nobody answered, or the connection broke.
    #[error("{path}: {error}", path = .0.display(), error = .1)]
    Io(PathBuf, io::Error),
    /// Whoever answered is another build, or no proxy.
    #[error("{path}: what came is no state of protocol {PROTOCOL_VERSION}: {what}", path = .0.display(), what = .1)]
    Foreign(PathBuf, String),
}

/// A connection to a peer, and what was read ahead on it.
pub struct PeerConnection {
    stream: Blocking,
    read_ahead: Vec<u8>,
}

/// What a predecessor handed over.
pub struct Inheritance {
    /// The socket that clients connect to.
    pub listener: TcpListener,
    /// What it knows.
    pub state: State,
    /// The connection to it.
    pub connection: PeerConnection,
}

/// What a process does for its successor.
pub trait HotRestartHost {
    /// The listening socket.
    fn listener(&self) -> io::Result<OwnedFd>;
    /// What the successor must know.
    fn state(&self) -> State;
    /// Accept connections, or leave them to the successor.
    fn set_accepting(&self, accepting: bool);
    /// Keep to one part in so many of the limits.
    fn share_limits(&self, processes: u32);
    /// Detach or attach an endpoint.
    fn apply(&self, change: &ManualChange);
}

/// Where the process that serves an address listens for its successor.
pub fn path(dir: &Path, listen: SocketAddr) -> PathBuf {
    dir.join(format!("olivecart-{}-{}.sock", listen.ip(), listen.port()))
}

/// Takes over from the process that serves. Blocks for [`EXCHANGE_TIMEOUT`] at most.
///
/// # Errors
/// No process listens there, or none that can hand over.
pub fn take_over(path: &Path) -> Result<Inheritance, TakeOverError> {
    let broken = |e| TakeOverError::Io(path.to_owned(), e);
    let foreign = |what: String| TakeOverError::Foreign(path.to_owned(), what);
    let mut stream = Blocking::connect(path).map_err(broken)?;
    stream.set_write_timeout(Some(EXCHANGE_TIMEOUT)).map_err(broken)?;
    stream.write_all(&Message::Hello { protocol: PROTOCOL_VERSION }.line()).map_err(broken)?;
    let deadline = Instant::now() + EXCHANGE_TIMEOUT;
    let mut received = Vec::new();
    let mut listener = None;
    let line_end = loop {
        if let Some(line_end) = received.iter().position(|byte| *byte == b'\n') {
            break line_end;
        }
        // Danger: a predecessor that sends a byte at a time holds up the start for good.
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(broken(io::ErrorKind::TimedOut.into()));
        }
        stream.set_read_timeout(Some(left)).map_err(broken)?;
        let (bytes, descriptor) = receive(&stream).map_err(broken)?;
        if bytes.is_empty() || received.len() > LONGEST_LINE_BYTES {
            return Err(foreign(format!("{} bytes and an end", received.len())));
        }
        received.extend_from_slice(&bytes);
        listener = listener.or(descriptor);
    };
    let read_ahead = received.split_off(line_end + 1);
    match (serde_json::from_slice(&received), listener) {
        (Ok(Message::State(state)), Some(listener)) if state.protocol == PROTOCOL_VERSION => {
            Ok(Inheritance {
                listener: listener.into(),
                state: *state,
                connection: PeerConnection { stream, read_ahead },
            })
        }
        (Ok(_), _) => Err(foreign("another protocol, or no socket".into())),
        (Err(e), _) => Err(foreign(e.to_string())),
    }
}

/// Some bytes, and a descriptor if one came along.
fn receive(stream: &Blocking) -> io::Result<(Vec<u8>, Option<OwnedFd>)> {
    let mut bytes = vec![0; 64 * 1024];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(4))];
    let mut passed = RecvAncillaryBuffer::new(&mut space);
    let mut buffers = [IoSliceMut::new(&mut bytes)];
    let received = retry_on_intr(|| recvmsg(stream, &mut buffers, &mut passed, RecvFlags::CMSG_CLOEXEC))?;
    let read = received.bytes;
    let rights = |message| match message {
        RecvAncillaryMessage::ScmRights(fds) => Some(fds),
        _ => None,
    };
    let fd = passed.drain().filter_map(rights).flatten().next();
    bytes.truncate(read);
    Ok((bytes, fd))
}

/// This process among its predecessor and successor.
pub struct HotRestart {
    state: RefCell<RestartState>,
    host: Rc<dyn HotRestartHost>,
    path: PathBuf,
    /// Accepts successors; each call to [`listen`](Self::listen) replaces it.
    accept_task: RefCell<Option<JoinHandle<()>>>,
    /// What is to be written to the predecessor and to the successor, by [`Peer`].
    queues: RefCell<[Option<mpsc::Sender<Message>>; 2]>,
    log: Logger,
}

impl HotRestart {
    /// Starts with the predecessor that this process takes over from, or alone.
    pub fn start(
        host: Rc<dyn HotRestartHost>,
        path: PathBuf,
        predecessor: Option<PeerConnection>,
        log: Logger,
    ) -> Rc<HotRestart> {
        let (state, first_actions) = RestartState::start(predecessor.is_some());
        let hot_restart = Rc::new(HotRestart {
            state: RefCell::new(state),
            host,
            path,
            accept_task: RefCell::default(),
            queues: RefCell::default(),
            log,
        });
        if let Some(predecessor) = predecessor {
            hot_restart.connect_predecessor(predecessor);
        }
        hot_restart.perform(first_actions);
        hot_restart
    }

    fn connect_predecessor(self: &Rc<Self>, PeerConnection { stream, read_ahead }: PeerConnection) {
        match stream.set_nonblocking(true).and_then(|()| UnixStream::from_std(stream)) {
            Ok(stream) => {
                let queue = self.open_queue(Peer::Predecessor);
                self.connect_peer(Peer::Predecessor, stream, read_ahead, queue);
            }
            Err(e) => {
                warn!(self.log, "peer process connection failed"; "peer" => ?Peer::Predecessor, "error" => %e);
                self.handle(Event::PeerGone(Peer::Predecessor));
            }
        }
    }

    /// This process shuts down, and takes nothing back if its successor serves in its place. Whether it does.
    pub fn on_shutdown(self: &Rc<Self>) -> bool {
        self.handle(Event::ShutdownStarted);
        self.state.borrow().is_replaced()
    }

    /// This process is ready to serve.
    pub fn on_ready(self: &Rc<Self>) {
        self.handle(Event::Ready);
    }

    /// An operator's change was made here.
    pub fn on_manual_change(self: &Rc<Self>, change: ManualChange) {
        self.handle(Event::ChangedHere(change));
    }

    fn handle(self: &Rc<Self>, event: Event) {
        let actions = self.state.borrow_mut().handle(event);
        self.perform(actions);
    }

    fn perform(self: &Rc<Self>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Listen => {
                    if let Err(e) = self.listen() {
                        warn!(self.log, "hot restart disabled";
                            "path" => %self.path.display(), "error" => %e);
                    }
                }
                Action::SendState | Action::RejectSuccessor => {} // accept_successor does so
                Action::SetAccepting(accepting) => {
                    info!(self.log, "accepting changed"; "accepting" => accepting);
                    self.host.set_accepting(accepting);
                }
                Action::ShareLimits(processes) => self.host.share_limits(processes),
                Action::SendReady => self.send(Peer::Predecessor, Message::Ready),
                Action::ApplyChange(change) => self.host.apply(&change),
                Action::SendChange(peer, change) => self.send(peer, change.into()),
            }
        }
    }

    fn send(&self, peer: Peer, message: Message) {
        let is_full = match &self.queues.borrow()[peer as usize] {
            Some(queue) => queue.try_send(message).is_err(),
            None => false,
        };
        if is_full {
            self.queues.borrow_mut()[peer as usize] = None; // which ends the connection
        }
    }

    /// Listens at the path. Danger: bound there directly, a stale file would be in the way, and one that was removed
    /// first leaves a moment in which nobody listens.
    fn listen(self: &Rc<Self>) -> io::Result<()> {
        let temporary = self.path.with_extension(std::process::id().to_string());
        let _ = std::fs::remove_file(&temporary); // of an earlier process with this number
        let listener = UnixListener::bind(&temporary)?;
        std::fs::rename(&temporary, &self.path).inspect_err(|_| _ = std::fs::remove_file(&temporary))?;
        let task = actix_rt::spawn(accept_successors(listener, Rc::downgrade(self)));
        if let Some(former) = self.accept_task.replace(Some(task)) {
            former.abort(); // nobody can reach it any more
        }
        Ok(())
    }

    /// Hands over to a process that has connected, unless there is a successor already.
    async fn accept_successor(self: Rc<Self>, mut stream: UnixStream) -> io::Result<()> {
        let mut line = Vec::new();
        let hello = Uninterrupted(&mut stream).take(LONGEST_LINE_BYTES as u64);
        timeout(EXCHANGE_TIMEOUT, BufReader::new(hello).read_until(b'\n', &mut line)).await??;
        if !matches!(serde_json::from_slice(&line), Ok(Message::Hello { protocol: PROTOCOL_VERSION })) {
            return Err(io::Error::other("another protocol"));
        }
        let actions = self.state.borrow_mut().handle(Event::SuccessorConnected);
        if actions.contains(&Action::RejectSuccessor) {
            return Err(io::Error::other("one is let in already"));
        }
        // Danger: a manual change that is made while the state is sent is not in it, and has to wait for its end.
        let queue = self.open_queue(Peer::Successor);
        self.perform(actions);
        let sent = timeout(EXCHANGE_TIMEOUT, self.send_state(&mut stream)).await;
        if let Err(e) = sent.unwrap_or_else(|elapsed| Err(elapsed.into())) {
            self.on_peer_gone(Peer::Successor);
            return Err(e);
        }
        self.connect_peer(Peer::Successor, stream, Vec::new(), queue);
        Ok(())
    }

    async fn send_state(&self, stream: &mut UnixStream) -> io::Result<()> {
        let listener = self.host.listener()?;
        let state = self.host.state();
        let line = Message::State(Box::new(State { protocol: PROTOCOL_VERSION, ..state })).line();
        let with_socket = |stream: &UnixStream| {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut passed = SendAncillaryBuffer::new(&mut space);
            let fds = [listener.as_fd()];
            passed.push(SendAncillaryMessage::ScmRights(&fds));
            let first = [IoSlice::new(&line[..1])];
            Ok(retry_on_intr(|| sendmsg(stream, &first, &mut passed, SendFlags::empty()))?)
        };
        let sent = stream.async_io(Interest::WRITABLE, || with_socket(stream)).await?;
        Uninterrupted(stream).write_all(&line[sent..]).await
    }

    /// Where messages to a peer wait.
    fn open_queue(&self, peer: Peer) -> mpsc::Receiver<Message> {
        let (sender, receiver) = mpsc::channel(MOST_QUEUED_MESSAGES);
        self.queues.borrow_mut()[peer as usize] = Some(sender);
        receiver
    }

    fn on_peer_gone(self: &Rc<Self>, peer: Peer) {
        self.queues.borrow_mut()[peer as usize] = None;
        self.handle(Event::PeerGone(peer));
    }

    /// Reads from and writes to a peer until either ends; the reading task owns the writing one.
    fn connect_peer(
        self: &Rc<Self>,
        peer: Peer,
        stream: UnixStream,
        read_ahead: Vec<u8>,
        queue: mpsc::Receiver<Message>,
    ) {
        let (reader, writer) = stream.into_split();
        info!(self.log, "peer process connected"; "peer" => ?peer);
        let write_task = actix_rt::spawn(self.clone().write(writer, queue));
        let this = self.clone();
        actix_rt::spawn(async move {
            let reason = this.read(peer, reader, read_ahead).await;
            write_task.abort();
            info!(this.log, "peer process disconnected"; "reason" => %reason, "peer" => ?peer);
            this.on_peer_gone(peer);
        });
    }

    async fn read(self: &Rc<Self>, peer: Peer, reader: OwnedReadHalf, read_ahead: Vec<u8>) -> io::Error {
        let mut reader = BufReader::new(io::Cursor::new(read_ahead).chain(Uninterrupted(reader)));
        loop {
            let mut line = Vec::new();
            match (&mut reader).take(LONGEST_LINE_BYTES as u64).read_until(b'\n', &mut line).await {
                Err(e) => return e,
                Ok(_) if !line.ends_with(b"\n") => return io::ErrorKind::UnexpectedEof.into(),
                Ok(_) => {}
            }
            let change = match serde_json::from_slice(&line) {
                Ok(Message::Ready) if peer == Peer::Successor => {
                    self.handle(Event::SuccessorReady);
                    continue;
                }
                Ok(Message::Detach(target)) => ManualChange::Detach(target),
                Ok(Message::Attach(target)) => ManualChange::Attach(target),
                Ok(_) => return io::Error::other("out of turn"),
                Err(e) => return e.into(),
            };
            self.handle(Event::ChangedByPeer(peer, change));
        }
    }

    async fn write(self: Rc<Self>, writer: OwnedWriteHalf, mut queue: mpsc::Receiver<Message>) {
        let mut writer = Uninterrupted(writer);
        while let Some(message) = queue.recv().await {
            if writer.write_all(&message.line()).await.is_err() {
                return;
            }
            if matches!(message, Message::Ready) {
                self.handle(Event::ReadySent);
            }
        }
    }
}

async fn accept_successors(listener: UnixListener, hot_restart: Weak<HotRestart>) {
    let Some(log) = hot_restart.upgrade().map(|hot_restart| hot_restart.log.clone()) else { return };
    let mut acceptor = Acceptor::new(listener, "hot restart", log.clone());
    loop {
        let stream = acceptor.accept(|| {}).await; // it has nothing to give up
        let Some(hot_restart) = hot_restart.upgrade() else { return };
        let log = log.clone();
        actix_rt::spawn(async move {
            if let Err(e) = hot_restart.accept_successor(stream).await {
                warn!(log, "successor rejected"; "error" => %e);
            }
        });
    }
}

#[cfg(test)]
mod tests;
