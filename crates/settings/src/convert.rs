//! Converts the settings object to the settings of the decision module. Missing keys take the module's
//! defaults.

use crate::error::SettingsError;
use crate::names::NameTable;
use crate::object::{ClassObject, CostWeightsObject, LimitsObject, RulesObject, SettingsObject};
use olivecart_decisions::{
    Class, CostWeights, DeduplicationScope, Discovery, Idempotency, Limits, Rules, Settings, Tenant, ZoneId,
};

/// Converts the whole object. Adds the instance's own zone to `zones` if it is not listed there.
pub(crate) fn convert_settings(
    object: &SettingsObject,
    zones: &mut NameTable,
) -> Result<Settings, SettingsError> {
    let defaults = Settings::default();
    let classes = object.classes.iter().enumerate().map(|(index, class)| convert_class(index, class));
    let tenants = object.tenants.iter();
    Ok(Settings {
        classes: classes.collect::<Result<_, _>>()?,
        tenants: tenants
            .map(|tenant| Tenant { quota_per_s: tenant.quota_per_s, share: tenant.share })
            .collect(),
        replica_index: object.replica_index,
        replica_count: object.replica_count.unwrap_or(object.replica_index + 1),
        tier: object.tier,
        zone: ZoneId(object.zone.as_deref().map_or(0, |zone| zones.intern(zone)) as u16),
        clock_granularity: object.clock_granularity_ns.unwrap_or(defaults.clock_granularity),
        over_quota_weight_ratio: object.over_quota_weight_ratio.unwrap_or(defaults.over_quota_weight_ratio),
        weight_by_work: object.weight_basis.as_deref() == Some("work"),
        propagates_deadline: object.extra.propagates_deadline.unwrap_or(defaults.propagates_deadline),
        discovery: parse_discovery(object.discovery_mode.as_deref())?,
        limits: convert_limits(&object.limits, &defaults.limits),
        rules: convert_rules(&object.rules, &defaults.rules),
        cost_weights: convert_cost_weights(&object.cost_weights),
    })
}

fn convert_class(index: usize, class: &ClassObject) -> Result<Class, SettingsError> {
    Ok(Class {
        latency_objective: class.latency_objective_ns,
        client_deadline: class.client_deadline_ns,
        idempotency: parse_idempotency(index, class)?,
        priority_weight: class.priority_weight,
        late_weight_ratio: class.late_weight_ratio,
        streaming: class.streaming,
    })
}

fn parse_idempotency(index: usize, class: &ClassObject) -> Result<Idempotency, SettingsError> {
    match class.idempotency.as_str() {
        "repeatable" => Ok(Idempotency::Idempotent),
        "once" => Ok(Idempotency::NonIdempotent),
        "by_key" => {
            let scope = parse_scope(index, class.deduplication_scope.as_deref())?;
            let window = class.deduplication_window_ns.ok_or_else(|| {
                SettingsError::value(
                    class_key_path(index, "window-ns"),
                    "missing; required when the effect is by_key",
                )
            })?;
            Ok(Idempotency::Keyed { scope, window })
        }
        other => {
            Err(SettingsError::value(class_key_path(index, "effect"), format!("unknown effect {other:?}")))
        }
    }
}

fn parse_scope(index: usize, scope: Option<&str>) -> Result<DeduplicationScope, SettingsError> {
    match scope {
        None | Some("all") => Ok(DeduplicationScope::All),
        Some("zone") => Ok(DeduplicationScope::Zone),
        Some("cell") => Ok(DeduplicationScope::Cell),
        Some(other) => {
            Err(SettingsError::value(class_key_path(index, "group"), format!("unknown group {other:?}")))
        }
    }
}

/// Returns the path of a class's key, for error messages.
fn class_key_path(index: usize, name: &str) -> String {
    format!("grades[{index}].{name}")
}

fn parse_discovery(mode: Option<&str>) -> Result<Discovery, SettingsError> {
    match mode {
        None | Some("automatic") => Ok(Discovery::Automatic),
        Some("subscribe") => Ok(Discovery::Subscribe),
        Some(other) => Err(SettingsError::value("registry-mode", format!("unknown mode {other:?}"))),
    }
}

fn convert_limits(object: &LimitsObject, defaults: &Limits) -> Limits {
    Limits {
        max_attempts: object.max_attempts.unwrap_or(defaults.max_attempts),
        hedging_enabled: object.hedging_enabled,
        cancellation_enabled: object.cancellation_enabled,
        health_checks_enabled: object.health_checks_enabled,
        max_retry_after: if object.retry_after_enabled { object.max_retry_after_ns } else { 0 },
        connect_timeout: object.connect_timeout_ns.unwrap_or(defaults.connect_timeout),
    }
}

fn convert_rules(object: &RulesObject, defaults: &Rules) -> Rules {
    Rules {
        slow_start_initial_share: object
            .slow_start_initial_share
            .unwrap_or(defaults.slow_start_initial_share),
        slow_start_window: object.slow_start_window_ns.unwrap_or(defaults.slow_start_window),
        overload_multiple: object.overload_multiple.unwrap_or(defaults.overload_multiple),
        overload_window: object.overload_window_ns.unwrap_or(defaults.overload_window),
        drain_grace: object.drain_grace_ns.unwrap_or(defaults.drain_grace),
        poll_interval: object.poll_interval_ns.unwrap_or(defaults.poll_interval),
    }
}

fn convert_cost_weights(object: &CostWeightsObject) -> CostWeights {
    CostWeights {
        cross_zone: object.cross_zone,
        wasted_work: object.wasted_work,
        health_check: object.health_check,
        late_failure: object.late_failure,
    }
}
