//! The task that connects to a control plane and does the I/O for a session. The session makes all decisions.
//!
//! The connection is plain HTTP/2 without TLS. The task runs on any tokio runtime, including a
//! single-threaded one. Decoding and comparing 10,000 endpoints occupies the thread for some milliseconds;
//! use a dedicated thread if that is too long.

use super::session::{Config, Input, Output, Request, Response, Session, SessionNotice, Variant};
use crate::source::{EventSender, RefetchReceiver, RefetchRequest, SourceEvent};
use envoy_types::pb::envoy::service::discovery::v3::aggregated_discovery_service_client::AggregatedDiscoveryServiceClient;
use envoy_types::pb::envoy::service::discovery::v3::{DeltaDiscoveryResponse, DiscoveryResponse};
use olivecart_decisions::Nanos;
use std::error::Error;
use std::pin::Pin;
use std::time::Duration;
use tokio::sync::mpsc::{Sender, channel};
use tokio::time::{Instant, sleep_until};
use tokio_stream::StreamExt;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::{Channel, Endpoint};
use tonic::{Status, Streaming};

/// A control plane to connect to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The address as `host:port`. A host name is resolved for each connection.
    pub address: String,
    /// The maximum message size in bytes; 16 MiB by default. 10,000 endpoints need 1 or 2 MiB. A larger
    /// message ends the stream.
    pub max_message: usize,
    /// The timeout for establishing a connection; 5 s by default.
    pub connect_timeout: Duration,
    /// The interval of HTTP/2 keep-alive pings; 30 s by default. The connection is closed if a ping is not
    /// answered within a third of it.
    pub keep_alive: Duration,
}

impl Target {
    /// Returns a target with the default settings.
    pub fn new(address: impl Into<String>) -> Target {
        let (connect_timeout, keep_alive) = (Duration::from_secs(5), Duration::from_secs(30));
        Target { address: address.into(), max_message: 16 << 20, connect_timeout, keep_alive }
    }
}

/// The maximum number of requests waiting to be sent. The stream is closed if the control plane leaves more
/// unread.
const REQUEST_QUEUE_CAPACITY: usize = 256;
/// The HTTP/2 flow control window in bytes. Further responses wait at the control plane.
const FLOW_CONTROL_WINDOW: u32 = 1 << 20;

type BoxedFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// The state of the connection.
enum Connection {
    Down,
    Connecting(BoxedFuture<Result<Channel, String>>),
    /// Requests are sent, but the stream counts as open only when the response headers arrive.
    Opening(Sender<Request>, BoxedFuture<Result<ResponseStream, Status>>),
    Open(Sender<Request>, ResponseStream),
}

enum ResponseStream {
    World(Box<Streaming<DiscoveryResponse>>),
    Delta(Box<Streaming<DeltaDiscoveryResponse>>),
}

/// Runs a session until the receiver of the events is dropped. `log` is called with each notice.
pub async fn run(
    target: Target,
    config: Config,
    events: EventSender,
    refetch_requests: RefetchReceiver,
    log: impl FnMut(&SessionNotice),
) {
    let source = config.source.clone();
    let transport = Transport {
        target,
        session: Session::new(config),
        connection: Connection::Down,
        start: Instant::now(),
        events,
        refetch_requests: Some(refetch_requests),
        log,
    };
    transport.run(source).await;
}

struct Transport<L> {
    target: Target,
    session: Session,
    connection: Connection,
    start: Instant,
    events: EventSender,
    /// `None` once all senders are dropped.
    refetch_requests: Option<RefetchReceiver>,
    log: L,
}

impl<L: FnMut(&SessionNotice)> Transport<L> {
    async fn run(mut self, source: crate::names::SourceId) {
        let mut outputs = Vec::new();
        loop {
            let Some(mut input) = self.next().await else { return };
            loop {
                self.session.handle(self.now(), input, &mut outputs);
                let mut lost_reason = None;
                for output in outputs.drain(..) {
                    match output {
                        Output::Connect => self.connection = Connection::Connecting(connect(&self.target)),
                        Output::Send(request) => lost_reason = self.send(*request).err().or(lost_reason),
                        Output::Log(notice) => (self.log)(&notice),
                        Output::Notify(event) => {
                            let source_event = SourceEvent { source: source.clone(), event };
                            if self.events.send(source_event).await.is_err() {
                                return;
                            }
                        }
                    }
                }
                let Some(why) = lost_reason else { break };
                self.connection = Connection::Down;
                input = Input::Lost { why };
            }
        }
    }

    fn now(&self) -> Nanos {
        Nanos::try_from(self.start.elapsed().as_nanos()).unwrap_or(Nanos::MAX)
    }

    fn at(&self, time: Nanos) -> Instant {
        self.start + Duration::from_nanos(time)
    }

