//! The policy harness: what all textbook policies have in common.

use crate::checker::*;
use olivecart_decisions::*;
use olivecart_lab::policy::{self, EndpointHealth, PolicyContext};
use std::rc::Rc;

const TEXTBOOK: &[&str] =
    &["random", "round_robin", "least_outstanding", "power_of_two", "ring_hash", "oracle"];

fn answers(checker: &Checker, id: RequestId) -> Vec<&Action> {
    let answers = |a: &&Action| match a {
        Action::Shed { request, .. } | Action::Fail(request) => *request == id,
        _ => false,
    };
    checker.actions.iter().filter(answers).collect()
}

/// Class numbers of the checker's settings.
const REPEATABLE: u16 = 0;
const BY_CELL: u16 = 1;
const BY_ZONE: u16 = 2;
const ONCE: u16 = 3;

#[test]
fn attempts_that_may_have_run_are_retried_only_where_that_is_harmless() {
    for name in TEXTBOOK {
        for seed in 0..20 {
            let mut checker = Checker::new(name, settings(), list(8), seed);
            let mut fail_twice = |class, outcome| {
                let id = checker.arrive(class, S);
                checker.end(id, 0, outcome);
                if checker.went(id).len() > 1 {
                    checker.end(id, 1, Outcome::Overloaded);
                }
                let refused = matches!(answers(&checker, id)[..], [Action::Shed { .. }]);
                (checker.went(id), refused)
            };
            let (went, refused) = fail_twice(REPEATABLE, Outcome::Error);
            assert!(went.len() == 2 && went[0] != went[1] && refused, "{name}: {went:?}");
            let (went, refused) = fail_twice(BY_CELL, Outcome::Reset);
            assert!(went.len() == 2 && went[0].0 == went[1].0 ^ 1 && !refused, "{name}: {went:?}");
            let (went, refused) = fail_twice(BY_ZONE, Outcome::Error);
            assert!(went.len() == 2 && went[0] != went[1] && !refused, "{name}: {went:?}");
            assert!(went[0].0 / 2 % 2 == went[1].0 / 2 % 2, "{name}: {went:?}");
            let (went, refused) = fail_twice(ONCE, Outcome::Error);
            assert!(went.len() == 1 && !refused, "{name}: {went:?}");
            let (went, refused) = fail_twice(ONCE, Outcome::ConnectFailed);
            assert!(went.len() == 2 && went[0] != went[1] && refused, "{name}: {went:?}");
            assert_eq!(checker.breaches, []);
        }
    }
}

#[test]
fn no_retry_after_the_deduplication_window() {
    for name in TEXTBOOK {
        let mut checker = Checker::new(name, settings(), list(8), 1);
        let id = checker.arrive(BY_CELL, S);
        checker.advance(checker.now + 270 * MS); // of 300, and an eighth is margin
        checker.end(id, 0, Outcome::Error);
        assert!(checker.went(id).len() == 1 && answers(&checker, id) == [&Action::Fail(id)], "{name}");
    }
}

#[test]
fn nothing_is_sent_after_the_deadline_or_a_not_sent_outcome() {
    for name in TEXTBOOK {
        let mut checker = Checker::new(name, settings(), list(8), 1);
        let (past, silent, never_issued) =
            (checker.arrive(ONCE, 0), checker.arrive(REPEATABLE, 10 * MS), checker.arrive(REPEATABLE, S));
        checker.end(never_issued, 0, Outcome::NotSent);
        checker.advance(checker.now + 10 * MS);
        let made =
            [past, silent, never_issued].map(|id| (checker.went(id).len(), answers(&checker, id).len()));
        assert_eq!(made, [(0, 1), (1, 1), (1, 1)], "{name}");
    }
}

#[test]
fn keyed_request_is_retried_in_the_cell_its_endpoint_moved_to() {
    for name in TEXTBOOK {
        let mut checker = Checker::new(name, settings(), list(4), 1);
        for entry in &mut checker.entries {
            entry.cell = CellId(u64::from(entry.id.0 % 2));
        }
        checker.tell(Event::Endpoints(EndpointUpdate::Delta(checker.entries.clone())));
        checker.list_state(2, EndpointState::Removed, false);
        for _ in 0..20 {
            let id = checker.arrive(BY_CELL, S);
            checker.end(id, 0, Outcome::Error);
            let went: Vec<_> = checker.went(id).iter().map(|at| at.0).collect();
            assert!(matches!(went[..], [0] | [1, 3] | [3, 1]), "{name}: {went:?}");
        }
    }
}

