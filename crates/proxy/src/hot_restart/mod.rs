//! Hot restart: the process that serves an address hands its listening socket and state over to its successor
//! through a Unix socket in `$TMPDIR`.
//!
//! [`state_machine`] decides; this module owns the sockets and tasks. It accesses the process only as a
//! [`HotRestartHost`], which `serving_process.rs` implements. The design is in `docs/operations.md`, and
//! `docs/operators/upgrades.md` is for operators.

mod message;
pub mod state_machine;

pub use message::State;

use self::state_machine::{Action, Event, ManualChange, Peer, RestartState};
use crate::accept::Acceptor;
use crate::interrupted::Uninterrupted;
use crate::recent_ids::{IdDigest, IdEvent};
use message::{MAX_LINE_BYTES, Message, PROTOCOL_VERSION};
use rustix::io::retry_on_intr;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use slog::{Logger, info, warn};
use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice, IoSliceMut, Write};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::UnixStream as BlockingStream;
use std::path::{Path, PathBuf};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Interest};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Maximum duration of the handover, on either side. A new process has 6 s in total to become ready.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of queued messages to a peer. A peer whose queue is full is disconnected.
const MAX_QUEUED_MESSAGES: usize = 1024;

/// Why this process could not take over from another one.
#[derive(Debug, thiserror::Error)]
pub enum TakeOverError {
    /// No process listens at the path, or the connection failed.
    #[error("{path}: {error}", path = .0.display(), error = .1)]
    Io(PathBuf, io::Error),
    /// The other process is an incompatible build or not a proxy.
    #[error(
        "{path}: received no state of protocol version {PROTOCOL_VERSION}: {reason}",
        path = .0.display(),
        reason = .1
    )]
    Incompatible(PathBuf, String),
}

/// A connection to a peer, and the bytes that were read ahead on it.
pub struct PeerConnection {
    stream: BlockingStream,
    read_ahead: Vec<u8>,
    takes_request_ids: bool,
}

/// Everything a predecessor hands over.
pub struct Handover {
    /// The socket that clients connect to.
    pub listener: TcpListener,
    /// The state of the predecessor.
    pub state: State,
    /// The connection to the predecessor.
    pub connection: PeerConnection,
}

/// The process that takes part in a hot restart.
pub trait HotRestartHost {
    /// Returns a duplicate of the listening socket.
    fn listener(&self) -> io::Result<OwnedFd>;
    /// Returns the state for the successor.
    fn state(&self) -> State;
    /// Starts accepting connections, or leaves them to the successor.
    fn set_accepting(&self, accepting: bool);
    /// Limits this process to an equal share of the limits, which are divided among `processes`.
    fn share_limits(&self, processes: u32);
    /// Detaches or attaches an endpoint.
    fn apply_change(&self, change: &ManualChange);
    /// Records what the other process has to say of a request's id.
    fn on_request_id(&self, event: IdEvent);
}

/// Returns the path of the Unix socket where the process that serves an address listens for its successor.
pub fn socket_path(dir: &Path, listen: SocketAddr) -> PathBuf {
    dir.join(format!("olivecart-{}-{}.sock", listen.ip(), listen.port()))
}

/// Takes over from the process that listens at `path`. Blocks for at most [`HANDOVER_TIMEOUT`].
///
/// # Errors
/// Returns an error if no process listens there or the process cannot hand over.
pub fn take_over(path: &Path) -> Result<Handover, TakeOverError> {
    let io_error = |e| TakeOverError::Io(path.to_owned(), e);
    let incompatible = |reason: String| TakeOverError::Incompatible(path.to_owned(), reason);
    let mut stream = BlockingStream::connect(path).map_err(io_error)?;
    stream.set_write_timeout(Some(HANDOVER_TIMEOUT)).map_err(io_error)?;
    stream
        .write_all(&Message::Hello { protocol: PROTOCOL_VERSION, takes_request_ids: true }.to_line())
        .map_err(io_error)?;
    let deadline = Instant::now() + HANDOVER_TIMEOUT;
    let mut received = Vec::new();
    let mut listener = None;
    let line_end = loop {
        if let Some(line_end) = received.iter().position(|byte| *byte == b'\n') {
            break line_end;
        }
        // The timeout covers the whole line. With one per read, a predecessor that sends one byte at a time
        // could delay the start without limit.
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(io_error(io::ErrorKind::TimedOut.into()));
        }
        stream.set_read_timeout(Some(remaining)).map_err(io_error)?;
        let (bytes, descriptor) = receive(&stream).map_err(io_error)?;
        if bytes.is_empty() || received.len() > MAX_LINE_BYTES {
            return Err(incompatible(format!("no complete line in {} bytes", received.len())));
        }
        received.extend_from_slice(&bytes);
        listener = listener.or(descriptor);
    };
    let read_ahead = received.split_off(line_end + 1);
    match (serde_json::from_slice(&received), listener) {
        (Ok(Message::State(state)), Some(listener)) if state.protocol == PROTOCOL_VERSION => Ok(Handover {
            listener: listener.into(),
            connection: PeerConnection { stream, read_ahead, takes_request_ids: state.request_ids.is_some() },
            state: *state,
        }),
        (Ok(_), _) => Err(incompatible("unexpected message or protocol version, or no socket".into())),
        (Err(e), _) => Err(incompatible(e.to_string())),
    }
}

