//! The interface while it runs: events in, actions out.
//!
//! Plain data. The embedding program (proxy, simulator's adapter, lab) makes the events and carries out the
//! actions; nothing is decided here.

use crate::id::{CellId, ClassId, EndpointId, MachineKindId, Nanos, RequestId, TenantId, ZoneId};
use std::rc::Rc;

/// What a timer is for; handed back unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// An endpoint's periodic health check is due.
    HealthCheck(EndpointId),
    /// A request waits in the queue, or its last attempt may be overdue.
    Request(RequestId),
    /// The list of endpoints has to be asked for.
    Discovery,
}

/// Whether an endpoint takes requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes requests.
    Ready,
    /// It finishes what it has and must get nothing new.
    Draining,
    /// It is no longer listed, or the list says that it has left.
    #[default]
    Removed,
}

/// One endpoint as the list describes it.
#[derive(Clone, Debug, Default)]
pub struct EndpointEntry {
    /// The endpoint.
    pub id: EndpointId,
    /// Its name, the same at every replica; only hashed.
    pub name: Rc<str>,
    /// Whether it takes requests.
    pub state: EndpointState,
    /// Where it runs.
    pub zone: ZoneId,
    /// Its kind of machine.
    pub machine_kind: MachineKindId,
    /// Its cell.
    pub cell: CellId,
    /// Its size, greater than 0 and comparable with that of others; 1 where nothing is known.
    pub relative_capacity: f64,
    /// When its process last started; none if long ago.
    pub started: Option<Nanos>,
}

impl EndpointEntry {
    /// An endpoint past its slow start that takes requests, with nothing else known of it.
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

/// An update of the list of endpoints.
#[derive(Clone, Debug)]
pub enum EndpointUpdate {
    /// Entries that changed.
    Delta(Vec<EndpointEntry>),
    /// The complete list; what is missing is removed.
    Snapshot(Vec<EndpointEntry>),
    /// The complete list as this replica last held it, perhaps outdated.
    Cached(Vec<EndpointEntry>),
    /// Asking failed or the subscription broke; the list stays as it was.
    Failed,
}

/// A request that arrived.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its number.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where there are any.
    pub tenant: Option<TenantId>,
    /// Its idempotency key; requests of one key belong together.
    pub idempotency_key: Option<u64>,
    /// Time until the client gives up, in nanoseconds.
    pub time_left: Nanos,
    /// Expected work, as time on a standard core; rough.
    pub estimated_work: Option<Nanos>,
    /// It writes.
    pub is_write: bool,
    /// The client marked it as a retry.
    pub is_retry: bool,
}

impl Request {
    /// A request with nothing optional; `time_left` as in [`Request::time_left`].
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
    /// Served.
    Ok,
    /// The endpoint answered with an error; it may have run.
    Error,
    /// The endpoint rejected it as overloaded; it never ran.
    Overloaded,
    /// No response in time; it may have run.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// The attempt provably never ran. Unsure means that it may have.
    pub fn was_never_executed(self) -> bool {
        matches!(self, Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// What an endpoint reported of its load: late, noisy, and only in part.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests being served.
    pub active: Option<f64>,
    /// Requests waiting.
    pub waiting: Option<f64>,
    /// Fraction of its cores in use, from 0 to 1.
    pub cpu: Option<f64>,
    /// Recent service time in milliseconds, without waiting.
    pub service_ms: Option<f64>,
    /// Requests served a second.
    pub rate: Option<f64>,
    /// Errors a second.
    pub error_rate: Option<f64>,
}

/// The end of one attempt; exactly one comes for each [`Action::StartAttempt`].
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// The request.
    pub request: RequestId,
    /// Which of its attempts, from 0.
    pub attempt: u32,
    /// Where it was sent.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it took, in nanoseconds.
    pub duration: Nanos,
    /// The request has ended, by this attempt or before.
    pub request_completed: bool,
    /// Load report that came along.
    pub load: Option<LoadReport>,
}

/// What the balancer is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// The list of endpoints changed, or asking for it failed.
    Endpoints(EndpointUpdate),
    /// A request arrived; one final response is owed.
    RequestArrived(Request),
    /// The response to an attempt has begun to stream: no timeout runs any more.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// Which of its attempts.
        attempt: u32,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The client left; nothing is owed any more.
    RequestAborted(RequestId),
    /// A health check ended.
    HealthCheckCompleted {
        /// The endpoint checked.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// How long it took, in nanoseconds.
        duration: Nanos,
        /// Load report that came along.
        load: Option<LoadReport>,
    },
    /// A timer is due.
    TimerFired(Timer),
    /// Bytes from another replica of the tier. The balancer shares nothing and ignores them.
    PeerMessage {
        /// Index of the sender.
        from: u32,
        /// What it sent.
        bytes: Vec<u8>,
    },
}

/// What the balancer decides.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    StartAttempt {
        /// The request.
        request: RequestId,
        /// Where to.
        endpoint: EndpointId,
        /// Timeout of the attempt in nanoseconds; 0: until the client gives up.
        timeout: Nanos,
        /// Its first byte may be written until then. Danger: a connection that comes up late carries a retry
        /// out of the window in which it is known as one.
        start_by: Nanos,
    },
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// Which of its attempts.
        attempt: u32,
    },
    /// Final response: rejected, trying again is harmless.
    Shed {
        /// The request.
        request: RequestId,
        /// How long the client should stay away, in nanoseconds; 0: nothing is said.
        retry_after: Nanos,
    },
    /// Final response: failed, nothing promised.
    Fail(RequestId),
    /// Start a health check.
    StartHealthCheck(EndpointId),
    /// Ask for [`Event::TimerFired`] at a time.
    SetTimer {
        /// When.
        at: Nanos,
        /// Handed back.
        timer: Timer,
    },
    /// Subscribe to changes of the list of endpoints, or stop.
    WatchEndpoints(bool),
    /// Ask for the complete list once.
    RefreshEndpoints,
    /// Close idle connections to an endpoint.
    CloseIdleConnections(EndpointId),
    /// Send bytes to one other replica of the tier, or to all.
    Publish {
        /// Index of the receiver; none: all.
        to: Option<u32>,
        /// At most 256.
        bytes: Vec<u8>,
    },
    /// A line for the operators' log.
    Log(String),
}
