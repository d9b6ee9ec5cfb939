//! The endpoints of a cluster and the pool of connections to them.
//!
//! Each connection is a separate awc client with a pool of one. So this module, and not awc's pool, decides
//! which connection an attempt uses, how many connections are open, and when an idle connection is closed.

use crate::bodies::MAX_BODY_BYTES;
use crate::connect::{Connect, ConnectFailure, SystemConnect};
use crate::descriptors::{Descriptors, IdleConnectionPool, OpenConnection};
use crate::response_monitor::ResponseMonitor;
use crate::wire::ObservedStream;
use actix_service::fn_service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use awc::http::Uri;
use awc::{Client, Connector};
use olivecart_decisions::EndpointId;
use slog::{Logger, debug};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::future::{Future, ready};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The fraction of the endpoint's idle timeout for which a connection is kept. A request that is written
/// while the endpoint closes the connection may have been executed, so that it can't be retried.
const IDLE_LIFETIME_FRACTION: f64 = 0.8;

/// If a peer closes a connection right after a response, the close is noticed here within this time.
const CLOSE_DETECTION_DELAY: Duration = Duration::from_millis(5);

/// The connect timeout of clients whose connection is already established, so that they never wait.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(60);

/// A process at an endpoint, as it was listed when the connection was leased.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its address.
    pub addr: SocketAddr,
    started: Option<u64>,
}

/// Why there is no connection for an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LeaseError {
    /// The endpoint is listed without an address.
    #[error("endpoint {} has no address", .0.0)]
    NoAddress(EndpointId),
    /// A limit on connections of this process is reached, which is no failure of the endpoint.
    #[error("no file descriptor available for a connection to endpoint {}", .0.0)]
    AtLimit(EndpointId),
}

/// A pooled connection, or one that is still to be established, for the exclusive use of its owner.
pub struct Lease {
    /// The client that owns the connection.
    pub client: Client,
    /// The process at the other end.
    pub target: Target,
    /// The state of the connection and of the exchange on it.
    pub monitor: Rc<ResponseMonitor>,
    /// Whether the connection was used for an earlier request.
    pub reused: bool,
    /// The established connection, until the client takes it.
    established: Established,
    connect: Rc<dyn Connect>,
    connect_timeout: Duration,
    /// Counts this connection among those of all clusters and those of this cluster.
    _open: [OpenConnection; 2],
}

/// Passes an established connection to the client that uses it.
type Established = Rc<RefCell<Option<TcpStream>>>;

impl fmt::Debug for Lease {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_struct("Lease")
            .field("target", &self.target)
            .field("reused", &self.reused)
            .finish_non_exhaustive()
    }
}

impl Lease {
    /// Establishes a connection for the next request of the client.
    ///
    /// # Errors
    /// The connection can't be established; [`ConnectFailure`] distinguishes local causes from remote ones.
    pub async fn connect(&self) -> Result<(), ConnectFailure> {
        let addr = self.target.addr;
        let connected = timeout(self.connect_timeout, self.connect.connect(addr)).await;
        let stream = connected
            .map_err(|_| ConnectFailure::TimedOut(addr))?
            .map_err(|error| ConnectFailure::of(addr, error))?;
        let _ = stream.set_nodelay(true); // optional: without it, small requests wait for acknowledgements
        self.monitor.on_connected();
        self.established.replace(Some(stream));
        Ok(())
    }
}

struct IdleConnection {
    lease: Lease,
    since: Instant,
}

#[derive(Default)]
struct Backend {
    addr: Option<SocketAddr>,
    started: Option<u64>,
    ready: bool,
    /// Idle connections, the most recently used last.
    idle: Vec<IdleConnection>,
    /// When the endpoint was last found to have closed a pooled connection.
    closed_pooled_at: Option<Instant>,
}

impl Backend {
    /// Whether the endpoint is still the target's process and ready.
    fn is_ready_at(&self, target: Target) -> bool {
        self.ready && self.addr == Some(target.addr) && self.started == target.started
    }
}

/// The endpoints of a cluster, indexed by their number.
#[derive(Default)]
struct BackendTable(RefCell<Vec<Backend>>);

/// The endpoints of a cluster and the connections to them.
pub struct Backends {
    table: Rc<BackendTable>,
    connect_timeout: Cell<Duration>,
    idle_lifetime: Duration,
    /// The number of ready endpoints.
    ready_count: Cell<usize>,
    /// The limit on connections of all clusters.
    descriptors: Rc<Descriptors>,
    /// The limit on connections of this cluster, idle ones included, and the counter of open ones.
    max_connections: Cell<usize>,
    open: OpenConnection,
    connect: Rc<dyn Connect>,
    log: Logger,
}

