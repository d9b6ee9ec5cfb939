//! The listener for clients: accepts connections, serves HTTP on them, and passes each request through the
//! stages.
//!
//! `serve.rs` and `sidecar` start one [`serve`] task per listener, which runs until it is aborted.
//! [`AcceptControl`] is the handle by which `shutdown.rs` and `serving_process.rs` control it. The states,
//! timeouts and evictions of connections belong to `clients.rs`; the choice of an endpoint and the attempts
//! belong to the stages.

use crate::accept::{Accept, Acceptor};
use crate::bodies::ResponseBody;
use crate::call::{Body, Call, ResponseContent, Verdict};
use crate::clients::{Client, Clients, Connection, IdleEviction, PeerSocket, RequestBody, Stream};
use crate::config::Sockets;
use crate::framing::{self, BodyFraming, FramingError, Side};
use crate::latency::LatencyEstimate;
use crate::memory::{BufferUse, MemoryAccountant, SHORT_MESSAGE_BYTES, UNRESERVED_BYTES};
use crate::platform::client;
use crate::received_request::ReceivedRequest;
use crate::shutdown_deadline::ShutdownDeadline;
use crate::stages::admission::{self, AdmissionError, AdmittedRequest};
use crate::stages::cluster_selection::Routes;
use crate::stages::parse::{self, ParseContext};
use crate::stages::response;
use crate::stats::{ActiveRequest, RequestResult, Stats};
use actix_http::body::{BodySize, MessageBody};
use actix_http::error::DispatchError;
use actix_http::{ConnectionType, Extensions, HttpService, KeepAlive, Request, Response, Version};
use actix_service::{IntoServiceFactory, Service, ServiceFactory, fn_service};
use olivecart_settings::Site;
use slog::{Logger, debug, info, warn};
use std::any::Any;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

/// Number of connections over the clients' share of descriptors that are accepted while others are being
/// evicted.
const CONNECTIONS_OVER_SHARE: usize = 16;
/// Maximum wait for an evicted connection to close before another one is evicted.
const EVICTION_WAIT: Duration = Duration::from_millis(5);
/// How long a new connection waits for memory before idle connections are evicted for it.
const IDLE_EVICTION_DELAY: Duration = Duration::from_millis(500);
/// Interval at which the timeouts of connections are enforced.
pub const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The library takes no more of a response's body while this many bytes wait to be written.
const WRITE_BUFFER_BYTES: usize = 16 * 1024;
/// Minimum time between two log lines about a shortage of memory.
const MEMORY_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum number of connections in the listen queue.
const BACKLOG: u32 = 1024;

/// The parts from which a listener is created.
pub struct ListenerParts {
    /// The clusters that requests can be routed to.
    pub routes: Rc<Routes>,
    /// The settings, with the names that requests may use.
    pub site: Rc<RefCell<Site>>,
    /// The log of the listener.
    pub log: Logger,
    /// The descriptor limits of clients and backends.
    pub sockets: Sockets,
    /// The memory of the process.
    pub memory: Rc<MemoryAccountant>,
    /// The request statistics, if the admin server exposes them.
    pub stats: Option<Arc<Stats>>,
}

/// Controls whether a listener accepts connections and requests, and counts its connections and requests in
/// flight.
pub struct AcceptControl {
    routes: Rc<Routes>,
    site: Rc<RefCell<Site>>,
    log: Logger,
    sockets: Cell<Sockets>,
    clients: Rc<Clients>,
    /// When the last request was dispatched to a cluster.
    last_request_at: Cell<Instant>,
    /// Latency of served requests, measured from their dispatch.
    latency: Cell<LatencyEstimate>,
    /// When requests must be answered, once a shutdown has begun.
    shutdown_deadline: ShutdownDeadline,
    /// Whether each response is the last one on its connection.
    closing: Cell<bool>,
    /// Whether connections are accepted here and not by the successor.
    accepting: watch::Sender<bool>,
    stats: Option<Arc<Stats>>,
}

impl AcceptControl {
    /// Creates a control in the accepting state.
    pub fn new(parts: ListenerParts) -> AcceptControl {
        AcceptControl {
            routes: parts.routes,
            site: parts.site,
            log: parts.log,
            sockets: Cell::new(parts.sockets),
            clients: Rc::new(Clients::new(parts.memory)),
            last_request_at: Cell::new(Instant::now()),
            latency: Cell::default(),
            shutdown_deadline: ShutdownDeadline::default(),
            closing: Cell::new(false),
            accepting: watch::channel(true).0,
            stats: parts.stats,
        }
    }

