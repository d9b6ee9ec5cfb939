//! Upgrades: a process that serves lets in the next one, over a Unix socket in `$TMPDIR`.
//!
//! `core` says who does what; this is the sockets. `docs/operations.md` has what was weighed, and
//! `docs/operators/upgrades.md` is for those who upgrade.

pub mod core;
mod message;

pub use message::State;

use self::core::{Action, ByHand, Core, Event, Side};
use crate::accept::Acceptor;
use crate::interrupted::Uninterrupted;
use message::{LONGEST, Message, PROTOCOL};
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

/// Longest wait for all that an earlier process has to say; it has its listener and its loop, or nothing.
const SAYS: Duration = Duration::from_secs(2);
/// Lines that wait to be written to a process. One that reads none of so many is given up.
const WAITING: usize = 1024;

/// Why nothing was handed over.
#[derive(Debug, thiserror::Error)]
pub enum NotHandedOver {
    /// Nobody answered, or the connection broke.
    #[error("{path}: {error}", path = .0.display(), error = .1)]
    Io(PathBuf, io::Error),
    /// Who answered is another build, or none of ours.
    #[error("{path}: what came is no state of protocol {PROTOCOL}: {what}", path = .0.display(), what = .1)]
    Foreign(PathBuf, String),
}

/// A connection to a process, and what was read ahead.
pub type Link = (Blocking, Vec<u8>);

/// What an earlier process gave.
pub struct Given {
    /// The socket that clients connect to.
    pub listener: TcpListener,
    /// What it knows.
    pub state: State,
    link: Blocking,
    rest: Vec<u8>,
}

impl Given {
    /// What it knows, and the connection to it with what was read ahead.
    pub fn split(self) -> (State, Link) {
        (self.state, (self.link, self.rest))
    }
}

/// What a process does for the next one.
pub trait Host {
    /// The listening socket.
    fn listener(&self) -> io::Result<OwnedFd>;
    /// What the next one must know.
    fn state(&self) -> State;
    /// Accept connections, or leave them to the next one.
    fn accept(&self, on: bool);
    /// Keep to one part in so many of the limits.
    fn share(&self, parts: u32);
    /// Take a backend out, or put it back.
    fn apply(&self, change: &ByHand);
}

/// Where the process that serves an address answers the next one.
pub fn path(dir: &Path, listen: SocketAddr) -> PathBuf {
    dir.join(format!("olivecart-{}-{}.sock", listen.ip(), listen.port()))
}

/// Asks the process that serves to let this one in. Waits, but not for long.
///
/// # Errors
/// Nobody is there, or nobody that can.
pub fn ask(path: &Path) -> Result<Given, NotHandedOver> {
    let broken = |e| NotHandedOver::Io(path.to_owned(), e);
    let foreign = |what: String| NotHandedOver::Foreign(path.to_owned(), what);
    let mut link = Blocking::connect(path).map_err(broken)?;
    link.set_write_timeout(Some(SAYS)).map_err(broken)?;
    link.write_all(&Message::Hello { protocol: PROTOCOL }.line()).map_err(broken)?;
    let (mut came, mut listener, until) = (Vec::new(), None, Instant::now() + SAYS);
    let end = loop {
        if let Some(end) = came.iter().position(|b| *b == b'\n') {
            break end;
        }
        // Danger: one that says a byte at a time holds up the start for good; a new process has 6 s in all.
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(broken(io::ErrorKind::TimedOut.into()));
        }
        link.set_read_timeout(Some(left)).map_err(broken)?;
        let (bytes, passed) = receive(&link).map_err(broken)?;
        if bytes.is_empty() || came.len() > LONGEST {
            return Err(foreign(format!("{} bytes and an end", came.len())));
        }
        came.extend_from_slice(&bytes);
        listener = listener.or(passed);
    };
    let rest = came.split_off(end + 1);
    match (serde_json::from_slice(&came), listener) {
        (Ok(Message::State(state)), Some(listener)) if state.protocol == PROTOCOL => {
            Ok(Given { listener: listener.into(), state: *state, link, rest })
        }
        (Ok(_), _) => Err(foreign("another protocol, or no socket".into())),
        (Err(e), _) => Err(foreign(e.to_string())),
    }
}

/// Some bytes, and a descriptor if one came along.
fn receive(link: &Blocking) -> io::Result<(Vec<u8>, Option<OwnedFd>)> {
    let mut bytes = vec![0; 64 * 1024];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(4))];
    let mut passed = RecvAncillaryBuffer::new(&mut space);
    let mut buffers = [IoSliceMut::new(&mut bytes)];
    let received = retry_on_intr(|| recvmsg(link, &mut buffers, &mut passed, RecvFlags::CMSG_CLOEXEC))?;
    let read = received.bytes;
    let rights = |message| match message {
        RecvAncillaryMessage::ScmRights(fds) => Some(fds),
        _ => None,
    };
    let fd = passed.drain().filter_map(rights).flatten().next();
    bytes.truncate(read);
    Ok((bytes, fd))
}

