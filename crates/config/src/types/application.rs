//! The types of application files.

use super::{Overrides, RetryRule};
use crate::document::Span;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// An application and its sidecar: its own values, and overrides of its fleet and its tier.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Application {
    /// Version of the file format: 1
    pub version: u32,
    /// Kind of the file: application
    pub kind: String,
    /// Name of the application, by which others call it
    pub name: String,
    /// Name of the tier that the application belongs to
    pub tier: String,
    /// Machine that the application runs on; applications on one machine need different ports. By default
    /// each application has its own machine
    pub machine: Option<String>,
    /// Zone that the application runs in; required if the fleet has several zones
    pub zone: Option<String>,
    /// Listener that receives the requests to the application
    pub inbound: Option<Inbound>,
    /// Listener of the admin server
    pub admin: Option<Admin>,
    /// Applications that this application calls
    #[serde(default)]
    pub calls: Vec<Call>,
    /// Overrides of request classes, by class name
    #[serde(default)]
    pub classes: BTreeMap<String, ClassChange>,
    /// Overrides of settings
    #[serde(default)]
    pub settings: Overrides,
}

/// The listener that receives the requests to the application.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Inbound {
    /// Address at which callers reach the application: address:port
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// Address at which the application itself listens: address:port
    #[schemars(with = "String")]
    pub application: SocketAddr,
    /// Maximum number of concurrent requests to the application; 100 by default
    #[schemars(range(min = 1, max = 1_000_000))]
    pub max_requests: Option<u32>,
}

/// The listener of the admin server.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Admin {
    /// Address of the admin server: a loopback address and port
    #[schemars(with = "String")]
    pub listen: SocketAddr,
}

/// A call to another application.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// Name of the called application
    pub application: String,
    /// Address at which the sidecar accepts requests for the called application: a loopback address and port
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// Average number of calls for each request that this application serves; above 0, 1 by default
    #[schemars(extend("exclusiveMinimum" = 0.0))]
    pub times: Option<f64>,
    /// Clusters of the called application, as named by the sources; by default one with the application's
    /// name. Requests that match no route go to the first cluster
    pub clusters: Option<Vec<String>>,
    /// Routes from requests to clusters
    #[serde(default)]
    pub routes: Vec<Route>,
    /// Maximum number of attempts for one request; the value of the settings by default
    #[schemars(range(min = 1, max = 10))]
    pub attempts: Option<u32>,
}

/// A route to a cluster: a request must match all given criteria, and the most specific matching route is
/// used.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Cluster that receives the matching requests
    pub cluster: String,
    /// Path prefix; matches whole path segments
    pub path: Option<String>,
    /// HTTP method, in upper case
    pub method: Option<String>,
    /// Name of a request class
    pub class: Option<String>,
}

/// Overrides of a request class in a tier or an application.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ClassChange {
    /// Latency objective: a response within this time has the full weight
    #[serde(rename = "aim")]
    pub latency_objective: Option<Span>,
    /// Time after which callers give up
    pub deadline: Option<Span>,
    /// Longest duration of one attempt
    pub attempt: Option<Span>,
    /// Priority weight of a response; 0 or above
    #[schemars(range(min = 0.0))]
    #[serde(rename = "worth")]
    pub priority_weight: Option<f64>,
    /// When a request may be retried: unsent, window or anywhere; by default the most permissive rule that
    /// the class's effect allows
    #[serde(rename = "repeat")]
    pub retry_rule: Option<RetryRule>,
    /// Effect of a request that runs twice; must be the same as in the fleet
    #[serde(rename = "effect")]
    pub idempotency: Option<super::Idempotency>,
}
