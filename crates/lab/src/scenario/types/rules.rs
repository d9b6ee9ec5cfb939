//! What a scenario file says of discovery, of the limits of proxies, and of the rules that a run is held to.

use olivecart_config::document::Span;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The service that tells proxies which servers there are.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// Changes come unasked (`push`), or only to those who watch (`watch`).
    pub mode: DiscoveryMode,
    /// It hears of a change this long afterwards.
    pub lag: Span,
    /// Calls that it answers a second, one after another; above 0.
    #[schemars(extend("exclusiveMinimum" = 0))]
    pub calls_per_s: f64,
    /// A call that waited for this long fails; above 0s.
    pub timeout: Span,
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery {
            mode: DiscoveryMode::Push,
            lag: Span::from_nanos(500_000_000),
            calls_per_s: 200.0,
            timeout: Span::from_nanos(1_000_000_000),
        }
    }
}

/// How the list comes to a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum DiscoveryMode {
    /// Changes come unasked.
    Push,
    /// Changes come to those who watch, whole lists to those who ask.
    Watch,
}

/// What proxies may do.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Most attempts of one request; 1 to 100.
    #[schemars(range(min = 1, max = 100))]
    pub max_attempts: u32,
    /// Attempts may be called off.
    pub cancel: bool,
    /// Servers may be probed.
    pub probes: bool,
    /// Longest come-back time that a refusal may name; 0: none.
    pub max_retry_after: Span,
    /// A connection that has not come up in this time has failed; above what its round trips take.
    pub connect_timeout: Span,
    /// A probe without an answer in this time has failed; above what its round trip takes.
    pub probe_timeout: Span,
    /// Open requests of a proxy; further ones are refused. At least 1.
    #[schemars(range(min = 1))]
    pub most_held: u32,
    /// A call to the next tier carries the time its caller has left; if not, its class's whole deadline.
    pub passes_deadline: bool,
}

impl Default for Limits {
    fn default() -> Self {
        let ms = |ms: u64| Span::from_nanos(ms * 1_000_000);
        Limits {
            max_attempts: 3,
            cancel: true,
            probes: true,
            max_retry_after: ms(2000),
            connect_timeout: ms(250),
            probe_timeout: ms(400),
            most_held: 20_000,
            passes_deadline: true,
        }
    }
}

/// The figures of the four rules.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// A final answer may come this long after the deadline.
    pub answer_grace: Span,
    /// Sends to a server end this long after the proxy was told that it drains or is gone.
    pub drain_grace: Span,
    /// A cold server that is sent more than this multiple of what it can do, at least 1...
    #[schemars(range(min = 1))]
    pub fall_multiple: f64,
    /// ...for this long falls over and stays down. Above 0s.
    pub fall_window: Span,
    /// A cold server can do at least this share of what it can do warm; above 0, up to 1. Told to proxies.
    #[schemars(range(max = 1), extend("exclusiveMinimum" = 0))]
    pub cold_share: f64,
    /// It is warm after this at the latest; above 0s. Told to proxies.
    pub cold_time: Span,
    /// A proxy that has neither watched nor asked for this long counts as told; above 0s.
    pub must_ask_in: Span,
}

impl Default for Rules {
    fn default() -> Self {
        let ms = |ms: u64| Span::from_nanos(ms * 1_000_000);
        Rules {
            answer_grace: ms(20),
            drain_grace: ms(500),
            fall_multiple: 3.0,
            fall_window: ms(3000),
            cold_share: 0.12,
            cold_time: ms(24_000),
            must_ask_in: ms(10_000),
        }
    }
}
