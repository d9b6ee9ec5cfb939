//! A fleet: what its applications have in common.

use super::{Admin, ClassChange, Overrides};
use crate::document::Span;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A fleet: what its applications have in common.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Version of the format: 1
    pub version: u32,
    /// What the file describes: fleet
    pub kind: String,
    /// Name of the fleet
    pub name: String,
    /// Zones that applications run in; may be left out where there is but one
    #[serde(default)]
    pub zones: Vec<String>,
    /// Directory with a file for each application, beside this file; "apps" by default
    #[serde(default = "apps")]
    pub applications: String,
    /// What a request of a client may cost over all tiers
    #[serde(default)]
    pub budget: Budget,
    /// Classes of requests
    #[schemars(length(min = 1))]
    pub classes: Vec<Class>,
    /// Tenants and what they are owed
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    /// Tiers, the one that clients call first; an application calls only into tiers after its own
    #[schemars(length(min = 1))]
    pub tiers: Vec<Tier>,
    /// Where endpoints come from, for all applications; an earlier source takes precedence
    #[serde(default)]
    pub sources: Vec<Source>,
    /// The listener for operators, where neither tier nor application has another
    pub admin: Option<Admin>,
    /// What the fleet sets for all
    #[serde(default)]
    pub settings: Overrides,
}

fn apps() -> String {
    "apps".to_owned()
}

/// What a request of a client may cost over all tiers.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Most attempts that one request of a client may come to at any application; 64 by default
    #[schemars(range(min = 1, max = 1_000_000))]
    pub attempts: Option<u32>,
    /// Tries that a client makes of one request; 1 by default. They multiply with the attempts of all tiers
    #[schemars(range(min = 1, max = 100))]
    pub client_tries: Option<u32>,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name, as requests give it
    pub name: String,
    /// An answer within this time is worth all
    #[serde(rename = "aim")]
    pub latency_objective: Span,
    /// The client gives up after this
    pub deadline: Span,
    /// What happens if a request runs twice: repeatable (nothing), by-key (its key keeps it from it), once (harm)
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// For by-key: which endpoints drop a repeat (all, zone, cell)
    #[serde(rename = "group")]
    pub scope: Option<DeduplicationScope>,
    /// For by-key: for how long they do, from the first attempt on
    pub window: Option<Span>,
    /// What one attempt takes at the longest; the aim by default
    pub attempt: Option<Span>,
    /// Worth of an answer; 0 or above, 1 by default
    #[schemars(range(min = 0.0))]
    #[serde(rename = "worth")]
    pub priority_weight: Option<f64>,
    /// Share of the worth that an answer after the aim keeps; 0 to 1, 0 by default
    #[schemars(range(min = 0.0, max = 1.0))]
    #[serde(rename = "late_worth")]
    pub late_weight_ratio: Option<f64>,
    /// The answer comes as a stream; false by default
    pub stream: Option<bool>,
}

/// What happens if a request runs twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
#[schemars(rename = "Effect")]
pub enum Idempotency {
    /// Nothing.
    #[serde(rename = "repeatable")]
    Idempotent,
    /// Its key keeps it from taking effect twice, within a group and a window.
    #[serde(rename = "by-key")]
    Keyed,
    /// Harm.
    #[serde(rename = "once")]
    NonIdempotent,
}

/// Endpoints that drop repeats of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
#[schemars(rename = "Group")]
pub enum DeduplicationScope {
    /// Those of one cell.
    Cell,
    /// Those of one zone.
    Zone,
    /// All.
    All,
}

/// When a request may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
#[schemars(rename = "Repeat")]
pub enum RetryRule {
    /// Only if no earlier attempt can have run.
    Unsent,
    /// Also if one may have run, within its group and window.
    Window,
    /// Whenever there is time.
    Anywhere,
}

impl Idempotency {
    /// The freest rule that does no harm.
    pub fn freest_retry_rule(self) -> RetryRule {
        match self {
            Idempotency::Idempotent => RetryRule::Anywhere,
            Idempotency::Keyed => RetryRule::Window,
            Idempotency::NonIdempotent => RetryRule::Unsent,
        }
    }

    /// As files write it.
    pub fn name(self) -> &'static str {
        match self {
            Idempotency::Idempotent => "repeatable",
            Idempotency::Keyed => "by-key",
            Idempotency::NonIdempotent => "once",
        }
    }
}

impl RetryRule {
    /// As files write it.
    pub fn name(self) -> &'static str {
        match self {
            RetryRule::Unsent => "unsent",
            RetryRule::Window => "window",
            RetryRule::Anywhere => "anywhere",
        }
    }
}

/// A tenant and what it is owed.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name, as requests give it
    pub name: String,
    /// Its part of the service; above 0, at most 1
    #[schemars(range(max = 1.0), extend("exclusiveMinimum" = 0.0))]
    pub share: f64,
    /// Requests a second within its share, over all proxies
    #[schemars(extend("exclusiveMinimum" = 0.0))]
    pub rate: f64,
}

/// A tier.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Its name
    pub name: String,
    /// Classes that its applications know; all by default
    pub serves: Option<Vec<String>>,
    /// What differs in it of classes, by their names
    #[serde(default)]
    pub classes: BTreeMap<String, ClassChange>,
    /// The listener for operators, where the application has no other
    pub admin: Option<Admin>,
    /// What the tier sets for its applications
    #[serde(default)]
    pub settings: Overrides,
}

/// A source of endpoints: a file, a directory, a file of Envoy's resources, or a control plane over xDS.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Source {
    /// Its name
    pub name: String,
    /// A file in the documented form
    pub file: Option<String>,
    /// A directory of such files
    pub directory: Option<String>,
    /// A file of Envoy's resources
    pub envoy: Option<String>,
    /// A control plane that speaks xDS: host:port
    pub xds: Option<String>,
    /// Files: how often to look where the file system tells nothing; 2s by default
    pub poll: Option<Span>,
    /// xDS: the fleet that the control plane knows this node by; the fleet's name by default
    pub node_cluster: Option<String>,
    /// xDS: incremental, by default, or state-of-the-world
    pub variant: Option<Variant>,
    /// xDS: without an answer for so long the source counts as silent; 15s by default
    pub first_fetch: Option<Span>,
    /// xDS: longest wait before another connection; 30s by default
    pub backoff: Option<Span>,
}

/// The variants of xDS.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Variant {
    /// What has changed.
    #[default]
    Incremental,
    /// All there is.
    StateOfTheWorld,
}