impl IdleConnectionPool for BackendTable {
    fn max_idle_per_endpoint(&self) -> usize {
        self.0.borrow().iter().map(|b| b.idle.len()).max().unwrap_or(0)
    }

    fn close_longest_idle(&self) {
        let mut backends = self.0.borrow_mut();
        let most_idle = backends.iter_mut().max_by_key(|b| b.idle.len()).filter(|b| !b.idle.is_empty());
        most_idle.into_iter().for_each(|b| _ = b.idle.remove(0));
    }
}

impl Backends {
    /// Creates a cluster without endpoints. `idle_timeout` is the time after which endpoints close idle
    /// connections; this side closes them well before.
    pub fn new(
        connect_timeout: Duration,
        idle_timeout: Duration,
        descriptors: Rc<Descriptors>,
        log: Logger,
    ) -> Backends {
        let table: Rc<BackendTable> = Rc::default();
        let holder = Rc::downgrade(&table);
        descriptors.register(holder);
        Backends {
            table,
            connect_timeout: Cell::new(connect_timeout),
            idle_lifetime: idle_timeout.mul_f64(IDLE_LIFETIME_FRACTION),
            ready_count: Cell::new(0),
            descriptors,
            max_connections: Cell::new(usize::MAX),
            open: Rc::default(),
            connect: Rc::new(SystemConnect),
            log,
        }
    }

    /// Replaces how connections are established.
    #[cfg(test)]
    pub fn with_connect(self, connect: Rc<dyn Connect>) -> Backends {
        Backends { connect, ..self }
    }

    /// Sets the connect timeout and the limit on connections of this cluster.
    pub fn set_limits(&self, connect_timeout: Duration, max_connections: usize) {
        self.connect_timeout.set(connect_timeout);
        self.max_connections.set(max_connections);
    }

    /// The cluster's logger.
    pub fn log(&self) -> &Logger {
        &self.log
    }

    /// The number of open connections, idle ones included.
    pub fn connections(&self) -> usize {
        Rc::strong_count(&self.open) - 1
    }

    /// Records the listed state of an endpoint. Closes its idle connections if the address or the start time
    /// changed, or if the endpoint is not ready.
    pub fn update_endpoint(
        &self,
        endpoint: EndpointId,
        addr: Option<SocketAddr>,
        started: Option<u64>,
        ready: bool,
    ) {
        let slot = endpoint.0 as usize;
        let mut table = self.table.0.borrow_mut();
        if table.len() <= slot {
            table.resize_with(slot + 1, Backend::default);
        }
        let backend = &mut table[slot];
        if backend.addr != addr || backend.started != started || !ready {
            backend.idle.clear();
        }
        self.ready_count.set(self.ready_count.get() + usize::from(ready) - usize::from(backend.ready));
        (backend.addr, backend.started, backend.ready) = (addr, started, ready);
    }

    /// Marks all endpoints as not ready and closes their idle connections.
    pub fn close(&self) {
        self.mark_all_unready();
        self.close_expired();
    }

    /// Marks all endpoints as not ready. Called before a snapshot is applied, so that endpoints missing in it
    /// take no more requests.
    pub fn mark_all_unready(&self) {
        self.table.0.borrow_mut().iter_mut().for_each(|b| b.ready = false);
        self.ready_count.set(0);
    }

    /// Whether an endpoint is listed as ready.
    pub fn takes_requests(&self, endpoint: EndpointId) -> bool {
        self.table.0.borrow().get(endpoint.0 as usize).is_some_and(|b| b.ready)
    }

    /// Whether the target's process is still listed as ready.
    pub fn still_takes_requests(&self, target: Target) -> bool {
        let table = self.table.0.borrow();
        table.get(target.endpoint.0 as usize).is_some_and(|backend| backend.is_ready_at(target))
    }

    /// Whether any endpoint is listed as ready.
    pub fn any_takes_requests(&self) -> bool {
        self.ready_count.get() > 0
    }

    /// Leases a connection to an endpoint: the most recently used idle one, or a new one that is still to be
    /// established.
    ///
    /// # Errors
    /// The endpoint has no known address, or a limit on connections is reached.
    pub fn lease(&self, endpoint: EndpointId) -> Result<Lease, LeaseError> {
        let unknown = LeaseError::NoAddress(endpoint);
        let mut table = self.table.0.borrow_mut();
        let backend = table.get_mut(endpoint.0 as usize).ok_or(unknown)?;
        let target = Target { endpoint, addr: backend.addr.ok_or(unknown)?, started: backend.started };
        // Some endpoints close connections right after a response. If this endpoint closed a pooled
        // connection lately, a connection is reused only after such a close would have been noticed.
        let closed_lately = backend.closed_pooled_at.is_some_and(|at| at.elapsed() < self.idle_lifetime);
        let is_usable =
            |idle: &IdleConnection| !closed_lately || idle.since.elapsed() >= CLOSE_DETECTION_DELAY;
        if let Some(index) = backend.idle.iter().rposition(is_usable) {
            let idle = backend.idle.remove(index);
            if idle.since.elapsed() < self.idle_lifetime {
                return Ok(Lease { reused: true, ..idle.lease });
            }
        }
        drop(table); // borrowed again below to close an idle connection
        if self.connections() >= self.max_connections.get() {
            self.table.close_longest_idle();
            if self.connections() >= self.max_connections.get() {
                return Err(LeaseError::AtLimit(endpoint));
            }
        }
        debug!(self.log, "connect"; "open" => self.connections(), "endpoint" => endpoint.0);
        let descriptor = self.descriptors.acquire().ok_or(LeaseError::AtLimit(endpoint))?;
        Ok(self.new_lease(target, [descriptor, self.open.clone()]))
    }