/// Reads bytes, and a descriptor if one was passed with them.
fn receive(stream: &BlockingStream) -> io::Result<(Vec<u8>, Option<OwnedFd>)> {
    let mut bytes = vec![0; 64 * 1024];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(4))];
    let mut ancillary = RecvAncillaryBuffer::new(&mut space);
    let mut buffers = [IoSliceMut::new(&mut bytes)];
    let received = retry_on_intr(|| recvmsg(stream, &mut buffers, &mut ancillary, RecvFlags::CMSG_CLOEXEC))?;
    let read = received.bytes;
    let rights = |message| match message {
        RecvAncillaryMessage::ScmRights(fds) => Some(fds),
        _ => None,
    };
    let fd = ancillary.drain().filter_map(rights).flatten().next();
    bytes.truncate(read);
    Ok((bytes, fd))
}

/// The connections of this process to its predecessor and successor.
pub struct HotRestart {
    state: RefCell<RestartState>,
    host: Rc<dyn HotRestartHost>,
    path: PathBuf,
    /// The task that accepts successors; each call to [`listen`](Self::listen) replaces it.
    accept_task: RefCell<Option<JoinHandle<()>>>,
    /// The queues of messages to the predecessor and the successor, indexed by [`Peer`].
    queues: RefCell<[Option<mpsc::Sender<Message>>; 2]>,
    /// Whether the predecessor and the successor understand ids of requests.
    takes_request_ids: Cell<[bool; 2]>,
    log: Logger,
}