    /// Waits until there are descriptors and memory for one more connection, and evicts others if necessary.
    /// Without the limits, client connections would use up the descriptors needed to reach endpoints, and the
    /// memory of the process. Without evictions, clients that send nothing would keep other clients out. A new
    /// connection waits in the listen queue only if all connections have a request in flight.
    async fn wait_for_capacity(&self) {
        while self.clients.open() >= self.sockets.get().clients + CONNECTIONS_OVER_SHARE {
            self.clients.evict_one();
            let _ = timeout(EVICTION_WAIT, self.clients.wait_for_closed_connection()).await;
        }
        if self.clients.open() >= self.sockets.get().clients {
            self.clients.evict_one();
        }
        self.wait_for_memory().await;
    }

    /// Waits until there is memory for one more connection. Most of what is missing is held by bodies that are
    /// on their way, so that idle connections are evicted only if that takes long.
    async fn wait_for_memory(&self) {
        let began = Instant::now();
        while !self.clients.memory().has_room_for_client() {
            let is_long = began.elapsed() >= IDLE_EVICTION_DELAY;
            self.clients.evict_for_memory(if is_long {
                IdleEviction::Allowed
            } else {
                IdleEviction::Forbidden
            });
            let _ = timeout(EVICTION_WAIT, self.clients.wait_for_closed_connection()).await;
        }
    }

    /// Replaces the descriptor limits.
    pub fn set_limits(&self, sockets: Sockets) {
        self.sockets.set(sockets);
    }

    /// Makes the listener not ready. Requests that still arrive are answered by the given time.
    pub fn begin_shutdown(&self, answer_by: Instant) {
        self.shutdown_deadline.set(answer_by);
    }

    /// Evicts idle connections last from now on: see [`Clients::protect_idle`].
    pub fn protect_idle(&self) {
        self.clients.protect_idle();
    }

    /// Whether the listener is ready for requests: an endpoint accepts requests and no shutdown has begun.
    pub fn is_ready(&self) -> bool {
        self.routes.any_takes_requests() && !self.shutdown_deadline.is_set()
    }

    /// Sends `Connection: close` with all responses from now on and closes idle connections that have no
    /// unread request. The HTTP library's own graceful shutdown is not used because it drops a request that
    /// it has just read.
    pub fn close_connections(&self) {
        self.closing.set(true);
        self.close_idle();
    }

    /// Starts accepting connections, or leaves them to the successor and sends `Connection: close` with all
    /// responses.
    pub fn set_accepting(&self, accepting: bool) {
        self.accepting.send_replace(accepting);
    }

    /// Closes idle connections that have no unread request, from now on.
    pub fn close_idle(&self) {
        self.clients.close_idle();
    }

    /// Returns when the last request was dispatched to a cluster.
    pub fn last_request_at(&self) -> Instant {
        self.last_request_at.get()
    }

    /// Returns an upper bound of the latency of nearly all responses, or `None` if there were no responses
    /// yet.
    pub fn latency(&self) -> Option<Duration> {
        self.latency.get().upper_bound()
    }

    /// Counts and logs a request that was rejected for its form.
    fn on_malformed_request(&self, form: FramingError) {
        debug!(self.log, "malformed request"; "form" => form.name(), "reason" => %form);
        self.stats.iter().for_each(|stats| stats.rejected_forms().count(Side::Client, form));
    }

    /// Logs who holds how much memory. A process that is killed for its memory writes nothing more.
    fn log_memory(&self) {
        let memory = self.clients.memory();
        let (waits, given_up) = memory.waits();
        info!(self.log, "memory is short"; "given_up" => given_up, "waits" => waits,
            "in_flight" => self.clients.in_flight(), "connections" => self.clients.open(),
            "assignable" => memory.assignable(), "allocated" => memory.allocated(), "held" => %memory.usage());
    }

    /// The number of open connections.
    pub fn connections(&self) -> usize {
        self.clients.open()
    }

    /// The number of connections with a request in flight.
    pub fn in_flight(&self) -> usize {
        self.clients.in_flight()
    }
}

