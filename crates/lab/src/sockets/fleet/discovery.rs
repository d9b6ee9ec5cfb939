//! Discovery on sockets: one service for all tiers, with a list of its own for each.

use crate::scenario::Scenario;
use crate::sockets::clock::{Alarm, Clock};
use crate::sockets::held;
use crate::sockets::protocol::{Document, LIST, WATCH_PERIOD};
use crate::sockets::registry::{Desk, Entry, Registry};
use crate::sockets::stream::{Door, Line, Silence};
use bytes::Bytes;
use futures_util::stream::unfold;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// The zone where it lives, as in the model.
pub const LIVES_IN: usize = 0;
/// After a listener failed.
const AGAIN: Duration = Duration::from_millis(20);

/// A watch ends with discovery.
#[derive(Debug, thiserror::Error)]
#[error("discovery goes down")]
struct GoesDown;

type Body = UnsyncBoxBody<Bytes, GoesDown>;

/// The service.
pub struct Discovery {
    clock: Clock,
    alarm: Arc<Alarm>,
    boards: Vec<Board>,
    desk: Mutex<Desk>,
    down: watch::Sender<bool>,
    patience: Duration,
    /// Whether it is silent, as seen from each zone.
    pub silences: Vec<Arc<Silence>>,
}

/// The list of one tier.
struct Board {
    registry: Mutex<Registry>,
    version: watch::Sender<u64>,
}

impl Discovery {
    /// A service with a first list for each tier.
    pub fn new(
        (clock, alarm): (Clock, Arc<Alarm>),
        lists: Vec<Vec<Entry>>,
        scenario: &Scenario,
    ) -> Arc<Discovery> {
        let of = &scenario.discovery;
        let board = |list| {
            let registry = Registry::new(of.lag.nanos(), list);
            Board { version: watch::channel(registry.version()).0, registry: Mutex::new(registry) }
        };
        let silences = scenario.zones.iter().map(|_| Arc::default()).collect();
        Arc::new(Discovery {
            clock,
            alarm,
            boards: lists.into_iter().map(board).collect(),
            desk: Mutex::new(Desk::new(of.calls_per_s, of.timeout.nanos())),
            down: watch::channel(false).0,
            patience: of.timeout.duration(),
            silences,
        })
    }

    /// The whole list of a tier as it stands.
    pub fn list(&self, tier: usize, zone: usize) -> Document {
        held(&self.boards[tier].registry).full(zone)
    }

    /// Something of a tier has changed; it is told once the lag has passed.
    pub fn report(self: &Arc<Discovery>, tier: usize, entry: Entry) {
        let now = self.clock.now();
        held(&self.boards[tier].registry).report(now, entry);
        self.hear(tier, now);
    }

    /// It hears nothing new from now on, or hears again.
    pub fn deaf(self: &Arc<Discovery>, on: bool) {
        for tier in 0..self.boards.len() {
            held(&self.boards[tier].registry).deaf(on);
            self.hear(tier, self.clock.now());
        }
    }

    /// It goes down with all watches, or comes back.
    pub fn down(&self, on: bool) {
        self.down.send_replace(on);
    }

    fn is_down(&self) -> bool {
        *self.down.borrow()
    }

    /// Takes in what it has heard of by now, and comes back for the rest.
    fn hear(self: &Arc<Discovery>, tier: usize, now: u64) {
        let Some(due) = advance(&self.boards[tier], now) else { return };
        let this = Arc::downgrade(self);
        self.alarm.at(self.clock.instant(due), move || {
            if let Some(discovery) = this.upgrade() {
                discovery.hear(tier, due);
            }
        });
    }

    /// Serves a door until this is dropped, and with it all connections.
    pub async fn take(self: Arc<Discovery>, mut door: Door, tier: usize, zone: usize) {
        let mut connections = JoinSet::new();
        loop {
            while connections.try_join_next().is_some() {}
            match door.accept().await {
                Ok(stream) => _ = connections.spawn(self.clone().connected(stream, tier, zone)),
                Err(_) => tokio::time::sleep(AGAIN).await,
            }
        }
    }

