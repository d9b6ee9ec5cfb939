//! The clients' listener: accepts connections, speaks HTTP on them, and takes each request through the stages.
//!
//! `cli.rs` and `sidecar` start one [`serve`] a listener, which runs until its task is aborted. [`AcceptControl`] is the
//! handle by which `shutdown.rs` and `upgrade.rs` steer it. The states, timeouts and evictions of connections are
//! `clients.rs`'s; how an endpoint is chosen and called is the stages'.

use crate::accept::{Accept, Acceptor};
use crate::bodies::{BodyMemoryLimit, ResponseBody};
use crate::call::{AnswerBody, Body, Call, Verdict};
use crate::clients::{Client, Clients, Connection, RequestBody, Stream};
use crate::config::Sockets;
use crate::latency::LatencyEstimate;
use crate::platform::client;
use crate::stages::admission::{self, NotAdmitted};
use crate::stages::cluster_selection::Routes;
use crate::stages::{parse, response};
use crate::stats::{ActiveRequest, RequestResult, Stats};
use actix_http::error::DispatchError;
use actix_http::{ConnectionType, Extensions, HttpService, KeepAlive, Request, Response};
use actix_service::{IntoServiceFactory, Service, ServiceFactory, fn_service};
use olivecart_settings::Site;
use slog::{Logger, debug, warn};
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

/// Connections over the clients' share that are accepted while others are being evicted for them.
const CONNECTIONS_OVER_SHARE: usize = 16;
/// Longest wait for an evicted connection to end before another is evicted.
const EVICTION_WAIT: Duration = Duration::from_millis(5);
/// How often the timeouts of connections are enforced.
pub const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// What a listener is made of.
pub struct ListenerParts {
    /// Where requests may go.
    pub routes: Rc<Routes>,
    /// The names that requests may use.
    pub site: Rc<RefCell<Site>>,
    /// Where the listener logs.
    pub log: Logger,
    /// The shares of the descriptors.
    pub sockets: Sockets,
    /// The memory for long bodies.
    pub budget: Rc<BodyMemoryLimit>,
    /// The figures, where anybody reads them.
    pub stats: Option<Arc<Stats>>,
}

/// Controls whether a listener accepts connections and requests, and knows what is open on it.
pub struct AcceptControl {
    routes: Rc<Routes>,
    site: Rc<RefCell<Site>>,
    log: Logger,
    sockets: Cell<Sockets>,
    clients: Rc<Clients>,
    /// When the last request was put to a cluster.
    last_request_at: Cell<Instant>,
    /// Of requests that were served, from then on.
    latency: Cell<LatencyEstimate>,
    /// Once a shutdown has begun: by when all requests must be answered.
    answer_by: Cell<Option<Instant>>,
    /// Responses are the last on their connections.
    closing: Cell<bool>,
    /// Connections are accepted, and not left to another process.
    accepting: watch::Sender<bool>,
    budget: Rc<BodyMemoryLimit>,
    stats: Option<Arc<Stats>>,
}

impl AcceptControl {
    /// Accepts connections and requests.
    pub fn new(parts: ListenerParts) -> AcceptControl {
        AcceptControl {
            routes: parts.routes,
            site: parts.site,
            log: parts.log,
            sockets: Cell::new(parts.sockets),
            clients: Rc::default(),
            last_request_at: Cell::new(Instant::now()),
            latency: Cell::default(),
            answer_by: Cell::new(None),
            closing: Cell::new(false),
            accepting: watch::channel(true).0,
            budget: parts.budget,
            stats: parts.stats,
        }
    }

    /// Waits until there are descriptors for one more connection, evicting others. Danger: they run out, and with them
    /// the way to the endpoints; or clients that send nothing keep out those that do. Only where all have a request in
    /// flight does a new connection wait in the listener's queue.
    async fn make_room(&self) {
        while self.clients.open() >= self.sockets.get().clients + CONNECTIONS_OVER_SHARE {
            self.clients.make_room();
            let _ = timeout(EVICTION_WAIT, self.clients.wait_for_closed_connection()).await;
        }
        if self.clients.open() >= self.sockets.get().clients {
            self.clients.make_room();
        }
    }

    /// Other shares of the descriptors hold from now on.
    pub fn set_limits(&self, sockets: Sockets) {
        self.sockets.set(sockets);
    }

    /// Is not ready any more; requests that still come are answered by then.
    pub fn begin_shutdown(&self, answer_by: Instant) {
        self.answer_by.set(Some(answer_by));
    }

    /// Clients with an idle connection may find no other proxy from now on: see [`Clients::protect_idle`].
    pub fn protect_idle(&self) {
        self.clients.protect_idle();
    }

    /// Whether requests are welcome: there is an endpoint to send them to, and no shutdown has begun.
    pub fn is_ready(&self) -> bool {
        self.routes.any_takes_requests() && self.answer_by.get().is_none()
    }

