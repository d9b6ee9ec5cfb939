//! The clients' side: accepts connections, speaks HTTP on them, and takes each request through the stages.

use crate::accept::{Accept, Acceptor};
use crate::bodies::{Budget, Download};
use crate::call::{AnswerBody, Body, Call, Verdict};
use crate::clients::{Client, Clients, Connection, Stream};
use crate::config::Sockets;
use crate::latency::LatencyEstimate;
use crate::platform::client;
use crate::stages::admit::{self, NotAdmitted};
use crate::stages::choose::Routes;
use crate::stages::{intake, relay};
use crate::stats::{Ended, Stats, Taken};
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

/// Connections over the clients' share that are accepted while others are being cut off for them.
const OVER_SHARE: usize = 16;
/// Longest wait for such a one to end before another is chosen.
const ANOTHER: Duration = Duration::from_millis(5);
/// How often it is seen whose time is up.
pub const TIMEOUTS: Duration = Duration::from_millis(100);
/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// What the listener and the shut-down share.
pub struct Gate {
    routes: Rc<Routes>,
    site: Rc<RefCell<Site>>,
    log: Logger,
    sockets: Cell<Sockets>,
    clients: Rc<Clients>,
    /// When the last request was put to a cluster.
    last_taken: Cell<Instant>,
    /// Of requests that were served, from then on.
    latency: Cell<LatencyEstimate>,
    /// Once an end is planned: by when all must be answered.
    leaving: Cell<Option<Instant>>,
    /// Answers are the last on their connections.
    closing: Cell<bool>,
    /// Connections are accepted, and not left to another process.
    accepting: watch::Sender<bool>,
    /// The memory for long bodies.
    budget: Rc<Budget>,
    /// The figures, where anybody reads them.
    stats: Option<Arc<Stats>>,
}

impl Gate {
    /// An open gate. `site` has the names that requests may use.
    pub fn new(
        routes: Rc<Routes>,
        site: Rc<RefCell<Site>>,
        log: Logger,
        sockets: Sockets,
        budget: Rc<Budget>,
        stats: Option<Arc<Stats>>,
    ) -> Gate {
        let (clients, last_taken, latency) = (Rc::default(), Cell::new(Instant::now()), Cell::default());
        let (closing, accepting, leaving) = (Cell::new(false), watch::channel(true).0, Cell::new(None));
        let sockets = Cell::new(sockets);
        Gate {
            routes,
            site,
            log,
            sockets,
            clients,
            last_taken,
            latency,
            leaving,
            closing,
            accepting,
            budget,
            stats,
        }
    }

    /// Sees to it that there are descriptors for one more connection. Danger: they run out, and with them
    /// the way to the backends; or clients that send nothing keep out those that do. Only where all have a
    /// request in flight must who comes now wait in the listener's queue.
    async fn make_room(&self) {
        while self.clients.open() >= self.sockets.get().clients + OVER_SHARE {
            self.clients.make_room();
            let _ = timeout(ANOTHER, self.clients.one_leaves()).await;
        }
        if self.clients.open() >= self.sockets.get().clients {
            self.clients.make_room();
        }
    }

    /// Other shares of the descriptors hold from now on.
    pub fn adopt(&self, sockets: Sockets) {
        self.sockets.set(sockets);
    }

    /// No longer says that it is ready; what still comes is answered by then.
    pub fn leave(&self, by: Instant) {
        self.leaving.set(Some(by));
    }

    /// Clients that lie idle here may find nobody else from now on: see [`Clients::hold_idle`].
    pub fn hold_idle(&self) {
        self.clients.hold_idle();
    }

    /// Whether requests are welcome: there is somebody to send them to, and no end is planned.
    pub fn is_ready(&self) -> bool {
        self.routes.any_takes_requests() && self.leaving.get().is_none()
    }

    /// Answers carry `Connection: close` from now on, and idle connections are closed, each after a last look for a
    /// request on it. Danger: the HTTP library's own graceful shutdown drops a request that it has just read.
    pub fn close(&self) {
        self.closing.set(true);
        self.retire();
    }

