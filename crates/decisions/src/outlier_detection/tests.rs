//! Tests of failures, ejection and trials of one endpoint.

use super::*;

const BASE_BACKOFF: Nanos = 100;

#[test]
fn two_failures_in_a_row_make_an_outlier_and_one_does_not() {
    let mut state = OutlierState::default();
    state.record_failure();
    assert!(!state.is_outlier(0.0));
    state.record_failure();
    assert!(state.is_outlier(0.0));
    assert!(!state.is_outlier(state.failure_ewma), "no endpoint is an outlier if all fail alike");
}

#[test]
fn endpoint_with_two_successes_per_failure_is_no_outlier() {
    let mut state = OutlierState::default();
    for _ in 0..3 {
        state.record_failure();
        state.record_success(0);
        state.record_success(0);
        assert!(!state.is_outlier(0.0), "{}", state.failure_ewma);
    }
}

#[test]
fn ejected_endpoint_returns_after_success_of_an_attempt_started_since_the_ejection() {
    let mut state = OutlierState::default();
    state.eject(1_000, BASE_BACKOFF);
    state.record_success(999);
    assert!(state.is_ejected(), "the attempt started before the ejection");
    state.record_success(1_000);
    assert!(!state.is_ejected());
}

#[test]
fn trial_is_due_after_a_backoff_that_doubles_up_to_a_factor_of_sixteen() {
    let mut state = OutlierState::default();
    assert!(!state.is_trial_due(Nanos::MAX), "an endpoint that is not ejected needs no trial");
    for backoff in [1, 2, 4, 8, 16, 16, 16] {
        state.eject(1_000, BASE_BACKOFF);
        let due = 1_000 + backoff * BASE_BACKOFF;
        assert!(!state.is_trial_due(due - 1) && state.is_trial_due(due), "backoff factor {backoff}");
    }
}

#[test]
fn backoff_is_reset_only_by_a_success_while_not_ejected() {
    let mut state = OutlierState::default();
    state.eject(1_000, BASE_BACKOFF);
    state.record_success(1_100);
    assert_eq!(state.backoff_doublings, 1, "the success of a trial only ends the ejection");
    state.record_success(1_200);
    assert_eq!(state.backoff_doublings, 0);
}

#[test]
fn attempt_in_flight_postpones_the_next_trial() {
    let mut state = OutlierState::default();
    state.eject(1_000, BASE_BACKOFF);
    state.on_attempt_started(5_000);
    assert!(!state.is_trial_due(4_999) && state.is_trial_due(5_000));
}
