//! What a scenario file says of faults.

use super::one;
use olivecart_config::document::Span;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Something that goes wrong for a while.
///
/// What a kind has no use for must not be given. `tier`, `machine`, `zone` and `part` say which servers
/// `crash`, `fast_errors`, `slow`, `hang`, `late_reports`, `rolling_deploy` and `resets` touch; `zone` and
/// `part` which proxies `proxy_restart` does; `part` which clients `retry_storm` does. `zone_loss` and
/// `partition` need a zone, `tenant_flood` needs a tenant. `discovery_outage` and `stale_list` touch all.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What.
    pub kind: FaultKind,
    /// When it begins; before clients stop arriving.
    pub start: Span,
    /// How long it lasts; above 0s for all but `crash` and `proxy_restart`. It may outlast the clients.
    #[serde(default)]
    pub length: Span,
    /// Share of those it can touch that it touches, rounded to whole ones; above 0, up to 1.
    #[serde(default = "one")]
    #[schemars(range(max = 1), extend("exclusiveMinimum" = 0))]
    pub part: f64,
    /// How strong, in the unit that its kind names.
    pub strength: Option<f64>,
    /// The tier whose servers it touches; the first unless given.
    pub tier: Option<String>,
    /// Touches only this zone.
    pub zone: Option<String>,
    /// Touches only this kind of machine.
    pub machine: Option<String>,
    /// The tenant that floods.
    pub tenant: Option<String>,
}

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Servers die at once and come back cold after `length`.
    Crash,
    /// Servers fail requests at once. Strength: share that fails, above 0, up to 1.
    FastErrors,
    /// Servers turn slower. Strength: how many times, above 1, up to 1000.
    Slow,
    /// Servers pass probes, take requests and answer none.
    Hang,
    /// All servers and proxies of `zone` vanish without a word and come back after `length`.
    ZoneLoss,
    /// Nothing passes between `zone` and the others; nobody is told.
    Partition,
    /// Discovery answers nothing, and watches end.
    DiscoveryOutage,
    /// Discovery hears nothing new: what it tells is old.
    StaleList,
    /// Load reports come later. Strength: seconds, above 0, up to 3600.
    LateReports,
    /// Servers are replaced a batch after another: drained for `length` over the number of batches, then
    /// restarted cold under a new id. Strength: share of the tier in a batch, above 0, up to 1.
    RollingDeploy,
    /// A tenant sends more. Strength: how many times its usual traffic, above 1, up to
    /// 1000.
    TenantFlood,
    /// Clients try again at once, whatever they were told. Strength: tries after the first, 1
    /// to 20.
    RetryStorm,
    /// First-tier proxies die at once; new ones take their places after `length`.
    ProxyRestart,
    /// Connections break after the request was written. Strength: probability for each attempt,
    /// above 0, up to 1.
    Resets,
}
