//! A server's connections, and the requests on them.

use super::Shared;
use super::node::{Hears, Life, Node};
use crate::scenario::Effect;
use crate::sockets::client::{Outgoing, Pool};
use crate::sockets::protocol::{self, API, BODY_LIMIT, LIVE, STATS};
use crate::sockets::server::{Ask, Said, Ticket};
use crate::sockets::stream::{Door, Line};
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

/// After a listener failed, for want of descriptors say.
const AGAIN: Duration = Duration::from_millis(20);

/// A connection is to break: the request on it gets no answer.
#[derive(Debug, thiserror::Error)]
#[error("reset")]
struct Reset;

type Reply = Result<Response<Full<Bytes>>, Reset>;

/// Takes connections from one zone until the server's life ends.
pub async fn take(shared: Arc<Shared>, node: Arc<Node>, mut door: Door, zone: usize, mut life: Life) {
    let its = life.clone();
    let serve = async {
        loop {
            match door.accept().await {
                Ok(stream) => {
                    let (shared, node, life) = (shared.clone(), node.clone(), its.clone());
                    let caller = Caller { shared, node, zone, life, abrupt: Arc::default() };
                    tokio::spawn(caller.connected(stream));
                }
                Err(_) => tokio::time::sleep(AGAIN).await,
            }
        }
    };
    tokio::select! {
        biased;
        () = life.ended() => {}
        () = serve => {}
    }
}

/// Whoever is at the other end of a connection.
struct Caller {
    shared: Arc<Shared>,
    node: Arc<Node>,
    zone: usize,
    life: Life,
    /// The connection is to be reset when it ends.
    abrupt: Arc<AtomicBool>,
}

/// Counts as a connection while it lives.
struct Counted(Arc<Node>, Life);

impl Drop for Counted {
    fn drop(&mut self) {
        if !self.1.is_over() {
            self.0.disconnect();
        }
    }
}

impl Caller {
    /// Serves a connection until one side ends it, it has been idle for too long, or the server dies.
    async fn connected(self, stream: TcpStream) {
        let (mut life, abrupt) = (self.life.clone(), self.abrupt.clone());
        let line = Line::new(stream, self.node.silences[self.zone].clone(), abrupt.clone());
        let dies = async {
            life.ended().await;
            abrupt.store(true, Ordering::SeqCst); // before the line is dropped
        };
        tokio::select! {
            biased;
            () = dies => {}
            () = self.connection(line) => {}
        }
    }