/// The processes beside this one.
pub struct Handover {
    core: RefCell<Core>,
    host: Rc<dyn Host>,
    path: PathBuf,
    /// Lets in later processes.
    answering: RefCell<Option<JoinHandle<()>>>,
    /// To the older and the newer one.
    links: RefCell<[Option<mpsc::Sender<Message>>; 2]>,
    log: Logger,
}

impl Handover {
    /// Begins: with the process that let this one in, or alone.
    pub fn start(host: Rc<dyn Host>, path: PathBuf, given: Option<Link>, log: Logger) -> Rc<Handover> {
        let (core, first) = Core::start(given.is_some());
        let (links, answering) = (RefCell::default(), RefCell::default());
        let handover = Rc::new(Handover { core: RefCell::new(core), host, path, answering, links, log });
        if let Some((link, rest)) = given {
            let opened = link.set_nonblocking(true).and_then(|()| UnixStream::from_std(link));
            match opened {
                Ok(stream) => {
                    let queue = handover.open_queue(Side::Older);
                    handover.link(Side::Older, stream, rest, queue);
                }
                Err(e) => {
                    warn!(handover.log, "the earlier process is not heard of"; "error" => %e);
                    handover.on(Event::Gone(Side::Older));
                }
            }
        }
        handover.perform(first);
        handover
    }

    /// This process has been told to end, and takes nothing back if the next one serves in its place. Whether it does.
    pub fn leave(self: &Rc<Self>) -> bool {
        self.on(Event::Leaving);
        self.core.borrow().is_replaced()
    }

    /// This process is ready to serve.
    pub fn ready(self: &Rc<Self>) {
        self.on(Event::Ready);
    }

    /// An operator's call was done here.
    pub fn by_hand(self: &Rc<Self>, change: ByHand) {
        self.on(Event::ByHand(change));
    }

    fn on(self: &Rc<Self>, event: Event) {
        let actions = self.core.borrow_mut().handle(event);
        self.perform(actions);
    }

    fn perform(self: &Rc<Self>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Answer => {
                    if let Err(e) = self.answer() {
                        warn!(self.log, "no upgrade can take over from here";
                            "path" => %self.path.display(), "error" => %e);
                    }
                }
                Action::Give | Action::TurnAway => {} // whoever let it in does so
                Action::Accept(on) => {
                    info!(self.log, "upgrade"; "accepts" => on);
                    self.host.accept(on);
                }
                Action::Share(parts) => self.host.share(parts),
                Action::TellReady => self.tell(Side::Older, Message::Ready),
                Action::Apply(change) => self.host.apply(&change),
                Action::Tell(side, change) => self.tell(side, change.into()),
            }
        }
    }

    fn tell(&self, side: Side, message: Message) {
        let full = match &self.links.borrow()[side as usize] {
            Some(link) => link.try_send(message).is_err(),
            None => false,
        };
        if full {
            self.links.borrow_mut()[side as usize] = None; // which ends the connection
        }
    }

    /// Answers at the path. Danger: bound there directly, a stale file would be in the way, and one that was removed
    /// first leaves a moment with nobody there.
    fn answer(self: &Rc<Self>) -> io::Result<()> {
        let beside = self.path.with_extension(std::process::id().to_string());
        let _ = std::fs::remove_file(&beside); // of an earlier process with this number
        let listener = UnixListener::bind(&beside)?;
        std::fs::rename(&beside, &self.path).inspect_err(|_| _ = std::fs::remove_file(&beside))?;
        let task = actix_rt::spawn(accept(listener, Rc::downgrade(self)));
        if let Some(before) = self.answering.replace(Some(task)) {
            before.abort(); // nobody can reach it any more
        }
        Ok(())
    }

    /// A process that asks to be let in.
    async fn let_in(self: Rc<Self>, mut stream: UnixStream) -> io::Result<()> {
        let mut line = Vec::new();
        let hello = Uninterrupted(&mut stream).take(LONGEST as u64);
        timeout(SAYS, BufReader::new(hello).read_until(b'\n', &mut line)).await??;
        if !matches!(serde_json::from_slice(&line), Ok(Message::Hello { protocol: PROTOCOL })) {
            return Err(io::Error::other("another protocol"));
        }
        let actions = self.core.borrow_mut().handle(Event::NewerCame);
        if actions.contains(&Action::TurnAway) {
            return Err(io::Error::other("one is let in already"));
        }
        // Danger: what is done by hand while the state is on its way is not in it, and has to wait for its end.
        let queue = self.open_queue(Side::Newer);
        self.perform(actions);
        let given = timeout(SAYS, self.give(&mut stream)).await.unwrap_or_else(|e| Err(e.into()));
        if let Err(e) = given {
            self.gone(Side::Newer);
            return Err(e);
        }
        self.link(Side::Newer, stream, Vec::new(), queue);
        Ok(())
    }

    async fn give(&self, stream: &mut UnixStream) -> io::Result<()> {
        let (listener, state) = (self.host.listener()?, self.host.state());
        let line = Message::State(Box::new(State { protocol: PROTOCOL, ..state })).line();
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

    /// Where lines to a process wait.
    fn open_queue(&self, side: Side) -> mpsc::Receiver<Message> {
        let (lines, queue) = mpsc::channel(WAITING);
        self.links.borrow_mut()[side as usize] = Some(lines);
        queue
    }

    fn gone(self: &Rc<Self>, side: Side) {
        self.links.borrow_mut()[side as usize] = None;
        self.on(Event::Gone(side));
    }

    fn link(self: &Rc<Self>, side: Side, stream: UnixStream, rest: Vec<u8>, queue: mpsc::Receiver<Message>) {
        let (reader, writer) = stream.into_split();
        info!(self.log, "upgrade"; "beside" => ?side);
        let writing = actix_rt::spawn(self.clone().write(writer, queue));
        let this = self.clone();
        actix_rt::spawn(async move {
            let ended = this.read(side, reader, rest).await;
            writing.abort();
            info!(this.log, "upgrade"; "ended" => ?side, "why" => %ended);
            this.gone(side);
        });
    }

    async fn read(self: &Rc<Self>, side: Side, reader: OwnedReadHalf, rest: Vec<u8>) -> io::Error {
        let mut reader = BufReader::new(io::Cursor::new(rest).chain(Uninterrupted(reader)));
        loop {
            let mut line = Vec::new();
            match (&mut reader).take(LONGEST as u64).read_until(b'\n', &mut line).await {
                Err(e) => return e,
                Ok(_) if !line.ends_with(b"\n") => return io::ErrorKind::UnexpectedEof.into(),
                Ok(_) => {}
            }
            let told = |target, back| Event::Told(side, ByHand { target, back });
            match serde_json::from_slice(&line) {
                Ok(Message::Ready) if side == Side::Newer => self.on(Event::NewerReady),
                Ok(Message::Detach(target)) => self.on(told(target, false)),
                Ok(Message::Attach(target)) => self.on(told(target, true)),
                Ok(_) => return io::Error::other("out of turn"),
                Err(e) => return e.into(),
            }
        }
    }

    async fn write(self: Rc<Self>, writer: OwnedWriteHalf, mut queue: mpsc::Receiver<Message>) {
        let mut writer = Uninterrupted(writer);
        while let Some(message) = queue.recv().await {
            if writer.write_all(&message.line()).await.is_err() {
                return;
            }
            if matches!(message, Message::Ready) {
                self.on(Event::ReadyTold);
            }
        }
    }
}

