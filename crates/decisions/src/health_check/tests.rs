//! How often endpoints are checked.

use super::*;

const POLL_INTERVAL: Nanos = 10_000;

#[test]
fn checks_are_a_tenth_of_the_attempts_between_half_and_three_times_the_poll_interval() {
    for (endpoints, recent_attempts, period) in [
        (10, 100.0, POLL_INTERVAL),         // ten checks to a hundred attempts
        (10, 50.0, 2 * POLL_INTERVAL),      // half as many attempts, half as many checks
        (10, 0.0, 3 * POLL_INTERVAL),       // no attempts, but it is still checked
        (10, 100_000.0, POLL_INTERVAL / 2), // many attempts
        (0, 100.0, POLL_INTERVAL / 2),      // nothing listed
    ] {
        assert_eq!(check_period(POLL_INTERVAL, endpoints, recent_attempts), period, "{recent_attempts}");
    }
}

#[test]
fn timer_of_a_check_that_was_rescheduled_is_not_due() {
    let state = HealthCheckState { is_healthy: true, next_check_at: 500 };
    assert!(!state.is_due(499));
    assert!(state.is_due(500));
}