    async fn connection(self, line: Line) {
        let counted = self.node.connect().then(|| Counted(self.node.clone(), self.life.clone()));
        let (has_room, connections) =
            (counted.is_some(), self.node.place.kind(&self.shared.topology).connections);
        let trips = connections.handshake_rtts * 2;
        self.shared.travels(self.node.zone, self.zone, trips).await;
        let (idle, use_of) = (connections.idle.duration(), Arc::new(Use::new()));
        let caller = Arc::new(self);
        let service = service_fn(|request: Request<Incoming>| {
            let (caller, in_use) = (caller.clone(), use_of.clone().begins());
            async move {
                let reply = if has_room { caller.answer(request).await } else { Ok(no_room()) };
                drop(in_use);
                reply
            }
        });
        let served = http1::Builder::new().serve_connection(TokioIo::new(line), service);
        tokio::pin!(served);
        tokio::select! {
            _ = served.as_mut() => return,
            () = use_of.idles_for(idle) => served.as_mut().graceful_shutdown(),
        }
        let _ = served.await; // it ends as soon as it is at rest
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Reply {
        let probes = self.shared.topology.scenario.limits.probes;
        let is_probe = request.method() == Method::GET && matches!(request.uri().path(), LIVE | STATS);
        if is_probe {
            return if probes {
                self.probed(request.uri().path() == STATS).await
            } else {
                Ok(nothing_here())
            };
        }
        if !request.headers().contains_key(protocol::REQUEST_ID) {
            return Ok(nothing_here());
        }
        let (head, body) = request.into_parts();
        let Ok(_) = Limited::new(body, BODY_LIMIT).collect().await else {
            return Ok(plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long, or broke off\n"));
        };
        let asked = match Asked::read(&self.shared, &self.node, &head.headers) {
            Ok(asked) => asked,
            Err(what) => return Ok(plain(StatusCode::BAD_REQUEST, what)),
        };
        self.shared.counts.arrived(self.shared.clock.now(), self.node.place.tier);
        self.shared.travels(self.node.zone, self.zone, 1).await;
        let reply = self.run(asked).await?;
        self.shared.travels(self.node.zone, self.zone, 1).await;
        Ok(reply)
    }

    async fn probed(&self, as_body: bool) -> Reply {
        self.shared.travels(self.node.zone, self.zone, 2).await;
        self.node.probe();
        let report = self.node.report().map(|figures| figures.to_string());
        let body = report.as_deref().filter(|_| as_body).unwrap_or("alive\n").to_owned();
        Ok(with_report(plain(StatusCode::OK, body), report.as_deref()))
    }

    /// Runs a request to its answer. The caller may go meanwhile; what becomes of it then is the kind's
    /// affair, so that it runs in a task of its own.
    async fn run(self: &Arc<Self>, asked: Asked) -> Reply {
        let breaks = self.shared.resets(&self.node);
        let ask = Ask { part: asked.part, calls: asked.calls, until: asked.until };
        let (ticket, hears) = self.node.arrive(ask);
        let job = tokio::spawn(Job { caller: self.clone(), asked, ticket }.run(hears));
        let mut waits = Waits { node: self.node.clone(), ticket: Some(ticket), job: job.abort_handle() };
        if breaks {
            self.abrupt.store(true, Ordering::SeqCst);
            return Err(Reset);
        }
        let reply = job.await.unwrap_or(Err(Reset));
        waits.ticket = None;
        reply
    }
}

/// Calls a request off when nobody waits for its answer any more.
struct Waits {
    node: Arc<Node>,
    /// None once it has its answer.
    ticket: Option<Ticket>,
    job: tokio::task::AbortHandle,
}

impl Drop for Waits {
    fn drop(&mut self) {
        if self.ticket.is_some_and(|ticket| self.node.call_off(ticket)) {
            self.job.abort();
        }
    }
}

/// What a request asks for.
struct Asked {
    id: String,
    class: usize,
    tenant: Option<String>,
    key: Option<String>,
    /// Work of one part, in nanoseconds at speed 1, and calls to the next tier between two parts each.
    part: u64,
    calls: u32,
    /// Its whole work over all tiers, in microseconds.
    work_us: f64,
    /// When its sender stops waiting, since the start.
    until: Option<u64>,
}

impl Asked {
    fn read(shared: &Shared, node: &Node, headers: &HeaderMap) -> Result<Asked, &'static str> {
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
        let work = || node.draw(|chance| shared.topology.classes[class].work.draw(chance)) as f64 / 1e3;
        let work_us = given.unwrap_or_else(work);
        let tier = node.place.tier;
        let calls = shared.topology.scenario.tier.get(tier + 1).map_or(0, |next| node.around(next.calls));
        let own = work_us * 1e3 * shared.topology.scenario.tier[tier].work_share;
        let (tenant, key) = (text(protocol::TENANT), text(protocol::KEY));
        Ok(Asked {
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

/// A request in work.
struct Job {
    caller: Arc<Caller>,
    asked: Asked,
    ticket: Ticket,
}

impl Job {
    async fn run(self, hears: Hears) -> Reply {
        let mut life = self.caller.life.clone();
        tokio::select! {
            biased;
            () = life.ended() => Err(Reset),
            reply = self.parts(hears) => reply,
        }
    }

    async fn parts(&self, mut hears: Hears) -> Reply {
        let node = &self.caller.node;
        for calls_left in (0..=self.asked.calls).rev() {
            match hears.await {
                Ok(Said::Ran) => {}
                Ok(Said::Full | Said::Draining) => return Ok(not_run(StatusCode::SERVICE_UNAVAILABLE)),
                Ok(Said::Over) => return Ok(not_run(StatusCode::GATEWAY_TIMEOUT)),
                Ok(Said::Error) => return Ok(self.failed()),
                // The machine died, and perhaps without a word: nobody hears of it before its life ends.
                Err(_) => return std::future::pending().await,
            }
            if calls_left == 0 {
                break;
            }
            if !self.call().await {
                node.leave(self.ticket, false);
                return Ok(self.failed());
            }
            hears = node.goes_on(self.ticket);
        }
        if node.leave(self.ticket, true).is_some() {
            self.caller.shared.took_place(node, self.asked.class, self.asked.key.as_deref());
        }
        let report = node.report().map(|figures| figures.to_string());
        Ok(with_report(plain(StatusCode::OK, self.asked.id.clone()), report.as_deref()))
    }

    fn failed(&self) -> Response<Full<Bytes>> {
        let report = self.caller.node.report().map(|figures| figures.to_string());
        with_report(plain(StatusCode::INTERNAL_SERVER_ERROR, "failed\n"), report.as_deref())
    }

    /// Calls the next tier, through the proxy beside this server. Whether it was served.
    async fn call(&self) -> bool {
        let shared = &self.caller.shared;
        let class = &shared.topology.scenario.class[self.asked.class];
        let Some(pool) = shared.sidecar(self.caller.node.place) else { return false };
        let left = match self.asked.until.filter(|_| shared.topology.scenario.limits.passes_deadline) {
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
        let number: u64 = self.caller.node.draw(|chance| chance.random());
        format!("{what}-{}-{number:016x}", self.caller.node.name)
    }

    fn request(&self, key: Option<String>, left: Duration) -> Outgoing {
        let class = &self.caller.shared.topology.scenario.class[self.asked.class];
        let mut request = Request::builder()
            .method(if key.is_none() { Method::GET } else { Method::POST })
            .uri(API)
            .header("host", "api.internal")
            .header(protocol::REQUEST_ID, self.name("call"))
            .header(protocol::CLASS, &class.name)
            .header(protocol::DEADLINE, protocol::deadline_text(left))
            .header(protocol::EXTRAS, format!("{}={:.0}", protocol::WORK, self.asked.work_us));
        if let Some(tenant) = &self.asked.tenant {
            request = request.header(protocol::TENANT, tenant);
        }
        if let Some(key) = key {
            request = request.header(protocol::KEY, key);
        }
        request.body(Full::default()).unwrap_or_default() // of plain texts; names of classes are checked
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

fn nothing_here() -> Response<Full<Bytes>> {
    plain(StatusCode::NOT_FOUND, "nothing here\n")
}

fn not_run(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = plain(status, "not run\n");
    response.headers_mut().insert(protocol::NOT_RUN, hyper::header::HeaderValue::from_static("1"));
    response
}

/// The answer on a connection that is one too many.
fn no_room() -> Response<Full<Bytes>> {
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

/// Whether a connection has a request, and since when it has none.
struct Use {
    begin: Instant,
    /// Nanoseconds since the begin; `u64::MAX` while it has one.
    idle_since: AtomicU64,
}

/// A request on a connection.
struct InUse(Arc<Use>);

impl Drop for InUse {
    fn drop(&mut self) {
        let now = self.0.begin.elapsed().as_nanos() as u64;
        self.0.idle_since.store(now, Ordering::Relaxed);
    }
}

impl Use {
    fn new() -> Use {
        Use { begin: Instant::now(), idle_since: AtomicU64::new(0) }
    }

    fn begins(self: Arc<Use>) -> InUse {
        self.idle_since.store(u64::MAX, Ordering::Relaxed);
        InUse(self)
    }

    /// Resolves when it has been idle for this long.
    async fn idles_for(&self, time: Duration) {
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