#[test]
fn request_is_shed_at_once_without_an_endpoint() {
    for name in TEXTBOOK {
        let mut checker = Checker::new(name, settings(), Vec::new(), 1);
        let id = checker.arrive(ONCE, S);
        let refusal = Action::Shed { request: id, retry_after: checker.settings.rules.poll_interval / 8 };
        assert_eq!(answers(&checker, id), [&refusal], "{name}");
    }
}

#[test]
fn aborted_request_is_cancelled_and_gets_no_response() {
    for name in TEXTBOOK {
        let mut checker = Checker::new(name, settings(), list(2), 1);
        let id = checker.arrive(REPEATABLE, S);
        checker.abort_some(0);
        assert_eq!(
            checker.actions.last(),
            Some(&Action::CancelAttempt { request: id, attempt: 0 }),
            "{name}"
        );
        checker.end(id, 0, Outcome::Cancelled);
        assert!(checker.went(id).len() == 1 && answers(&checker, id).is_empty(), "{name}");
    }
}

#[test]
fn snapshot_withdraws_the_endpoints_it_does_not_name() {
    for name in TEXTBOOK {
        let mut checker = Checker::new(name, settings(), list(8), 1);
        checker.tell(Event::Endpoints(EndpointUpdate::Snapshot(list(8).split_off(6))));
        checker.tell(Event::Endpoints(EndpointUpdate::Failed));
        (0..100).for_each(|_| {
            checker.arrive(REPEATABLE, S);
        });
        let sent = checker.sent();
        assert!(sent[..6].iter().all(|n| *n == 0) && sent[6] + sent[7] == 100, "{name}: {sent:?}");
    }
}

#[test]
fn subscribes_at_start_and_backs_off_after_each_failure() {
    let mut subscribe = settings();
    subscribe.discovery = Discovery::Subscribe;
    for name in TEXTBOOK {
        let mut checker = Checker::new(name, subscribe.clone(), list(2), 1);
        let base = subscribe.rules.poll_interval;
        let timer = |checker: &Checker| match checker.actions.last() {
            Some(Action::SetTimer { at, timer: Timer::Discovery }) => at - checker.now,
            other => panic!("{name}: {other:?}"),
        };
        assert!(timer(&checker) <= base / 2);
        checker.advance(checker.now + base / 2);
        assert_eq!(checker.actions.last(), Some(&Action::WatchEndpoints(true)), "{name}");
        for least in [base / 8, base / 4, base / 2, base / 2] {
            checker.tell(Event::Endpoints(EndpointUpdate::Failed));
            let wait = timer(&checker);
            assert!((least..=2 * least).contains(&wait), "{name}: {wait}");
        }
    }
}

#[test]
fn unknown_policy_name_suggests_the_nearest() {
    let error = policy::named("power_of_tow").expect_err("unknown");
    assert_eq!(error.known, policy::NAMES);
    assert_eq!(error.to_string(), "there is no policy \"power_of_tow\"; did you mean `power_of_two`?");
}

#[test]
fn only_the_decisions_report_endpoint_health() {
    let make = |name| {
        let context =
            PolicyContext { settings: settings(), seed: 1, now: S, true_state: Rc::new(Seen::default()) };
        let mut policy = policy::named(name).expect("known")(context);
        policy.handle(S, Event::Endpoints(EndpointUpdate::Cached(list(2))), &mut Vec::new());
        let outcome = Outcome::ConnectFailed;
        let failed =
            Event::HealthCheckCompleted { endpoint: EndpointId(1), outcome, duration: MS, load: None };
        policy.handle(S, failed, &mut Vec::new());
        [0, 1, 2].map(|id| policy.endpoint_health(EndpointId(id)))
    };
    assert_eq!(make("olivecart"), [Some(EndpointHealth::Healthy), Some(EndpointHealth::Unhealthy), None]);
    assert_eq!(make("random"), [None; 3]);
}
