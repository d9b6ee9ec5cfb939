//! Tests of load shedding and tenant quotas.

use super::*;
use crate::latency_estimate::LatencySample;
use crate::settings::{Class, Tenant};

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1000 * MS;
const NOW: Nanos = 1000 * SECOND;
const OBJECTIVE: Nanos = 200 * MS;

/// Two classes of the same work; the second has a quarter of the first one's weight.
fn settings() -> Settings {
    let class = Class { latency_objective: OBJECTIVE, ..Class::default() };
    let cheap = Class { priority_weight: 0.25, ..class.clone() };
    let mut settings = Settings { classes: vec![class, cheap], ..Settings::default() };
    settings.over_quota_weight_ratio = 0.25;
    settings.tenants =
        vec![Tenant { quota_per_s: 10.0, share: 0.5 }, Tenant { quota_per_s: 10.0, share: 0.5 }];
    settings
}

/// Returns the state after `responses` responses at `NOW`, each of which took `duration`.
fn after_responses(
    settings: &Settings,
    responses: u32,
    duration: Nanos,
) -> (AdmissionControl, LatencyEstimates) {
    let mut admission = AdmissionControl::new(settings.tenants.len());
    let mut latencies = LatencyEstimates::new(&settings.classes);
    for class in [0, 1] {
        for _ in 0..responses / 2 {
            let duration = duration as f64;
            let ratio = duration / latencies.expected_duration(class, 1.0);
            let sample = LatencySample { class, work_scale: 1.0, duration, ratio, is_response: true };
            latencies.record(&sample, OBJECTIVE as f64);
            admission.record_responses(NOW, OBJECTIVE as f64, 1.0);
        }
    }
    (admission, latencies)
}

/// Returns the least number of requests in flight, including a new one, at which the new one is rejected.
fn limit(class: usize, over_quota: bool, responses: u32, duration: Nanos) -> Option<usize> {
    let settings = settings();
    let (mut admission, latencies) = after_responses(&settings, responses, duration);
    (1..10_000).find(|&in_flight| {
        let request = AdmissionRequest { class, over_quota, in_flight };
        admission.rejects(NOW, &request, &settings, &latencies).is_some()
    })
}

#[test]
fn request_is_rejected_if_more_are_in_flight_than_answered_in_the_objective() {
    let limit = limit(0, false, 400, OBJECTIVE).expect("a limit");
    assert!((400..=402).contains(&limit), "limit {limit}, expected 400 responses and a slack of 1");
}

#[test]
fn nothing_is_rejected_while_responses_are_fast() {
    assert_eq!(limit(0, false, 400, OBJECTIVE / 10), None);
}

#[test]
fn lower_weight_or_exceeded_quota_reduces_the_limit() {
    let full = limit(0, false, 400, OBJECTIVE).expect("a limit") as f64;
    for (class, over_quota, root) in [(1, false, 0.5), (0, true, 0.5), (1, true, 0.25)] {
        let reduced = limit(class, over_quota, 400, OBJECTIVE).expect("a limit") as f64;
        assert!((reduced / full - root).abs() < 0.02, "class {class}: limit {reduced} of {full}");
    }
}

#[test]
fn rejection_returns_the_time_to_serve_the_requests_in_flight() {
    let settings = settings();
    let (mut admission, latencies) = after_responses(&settings, 400, OBJECTIVE);
    let request = AdmissionRequest { class: 0, over_quota: false, in_flight: 800 };
    let wait = admission.rejects(NOW, &request, &settings, &latencies);
    assert_eq!(wait, Some(2 * OBJECTIVE));
}

/// Returns how many of 1,000 requests of the first tenant, sent at `interval`, are over its quota. The
/// second tenant sends `others` requests with each of them.
fn count_over_quota(others: u32, interval: Nanos) -> usize {
    let settings = settings();
    let mut admission = AdmissionControl::new(settings.tenants.len());
    let mut rng = fastrand::Rng::with_seed(1);
    let mut now = NOW;
    let draws = (0..1_000).filter(|_| {
        now += interval;
        for _ in 0..others {
            admission.is_over_quota(now, 1, &settings, &mut rng);
        }
        admission.is_over_quota(now, 0, &settings, &mut rng)
    });
    draws.count()
}

#[test]
fn requests_over_quota_are_chosen_in_proportion_to_the_excess() {
    assert_eq!(count_over_quota(0, SECOND / 5), 0, "5 per second, quota 10");
    let twice = count_over_quota(0, SECOND / 20);
    assert!((250..=500).contains(&twice), "{twice} of 1,000 at twice the quota");
}

#[test]
fn quota_is_raised_if_other_tenants_exceed_theirs_as_much() {
    assert_eq!(count_over_quota(2, SECOND / 20), 0);
}

#[test]
fn unknown_tenant_is_never_over_quota() {
    let settings = settings();
    let mut admission = AdmissionControl::new(settings.tenants.len());
    assert!(!admission.is_over_quota(NOW, 2, &settings, &mut fastrand::Rng::with_seed(1)));
}
