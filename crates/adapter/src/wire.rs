//! The messages of the simulator's wire, as serde types. Fields have the standard names; the keys are the simulator's,
//! given to each field where the two differ. Nothing here decides anything.

use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::rc::Rc;

/// One line in.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Batch<'a> {
    /// The time of all its events, in nanoseconds.
    #[serde(rename = "at-time-ns")]
    pub now_ns: u64,
    #[serde(rename = "batch")]
    pub number: u64,
    #[serde(borrow)]
    pub events: Vec<WireEvent<'a>>,
}

/// Enough of a line to answer it when the rest cannot be read.
#[derive(Deserialize)]
pub struct BatchNumber {
    #[serde(rename = "batch")]
    pub number: u64,
}

/// What happened, each to one instance but for a catalog.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WireEvent<'a> {
    #[serde(borrow)]
    Configure(Configure<'a>),
    #[serde(borrow)]
    Catalog(Catalog<'a>),
    Membership(Membership),
    #[serde(borrow)]
    Incoming(Incoming<'a>),
    /// A timer fired.
    Ring {
        #[serde(rename = "i")]
        instance: u64,
        cookie: u64,
    },
    #[serde(borrow)]
    PeerData(PeerData<'a>),
    #[serde(borrow)]
    Response(Response<'a>),
    #[serde(borrow)]
    Aborted(Aborted<'a>),
    #[serde(borrow)]
    Health(Health<'a>),
    /// The instance was killed.
    Detach {
        #[serde(rename = "i")]
        instance: u64,
    },
    #[serde(borrow, rename = "begun")]
    ResponseStarted(ResponseStarted<'a>),
}

/// An instance starts.
#[derive(Deserialize)]
pub struct Configure<'a> {
    #[serde(rename = "i")]
    pub instance: u64,
    pub seed: u64,
    /// The settings object.
    #[serde(rename = "options", borrow)]
    pub settings: &'a serde_json::value::RawValue,
}

/// A list of endpoints, to which later events refer by its number.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Catalog<'a> {
    pub set_id: u64,
    #[serde(borrow)]
    pub elements: Vec<Element<'a>>,
}

/// One endpoint of a catalog.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Element<'a> {
    /// Its size relative to others.
    #[serde(rename = "power-hint", default = "one")]
    pub size: f64,
    /// 0: removed, 1: ready, 2: draining.
    #[serde(rename = "stage-state", default)]
    pub state: u8,
    #[serde(rename = "dc", borrow, default)]
    pub zone: Cow<'a, str>,
    #[serde(rename = "endpoint", borrow)]
    pub name: Cow<'a, str>,
    /// The kind of its machine.
    #[serde(rename = "family-type", borrow, default)]
    pub kind: Cow<'a, str>,
    /// 0 if it started long ago.
    #[serde(default)]
    pub started_at_ns: u64,
    #[serde(rename = "unit-group", default)]
    pub cell: u64,
}

fn one() -> f64 {
    1.0
}

impl Element<'_> {
    /// The same with names of its own: a catalog outlives the line that it came in.
    pub fn into_owned(self) -> Element<'static> {
        Element {
            size: self.size,
            state: self.state,
            zone: self.zone.into_owned().into(),
            name: self.name.into_owned().into(),
            kind: self.kind.into_owned().into(),
            started_at_ns: self.started_at_ns,
            cell: self.cell,
        }
    }
}

/// An instance is notified of a list of endpoints.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Membership {
    #[serde(rename = "i")]
    pub instance: u64,
    /// 0: a delta, 1: a snapshot, 2: a cached list, 3: discovery failed.
    #[serde(default)]
    pub form: u8,
    /// The number of the catalog.
    #[serde(default)]
    pub set_id: u64,
}

/// A request arrives.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Incoming<'a> {
    #[serde(rename = "i")]
    pub instance: u64,
    #[serde(rename = "txn", borrow)]
    pub request: Cow<'a, str>,
    /// Its routing key.
    #[serde(rename = "entity")]
    pub key: Option<u64>,
    /// Time until its client's deadline; negative when that has passed.
    #[serde(rename = "left-ns", default)]
    pub time_left_ns: i64,
    /// The work that it is expected to take.
    #[serde(rename = "cost-ns")]
    pub estimated_work_ns: Option<u64>,
    #[serde(default)]
    pub is_write: bool,
    #[serde(rename = "qos", borrow)]
    pub class: Cow<'a, str>,
    #[serde(rename = "account", borrow, default)]
    pub tenant: Option<Account<'a>>,
    #[serde(rename = "retry", default)]
    pub is_retry: bool,
}