async fn accept(listener: UnixListener, handover: Weak<Handover>) {
    let Some(log) = handover.upgrade().map(|handover| handover.log.clone()) else { return };
    let mut acceptor = Acceptor::new(listener, "upgrade", log.clone());
    loop {
        let stream = acceptor.accept(|| {}).await; // it has nothing to give up
        let Some(handover) = handover.upgrade() else { return };
        let log = log.clone();
        actix_rt::spawn(async move {
            if let Err(e) = handover.let_in(stream).await {
                warn!(log, "a process was not let in"; "error" => %e);
            }
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::BufRead;

    /// A backend is taken out here at the moment at which the next process is told the state.
    #[derive(Default)]
    struct Changing(RefCell<Weak<Handover>>);

    impl Host for Changing {
        fn listener(&self) -> io::Result<OwnedFd> {
            Ok(TcpListener::bind(("127.0.0.1", 0))?.into())
        }

        fn state(&self) -> State {
            let change = ByHand { target: "a".into(), back: false };
            self.0.borrow().upgrade().iter().for_each(|handover| handover.by_hand(change.clone()));
            State::default()
        }

        fn accept(&self, _: bool) {}
        fn share(&self, _: u32) {}
        fn apply(&self, _: &ByHand) {}
    }

    #[test]
    fn what_is_done_by_hand_while_the_state_is_on_its_way_reaches_the_next_process() {
        actix_rt::System::new().block_on(async {
            let name = format!("olivecart-handover-test-{}.sock", std::process::id());
            let (path, host) = (std::env::temp_dir().join(name), Rc::new(Changing::default()));
            let log = Logger::root(slog::Discard, slog::o!());
            let handover = Handover::start(host.clone(), path.clone(), None, log);
            host.0.replace(Rc::downgrade(&handover));
            let told = tokio::task::spawn_blocking(move || {
                let (_, (link, rest)) = ask(&path).expect("let in").split();
                let _ = std::fs::remove_file(&path);
                let mut line = String::new();
                io::BufReader::new(io::Read::chain(rest.as_slice(), link)).read_line(&mut line).map(|_| line)
            });
            let line = told.await.expect("no panic").expect("in time");
            assert!(matches!(serde_json::from_str(&line), Ok(Message::Detach(id)) if id == "a"), "{line}");
        });
    }
}
