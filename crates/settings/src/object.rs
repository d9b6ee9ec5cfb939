//! The settings object as it is written. Fields have the standard names; the keys are the platform's, given to each
//! field where the two differ. `expecting` is what messages about a value of another type call it.

use crate::error::SettingsError;
use serde::Deserialize;

/// The priority weight of a class that sets none.
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
    /// `work` if a class's weight is for each second of work, not for each request.
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
    /// Requests a second.
    pub quota_per_s: f64,
    /// Part of the service, from 0 to 1.
    pub share: f64,
}

/// What the platform allows an instance to do.
#[expect(clippy::struct_excessive_bools, reason = "the form of the settings object")]
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

/// Keys that not every platform has.
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
    /// For `by_key`: `all`, the default, `zone` or `cell`.
    #[serde(rename = "group")]
    pub deduplication_scope: Option<String>,
    #[serde(rename = "late-worth", default)]
    pub late_weight_ratio: f64,
    #[serde(rename = "stream", default)]
    pub streaming: bool,
    /// For `by_key`: how long the scope drops duplicates of a key.
    #[serde(rename = "window-ns")]
    pub deduplication_window_ns: Option<u64>,
    #[serde(rename = "worth", default = "default_priority_weight")]
    pub priority_weight: f64,
}

/// What things cost, relative to the weights of requests.
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

/// What backends report of their load.
#[derive(Deserialize, Default)]
#[serde(expecting = "struct Report")]
#[serde(rename_all = "kebab-case", default)]
pub(crate) struct LoadReportObject {
    /// The fields of a report, in their order.
    #[serde(rename = "names")]
    pub fields: Vec<String>,
}

/// The platform's rules.
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
    /// Reads the text of a settings object.
    pub(crate) fn parse(json: &str) -> Result<SettingsObject, SettingsError> {
        let mut reader = serde_json::Deserializer::from_str(json);
        serde_path_to_error::deserialize(&mut reader).map_err(|error| SettingsError::Form {
            path: error.path().to_string(),
            error: error.into_inner(),
        })
    }
}