/// Listens on an address. If it is `shared`, other processes can listen on it as well.
pub fn bind(on: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    let socket = if on.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?; // allows a restart while old connections are in TIME_WAIT
    if shared {
        socket.set_reuseport(true)?;
    }
    socket.bind(on)?;
    socket.listen(BACKLOG)
}

/// Accepts and serves connections until the task is aborted.
pub async fn serve<L>(listener: L, control: Rc<AcceptControl>)
where
    L: Accept<Connection = (TcpStream, SocketAddr)>,
{
    let service = match http_service(&control).await {
        Ok(service) => Rc::new(service),
        Err(NoHttpService) => return warn!(control.log, "HTTP service failed to start"),
    };
    actix_rt::spawn(enforce_timeouts(control.clone()));
    let mut acceptor = Acceptor::new(listener, "clients", control.log.clone());
    let mut accepting = control.accepting.subscribe();
    loop {
        if accepting.wait_for(|accepting| *accepting).await.is_err() {
            return; // the control was dropped
        }
        control.wait_for_capacity().await;
        let (stream, peer) = tokio::select! {
            biased;
            _ = accepting.wait_for(|accepting| !*accepting) => continue,
            accepted = acceptor.accept(|| control.clients.evict_one()) => accepted,
        };
        let _ = stream.set_nodelay(true); // a failure only adds latency
        let connection = Rc::new(Connection::new(stream, control.clients.register()));
        let socket: Rc<dyn PeerSocket> = connection.clone();
        connection.client().set_socket(Rc::downgrade(&socket));
        actix_rt::spawn(serve_connection(service.clone(), control.clone(), connection, peer));
    }
}

/// The HTTP library failed to create a service.
struct NoHttpService;

/// A connection and the address of its client, in the form that the HTTP library expects.
type Accepted = (Stream, Option<SocketAddr>);

/// Creates the service that serves HTTP on connections. Its own timeouts are off: actix-http has one only for
/// the head of a first request, so `clients.rs` enforces them. Connections are closed by `clients/stream.rs`:
/// actix-http drops a connection after bytes that are not a request, even with unread bytes, and otherwise
/// keeps reading for its disconnect timeout without half-closing.
async fn http_service(
    control: &Rc<AcceptControl>,
) -> Result<impl Service<Accepted, Response = (), Error = DispatchError> + 'static, NoHttpService> {
    let control = control.clone();
    let service = HttpService::build()
        .keep_alive(KeepAlive::Os)
        .client_request_timeout(Duration::ZERO)
        .client_disconnect_timeout(Duration::ZERO)
        .h1_write_buffer_size(WRITE_BUFFER_BYTES)
        .on_connect_ext(|io: &Stream, data: &mut Extensions| _ = data.insert(io.0.client().clone()))
        .h1(fn_service(move |request: Request| handle(control.clone(), request)).into_factory());
    service.new_service(()).await.map_err(|()| NoHttpService)
}

/// Serves one connection until it is closed.
async fn serve_connection(
    service: Rc<impl Service<Accepted, Response = (), Error = DispatchError>>,
    control: Rc<AcceptControl>,
    connection: Rc<Connection>,
    peer: SocketAddr,
) {
    let client = connection.client().clone();
    let serving = service.call((Stream(connection.clone()), Some(peer)));
    if let Err(e) = connection.serve(serving).await {
        if matches!(e, DispatchError::Parse(_)) {
            control.on_malformed_request(FramingError::InvalidHead);
        }
        if matches!(e, DispatchError::Body(_)) && client.needs_reset_after_incomplete_response() {
            return abort(&control, connection);
        }
        debug!(control.log, "connection ended"; "peer" => %peer, "error" => %e);
    }
    connection.close().await;
    drop(connection); // frees the descriptor before it is counted as free
    control.clients.unregister(&client);
}

/// Ends a connection with a reset.
fn abort(control: &AcceptControl, connection: Rc<Connection>) {
    let client = connection.client().clone();
    connection.reset();
    drop(connection); // frees the descriptor before it is counted as free
    control.clients.unregister(&client);
}