    /// Keeps a connection for another request if it is reusable and its target is still ready, and closes it
    /// otherwise.
    pub fn release(&self, lease: Lease) {
        let mut table = self.table.0.borrow_mut();
        if let Some(backend) = table.get_mut(lease.target.endpoint.0 as usize)
            && backend.is_ready_at(lease.target)
            && lease.monitor.is_reusable()
        {
            backend.idle.push(IdleConnection { lease, since: Instant::now() });
        }
    }

    /// Records that an endpoint closed a pooled connection.
    pub fn on_pooled_connection_closed(&self, endpoint: EndpointId) {
        if let Some(backend) = self.table.0.borrow_mut().get_mut(endpoint.0 as usize) {
            backend.closed_pooled_at = Some(Instant::now());
        }
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&self, endpoint: EndpointId) {
        if let Some(backend) = self.table.0.borrow_mut().get_mut(endpoint.0 as usize) {
            backend.idle.clear();
        }
    }

    /// Closes connections that have been idle for their lifetime, and all idle connections to endpoints that
    /// are not ready.
    pub fn close_expired(&self) {
        let lifetime = self.idle_lifetime;
        for backend in self.table.0.borrow_mut().iter_mut() {
            let ready = backend.ready;
            backend.idle.retain(|idle| ready && idle.since.elapsed() < lifetime);
        }
    }

    fn new_lease(&self, target: Target, open: [OpenConnection; 2]) -> Lease {
        let monitor = Rc::new(ResponseMonitor::new(MAX_BODY_BYTES as usize));
        let established = Established::default();
        Lease {
            client: client_for(&established, &monitor),
            target,
            monitor,
            reused: false,
            established,
            connect: self.connect.clone(),
            connect_timeout: self.connect_timeout.get(),
            _open: open,
        }
    }
}

/// Creates a client that uses the connection established for it. If its pooled connection was closed and none
/// is established, a request fails with `ConnectError::Io` and nothing is sent.
fn client_for(established: &Established, monitor: &Rc<ResponseMonitor>) -> Client {
    let (established, monitor) = (established.clone(), monitor.clone());
    plain_client(HANDOVER_TIMEOUT, move || {
        let connection =
            established.take().map(|stream| ObservedStream { stream, observer: monitor.clone() });
        ready(connection.ok_or_else(|| io::Error::from(io::ErrorKind::NotConnected)))
    })
}

/// Creates a client that connects to one address when it sends a request.
pub fn client(addr: SocketAddr, connect_timeout: Duration, monitor: &Rc<ResponseMonitor>) -> Client {
    let monitor = monitor.clone();
    plain_client(connect_timeout, move || {
        let monitor = monitor.clone();
        async move {
            let stream = TcpStream::connect(addr).await?;
            let _ = stream.set_nodelay(true);
            monitor.on_connected();
            Ok(ObservedStream { stream, observer: monitor })
        }
    })
}

/// Creates an awc client without response timeouts, redirects, default headers, and without a graceful
/// shutdown of dropped connections.
fn plain_client<F>(connect_timeout: Duration, connect: impl Fn() -> F + Clone + 'static) -> Client
where
    F: Future<Output = io::Result<ObservedStream<ResponseMonitor>>> + 'static,
{
    let service = fn_service(move |info: ConnectInfo<Uri>| {
        let connecting = connect();
        async move {
            let wire = connecting.await.map_err(ConnectError::Io)?;
            Ok::<_, ConnectError>(Connection::new(info.request().clone(), wire))
        }
    });
    let connector = Connector::new()
        .connector(service)
        .timeout(connect_timeout)
        .conn_lifetime(Duration::from_secs(86_400))
        .conn_keep_alive(Duration::from_secs(86_400))
        .disconnect_timeout(Duration::ZERO);
    Client::builder().connector(connector).disable_timeout().disable_redirects().no_default_headers().finish()
}

#[cfg(test)]
mod tests;
