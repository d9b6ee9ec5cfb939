//! What a scenario file says of clients: when they arrive, and how they retry.

use super::one;
use olivecart_config::document::Span;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// How arrivals vary over time.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Shape {
    /// Poisson at a steady rate.
    #[default]
    Steady,
    /// Poisson whose rate swings like a sine.
    Wave {
        /// Amplitude over the mean; 0 to 1.
        #[schemars(range(min = 0, max = 1))]
        swing: f64,
        /// Length of a wave.
        period: Span,
    },
    /// Poisson with bursts.
    Bursts {
        /// The rate in a burst over the rate outside; above 1, up to 1000.
        #[schemars(range(max = 1000), extend("exclusiveMinimum" = 1))]
        factor: f64,
        /// From one burst's begin to the next.
        every: Span,
        /// Length of a burst; below `every`.
        length: Span,
    },
}

/// Who calls. Exactly one of `rate` and `load` is given.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// Requests a second, first tries only, over all; above 0, up to 20 times what the fleet can do.
    #[schemars(extend("exclusiveMinimum" = 0))]
    pub rate: Option<f64>,
    /// The same as a share of what the fleet can do (the tier that runs out first); above 0, up to 20.
    #[schemars(extend("exclusiveMinimum" = 0))]
    pub load: Option<f64>,
    /// How it varies.
    #[serde(default)]
    pub shape: Shape,
    /// Tries after the first; 0 to 10.
    #[serde(default)]
    #[schemars(range(max = 10))]
    pub retries: u32,
    /// Part of a class's deadline after which a try is given up; above 0, up to 1.
    #[serde(default = "one")]
    #[schemars(range(max = 1), extend("exclusiveMinimum" = 0))]
    pub patience: f64,
    /// Wait before another try.
    #[serde(default)]
    pub backoff: Span,
    /// Share of the clients that stay away as long as a refusal tells them; 0 to 1.
    #[serde(default)]
    #[schemars(range(min = 0, max = 1))]
    pub honours_retry_after: f64,
    /// Share of the tries whose client closes its connection before its time is up; 0 to 1.
    #[serde(default)]
    #[schemars(range(min = 0, max = 1))]
    pub impatient: f64,
    /// Clients mark their later tries.
    #[serde(default)]
    pub marks_retry: bool,
    /// After this a client's front notices that a proxy has died.
    #[serde(default = "two_seconds")]
    pub notices_dead_proxy: Span,
}

fn two_seconds() -> Span {
    Span::from_nanos(2_000_000_000)
}