impl HotRestart {
    /// Starts hot restart, with the connection to the predecessor if this process has taken over from one.
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
            takes_request_ids: Cell::default(),
            log,
        });
        if let Some(predecessor) = predecessor {
            hot_restart.connect_predecessor(predecessor);
        }
        hot_restart.perform(first_actions);
        hot_restart
    }

    fn connect_predecessor(self: &Rc<Self>, connection: PeerConnection) {
        let PeerConnection { stream, read_ahead, takes_request_ids } = connection;
        self.set_takes_request_ids(Peer::Predecessor, takes_request_ids);
        match stream.set_nonblocking(true).and_then(|()| UnixStream::from_std(stream)) {
            Ok(stream) => {
                let queue = self.open_queue(Peer::Predecessor);
                self.connect_peer(Peer::Predecessor, stream, read_ahead, queue);
            }
            Err(e) => {
                warn!(self.log, "peer process connection failed";
                    "peer" => ?Peer::Predecessor, "error" => %e);
                self.handle(Event::PeerDisconnected(Peer::Predecessor));
            }
        }
    }

    /// Records that this process shuts down, and returns whether its successor serves in its place. If so,
    /// this process will not accept connections again, even if the successor ends.
    pub fn on_shutdown(self: &Rc<Self>) -> bool {
        self.handle(Event::ShutdownStarted);
        self.state.borrow().is_replaced()
    }

    /// Notifies the other processes of a request that is executed here. If they are so slow that many messages
    /// wait, this one is not sent: the connection to them is worth more.
    pub fn on_request_id(&self, event: IdEvent) {
        for (queue, takes_request_ids) in self.queues.borrow().iter().zip(self.takes_request_ids.get()) {
            if let Some(queue) = queue
                && takes_request_ids
                && queue.capacity() > MAX_QUEUED_MESSAGES / 2
            {
                let _ = queue.try_send(event.into()); // has capacity
            }
        }
    }

    fn set_takes_request_ids(&self, peer: Peer, takes_request_ids: bool) {
        let mut both = self.takes_request_ids.get();
        both[peer as usize] = takes_request_ids;
        self.takes_request_ids.set(both);
    }

    /// Records that this process is ready to serve.
    pub fn on_ready(self: &Rc<Self>) {
        self.handle(Event::Ready);
    }

    /// Records a change that an operator made on this process.
    pub fn on_manual_change(self: &Rc<Self>, change: ManualChange) {
        self.handle(Event::LocalChange(change));
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
                Action::SendState | Action::RejectSuccessor => {} // performed by accept_successor
                Action::SetAccepting(accepting) => {
                    info!(self.log, "accepting changed"; "accepting" => accepting);
                    self.host.set_accepting(accepting);
                }
                Action::ShareLimits(processes) => self.host.share_limits(processes),
                Action::SendReady => self.send(Peer::Predecessor, Message::Ready),
                Action::ApplyChange(change) => self.host.apply_change(&change),
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
            self.queues.borrow_mut()[peer as usize] = None; // ends the connection
        }
    }

    /// Listens at the path. Binds a temporary path and renames it: binding the path directly fails if a stale
    /// file exists, and removing that file first would leave a gap in which no process listens.
    fn listen(self: &Rc<Self>) -> io::Result<()> {
        let temporary = self.path.with_extension(std::process::id().to_string());
        let _ = std::fs::remove_file(&temporary); // left by an earlier process with the same id
        let listener = UnixListener::bind(&temporary)?;
        std::fs::rename(&temporary, &self.path).inspect_err(|_| _ = std::fs::remove_file(&temporary))?;
        let task = actix_rt::spawn(accept_successors(listener, Rc::downgrade(self)));
        if let Some(previous) = self.accept_task.replace(Some(task)) {
            previous.abort(); // its path was replaced
        }
        Ok(())
    }

    /// Hands over to a process that has connected, unless there is already a successor.
    async fn accept_successor(self: Rc<Self>, mut stream: UnixStream) -> io::Result<()> {
        let mut line = Vec::new();
        let hello = Uninterrupted(&mut stream).take(MAX_LINE_BYTES as u64);
        timeout(HANDOVER_TIMEOUT, BufReader::new(hello).read_until(b'\n', &mut line)).await??;
        let Ok(Message::Hello { protocol: PROTOCOL_VERSION, takes_request_ids }) =
            serde_json::from_slice(&line)
        else {
            return Err(io::Error::other("unsupported hello message or protocol version"));
        };
        let actions = self.state.borrow_mut().handle(Event::SuccessorConnected);
        if actions.contains(&Action::RejectSuccessor) {
            return Err(io::Error::other("another successor is already connected"));
        }
        // A manual change that is made while the state is sent is not part of it. The queue keeps it until
        // the state is sent.
        let queue = self.open_queue(Peer::Successor);
        self.set_takes_request_ids(Peer::Successor, takes_request_ids);
        self.perform(actions);
        let sent = timeout(HANDOVER_TIMEOUT, self.send_state(&mut stream)).await;
        if let Err(e) = sent.unwrap_or_else(|elapsed| Err(elapsed.into())) {
            self.on_peer_disconnected(Peer::Successor);
            return Err(e);
        }
        self.connect_peer(Peer::Successor, stream, Vec::new(), queue);
        Ok(())
    }

    async fn send_state(&self, stream: &mut UnixStream) -> io::Result<()> {
        let listener = self.host.listener()?;
        let state = self.host.state();
        let line = Message::State(Box::new(State { protocol: PROTOCOL_VERSION, ..state })).to_line();
        let with_socket = |stream: &UnixStream| {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut ancillary = SendAncillaryBuffer::new(&mut space);
            let fds = [listener.as_fd()];
            ancillary.push(SendAncillaryMessage::ScmRights(&fds));
            let first = [IoSlice::new(&line[..1])];
            Ok(retry_on_intr(|| sendmsg(stream, &first, &mut ancillary, SendFlags::empty()))?)
        };
        let sent = stream.async_io(Interest::WRITABLE, || with_socket(stream)).await?;
        Uninterrupted(stream).write_all(&line[sent..]).await
    }

    /// Opens the queue of messages to a peer and returns its receiver.
    fn open_queue(&self, peer: Peer) -> mpsc::Receiver<Message> {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
        self.queues.borrow_mut()[peer as usize] = Some(sender);
        receiver
    }

    fn on_peer_disconnected(self: &Rc<Self>, peer: Peer) {
        self.queues.borrow_mut()[peer as usize] = None;
        self.handle(Event::PeerDisconnected(peer));
    }

    /// Reads from and writes to a peer until either ends. The reading task aborts the writing one.
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
            this.on_peer_disconnected(peer);
        });
    }

    async fn read(self: &Rc<Self>, peer: Peer, reader: OwnedReadHalf, read_ahead: Vec<u8>) -> io::Error {
        let mut reader = BufReader::new(io::Cursor::new(read_ahead).chain(Uninterrupted(reader)));
        loop {
            let mut line = Vec::new();
            match (&mut reader).take(MAX_LINE_BYTES as u64).read_until(b'\n', &mut line).await {
                Err(e) => return e,
                Ok(_) if !line.ends_with(b"\n") => return io::ErrorKind::UnexpectedEof.into(),
                Ok(_) => {}
            }
            let change = match serde_json::from_slice(&line) {
                Ok(Message::Ready) if peer == Peer::Successor => {
                    self.handle(Event::SuccessorReady);
                    continue;
                }
                Ok(Message::RequestId(digest)) => {
                    self.host.on_request_id(IdEvent::Executing(IdDigest(digest)));
                    continue;
                }
                Ok(Message::RequestNeverExecuted(digest)) => {
                    self.host.on_request_id(IdEvent::NeverExecuted(IdDigest(digest)));
                    continue;
                }
                Ok(Message::Detach(target)) => ManualChange::Detach(target),
                Ok(Message::Attach(target)) => ManualChange::Attach(target),
                Ok(_) => return io::Error::other("unexpected message"),
                Err(e) => return e.into(),
            };
            self.handle(Event::PeerChange(peer, change));
        }
    }

    async fn write(self: Rc<Self>, writer: OwnedWriteHalf, mut queue: mpsc::Receiver<Message>) {
        let mut writer = Uninterrupted(writer);
        while let Some(message) = queue.recv().await {
            if writer.write_all(&message.to_line()).await.is_err() {
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
        let stream = acceptor.accept(|| {}).await; // this listener has no resources to free
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