    async fn connected(self: Arc<Discovery>, stream: TcpStream, tier: usize, zone: usize) {
        let line = Line::new(stream, self.silences[zone].clone(), Arc::default());
        let service = service_fn(|request: Request<Incoming>| {
            let discovery = self.clone();
            async move { Ok::<_, Infallible>(discovery.answer(&request, tier, zone).await) }
        });
        let _ = http1::Builder::new().serve_connection(TokioIo::new(line), service).await; // it has ended
    }

    async fn answer(
        self: &Arc<Discovery>,
        request: &Request<Incoming>,
        tier: usize,
        zone: usize,
    ) -> Response<Body> {
        if request.uri().path() != LIST {
            return plain(StatusCode::NOT_FOUND, "nothing here\n".into());
        }
        let turn = held(&self.desk).call(self.clock.now());
        match turn {
            Some(at) => self.alarm.until(self.clock.instant(at)).await,
            None => tokio::time::sleep(self.patience).await,
        }
        if turn.is_none() || self.is_down() {
            return plain(StatusCode::SERVICE_UNAVAILABLE, "discovery cannot answer\n".into());
        }
        let query = request.uri().query().unwrap_or_default();
        let value = |name: &str| query.split('&').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name);
        if value("watch").is_some_and(|(_, on)| on == "1") {
            let after = value("after").and_then(|(_, version)| version.parse().ok());
            return Response::new(self.clone().watch(tier, zone, after.unwrap_or(0)));
        }
        plain(StatusCode::OK, text(&self.list(tier, zone)))
    }

    /// What changes after a version: a line each, and an empty one when nothing has for a while.
    fn watch(self: Arc<Discovery>, tier: usize, zone: usize, after: u64) -> Body {
        let (versions, downs) = (self.boards[tier].version.subscribe(), self.down.subscribe());
        let follow = Follow { discovery: self, tier, zone, at: after, versions, downs, begun: false };
        let lines = unfold(Some(follow), |follow| async {
            let mut follow = follow?;
            match follow.next().await {
                Some(line) => Some((Ok(Frame::data(line)), Some(follow))),
                None => Some((Err(GoesDown), None)),
            }
        });
        StreamBody::new(lines).boxed_unsync()
    }
}

/// Takes in what is due, tells who watches, and says when there is more.
fn advance(board: &Board, now: u64) -> Option<u64> {
    let mut registry = held(&board.registry);
    if registry.advance(now) {
        board.version.send_replace(registry.version());
    }
    registry.due()
}

/// One watch.
struct Follow {
    discovery: Arc<Discovery>,
    tier: usize,
    zone: usize,
    /// The version that the other side has.
    at: u64,
    versions: watch::Receiver<u64>,
    downs: watch::Receiver<bool>,
    begun: bool,
}

impl Follow {
    /// The next line; none: discovery has gone down.
    async fn next(&mut self) -> Option<Bytes> {
        let begins = !std::mem::replace(&mut self.begun, true);
        loop {
            self.versions.borrow_and_update();
            let news = held(&self.discovery.boards[self.tier].registry).after(self.at, self.zone);
            if let Some(news) = news {
                self.at = news.version;
                return Some(text(&news));
            }
            if begins {
                return Some(Bytes::from_static(b"\n")); // so that the other side knows that it watches
            }
            tokio::select! {
                biased;
                _ = self.downs.wait_for(|down| *down) => return None,
                changed = self.versions.changed() => changed.ok()?,
                () = tokio::time::sleep(WATCH_PERIOD) => return Some(Bytes::from_static(b"\n")),
            }
        }
    }
}

fn text(document: &Document) -> Bytes {
    let mut text = serde_json::to_vec(document).unwrap_or_default(); // of numbers and texts alone
    text.push(b'\n');
    text.into()
}

fn plain(status: StatusCode, body: Bytes) -> Response<Body> {
    let mut response = Response::new(Full::new(body).map_err(|never| match never {}).boxed_unsync());
    *response.status_mut() = status;
    response
}
