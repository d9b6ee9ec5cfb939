//! What a scenario file says of the fleet: its tiers, and the kinds of their servers.

use super::one;
use olivecart_config::document::Span;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// One tier of servers, called through proxies.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Its name.
    pub name: String,
    /// How many servers; spread over the zones in turn. 1 to 100000.
    #[schemars(range(min = 1, max = 100_000))]
    pub servers: u32,
    /// Proxies in front of the first tier, spread over the zones in turn; each server of a tier has one of
    /// its own for the next, so that later tiers have no such number. 1 to 100000.
    #[serde(default = "one_proxy")]
    #[schemars(range(min = 1, max = 100_000))]
    pub proxies: u32,
    /// Servers in a cell, which lies in one zone; 0: each zone is one cell. At most the servers of a zone.
    #[serde(default)]
    pub cell_size: u32,
    /// Its part of a request's work for each call that it gets; above 0.
    #[serde(default = "one")]
    #[schemars(extend("exclusiveMinimum" = 0))]
    pub work_share: f64,
    /// Calls that one request of the tier above makes here, on average, one after another; above 0, up to 20.
    /// The first tier has no such number: clients call it once for each try.
    #[serde(default = "one")]
    #[schemars(range(max = 20), extend("exclusiveMinimum" = 0))]
    pub calls: f64,
    /// What the list tells of a server's size.
    #[serde(default)]
    pub weights: Weights,
    /// Kinds of machine, at least one.
    #[schemars(length(min = 1))]
    pub kind: Vec<Kind>,
}

fn one_proxy() -> u32 {
    1
}

/// What the list tells of a server's size.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Weights {
    /// Always 1.
    #[default]
    None,
    /// Cores times the middle of the kind's speeds.
    Nominal,
    /// Cores times the true speed.
    True,
}

/// What becomes of the work of an attempt that was called off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Cancel {
    /// It is done to its end.
    #[default]
    None,
    /// What waits is dropped, what runs is done to its end.
    Queued,
    /// It stops.
    Running,
}

/// A kind of machine.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Its part of the tier's servers, relative to the other kinds'; above 0.
    #[serde(default = "one")]
    #[schemars(extend("exclusiveMinimum" = 0))]
    pub share: f64,
    /// Cores; 1 to 256.
    #[schemars(range(min = 1, max = 256))]
    pub cores: u32,
    /// Least and greatest speed of a core; each server has its own, drawn evenly. 0.001 to 1000.
    #[serde(default = "unit_speed")]
    #[schemars(inner(range(min = 0.001, max = 1000)))]
    pub speed: [f64; 2],
    /// Requests in work at a time, those that wait for the next tier included; at least 1.
    #[serde(default = "many")]
    #[schemars(range(min = 1))]
    pub slots: u32,
    /// Requests that wait for a slot; more are turned away.
    #[serde(default = "many")]
    pub queue: u32,
    /// Probability that a request ends in an error at once; 0 to 1.
    #[serde(default)]
    #[schemars(range(min = 0, max = 1))]
    pub error_rate: f64,
    /// How a cold server warms up; none: it is warm at once.
    pub cold: Option<Cold>,
    /// How it slows down when crowded; none: it does not.
    pub crowd: Option<Crowd>,
    /// How it stands still now and then; none: it does not.
    pub pause: Option<Pause>,
    /// Its connections.
    #[serde(default)]
    pub connections: Connections,
    /// What becomes of work that was called off.
    #[serde(default)]
    pub cancel: Cancel,
    /// Its load reports; none: it makes none.
    pub report: Option<Report>,
    /// Work of a probe, answered beside the queue.
    #[serde(default)]
    pub probe_work: Span,
}

fn unit_speed() -> [f64; 2] {
    [1.0, 1.0]
}

fn many() -> u32 {
    1_000_000
}

/// A cold start.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Cold {
    /// Share of its speed with which it starts; above 0, up to 1.
    #[schemars(range(max = 1), extend("exclusiveMinimum" = 0))]
    pub from: f64,
    /// It is warm after this; the speed rises evenly.
    pub warm_in: Span,
}

/// Loss of speed when crowded, with hysteresis: slow at once, fast again only after rest.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Crowd {
    /// Crowded: more requests here than this many for each core, at least 1...
    #[schemars(range(min = 1))]
    pub per_core: f64,
    /// ...for this long.
    pub after: Span,
    /// Then it is this many times slower; 1 to 1000.
    #[schemars(range(min = 1, max = 1000))]
    pub slower: f64,
    /// Until it had less than one request a core for this long.
    pub rest: Span,
}

/// Standing still, as for garbage collection.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Pause {
    /// Mean time between two; exponential.
    pub every: Span,
    /// Length of one; above 0s, below `every`.
    pub length: Span,
}

/// A server's connections, each for one request at a time.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Connections {
    /// Most that are open; further ones are refused. 0: no limit.
    pub cap: u32,
    /// Round trips before the first request on a new one can be written; 0 to 10.
    #[schemars(range(max = 10))]
    pub handshake_rtts: u32,
    /// Work that a new one costs.
    pub handshake_work: Span,
    /// One that is idle for this long is closed; above 0s.
    pub idle: Span,
}

impl Default for Connections {
    fn default() -> Self {
        Connections {
            cap: 0,
            handshake_rtts: 1,
            handshake_work: Span::default(),
            idle: Span::from_nanos(30_000_000_000),
        }
    }
}

/// Load reports, carried by answers and probes' answers.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// A new one is made this often; above 0s.
    pub period: Span,
    /// It is told this long after it was made.
    #[serde(default)]
    pub delay: Span,
    /// Standard deviation of a factor on its figures; 0 to 2.
    #[serde(default)]
    #[schemars(range(min = 0, max = 2))]
    pub noise: f64,
}
