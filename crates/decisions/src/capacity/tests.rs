//! Tests of the limits on attempts in flight.

use super::*;
use crate::settings::Class;

const MS: Nanos = 1_000_000;

fn limits(tier: u32, replica_count: u32, endpoints: usize, mean_responses: f64) -> CapacityLimits {
    let class = Class { latency_objective: 200 * MS, ..Class::default() };
    let slow_class = Class { latency_objective: 900 * MS, ..Class::default() };
    let settings = Settings { classes: vec![slow_class, class], tier, replica_count, ..Settings::default() };
    CapacityLimits::new(&settings, endpoints, mean_responses)
}

/// Returns the number of attempts in flight at which no further one is allowed.
fn max_in_flight(limits: &CapacityLimits, responses: f64, rank: f64) -> u32 {
    (0..=u32::MAX)
        .find(|in_flight| !limits.has_capacity(*in_flight, responses, rank, false))
        .unwrap_or(u32::MAX)
}

#[test]
fn limit_is_the_number_of_responses_in_half_the_shortest_objective() {
    // 300 responses over the time constant of 3 s are 100 per second and 10 in 100 ms.
    assert_eq!(max_in_flight(&limits(0, 1, 4, 300.0), 300.0, 0.0), 10);
    assert_eq!(max_in_flight(&limits(0, 1, 4, 300.0), 600.0, 0.0), 20, "twice as fast as the mean");
}

#[test]
fn limit_without_responses_is_six_attempts() {
    assert_eq!(max_in_flight(&limits(0, 1, 4, 0.0), 0.0, 0.0), 6);
    assert_eq!(max_in_flight(&limits(0, 2, 4, 0.0), 0.0, 1.0), 6);
    assert_eq!(
        max_in_flight(&limits(1, 100, 4, 0.0), 0.0, 1.0),
        6,
        "the limit is not shared below the first tier"
    );
}

#[test]
fn first_tier_replicas_share_twelve_attempts_per_endpoint_and_have_six_in_total() {
    assert_eq!(max_in_flight(&limits(0, 12, 100, 0.0), 0.0, 0.0), 1);
    // Each of 100 replicas has six attempts over 16 endpoints, at those that it prefers.
    let limits = limits(0, 100, 16, 0.0);
    let total: u32 = (0..16).map(|n| max_in_flight(&limits, 0.0, f64::from(n) / 16.0)).sum();
    assert_eq!(total, 7, "six, rounded up per endpoint");
}

#[test]
fn rate_is_shrunk_towards_the_mean_with_few_responses() {
    let limits = limits(0, 100, 1, 2.0);
    let rate_of = |responses| limits.limit(responses, PRIOR_RESPONSES) / limits.limit(2.0, PRIOR_RESPONSES);
    assert_eq!(limits.limit(0.0, PRIOR_RESPONSES), limits.min_limit);
    assert!(rate_of(100.0) < 50.0, "{}", rate_of(100.0));
}

#[test]
fn retry_needs_no_capacity_only_if_the_limit_is_not_shared() {
    assert!(limits(0, 2, 4, 0.0).has_capacity(100, 0.0, 0.0, true));
    assert!(limits(1, 100, 4, 0.0).has_capacity(100, 0.0, 0.0, true));
    assert!(!limits(0, 3, 4, 0.0).has_capacity(100, 0.0, 0.0, true));
    assert!(!limits(0, 2, 4, 0.0).has_capacity(100, 0.0, 0.0, false));
}

#[test]
fn endpoint_is_overloaded_until_the_given_time() {
    let capacity = EndpointCapacity { overloaded_until: 1_000, ..EndpointCapacity::default() };
    assert!(capacity.is_overloaded(999));
    assert!(!capacity.is_overloaded(1_000));
}
