//! The discovery service on sockets: one service for all tiers, with a separate list of servers for each.

use crate::scenario::Scenario;
use crate::sockets::clock::{Alarm, Clock};
use crate::sockets::lock;
use crate::sockets::protocol::{Document, LIST, WATCH_PERIOD};
use crate::sockets::registry::{CallQueue, RegisteredServer, Registry};
use crate::sockets::stream::{Blackhole, BlackholeListener, ServerStream};
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

/// The index of the zone that contains discovery, as in the model.
pub const DISCOVERY_ZONE: usize = 0;
/// The delay before the next `accept` after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Ends open watches when discovery goes down.
#[derive(Debug, thiserror::Error)]
#[error("discovery is shutting down")]
struct DiscoveryDown;

type Body = UnsyncBoxBody<Bytes, DiscoveryDown>;

/// The discovery service.
pub struct Discovery {
    clock: Clock,
    alarm: Arc<Alarm>,
    tiers: Vec<TierList>,
    call_queue: Mutex<CallQueue>,
    down: watch::Sender<bool>,
    timeout: Duration,
    /// Whether it is unreachable, for each zone.
    pub blackholes: Vec<Arc<Blackhole>>,
}

/// The servers of one tier.
struct TierList {
    registry: Mutex<Registry>,
    version: watch::Sender<u64>,
}

impl Discovery {
    /// Creates a service with an initial list for each tier.
    pub fn new(
        (clock, alarm): (Clock, Arc<Alarm>),
        lists: Vec<Vec<RegisteredServer>>,
        scenario: &Scenario,
    ) -> Arc<Discovery> {
        let of = &scenario.discovery;
        let tier_list = |list| {
            let registry = Registry::new(of.lag.nanos(), list);
            TierList { version: watch::channel(registry.version()).0, registry: Mutex::new(registry) }
        };
        let blackholes = scenario.zones.iter().map(|_| Arc::default()).collect();
        Arc::new(Discovery {
            clock,
            alarm,
            tiers: lists.into_iter().map(tier_list).collect(),
            call_queue: Mutex::new(CallQueue::new(of.calls_per_s, of.timeout.nanos())),
            down: watch::channel(false).0,
            timeout: of.timeout.duration(),
            blackholes,
        })
    }

    /// Returns the current full list of a tier.
    pub fn list(&self, tier: usize, zone: usize) -> Document {
        lock(&self.tiers[tier].registry).full(zone)
    }

    /// Reports a change of a server. It becomes visible after the configured lag.
    pub fn report(self: &Arc<Discovery>, tier: usize, entry: RegisteredServer) {
        let now = self.clock.now();
        lock(&self.tiers[tier].registry).report(now, entry);
        self.apply_due_changes(tier, now);
    }

    /// Stops applying changes while `on` is set, so that the lists become stale.
    pub fn set_stale(self: &Arc<Discovery>, on: bool) {
        for tier in 0..self.tiers.len() {
            lock(&self.tiers[tier].registry).set_stale(on);
            self.apply_due_changes(tier, self.clock.now());
        }
    }

    /// Begins or ends an outage. Open watches end when it begins.
    pub fn set_down(&self, on: bool) {
        self.down.send_replace(on);
    }

    fn is_down(&self) -> bool {
        *self.down.borrow()
    }

    /// Applies the changes of a tier that are due, and sets an alarm for the next one.
    fn apply_due_changes(self: &Arc<Discovery>, tier: usize, now: u64) {
        let Some(due) = advance(&self.tiers[tier], now) else { return };
        let this = Arc::downgrade(self);
        self.alarm.at(self.clock.instant(due), move || {
            if let Some(discovery) = this.upgrade() {
                discovery.apply_due_changes(tier, due);
            }
        });
    }

    /// Accepts and serves connections. Dropping the future closes them.
    pub async fn accept_connections(
        self: Arc<Discovery>,
        mut listener: BlackholeListener,
        tier: usize,
        zone: usize,
    ) {
        let mut connections = JoinSet::new();
        loop {
            while connections.try_join_next().is_some() {}
            match listener.accept().await {
                Ok(stream) => _ = connections.spawn(self.clone().serve_connection_from(stream, tier, zone)),
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }

    async fn serve_connection_from(self: Arc<Discovery>, stream: TcpStream, tier: usize, zone: usize) {
        let stream = ServerStream::new(stream, self.blackholes[zone].clone(), Arc::default());
        let service = service_fn(|request: Request<Incoming>| {
            let discovery = self.clone();
            async move { Ok::<_, Infallible>(discovery.answer(&request, tier, zone).await) }
        });
        let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await; // it failed
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
        let turn = lock(&self.call_queue).call(self.clock.now());
        match turn {
            Some(at) => self.alarm.until(self.clock.instant(at)).await,
            None => tokio::time::sleep(self.timeout).await,
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

    /// Streams the changes after a version, one line each, and an empty line after [`WATCH_PERIOD`] without
    /// one.
    fn watch(self: Arc<Discovery>, tier: usize, zone: usize, after: u64) -> Body {
        let (versions, downs) = (self.tiers[tier].version.subscribe(), self.down.subscribe());
        let watch = Watch { discovery: self, tier, zone, at: after, versions, downs, has_begun: false };
        let lines = unfold(Some(watch), |watch| async {
            let mut watch = watch?;
            match watch.next().await {
                Some(line) => Some((Ok(Frame::data(line)), Some(watch))),
                None => Some((Err(DiscoveryDown), None)),
            }
        });
        StreamBody::new(lines).boxed_unsync()
    }
}

/// Applies the changes that are due, notifies the watches, and returns when the next change is due.
fn advance(tier_list: &TierList, now: u64) -> Option<u64> {
    let mut registry = lock(&tier_list.registry);
    if registry.advance(now) {
        tier_list.version.send_replace(registry.version());
    }
    registry.due()
}

/// An open watch.
struct Watch {
    discovery: Arc<Discovery>,
    tier: usize,
    zone: usize,
    /// The version that the client has.
    at: u64,
    versions: watch::Receiver<u64>,
    downs: watch::Receiver<bool>,
    has_begun: bool,
}

impl Watch {
    /// Returns the next line, or `None` if discovery went down.
    async fn next(&mut self) -> Option<Bytes> {
        let begins = !std::mem::replace(&mut self.has_begun, true);
        loop {
            self.versions.borrow_and_update();
            let changes = lock(&self.discovery.tiers[self.tier].registry).after(self.at, self.zone);
            if let Some(changes) = changes {
                self.at = changes.version;
                return Some(text(&changes));
            }
            if begins {
                return Some(Bytes::from_static(b"\n")); // tells the client that the watch is established
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
    let mut text = serde_json::to_vec(document).unwrap_or_default(); // cannot fail: only numbers and strings
    text.push(b'\n');
    text.into()
}

fn plain(status: StatusCode, body: Bytes) -> Response<Body> {
    let mut response = Response::new(Full::new(body).map_err(|never| match never {}).boxed_unsync());
    *response.status_mut() = status;
    response
}
