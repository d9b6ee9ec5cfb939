//! What a scenario file says of requests: their classes, their work, and their tenants.

use super::one;
use olivecart_config::document::Span;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What happens if a request of a class runs twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Nothing: it may be sent again at will.
    Repeatable,
    /// Its key keeps it from taking effect twice, inside one group and for a while.
    ByKey,
    /// Harm: it must never run twice.
    Once,
}

/// The servers within which a repeat of a keyed request is dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Group {
    /// All of the tier.
    #[default]
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its part of the requests, relative to the other classes' shares; above 0.
    #[serde(default = "one")]
    #[schemars(extend("exclusiveMinimum" = 0))]
    pub share: f64,
    /// An answer within this time has its full worth; above 0s, and above what the network alone takes.
    pub aim: Span,
    /// How long a client waits in all, over all its tries; at least the aim.
    pub deadline: Span,
    /// What an answer in time is worth; above 0.
    #[serde(default = "one")]
    #[schemars(extend("exclusiveMinimum" = 0))]
    pub worth: f64,
    /// Share of the worth left to an answer between aim and deadline; 0 to 1.
    #[serde(default)]
    #[schemars(range(min = 0, max = 1))]
    pub late_worth: f64,
    /// Whether it may run twice.
    pub effect: Effect,
    /// For `by_key`: where a repeat is dropped.
    #[serde(default)]
    pub group: Group,
    /// For `by_key`, and needed there: for how long a repeat is dropped; at least the aim.
    pub window: Option<Span>,
    /// Work of a request over all tiers, as time on one core of speed 1.
    pub work: Distribution,
}

/// A distribution of times, by its mean.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(tag = "dist", rename_all = "snake_case", deny_unknown_fields)]
pub enum Distribution {
    /// Always the same.
    Fixed {
        /// The value.
        mean: Span,
    },
    /// Exponential.
    Exponential {
        /// Its mean.
        mean: Span,
    },
    /// Log-normal.
    Lognormal {
        /// Its mean.
        mean: Span,
        /// Standard deviation over mean; 0 to 10.
        #[schemars(range(min = 0, max = 10))]
        cv: f64,
    },
    /// Gamma.
    Gamma {
        /// Its mean.
        mean: Span,
        /// Standard deviation over mean; above 0, up to 10.
        #[schemars(range(max = 10), extend("exclusiveMinimum" = 0))]
        cv: f64,
    },
    /// Pareto: a heavy tail.
    Pareto {
        /// Its mean.
        mean: Span,
        /// Tail index; above 1, up to 20.
        #[schemars(range(max = 20), extend("exclusiveMinimum" = 1))]
        shape: f64,
    },
    /// Uniform between two values.
    Uniform {
        /// Least.
        least: Span,
        /// Most.
        most: Span,
    },
}

/// A tenant.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its share of the service; above 0, all together at most 1.
    #[schemars(range(max = 1), extend("exclusiveMinimum" = 0))]
    pub share: f64,
    /// Its part of the traffic, relative to the others'; its share unless given.
    #[schemars(extend("exclusiveMinimum" = 0))]
    pub traffic: Option<f64>,
}
