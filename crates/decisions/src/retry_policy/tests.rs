//! Tests of attempt permits and the retry budget.

use super::*;
use crate::request_queue::QueueDeadlines;

const WINDOW: Nanos = 800;

fn attempt(slot: usize, sent_at: Nanos, outcome: Option<Outcome>) -> Attempt {
    Attempt { slot, sent_at, outcome }
}

fn permit(idempotency: Idempotency, attempts: Vec<Attempt>) -> AttemptPermit {
    let request = InFlightRequest {
        class: 0,
        work_scale: 1.0,
        work: 1.0,
        deadline: 10_000,
        queue_deadlines: QueueDeadlines::new(0, 10_000, 1_000),
        attempts,
        response_started: false,
    };
    AttemptPermit::of(&request, idempotency)
}

fn keyed(scope: DeduplicationScope) -> Idempotency {
    Idempotency::Keyed { scope, window: WINDOW }
}

#[test]
fn request_that_never_ran_may_be_sent_anywhere_and_shed() {
    for outcome in [Outcome::Overloaded, Outcome::ConnectFailed, Outcome::NotSent] {
        for idempotency in
            [Idempotency::Idempotent, keyed(DeduplicationScope::Cell), Idempotency::NonIdempotent]
        {
            let permit = permit(idempotency, vec![attempt(0, 100, Some(outcome))]);
            assert!(permit.until == Nanos::MAX && permit.scope.is_none() && permit.may_shed, "{outcome:?}");
        }
    }
}

#[test]
fn non_idempotent_request_that_may_have_run_is_neither_retried_nor_shed() {
    for outcome in [None, Some(Outcome::Error), Some(Outcome::Reset), Some(Outcome::Cancelled)] {
        let permit = permit(Idempotency::NonIdempotent, vec![attempt(0, 100, outcome)]);
        assert!(permit.until == 0 && !permit.may_shed, "{outcome:?}");
    }
}

#[test]
fn keyed_retry_is_limited_to_the_scope_and_window_of_the_first_attempt_that_may_have_run() {
    let attempts = vec![
        attempt(3, 100, Some(Outcome::ConnectFailed)),
        attempt(5, 200, Some(Outcome::Timeout)),
        attempt(7, 300, None),
    ];
    let permit = permit(keyed(DeduplicationScope::Zone), attempts);
    assert_eq!(permit.until, 200 + WINDOW - WINDOW / 8);
    assert_eq!(permit.scope, Some((DeduplicationScope::Zone, 5)));
    assert!(!permit.may_shed);
}

#[test]
fn keyed_request_may_be_shed_only_if_all_endpoints_share_the_scope() {
    let attempts = || vec![attempt(0, 100, Some(Outcome::Error))];
    assert!(permit(keyed(DeduplicationScope::All), attempts()).may_shed);
    assert!(!permit(keyed(DeduplicationScope::Cell), attempts()).may_shed);
}

#[test]
fn requests_add_to_the_budget_up_to_a_maximum_and_retries_use_it() {
    let mut budget = RetryBudget::new();
    assert!(budget.has_token(), "the first failure may be retried");
    budget.withdraw();
    assert!(!budget.has_token());
    (0..6).for_each(|_| budget.deposit());
    assert!(!budget.has_token(), "six requests add less than one token");
    budget.deposit();
    assert!(budget.has_token());
    (0..1_000).for_each(|_| budget.deposit());
    let saved = (0..=u32::MAX).find(|_| {
        let is_spent = !budget.has_token();
        if !is_spent {
            budget.withdraw();
        }
        is_spent
    });
    assert_eq!(saved, Some(10));
}

#[test]
fn retry_of_attempt_that_never_ran_needs_no_token() {
    let mut budget = RetryBudget::new();
    budget.withdraw();
    assert!(budget.allows_retry_after(Outcome::Overloaded));
    assert!(!budget.allows_retry_after(Outcome::Error));
}
