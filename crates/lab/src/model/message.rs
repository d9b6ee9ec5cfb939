//! The messages that the nodes of the model send to each other and to themselves.

use crate::engine;
use crate::policy::TrueState;
use olivecart_decisions::{EndpointState, LoadReport, Nanos, Outcome, Timer};
use std::sync::Arc;

/// A client's request over all of its attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClientRequestId {
    /// The clients' node that holds it.
    pub node: u32,
    /// Its slot there.
    pub slot: u32,
    /// Distinguishes it from other requests that used the slot.
    pub generation: u32,
}

/// A request as it arrives at a proxy.
#[derive(Clone, Copy, Debug)]
pub struct ProxyRequest {
    /// The client's request that it belongs to.
    pub client_request: ClientRequestId,
    /// Which of the client's attempts.
    pub attempt: u8,
    /// Its class.
    pub class: u16,
    /// Its tenant; `u16::MAX`: none.
    pub tenant: u16,
    /// Its caller marked it as a retry.
    pub is_retry: bool,
    /// Until when its caller waits.
    pub deadline: Nanos,
    /// Its work over all tiers, in nanoseconds on a core of speed 1.
    pub work: u64,
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Served, with the work that was done for the response over all tiers.
    Served(u64),
    /// Refused, with the retry-after time; 0: none given.
    Refused(Nanos),
    /// Failed.
    Failed,
    /// There was no proxy to take it, or the proxy died.
    Unreachable,
}

/// An attempt, by the proxy that sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The proxy's node.
    pub proxy: u32,
    /// The request's number at the proxy.
    pub request: u64,
    /// Which of the request's attempts.
    pub number: u32,
}

/// An attempt as it arrives at a server.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Who sent it.
    pub id: AttemptId,
    /// The client's request that it belongs to.
    pub client_request: ClientRequestId,
    /// Its class.
    pub class: u16,
    /// Its tenant; `u16::MAX`: none.
    pub tenant: u16,
    /// Until when its proxy waits.
    pub deadline: Nanos,
    /// The request's work over all tiers.
    pub work: u64,
    /// The incarnation of the server that its connection leads to; `None`: it comes on a new connection.
    pub kept: Option<u32>,
    /// When the server last started, as its proxy was told.
    pub told_started: Nanos,
    /// Its connection breaks once it is written.
    pub breaks: bool,
}

/// Connections that a proxy closes.
#[derive(Clone, Copy, Debug)]
pub struct ClosedConnections {
    /// The incarnation of the server that they led to.
    pub incarnation: u32,
    /// How many.
    pub count: u32,
}

/// The response of a server to an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResponse {
    /// The request's number at its proxy.
    pub request: u64,
    /// Which of its attempts.
    pub number: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// The incarnation of the server, if the connection stays open.
    pub kept: Option<u32>,
    /// Work done for it over all tiers.
    pub work: u64,
    /// The load report.
    pub load: Option<LoadReport>,
}

/// One entry of the list of endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListEntry {
    /// The server's index in its tier.
    pub slot: u32,
    /// Whether it takes requests.
    pub state: EndpointState,
    /// When it last started; 0: long ago.
    pub started: Nanos,
}

/// What discovery tells a proxy.
#[derive(Clone, Debug)]
pub enum DiscoveryUpdate {
    /// The complete list.
    Full(Arc<[ListEntry]>),
    /// The entries that changed.
    Delta(Arc<[ListEntry]>),
    /// The call failed, or the watch broke.
    Failed,
}

/// A change of a machine's state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MachineChange {
    /// Its process dies.
    Die {
        /// It dies together with its machine: nothing is sent any more, and nobody is told.
        silent: bool,
    },
    /// Its process starts.
    Start,
    /// It finishes the requests that it has and takes no new ones.
    Drain,
    /// It fails this share of its requests at once; 0: no more.
    Errors(f64),
    /// It is this many times slower; 1: no more.
    Slow(f64),
    /// It stops responding to requests, or responds again.
    Hang(bool),
    /// Its load reports come this much later; 0: no more.
    Late(Nanos),
}

/// Everything that can happen to a node.
#[derive(Clone, Debug)]
pub enum Message {
    // ---- to the node itself ----
    /// The next client arrives.
    ClientArrives,
    /// A client stops waiting for an attempt.
    ClientTimesOut(ClientRequestId, u8),
    /// A client closes its connection before that.
    ClientDisconnects(ClientRequestId, u8),
    /// A client sends its next attempt.
    ClientRetries(ClientRequestId),
    /// The deadline of a request at a proxy has come.
    DeadlineExpired(u64),
    /// The grace period after the deadline of a request at a proxy has passed.
    ResponseOverdue(u64),
    /// A timer of the policy in this incarnation of the proxy.
    PolicyTimer(Timer, u32),
    /// The connection of an attempt was not established in time, or the attempt's timeout has passed.
    AttemptTimedOut {
        /// The request's number.
        request: u64,
        /// Which of its attempts.
        number: u32,
        /// How it ends, if it has not ended yet.
        outcome: Outcome,
    },
    /// The health check with this number got no response in time.
    HealthCheckTimedOut(u64),
    /// Idle connections are swept, in this incarnation of the proxy.
    SweepIdleConnections(u32),
    /// The health of endpoints is sampled, for the report.
    SampleEndpointHealth,
    /// A core has completed a part of a job.
    WorkCompleted {
        /// The job.
        job: u32,
        /// Which run of the job's slot.
        run: u32,
    },
    /// A server pauses.
    ServerPauses,
    /// A fault begins or ends at this machine.
    MachineChanges(MachineChange),
    /// Discovery learns of changes, each in a tier.
    DiscoveryNotified(Arc<[(u8, ListEntry)]>),
    /// Discovery serves a call: of which proxy, and whether it watches from now on.
    DiscoveryCallServed(u32, bool),
    /// An outage of discovery begins.
    DiscoveryOutage,

    // ---- over the network ----
    /// To a proxy: a client's request.
    Request(ProxyRequest),
    /// To a client: the response to one of its attempts.
    Response(ClientRequestId, u8, RequestOutcome),
    /// To a proxy: the client closed its connection.
    ClientDisconnected(ClientRequestId, u8),
    /// To a server: an attempt.
    Attempt(Attempt),
    /// To a server: an attempt is cancelled by closing its connection.
    CancelAttempt(AttemptId),
    /// To a server: idle connections are closed.
    ConnectionsClosed(ClosedConnections),
    /// To a proxy: the response to an attempt.
    AttemptResponse(AttemptResponse),
    /// To a server: a health check, by which proxy and with which number.
    HealthCheck(u32, u64),
    /// To a proxy: the number of a health check, how it ended, and the load report.
    HealthCheckResponse(u64, Outcome, Option<LoadReport>),
    /// To discovery: a call of this proxy, and whether it wants to watch.
    DiscoveryRequest(u32, bool),
    /// To a proxy: what discovery tells.
    DiscoveryUpdate(DiscoveryUpdate),
    /// To a client: a request had its effect in this group of servers.
    EffectExecuted(ClientRequestId, u64),
}

/// The true state of a server, broadcast to all threads.
#[derive(Clone, Copy, Debug)]
pub struct ServerStateBroadcast {
    /// The tier.
    pub tier: u8,
    /// The server's index in the tier.
    pub slot: u32,
    /// Its state.
    pub true_state: TrueState,
}

/// Collects what a node of the model sends.
pub type Outbox = engine::Outbox<super::Topology>;
