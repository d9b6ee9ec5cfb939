//! This process as its predecessor and successor have it: it takes over the listener or binds it, and implements
//! [`HotRestartHost`].
//!
//! `cli.rs` makes one [`ServingProcess`], and tells it of new limits. It stands between `hot_restart` and what that may
//! change: the listener's [`AcceptControl`], the clusters and the memory budget.

use crate::bodies::BodyMemoryLimit;
use crate::clusters::Clusters;
use crate::config::Sockets;
use crate::console::request::AdminRequest;
use crate::hot_restart::state_machine::ManualChange;
use crate::hot_restart::{self, HotRestartHost, Inheritance, PeerConnection, State};
use crate::listen::{self, AcceptControl};
use slog::{Logger, info};
use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// An address that is in use is tried again for this long; the platform waits 6 s for a new process.
const ADDRESS_IN_USE_TIMEOUT: Duration = Duration::from_secs(4);
/// How often it is tried.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// The clients' listener, and what was taken over with it.
pub struct TakenOver {
    /// Where clients connect.
    pub listener: TcpListener,
    /// Where this process listens for its successor.
    pub path: PathBuf,
    /// The state of the predecessor, and the connection to it.
    pub predecessor: Option<(State, PeerConnection)>,
}

/// Takes the clients' listener over from the process that serves the address, or binds it.
///
/// # Errors
/// The address can't be had.
pub async fn take_over_or_bind(listen: SocketAddr, log: &Logger) -> io::Result<TakenOver> {
    let path = hot_restart::path(&std::env::temp_dir(), listen);
    match hot_restart::take_over(&path) {
        Ok(Inheritance { listener, state, connection }) => {
            info!(log, "listener taken over"; "on" => %listen, "path" => %path.display());
            return Ok(TakenOver { listener, path, predecessor: Some((state, connection)) });
        }
        Err(e) => info!(log, "no process to take over from"; "reason" => %e),
    }
    let deadline = Instant::now() + ADDRESS_IN_USE_TIMEOUT;
    loop {
        // A process with a console shares the address with its successor, should that not be let in.
        match listen::bind(listen, true).and_then(tokio::net::TcpListener::into_std) {
            Ok(listener) => return Ok(TakenOver { listener, path, predecessor: None }),
            Err(e) if e.kind() == io::ErrorKind::AddrInUse && Instant::now() < deadline => {
                tokio::time::sleep(BIND_RETRY_INTERVAL).await;
            }
            Err(e) => return Err(e),
        }
    }
}

/// What this process has that a successor may ask of it.
pub struct ServingProcess {
    control: Rc<AcceptControl>,
    clusters: Rc<Clusters>,
    /// There where a successor may take over.
    listener: Option<TcpListener>,
    /// The limits of all processes of the address together.
    limits: Cell<ProcessLimits>,
    budget: Rc<BodyMemoryLimit>,
    /// Processes that share the limits.
    processes: Cell<u32>,
}

/// What all processes of an address may use together.
#[derive(Clone, Copy)]
pub struct ProcessLimits {
    /// Descriptors.
    pub sockets: Sockets,
    /// Bytes that long bodies may hold.
    pub body_bytes: usize,
}

impl ServingProcess {
    /// A process that has the limits for itself.
    pub fn new(
        control: Rc<AcceptControl>,
        clusters: Rc<Clusters>,
        listener: Option<TcpListener>,
        limits: ProcessLimits,
        budget: Rc<BodyMemoryLimit>,
    ) -> ServingProcess {
        ServingProcess {
            control,
            clusters,
            listener,
            limits: Cell::new(limits),
            budget,
            processes: Cell::new(1),
        }
    }

    /// Other limits hold from now on, of which it keeps to its part.
    pub fn set_limits(&self, limits: ProcessLimits) {
        self.limits.set(limits);
        self.share_limits(self.processes.get());
    }
}

impl HotRestartHost for ServingProcess {
    fn listener(&self) -> io::Result<OwnedFd> {
        let listener = self.listener.as_ref().ok_or(io::ErrorKind::Unsupported)?;
        Ok(listener.try_clone()?.into())
    }

    fn state(&self) -> State {
        self.clusters.state()
    }

    fn set_accepting(&self, accepting: bool) {
        self.control.set_accepting(accepting);
    }

    fn share_limits(&self, processes: u32) {
        self.processes.set(processes);
        let ProcessLimits { sockets, body_bytes } = self.limits.get();
        let own_part = sockets.part(processes);
        self.control.set_limits(own_part);
        self.clusters.limit_connections(own_part.backends);
        self.budget.set_limit(body_bytes / processes.max(1) as usize);
    }

    fn apply(&self, change: &ManualChange) {
        let request = match change.clone() {
            ManualChange::Detach(target) => AdminRequest::Detach(target),
            ManualChange::Attach(target) => AdminRequest::Attach(target),
        };
        self.clusters.apply_forwarded_admin_request(&request);
    }
}

/// What the peers of this process are told of an operator's request; none if it changes nothing.
pub fn manual_change(request: &AdminRequest) -> Option<ManualChange> {
    match request {
        AdminRequest::Detach(target) => Some(ManualChange::Detach(target.clone())),
        AdminRequest::Attach(target) => Some(ManualChange::Attach(target.clone())),
        AdminRequest::Ready | AdminRequest::Vars => None,
    }
}
