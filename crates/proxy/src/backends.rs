//! Where the endpoints are, and the connections to them.
//!
//! Each connection is an awc client of its own with a pool of one: which connection an attempt uses, how many
//! are open, and when an idle one goes is then decided here and not by a pool that shares them out.

use crate::bodies::LONGEST;
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

/// Part of the other side's idle time for which a connection is kept: a request that is written while it is
/// being closed over there may have run.
const KEPT: f64 = 0.8;

/// The end of a connection that its peer ends right after an answer is here within this time.
const SETTLES: Duration = Duration::from_millis(5);

/// A client takes a connection that is established already at once.
const HANDED_OVER: Duration = Duration::from_secs(60);

/// A process at an endpoint, as the list named it when a connection was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// Which endpoint.
    pub endpoint: EndpointId,
    /// Where it was.
    pub addr: SocketAddr,
    started: Option<u64>,
}

/// Why there is no connection to use for an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LeaseError {
    /// The list gives no address for it.
    #[error("endpoint {} has no address", .0.0)]
    NoAddress(EndpointId),
    /// As many connections are open as may be: no fault of the endpoint.
    #[error("no descriptor is left for a connection to endpoint {}", .0.0)]
    AtLimit(EndpointId),
}

/// A connection, or the means to make one.
pub struct Lease {
    /// The client that holds it.
    pub client: Client,
    /// Where it leads.
    pub target: Target,
    /// What became of it.
    pub seen: Rc<ResponseMonitor>,
    /// It was kept from an earlier request.
    pub kept: bool,
    /// Established and not yet taken by the client.
    established: Established,
    connect: Rc<dyn Connect>,
    connect_timeout: Duration,
    /// Of all connections, and of this cluster's.
    _open: [OpenConnection; 2],
}

/// Where a connection that has come up waits for the client that is to use it.
type Established = Rc<RefCell<Option<TcpStream>>>;

impl fmt::Debug for Lease {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_struct("Lease")
            .field("target", &self.target)
            .field("kept", &self.kept)
            .finish_non_exhaustive()
    }
}

impl Lease {
    /// Establishes a connection for the next request that the client sends.
    ///
    /// # Errors
    /// It does not come up; [`ConnectFailure`] says whose fault that is.
    pub async fn connect(&self) -> Result<(), ConnectFailure> {
        let addr = self.target.addr;
        let connected = timeout(self.connect_timeout, self.connect.connect(addr)).await;
        let stream = connected
            .map_err(|_| ConnectFailure::TimedOut(addr))?
            .map_err(|error| ConnectFailure::of(addr, error))?;
        let _ = stream.set_nodelay(true); // a hint; without it small requests wait for acknowledgements
        self.seen.on_connected();
        self.established.replace(Some(stream));
        Ok(())
    }
}

struct Idle {
    lease: Lease,
    since: Instant,
}

#[derive(Default)]
struct Backend {
    addr: Option<SocketAddr>,
    started: Option<u64>,
    ready: bool,
    /// Most recently used last.
    idle: Vec<Idle>,
    /// When it was last found to have ended a connection that was kept.
    ended_one: Option<Instant>,
}

impl Backend {
    /// Whether it is still this process, and takes requests.
    fn is(&self, target: Target) -> bool {
        self.ready && self.addr == Some(target.addr) && self.started == target.started
    }
}

/// Endpoints by number.
#[derive(Default)]
struct Table(RefCell<Vec<Backend>>);

/// All endpoints of a cluster.
pub struct Backends {
    table: Rc<Table>,
    connect_timeout: Cell<Duration>,
    idle_life: Duration,
    /// How many take requests.
    ready: Cell<usize>,
    /// What all clusters share.
    descriptors: Rc<Descriptors>,
    /// Most connections of this one, idle ones included, and how many there are.
    most: Cell<usize>,
    open: OpenConnection,
    connect: Rc<dyn Connect>,
    log: Logger,
}