async fn enforce_timeouts(control: Rc<AcceptControl>) {
    let mut interval = tokio::time::interval(TIMEOUT_CHECK_INTERVAL);
    let mut logged_at: Option<Instant> = None;
    loop {
        interval.tick().await;
        control.clients.close_expired();
        control.clients.memory().grant_what_fits();
        control.clients.evict_for_waiting_requests();
        if control.clients.memory().is_short()
            && logged_at.is_none_or(|at| at.elapsed() >= MEMORY_LOG_INTERVAL)
        {
            logged_at = Some(Instant::now());
            control.log_memory();
        }
    }
}

async fn handle(
    control: Rc<AcceptControl>,
    request: Request,
) -> Result<Response<ResponseContent>, Infallible> {
    let Some(client) = request.conn_data::<Rc<Client>>().cloned() else {
        return Ok(client::buffered(client::refusal(Duration::ZERO))); // unreachable: on_connect_ext sets it
    };
    let request = ReceivedRequest::new(request);
    if client.is_closing() {
        // The request was sent behind the one that got the last response, so the client cannot mistake this
        // response for that of another request.
        return Ok(client::buffered(client::overloaded()));
    }
    let is_http_1_0 = request.version() == Version::HTTP_10;
    let response = match begin_body(&request, &client) {
        Ok(framing) => respond(&control, request, framing, &client).await,
        Err(form) => Err(form.into()),
    };
    match response {
        Ok(mut response) => {
            if is_http_1_0 && response.body().size() == BodySize::Stream {
                client.end_response_with_connection();
                response.head_mut().no_chunking(true); // HTTP/1.0 has no chunks
            }
            if is_last_response(&control, &client) {
                response.head_mut().set_connection_type(ConnectionType::Close);
            }
            if response.head().connection_type() == ConnectionType::Close {
                client.close_after_response();
            }
            let in_flight = InFlight(client); // lives until the last byte of a streamed response
            Ok(keep_alive_until_sent(response, in_flight))
        }
        Err(reject) => Ok(reject_request(&control, &client, &reject)),
    }
}

fn reject_request(
    control: &AcceptControl,
    client: &Rc<Client>,
    reject: &client::Reject,
) -> Response<ResponseContent> {
    if let client::Reject::Framing(form) = reject {
        control.on_malformed_request(*form);
    }
    client.on_request_rejected();
    client::buffered(client::rejection(reject))
}

/// Whether the connection is to be closed after the response.
fn is_last_response(control: &AcceptControl, client: &Client) -> bool {
    control.closing.get()
        || !*control.accepting.borrow()
        || client.is_closing()
        || client.gives_back_buffers()
        || client.needs_reset_after_incomplete_response()
}

/// Decides the framing of a request, and begins its body with it.
fn begin_body(request: &ReceivedRequest, client: &Client) -> Result<BodyFraming, FramingError> {
    let framing = framing::of_request(request.head())?;
    client.incoming().begin_body(framing)?;
    Ok(framing)
}

async fn respond(
    control: &AcceptControl,
    request: ReceivedRequest,
    framing: BodyFraming,
    client: &Rc<Client>,
) -> Result<Response<ResponseContent>, client::Reject> {
    match request.path() {
        client::READY => Ok(client::buffered(client::health(control.is_ready()))),
        client::LIVE => Ok(client::buffered(client::health(true))),
        _ => serve_request(control, request, framing, client).await,
    }
}

async fn serve_request(
    control: &AcceptControl,
    request: ReceivedRequest,
    framing: BodyFraming,
    client: &Rc<Client>,
) -> Result<Response<ResponseContent>, client::Reject> {
    client.on_head_received();
    let context = ParseContext {
        site: &control.site,
        memory: control.clients.memory(),
        shutdown: &control.shutdown_deadline,
    };
    let call = parse::parse(&context, request, framing, client).await?;
    let active = control.stats.as_ref().map(|stats| stats.count_request(usize::from(call.class.0)));
    let response = call_cluster(control, client, call).await?;
    // No endpoint has the last byte of such a request, whatever it has answered.
    if let Some(form) = client.incoming().framing_error() {
        return Err(form.into());
    }
    Ok(match active {
        None => response,
        Some(active) => count_response(response, active),
    })
}

