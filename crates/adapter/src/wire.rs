//! The messages of the simulator's wire protocol as serde types. A `rename` attribute gives the simulator's
//! key where it differs from the field's name. Error messages show the names of these types.

use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::rc::Rc;

/// One line of input.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Batch<'a> {
    /// The time of all events of the batch, in nanoseconds.
    #[serde(rename = "at-time-ns")]
    pub now_ns: u64,
    #[serde(rename = "batch")]
    pub number: u64,
    #[serde(borrow)]
    pub events: Vec<WireEvent<'a>>,
}

/// The batch number alone, for replies to a line whose events cannot be parsed.
#[derive(Deserialize)]
pub struct BatchNumber {
    #[serde(rename = "batch")]
    pub number: u64,
}

/// An event. All but `Catalog` concern one instance.
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

/// Starts an instance.
#[derive(Deserialize)]
pub struct Configure<'a> {
    #[serde(rename = "i")]
    pub instance: u64,
    pub seed: u64,
    /// The settings object.
    #[serde(rename = "options", borrow)]
    pub settings: &'a serde_json::value::RawValue,
}

/// A list of endpoints. Later events refer to it by its number.
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
    /// The endpoint's capacity relative to others.
    #[serde(rename = "power-hint", default = "default_size")]
    pub size: f64,
    /// 0: removed, 1: ready, 2: draining.
    #[serde(rename = "stage-state", default)]
    pub state: u8,
    #[serde(rename = "dc", borrow, default)]
    pub zone: Cow<'a, str>,
    #[serde(rename = "endpoint", borrow)]
    pub name: Cow<'a, str>,
    /// The endpoint's machine kind.
    #[serde(rename = "family-type", borrow, default)]
    pub kind: Cow<'a, str>,
    /// The time of its last start; 0 if it started long ago.
    #[serde(default)]
    pub started_at_ns: u64,
    #[serde(rename = "unit-group", default)]
    pub cell: u64,
}

fn default_size() -> f64 {
    1.0
}

impl Element<'_> {
    /// Returns the element with owned strings, since a catalog outlives the line that it was parsed from.
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

/// Notifies an instance of a list of endpoints or of a discovery failure.
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
    /// The routing key of the request.
    #[serde(rename = "entity")]
    pub key: Option<u64>,
    /// The time until the client's deadline; negative if the deadline has passed.
    #[serde(rename = "left-ns", default)]
    pub time_left_ns: i64,
    /// The estimated work of the request.
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
    /// The bytes of the message in Base64.
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
    /// The index of the attempt within its request.
    #[serde(rename = "leg", default)]
    pub attempt: u32,
    #[serde(borrow)]
    pub endpoint: Cow<'a, str>,
    #[serde(rename = "result", borrow)]
    pub outcome: Cow<'a, str>,
    #[serde(default)]
    pub duration_ns: u64,
    /// Whether this response completes the request.
    #[serde(rename = "over", default)]
    pub is_final: bool,
    /// The endpoint's load values, in the order of the settings.
    #[serde(rename = "telemetry")]
    pub load: Option<Vec<Option<f64>>>,
}

/// A client aborted a request.
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
    /// The endpoint's load values, in the order of the settings.
    #[serde(rename = "telemetry")]
    pub load: Option<Vec<Option<f64>>>,
}

/// An attempt's response began to arrive.
#[derive(Deserialize)]
#[serde(expecting = "struct Begun")] // keeps the type name that error messages show
pub struct ResponseStarted<'a> {
    #[serde(rename = "i")]
    pub instance: u64,
    #[serde(rename = "txn", borrow)]
    pub request: Cow<'a, str>,
    /// The index of the attempt within its request.
    #[serde(rename = "leg", default)]
    pub attempt: u32,
}

/// One line of output.
#[derive(Serialize)]
pub struct Reply<'a> {
    pub batch: u64,
    pub orders: &'a [Order],
}

/// An action that an instance asks the simulator to take. `i` is the number of the instance on the wire.
#[derive(Serialize)]
#[serde(rename_all = "kebab-case", rename_all_fields = "kebab-case")]
pub enum Order {
    /// Starts an attempt with the timeout `cap_ns`; 0 means no timeout.
    HandOff {
        i: u64,
        txn: Rc<str>,
        cap_ns: u64,
        endpoint: Rc<str>,
    },
    /// Reports that the batch could not be processed.
    InternalError {
        i: u64,
        what: String,
    },
    /// Adds a line to the log.
    Remark {
        i: u64,
        what: String,
    },
    /// Sends a message to other replicas.
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
    /// Starts or stops watching the list of endpoints.
    Watch {
        i: u64,
        enable: bool,
    },
    /// Fails a request.
    EndFailed {
        i: u64,
        txn: Rc<str>,
    },
    /// Closes the idle connections to an endpoint.
    Disconnect {
        i: u64,
        endpoint: Rc<str>,
    },
    /// Starts a health check.
    Sample {
        i: u64,
        endpoint: Rc<str>,
    },
    /// Sheds a request; the client may retry after `come_back_ns`.
    Shed {
        i: u64,
        txn: Rc<str>,
        come_back_ns: u64,
    },
    /// Requests the list of endpoints from discovery.
    Refresh {
        i: u64,
    },
    /// Cancels an attempt.
    DropAttempt {
        i: u64,
        txn: Rc<str>,
        leg: u32,
    },
}

/// The recipients of a message: one replica, or all other replicas.
#[derive(Serialize)]
#[serde(untagged)]
pub enum Recipient {
    One(u32),
    All(&'static str),
}
