//! The result of a run. It is stored as one JSON object per line of a results file.
//!
//! Everything except [`Cost`] depends only on the scenario, the seed, the policy and the build.

use serde::{Deserialize, Serialize};

/// The version of the result format. Readers reject any other version.
pub const SCHEMA: u32 = 1;

/// The result of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunResult {
    /// The version of the result format: [`SCHEMA`].
    pub schema: u32,
    /// The scenario's name.
    pub scenario: String,
    /// The hash of the scenario with all defaults filled in, in hexadecimal.
    pub scenario_digest: String,
    /// The build's revision.
    pub revision: String,
    /// The policy's name.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// The hash of all events in order, in hexadecimal.
    pub digest: String,
    /// The reasons why the figures are not reliable; empty if they are.
    pub unsound: Vec<String>,
    /// Counts and rates of the whole run after the warm-up.
    pub totals: Totals,
    /// The lowest goodput of any window of ten seconds.
    pub worst_window: f64,
    /// The figures of each class, in the scenario's order.
    pub classes: Vec<Group>,
    /// The figures of each tenant, in the scenario's order.
    pub tenants: Vec<Group>,
    /// The figures of each second, including the warm-up. A request counts in the second in which its first
    /// attempt arrived.
    pub seconds: Vec<Second>,
    /// All servers of the run, including replaced ones.
    pub servers: Vec<Server>,
    /// The servers that proxies treated as unhealthy or ejected, and when; limited to the first few thousand.
    pub held: Vec<Held>,
    /// The faults that were injected, and when.
    pub faults: Vec<Window>,
    /// The first breach of each rule that was broken.
    pub breaches: Vec<Breach>,
    /// A description of each bound of the scenario that was violated.
    pub out_of_bounds: Vec<String>,
    /// The resources that the run itself used.
    pub cost: Cost,
}

/// Counts and rates of a whole run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Totals {
    /// The number of requests, not counting client retries.
    pub offered: u64,
    /// Requests served within the latency objective.
    pub in_time: u64,
    /// Requests served between the latency objective and the deadline.
    pub late: u64,
    /// Requests whose last attempt was refused.
    pub refused: u64,
    /// Requests whose last attempt failed or got no response.
    pub failed: u64,
    /// The total worth of all requests.
    pub worth_asked: f64,
    /// The total worth of the served requests.
    pub worth_served: f64,
    /// The worth served divided by the worth requested.
    pub goodput: f64,
    /// Retries by clients.
    pub client_retries: u64,
    /// Attempts sent to servers of the first tier.
    pub attempts: u64,
    /// Attempts sent to servers of all tiers.
    pub attempts_all_tiers: u64,
    /// Attempts sent to the first tier per request.
    pub attempts_per_request: f64,
    /// Health checks in all tiers.
    pub probes: u64,
    /// Connections opened to servers of all tiers.
    pub handshakes: u64,
    /// The mean number of open connections per server, over all servers and the whole run.
    pub connections_per_server: f64,
    /// The share of all work done that led to no response to a client.
    pub wasted_work: f64,
    /// Requests whose effect took place more than once.
    pub second_effects: u64,
}

/// The figures of a class or a tenant.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Group {
    /// The name.
    pub name: String,
    /// The number of requests, not counting client retries.
    pub offered: u64,
    /// The worth served divided by the worth requested.
    pub goodput: f64,
    /// Refused requests.
    pub refused: u64,
    /// Failed requests.
    pub failed: u64,
    /// The latency of served requests, from the arrival of the first attempt.
    pub latency: Latency,
}

/// Percentiles of a latency, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Latency {
    /// The number of served requests.
    pub count: u64,
    /// The mean.
    pub mean_ms: f64,
    /// The 50th percentile.
    pub p50_ms: f64,
    /// The 90th percentile.
    pub p90_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The 99.9th percentile.
    pub p999_ms: f64,
    /// The maximum.
    pub max_ms: f64,
}

/// The figures of one second of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Second {
    /// Requests whose first attempt arrived in this second.
    pub offered: u64,
    /// Of those, requests served within the latency objective.
    pub in_time: u64,
    /// Of those, requests served after the latency objective.
    pub late: u64,
    /// Refused requests.
    pub refused: u64,
    /// Of those, requests that failed or got no response.
    pub failed: u64,
    /// The worth of the requests.
    pub worth_asked: f64,
    /// The worth of the served requests.
    pub worth_served: f64,
    /// Attempts sent to the first tier in this second.
    pub attempts: u64,
    /// Attempts sent to all tiers in this second.
    pub attempts_all_tiers: u64,
    /// The 50th percentile of the latency of served requests.
    pub p50_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
}

/// The figures of one server.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Server {
    /// The name.
    pub name: String,
    /// The name of its tier.
    pub tier: String,
    /// The name of its zone.
    pub zone: String,
    /// The name of its machine kind.
    pub kind: String,
    /// The number of cores times their speed.
    pub capacity: f64,
    /// Attempts that arrived at the server.
    pub attempts: u64,
    /// Attempts that the server rejected.
    pub turned_away: u64,
    /// Work done, in seconds of a core of speed 1.
    pub work_s: f64,
    /// The share of its core time that was used while the server was running.
    pub utilization: f64,
    /// The peak number of concurrent requests.
    pub peak_requests: u64,
    /// Health checks that arrived at the server.
    pub probes: u64,
    /// The peak number of open connections.
    pub peak_connections: u64,
    /// The number of times that its process died.
    pub deaths: u32,
    /// Whether the server was overloaded during slow start and crashed.
    pub fell_over: bool,
}

/// A period during which a proxy treated a server as unhealthy or ejected.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Held {
    /// The name of the proxy.
    pub proxy: String,
    /// The name of the server.
    pub server: String,
    /// The start, in milliseconds.
    pub from_ms: u64,
    /// The end, in milliseconds.
    pub to_ms: u64,
    /// The reason: `down` (a health check failed) or `held` (ejected because of failed or slow attempts).
    pub why: String,
}

/// A fault and its period.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Window {
    /// The kind of fault, as named in the scenario.
    pub kind: String,
    /// The start, in milliseconds.
    pub from_ms: u64,
    /// The end, in milliseconds.
    pub to_ms: u64,
    /// A description of what the fault affected.
    pub touched: String,
}

/// A broken rule, with its first breach.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Breach {
    /// The rule: `answer`, `effect`, `drain` or `cold`.
    pub rule: String,
    /// The number of breaches.
    pub count: u64,
    /// The time of the first breach, in milliseconds.
    pub at_ms: f64,
    /// The proxy that broke the rule.
    pub proxy: String,
    /// A description of the breach in one sentence.
    pub what: String,
    /// Descriptions of the events that led to the breach, oldest first.
    pub events: Vec<String>,
}

/// The resources that a run used. They differ from run to run and are not part of the digest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Cost {
    /// The number of threads.
    pub threads: u32,
    /// The number of events processed.
    pub events: u64,
    /// Wall-clock time, in seconds.
    pub wall_s: f64,
    /// Time spent in the policy, summed over all threads, in seconds; 0 if not measured.
    pub policy_s: f64,
    /// The peak resident memory of the process, in MiB.
    pub peak_mib: f64,
}
