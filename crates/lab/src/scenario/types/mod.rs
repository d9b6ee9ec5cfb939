//! What a scenario file says: the fleet, its clients, what goes wrong, and the bounds a run must keep.
//!
//! Durations are written `"250ms"`, ratios as plain numbers. Every field's documentation gives its unit and
//! range. The JSON Schema is generated from these types: the ranges of single numbers stand in it and are
//! enforced by the reader of configuration documents, and the documentation is what a finding quotes as right.
//! What contradicts something else is found by `check`.
//!
//! Names of all things are 1 to 64 letters, digits, `_`, `-` or `.`, each given once.

mod clients;
mod fault;
mod fleet;
mod requests;
mod rules;

pub use clients::{Clients, Shape};
pub use fault::{Fault, FaultKind};
pub use fleet::{Cancel, Cold, Connections, Crowd, Kind, Pause, Report, Tier, Weights};
pub use requests::{Class, Distribution, Effect, Group, Tenant};
pub use rules::{Discovery, DiscoveryMode, Limits, Rules};

use olivecart_config::document::Span;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The version of the format that this build reads.
pub const VERSION: u32 = 1;

/// One scenario.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Version of the format; 1.
    #[schemars(extend("const" = 1))]
    pub version: u32,
    /// Its name, as results give it.
    pub name: String,
    /// What it is for, one sentence.
    #[serde(default)]
    pub about: String,
    /// How long clients keep arriving; what is open then is played to its end. Above 0s, up to 24 hours.
    pub length: Span,
    /// What arrives before this is played but not counted; below the length.
    #[serde(default)]
    pub warmup: Span,
    /// Zones (failure domains) by name, at least one.
    #[serde(default = "one_zone")]
    #[schemars(length(min = 1))]
    pub zones: Vec<String>,
    /// Delays of the network.
    #[serde(default)]
    pub network: Network,
    /// Classes of requests, at least one; their shares are relative to each other.
    #[schemars(length(min = 1))]
    pub class: Vec<Class>,
    /// Tenants; may be none.
    #[serde(default)]
    pub tenant: Vec<Tenant>,
    /// Worth left to a request beyond its tenant's share; 0 to 1.
    #[serde(default = "one")]
    #[schemars(range(min = 0, max = 1))]
    pub over_share_worth: f64,
    /// Who calls.
    pub clients: Clients,
    /// Tiers, the one that clients call first.
    #[schemars(length(min = 1))]
    pub tier: Vec<Tier>,
    /// The service that tells proxies which servers there are.
    #[serde(default)]
    pub discovery: Discovery,
    /// What proxies may do.
    #[serde(default)]
    pub limits: Limits,
    /// The figures of the four rules.
    #[serde(default)]
    pub rules: Rules,
    /// What goes wrong, any number together.
    #[serde(default)]
    pub fault: Vec<Fault>,
    /// What a run must keep; a run outside of them is reported as such.
    #[serde(default)]
    pub bounds: Bounds,
    /// Limits of the model itself.
    #[serde(default)]
    pub model: Model,
}

fn one_zone() -> Vec<String> {
    vec!["a".into()]
}

/// Delays of the network, one way.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// Between two machines of one zone; at least 20us.
    pub same_zone: Span,
    /// Between two zones; at least 20us.
    pub cross_zone: Span,
    /// Between clients and the first tier's proxies; at least 20us.
    pub client: Span,
    /// Mean of an exponential delay on top, as a share of the base; 0 to 10.
    #[schemars(range(min = 0, max = 10))]
    pub jitter: f64,
    /// Probability that an attempt's connection breaks after the request was written; 0 to 1.
    #[schemars(range(min = 0, max = 1))]
    pub reset_rate: f64,
}

impl Default for Network {
    fn default() -> Self {
        let us = |us: u64| Span::from_nanos(us * 1000);
        Network { same_zone: us(200), cross_zone: us(500), client: us(500), jitter: 0.2, reset_rate: 0.0 }
    }
}

/// What a run must keep.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Least and greatest goodput: worth answered in time over worth asked for; 0 to 1 each.
    #[schemars(inner(range(min = 0, max = 1)))]
    pub goodput: Option<[f64; 2]>,
    /// Least goodput of the worst window of ten seconds; 0 to 1.
    #[schemars(range(min = 0, max = 1))]
    pub worst_window: Option<f64>,
    /// Most attempts for each request; above 0.
    #[schemars(extend("exclusiveMinimum" = 0))]
    pub attempts: Option<f64>,
    /// Most refused, as a share of first tries; 0 to 1.
    #[schemars(range(min = 0, max = 1))]
    pub refused: Option<f64>,
}

/// Limits of the model itself.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Model {
    /// Events that may wait at a time; a run that needs more stops and says so. At least
    /// 1000.
    #[schemars(range(min = 1000))]
    pub most_events: u64,
    /// Requests that clients may have open at a time; a run that needs more stops and says so. At
    /// least 1.
    #[schemars(range(min = 1))]
    pub most_open: u64,
}

impl Default for Model {
    fn default() -> Self {
        Model { most_events: 20_000_000, most_open: 5_000_000 }
    }
}

/// The default of factors and shares.
fn one() -> f64 {
    1.0
}