    /// Responses carry `Connection: close` from now on, and idle connections are closed, each after a last look for a
    /// request on it. Danger: the HTTP library's own graceful shutdown drops a request that it has just read.
    pub fn close_connections(&self) {
        self.closing.set(true);
        self.close_idle();
    }

    /// Accepts connections from now on; or leaves them to the process that serves in this one's place, and responds
    /// with `Connection: close`.
    pub fn set_accepting(&self, accepting: bool) {
        self.accepting.send_replace(accepting);
    }

    /// Closes idle connections from now on, each after a last look for a request on it.
    pub fn close_idle(&self) {
        self.clients.close_idle();
    }

    /// When the last request came.
    pub fn last_request_at(&self) -> Instant {
        self.last_request_at.get()
    }

    /// What nearly all responses take at most, if there were any.
    pub fn latency(&self) -> Option<Duration> {
        self.latency.get().upper_bound()
    }

    /// Connections that are open.
    pub fn connections(&self) -> usize {
        self.clients.open()
    }

    /// Those of them with a request in flight.
    pub fn in_flight(&self) -> usize {
        self.clients.in_flight()
    }
}

/// Listens on the one address that the configuration names; with others, if it is `shared`.
pub fn bind(on: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    let socket = if on.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?; // a restart takes the address over from connections in TIME_WAIT
    if shared {
        socket.set_reuseport(true)?;
    }
    socket.bind(on)?;
    socket.listen(BACKLOG)
}

/// Accepts connections until the task is aborted.
pub async fn serve<L>(listener: L, control: Rc<AcceptControl>)
where
    L: Accept<Connection = (TcpStream, SocketAddr)>,
{
    let service = match http_service(&control).await {
        Ok(service) => Rc::new(service),
        Err(NoHttpService) => return warn!(control.log, "the HTTP service did not start"),
    };
    actix_rt::spawn(enforce_timeouts(control.clients.clone()));
    let mut acceptor = Acceptor::new(listener, "clients", control.log.clone());
    let mut accepting = control.accepting.subscribe();
    loop {
        if accepting.wait_for(|accepting| *accepting).await.is_err() {
            return; // the control is gone
        }
        control.make_room().await;
        let (stream, peer) = tokio::select! {
            biased;
            _ = accepting.wait_for(|accepting| !*accepting) => continue,
            accepted = acceptor.accept(|| control.clients.make_room()) => accepted,
        };
        let _ = stream.set_nodelay(true); // its loss costs time only
        let connection = Rc::new(Connection::new(stream, control.clients.register()));
        actix_rt::spawn(serve_connection(service.clone(), control.clone(), connection, peer));
    }
}

/// The HTTP library made no service.
struct NoHttpService;

/// A connection and its client's address, as the HTTP library takes them.
type Accepted = (Stream, Option<SocketAddr>);

/// What speaks HTTP on connections. Timeouts are enforced in `clients.rs`: actix-http has one for the head of a first
/// request only. The close is `clients/stream.rs`'s: actix-http drops a connection after what is no request, unread
/// bytes or not, and elsewhere reads on for its disconnect timeout without shutting its side.
async fn http_service(
    control: &Rc<AcceptControl>,
) -> Result<impl Service<Accepted, Response = (), Error = DispatchError> + 'static, NoHttpService> {
    let control = control.clone();
    let service = HttpService::build()
        .keep_alive(KeepAlive::Os)
        .client_request_timeout(Duration::ZERO)
        .client_disconnect_timeout(Duration::ZERO)
        .on_connect_ext(|io: &Stream, data: &mut Extensions| _ = data.insert(io.0.client().clone()))
        .h1(fn_service(move |request: Request| handle(control.clone(), request)).into_factory());
    service.new_service(()).await.map_err(|()| NoHttpService)
}

/// Serves one connection to the end of its close.
async fn serve_connection(
    service: Rc<impl Service<Accepted, Response = (), Error = DispatchError>>,
    control: Rc<AcceptControl>,
    connection: Rc<Connection>,
    peer: SocketAddr,
) {
    let client = connection.client().clone();
    let serving = service.call((Stream(connection.clone()), Some(peer)));
    if let Err(e) = connection.serve(serving).await {
        debug!(control.log, "connection ended"; "peer" => %peer, "error" => %e);
    }
    connection.close().await;
    drop(connection); // its descriptor is free before it counts as such
    control.clients.unregister(&client);
}

async fn enforce_timeouts(clients: Rc<Clients>) {
    let mut every = tokio::time::interval(TIMEOUT_CHECK_INTERVAL);
    loop {
        every.tick().await;
        clients.expire();
    }
}

