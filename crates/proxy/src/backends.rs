//! The endpoints of a cluster and the pool of connections to them.
//!
//! Each connection is a separate awc client with a pool of one. So this module, and not awc's pool, decides
//! which connection an attempt uses, how many connections are open, and when an idle connection is closed.

mod idle_pool;
mod report_limiter;
mod response_variety;

use self::idle_pool::{IdlePool, MaxWait, ReusedConnection};
use self::report_limiter::ReportLimiter;
use self::response_variety::ResponseVariety;
use crate::bodies::MAX_BODY_BYTES;
use crate::connect::{Connect, ConnectFailure, SystemConnect};
use crate::descriptors::{ConnectionPermit, Descriptors, IdleConnectionPool, OpenConnection};
use crate::framing::FramingError;
use crate::http_client::{self, Established};
use crate::memory::EndpointsCharge;
use crate::response_monitor::ResponseMonitor;
use awc::Client;
use olivecart_decisions::EndpointId;
use slog::{Logger, debug, warn};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::{sleep_until, timeout};

/// The fraction of the endpoint's idle timeout for which a connection is kept. A request that is written
/// while the endpoint closes the connection may have been executed, so that it can't be retried.
const IDLE_LIFETIME_FRACTION: f64 = 0.8;

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
    /// A request must not be written to a pooled connection before this time.
    usable_at: Instant,
    /// The established connection, until the client takes it.
    established: Established,
    connect: Rc<dyn Connect>,
    connect_timeout: Duration,
    /// Counts this connection among those of all clusters.
    _permit: ConnectionPermit,
    /// Counts this connection among those of this cluster.
    _open: OpenConnection,
}

impl fmt::Debug for Lease {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_struct("Lease")
            .field("target", &self.target)
            .field("reused", &self.reused)
            .finish_non_exhaustive()
    }
}

impl Lease {
    /// Waits until a request may be written to the pooled connection.
    pub async fn wait_until_usable(&self) {
        if self.usable_at > Instant::now() {
            sleep_until(self.usable_at.into()).await;
        }
    }

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

#[derive(Default)]
struct Backend {
    addr: Option<SocketAddr>,
    started: Option<u64>,
    ready: bool,
    idle: IdlePool<Lease>,
    excess_bytes_reports: ReportLimiter,
    rejected_form_reports: ReportLimiter,
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
    /// Whether its endpoints give different responses.
    response_variety: RefCell<ResponseVariety>,
    connect_timeout: Cell<Duration>,
    idle_lifetime: Duration,
    /// The number of ready endpoints.
    ready_count: Cell<usize>,
    /// The memory of the tables of endpoints.
    table_memory: EndpointsCharge,
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
        if let Some(most_idle) = backends.iter_mut().max_by_key(|b| b.idle.len()) {
            most_idle.idle.close_longest_idle();
        }
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
            response_variety: RefCell::default(),
            connect_timeout: Cell::new(connect_timeout),
            idle_lifetime: idle_timeout.mul_f64(IDLE_LIFETIME_FRACTION),
            ready_count: Cell::new(0),
            table_memory: descriptors.memory().charge_endpoints(),
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
            self.table_memory.set(table.len());
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

    /// Leases a connection to an endpoint: an idle one if it may be used before a new one would be established,
    /// and otherwise a new one that is still to be established. At a limit on connections, an idle one is
    /// waited for.
    ///
    /// # Errors
    /// The endpoint has no known address, or a limit on connections is reached.
    pub fn lease(&self, endpoint: EndpointId) -> Result<Lease, LeaseError> {
        self.lease_connection(endpoint, self.response_variety.borrow().is_high())
    }

    /// Leases a connection for a health check. Its responses are all alike, so that a copy of one would not be
    /// recognised.
    ///
    /// # Errors
    /// As of [`lease`](Self::lease).
    pub fn lease_for_health_check(&self, endpoint: EndpointId) -> Result<Lease, LeaseError> {
        self.lease_connection(endpoint, false)
    }

    fn lease_connection(&self, endpoint: EndpointId, recognises_copies: bool) -> Result<Lease, LeaseError> {
        let target = self.target(endpoint).ok_or(LeaseError::NoAddress(endpoint))?;
        if let Some(lease) = self.lease_idle(endpoint, MaxWait::ConnectTime, recognises_copies) {
            return Ok(lease);
        }
        let is_at_cluster_limit = self.connections() >= self.max_connections.get();
        if (is_at_cluster_limit || self.descriptors.is_at_limit())
            && let Some(lease) = self.lease_idle(endpoint, MaxWait::QuietPeriod, recognises_copies)
        {
            return Ok(lease);
        }
        if is_at_cluster_limit {
            self.table.close_longest_idle();
            if self.connections() >= self.max_connections.get() {
                return Err(LeaseError::AtLimit(endpoint));
            }
        }
        debug!(self.log, "connect"; "open" => self.connections(), "endpoint" => endpoint.0);
        let permit = self.descriptors.acquire().ok_or(LeaseError::AtLimit(endpoint))?;
        Ok(self.new_lease(target, permit))
    }