/// Records how much of a connection's buffers a response needs. While a response is streamed, the reservation of its
/// open request covers them.
fn note_buffer_use(client: &Client, body: &ResponseContent) {
    match body {
        ResponseContent::Buffered(pieces) if pieces.len() <= SHORT_MESSAGE_BYTES => {}
        ResponseContent::Buffered(pieces) if pieces.len() <= UNRESERVED_BYTES => {
            client.on_buffers_used(BufferUse::Unreserved);
        }
        ResponseContent::Streamed(body) if !body.has_reservation() => {
            client.on_reserved_buffers_used(BufferUse::Unreserved);
        }
        ResponseContent::Buffered(_) | ResponseContent::Streamed(_) => {
            client.on_reserved_buffers_used(BufferUse::Reserved);
        }
    }
}

/// Counts the outcome of a request after its whole response was sent.
fn count_response(
    response: Response<ResponseContent>,
    mut active: ActiveRequest,
) -> Response<ResponseContent> {
    let ended = match response.status().as_u16() {
        200 => RequestResult::Ok,
        429 | 503 => RequestResult::Shed,
        _ => RequestResult::Error,
    };
    with_body(response, |body| match body {
        None => active.set_result(ended),
        Some(body) => body.when_ended(move |is_complete| {
            active.set_result(if is_complete { ended } else { RequestResult::Error });
        }),
    })
}

/// Keeps a value alive until the last byte of a streamed response. For any other response, drops it now.
fn keep_alive_until_sent(response: Response<ResponseContent>, value: impl Any) -> Response<ResponseContent> {
    with_body(response, |body| {
        if let Some(body) = body {
            body.keep(value);
        }
    })
}

/// Calls `action` with the body of a response if it is streamed, and otherwise with `None`.
fn with_body(
    response: Response<ResponseContent>,
    action: impl FnOnce(Option<&mut ResponseBody>),
) -> Response<ResponseContent> {
    response.map_body(|_, mut body| {
        match &mut body {
            ResponseContent::Buffered(_) => action(None),
            ResponseContent::Streamed(body) => action(Some(body)),
        }
        body
    })
}

/// Reports the response as sent when dropped.
struct InFlight(Rc<Client>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.on_response_sent();
    }
}

/// Sends a call to its cluster and returns the response.
async fn call_cluster(
    control: &AcceptControl,
    client: &Rc<Client>,
    mut call: Call,
) -> Result<Response<ResponseContent>, client::Reject> {
    // A response that is later than the end of a shutdown would be lost.
    call.deadline = control.shutdown_deadline.limit(call.deadline);
    client.on_request_dispatched(match call.payload.body {
        Body::Buffered { .. } => RequestBody::Complete,
        Body::Streamed(_) => RequestBody::Streaming,
    });
    if control.clients.in_flight() > control.sockets.get().clients {
        return Ok(client::buffered(client::overloaded()));
    }
    if client.has_peer_closed() {
        return Ok(client::verdict_response(Verdict::Failed)); // no client reads it
    }
    let context = match control.routes.choose(|| client::attributes(&call)) {
        Ok(context) => context,
        Err(absent) => return Ok(client::buffered(client::cluster_unavailable(&absent))),
    };
    let mut admitted = match admission::admit(&context, call) {
        Ok(admitted) => admitted,
        Err(AdmissionError::LimitReached) => return Ok(client::buffered(client::overloaded())),
        Err(AdmissionError::AllDetached) => return Ok(client::buffered(client::refusal(Duration::ZERO))),
        Err(AdmissionError::DuplicateId) => return Err(client::Reject::DuplicateId),
    };
    let dispatched_at = Instant::now();
    control.last_request_at.set(dispatched_at);
    let verdict =
        response::wait(&mut admitted, client.wait_for_peer_close(), &control.shutdown_deadline).await;
    if let Some(Verdict::Served(_)) = &verdict {
        let mut latency = control.latency.get();
        latency.observe(dispatched_at.elapsed());
        control.latency.set(latency);
    }
    // The response to a client that has disconnected is not read.
    let mut response = client::verdict_response(verdict.unwrap_or(Verdict::Failed));
    close_behind_unread_body(&mut response, &admitted);
    note_buffer_use(client, response.body());
    Ok(keep_alive_until_sent(response, admitted))
}

/// Lets a response be the last one on its connection if the request's body was not read to its end. The rest of it
/// is not read any more, so that the next request would not be found behind it.
fn close_behind_unread_body(response: &mut Response<ResponseContent>, admitted: &AdmittedRequest) {
    if admitted.upload.as_ref().is_some_and(|upload| !upload.is_complete()) {
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
}
