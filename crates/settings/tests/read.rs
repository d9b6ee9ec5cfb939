//! Parsing of settings objects: given keys, defaults of missing keys, and errors that name the key.

use olivecart_decisions::{DeduplicationScope, Discovery, EndpointId, EndpointState, Idempotency, Settings};
use olivecart_settings::{ListedEndpoint, Site};
use std::time::Duration;

/// Returns a settings object with one class and the given further keys.
fn object(more_keys: &str) -> String {
    format!(r#"{{"grades":[{{"name":"view","aim-ns":1,"give-up-ns":2,"effect":"once"}}]{more_keys}}}"#)
}

/// Returns a settings object whose only class has the given keys in addition to its name and times.
fn class(keys: &str) -> String {
    format!(r#"{{"grades":[{{"name":"view","aim-ns":1,"give-up-ns":2,{keys}}}]}}"#)
}

fn error_message(json: &str) -> String {
    Site::read(json).err().expect("rejected").to_string()
}

#[test]
fn missing_keys_take_default_values() {
    let site = Site::read(&object("")).expect("valid settings");
    let defaults = Settings::default();
    assert_eq!(site.settings.limits.max_attempts, defaults.limits.max_attempts);
    assert_eq!(site.settings.limits.max_retry_after, 0);
    assert_eq!(site.settings.rules.poll_interval, defaults.rules.poll_interval);
    assert_eq!((site.settings.replica_index, site.settings.replica_count), (0, 1));
    assert_eq!(site.settings.discovery, Discovery::Automatic);
    assert_eq!(site.settings.classes[0].idempotency, Idempotency::NonIdempotent);
    assert_eq!(site.settings.classes[0].priority_weight, 1.0);
    assert_eq!((site.idle_close, site.max_open_requests), (Duration::from_secs(30), usize::MAX));
    assert_eq!(site.response_grace, Duration::ZERO);
}

#[test]
fn keys_are_parsed_under_the_platform_names() {
    let site = Site::read(&object(
        r#","dcs":["a","b"],"zone":"b","me":2,"group-size":4,"accounts":[{"name":"t","share":0.5,"quota-per-s":3}],
        "allowed":{"second-copies":true,"may-cancel":true,"probes":true,"retry-after":true,"max-retry-after-ns":7,
        "most-held":9,"idle-close-ns":8},"rules":{"must-ask-in-ns":5,"cold-ns":6,"grace-to-answer-ns":4},
        "registry-mode":"subscribe","worth-by":"work","over-share-worth":0.25,"unheard-of":[1]"#,
    ))
    .expect("valid settings");
    let settings = &site.settings;
    assert_eq!((settings.replica_index, settings.replica_count, settings.zone.0), (2, 4, 1));
    assert_eq!((settings.tenants[0].share, settings.tenants[0].quota_per_s), (0.5, 3.0));
    let limits = &settings.limits;
    assert!(limits.hedging_enabled && limits.cancellation_enabled && limits.health_checks_enabled);
    assert_eq!(limits.max_retry_after, 7);
    assert_eq!((settings.rules.poll_interval, settings.rules.slow_start_window), (5, 6));
    assert_eq!((settings.weight_by_work, settings.over_quota_weight_ratio), (true, 0.25));
    assert_eq!(settings.discovery, Discovery::Subscribe);
    assert_eq!((site.max_open_requests, site.idle_close.as_nanos()), (9, 8));
    assert_eq!(site.response_grace.as_nanos(), 4);
    assert_eq!(
        (site.zones.get("b"), site.classes.get("view"), site.tenants.get("t")),
        (Some(1), Some(0), Some(0))
    );
    let keyed =
        Site::read(&class(r#""effect":"by_key","group":"cell","window-ns":5"#)).expect("valid settings");
    let expected = Idempotency::Keyed { scope: DeduplicationScope::Cell, window: 5 };
    assert_eq!(keyed.settings.classes[0].idempotency, expected);
}

#[test]
fn invalid_value_is_reported_with_its_key() {
    for (json, expected) in [
        (class(r#""effect":"twice""#), "settings: grades[0].effect: unknown effect \"twice\""),
        (
            class(r#""effect":"by_key""#),
            "settings: grades[0].window-ns: missing; required when the effect is by_key",
        ),
        (
            class(r#""effect":"by_key","group":"rack","window-ns":5"#),
            "settings: grades[0].group: unknown group \"rack\"",
        ),
        (object(r#","registry-mode":"guess""#), "settings: registry-mode: unknown mode \"guess\""),
        (
            object(r#","allowed":{"connect-timeout-ns":0}"#),
            "settings: allowed.connect-timeout-ns: must not be 0",
        ),
        (object(r#","allowed":{"most-held":0}"#), "settings: allowed.most-held: must not be 0"),
        (object(r#","rules":{"must-ask-in-ns":0}"#), "settings: rules.must-ask-in-ns: must not be 0"),
    ] {
        assert_eq!(error_message(&json), expected);
    }
}

#[test]
fn value_of_wrong_type_is_reported_with_its_key() {
    for (json, expected) in [
        (object(r#","allowed":{"probes":3}"#), "settings: allowed.probes: invalid type: integer `3`"),
        (object(r#","allowed":3"#), "settings: allowed: invalid type: integer `3`, expected struct Allowed"),
        (class(r#""effect":"once","worth":"x""#), "settings: grades[0].worth: invalid type: string \"x\""),
        (r#"{"dcs":[]}"#.to_owned(), "settings: .: missing field `grades`"),
    ] {
        let message = error_message(&json);
        assert!(message.starts_with(expected), "{message}");
    }
}

#[test]
fn listed_endpoint_gets_ids_for_its_names() {
    let mut site = Site::read(&object(r#","dcs":["a"],"report":{"names":["rps","zzz","cpu"]}"#))
        .expect("valid settings");
    let listed = |name| ListedEndpoint {
        name,
        state: EndpointState::Ready,
        zone: "b",
        kind: "k",
        cell: 3,
        size: 1.0,
        started: None,
    };
    let first = site.intern_endpoint(&listed("x"));
    let second = site.intern_endpoint(&listed("y"));
    assert_eq!((first.id, second.id, &*second.name), (EndpointId(0), EndpointId(1), "y"));
    assert_eq!((first.zone.0, first.machine_kind.0, first.cell.0), (1, 0, 3));
    assert_eq!(site.intern_endpoint(&listed("x")).id, first.id);
    let load = site.load_report_from_row(vec![Some(4.0), Some(5.0), None]);
    assert_eq!((load.rate, load.cpu, load.active), (Some(4.0), None, None));
}
