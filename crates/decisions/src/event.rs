//! The events that a balancer receives and the actions that it returns.
//!
//! These are plain data types without logic. The embedding program (the proxy, the simulator's adapter or
//! the lab) creates the events and carries out the actions.

use crate::id::{CellId, ClassId, EndpointId, MachineKindId, Nanos, RequestId, TenantId, ZoneId};
use std::rc::Rc;

/// The purpose of a timer; returned unchanged in [`Event::TimerFired`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// An endpoint's periodic health check is due.
    HealthCheck(EndpointId),
    /// A queued request is due for another try, or the last attempt of a request may be overdue.
    Request(RequestId),
    /// The endpoint list has to be requested.
    Discovery,
}

/// Whether an endpoint accepts requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Accepts requests.
    Ready,
    /// Finishes its current requests and must not receive new ones.
    Draining,
    /// Missing from the endpoint list, or listed as removed.
    #[default]
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, Default)]
pub struct EndpointEntry {
    /// The ID of the endpoint.
    pub id: EndpointId,
    /// The name of the endpoint, the same at every replica. Its hash sets the order of preference; learned
    /// state is stored under it.
    pub name: Rc<str>,
    /// Whether the endpoint accepts requests.
    pub state: EndpointState,
    /// The zone in which the endpoint runs.
    pub zone: ZoneId,
    /// The machine kind on which the endpoint runs.
    pub machine_kind: MachineKindId,
    /// The cell of the endpoint.
    pub cell: CellId,
    /// Capacity relative to other endpoints, greater than 0; 1 if unknown.
    pub relative_capacity: f64,
    /// When the endpoint's process last started; `None` if that was long ago.
    pub started: Option<Nanos>,
}

impl EndpointEntry {
    /// Creates the entry of a ready endpoint past its slow start, with defaults for all else.
    pub fn ready(id: EndpointId, name: &str) -> EndpointEntry {
        EndpointEntry {
            id,
            name: name.into(),
            state: EndpointState::Ready,
            relative_capacity: 1.0,
            ..EndpointEntry::default()
        }
    }
}

/// An update of the endpoint list.
#[derive(Clone, Debug)]
pub enum EndpointUpdate {
    /// The entries that changed.
    Delta(Vec<EndpointEntry>),
    /// The complete list; endpoints missing from it are removed.
    Snapshot(Vec<EndpointEntry>),
    /// The complete list from this replica's cache, possibly outdated.
    Cached(Vec<EndpointEntry>),
    /// The list request failed or the subscription broke; the list stays unchanged.
    Failed,
}

/// A request from a client.
#[derive(Clone, Debug)]
pub struct Request {
    /// The ID of the request.
    pub id: RequestId,
    /// The class of the request.
    pub class: ClassId,
    /// The tenant that sent the request, if tenants are configured.
    pub tenant: Option<TenantId>,
    /// The idempotency key, shared by all retries of one operation.
    pub idempotency_key: Option<u64>,
    /// Time until the client gives up, in nanoseconds.
    pub time_left: Nanos,
    /// A rough estimate of the work, in nanoseconds on a standard core.
    pub estimated_work: Option<Nanos>,
    /// Whether the request is a write.
    pub is_write: bool,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
}

impl Request {
    /// Creates a request without optional fields; see [`Request::time_left`] for `time_left`.
    pub fn new(id: RequestId, class: ClassId, time_left: Nanos) -> Request {
        Request {
            id,
            class,
            tenant: None,
            idempotency_key: None,
            time_left,
            estimated_work: None,
            is_write: false,
            is_retry: false,
        }
    }
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Succeeded.
    Ok,
    /// The endpoint responded with an error; the request may have run.
    Error,
    /// The endpoint rejected the request as overloaded; the request never ran.
    Overloaded,
    /// No response arrived in time; the request may have run.
    Timeout,
    /// No connection was established; the request never ran.
    ConnectFailed,
    /// The connection broke; the request may have run.
    Reset,
    /// The attempt was cancelled; the request may have run.
    Cancelled,
    /// The request was never sent.
    NotSent,
}

