//! An application: what is its own.

use super::{Overrides, RetryRule};
use crate::document::Span;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// An application and its sidecar: what is its own, and what differs from the fleet and its tier.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Application {
    /// Version of the format: 1
    pub version: u32,
    /// What the file describes: application
    pub kind: String,
    /// Its name: the service that others call
    pub name: String,
    /// The tier that it belongs to
    pub tier: String,
    /// The machine that it runs on: ports of one machine must not overlap; one of its own by default
    pub machine: Option<String>,
    /// The zone that it runs in; needed where the fleet has zones
    pub zone: Option<String>,
    /// The listener before the application
    pub inbound: Option<Inbound>,
    /// The listener for operators
    pub admin: Option<Admin>,
    /// What it calls
    #[serde(default)]
    pub calls: Vec<Call>,
    /// What differs here of classes, by their names
    #[serde(default)]
    pub classes: BTreeMap<String, ClassChange>,
    /// What differs here of settings
    #[serde(default)]
    pub settings: Overrides,
}

/// The listener before the application.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Inbound {
    /// Where others reach it: address:port
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// Where the application itself listens: address:port
    #[schemars(with = "String")]
    pub application: SocketAddr,
    /// Requests that may be open at the application; 100 by default
    #[schemars(range(min = 1, max = 1_000_000))]
    pub max_requests: Option<u32>,
}

/// The listener for operators.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Admin {
    /// Where it listens: a loopback address and port
    #[schemars(with = "String")]
    pub listen: SocketAddr,
}

/// An application that this one calls.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// Its name
    pub application: String,
    /// Where this application reaches it through its sidecar: a loopback address and port
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// Calls for each request that this application serves, on average; above 0, 1 by default
    #[schemars(extend("exclusiveMinimum" = 0.0))]
    pub times: Option<f64>,
    /// Clusters that sources bring for it; its name by default. The first takes what no route fits
    pub clusters: Option<Vec<String>>,
    /// Which requests go to which of the clusters
    #[serde(default)]
    pub routes: Vec<Route>,
    /// Most attempts of a request to it; what the settings say by default
    #[schemars(range(min = 1, max = 10))]
    pub attempts: Option<u32>,
}

/// Which requests go to a cluster: all that is given must fit, and the most specific route counts.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The cluster
    pub cluster: String,
    /// A path and all below it, by whole segments
    pub path: Option<String>,
    /// A method, in capital letters
    pub method: Option<String>,
    /// A class
    pub class: Option<String>,
}

/// What differs of a class in a tier or an application.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ClassChange {
    /// An answer within this time is worth all
    #[serde(rename = "aim")]
    pub latency_objective: Option<Span>,
    /// Callers give up after this
    pub deadline: Option<Span>,
    /// What one attempt takes at the longest
    pub attempt: Option<Span>,
    /// Worth of an answer; 0 or above
    #[schemars(range(min = 0.0))]
    #[serde(rename = "worth")]
    pub priority_weight: Option<f64>,
    /// When a request is sent again: unsent, window, anywhere; by default the freest that its effect allows
    #[serde(rename = "repeat")]
    pub retry_rule: Option<RetryRule>,
    /// What happens here if a request runs twice; must be what the fleet says
    #[serde(rename = "effect")]
    pub idempotency: Option<super::Idempotency>,
}
