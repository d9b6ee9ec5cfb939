//! Limits on attempts in flight.

use super::*;
use crate::settings::Class;

const MS: Nanos = 1_000_000;

fn limits(tier: u32, replica_count: u32, endpoints: usize, mean_responses: f64) -> CapacityLimits {
    let class = Class { latency_objective: 200 * MS, ..Class::default() };
    let slow_class = Class { latency_objective: 900 * MS, ..Class::default() };
    let settings = Settings { classes: vec![slow_class, class], tier, replica_count, ..Settings::default() };
    CapacityLimits::new(&settings, endpoints, mean_responses)
}

/// The most attempts that may be in flight, with one more allowed at each lower count.
fn most_in_flight(limits: &CapacityLimits, responses: f64, rank: f64) -> u32 {
    (0..=u32::MAX)
        .find(|in_flight| !limits.has_capacity(*in_flight, responses, rank, false))
        .unwrap_or(u32::MAX)
}

#[test]
fn endpoint_may_hold_what_it_answers_in_half_the_shortest_objective() {
    // 300 responses over the time constant of 3 s: 100 a second, and 10 in 100 ms.
    assert_eq!(most_in_flight(&limits(0, 1, 4, 300.0), 300.0, 0.0), 10);
    assert_eq!(most_in_flight(&limits(0, 1, 4, 300.0), 600.0, 0.0), 20, "one twice as fast as the mean");
}

#[test]
fn endpoint_without_responses_may_hold_six_attempts() {
    assert_eq!(most_in_flight(&limits(0, 1, 4, 0.0), 0.0, 0.0), 6);
    assert_eq!(most_in_flight(&limits(0, 2, 4, 0.0), 0.0, 1.0), 6);
    assert_eq!(
        most_in_flight(&limits(1, 100, 4, 0.0), 0.0, 1.0),
        6,
        "below the first tier nothing is shared"
    );
}

#[test]
fn replicas_of_the_first_tier_share_twelve_attempts_and_keep_six_over_all_endpoints() {
    assert_eq!(most_in_flight(&limits(0, 12, 100, 0.0), 0.0, 0.0), 1);
    // Of a hundred replicas each has six at sixteen endpoints: at those that it prefers.
    let limits = limits(0, 100, 16, 0.0);
    let in_all: u32 = (0..16).map(|n| most_in_flight(&limits, 0.0, f64::from(n) / 16.0)).sum();
    assert_eq!(in_all, 7, "each rounded up");
}

#[test]
fn rate_is_shrunk_towards_the_mean_where_few_responses_are_seen() {
    let limits = limits(0, 100, 1, 2.0);
    let rate_of = |responses| limits.limit(responses, PRIOR_RESPONSES) / limits.limit(2.0, PRIOR_RESPONSES);
    assert_eq!(limits.limit(0.0, PRIOR_RESPONSES), limits.min_limit);
    assert!(rate_of(100.0) < 50.0, "{}", rate_of(100.0));
}

#[test]
fn retry_needs_no_capacity_only_where_up_to_two_replicas_send() {
    assert!(limits(0, 2, 4, 0.0).has_capacity(100, 0.0, 0.0, true));
    assert!(limits(1, 100, 4, 0.0).has_capacity(100, 0.0, 0.0, true));
    assert!(!limits(0, 3, 4, 0.0).has_capacity(100, 0.0, 0.0, true));
    assert!(!limits(0, 2, 4, 0.0).has_capacity(100, 0.0, 0.0, false));
}

#[test]
fn overloaded_endpoint_is_so_until_the_given_time() {
    let capacity = EndpointCapacity { overloaded_until: 1_000, ..EndpointCapacity::default() };
    assert!(capacity.is_overloaded(999));
    assert!(!capacity.is_overloaded(1_000));
}