    /// Accepts connections from now on; or leaves them to the process that serves in this one's place, and answers
    /// with `Connection: close`.
    pub fn accept(&self, on: bool) {
        self.accepting.send_replace(on);
    }

    /// Closes idle connections from now on, each after a last look for a request on it.
    pub fn retire(&self) {
        self.clients.retire();
    }

    /// When the last request came.
    pub fn last_taken(&self) -> Instant {
        self.last_taken.get()
    }

    /// What nearly all answers take at most, if there were any.
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
    socket.set_reuseaddr(true)?; // a restart takes the address over from connections that linger
    if shared {
        socket.set_reuseport(true)?;
    }
    socket.bind(on)?;
    socket.listen(BACKLOG)
}

/// Accepts connections for good.
pub async fn serve<L>(listener: L, gate: Rc<Gate>)
where
    L: Accept<Connection = (TcpStream, SocketAddr)>,
{
    let mut acceptor = Acceptor::new(listener, "clients", gate.log.clone());
    let handler_gate = gate.clone();
    let mut accepting = gate.accepting.subscribe();
    // Timeouts are enforced in clients.rs: actix-http has one for the head of a first request only. The close is
    // clients/stream.rs's: actix-http drops a connection after what is no request, unread bytes or not, and elsewhere
    // reads on for its disconnect timeout without shutting its side.
    let service = HttpService::build()
        .keep_alive(KeepAlive::Os)
        .client_request_timeout(Duration::ZERO)
        .client_disconnect_timeout(Duration::ZERO)
        .on_connect_ext(|io: &Stream, data: &mut Extensions| _ = data.insert(io.0.client().clone()))
        .h1(fn_service(move |request: Request| handle(handler_gate.clone(), request)).into_factory());
    let Ok(service) = service.new_service(()).await else {
        return warn!(gate.log, "the HTTP service did not start");
    };
    let service = Rc::new(service);
    actix_rt::spawn(enforce_timeouts(gate.clients.clone()));
    loop {
        if accepting.wait_for(|accepting| *accepting).await.is_err() {
            return; // the gate is gone
        }
        gate.make_room().await;
        let (stream, peer) = tokio::select! {
            biased;
            _ = accepting.wait_for(|accepting| !*accepting) => continue,
            accepted = acceptor.accept(|| gate.clients.make_room()) => accepted,
        };
        let client = gate.clients.enter();
        let _ = stream.set_nodelay(true);
        let connection = Rc::new(Connection::new(stream, client.clone()));
        let (service, gate) = (service.clone(), gate.clone());
        actix_rt::spawn(async move {
            let serving = service.call((Stream(connection.clone()), Some(peer)));
            if let Err(e) = connection.serve(serving).await {
                debug!(gate.log, "connection ended"; "peer" => %peer, "error" => %e);
            }
            connection.close().await;
            drop(connection); // its descriptor is free before it counts as such
            gate.clients.leave(&client);
        });
    }
}

async fn enforce_timeouts(clients: Rc<Clients>) {
    let mut every = tokio::time::interval(TIMEOUTS);
    loop {
        every.tick().await;
        clients.expire();
    }
}

async fn handle(gate: Rc<Gate>, request: Request) -> Result<Response<AnswerBody>, Infallible> {
    let Some(client) = request.conn_data::<Rc<Client>>().cloned() else {
        return Ok(client::held(client::refusal(Duration::ZERO))); // on_connect_ext leaves none without
    };
    if client.is_ending() {
        // What was sent behind the request that the last answer is for: its client can't take this for another's.
        return Ok(client::held(client::crowded()));
    }
    let response = match request.path() {
        client::READY => Ok(client::held(client::health(gate.is_ready()))),
        client::LIVE => Ok(client::held(client::health(true))),
        _ => through_the_stages(&gate, request, &client).await,
    };
    match response {
        Ok(mut response) => {
            if gate.closing.get() || !*gate.accepting.borrow() || client.is_ending() {
                response.head_mut().set_connection_type(ConnectionType::Close);
            }
            if response.head().connection_type() == ConnectionType::Close {
                client.last_answer();
            }
            let in_flight = InFlight(client); // until the last byte of a long answer
            Ok(kept_open(response, in_flight))
        }
        Err(reject) => {
            client.turned_away();
            Ok(client::held(client::rejection(&reject)))
        }
    }
}