    /// Waits for the next input. Returns `None` if the receiver of the events is dropped.
    async fn next(&mut self) -> Option<Input> {
        loop {
            let deadline = self.session.deadline().map(|at| self.at(at));
            let next_read = self.at(self.session.next_read_at());
            let Transport { target, session, connection, events, refetch_requests, .. } = self;
            return tokio::select! {
                biased;
                () = events.closed() => None,
                () = sleep_until_deadline(deadline) => Some(Input::Tick),
                request = next_refetch_request(refetch_requests) => match request {
                    Some(RefetchRequest { cluster }) => Some(Input::Refetch(cluster)),
                    None => {
                        self.refetch_requests = None;
                        continue;
                    }
                },
                event = connection.next_event(next_read) => match event {
                    ConnectionEvent::Connected(channel) => {
                        *connection = open(channel, session.variant(), target.max_message);
                        Some(Input::Connected)
                    }
                    ConnectionEvent::Opened(responses) => {
                        if let Connection::Opening(requests, _) = std::mem::replace(connection, Connection::Down) {
                            *connection = Connection::Open(requests, responses);
                        }
                        continue;
                    }
                    ConnectionEvent::Response(response) => Some(Input::Response(response)),
                    ConnectionEvent::Lost(why) => {
                        *connection = Connection::Down;
                        Some(Input::Lost { why })
                    }
                },
            };
        }
    }

    fn send(&mut self, request: Request) -> Result<(), String> {
        let (Connection::Opening(requests, _) | Connection::Open(requests, _)) = &self.connection else {
            return Ok(());
        };
        requests
            .try_send(request)
            .map_err(|_| "the control plane does not read requests from the stream".to_owned())
    }
}

async fn sleep_until_deadline(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}

async fn next_refetch_request(refetch_requests: &mut Option<RefetchReceiver>) -> Option<RefetchRequest> {
    match refetch_requests {
        Some(refetch_requests) => refetch_requests.recv().await,
        None => std::future::pending().await,
    }
}

/// A change of the connection or a received response.
enum ConnectionEvent {
    Connected(Channel),
    Opened(ResponseStream),
    Response(Response),
    Lost(String),
}

impl Connection {
    /// Waits for the next event of the connection. Cancel safe: no event is lost if the future is dropped.
    async fn next_event(&mut self, next_read: Instant) -> ConnectionEvent {
        match self {
            Connection::Down => std::future::pending().await,
            Connection::Connecting(channel) => {
                channel.await.map_or_else(ConnectionEvent::Lost, ConnectionEvent::Connected)
            }
            Connection::Opening(_, call) => match call.await {
                Ok(responses) => ConnectionEvent::Opened(responses),
                Err(status) => ConnectionEvent::Lost(describe_status(&status)),
            },
            Connection::Open(_, responses) => {
                sleep_until(next_read).await;
                match responses.next().await {
                    Some(Ok(response)) => ConnectionEvent::Response(response),
                    Some(Err(status)) => ConnectionEvent::Lost(describe_status(&status)),
                    None => ConnectionEvent::Lost("the control plane closed the stream".to_owned()),
                }
            }
        }
    }
}

impl ResponseStream {
    async fn next(&mut self) -> Option<Result<Response, Status>> {
        match self {
            ResponseStream::World(stream) => stream.next().await.map(|next| next.map(Response::World)),
            ResponseStream::Delta(stream) => stream.next().await.map(|next| next.map(Response::Delta)),
        }
    }
}

fn connect(target: &Target) -> BoxedFuture<Result<Channel, String>> {
    let address = target.address.clone();
    let endpoint = Endpoint::from_shared(format!("http://{address}")).map(|endpoint| {
        endpoint
            .connect_timeout(target.connect_timeout)
            .tcp_nodelay(true)
            .initial_stream_window_size(FLOW_CONTROL_WINDOW)
            .initial_connection_window_size(FLOW_CONTROL_WINDOW)
            .http2_keep_alive_interval(target.keep_alive)
            .keep_alive_timeout(target.keep_alive / 3)
            .keep_alive_while_idle(true)
    });
    Box::pin(async move {
        let failed =
            move |error: tonic::transport::Error| format!("{address}: {}", describe_with_causes(&error));
        endpoint.map_err(&failed)?.connect().await.map_err(&failed)
    })
}

/// Opens a stream. Requests are sent to it through the returned connection.
fn open(connection: Channel, variant: Variant, max_message: usize) -> Connection {
    let (requests, queue) = channel(REQUEST_QUEUE_CAPACITY);
    let queue = ReceiverStream::new(queue);
    let mut client = AggregatedDiscoveryServiceClient::new(connection).max_decoding_message_size(max_message);
    let call: BoxedFuture<Result<ResponseStream, Status>> = match variant {
        Variant::StateOfTheWorld => Box::pin(async move {
            let requests = queue.filter_map(|request| match request {
                Request::World(request) => Some(request),
                Request::Delta(_) => None,
            });
            let stream = client.stream_aggregated_resources(requests).await?;
            Ok(ResponseStream::World(Box::new(stream.into_inner())))
        }),
        Variant::Incremental => Box::pin(async move {
            let requests = queue.filter_map(|request| match request {
                Request::Delta(request) => Some(request),
                Request::World(_) => None,
            });
            let stream = client.delta_aggregated_resources(requests).await?;
            Ok(ResponseStream::Delta(Box::new(stream.into_inner())))
        }),
    };
    Connection::Opening(requests, call)
}

fn describe_status(status: &Status) -> String {
    match status.source() {
        Some(source) => {
            format!("{:?}: {}: {}", status.code(), status.message(), describe_with_causes(source))
        }
        None => format!("{:?}: {}", status.code(), status.message()),
    }
}

/// Formats an error with its causes, since transport errors alone contain few details.
fn describe_with_causes(error: &dyn Error) -> String {
    let (mut text, mut cause) = (error.to_string(), error.source());
    while let Some(error) = cause {
        text.push_str(": ");
        text.push_str(&error.to_string());
        cause = error.source();
    }
    text
}