    fn target(&self, endpoint: EndpointId) -> Option<Target> {
        let table = self.table.0.borrow();
        let backend = table.get(endpoint.0 as usize)?;
        Some(Target { endpoint, addr: backend.addr?, started: backend.started })
    }

    fn lease_idle(&self, endpoint: EndpointId, max_wait: MaxWait, recognises_copies: bool) -> Option<Lease> {
        let mut table = self.table.0.borrow_mut();
        let (idle, now) = (&mut table.get_mut(endpoint.0 as usize)?.idle, Instant::now());
        idle.close_expired(now, self.idle_lifetime);
        let ReusedConnection { connection, usable_at, may_receive_copy } =
            idle.take(now, max_wait, recognises_copies)?;
        connection.monitor.set_drops_copies(may_receive_copy);
        Some(Lease { reused: true, usable_at, ..connection })
    }

    /// Keeps a connection for another request if it is reusable and its target is still ready, and closes it
    /// otherwise.
    pub fn release(&self, lease: Lease) {
        self.report_excess_bytes(lease.target, &lease.monitor);
        let mut table = self.table.0.borrow_mut();
        if let Some(backend) = table.get_mut(lease.target.endpoint.0 as usize)
            && backend.is_ready_at(lease.target)
            && lease.monitor.is_reusable()
        {
            let has_digest = lease.monitor.last_response().is_some();
            backend.idle.put(lease, Instant::now(), has_digest);
        }
    }

    /// Records how long it took to establish a connection to an endpoint.
    pub fn on_connected(&self, endpoint: EndpointId, connect_time: Duration) {
        if let Some(backend) = self.table.0.borrow_mut().get_mut(endpoint.0 as usize) {
            backend.idle.on_connected(connect_time);
        }
    }

    /// Records the last response on a connection, which reports success. A long one tells nothing.
    pub fn on_response(&self, endpoint: EndpointId, monitor: &ResponseMonitor) {
        let mut table = self.table.0.borrow_mut();
        if let Some(backend) = table.get_mut(endpoint.0 as usize)
            && let Some(response) = monitor.last_response()
            && let Some(previous) = backend.idle.replace_last_response(response)
        {
            self.response_variety.borrow_mut().on_response(previous, response);
        }
    }

    /// Records that no response to the request on a connection was received in time.
    pub fn on_response_missing(&self, monitor: &ResponseMonitor) {
        if monitor.has_dropped_copy() {
            self.response_variety.borrow_mut().on_response_missing();
        }
    }

    /// Records that an endpoint closed a pooled connection.
    pub fn on_pooled_connection_closed(&self, endpoint: EndpointId) {
        if let Some(backend) = self.table.0.borrow_mut().get_mut(endpoint.0 as usize) {
            backend.idle.on_pooled_connection_closed(Instant::now());
        }
    }

    /// Logs, from time to time, that an endpoint sent bytes after the end of a response.
    pub fn report_excess_bytes(&self, target: Target, monitor: &ResponseMonitor) {
        if !monitor.take_excess_noticed() {
            return;
        }
        let mut table = self.table.0.borrow_mut();
        let Some(backend) = table.get_mut(target.endpoint.0 as usize) else { return };
        if backend.excess_bytes_reports.is_due(Instant::now()) {
            warn!(self.log, "endpoint sent bytes after the end of a response"; "peer" => %target.addr);
        }
    }

    /// Logs, from time to time, that a response of an endpoint was rejected for its form.
    pub fn log_rejected_form(&self, target: Target, form: FramingError) {
        let mut table = self.table.0.borrow_mut();
        let Some(backend) = table.get_mut(target.endpoint.0 as usize) else { return };
        if backend.rejected_form_reports.is_due(Instant::now()) {
            warn!(self.log, "malformed response"; "peer" => %target.addr, "form" => form.name(),
                "reason" => %form);
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
        let now = Instant::now();
        for backend in self.table.0.borrow_mut().iter_mut() {
            if backend.ready {
                backend.idle.close_expired(now, self.idle_lifetime);
            } else {
                backend.idle.clear();
            }
        }
    }

    fn new_lease(&self, target: Target, permit: ConnectionPermit) -> Lease {
        let monitor = Rc::new(ResponseMonitor::new(MAX_BODY_BYTES as usize));
        let established = Established::default();
        Lease {
            client: http_client::for_established(&established, &monitor),
            target,
            monitor,
            reused: false,
            usable_at: Instant::now(),
            established,
            connect: self.connect.clone(),
            connect_timeout: self.connect_timeout.get(),
            _permit: permit,
            _open: self.open.clone(),
        }
    }
}

#[cfg(test)]
mod tests;
