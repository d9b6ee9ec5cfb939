//! When load is shed, and whose.

use super::*;
use crate::latency_estimate::LatencySample;
use crate::settings::{Class, Tenant};

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1000 * MS;
const NOW: Nanos = 1000 * SECOND;
const OBJECTIVE: Nanos = 200 * MS;

/// Two classes of the same work, the second worth a quarter of the first.
fn settings() -> Settings {
    let class = Class { latency_objective: OBJECTIVE, ..Class::default() };
    let cheap = Class { priority_weight: 0.25, ..class.clone() };
    let mut settings = Settings { classes: vec![class, cheap], ..Settings::default() };
    settings.over_quota_weight_ratio = 0.25;
    settings.tenants =
        vec![Tenant { quota_per_s: 10.0, share: 0.5 }, Tenant { quota_per_s: 10.0, share: 0.5 }];
    settings
}

/// After `responses` responses a moment ago, each of which took `duration`.
fn after(settings: &Settings, responses: u32, duration: Nanos) -> (AdmissionControl, LatencyEstimates) {
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

/// The least number of requests in flight at which one more is rejected.
fn limit(class: usize, over_quota: bool, responses: u32, duration: Nanos) -> Option<usize> {
    let settings = settings();
    let (mut admission, latencies) = after(&settings, responses, duration);
    (1..10_000).find(|&in_flight| {
        let request = AdmissionRequest { class, over_quota, in_flight };
        admission.rejects(NOW, &request, &settings, &latencies).is_some()
    })
}

#[test]
fn more_in_flight_than_answered_in_the_objective_is_rejected() {
    let limit = limit(0, false, 400, OBJECTIVE).expect("a limit");
    assert!((400..=402).contains(&limit), "{limit} where 400 are answered, and one is slack");
}

#[test]
fn nothing_is_rejected_while_responses_are_fast() {
    assert_eq!(limit(0, false, 400, OBJECTIVE / 10), None);
}

#[test]
fn class_of_less_weight_and_request_over_quota_are_rejected_earlier() {
    let full = limit(0, false, 400, OBJECTIVE).expect("a limit") as f64;
    for (class, over_quota, root) in [(1, false, 0.5), (0, true, 0.5), (1, true, 0.25)] {
        let earlier = limit(class, over_quota, 400, OBJECTIVE).expect("a limit") as f64;
        assert!((earlier / full - root).abs() < 0.02, "class {class}: {earlier} of {full}");
    }
}

#[test]
fn rejected_client_is_told_about_the_time_to_serve_what_is_in_flight() {
    let settings = settings();
    let (mut admission, latencies) = after(&settings, 400, OBJECTIVE);
    let request = AdmissionRequest { class: 0, over_quota: false, in_flight: 800 };
    let wait = admission.rejects(NOW, &request, &settings, &latencies);
    assert_eq!(wait, Some(2 * OBJECTIVE));
}

/// How many of a thousand requests of the first tenant are over its quota, with so many of the other between
/// them.
fn over_quota(others: u32, gap: Nanos) -> usize {
    let settings = settings();
    let mut admission = AdmissionControl::new(settings.tenants.len());
    let mut rng = fastrand::Rng::with_seed(1);
    let mut now = NOW;
    let draws = (0..1_000).filter(|_| {
        now += gap;
        for _ in 0..others {
            admission.is_over_quota(now, 1, &settings, &mut rng);
        }
        admission.is_over_quota(now, 0, &settings, &mut rng)
    });
    draws.count()
}

#[test]
fn what_exceeds_the_quota_is_drawn_in_proportion() {
    assert_eq!(over_quota(0, SECOND / 5), 0, "five a second of ten");
    let twice = over_quota(0, SECOND / 20);
    assert!((250..=500).contains(&twice), "{twice} of 1,000 at twice the quota");
}

#[test]
fn excess_is_granted_where_the_others_exceed_their_quotas_as_far() {
    assert_eq!(over_quota(2, SECOND / 20), 0);
}

#[test]
fn unknown_tenant_is_never_over_quota() {
    let settings = settings();
    let mut admission = AdmissionControl::new(settings.tenants.len());
    assert!(!admission.is_over_quota(NOW, 2, &settings, &mut fastrand::Rng::with_seed(1)));
}
