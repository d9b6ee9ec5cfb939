//! The interface of the decision module: what it is told and what it answers.
//!
//! Names of deployments, zones, classes, tenants and machine kinds never come this far: they are numbered
//! by whoever embeds the module, in the order of the settings or in the order they were first heard of.
//! Only an endpoint's name is passed on, because the preferred order is a hash of it.

use std::rc::Rc;

/// A point in time or a length of time, in nanoseconds. The clock has no particular origin.
pub type Nanos = u64;

/// One endpoint, numbered in the order this instance heard of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u32);

/// One request; never used again after it has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Index into [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassId(pub u16);

/// Index into [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantId(pub u16);

/// A zone (failure domain), numbered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneId(pub u16);

/// A kind of machine, numbered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct KindId(pub u16);

/// A cell: a small group of endpoints that share which keys they have seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CellId(pub u64);

/// What a timer is for; handed back unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// An endpoint's periodic health check.
    HealthCheck(EndpointId),
    /// A request that waits for an endpoint, or whose attempt may be overdue.
    Request(RequestId),
    /// The list has to be asked for.
    Discovery,
}

/// The endpoints within which a repeat of a keyed request is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Any endpoint.
    All,
    /// Those in the zone of the endpoint that may have run it.
    Zone,
    /// Those in its cell.
    Cell,
}

/// What happens if a request runs twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Nothing: it may be sent again at will.
    Idempotent,
    /// Its key keeps it from taking effect twice, inside one group and for a while.
    Keyed {
        /// Where a repeat is dropped.
        scope: DeduplicationScope,
        /// For how long after the first attempt that may have run.
        window: Nanos,
    },
    /// Harm: it must never run twice.
    NonIdempotent,
}

/// One class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// An answer within this time earns the full worth.
    pub latency_objective: Nanos,
    /// The longest a client waits, over all its tries.
    pub client_deadline: Nanos,
    /// Whether it may run again.
    pub idempotency: Idempotency,
    /// Worth of one request.
    pub priority_weight: f64,
    /// Share of the worth left to an answer after the aim.
    pub late_weight_ratio: f64,
    /// The answer comes as a stream.
    pub streaming: bool,
}

impl Default for Class {
    fn default() -> Self {
        Class {
            latency_objective: 100_000_000,
            client_deadline: 400_000_000,
            idempotency: Idempotency::Idempotent,
            priority_weight: 1.0,
            late_weight_ratio: 0.0,
            streaming: false,
        }
    }
}

/// One tenant and what it is owed.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second within its share, over all sidecars.
    pub quota_per_s: f64,
    /// Its part of the service.
    pub share: f64,
}

/// How the list of endpoints comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes come unasked.
    Automatic,
    /// Only after [`Action::WatchEndpoints`] or [`Action::RefreshEndpoints`].
    Subscribe,
}

/// What the site allows.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Most attempts of one request.
    pub max_attempts: u32,
    /// Two attempts of one request may be out at the same time.
    pub hedging_enabled: bool,
    /// [`Action::CancelAttempt`] may be used.
    pub cancellation_enabled: bool,
    /// [`Action::StartHealthCheck`] may be used.
    pub health_checks_enabled: bool,
    /// Longest come-back time that clients honour; 0 where none may be given.
    pub max_retry_after: Nanos,
    /// A connection not established in this time has failed.
    pub connect_timeout: Nanos,
}

/// The figures of the four rules.
#[derive(Clone, Debug)]
pub struct Rules {
    /// A cold endpoint starts with at least this share of its capacity.
    pub slow_start_initial_share: f64,
    /// It is warm no later than this after its start.
    pub slow_start_window: Nanos,
    /// It falls over when sent more than this multiple of its present capacity...
    pub overload_multiple: f64,
    /// ...for this long.
    pub overload_window: Nanos,
    /// Sends to a draining or gone endpoint must stop within this time.
    pub drain_grace: Nanos,
    /// Without a subscription, the list must be asked for within this time.
    pub poll_interval: Nanos,
}

