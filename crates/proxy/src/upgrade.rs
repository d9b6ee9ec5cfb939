//! What this process does for the one that takes over from it, and what it takes over itself.

use crate::bodies::BodyMemoryLimit;
use crate::clusters::Clusters;
use crate::config::Sockets;
use crate::console::call::Call;
use crate::handover::core::ByHand;
use crate::handover::{self, Given, Host, State};
use crate::listen::{self, AcceptControl};
use slog::{Logger, info};
use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// For so long an address that somebody holds is asked for again; the platform waits 6 s for a new process.
const HELD: Duration = Duration::from_secs(4);
const AGAIN: Duration = Duration::from_millis(50);

/// The clients' listener, and what came with it from an earlier process.
pub struct Begun {
    /// Where clients connect.
    pub listener: TcpListener,
    /// Where the next process will ask.
    pub path: PathBuf,
    /// What the earlier process gave besides.
    pub given: Option<Given>,
}

/// Has the clients' listener from the process that serves the address, or binds it.
///
/// # Errors
/// The address can't be had.
pub async fn begin(listen: SocketAddr, log: &Logger) -> io::Result<Begun> {
    let path = handover::path(&std::env::temp_dir(), listen);
    match handover::ask(&path) {
        Ok(given) => {
            let listener = given.listener.try_clone()?;
            info!(log, "takes over"; "on" => %listen, "path" => %path.display());
            return Ok(Begun { listener, path, given: Some(given) });
        }
        Err(e) => info!(log, "nothing to take over"; "why" => %e),
    }
    let until = Instant::now() + HELD;
    loop {
        // A process with a console shares the address with the next one, should that not be let in.
        match listen::bind(listen, true).and_then(tokio::net::TcpListener::into_std) {
            Ok(listener) => return Ok(Begun { listener, path, given: None }),
            Err(e) if e.kind() == io::ErrorKind::AddrInUse && Instant::now() < until => {
                tokio::time::sleep(AGAIN).await;
            }
            Err(e) => return Err(e),
        }
    }
}

/// This process, as the next one has it.
pub struct Process {
    control: Rc<AcceptControl>,
    clusters: Rc<Clusters>,
    /// There where another process may take over.
    listener: Option<TcpListener>,
    sockets: Cell<Sockets>,
    budget: Rc<BodyMemoryLimit>,
    /// The whole of it.
    bodies: Cell<usize>,
    parts: Cell<u32>,
}

impl Process {
    /// The whole limits are its own.
    pub fn new(
        control: Rc<AcceptControl>,
        clusters: Rc<Clusters>,
        listener: Option<TcpListener>,
        sockets: Sockets,
        (budget, bodies): (Rc<BodyMemoryLimit>, usize),
    ) -> Process {
        let (sockets, bodies, parts) = (Cell::new(sockets), Cell::new(bodies), Cell::new(1));
        Process { control, clusters, listener, sockets, budget, bodies, parts }
    }

    /// Other limits hold from now on, of which it keeps to its part.
    pub fn adopt(&self, sockets: Sockets, bodies: usize) {
        self.sockets.set(sockets);
        self.bodies.set(bodies);
        self.share(self.parts.get());
    }
}

impl Host for Process {
    fn listener(&self) -> io::Result<OwnedFd> {
        let listener = self.listener.as_ref().ok_or(io::ErrorKind::Unsupported)?;
        Ok(listener.try_clone()?.into())
    }

    fn state(&self) -> State {
        self.clusters.state()
    }

    fn accept(&self, on: bool) {
        self.control.set_accepting(on);
    }

    fn share(&self, parts: u32) {
        self.parts.set(parts);
        let sockets = self.sockets.get().part(parts);
        self.control.set_limits(sockets);
        self.clusters.limit_connections(sockets.backends);
        self.budget.adopt(self.bodies.get() / parts.max(1) as usize);
    }

    fn apply(&self, change: &ByHand) {
        let target = change.target.clone();
        let call = if change.back { Call::Attach(target) } else { Call::Detach(target) };
        self.clusters.by_hand_elsewhere(&call);
    }
}

/// What the processes beside this one are told of a call.
pub fn told(call: &Call) -> Option<ByHand> {
    match call {
        Call::Detach(target) => Some(ByHand { target: target.clone(), back: false }),
        Call::Attach(target) => Some(ByHand { target: target.clone(), back: true }),
        Call::Ready | Call::Vars => None,
    }
}
