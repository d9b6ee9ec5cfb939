//! The words of the wire, as serde types. Nothing here decides anything.

use serde::{Deserialize, Serialize};
use std::borrow::Cow;

/// One line in.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Batch<'a> {
    pub at_time_ns: u64,
    pub batch: u64,
    #[serde(borrow)]
    pub events: Vec<WireEvent<'a>>,
}

/// Enough of a line to answer it when the rest cannot be read.
#[derive(Deserialize)]
pub struct BatchNumber {
    pub batch: u64,
}

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
    Ring {
        i: u64,
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
    Detach {
        i: u64,
    },
    #[serde(borrow)]
    Begun(Begun<'a>),
}

#[derive(Deserialize)]
pub struct Configure<'a> {
    pub i: u64,
    pub seed: u64,
    #[serde(borrow)]
    pub options: &'a serde_json::value::RawValue,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Catalog<'a> {
    pub set_id: u64,
    #[serde(borrow)]
    pub elements: Vec<Element<'a>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Element<'a> {
    #[serde(default = "one")]
    pub power_hint: f64,
    #[serde(default)]
    pub stage_state: u8,
    #[serde(borrow, default)]
    pub dc: Cow<'a, str>,
    #[serde(borrow)]
    pub endpoint: Cow<'a, str>,
    #[serde(borrow, default)]
    pub family_type: Cow<'a, str>,
    #[serde(default)]
    pub started_at_ns: u64,
    #[serde(default)]
    pub unit_group: u64,
}

fn one() -> f64 {
    1.0
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Membership {
    pub i: u64,
    #[serde(default)]
    pub form: u8,
    #[serde(default)]
    pub set_id: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Incoming<'a> {
    pub i: u64,
    #[serde(borrow)]
    pub txn: Cow<'a, str>,
    pub entity: Option<u64>,
    #[serde(default)]
    pub left_ns: i64,
    pub cost_ns: Option<u64>,
    #[serde(default)]
    pub is_write: bool,
    #[serde(borrow)]
    pub qos: Cow<'a, str>,
    #[serde(borrow, default)]
    pub account: Option<Account<'a>>,
    #[serde(default)]
    pub retry: bool,
}

/// A tenant's name, or 0 for none.
#[derive(Deserialize)]
#[serde(untagged)]
pub enum Account<'a> {
    Name(#[serde(borrow)] Cow<'a, str>),
    None(#[allow(dead_code)] u64),
}

#[derive(Deserialize)]
pub struct PeerData<'a> {
    pub i: u64,
    #[serde(default)]
    pub author: u32,
    #[serde(borrow, default)]
    pub raw: Cow<'a, str>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Response<'a> {
    pub i: u64,
    #[serde(borrow)]
    pub txn: Cow<'a, str>,
    #[serde(default)]
    pub leg: u32,
    #[serde(borrow)]
    pub endpoint: Cow<'a, str>,
    #[serde(borrow)]
    pub result: Cow<'a, str>,
    #[serde(default)]
    pub duration_ns: u64,
    #[serde(default)]
    pub over: bool,
    pub telemetry: Option<Vec<Option<f64>>>,
}

#[derive(Deserialize)]
pub struct Aborted<'a> {
    pub i: u64,
    #[serde(borrow)]
    pub txn: Cow<'a, str>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Health<'a> {
    pub i: u64,
    #[serde(borrow)]
    pub result: Cow<'a, str>,
    #[serde(borrow)]
    pub endpoint: Cow<'a, str>,
    #[serde(default)]
    pub duration_ns: u64,
    pub telemetry: Option<Vec<Option<f64>>>,
}

#[derive(Deserialize)]
pub struct Begun<'a> {
    pub i: u64,
    #[serde(borrow)]
    pub txn: Cow<'a, str>,
    #[serde(default)]
    pub leg: u32,
}

/// One line out.
#[derive(Serialize)]
pub struct Reply<'a> {
    pub batch: u64,
    pub orders: &'a [Order],
}

#[derive(Serialize)]
#[serde(rename_all = "kebab-case", rename_all_fields = "kebab-case")]
pub enum Order {
    HandOff { i: u64, txn: std::rc::Rc<str>, cap_ns: u64, endpoint: std::rc::Rc<str> },
    InternalError { i: u64, what: String },
    Remark { i: u64, what: String },
    Publish { i: u64, recipient: Recipient, raw: String },
    SetTimer { i: u64, alarm_time_ns: u64, cookie: u64 },
    Watch { i: u64, enable: bool },
    EndFailed { i: u64, txn: std::rc::Rc<str> },
    Disconnect { i: u64, endpoint: std::rc::Rc<str> },
    Sample { i: u64, endpoint: std::rc::Rc<str> },
    Shed { i: u64, txn: std::rc::Rc<str>, come_back_ns: u64 },
    Refresh { i: u64 },
    DropAttempt { i: u64, txn: std::rc::Rc<str>, leg: u32 },
}

#[derive(Serialize)]
#[serde(untagged)]
pub enum Recipient {
    One(u32),
    All(&'static str),
}