/// What a unit of each costs, as a fraction of all the service.
#[derive(Clone, Debug, Default)]
pub struct CostWeights {
    /// An attempt across zones, per first try.
    pub cross_zone: f64,
    /// Endpoint work that yields no answer, as a fraction of the work offered.
    pub wasted_work: f64,
    /// A probe, per first try.
    pub health_check: f64,
    /// Worth that ends unserved after its aim, per worth.
    pub late_failure: f64,
}

/// What an instance is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of this instance among those of its tier, from 0.
    pub replica_index: u32,
    /// How many instances its tier has.
    pub replica_count: u32,
    /// The tier it sends to; 0 is the one that clients call.
    pub tier: u32,
    /// Where it runs.
    pub zone: ZoneId,
    /// Least time between two batches of events.
    pub clock_granularity: Nanos,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The tenants; may be none.
    pub tenants: Vec<Tenant>,
    /// Worth left to a request beyond its tenant's share.
    pub over_quota_weight_ratio: f64,
    /// Worth is counted for each unit of work instead of each request.
    pub weight_by_work: bool,
    /// A call to the next tier carries the time its caller has left.
    pub propagates_deadline: bool,
    /// How the list comes.
    pub discovery: Discovery,
    /// What the site allows.
    pub limits: Limits,
    /// The figures of the rules.
    pub rules: Rules,
    /// What things cost.
    pub cost_weights: CostWeights,
}

impl Default for Settings {
    fn default() -> Self {
        const S: Nanos = 1_000_000_000;
        Settings {
            replica_index: 0,
            replica_count: 1,
            tier: 0,
            zone: ZoneId(0),
            clock_granularity: S / 1000,
            classes: Vec::new(),
            tenants: Vec::new(),
            over_quota_weight_ratio: 1.0,
            weight_by_work: false,
            propagates_deadline: true,
            discovery: Discovery::Automatic,
            limits: Limits {
                max_attempts: 3,
                hedging_enabled: false,
                cancellation_enabled: false,
                health_checks_enabled: true,
                max_retry_after: 0,
                connect_timeout: S / 4,
            },
            rules: Rules {
                slow_start_initial_share: 0.1,
                slow_start_window: 30 * S,
                overload_multiple: 2.0,
                overload_window: S,
                drain_grace: S / 4,
                poll_interval: 10 * S,
            },
            cost_weights: CostWeights::default(),
        }
    }
}

impl Settings {
    /// Says what makes these settings unusable or contradictory, if anything.
    pub fn validate(&self) -> Result<(), String> {
        let bad = |what: &str| Err(format!("settings: {what}"));
        if self.classes.is_empty() {
            return bad("there is no class of requests");
        }
        if self.replica_count == 0 || self.replica_index >= self.replica_count {
            return bad("this instance's number lies outside its group");
        }
        if self.limits.max_attempts == 0 {
            return bad("no attempt is allowed at all");
        }
        if self.classes.iter().any(|c| c.latency_objective == 0 || c.client_deadline == 0) {
            return bad("a class has no time to be answered in");
        }
        let rules = &self.rules;
        if !(0.0..=1.0).contains(&rules.slow_start_initial_share)
            || rules.overload_multiple.is_nan()
            || rules.overload_multiple <= 0.0
        {
            return bad("the figures of the cold rule are not usable");
        }
        Ok(())
    }
}

/// Whether an endpoint takes requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes requests.
    Ready,
    /// It finishes what it has; nothing new.
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
    /// Its name, the same at every instance; only hashed.
    pub name: Rc<str>,
    /// Whether it takes requests.
    pub state: EndpointState,
    /// Where it runs.
    pub zone: ZoneId,
    /// Its kind of machine.
    pub kind: KindId,
    /// Its cell.
    pub cell: CellId,
    /// Its size, comparable with that of others; 1 where nothing is known.
    pub size: f64,
    /// When it last started; none if long ago.
    pub started: Option<Nanos>,
}

impl EndpointEntry {
    /// A warm endpoint that takes requests, with nothing else known of it.
    pub fn ready(id: EndpointId, name: &str) -> EndpointEntry {
        let (zone, kind, cell) = (ZoneId(0), KindId(0), CellId(0));
        EndpointEntry {
            id,
            name: name.into(),
            state: EndpointState::Ready,
            zone,
            kind,
            cell,
            size: 1.0,
            started: None,
        }
    }
}

