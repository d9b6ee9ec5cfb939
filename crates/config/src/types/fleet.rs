//! The types of fleet files.

use super::{Admin, ClassChange, Overrides};
use crate::document::Span;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A fleet: values shared by its applications.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Version of the file format: 1
    pub version: u32,
    /// Kind of the file: fleet
    pub kind: String,
    /// Name of the fleet
    pub name: String,
    /// Zones that applications run in; optional if there is only one
    #[serde(default)]
    pub zones: Vec<String>,
    /// Directory of the application files, relative to this file; "apps" by default
    #[serde(default = "apps")]
    pub applications: String,
    /// Limits on the attempts that one client request may cause over all tiers
    #[serde(default)]
    pub budget: Budget,
    /// Request classes
    #[schemars(length(min = 1))]
    pub classes: Vec<Class>,
    /// Tenants and their quotas
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    /// Tiers, beginning with the one that clients call; an application may only call applications of later
    /// tiers
    #[schemars(length(min = 1))]
    pub tiers: Vec<Tier>,
    /// Sources of endpoints for all applications; earlier sources take precedence
    #[serde(default)]
    pub sources: Vec<Source>,
    /// Listener of the admin server, unless the tier or the application sets another one
    pub admin: Option<Admin>,
    /// Settings of all applications
    #[serde(default)]
    pub settings: Overrides,
}

fn apps() -> String {
    "apps".to_owned()
}

/// Limits on the attempts that one client request may cause over all tiers.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Maximum number of attempts that one client request may cause at any application; 64 by default
    #[schemars(range(min = 1, max = 1_000_000))]
    pub attempts: Option<u32>,
    /// Number of times that a client sends one request; 1 by default. Multiplies with the attempts of all
    /// tiers
    #[schemars(range(min = 1, max = 100))]
    pub client_tries: Option<u32>,
}

/// A request class.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name, as given in requests
    pub name: String,
    /// Latency objective: a response within this time has the full weight
    #[serde(rename = "aim")]
    pub latency_objective: Span,
    /// Time after which the client gives up
    pub deadline: Span,
    /// Effect of a request that runs twice: repeatable (harmless), by-key (endpoints drop the duplicate by
    /// its key) or once (harmful)
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// For by-key: the endpoints among which a duplicate is dropped (all, zone or cell)
    #[serde(rename = "group")]
    pub scope: Option<DeduplicationScope>,
    /// For by-key: how long duplicates are dropped, from the first attempt on
    pub window: Option<Span>,
    /// Longest duration of one attempt; the aim by default
    pub attempt: Option<Span>,
    /// Priority weight of a response; 0 or above, 1 by default
    #[schemars(range(min = 0.0))]
    #[serde(rename = "worth")]
    pub priority_weight: Option<f64>,
    /// Share of the worth that a response after the aim keeps; 0 to 1, 0 by default
    #[schemars(range(min = 0.0, max = 1.0))]
    #[serde(rename = "late_worth")]
    pub late_weight_ratio: Option<f64>,
    /// Whether the response is streamed; false by default
    pub stream: Option<bool>,
}

/// Effect of a request that runs twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
#[schemars(rename = "Effect")]
pub enum Idempotency {
    /// Harmless.
    #[serde(rename = "repeatable")]
    Idempotent,
    /// Harmless within a group and a window, in which endpoints drop the duplicate by its key.
    #[serde(rename = "by-key")]
    Keyed,
    /// Harmful.
    #[serde(rename = "once")]
    NonIdempotent,
}

/// Endpoints among which duplicates of a key are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
#[schemars(rename = "Group")]
pub enum DeduplicationScope {
    /// The endpoints of one cell.
    Cell,
    /// The endpoints of one zone.
    Zone,
    /// All endpoints.
    All,
}

/// When a request may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
#[schemars(rename = "Repeat")]
pub enum RetryRule {
    /// Only if no earlier attempt can have run.
    Unsent,
    /// Also if an earlier attempt may have run, within the group and the window.
    Window,
    /// On any endpoint until the deadline.
    Anywhere,
}

impl Idempotency {
    /// Returns the most permissive retry rule that is harmless.
    pub fn most_permissive_retry_rule(self) -> RetryRule {
        match self {
            Idempotency::Idempotent => RetryRule::Anywhere,
            Idempotency::Keyed => RetryRule::Window,
            Idempotency::NonIdempotent => RetryRule::Unsent,
        }
    }

    /// Returns the name in configuration files.
    pub fn name(self) -> &'static str {
        match self {
            Idempotency::Idempotent => "repeatable",
            Idempotency::Keyed => "by-key",
            Idempotency::NonIdempotent => "once",
        }
    }
}

impl RetryRule {
    /// Returns the name in configuration files.
    pub fn name(self) -> &'static str {
        match self {
            RetryRule::Unsent => "unsent",
            RetryRule::Window => "window",
            RetryRule::Anywhere => "anywhere",
        }
    }
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Name, as given in requests
    pub name: String,
    /// Share of the capacity; above 0, at most 1
    #[schemars(range(max = 1.0), extend("exclusiveMinimum" = 0.0))]
    pub share: f64,
    /// Requests per second within the share, over all proxies
    #[schemars(extend("exclusiveMinimum" = 0.0))]
    pub rate: f64,
}

/// A tier.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Name
    pub name: String,
    /// Request classes that the tier's applications serve; all by default
    pub serves: Option<Vec<String>>,
    /// Overrides of request classes, by class name
    #[serde(default)]
    pub classes: BTreeMap<String, ClassChange>,
    /// Listener of the admin server, unless the application sets another one
    pub admin: Option<Admin>,
    /// Settings of the tier's applications
    #[serde(default)]
    pub settings: Overrides,
}

/// A source of endpoints: a file, a directory, a file of Envoy resources, or an xDS control plane.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Source {
    /// Name
    pub name: String,
    /// Path of an endpoint file
    pub file: Option<String>,
    /// Path of a directory of endpoint files
    pub directory: Option<String>,
    /// Path of a file of Envoy resources
    pub envoy: Option<String>,
    /// Address of an xDS control plane: host:port
    pub xds: Option<String>,
    /// For files: polling interval where the file system does not report changes; 2s by default
    pub poll: Option<Span>,
    /// For xDS: node cluster sent to the control plane; the fleet's name by default
    pub node_cluster: Option<String>,
    /// For xDS: protocol variant, incremental or state-of-the-world; incremental by default
    pub variant: Option<Variant>,
    /// For xDS: time without a response after which the source is considered silent; 15s by default
    pub first_fetch: Option<Span>,
    /// For xDS: maximum delay between connection attempts; 30s by default
    pub backoff: Option<Span>,
}

/// The variants of the xDS protocol.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Variant {
    /// Each message has only the changed resources.
    #[default]
    Incremental,
    /// Each message has all resources.
    StateOfTheWorld,
}
