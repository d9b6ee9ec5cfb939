//! The settings that every layer can override.

use crate::document::{Size, Span};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What the built-in layer, a fleet, a tier, an application and the environment can set; a later one counts.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Knobs")]
pub struct Overrides {
    /// Most attempts of a request at one proxy; 1 to 10, 3 by default
    #[schemars(range(min = 1, max = 10))]
    pub attempts: Option<u32>,
    /// A connection that is not established in this time has failed; 250ms by default
    pub connect_timeout: Option<Span>,
    /// Idle connections to endpoints are closed after this; 30s by default
    pub idle_close: Option<Span>,
    /// Endpoints are probed; true by default
    pub probes: Option<bool>,
    /// Longest time to stay away that clients are told and honour; 2s by default, 0ms tells none
    pub retry_after: Option<Span>,
    /// Nothing new goes to an endpoint this long after it was said to drain; at most 500ms, the default
    pub drain_grace: Option<Span>,
    /// An endpoint that has started is warm after this; 30s by default
    pub cold: Option<Span>,
    /// Share of its capacity that a cold endpoint begins with; above 0, at most 1, 0.1 by default
    #[schemars(range(max = 1.0), extend("exclusiveMinimum" = 0.0))]
    pub cold_share: Option<f64>,
    /// Requests that may be open at a time; 1 to 1000000, 2000 by default
    #[schemars(range(min = 1, max = 1_000_000))]
    pub open_requests: Option<u32>,
    /// Connections that clients may hold at a time; 1 to 1000000, half of the descriptors by default
    #[schemars(range(min = 1, max = 1_000_000))]
    pub client_connections: Option<u32>,
    /// Descriptors that the process may open; 80 to 1000000, 1024 by default
    #[schemars(range(min = 1, max = 1_000_000))]
    pub descriptors: Option<u32>,
    /// Memory that the process may take; 32MiB at least, 192MiB by default
    pub memory: Option<Size>,
    /// Largest body of a request; 64KiB by default
    pub largest_body: Option<Size>,
    /// Form of the log: text, by default, or json
    pub log: Option<LogForm>,
}

/// Form of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum LogForm {
    /// Lines for people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}