impl DeduplicationScope {
    /// Whether two endpoints lie in one scope, so that each drops what the other has run.
    pub fn is_shared_by(self, a: &EndpointEntry, b: &EndpointEntry) -> bool {
        match self {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => a.zone == b.zone,
            DeduplicationScope::Cell => a.cell == b.cell,
        }
    }
}

/// News of the list.
#[derive(Clone, Debug)]
pub enum EndpointUpdate {
    /// Entries that changed.
    Delta(Vec<EndpointEntry>),
    /// The whole list; what is missing is gone.
    Snapshot(Vec<EndpointEntry>),
    /// The whole list as this instance last held it, perhaps outdated.
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
    /// Its subject; requests of one key belong together.
    pub key: Option<u64>,
    /// Time until the client gives up this try.
    pub time_left: Nanos,
    /// Expected work, as time on a standard core; rough.
    pub estimated_work: Option<Nanos>,
    /// It writes.
    pub is_write: bool,
    /// The client marked it as a repeated try.
    pub is_retry: bool,
}

impl Request {
    /// A request with nothing optional.
    pub fn new(id: RequestId, class: ClassId, time_left: Nanos) -> Request {
        Request {
            id,
            class,
            tenant: None,
            key: None,
            time_left,
            estimated_work: None,
            is_write: false,
            is_retry: false,
        }
    }
}

/// How an attempt or a check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The endpoint answered with an error; it may have run.
    Error,
    /// Turned away unseen.
    Overloaded,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Withdrawn; it may have run.
    Cancelled,
    /// Never issued.
    NotSent,
}

impl Outcome {
    /// The attempt provably never ran.
    pub fn was_never_executed(self) -> bool {
        matches!(self, Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// What an endpoint reported of its load: late, noisy, and only in part.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in work.
    pub active: Option<f64>,
    /// Requests waiting.
    pub waiting: Option<f64>,
    /// Fraction of its cores in use.
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
    /// How long it took.
    pub duration: Nanos,
    /// The request has ended, by this attempt or before.
    pub request_completed: bool,
    /// Load report that came along.
    pub load: Option<LoadReport>,
}

/// What the module is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the list of endpoints.
    Endpoints(EndpointUpdate),
    /// A request arrived; one final response is owed.
    RequestArrived(Request),
    /// An attempt's stream has begun: no time-out runs any more.
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
    /// A check ended.
    HealthCheckCompleted {
        /// The endpoint checked.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// How long it took.
        duration: Nanos,
        /// Load report that came along.
        load: Option<LoadReport>,
    },
    /// A timer is due.
    TimerFired(Timer),
    /// Bytes from another instance of the tier. The module shares nothing and ignores them.
    PeerMessage {
        /// Number of the sender.
        from: u32,
        /// What it sent.
        bytes: Vec<u8>,
    },
}

/// What the module decides.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    StartAttempt {
        /// The request.
        request: RequestId,
        /// Where to.
        endpoint: EndpointId,
        /// Time-out of the attempt; 0: until the client gives up.
        timeout: Nanos,
        /// Its first byte may be written until then. Danger: a connection that comes up late carries a repeat out
        /// of the window in which it is known as one.
        start_by: Nanos,
    },
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// Which of its attempts.
        attempt: u32,
    },
    /// Final answer: refused, trying again is harmless.
    Shed {
        /// The request.
        request: RequestId,
        /// How long the client should stay away; 0: no word.
        retry_after: Nanos,
    },
    /// Final answer: failed, nothing promised.
    Fail(RequestId),
    /// Check an endpoint.
    StartHealthCheck(EndpointId),
    /// Ask for [`Event::TimerFired`] at a time.
    SetTimer {
        /// When.
        at: Nanos,
        /// Handed back.
        timer: Timer,
    },
    /// Subscribe to changes of the list, or stop.
    WatchEndpoints(bool),
    /// Ask for the whole list once.
    RefreshEndpoints,
    /// Close idle connections to an endpoint.
    CloseIdleConnections(EndpointId),
    /// Send bytes to one other instance of the tier, or to all.
    Publish {
        /// Number of the receiver; none: all.
        to: Option<u32>,
        /// At most 256.
        bytes: Vec<u8>,
    },
    /// A line for the operators' report.
    Log(String),
}
