//! Serves the control plane on a socket.

use super::journal::Journal;
use super::resources::{Kind, Resources};
use super::session::{Heard, Said, Session};
use envoy_types::pb::envoy::service::discovery::v3::aggregated_discovery_service_server::{
    AggregatedDiscoveryService, AggregatedDiscoveryServiceServer,
};
use envoy_types::pb::envoy::service::discovery::v3::{
    DeltaDiscoveryRequest, DeltaDiscoveryResponse, DiscoveryRequest, DiscoveryResponse,
};
use envoy_types::pb::google::protobuf::Any;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::service::TowerToHyperService;
use std::net::{Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::net::TcpListener;
use tokio::sync::{broadcast, mpsc, watch};
use tokio::task::{AbortHandle, JoinSet};
use tokio_stream::wrappers::ReceiverStream;
use tokio_stream::{Stream, StreamExt};
use tonic::{Request, Response, Status, Streaming};

/// A command to all streams to misbehave.
#[derive(Clone, Debug)]
enum Order {
    /// Send the last response of a kind again, with its nonce.
    Repeat(Kind),
    /// Send unchecked resources.
    Raw(Arc<Raw>),
}

/// Unchecked resources with a version, and how many times to send them.
#[derive(Debug)]
struct Raw {
    kind: Kind,
    version: String,
    all: Vec<(String, Any)>,
    removed: Vec<String>,
    times: usize,
}

impl Raw {
    fn response(&self, session: &mut Session) -> Option<Said> {
        let removed: Vec<&str> = self.removed.iter().map(String::as_str).collect();
        session.raw(self.kind, &self.version, self.all.clone(), &removed)
    }
}

/// A control plane on loopback. Dropping it stops it.
#[derive(Debug)]
pub struct ControlPlane {
    address: SocketAddr,
    shared: Arc<Shared>,
    accepting: AbortHandle,
}

#[derive(Debug)]
struct Shared {
    resources: watch::Sender<Resources>,
    orders: broadcast::Sender<Order>,
    journal: Journal,
    streams: AtomicU64,
    connections: Mutex<JoinSet<()>>,
}

/// The capacity of a stream's queue of responses.
const RESPONSES: usize = 4;
/// The capacity of a stream's queue of orders.
const ORDERS: usize = 64;

impl ControlPlane {
    /// Starts a control plane on a free port of loopback.
    ///
    /// # Errors
    /// The listener cannot be created.
    pub async fn start(resources: Resources) -> std::io::Result<ControlPlane> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            resources: watch::Sender::new(resources),
            orders: broadcast::Sender::new(ORDERS),
            journal: Journal::default(),
            streams: AtomicU64::new(0),
            connections: Mutex::default(),
        });
        let accepting = tokio::spawn(accept(listener, shared.clone())).abort_handle();
        Ok(ControlPlane { address, shared, accepting })
    }

    /// Returns the listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the journal of all streams.
    pub fn journal(&self) -> &Journal {
        &self.shared.journal
    }

    /// Changes the resources, and pushes the change to all streams.
    pub fn change(&self, change: impl FnOnce(&mut Resources)) {
        self.shared.resources.send_modify(change);
    }

    /// Breaks all connections.
    pub fn drop_streams(&self) {
        self.shared.connections().abort_all();
    }

    /// Breaks all connections and serves other resources, as after a restart with loss of state.
    pub fn restart(&self, resources: Resources) {
        self.shared.resources.send_replace(resources);
        self.drop_streams();
    }

    /// Sends the last response of a kind again on all streams, with its old nonce.
    pub fn repeat(&self, kind: Kind) {
        self.order(Order::Repeat(kind));
    }

    /// Sends unchecked resources with any version on all streams.
    pub fn send(&self, kind: Kind, version: &str, all: Vec<(String, Any)>, removed: &[&str]) {
        self.flood(kind, version, all, removed, 1);
    }

    /// Sends unchecked resources a number of times without waiting for a response of the client.
    pub fn flood(&self, kind: Kind, version: &str, all: Vec<(String, Any)>, removed: &[&str], times: usize) {
        let removed = removed.iter().map(|name| (*name).to_owned()).collect();
        self.order(Order::Raw(Arc::new(Raw { kind, version: version.to_owned(), all, removed, times })));
    }

    fn order(&self, order: Order) {
        // An error means that there is no stream.
        let _ = self.shared.orders.send(order);
    }
}

