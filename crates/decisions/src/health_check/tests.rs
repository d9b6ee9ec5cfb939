//! Tests of the health check intervals.

use super::*;

const POLL_INTERVAL: Nanos = 10_000;

#[test]
fn check_period_targets_a_tenth_of_the_attempts_within_half_to_three_poll_intervals() {
    for (endpoints, recent_attempts, period) in [
        (10, 100.0, POLL_INTERVAL),         // 10 checks for 100 attempts
        (10, 50.0, 2 * POLL_INTERVAL),      // half as many attempts, half as many checks
        (10, 0.0, 3 * POLL_INTERVAL),       // checks continue without attempts
        (10, 100_000.0, POLL_INTERVAL / 2), // lower bound with many attempts
        (0, 100.0, POLL_INTERVAL / 2),      // empty endpoint list
    ] {
        assert_eq!(check_period(POLL_INTERVAL, endpoints, recent_attempts), period, "{recent_attempts}");
    }
}

#[test]
fn check_is_due_at_its_scheduled_time_and_not_before() {
    let state = HealthCheckState { is_healthy: true, next_check_at: 500 };
    assert!(!state.is_due(499));
    assert!(state.is_due(500));
}
