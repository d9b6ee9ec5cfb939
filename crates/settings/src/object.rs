//! The settings object as it is written in JSON. A `rename` attribute gives the platform's key where it
//! differs from the field's name. `expecting` keeps the type names that error messages show for a value of
//! the wrong type.

use crate::error::SettingsError;
use serde::Deserialize;

/// The priority weight of a class that does not set one.
fn default_priority_weight() -> f64 {
    1.0
}

/// A settings object.
#[derive(Deserialize)]
#[serde(expecting = "struct Options")]
#[serde(rename_all = "kebab-case")]
pub(crate) struct SettingsObject {
    #[serde(rename = "accounts", default)]
    pub tenants: Vec<TenantObject>,
    #[serde(rename = "allowed", default)]
    pub limits: LimitsObject,
    #[serde(rename = "dcs", default)]
    pub zones: Vec<String>,
    #[serde(default)]
    pub extra: ExtraObject,
    #[serde(rename = "grades")]
    pub classes: Vec<ClassObject>,
    #[serde(rename = "granularity-ns")]
    pub clock_granularity_ns: Option<u64>,
    #[serde(rename = "group-size")]
    pub replica_count: Option<u32>,
    #[serde(rename = "me", default)]
    pub replica_index: u32,
    #[serde(rename = "over-share-worth")]
    pub over_quota_weight_ratio: Option<f64>,
    #[serde(rename = "penalties", default)]
    pub cost_weights: CostWeightsObject,
    #[serde(rename = "registry-mode")]
    pub discovery_mode: Option<String>,
    #[serde(rename = "report", default)]
    pub load_report: LoadReportObject,
    #[serde(default)]
    pub rules: RulesObject,
    #[serde(default)]
    pub tier: u32,
    /// `work` if a class's weight counts per second of work instead of per request.
    #[serde(rename = "worth-by")]
    pub weight_basis: Option<String>,
    pub zone: Option<String>,
}

/// A tenant and its quota.
#[derive(Deserialize, Default)]
#[serde(expecting = "struct AccountSettings")]
#[serde(rename_all = "kebab-case", default)]
pub(crate) struct TenantObject {
    pub name: String,
    /// Requests per second.
    pub quota_per_s: f64,
    /// The tenant's share of the service's capacity, from 0 to 1.
    pub share: f64,
}

/// The limits and features that the platform allows an instance to use.
#[expect(clippy::struct_excessive_bools, reason = "mirrors the settings object")]
#[derive(Deserialize, Default)]
#[serde(expecting = "struct Allowed")]
#[serde(rename_all = "kebab-case", default)]
pub(crate) struct LimitsObject {
    pub idle_close_ns: Option<u64>,
    #[serde(rename = "most-held")]
    pub max_open_requests: Option<usize>,
    pub connect_timeout_ns: Option<u64>,
    pub max_attempts: Option<u32>,
    pub max_retry_after_ns: u64,
    #[serde(rename = "may-cancel")]
    pub cancellation_enabled: bool,
    #[serde(rename = "probes")]
    pub health_checks_enabled: bool,
    #[serde(rename = "retry-after")]
    pub retry_after_enabled: bool,
    #[serde(rename = "second-copies")]
    pub hedging_enabled: bool,
}

/// Keys that only some platforms have.
#[derive(Deserialize, Default)]
#[serde(expecting = "struct Extra")]
#[serde(rename_all = "kebab-case", default)]
pub(crate) struct ExtraObject {
    #[serde(rename = "passes-deadline")]
    pub propagates_deadline: Option<bool>,
}

/// A class of requests.
#[derive(Deserialize)]
#[serde(expecting = "struct Grade")]
#[serde(rename_all = "kebab-case")]
pub(crate) struct ClassObject {
    pub name: String,
    #[serde(rename = "aim-ns")]
    pub latency_objective_ns: u64,
    #[serde(rename = "give-up-ns")]
    pub client_deadline_ns: u64,
    /// `repeatable`, `by_key` or `once`.
    #[serde(rename = "effect")]
    pub idempotency: String,
    /// The deduplication scope of a `by_key` class: `all` (the default), `zone` or `cell`.
    #[serde(rename = "group")]
    pub deduplication_scope: Option<String>,
    #[serde(rename = "late-worth", default)]
    pub late_weight_ratio: f64,
    #[serde(rename = "stream", default)]
    pub streaming: bool,
    /// How long the scope of a `by_key` class drops duplicates of a key.
    #[serde(rename = "window-ns")]
    pub deduplication_window_ns: Option<u64>,
    #[serde(rename = "worth", default = "default_priority_weight")]
    pub priority_weight: f64,
}

/// The costs of actions and failures, relative to the priority weights of requests.
#[derive(Deserialize, Default)]
#[serde(expecting = "struct Penalties")]
#[serde(rename_all = "kebab-case", default)]
pub(crate) struct CostWeightsObject {
    pub cross_zone: f64,
    #[serde(rename = "late-fail")]
    pub late_failure: f64,
    #[serde(rename = "probe")]
    pub health_check: f64,
    #[serde(rename = "waste")]
    pub wasted_work: f64,
}

/// The load reports of backends.
#[derive(Deserialize, Default)]
#[serde(expecting = "struct Report")]
#[serde(rename_all = "kebab-case", default)]
pub(crate) struct LoadReportObject {
    /// The fields of a report, in the order in which a report lists their values.
    #[serde(rename = "names")]
    pub fields: Vec<String>,
}

/// The time limits and slow-start parameters that the platform sets.
#[derive(Deserialize, Default)]
#[serde(expecting = "struct RuleSettings")]
#[serde(rename_all = "kebab-case", default)]
pub(crate) struct RulesObject {
    #[serde(rename = "grace-to-answer-ns")]
    pub response_grace_ns: Option<u64>,
    #[serde(rename = "cold-ns")]
    pub slow_start_window_ns: Option<u64>,
    #[serde(rename = "cold-share")]
    pub slow_start_initial_share: Option<f64>,
    pub drain_grace_ns: Option<u64>,
    #[serde(rename = "fall-multiple")]
    pub overload_multiple: Option<f64>,
    #[serde(rename = "fall-ns")]
    pub overload_window_ns: Option<u64>,
    #[serde(rename = "must-ask-in-ns")]
    pub poll_interval_ns: Option<u64>,
}

impl SettingsObject {
    /// Parses the JSON text of a settings object.
    pub(crate) fn parse(json: &str) -> Result<SettingsObject, SettingsError> {
        let mut reader = serde_json::Deserializer::from_str(json);
        serde_path_to_error::deserialize(&mut reader).map_err(|error| SettingsError::Malformed {
            path: error.path().to_string(),
            error: error.into_inner(),
        })
    }
}
