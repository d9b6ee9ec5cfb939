//! The task that connects to a control plane, and carries what the conversation says. It decides nothing.
//!
//! Plain HTTP/2 without TLS. It runs on any tokio runtime, also on one of a single thread; decoding and
//! comparing a list of 10,000 endpoints takes its thread for some milliseconds, so where that matters it is
//! given a thread of its own.

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
    /// Where it is: `host:port`. A name is looked up anew for each connection.
    pub address: String,
    /// The largest message that is taken, in bytes; 16 MiB by default. 10,000 endpoints need one or two. A
    /// larger one ends the stream.
    pub max_message: usize,
    /// A connection that is not established in this time has failed; 5 s by default.
    pub connect_timeout: Duration,
    /// The connection is probed this often, and lost if no answer comes in a third of it; 30 s by default.
    pub keep_alive: Duration,
}

impl Target {
    /// A control plane, with the defaults.
    pub fn new(address: impl Into<String>) -> Target {
        let (connect_timeout, keep_alive) = (Duration::from_secs(5), Duration::from_secs(30));
        Target { address: address.into(), max_message: 16 << 20, connect_timeout, keep_alive }
    }
}

/// Most requests that wait to be sent. A control plane that leaves so many unread has lost its stream.
const REQUEST_QUEUE_CAPACITY: usize = 256;
/// What may be on its way to us unread, in bytes; a flood waits at the control plane.
const FLOW_CONTROL_WINDOW: u32 = 1 << 20;

type BoxedFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// The state of the connection.
enum Connection {
    Down,
    Connecting(BoxedFuture<Result<Channel, String>>),
    /// Requests go out; whether the stream stands shows only when the first answer comes.
    Opening(Sender<Request>, BoxedFuture<Result<ResponseStream, Status>>),
    Open(Sender<Request>, ResponseStream),
}

enum ResponseStream {
    World(Box<Streaming<DiscoveryResponse>>),
    Delta(Box<Streaming<DeltaDiscoveryResponse>>),
}

/// Runs a session until the receiver of the events is gone. `log` gets what is to be logged.
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
    /// None once nobody can ask any more.
    refetch_requests: Option<RefetchReceiver>,
    log: L,
}

impl<L: FnMut(&SessionNotice)> Transport<L> {
    async fn run(mut self, source: crate::names::SourceId) {
        let mut out = Vec::new();
        loop {
            let Some(mut input) = self.next().await else { return };
            loop {
                self.session.handle(self.now(), input, &mut out);
                let mut lost = None;
                for output in out.drain(..) {
                    match output {
                        Output::Connect => self.connection = Connection::Connecting(connect(&self.target)),
                        Output::Send(request) => lost = self.send(*request).err().or(lost),
                        Output::Log(note) => (self.log)(&note),
                        Output::Notify(event) => {
                            let source_event = SourceEvent { source: source.clone(), event };
                            if self.events.send(source_event).await.is_err() {
                                return;
                            }
                        }
                    }
                }
                let Some(why) = lost else { break };
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

    /// What comes next; none if nobody listens any more.
    async fn next(&mut self) -> Option<Input> {
        loop {
            let deadline = self.session.deadline().map(|at| self.at(at));
            let next_read = self.at(self.session.next_read_at());
            let Transport { target, session, connection, events, refetch_requests, .. } = self;
            return tokio::select! {
                biased;
                () = events.closed() => None,
                () = until(deadline) => Some(Input::Tick),
                request = next_refetch_request(refetch_requests) => match request {
                    Some(RefetchRequest { cluster }) => Some(Input::Refetch(cluster)),
                    None => {
                        self.refetch_requests = None;
                        continue;
                    }
                },
                step = connection.step(next_read) => match step {
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
        requests.try_send(request).map_err(|_| "the control plane does not read its stream".to_owned())
    }
}

async fn until(deadline: Option<Instant>) {
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

/// What has become of the link.
enum ConnectionEvent {
    Connected(Channel),
    Opened(ResponseStream),
    Response(Response),
    Lost(String),
}

impl Connection {
    /// The next thing that happens on the link. Nothing is lost if this is dropped and called again.
    async fn step(&mut self, next_read: Instant) -> ConnectionEvent {
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
                    None => ConnectionEvent::Lost("the control plane has ended the stream".to_owned()),
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

/// Opens a stream, whose requests are those that are sent into the link.
fn open(channel_: Channel, variant: Variant, max_message: usize) -> Connection {
    let (requests, queue) = channel(REQUEST_QUEUE_CAPACITY);
    let queue = ReceiverStream::new(queue);
    let mut client = AggregatedDiscoveryServiceClient::new(channel_).max_decoding_message_size(max_message);
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

/// An error with its causes: those of connections tell little by themselves.
fn describe_with_causes(error: &dyn Error) -> String {
    let (mut text, mut cause) = (error.to_string(), error.source());
    while let Some(error) = cause {
        text.push_str(": ");
        text.push_str(&error.to_string());
        cause = error.source();
    }
    text
}
