//! What a scenario file says: the fleet, its clients, what goes wrong, and the bounds a run must keep.
//!
//! Durations are written `"250ms"`, ratios as plain numbers. Every field's documentation gives its unit and
//! range. The JSON Schema is generated from these types: the ranges of single numbers stand in it, are
//! enforced by `shape.rs`, and the documentation is what a finding quotes as right. What contradicts
//! something else is found by `check`.
//!
//! Names of all things are 1 to 64 letters, digits, `_`, `-` or `.`, each given once.

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

fn one() -> f64 {
    1.0
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