/// A tenant's name, or 0 for none.
#[derive(Deserialize)]
#[serde(untagged)]
pub enum Account<'a> {
    Name(#[serde(borrow)] Cow<'a, str>),
    None(#[allow(dead_code)] u64),
}

/// A message from another replica.
#[derive(Deserialize)]
pub struct PeerData<'a> {
    #[serde(rename = "i")]
    pub instance: u64,
    /// The index of the replica that sent it.
    #[serde(rename = "author", default)]
    pub from: u32,
    /// Its bytes in Base64.
    #[serde(rename = "raw", borrow, default)]
    pub bytes: Cow<'a, str>,
}

/// An attempt ended.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Response<'a> {
    #[serde(rename = "i")]
    pub instance: u64,
    #[serde(rename = "txn", borrow)]
    pub request: Cow<'a, str>,
    /// The number of the attempt.
    #[serde(rename = "leg", default)]
    pub attempt: u32,
    #[serde(borrow)]
    pub endpoint: Cow<'a, str>,
    #[serde(rename = "result", borrow)]
    pub outcome: Cow<'a, str>,
    #[serde(default)]
    pub duration_ns: u64,
    /// The request has its final response.
    #[serde(rename = "over", default)]
    pub is_final: bool,
    /// The endpoint's load, in the order that the settings give.
    #[serde(rename = "telemetry")]
    pub load: Option<Vec<Option<f64>>>,
}

/// A client gave a request up.
#[derive(Deserialize)]
pub struct Aborted<'a> {
    #[serde(rename = "i")]
    pub instance: u64,
    #[serde(rename = "txn", borrow)]
    pub request: Cow<'a, str>,
}

/// A health check ended.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Health<'a> {
    #[serde(rename = "i")]
    pub instance: u64,
    #[serde(rename = "result", borrow)]
    pub outcome: Cow<'a, str>,
    #[serde(borrow)]
    pub endpoint: Cow<'a, str>,
    #[serde(default)]
    pub duration_ns: u64,
    /// The endpoint's load, in the order that the settings give.
    #[serde(rename = "telemetry")]
    pub load: Option<Vec<Option<f64>>>,
}

/// An attempt's response began to arrive.
#[derive(Deserialize)]
#[serde(expecting = "struct Begun")] // as messages have always called it
pub struct ResponseStarted<'a> {
    #[serde(rename = "i")]
    pub instance: u64,
    #[serde(rename = "txn", borrow)]
    pub request: Cow<'a, str>,
    /// The number of the attempt.
    #[serde(rename = "leg", default)]
    pub attempt: u32,
}

/// One line out.
#[derive(Serialize)]
pub struct Reply<'a> {
    pub batch: u64,
    pub orders: &'a [Order],
}

/// What an instance wants to be done. The field `i` is the number of the instance on the wire.
#[derive(Serialize)]
#[serde(rename_all = "kebab-case", rename_all_fields = "kebab-case")]
pub enum Order {
    /// Start an attempt; it must be over after `cap_ns`, if that is not 0.
    HandOff {
        i: u64,
        txn: Rc<str>,
        cap_ns: u64,
        endpoint: Rc<str>,
    },
    /// The batch could not be played.
    InternalError {
        i: u64,
        what: String,
    },
    /// A line for the log.
    Remark {
        i: u64,
        what: String,
    },
    /// Send a message to other replicas.
    Publish {
        i: u64,
        recipient: Recipient,
        raw: String,
    },
    SetTimer {
        i: u64,
        alarm_time_ns: u64,
        cookie: u64,
    },
    /// Watch the list of endpoints, or stop that.
    Watch {
        i: u64,
        enable: bool,
    },
    /// Answer a request with a failure.
    EndFailed {
        i: u64,
        txn: Rc<str>,
    },
    /// Close idle connections to an endpoint.
    Disconnect {
        i: u64,
        endpoint: Rc<str>,
    },
    /// Start a health check.
    Sample {
        i: u64,
        endpoint: Rc<str>,
    },
    /// Reject a request; the client may come back after a while.
    Shed {
        i: u64,
        txn: Rc<str>,
        come_back_ns: u64,
    },
    /// Ask for the list of endpoints.
    Refresh {
        i: u64,
    },
    /// Cancel an attempt.
    DropAttempt {
        i: u64,
        txn: Rc<str>,
        leg: u32,
    },
}

/// Who gets a message: one replica, or all others.
#[derive(Serialize)]
#[serde(untagged)]
pub enum Recipient {
    One(u32),
    All(&'static str),
}