impl Outcome {
    /// Returns whether the attempt certainly never ran. Returns `false` if in doubt.
    pub fn was_never_executed(self) -> bool {
        matches!(self, Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// The load that an endpoint reported. Reports are delayed, noisy and may be incomplete.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests being served.
    pub active: Option<f64>,
    /// Requests waiting.
    pub waiting: Option<f64>,
    /// Fraction of its cores in use, from 0 to 1.
    pub cpu: Option<f64>,
    /// Recent service time in milliseconds, without queueing time.
    pub service_ms: Option<f64>,
    /// Requests served per second.
    pub rate: Option<f64>,
    /// Errors per second.
    pub error_rate: Option<f64>,
}

/// The end of one attempt, reported exactly once for each [`Action::StartAttempt`].
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// The request.
    pub request: RequestId,
    /// The index of the attempt among those of the request, from 0.
    pub attempt: u32,
    /// The endpoint to which the attempt was sent.
    pub endpoint: EndpointId,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The duration of the attempt, in nanoseconds.
    pub duration: Nanos,
    /// Whether the request has completed, by this attempt or before it.
    pub request_completed: bool,
    /// The load report sent with the response, if any.
    pub load: Option<LoadReport>,
}

/// An input of the balancer.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list changed, or requesting it failed.
    Endpoints(EndpointUpdate),
    /// A request arrived; it needs exactly one final response.
    RequestArrived(Request),
    /// The response to an attempt has started to arrive. Attempt timeouts no longer apply.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// The index of the attempt, from 0.
        attempt: u32,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The client disconnected; no response is needed any more.
    RequestAborted(RequestId),
    /// A health check ended.
    HealthCheckCompleted {
        /// The endpoint that was checked.
        endpoint: EndpointId,
        /// How the check ended.
        outcome: Outcome,
        /// The duration of the check, in nanoseconds.
        duration: Nanos,
        /// The load report sent with the response, if any.
        load: Option<LoadReport>,
    },
    /// A timer fired.
    TimerFired(Timer),
    /// A message from another replica of the tier. Ignored, because replicas share no state.
    PeerMessage {
        /// The index of the replica that sent the message.
        from: u32,
        /// The content of the message.
        bytes: Vec<u8>,
    },
}

/// An action for the embedding program to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    StartAttempt {
        /// The request.
        request: RequestId,
        /// The endpoint to send the attempt to.
        endpoint: EndpointId,
        /// The timeout of the attempt in nanoseconds; 0 means until the client gives up.
        timeout: Nanos,
        /// The latest time at which the first byte may be written. Without this limit, a connection that
        /// is established late could deliver a keyed retry after the end of its deduplication window.
        start_by: Nanos,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// The index of the attempt, from 0.
        attempt: u32,
    },
    /// Send the final response: rejected, and safe to retry.
    Shed {
        /// The request.
        request: RequestId,
        /// How long the client should wait before a retry, in nanoseconds; 0 for no Retry-After.
        retry_after: Nanos,
    },
    /// Send the final response: failed, and not known to be safe to retry.
    Fail(RequestId),
    /// Start a health check.
    StartHealthCheck(EndpointId),
    /// Send [`Event::TimerFired`] at a given time.
    SetTimer {
        /// When the timer fires.
        at: Nanos,
        /// The timer to return in the event.
        timer: Timer,
    },
    /// Subscribe to changes of the endpoint list (`true`), or unsubscribe (`false`).
    WatchEndpoints(bool),
    /// Request the complete endpoint list once.
    RefreshEndpoints,
    /// Close the idle connections to an endpoint.
    CloseIdleConnections(EndpointId),
    /// Send a message to one other replica of the tier, or to all of them.
    Publish {
        /// The index of the receiving replica; `None` for all.
        to: Option<u32>,
        /// The content of the message, at most 256 bytes.
        bytes: Vec<u8>,
    },
    /// Write a line to the operators' log.
    Log(String),
}
