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
    /// An endpoint's periodic check.
    Check(EndpointId),
    /// A request that waits for an endpoint, or whose attempt may be overdue.
    Request(RequestId),
    /// The list has to be asked for.
    Discovery,
}

/// The endpoints within which a repeat of a keyed request is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Any endpoint.
    All,
    /// Those in the zone of the endpoint that may have run it.
    Zone,
    /// Those in its cell.
    Cell,
}

/// What happens if a request runs twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing: it may be sent again at will.
    Repeatable,
    /// Its key keeps it from taking effect twice, inside one group and for a while.
    ByKey {
        /// Where a repeat is dropped.
        group: Group,
        /// For how long after the first attempt that may have run.
        window: Nanos,
    },
    /// Harm: it must never run twice.
    Once,
}

/// One class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// An answer within this time earns the full worth.
    pub aim: Nanos,
    /// The longest a client waits, over all its tries.
    pub give_up: Nanos,
    /// Whether it may run again.
    pub effect: Effect,
    /// Worth of one request.
    pub worth: f64,
    /// Share of the worth left to an answer after the aim.
    pub late_worth: f64,
    /// The answer comes as a stream.
    pub stream: bool,
}

impl Default for Class {
    fn default() -> Self {
        let effect = Effect::Repeatable;
        Class { aim: 100_000_000, give_up: 400_000_000, effect, worth: 1.0, late_worth: 0.0, stream: false }
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
    /// Only after [`Action::Watch`] or [`Action::Refresh`].
    Subscribe,
}

/// What the site allows.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Most attempts of one request.
    pub max_attempts: u32,
    /// Two attempts of one request may be out at the same time.
    pub second_copies: bool,
    /// [`Action::Cancel`] may be used.
    pub cancel: bool,
    /// [`Action::Check`] may be used.
    pub probes: bool,
    /// Longest come-back time that clients honour; 0 where none may be given.
    pub max_retry_after: Nanos,
    /// A connection not established in this time has failed.
    pub connect_timeout: Nanos,
}

/// The figures of the four rules.
#[derive(Clone, Debug)]
pub struct Rules {
    /// A cold endpoint starts with at least this share of its capacity.
    pub cold_share: f64,
    /// It is warm no later than this after its start.
    pub cold: Nanos,
    /// It falls over when sent more than this multiple of its present capacity...
    pub fall_multiple: f64,
    /// ...for this long.
    pub fall: Nanos,
    /// Sends to a draining or gone endpoint must stop within this time.
    pub drain_grace: Nanos,
    /// Without a subscription, the list must be asked for within this time.
    pub must_ask_in: Nanos,
}

/// What a unit of each costs, as a fraction of all the service.
#[derive(Clone, Debug, Default)]
pub struct Prices {
    /// An attempt across zones, per first try.
    pub cross_zone: f64,
    /// Endpoint work that yields no answer, as a fraction of the work offered.
    pub waste: f64,
    /// A probe, per first try.
    pub probe: f64,
    /// Worth that ends unserved after its aim, per worth.
    pub late_fail: f64,
}

/// What an instance is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of this instance among those of its tier, from 0.
    pub me: u32,
    /// How many instances its tier has.
    pub group_size: u32,
    /// The tier it sends to; 0 is the one that clients call.
    pub tier: u32,
    /// Where it runs.
    pub zone: ZoneId,
    /// Least time between two batches of events.
    pub tick: Nanos,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The tenants; may be none.
    pub tenants: Vec<Tenant>,
    /// Worth left to a request beyond its tenant's share.
    pub over_share_worth: f64,
    /// Worth is counted for each unit of work instead of each request.
    pub worth_by_work: bool,
    /// A call to the next tier carries the time its caller has left.
    pub passes_deadline: bool,
    /// How the list comes.
    pub discovery: Discovery,
    /// What the site allows.
    pub limits: Limits,
    /// The figures of the rules.
    pub rules: Rules,
    /// What things cost.
    pub prices: Prices,
}

impl Default for Settings {
    fn default() -> Self {
        const S: Nanos = 1_000_000_000;
        Settings {
            me: 0,
            group_size: 1,
            tier: 0,
            zone: ZoneId(0),
            tick: S / 1000,
            classes: Vec::new(),
            tenants: Vec::new(),
            over_share_worth: 1.0,
            worth_by_work: false,
            passes_deadline: true,
            discovery: Discovery::Automatic,
            limits: Limits {
                max_attempts: 3,
                second_copies: false,
                cancel: false,
                probes: true,
                max_retry_after: 0,
                connect_timeout: S / 4,
            },
            rules: Rules {
                cold_share: 0.1,
                cold: 30 * S,
                fall_multiple: 2.0,
                fall: S,
                drain_grace: S / 4,
                must_ask_in: 10 * S,
            },
            prices: Prices::default(),
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
        if self.group_size == 0 || self.me >= self.group_size {
            return bad("this instance's number lies outside its group");
        }
        if self.limits.max_attempts == 0 {
            return bad("no attempt is allowed at all");
        }
        if self.classes.iter().any(|c| c.aim == 0 || c.give_up == 0) {
            return bad("a class has no time to be answered in");
        }
        let rules = &self.rules;
        if !(0.0..=1.0).contains(&rules.cold_share)
            || rules.fall_multiple.is_nan()
            || rules.fall_multiple <= 0.0
        {
            return bad("the figures of the cold rule are not usable");
        }
        Ok(())
    }
}

/// Whether an endpoint takes requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// It takes requests.
    Ready,
    /// It finishes what it has; nothing new.
    Draining,
    /// It is withdrawn.
    #[default]
    Gone,
}

