//! This process in a hot restart: takes over or binds the client listener, and implements [`HotRestartHost`].
//!
//! `serve.rs` creates one [`ServingProcess`] and passes it new limits. It connects `hot_restart` to the parts
//! of the process that a hot restart changes: the listener's [`AcceptControl`], the clusters and the limit on
//! memory.

use crate::clusters::Clusters;
use crate::config::Sockets;
use crate::console::request::AdminRequest;
use crate::hot_restart::state_machine::ManualChange;
use crate::hot_restart::{self, Handover, HotRestartHost, PeerConnection, State};
use crate::listen::{self, AcceptControl};
use crate::memory::MemoryAccountant;
use crate::recent_ids::IdEvent;
use slog::{Logger, info};
use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long binding an address in use is retried. The platform waits 6 s for a new process.
const ADDRESS_IN_USE_TIMEOUT: Duration = Duration::from_secs(4);
/// Interval between two attempts to bind.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// The client listener, and the predecessor if the listener was taken over from one.
pub struct AcquiredListener {
    /// The socket that clients connect to.
    pub listener: TcpListener,
    /// The path where this process listens for its successor.
    pub path: PathBuf,
    /// The state of the predecessor, and the connection to it.
    pub predecessor: Option<(State, PeerConnection)>,
}

/// Takes the client listener over from the process that serves the address, or binds the address.
///
/// # Errors
/// Returns an error if the address cannot be bound.
pub async fn take_over_or_bind(listen: SocketAddr, log: &Logger) -> io::Result<AcquiredListener> {
    let path = hot_restart::socket_path(&std::env::temp_dir(), listen);
    match hot_restart::take_over(&path) {
        Ok(Handover { listener, state, connection }) => {
            info!(log, "listener taken over"; "on" => %listen, "path" => %path.display());
            return Ok(AcquiredListener { listener, path, predecessor: Some((state, connection)) });
        }
        Err(e) => info!(log, "no process to take over from"; "reason" => %e),
    }
    let deadline = Instant::now() + ADDRESS_IN_USE_TIMEOUT;
    loop {
        // The address is bound as shared, so that a successor that could not take over can still bind it.
        match listen::bind(listen, true).and_then(tokio::net::TcpListener::into_std) {
            Ok(listener) => return Ok(AcquiredListener { listener, path, predecessor: None }),
            Err(e) if e.kind() == io::ErrorKind::AddrInUse && Instant::now() < deadline => {
                tokio::time::sleep(BIND_RETRY_INTERVAL).await;
            }
            Err(e) => return Err(e),
        }
    }
}

/// The parts of this process that take part in a hot restart.
pub struct ServingProcess {
    control: Rc<AcceptControl>,
    clusters: Rc<Clusters>,
    /// The client listener, if a successor may take it over.
    listener: Option<TcpListener>,
    /// The limits of all processes that serve the address, together.
    limits: Cell<ProcessLimits>,
    memory: Rc<MemoryAccountant>,
    /// The number of processes that share the limits.
    processes: Cell<u32>,
}

/// The limits of all processes that serve an address, together.
#[derive(Clone, Copy)]
pub struct ProcessLimits {
    /// The descriptor limits of clients and backends.
    pub sockets: Sockets,
    /// The memory of all processes, in bytes.
    pub memory_bytes: usize,
}

impl ServingProcess {
    /// Creates a process that shares its limits with no other one.
    pub fn new(
        control: Rc<AcceptControl>,
        clusters: Rc<Clusters>,
        listener: Option<TcpListener>,
        limits: ProcessLimits,
        memory: Rc<MemoryAccountant>,
    ) -> ServingProcess {
        ServingProcess {
            control,
            clusters,
            listener,
            limits: Cell::new(limits),
            memory,
            processes: Cell::new(1),
        }
    }

    /// Replaces the limits and applies this process's share of them.
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
        let ProcessLimits { sockets, memory_bytes } = self.limits.get();
        let own_share = sockets.part(processes);
        self.control.set_limits(own_share);
        self.clusters.limit_connections(own_share.backends);
        self.memory.set_limit(memory_bytes, processes);
    }

    fn on_request_id(&self, event: IdEvent) {
        self.clusters.recent_ids(|ids| ids.apply(event, Instant::now()));
    }

    fn apply_change(&self, change: &ManualChange) {
        let request = match change.clone() {
            ManualChange::Detach(target) => AdminRequest::Detach(target),
            ManualChange::Attach(target) => AdminRequest::Attach(target),
        };
        self.clusters.apply_forwarded_admin_request(&request);
    }
}

/// Returns the change that an operator's request makes and that peers have to apply as well, or `None` if the
/// request changes nothing.
pub fn manual_change(request: &AdminRequest) -> Option<ManualChange> {
    match request {
        AdminRequest::Detach(target) => Some(ManualChange::Detach(target.clone())),
        AdminRequest::Attach(target) => Some(ManualChange::Attach(target.clone())),
        AdminRequest::Ready | AdminRequest::Vars => None,
    }
}
