//! What one proxy reads: everything, with nothing left to defaults of other files.

use super::{Admin, DeduplicationScope, Idempotency, Inbound, Overrides, RetryRule, Route, Source, Tenant};
use crate::document::Span;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What one proxy reads. It is written by `olivecart config write`; by hand it can be written too.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Proxy {
    /// Version of the format: 1
    pub version: u32,
    /// What the file describes: proxy
    pub kind: String,
    /// Name of the application
    pub name: String,
    /// Number of its tier, from 0
    pub tier: u32,
    /// The zone that it runs in
    pub zone: Option<String>,
    /// All zones
    #[serde(default)]
    pub zones: Vec<String>,
    /// What holds for the process
    #[serde(default)]
    pub settings: Overrides,
    /// The listener for operators
    pub admin: Option<Admin>,
    /// The listener before the application
    pub inbound: Option<Inbound>,
    /// Listeners for what it calls
    #[serde(default)]
    pub outbound: Vec<Outbound>,
    /// Classes of requests
    #[schemars(length(min = 1))]
    pub classes: Vec<ProxyClass>,
    /// Tenants
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    /// Where endpoints come from
    #[serde(default)]
    pub sources: Vec<Source>,
}

/// A listener for something that the application calls.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Outbound {
    /// Name of what is called
    pub application: String,
    /// Where the application reaches it
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// Most attempts of a request
    #[schemars(range(min = 1, max = 10))]
    pub attempts: u32,
    /// Clusters that sources bring for it; the first takes what no route fits
    #[schemars(length(min = 1))]
    pub clusters: Vec<String>,
    /// Which requests go to which of them
    #[serde(default)]
    pub routes: Vec<Route>,
}

/// A class of requests as one proxy treats it.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ProxyClass {
    /// Its name
    pub name: String,
    /// An answer within this time is worth all
    #[serde(rename = "aim")]
    pub latency_objective: Span,
    /// The client gives up after this
    pub deadline: Span,
    /// What happens if a request runs twice
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// For by-key: which endpoints drop a repeat
    #[serde(rename = "group")]
    pub scope: Option<DeduplicationScope>,
    /// For by-key: for how long
    pub window: Option<Span>,
    /// What one attempt takes at the longest
    pub attempt: Span,
    /// When a request is sent again
    #[serde(rename = "repeat")]
    pub retry_rule: RetryRule,
    /// Worth of an answer
    #[schemars(range(min = 0.0))]
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Share of the worth that a late answer keeps
    #[schemars(range(min = 0.0, max = 1.0))]
    #[serde(rename = "late_worth")]
    pub late_weight_ratio: f64,
    /// The answer comes as a stream
    pub stream: bool,
}
