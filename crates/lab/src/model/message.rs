//! The messages that the nodes of the model send to each other and to themselves.

use crate::engine;
use crate::policy::TrueState;
use olivecart_decisions::{EndpointState, LoadReport, Nanos, Outcome, Timer};
use std::sync::Arc;

/// The id of a client's request, the same for all of its attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClientRequestId {
    /// The client node that sent it.
    pub node: u32,
    /// The slot at that node.
    pub slot: u32,
    /// Distinguishes the request from others that used the same slot.
    pub generation: u32,
}

/// A request as it arrives at a proxy.
#[derive(Clone, Copy, Debug)]
pub struct ProxyRequest {
    /// The client's request.
    pub client_request: ClientRequestId,
    /// The number of the client's attempt.
    pub attempt: u8,
    /// The class of the request.
    pub class: u16,
    /// The tenant of the request; [`NO_TENANT`](super::NO_TENANT) if there is none.
    pub tenant: u16,
    /// Whether its caller marked it as a retry.
    pub is_retry: bool,
    /// The time until which its caller waits.
    pub deadline: Nanos,
    /// The work of the request in all tiers, in nanoseconds on a core of speed 1.
    pub work: u64,
}

/// The outcome of a request for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The request was served; contains the work done for the response in all tiers.
    Served(u64),
    /// The request was refused; contains the retry-after time, or 0 if none was given.
    Refused(Nanos),
    /// The request failed.
    Failed,
    /// No proxy was available, or the proxy died.
    Unreachable,
}

/// The id of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The node of the proxy that sent it.
    pub proxy: u32,
    /// The number of the request at the proxy.
    pub request: u64,
    /// The number of the attempt of that request.
    pub number: u32,
}

/// An attempt as it arrives at a server.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// The id of the attempt.
    pub id: AttemptId,
    /// The client's request.
    pub client_request: ClientRequestId,
    /// The class of the request.
    pub class: u16,
    /// The tenant of the request; [`NO_TENANT`](super::NO_TENANT) if there is none.
    pub tenant: u16,
    /// The time until which its proxy waits.
    pub deadline: Nanos,
    /// The work of the request in all tiers.
    pub work: u64,
    /// The server incarnation to which its connection was opened; `None` for a new connection.
    pub connection_incarnation: Option<u32>,
    /// The last start time of the server that its proxy knows of.
    pub known_start: Nanos,
    /// Whether its connection is reset once the attempt is written.
    pub breaks_connection: bool,
}

/// Idle connections that a proxy closes.
#[derive(Clone, Copy, Debug)]
pub struct ClosedConnections {
    /// The server incarnation to which they were opened.
    pub incarnation: u32,
    /// The number of connections.
    pub count: u32,
}

/// The response of a server to an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResponse {
    /// The number of the request at its proxy.
    pub request: u64,
    /// The number of the attempt.
    pub number: u32,
    /// The outcome of the attempt.
    pub outcome: Outcome,
    /// The server incarnation, if the connection stays open.
    pub connection_incarnation: Option<u32>,
    /// The work done for the response in all tiers.
    pub work: u64,
    /// The load report of the server.
    pub load: Option<LoadReport>,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListEntry {
    /// The server's index in its tier.
    pub slot: u32,
    /// The state of the server.
    pub state: EndpointState,
    /// The last start time of the server; 0 if it started before the run.
    pub started: Nanos,
}

/// An update that discovery sends to a proxy.
#[derive(Clone, Debug)]
pub enum DiscoveryUpdate {
    /// The complete list.
    Full(Arc<[ListEntry]>),
    /// The entries that changed.
    Delta(Arc<[ListEntry]>),
    /// The call failed, or the watch ended.
    Failed,
}