async fn handle(control: Rc<AcceptControl>, request: Request) -> Result<Response<AnswerBody>, Infallible> {
    let Some(client) = request.conn_data::<Rc<Client>>().cloned() else {
        return Ok(client::buffered(client::refusal(Duration::ZERO))); // on_connect_ext leaves none without
    };
    if client.is_ending() {
        // It was sent behind the request that the last response is for: its client can't take this for another's.
        return Ok(client::buffered(client::overloaded()));
    }
    let response = match request.path() {
        client::READY => Ok(client::buffered(client::health(control.is_ready()))),
        client::LIVE => Ok(client::buffered(client::health(true))),
        _ => take_request(&control, request, &client).await,
    };
    match response {
        Ok(mut response) => {
            if control.closing.get() || !*control.accepting.borrow() || client.is_ending() {
                response.head_mut().set_connection_type(ConnectionType::Close);
            }
            if response.head().connection_type() == ConnectionType::Close {
                client.end_after_response();
            }
            let in_flight = InFlight(client); // until the last byte of a long response
            Ok(keep_until_sent(response, in_flight))
        }
        Err(reject) => {
            client.on_request_rejected();
            Ok(client::buffered(client::rejection(&reject)))
        }
    }
}

async fn take_request(
    control: &AcceptControl,
    request: Request,
    client: &Rc<Client>,
) -> Result<Response<AnswerBody>, client::Reject> {
    client.on_head_received();
    let call = parse::parse(request, &control.site, &control.budget).await?;
    let taken = control.stats.as_ref().map(|stats| stats.count_request(usize::from(call.class.0)));
    let answer = call_cluster(control, client, call).await?;
    Ok(match taken {
        None => answer,
        Some(taken) => count_response(answer, taken),
    })
}

/// Counts a request by its response, once the whole of that was sent.
fn count_response(answer: Response<AnswerBody>, mut taken: ActiveRequest) -> Response<AnswerBody> {
    let ended = match answer.status().as_u16() {
        200 => RequestResult::Ok,
        429 | 503 => RequestResult::Shed,
        _ => RequestResult::Error,
    };
    with_body(answer, |download| match download {
        None => taken.set_result(ended),
        Some(download) => download.when_ended(move |whole| {
            taken.set_result(if whole { ended } else { RequestResult::Error });
        }),
    })
}

/// Keeps something until the last byte of the response, if that is streamed, or until now.
fn keep_until_sent(answer: Response<AnswerBody>, what: impl Any) -> Response<AnswerBody> {
    with_body(answer, |download| {
        if let Some(download) = download {
            download.keep(what);
        }
    })
}

/// Does something with the body of a response, if it is streamed, or with none.
fn with_body(
    response: Response<AnswerBody>,
    action: impl FnOnce(Option<&mut ResponseBody>),
) -> Response<AnswerBody> {
    response.map_body(|_, mut body| {
        match &mut body {
            AnswerBody::Whole(_) => action(None),
            AnswerBody::Streamed(download) => action(Some(download)),
        }
        body
    })
}

/// A client's request is in flight while it lives.
struct InFlight(Rc<Client>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.on_response_sent();
    }
}

/// Puts a call to its cluster, and has its response.
async fn call_cluster(
    control: &AcceptControl,
    client: &Rc<Client>,
    mut call: Call,
) -> Result<Response<AnswerBody>, client::Reject> {
    // Danger: a shutdown that ends before the response, which is then lost.
    call.deadline = control.answer_by.get().map_or(call.deadline, |by| call.deadline.min(by));
    client.on_request_taken(match call.payload.body {
        Body::Whole { .. } => RequestBody::Complete,
        Body::Streamed(_) => RequestBody::Streaming,
    });
    if control.clients.in_flight() > control.sockets.get().clients {
        return Ok(client::buffered(client::overloaded()));
    }
    if client.has_closed() {
        return Ok(client::answer(Verdict::Failed)); // nobody reads it
    }
    let context = match control.routes.choose(|| client::traits(&call)) {
        Ok(context) => context,
        Err(absent) => return Ok(client::buffered(client::absent(&absent))),
    };
    let mut held = match admission::admit(&context, call) {
        Ok(held) => held,
        Err(NotAdmitted::Full) => return Ok(client::buffered(client::overloaded())),
        Err(NotAdmitted::AllOut) => return Ok(client::buffered(client::refusal(Duration::ZERO))),
        Err(NotAdmitted::Twice) => return Err(client::Reject::Open),
    };
    let taken_at = Instant::now();
    control.last_request_at.set(taken_at);
    let verdict = response::wait(&mut held, client.wait_for_close()).await;
    if let Some(Verdict::Served(_)) = &verdict {
        let mut latency = control.latency.get();
        latency.observe(taken_at.elapsed());
        control.latency.set(latency);
    }
    // Nobody reads the answer to a client that has gone.
    let answer = client::answer(verdict.unwrap_or(Verdict::Failed));
    Ok(keep_until_sent(answer, held))
}