impl IdleConnectionPool for Table {
    fn max_idle_per_endpoint(&self) -> usize {
        self.0.borrow().iter().map(|b| b.idle.len()).max().unwrap_or(0)
    }

    fn close_longest_idle(&self) {
        let mut table = self.0.borrow_mut();
        let fullest = table.iter_mut().max_by_key(|b| b.idle.len()).filter(|b| !b.idle.is_empty());
        fullest.into_iter().for_each(|b| _ = b.idle.remove(0));
    }
}

impl Backends {
    /// `idle_close`: the other side closes an idle connection after this; ours go well before.
    pub fn new(
        connect_timeout: Duration,
        idle_close: Duration,
        descriptors: Rc<Descriptors>,
        log: Logger,
    ) -> Backends {
        let table: Rc<Table> = Rc::default();
        let holder = Rc::downgrade(&table);
        descriptors.register(holder);
        Backends {
            table,
            connect_timeout: Cell::new(connect_timeout),
            idle_life: idle_close.mul_f64(KEPT),
            ready: Cell::new(0),
            descriptors,
            most: Cell::new(usize::MAX),
            open: Rc::default(),
            connect: Rc::new(SystemConnect),
            log,
        }
    }

    /// Establishes its connections through this from now on.
    #[cfg(test)]
    pub fn connecting_through(self, connect: Rc<dyn Connect>) -> Backends {
        Backends { connect, ..self }
    }

    /// Other limits hold for this cluster from now on.
    pub fn adopt(&self, connect_timeout: Duration, most: usize) {
        self.connect_timeout.set(connect_timeout);
        self.most.set(most);
    }

    /// Where it logs.
    pub fn log(&self) -> &Logger {
        &self.log
    }

    /// How many connections are open, idle ones included.
    pub fn connections(&self) -> usize {
        Rc::strong_count(&self.open) - 1
    }

    /// Notes where an endpoint is. One that moved, or is another process now, has none of the old
    /// connections.
    pub fn place(&self, endpoint: EndpointId, addr: Option<SocketAddr>, started: Option<u64>, ready: bool) {
        let slot = endpoint.0 as usize;
        let mut table = self.table.0.borrow_mut();
        if table.len() <= slot {
            table.resize_with(slot + 1, Backend::default);
        }
        let backend = &mut table[slot];
        if backend.addr != addr || backend.started != started || !ready {
            backend.idle.clear();
        }
        self.ready.set(self.ready.get() + usize::from(ready) - usize::from(backend.ready));
        (backend.addr, backend.started, backend.ready) = (addr, started, ready);
    }

    /// Nothing takes requests any more, and nothing is kept for one.
    pub fn close(&self) {
        self.forget_all();
        self.sweep();
    }

    /// A whole list follows: what it does not name takes no more requests.
    pub fn forget_all(&self) {
        self.table.0.borrow_mut().iter_mut().for_each(|b| b.ready = false);
        self.ready.set(0);
    }

    /// Whether the list names an endpoint as ready.
    pub fn takes_requests(&self, endpoint: EndpointId) -> bool {
        self.table.0.borrow().get(endpoint.0 as usize).is_some_and(|b| b.ready)
    }

    /// Whether a target still takes requests: the list names the same process as ready.
    pub fn still_takes(&self, target: Target) -> bool {
        let table = self.table.0.borrow();
        table.get(target.endpoint.0 as usize).is_some_and(|backend| backend.is(target))
    }

    /// Whether it names any.
    pub fn any_takes_requests(&self) -> bool {
        self.ready.get() > 0
    }