/// A change of a machine's state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MachineChange {
    /// The process dies.
    Die {
        /// Whether the machine is lost with it: it sends nothing more, and no other node is notified.
        silent: bool,
    },
    /// The process starts.
    Start,
    /// The server finishes its current requests and rejects new ones.
    Drain,
    /// The server fails this share of its requests immediately; 0 ends the fault.
    Errors(f64),
    /// The server is slower by this factor; 1 ends the fault.
    Slow(f64),
    /// The server stops responding to requests (`true`) or recovers (`false`).
    Hang(bool),
    /// Load reports are delayed by this additional time; 0 ends the fault.
    Late(Nanos),
}

/// An event that a node handles.
#[derive(Clone, Debug)]
pub enum Message {
    // ---- events of the node itself ----
    /// The next client request arrives.
    ClientArrives,
    /// The timeout of a client's attempt expires.
    ClientTimesOut(ClientRequestId, u8),
    /// A client closes its connection before the timeout.
    ClientDisconnects(ClientRequestId, u8),
    /// A client sends its next attempt.
    ClientRetries(ClientRequestId),
    /// The deadline of a request at a proxy expires.
    DeadlineExpired(u64),
    /// The grace period after the deadline of a request at a proxy has passed.
    ResponseOverdue(u64),
    /// A timer that the policy set in this incarnation of the proxy fires.
    PolicyTimer(Timer, u32),
    /// The connection of an attempt was not established in time, or the attempt's timeout has passed.
    AttemptTimedOut {
        /// The number of the request.
        request: u64,
        /// The number of the attempt.
        number: u32,
        /// The outcome of the attempt if it is still in flight.
        outcome: Outcome,
    },
    /// The health check with this number got no response in time.
    HealthCheckTimedOut(u64),
    /// Expired idle connections are to be closed, in this incarnation of the proxy.
    SweepIdleConnections(u32),
    /// The health of endpoints is to be sampled for the report.
    SampleEndpointHealth,
    /// A part of a job is due to be completed.
    WorkCompleted {
        /// The job.
        job: u32,
        /// The generation of the job's index.
        generation: u32,
    },
    /// A server pauses.
    ServerPauses,
    /// A fault starts or ends at this machine.
    MachineChanges(MachineChange),
    /// Discovery receives changes of endpoints, each with its tier.
    DiscoveryNotified(Arc<[(u8, ListEntry)]>),
    /// Discovery serves a call; contains the proxy, and whether it watches from now on.
    DiscoveryCallServed(u32, bool),
    /// An outage of discovery starts.
    DiscoveryOutage,

    // ---- messages over the network ----
    /// To a proxy: a client's request.
    Request(ProxyRequest),
    /// To a client: the response to one of its attempts.
    Response(ClientRequestId, u8, RequestOutcome),
    /// To a proxy: the client closed its connection.
    ClientDisconnected(ClientRequestId, u8),
    /// To a server: an attempt.
    Attempt(Attempt),
    /// To a server: the connection of an attempt is closed, which cancels the attempt.
    CancelAttempt(AttemptId),
    /// To a server: idle connections are closed.
    ConnectionsClosed(ClosedConnections),
    /// To a proxy: the response to an attempt.
    AttemptResponse(AttemptResponse),
    /// To a server: a health check, with the proxy and its number.
    HealthCheck(u32, u64),
    /// To a proxy: the response to a health check, with its number, its outcome and the load report.
    HealthCheckResponse(u64, Outcome, Option<LoadReport>),
    /// To discovery: a request of this proxy for the list, and whether it wants to watch.
    DiscoveryRequest(u32, bool),
    /// To a proxy: an update from discovery.
    DiscoveryUpdate(DiscoveryUpdate),
    /// To a client: a request had its effect in this deduplication group of servers.
    EffectExecuted(ClientRequestId, u64),
}

/// The true state of a server, broadcast to all threads.
#[derive(Clone, Copy, Debug)]
pub struct ServerStateBroadcast {
    /// The tier.
    pub tier: u8,
    /// The server's index in the tier.
    pub slot: u32,
    /// The state of the server.
    pub true_state: TrueState,
}

/// Collects the messages that a node of the model sends.
pub type Outbox = engine::Outbox<super::Topology>;
