//! The settings that every layer can override.

use crate::document::{Size, Span};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Settings of the built-in layer, a fleet, a tier, an application or the environment; a later layer takes
/// precedence.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Knobs")]
pub struct Overrides {
    /// Maximum number of attempts for one request at one proxy; 1 to 10, 3 by default
    #[schemars(range(min = 1, max = 10))]
    pub attempts: Option<u32>,
    /// Timeout for establishing a connection to an endpoint; 250ms by default
    pub connect_timeout: Option<Span>,
    /// Time after which idle connections to endpoints are closed; 30s by default
    pub idle_close: Option<Span>,
    /// Whether endpoints are probed by health checks; true by default
    pub probes: Option<bool>,
    /// Longest Retry-After that clients are sent and honour; 2s by default, 0ms sends none
    pub retry_after: Option<Span>,
    /// Time after which a draining endpoint receives no new requests; at most 500ms, the default
    pub drain_grace: Option<Span>,
    /// Slow-start duration of an endpoint that has just started; 30s by default
    pub cold: Option<Span>,
    /// Share of its capacity that an endpoint begins slow start with; above 0, at most 1, 0.1 by default
    #[schemars(range(max = 1.0), extend("exclusiveMinimum" = 0.0))]
    pub cold_share: Option<f64>,
    /// Maximum number of concurrent requests; 1 to 1000000, 2000 by default
    #[schemars(range(min = 1, max = 1_000_000))]
    pub open_requests: Option<u32>,
    /// Maximum number of client connections; 1 to 1000000, half of the descriptors by default
    #[schemars(range(min = 1, max = 1_000_000))]
    pub client_connections: Option<u32>,
    /// Maximum number of file descriptors of the process; 80 to 1000000, 1024 by default
    #[schemars(range(min = 1, max = 1_000_000))]
    pub descriptors: Option<u32>,
    /// Memory limit of the process; at least 32MiB, 192MiB by default
    pub memory: Option<Size>,
    /// Maximum size of a request body; 64KiB by default
    pub largest_body: Option<Size>,
    /// Log format: text or json; text by default
    pub log: Option<LogFormat>,
}

/// Log format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
#[schemars(rename = "LogForm")]
pub enum LogFormat {
    /// Human-readable lines.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}