    /// A connection to an endpoint: the idle one used last, or a new one that is still to be established.
    ///
    /// # Errors
    /// Nobody knows where it is, or there are no descriptors left for it.
    pub fn lease(&self, endpoint: EndpointId) -> Result<Lease, LeaseError> {
        let unknown = LeaseError::NoAddress(endpoint);
        let mut table = self.table.0.borrow_mut();
        let backend = table.get_mut(endpoint.0 as usize).ok_or(unknown)?;
        let target = Target { endpoint, addr: backend.addr.ok_or(unknown)?, started: backend.started };
        // Danger: one that ends connections right after an answer. Where that was seen lately, a connection is
        // used again only once the end would have come.
        let wary = backend.ended_one.is_some_and(|at| at.elapsed() < self.idle_life);
        let settled = |idle: &Idle| !wary || idle.since.elapsed() >= SETTLES;
        if let Some(at) = backend.idle.iter().rposition(settled) {
            let idle = backend.idle.remove(at);
            if idle.since.elapsed() < self.idle_life {
                return Ok(Lease { kept: true, ..idle.lease });
            }
        }
        drop(table); // which may have to make room
        if self.connections() >= self.most.get() {
            self.table.close_longest_idle();
            if self.connections() >= self.most.get() {
                return Err(LeaseError::AtLimit(endpoint));
            }
        }
        debug!(self.log, "connect"; "open" => self.connections(), "endpoint" => endpoint.0);
        let descriptor = self.descriptors.acquire().ok_or(LeaseError::AtLimit(endpoint))?;
        Ok(self.connection(target, [descriptor, self.open.clone()]))
    }

    /// Takes back a connection if it can carry another request and the endpoint is where it was and takes any.
    pub fn give_back(&self, lease: Lease) {
        let mut table = self.table.0.borrow_mut();
        if let Some(backend) = table.get_mut(lease.target.endpoint.0 as usize)
            && backend.is(lease.target)
            && lease.seen.reusable()
        {
            backend.idle.push(Idle { lease, since: Instant::now() });
        }
    }

    /// Notes that an endpoint had ended a connection that was kept.
    pub fn ended_one(&self, endpoint: EndpointId) {
        if let Some(backend) = self.table.0.borrow_mut().get_mut(endpoint.0 as usize) {
            backend.ended_one = Some(Instant::now());
        }
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&self, endpoint: EndpointId) {
        if let Some(backend) = self.table.0.borrow_mut().get_mut(endpoint.0 as usize) {
            backend.idle.clear();
        }
    }

    /// Closes what has been idle for long.
    pub fn sweep(&self) {
        let life = self.idle_life;
        for backend in self.table.0.borrow_mut().iter_mut() {
            let ready = backend.ready;
            backend.idle.retain(|idle| ready && idle.since.elapsed() < life);
        }
    }

    fn connection(&self, target: Target, open: [OpenConnection; 2]) -> Lease {
        let seen = Rc::new(ResponseMonitor::new(LONGEST as usize));
        let established = Established::default();
        Lease {
            client: client_of(&established, &seen),
            target,
            seen,
            kept: false,
            established,
            connect: self.connect.clone(),
            connect_timeout: self.connect_timeout.get(),
            _open: open,
        }
    }
}

/// A client that uses the connection that was established for it. Asked for another, it says
/// `ConnectError::Io`: the one it kept has ended, and nothing was sent.
fn client_of(established: &Established, seen: &Rc<ResponseMonitor>) -> Client {
    let (established, seen) = (established.clone(), seen.clone());
    plain_client(HANDED_OVER, move || {
        let connection = established.take().map(|stream| ObservedStream { stream, observer: seen.clone() });
        ready(connection.ok_or_else(|| io::Error::from(io::ErrorKind::NotConnected)))
    })
}

/// A client that connects to one address when it is asked to send something.
pub fn client(addr: SocketAddr, connect_timeout: Duration, seen: &Rc<ResponseMonitor>) -> Client {
    let seen = seen.clone();
    plain_client(connect_timeout, move || {
        let seen = seen.clone();
        async move {
            let stream = TcpStream::connect(addr).await?;
            let _ = stream.set_nodelay(true);
            seen.on_connected();
            Ok(ObservedStream { stream, observer: seen })
        }
    })
}

/// An awc client that does nothing by itself: no time-outs of its own, no redirects, no headers, and no
/// lingering when a connection is dropped.
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