/// One endpoint as the list describes it.
#[derive(Clone, Debug, Default)]
pub struct Entry {
    /// The endpoint.
    pub id: EndpointId,
    /// Its name, the same at every instance; only hashed.
    pub name: Rc<str>,
    /// Whether it takes requests.
    pub state: State,
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

impl Entry {
    /// A warm endpoint that takes requests, with nothing else known of it.
    pub fn ready(id: EndpointId, name: &str) -> Entry {
        let (zone, kind, cell) = (ZoneId(0), KindId(0), CellId(0));
        Entry { id, name: name.into(), state: State::Ready, zone, kind, cell, size: 1.0, started: None }
    }
}

impl Group {
    /// Whether two endpoints are of one group.
    pub fn joins(self, a: &Entry, b: &Entry) -> bool {
        match self {
            Group::All => true,
            Group::Zone => a.zone == b.zone,
            Group::Cell => a.cell == b.cell,
        }
    }
}

/// News of the list.
#[derive(Clone, Debug)]
pub enum ListChange {
    /// Entries that changed.
    Delta(Vec<Entry>),
    /// The whole list; what is missing is gone.
    Full(Vec<Entry>),
    /// The whole list as this instance last held it, perhaps outdated.
    Cached(Vec<Entry>),
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
    pub left: Nanos,
    /// Expected work, as time on a standard core; rough.
    pub cost: Option<Nanos>,
    /// It writes.
    pub write: bool,
    /// The client marked it as a repeated try.
    pub retry: bool,
}

impl Request {
    /// A request with nothing optional.
    pub fn new(id: RequestId, class: ClassId, left: Nanos) -> Request {
        Request { id, class, tenant: None, key: None, left, cost: None, write: false, retry: false }
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
    Full,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Withdrawn; it may have run.
    Cancelled,
    /// Never issued.
    Moot,
}

impl Outcome {
    /// The attempt provably never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot)
    }
}

/// What an endpoint reported of its load: late, noisy, and only in part.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
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

/// The end of one attempt; exactly one comes for each [`Action::Send`].
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
    pub took: Nanos,
    /// The request has ended, by this or before.
    pub over: bool,
    /// Load report that came along.
    pub load: Option<Load>,
}

/// What the module is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the list of endpoints.
    List(ListChange),
    /// A request arrived; one final answer is owed.
    Request(Request),
    /// An attempt's stream has begun: no time-out runs any more.
    Begun {
        /// The request.
        request: RequestId,
        /// Which of its attempts.
        attempt: u32,
    },
    /// An attempt ended.
    Outcome(AttemptEnd),
    /// The client left; nothing is owed any more.
    Aborted(RequestId),
    /// A check ended.
    Checked {
        /// The endpoint checked.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// How long it took.
        took: Nanos,
        /// Load report that came along.
        load: Option<Load>,
    },
    /// A timer is due.
    Timer(Timer),
    /// Bytes from another instance of the tier. The module shares nothing and ignores them.
    Peer {
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
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        endpoint: EndpointId,
        /// Time-out of the attempt; 0: until the client gives up.
        cap: Nanos,
        /// Its first byte may be written until then. Danger: a connection that comes up late carries a repeat out
        /// of the window in which it is known as one.
        start_by: Nanos,
    },
    /// Stop waiting for an attempt.
    Cancel {
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
        come_back: Nanos,
    },
    /// Final answer: failed, nothing promised.
    Fail(RequestId),
    /// Check an endpoint.
    Check(EndpointId),
    /// Ask for [`Event::Timer`] at a time.
    SetTimer {
        /// When.
        at: Nanos,
        /// Handed back.
        timer: Timer,
    },
    /// Subscribe to changes of the list, or stop.
    Watch(bool),
    /// Ask for the whole list once.
    Refresh,
    /// Close idle connections to an endpoint.
    Close(EndpointId),
    /// Send bytes to one other instance of the tier, or to all.
    Publish {
        /// Number of the receiver; none: all.
        to: Option<u32>,
        /// At most 256.
        bytes: Vec<u8>,
    },
    /// A line for the operators' report.
    Remark(String),
}
