//! From the settings object to what the decisions are told. Keys that are not given keep the decisions' own defaults.

use crate::error::SettingsError;
use crate::names::NameTable;
use crate::object::{ClassObject, CostWeightsObject, LimitsObject, RulesObject, SettingsObject};
use olivecart_decisions::{
    Class, CostWeights, DeduplicationScope, Discovery, Idempotency, Limits, Rules, Settings, Tenant, ZoneId,
};

/// The decisions' settings. The instance's own zone gets a number in `zones` if it has none.
pub(crate) fn settings_of(object: &SettingsObject, zones: &mut NameTable) -> Result<Settings, SettingsError> {
    let defaults = Settings::default();
    let classes = object.classes.iter().enumerate().map(|(index, class)| class_of(index, class));
    let tenants = object.tenants.iter();
    Ok(Settings {
        classes: classes.collect::<Result<_, _>>()?,
        tenants: tenants
            .map(|tenant| Tenant { quota_per_s: tenant.quota_per_s, share: tenant.share })
            .collect(),
        replica_index: object.replica_index,
        replica_count: object.replica_count.unwrap_or(object.replica_index + 1),
        tier: object.tier,
        zone: ZoneId(object.zone.as_deref().map_or(0, |zone| zones.id(zone)) as u16),
        clock_granularity: object.clock_granularity_ns.unwrap_or(defaults.clock_granularity),
        over_quota_weight_ratio: object.over_quota_weight_ratio.unwrap_or(defaults.over_quota_weight_ratio),
        weight_by_work: object.weight_basis.as_deref() == Some("work"),
        propagates_deadline: object.extra.propagates_deadline.unwrap_or(defaults.propagates_deadline),
        discovery: discovery_of(object.discovery_mode.as_deref())?,
        limits: limits_of(&object.limits, &defaults.limits),
        rules: rules_of(&object.rules, &defaults.rules),
        cost_weights: cost_weights_of(&object.cost_weights),
    })
}

fn class_of(index: usize, class: &ClassObject) -> Result<Class, SettingsError> {
    Ok(Class {
        latency_objective: class.latency_objective_ns,
        client_deadline: class.client_deadline_ns,
        idempotency: idempotency_of(index, class)?,
        priority_weight: class.priority_weight,
        late_weight_ratio: class.late_weight_ratio,
        streaming: class.streaming,
    })
}

fn idempotency_of(index: usize, class: &ClassObject) -> Result<Idempotency, SettingsError> {
    match class.idempotency.as_str() {
        "repeatable" => Ok(Idempotency::Idempotent),
        "once" => Ok(Idempotency::NonIdempotent),
        "by_key" => {
            let scope = scope_of(index, class.deduplication_scope.as_deref())?;
            let window = class.deduplication_window_ns.ok_or_else(|| {
                SettingsError::value(class_key(index, "window-ns"), "missing, and the class is by_key")
            })?;
            Ok(Idempotency::Keyed { scope, window })
        }
        other => Err(SettingsError::value(class_key(index, "effect"), format!("unknown effect {other:?}"))),
    }
}

fn scope_of(index: usize, scope: Option<&str>) -> Result<DeduplicationScope, SettingsError> {
    match scope {
        None | Some("all") => Ok(DeduplicationScope::All),
        Some("zone") => Ok(DeduplicationScope::Zone),
        Some("cell") => Ok(DeduplicationScope::Cell),
        Some(other) => {
            Err(SettingsError::value(class_key(index, "group"), format!("unknown group {other:?}")))
        }
    }
}

/// The key of a class's value, as messages give it.
fn class_key(index: usize, name: &str) -> String {
    format!("grades[{index}].{name}")
}

fn discovery_of(mode: Option<&str>) -> Result<Discovery, SettingsError> {
    match mode {
        None | Some("automatic") => Ok(Discovery::Automatic),
        Some("subscribe") => Ok(Discovery::Subscribe),
        Some(other) => Err(SettingsError::value("registry-mode", format!("unknown mode {other:?}"))),
    }
}

fn limits_of(object: &LimitsObject, defaults: &Limits) -> Limits {
    Limits {
        max_attempts: object.max_attempts.unwrap_or(defaults.max_attempts),
        hedging_enabled: object.hedging_enabled,
        cancellation_enabled: object.cancellation_enabled,
        health_checks_enabled: object.health_checks_enabled,
        max_retry_after: if object.retry_after_enabled { object.max_retry_after_ns } else { 0 },
        connect_timeout: object.connect_timeout_ns.unwrap_or(defaults.connect_timeout),
    }
}

fn rules_of(object: &RulesObject, defaults: &Rules) -> Rules {
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

fn cost_weights_of(object: &CostWeightsObject) -> CostWeights {
    CostWeights {
        cross_zone: object.cross_zone,
        wasted_work: object.wasted_work,
        health_check: object.health_check,
        late_failure: object.late_failure,
    }
}
