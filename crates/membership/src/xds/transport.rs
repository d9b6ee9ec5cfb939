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
const REQUESTS: usize = 256;
/// What may be on its way to us unread, in bytes; a flood waits at the control plane.
const WINDOW: u32 = 1 << 20;

type Later<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// The state of the connection.
enum Link {
    Down,
    Connecting(Later<Result<Channel, String>>),
    /// Requests go out; whether the stream stands shows only when the first answer comes.
    Opening(Sender<Request>, Later<Result<Inbound, Status>>),
    Open(Sender<Request>, Inbound),
}

enum Inbound {
    World(Box<Streaming<DiscoveryResponse>>),
    Delta(Box<Streaming<DeltaDiscoveryResponse>>),
}

/// Runs a conversation until the receiver of the sink is gone. `log` gets what is to be logged.
pub async fn run(
    target: Target,
    config: Config,
    sink: EventSender,
    asks: RefetchReceiver,
    log: impl FnMut(&SessionNotice),
) {
    let source = config.source.clone();
    let shell = Shell {
        target,
        talk: Session::new(config),
        link: Link::Down,
        start: Instant::now(),
        sink,
        asks: Some(asks),
        log,
    };
    shell.run(source).await;
}

struct Shell<L> {
    target: Target,
    talk: Session,
    link: Link,
    start: Instant,
    sink: EventSender,
    /// None once nobody can ask any more.
    asks: Option<RefetchReceiver>,
    log: L,
}

impl<L: FnMut(&SessionNotice)> Shell<L> {
    async fn run(mut self, source: crate::names::SourceId) {
        let mut out = Vec::new();
        loop {
            let Some(mut input) = self.next().await else { return };
            loop {
                self.talk.handle(self.now(), input, &mut out);
                let mut lost = None;
                for output in out.drain(..) {
                    match output {
                        Output::Connect => self.link = Link::Connecting(connect(&self.target)),
                        Output::Send(request) => lost = self.send(*request).err().or(lost),
                        Output::Log(note) => (self.log)(&note),
                        Output::Notify(event) => {
                            let heard = SourceEvent { source: source.clone(), event };
                            if self.sink.send(heard).await.is_err() {
                                return;
                            }
                        }
                    }
                }
                let Some(why) = lost else { break };
                self.link = Link::Down;
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
            let deadline = self.talk.deadline().map(|at| self.at(at));
            let reads = self.at(self.talk.next_read_at());
            let Shell { target, talk, link, sink, asks, .. } = self;
            return tokio::select! {
                biased;
                () = sink.closed() => None,
                () = until(deadline) => Some(Input::Tick),
                ask = next_ask(asks) => match ask {
                    Some(RefetchRequest { cluster }) => Some(Input::Refetch(cluster)),
                    None => {
                        self.asks = None;
                        continue;
                    }
                },
                step = link.step(reads) => match step {
                    Step::Connected(channel) => {
                        *link = open(channel, talk.variant(), target.max_message);
                        Some(Input::Connected)
                    }
                    Step::Opened(inbound) => {
                        if let Link::Opening(requests, _) = std::mem::replace(link, Link::Down) {
                            *link = Link::Open(requests, inbound);
                        }
                        continue;
                    }
                    Step::Response(response) => Some(Input::Response(response)),
                    Step::Lost(why) => {
                        *link = Link::Down;
                        Some(Input::Lost { why })
                    }
                },
            };
        }
    }

    fn send(&mut self, request: Request) -> Result<(), String> {
        let (Link::Opening(requests, _) | Link::Open(requests, _)) = &self.link else { return Ok(()) };
        requests.try_send(request).map_err(|_| "the control plane does not read its stream".to_owned())
    }
}

async fn until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}

async fn next_ask(asks: &mut Option<RefetchReceiver>) -> Option<RefetchRequest> {
    match asks {
        Some(asks) => asks.recv().await,
        None => std::future::pending().await,
    }
}

/// What has become of the link.
enum Step {
    Connected(Channel),
    Opened(Inbound),
    Response(Response),
    Lost(String),
}

impl Link {
    /// The next thing that happens on the link. Nothing is lost if this is dropped and called again.
    async fn step(&mut self, reads: Instant) -> Step {
        match self {
            Link::Down => std::future::pending().await,
            Link::Connecting(channel) => channel.await.map_or_else(Step::Lost, Step::Connected),
            Link::Opening(_, call) => match call.await {
                Ok(inbound) => Step::Opened(inbound),
                Err(status) => Step::Lost(in_words(&status)),
            },
            Link::Open(_, inbound) => {
                sleep_until(reads).await;
                match inbound.next().await {
                    Some(Ok(response)) => Step::Response(response),
                    Some(Err(status)) => Step::Lost(in_words(&status)),
                    None => Step::Lost("the control plane has ended the stream".to_owned()),
                }
            }
        }
    }
}

impl Inbound {
    async fn next(&mut self) -> Option<Result<Response, Status>> {
        match self {
            Inbound::World(stream) => stream.next().await.map(|next| next.map(Response::World)),
            Inbound::Delta(stream) => stream.next().await.map(|next| next.map(Response::Delta)),
        }
    }
}

fn connect(target: &Target) -> Later<Result<Channel, String>> {
    let address = target.address.clone();
    let endpoint = Endpoint::from_shared(format!("http://{address}")).map(|endpoint| {
        endpoint
            .connect_timeout(target.connect_timeout)
            .tcp_nodelay(true)
            .initial_stream_window_size(WINDOW)
            .initial_connection_window_size(WINDOW)
            .http2_keep_alive_interval(target.keep_alive)
            .keep_alive_timeout(target.keep_alive / 3)
            .keep_alive_while_idle(true)
    });
    Box::pin(async move {
        let failed = move |error: tonic::transport::Error| format!("{address}: {}", chain(&error));
        endpoint.map_err(&failed)?.connect().await.map_err(&failed)
    })
}

/// Opens a stream, whose requests are those that are sent into the link.
fn open(channel_: Channel, variant: Variant, max_message: usize) -> Link {
    let (requests, queue) = channel(REQUESTS);
    let queue = ReceiverStream::new(queue);
    let mut client = AggregatedDiscoveryServiceClient::new(channel_).max_decoding_message_size(max_message);
    let call: Later<Result<Inbound, Status>> = match variant {
        Variant::StateOfTheWorld => Box::pin(async move {
            let requests = queue.filter_map(|request| match request {
                Request::World(request) => Some(request),
                Request::Delta(_) => None,
            });
            let stream = client.stream_aggregated_resources(requests).await?;
            Ok(Inbound::World(Box::new(stream.into_inner())))
        }),
        Variant::Incremental => Box::pin(async move {
            let requests = queue.filter_map(|request| match request {
                Request::Delta(request) => Some(request),
                Request::World(_) => None,
            });
            let stream = client.delta_aggregated_resources(requests).await?;
            Ok(Inbound::Delta(Box::new(stream.into_inner())))
        }),
    };
    Link::Opening(requests, call)
}

fn in_words(status: &Status) -> String {
    match status.source() {
        Some(source) => format!("{:?}: {}: {}", status.code(), status.message(), chain(source)),
        None => format!("{:?}: {}", status.code(), status.message()),
    }
}

/// An error with its causes: those of connections tell little by themselves.
fn chain(error: &dyn Error) -> String {
    let (mut text, mut cause) = (error.to_string(), error.source());
    while let Some(error) = cause {
        text.push_str(": ");
        text.push_str(&error.to_string());
        cause = error.source();
    }
    text
}