async fn through_the_stages(
    gate: &Gate,
    request: Request,
    client: &Rc<Client>,
) -> Result<Response<AnswerBody>, client::Reject> {
    client.uploads();
    let call = intake::take(request, &gate.site, &gate.budget).await?;
    let taken = gate.stats.as_ref().map(|stats| stats.take(usize::from(call.class.0)));
    let answer = put(gate, client, call).await?;
    Ok(match taken {
        None => answer,
        Some(taken) => count(answer, taken),
    })
}

/// Counts a request by its answer, once the whole of it went on.
fn count(answer: Response<AnswerBody>, mut taken: Taken) -> Response<AnswerBody> {
    let ended = match answer.status().as_u16() {
        200 => Ended::Ok,
        429 | 503 => Ended::Shed,
        _ => Ended::Error,
    };
    with_body(answer, |download| match download {
        None => taken.ends(ended),
        Some(download) => download.when_ended(move |whole| {
            taken.ends(if whole { ended } else { Ended::Error });
        }),
    })
}

/// Keeps something until the last byte of the answer, if that is streamed, or until now.
fn kept_open(answer: Response<AnswerBody>, what: impl Any) -> Response<AnswerBody> {
    with_body(answer, |download| {
        if let Some(download) = download {
            download.keep(what);
        }
    })
}

/// Does something with the body of an answer, if it is streamed, or with none.
fn with_body(
    response: Response<AnswerBody>,
    does: impl FnOnce(Option<&mut Download>),
) -> Response<AnswerBody> {
    response.map_body(|_, mut body| {
        match &mut body {
            AnswerBody::Whole(_) => does(None),
            AnswerBody::Streamed(download) => does(Some(download)),
        }
        body
    })
}

/// A client's request is in flight while it lives.
struct InFlight(Rc<Client>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.idles();
    }
}

/// Puts a call to its cluster, and has the answer.
async fn put(
    gate: &Gate,
    client: &Rc<Client>,
    mut call: Call,
) -> Result<Response<AnswerBody>, client::Reject> {
    // Danger: an end that comes before the answer, which is then lost.
    call.deadline = gate.leaving.get().map_or(call.deadline, |by| call.deadline.min(by));
    client.in_flight(matches!(call.payload.body, Body::Whole { .. }));
    if gate.clients.in_flight() > gate.sockets.get().clients {
        return Ok(client::held(client::crowded()));
    }
    if client.has_gone() {
        return Ok(client::answer(Verdict::Failed)); // nobody reads it
    }
    let context = match gate.routes.choose(|| client::traits(&call)) {
        Ok(context) => context,
        Err(absent) => return Ok(client::held(client::absent(&absent))),
    };
    let mut held = match admit::admit(&context, call) {
        Ok(held) => held,
        Err(NotAdmitted::Full) => return Ok(client::held(client::crowded())),
        Err(NotAdmitted::AllOut) => return Ok(client::held(client::refusal(Duration::ZERO))),
        Err(NotAdmitted::Twice) => return Err(client::Reject::Open),
    };
    let taken = Instant::now();
    gate.last_taken.set(taken);
    let verdict = relay::relay(&mut held, client.gone()).await;
    if let Some(Verdict::Served(_)) = &verdict {
        let mut latency = gate.latency.get();
        latency.observe(taken.elapsed());
        gate.latency.set(latency);
    }
    // Nobody reads the answer to a client that has gone.
    let answer = client::answer(verdict.unwrap_or(Verdict::Failed));
    Ok(kept_open(answer, held))
}