impl Drop for ControlPlane {
    fn drop(&mut self) {
        self.accepting.abort();
        self.drop_streams();
    }
}

impl Shared {
    fn connections(&self) -> std::sync::MutexGuard<'_, JoinSet<()>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((socket, _)) = listener.accept().await {
        let service = AggregatedDiscoveryServiceServer::new(Service(shared.clone()));
        let service = TowerToHyperService::new(service);
        let mut connections = shared.connections();
        while connections.try_join_next().is_some() {}
        connections.spawn(async move {
            let server = hyper::server::conn::http2::Builder::new(TokioExecutor::new());
            // Connection errors are caused by the client under test and are ignored.
            let _ = server.serve_connection(TokioIo::new(socket), service).await;
        });
    }
}

struct Service(Arc<Shared>);

type Answers<T> = Pin<Box<dyn Stream<Item = Result<T, Status>> + Send>>;

impl Service {
    /// Serves one stream until its connection ends.
    fn serve(&self, requests: impl Stream<Item = Heard> + Send + Unpin + 'static) -> ReceiverStream<Said> {
        let (sender, responses) = mpsc::channel(RESPONSES);
        let stream = self.0.streams.fetch_add(1, Ordering::Relaxed) + 1;
        tokio::spawn(serve(self.0.clone(), stream, requests, sender));
        ReceiverStream::new(responses)
    }
}

#[tonic::async_trait]
impl AggregatedDiscoveryService for Service {
    type StreamAggregatedResourcesStream = Answers<DiscoveryResponse>;
    type DeltaAggregatedResourcesStream = Answers<DeltaDiscoveryResponse>;

    async fn stream_aggregated_resources(
        &self,
        request: Request<Streaming<DiscoveryRequest>>,
    ) -> Result<Response<Self::StreamAggregatedResourcesStream>, Status> {
        let requests = request.into_inner().map_while(Result::ok).map(Heard::World);
        let said = self.serve(requests).filter_map(|said| match said {
            Said::World(response) => Some(Ok(response)),
            Said::Delta(_) => None,
        });
        Ok(Response::new(Box::pin(said)))
    }

    async fn delta_aggregated_resources(
        &self,
        request: Request<Streaming<DeltaDiscoveryRequest>>,
    ) -> Result<Response<Self::DeltaAggregatedResourcesStream>, Status> {
        let requests = request.into_inner().map_while(Result::ok).map(Heard::Delta);
        let said = self.serve(requests).filter_map(|said| match said {
            Said::Delta(response) => Some(Ok(response)),
            Said::World(_) => None,
        });
        Ok(Response::new(Box::pin(said)))
    }
}

async fn serve(
    shared: Arc<Shared>,
    stream: u64,
    mut requests: impl Stream<Item = Heard> + Unpin,
    sender: mpsc::Sender<Said>,
) {
    let journal = &shared.journal;
    journal.note(format!("{stream} opened"));
    let (mut resources, mut orders) = (shared.resources.subscribe(), shared.orders.subscribe());
    let mut session = Session::default();
    loop {
        let (mut said, mut flood) = (Vec::new(), None::<Arc<Raw>>);
        tokio::select! {
            () = sender.closed() => break,
            request = requests.next() => {
                let Some(request) = request else { break };
                journal.heard(stream, &request);
                said = session.hear(&request, &resources.borrow());
            }
            changed = resources.changed() => {
                if changed.is_err() {
                    break;
                }
                said = session.push(&resources.borrow_and_update());
            }
            order = orders.recv() => match order {
                Ok(Order::Repeat(kind)) => said.extend(session.repeat(kind)),
                Ok(Order::Raw(raw)) => flood = Some(raw),
                Err(_) => break,
            }
        }
        // Responses are created one at a time, because a whole flood may not fit into memory.
        let times = flood.as_ref().map_or(0, |raw| raw.times);
        let flood = (0..times).filter_map(|_| flood.as_ref()?.response(&mut session));
        for said in said.into_iter().chain(flood) {
            journal.said(stream, &said);
            if sender.send(said).await.is_err() {
                break;
            }
        }
    }
    journal.note(format!("{stream} closed"));
}
