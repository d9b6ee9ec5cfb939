//! Serves a server's connections and the requests on them.

use super::Shared;
use super::node::{EventReceiver, Incarnation, Node};
use crate::scenario::Effect;
use crate::sockets::client::{Outgoing, Pool};
use crate::sockets::protocol::{self, API, BODY_LIMIT, LIVE, STATS};
use crate::sockets::server::{RequestEvent, RequestSpec, Ticket};
use crate::sockets::stream::{BlackholeListener, ServerStream};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand::Rng;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// The delay before the next `accept` after an error, such as too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Breaks a connection without answering the request on it.
#[derive(Debug, thiserror::Error)]
#[error("connection reset")]
struct Reset;

type Reply = Result<Response<Full<Bytes>>, Reset>;

/// Accepts connections from one zone until the server's incarnation ends.
pub async fn accept_connections(
    shared: Arc<Shared>,
    node: Arc<Node>,
    mut listener: BlackholeListener,
    zone: usize,
    mut incarnation: Incarnation,
) {
    let its = incarnation.clone();
    let serve = async {
        loop {
            match listener.accept().await {
                Ok(stream) => {
                    let (shared, node, incarnation) = (shared.clone(), node.clone(), its.clone());
                    let connection =
                        ServerConnection { shared, node, zone, incarnation, reset_on_close: Arc::default() };
                    tokio::spawn(connection.serve_connection_until_death(stream));
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    };
    tokio::select! {
        biased;
        () = incarnation.ended() => {}
        () = serve => {}
    }
}

/// A connection accepted by a server.
struct ServerConnection {
    shared: Arc<Shared>,
    node: Arc<Node>,
    zone: usize,
    incarnation: Incarnation,
    /// Whether the connection is reset when it ends.
    reset_on_close: Arc<AtomicBool>,
}

/// Counts an open connection at its server until it is dropped.
struct OpenConnection(Arc<Node>, Incarnation);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        if !self.1.has_ended() {
            self.0.disconnect();
        }
    }
}

impl ServerConnection {
    /// Serves a connection until either side closes it, it exceeds the idle limit, or the server dies.
    async fn serve_connection_until_death(self, stream: TcpStream) {
        let (mut incarnation, reset_on_close) = (self.incarnation.clone(), self.reset_on_close.clone());
        let stream =
            ServerStream::new(stream, self.node.blackholes[self.zone].clone(), reset_on_close.clone());
        let dies = async {
            incarnation.ended().await;
            reset_on_close.store(true, Ordering::SeqCst); // must be set before the stream is dropped
        };
        tokio::select! {
            biased;
            () = dies => {}
            () = self.serve_stream(stream) => {}
        }
    }

    async fn serve_stream(self, stream: ServerStream) {
        let counted =
            self.node.connect().then(|| OpenConnection(self.node.clone(), self.incarnation.clone()));
        let (has_room, connections) =
            (counted.is_some(), self.node.place.kind(&self.shared.topology).connections);
        let trips = connections.handshake_rtts * 2;
        self.shared.wait_for_network(self.node.zone, self.zone, trips).await;
        let (idle, idle_tracker) = (connections.idle.duration(), Arc::new(IdleTracker::new()));
        let connection = Arc::new(self);
        let service = service_fn(|request: Request<Incoming>| {
            let (connection, in_use) = (connection.clone(), idle_tracker.clone().begin_request());
            async move {
                let reply =
                    if has_room { connection.answer(request).await } else { Ok(connection_limit_reached()) };
                drop(in_use);
                reply
            }
        });
        let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::pin!(served);
        tokio::select! {
            _ = served.as_mut() => return,
            () = idle_tracker.wait_until_idle_for(idle) => served.as_mut().graceful_shutdown(),
        }
        let _ = served.await; // ends after the request in progress, if any
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Reply {
        let probes = self.shared.topology.scenario.limits.probes;
        let is_probe = request.method() == Method::GET && matches!(request.uri().path(), LIVE | STATS);
        if is_probe {
            return if probes {
                self.answer_health_check(request.uri().path() == STATS).await
            } else {
                Ok(not_found())
            };
        }
        if !request.headers().contains_key(protocol::REQUEST_ID) {
            return Ok(not_found());
        }
        let (head, body) = request.into_parts();
        let Ok(_) = Limited::new(body, BODY_LIMIT).collect().await else {
            return Ok(plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long, or broke off\n"));
        };
        let request_info = match ReceivedRequest::read(&self.shared, &self.node, &head.headers) {
            Ok(request_info) => request_info,
            Err(what) => return Ok(plain(StatusCode::BAD_REQUEST, what)),
        };
        self.shared.counts.arrived(self.shared.clock.now(), self.node.place.tier);
        self.shared.wait_for_network(self.node.zone, self.zone, 1).await;
        let reply = self.run(request_info).await?;
        self.shared.wait_for_network(self.node.zone, self.zone, 1).await;
        Ok(reply)
    }

    async fn answer_health_check(&self, as_body: bool) -> Reply {
        self.shared.wait_for_network(self.node.zone, self.zone, 2).await;
        self.node.probe();
        let report = self.node.report().map(|figures| figures.to_string());
        let body = report.as_deref().filter(|_| as_body).unwrap_or("alive\n").to_owned();
        Ok(with_report(plain(StatusCode::OK, body), report.as_deref()))
    }

    /// Runs a request until it is answered. The request runs in its own task, because the kind of server
    /// decides whether it goes on after its client has disconnected.
    async fn run(self: &Arc<Self>, request_info: ReceivedRequest) -> Reply {
        let breaks = self.shared.draws_reset(&self.node);
        let spec =
            RequestSpec { part: request_info.part, calls: request_info.calls, until: request_info.until };
        let (ticket, events) = self.node.arrive(spec);
        let job = tokio::spawn(Job { connection: self.clone(), request_info, ticket }.run(events));
        let mut cancel_on_drop =
            CancelOnDrop { node: self.node.clone(), ticket: Some(ticket), job: job.abort_handle() };
        if breaks {
            self.reset_on_close.store(true, Ordering::SeqCst);
            return Err(Reset);
        }
        let reply = job.await.unwrap_or(Err(Reset));
        cancel_on_drop.ticket = None;
        reply
    }
}

/// Cancels a request when it is dropped before the response is complete.
struct CancelOnDrop {
    node: Arc<Node>,
    /// `None` once the response is complete.
    ticket: Option<Ticket>,
    job: tokio::task::AbortHandle,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if self.ticket.is_some_and(|ticket| self.node.cancel_request(ticket)) {
            self.job.abort();
        }
    }
}

/// A request as read from its headers.
struct ReceivedRequest {
    id: String,
    class: usize,
    tenant: Option<String>,
    key: Option<String>,
    /// The work of one part, in nanoseconds at speed 1. A call to the next tier separates two parts.
    part: u64,
    calls: u32,
    /// The request's whole work over all tiers, in microseconds.
    work_us: f64,
    /// When the sender's deadline expires, in nanoseconds since the start of the clock.
    until: Option<u64>,
}

impl ReceivedRequest {
    fn read(shared: &Shared, node: &Node, headers: &HeaderMap) -> Result<ReceivedRequest, &'static str> {
        let text = |name| headers.get(name).and_then(|v| v.to_str().ok());
        let id = text(protocol::REQUEST_ID).ok_or("x-request-id: not plain text\n")?.to_owned();
        let class = text(protocol::CLASS).ok_or("x-class: missing\n")?;
        let class = shared.topology.scenario.class_index(class).ok_or("x-class: no such class\n")?;
        let until = match text(protocol::DEADLINE) {
            None => None,
            Some(text) => {
                let left = protocol::deadline(text).ok_or("x-deadline: not a time\n")?;
                Some(shared.clock.now().saturating_add(left.as_nanos() as u64))
            }
        };
        let given = text(protocol::EXTRAS).and_then(|text| protocol::extra(text, protocol::WORK));
        let work = || node.draw(|rng| shared.topology.classes[class].work.draw(rng)) as f64 / 1e3;
        let work_us = given.unwrap_or_else(work);
        let tier = node.place.tier;
        let calls =
            shared.topology.scenario.tier.get(tier + 1).map_or(0, |next| node.round_randomly(next.calls));
        let own = work_us * 1e3 * shared.topology.scenario.tier[tier].work_share;
        let (tenant, key) = (text(protocol::TENANT), text(protocol::KEY));
        Ok(ReceivedRequest {
            id,
            class,
            tenant: tenant.map(str::to_owned),
            key: key.map(str::to_owned),
            part: (own / f64::from(calls + 1)) as u64,
            calls,
            work_us,
            until,
        })
    }
}

/// An admitted request that is being executed.
struct Job {
    connection: Arc<ServerConnection>,
    request_info: ReceivedRequest,
    ticket: Ticket,
}

impl Job {
    async fn run(self, events: EventReceiver) -> Reply {
        let mut incarnation = self.connection.incarnation.clone();
        tokio::select! {
            biased;
            () = incarnation.ended() => Err(Reset),
            reply = self.parts(events) => reply,
        }
    }

    async fn parts(&self, mut events: EventReceiver) -> Reply {
        let node = &self.connection.node;
        for calls_left in (0..=self.request_info.calls).rev() {
            match events.await {
                Ok(RequestEvent::PartDone) => {}
                Ok(RequestEvent::QueueFull | RequestEvent::Draining) => {
                    return Ok(not_run(StatusCode::SERVICE_UNAVAILABLE));
                }
                Ok(RequestEvent::Expired) => return Ok(not_run(StatusCode::GATEWAY_TIMEOUT)),
                Ok(RequestEvent::Error) => return Ok(self.failed()),
                // The machine died, perhaps silently: the client must see nothing until the incarnation ends.
                Err(_) => return std::future::pending().await,
            }
            if calls_left == 0 {
                break;
            }
            if !self.call().await {
                node.finish(self.ticket, false);
                return Ok(self.failed());
            }
            events = node.resume(self.ticket);
        }
        if node.finish(self.ticket, true).is_some() {
            self.connection.shared.record_effect(
                node,
                self.request_info.class,
                self.request_info.key.as_deref(),
            );
        }
        let report = node.report().map(|figures| figures.to_string());
        Ok(with_report(plain(StatusCode::OK, self.request_info.id.clone()), report.as_deref()))
    }

    fn failed(&self) -> Response<Full<Bytes>> {
        let report = self.connection.node.report().map(|figures| figures.to_string());
        with_report(plain(StatusCode::INTERNAL_SERVER_ERROR, "failed\n"), report.as_deref())
    }

    /// Calls the next tier through the sidecar. Returns whether the call was served.
    async fn call(&self) -> bool {
        let shared = &self.connection.shared;
        let class = &shared.topology.scenario.class[self.request_info.class];
        let Some(pool) = shared.sidecar(self.connection.node.place) else { return false };
        let left = match self.request_info.until.filter(|_| shared.topology.scenario.limits.passes_deadline) {
            None => class.deadline.duration(),
            Some(until) => Duration::from_nanos(until.saturating_sub(shared.clock.now())),
        };
        let key = match class.effect {
            Effect::Repeatable => None,
            Effect::ByKey | Effect::Once => Some(self.name("key")),
        };
        let request = self.request(key, left);
        let sent = tokio::time::timeout(left, send(&pool, request)).await;
        sent.unwrap_or(false)
    }

    fn name(&self, what: &str) -> String {
        let number: u64 = self.connection.node.draw(|rng| rng.random());
        format!("{what}-{}-{number:016x}", self.connection.node.name)
    }

    fn request(&self, key: Option<String>, left: Duration) -> Outgoing {
        let class = &self.connection.shared.topology.scenario.class[self.request_info.class];
        let mut request = Request::builder()
            .method(if key.is_none() { Method::GET } else { Method::POST })
            .uri(API)
            .header("host", "api.internal")
            .header(protocol::REQUEST_ID, self.name("call"))
            .header(protocol::CLASS, &class.name)
            .header(protocol::DEADLINE, protocol::deadline_text(left))
            .header(protocol::EXTRAS, format!("{}={:.0}", protocol::WORK, self.request_info.work_us));
        if let Some(tenant) = &self.request_info.tenant {
            request = request.header(protocol::TENANT, tenant);
        }
        if let Some(key) = key {
            request = request.header(protocol::KEY, key);
        }
        request.body(Full::default()).unwrap_or_default() // cannot fail: class names are validated
    }
}

async fn send(pool: &Pool, request: Outgoing) -> bool {
    pool.call(request).await.is_ok_and(|answer| answer.status == StatusCode::OK)
}

fn plain(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

fn not_found() -> Response<Full<Bytes>> {
    plain(StatusCode::NOT_FOUND, "nothing here\n")
}

fn not_run(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = plain(status, "not run\n");
    response.headers_mut().insert(protocol::NOT_RUN, hyper::header::HeaderValue::from_static("1"));
    response
}

/// Returns the response on a connection beyond the server's connection limit.
fn connection_limit_reached() -> Response<Full<Bytes>> {
    let mut response = not_run(StatusCode::SERVICE_UNAVAILABLE);
    response.headers_mut().insert(CONNECTION, hyper::header::HeaderValue::from_static("close"));
    response
}

fn with_report(mut response: Response<Full<Bytes>>, report: Option<&str>) -> Response<Full<Bytes>> {
    if let Some(value) = report.and_then(|text| text.parse().ok()) {
        response.headers_mut().insert(protocol::LOAD, value);
    }
    response
}

/// Tracks whether a connection has a request in progress, and since when it is idle.
struct IdleTracker {
    begin: Instant,
    /// Nanoseconds since `begin`, or `u64::MAX` while a request is in progress.
    idle_since: AtomicU64,
}

/// Marks a connection as in use until it is dropped.
struct InUse(Arc<IdleTracker>);

impl Drop for InUse {
    fn drop(&mut self) {
        let now = self.0.begin.elapsed().as_nanos() as u64;
        self.0.idle_since.store(now, Ordering::Relaxed);
    }
}

impl IdleTracker {
    fn new() -> IdleTracker {
        IdleTracker { begin: Instant::now(), idle_since: AtomicU64::new(0) }
    }

    fn begin_request(self: Arc<IdleTracker>) -> InUse {
        self.idle_since.store(u64::MAX, Ordering::Relaxed);
        InUse(self)
    }

    /// Resolves when the connection has been idle for `time`.
    async fn wait_until_idle_for(&self, time: Duration) {
        loop {
            let since = self.idle_since.load(Ordering::Relaxed);
            let idle = self.begin.elapsed().saturating_sub(Duration::from_nanos(since));
            if since != u64::MAX && idle >= time {
                return;
            }
            tokio::time::sleep((time - idle.min(time)).max(Duration::from_millis(1))).await;
        }
    }
}
