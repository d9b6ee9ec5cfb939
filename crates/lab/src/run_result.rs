//! What a run came to: one JSON object, a line each in a results file.
//!
//! Everything but [`Cost`] follows from the scenario, the seed, the policy and the build alone.

use serde::{Deserialize, Serialize};

/// The version of this form; another one is refused by name.
pub const SCHEMA: u32 = 1;

/// What a run came to.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunResult {
    /// Version of this form: [`SCHEMA`].
    pub schema: u32,
    /// The scenario's name.
    pub scenario: String,
    /// Hash of the scenario with all defaults filled in, hexadecimal.
    pub scenario_digest: String,
    /// The build's revision.
    pub revision: String,
    /// The policy's name.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// Hash of all events in their order, hexadecimal.
    pub digest: String,
    /// Why the figures are not to be trusted; empty: they are.
    pub unsound: Vec<String>,
    /// Counts and rates of the whole run, after the warm-up.
    pub totals: Totals,
    /// Goodput of the worst window of ten seconds.
    pub worst_window: f64,
    /// By class, in the scenario's order.
    pub classes: Vec<Group>,
    /// By tenant, in the scenario's order.
    pub tenants: Vec<Group>,
    /// By second of arrival of the first try, warm-up included.
    pub seconds: Vec<Second>,
    /// Every server that there was, replaced ones included.
    pub servers: Vec<Server>,
    /// Who was held back when, by which proxy; the first some thousand.
    pub held: Vec<Held>,
    /// What went wrong when.
    pub faults: Vec<Window>,
    /// Rules that were broken, the first breach of each.
    pub breaches: Vec<Breach>,
    /// Bounds of the scenario that were not kept, in words.
    pub out_of_bounds: Vec<String>,
    /// What the run itself cost.
    pub cost: Cost,
}

/// Counts and rates of a whole run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Totals {
    /// First tries.
    pub offered: u64,
    /// Answered within the aim.
    pub in_time: u64,
    /// Answered between aim and deadline.
    pub late: u64,
    /// Whose last try was refused.
    pub refused: u64,
    /// Whose last try failed, or went unanswered.
    pub failed: u64,
    /// Worth asked for, and worth served.
    pub worth_asked: f64,
    /// The latter.
    pub worth_served: f64,
    /// Worth served over worth asked for.
    pub goodput: f64,
    /// Tries that clients made after their first.
    pub client_retries: u64,
    /// Attempts at servers of the first tier.
    pub attempts: u64,
    /// Attempts at servers of all tiers.
    pub attempts_all_tiers: u64,
    /// Attempts at the first tier for each first try.
    pub attempts_per_request: f64,
    /// Probes at all tiers.
    pub probes: u64,
    /// New connections to servers of all tiers.
    pub handshakes: u64,
    /// Open connections of a server, mean over servers and time.
    pub connections_per_server: f64,
    /// Work done for which no client got an answer, over all work done.
    pub wasted_work: f64,
    /// Requests whose effect took place twice.
    pub second_effects: u64,
}

/// A class, or a tenant.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Group {
    /// Its name.
    pub name: String,
    /// First tries.
    pub offered: u64,
    /// Worth served over worth asked for.
    pub goodput: f64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Latency of what was answered, from the arrival of the first try.
    pub latency: Latency,
}

/// Percentiles of a latency, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Latency {
    /// How many.
    pub count: u64,
    /// Mean.
    pub mean_ms: f64,
    /// 50th percentile.
    pub p50_ms: f64,
    /// 90th percentile.
    pub p90_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
    /// Greatest.
    pub max_ms: f64,
}

/// One second of arrivals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Second {
    /// First tries that arrived in it.
    pub offered: u64,
    /// Of those, answered within the aim.
    pub in_time: u64,
    /// Answered late.
    pub late: u64,
    /// Refused.
    pub refused: u64,
    /// Failed or never answered.
    pub failed: u64,
    /// Worth asked for.
    pub worth_asked: f64,
    /// Worth served.
    pub worth_served: f64,
    /// Attempts at the first tier that were sent in it.
    pub attempts: u64,
    /// Attempts at all tiers that were sent in it.
    pub attempts_all_tiers: u64,
    /// Latency of those that were answered: 50th percentile.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
}

/// One server.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Server {
    /// Its name.
    pub name: String,
    /// Its tier's name.
    pub tier: String,
    /// Its zone's name.
    pub zone: String,
    /// Its kind's name.
    pub kind: String,
    /// Cores times speed.
    pub capacity: f64,
    /// Attempts that reached it.
    pub attempts: u64,
    /// Attempts that it turned away.
    pub turned_away: u64,
    /// Core seconds of work done, at speed 1.
    pub work_s: f64,
    /// Work done over what it could have done in the time that it ran.
    pub utilization: f64,
    /// Most requests that were there at a time.
    pub peak_requests: u64,
    /// Probes that reached it.
    pub probes: u64,
    /// Most connections open at a time.
    pub peak_connections: u64,
    /// Times that it died.
    pub deaths: u32,
    /// It fell over while cold.
    pub fell_over: bool,
}

/// A proxy that held a server back for a time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Held {
    /// The proxy.
    pub proxy: String,
    /// The server's name.
    pub server: String,
    /// From when, in milliseconds.
    pub from_ms: u64,
    /// Until when.
    pub to_ms: u64,
    /// Why: `down` (a check failed) or `held` (evidence from calls).
    pub why: String,
}

/// When something went wrong.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Window {
    /// The kind of fault, as the scenario calls it.
    pub kind: String,
    /// From when, in milliseconds.
    pub from_ms: u64,
    /// Until when.
    pub to_ms: u64,
    /// What it touched, in words.
    pub touched: String,
}

/// A rule that was broken.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Breach {
    /// Which rule: `answer`, `effect`, `drain` or `cold`.
    pub rule: String,
    /// How often it was broken.
    pub count: u64,
    /// When first, in milliseconds.
    pub at_ms: f64,
    /// By which proxy.
    pub proxy: String,
    /// What happened, one sentence.
    pub what: String,
    /// The events that led to it, oldest first, in words.
    pub events: Vec<String>,
}

/// What a run cost. Not part of the digest, and different each time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Cost {
    /// Threads used.
    pub threads: u32,
    /// Events played.
    pub events: u64,
    /// Real time, in seconds.
    pub wall_s: f64,
    /// Time spent in the policy, over all threads, in seconds; 0 where it was not measured.
    pub policy_s: f64,
    /// Greatest memory of the process, in MiB.
    pub peak_mib: f64,
}
