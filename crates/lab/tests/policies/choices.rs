//! Each ordinary policy picks endpoints as its textbook says.

use crate::checker::*;
use olivecart_decisions::*;
use olivecart_lab::policy::TrueState;
use std::collections::BTreeMap;

/// Sends `n` repeatable requests of which none ends, each with its own key.
fn requests_per_endpoint(name: &str, endpoints: u32, n: u32, seed: u64) -> Vec<u32> {
    let mut checker = Checker::new(name, settings(), list(endpoints), seed);
    (0..n).for_each(|_| {
        checker.arrive(0, 10 * S);
    });
    checker.out()
}

fn spread(counts: &[u32]) -> (u32, u32) {
    (*counts.iter().min().expect("some"), *counts.iter().max().expect("some"))
}

#[test]
fn random_is_even_within_four_deviations() {
    for seed in 0..4 {
        let (least, most) = spread(&requests_per_endpoint("random", 50, 50_000, seed));
        // Binomial: mean 1000, deviation 31.3; beyond four of them once in 16,000 draws.
        assert!(least > 1000 - 126 && most < 1000 + 126, "seed {seed}: {least} to {most}");
    }
}

#[test]
fn round_robin_is_even_and_starts_at_a_random_endpoint() {
    for seed in 0..20 {
        let (least, most) = spread(&requests_per_endpoint("round_robin", 50, 1020, seed));
        assert!((least, most) == (20, 21), "seed {seed}: {least} to {most}");
    }
    let first = |seed| requests_per_endpoint("round_robin", 50, 1, seed).iter().position(|n| *n > 0);
    let firsts: std::collections::BTreeSet<_> = (0..20).map(first).collect();
    assert!(firsts.len() > 10, "proxies begin at different endpoints");
}

#[test]
fn power_of_two_stays_far_below_the_maximum_load_of_random() {
    // 1,000 balls into 1,000 bins: about ln n / ln ln n (4 to 7) against ln ln n / ln 2 (3).
    let fullest = |name, seed| spread(&requests_per_endpoint(name, 1000, 1000, seed)).1;
    for seed in 0..10 {
        let (one, two) = (fullest("random", seed), fullest("power_of_two", seed));
        assert!(two <= 3 && one >= 4, "seed {seed}: {one} with one choice, {two} with two");
    }
    // With many balls, the excess over the mean of 100 grows with one choice and not with two.
    let (one, two) = (fullest_of_many("random"), fullest_of_many("power_of_two"));
    assert!(one > 120 && two <= 104, "{one} with one choice, {two} with two");
}

fn fullest_of_many(name: &str) -> u32 {
    spread(&requests_per_endpoint(name, 100, 10_000, 3)).1
}

#[test]
fn least_outstanding_picks_the_lowest_count_and_breaks_ties_evenly() {
    for seed in 0..10 {
        let (least, most) = spread(&requests_per_endpoint("least_outstanding", 50, 1020, seed));
        assert!((least, most) == (20, 21), "seed {seed}: {least} to {most}");
    }
    let mut checker = Checker::new("least_outstanding", settings(), list(10), 1);
    let ids: Vec<_> = (0..20).map(|_| checker.arrive(0, 10 * S)).collect();
    checker.end(ids[7], 0, Outcome::Ok);
    let again = checker.arrive(0, 10 * S);
    assert_eq!(checker.went(again), checker.went(ids[7]), "the only one with fewer");
    (0..20).for_each(|_| checker.end(ids[7], 0, Outcome::Ok)); // more ends than attempts are no harm
    (0..20).for_each(|_| {
        checker.arrive(0, 10 * S);
    });

    // One at a time, all are equal each time: each has its part, within four deviations (mean 1000, 30).
    let mut checker = Checker::new("least_outstanding", settings(), list(10), 1);
    for _ in 0..10_000 {
        let id = checker.arrive(0, 10 * S);
        checker.end(id, 0, Outcome::Ok);
    }
    let (least, most) = spread(&checker.sent());
    assert!(least > 880 && most < 1120, "{least} to {most}");
}

#[test]
fn least_outstanding_keeps_its_counts_over_a_withdrawal() {
    let mut checker = Checker::new("least_outstanding", settings(), list(2), 1);
    let ids: Vec<_> = (0..8).map(|_| checker.arrive(0, 10 * S)).collect();
    let at_first: Vec<_> = ids.iter().filter(|id| checker.went(**id)[0] == EndpointId(0)).collect();
    checker.list_state(0, EndpointState::Draining, false);
    checker.end(*at_first[0], 0, Outcome::Ok);
    checker.list_state(0, EndpointState::Ready, false);
    checker.arrive(0, 10 * S);
    assert_eq!(checker.out(), [4, 4], "three were out at the one that came back");
}

fn keyed(checker: &mut Checker) -> Vec<EndpointId> {
    let went = |key| {
        let id = checker.arrive_with(0, 10 * S, Some(key));
        checker.went(id)[0]
    };
    (0..2000).map(went).collect()
}

#[test]
fn ring_hash_moves_only_the_keys_of_the_removed_endpoint() {
    let mut checker = Checker::new("ring_hash", settings(), list(20), 1);
    let before = keyed(&mut checker);
    assert_eq!(before, keyed(&mut checker), "a key stays where it is");
    let elsewhere = keyed(&mut Checker::new("ring_hash", settings(), list(20), 99));
    assert_eq!(before, elsewhere, "all proxies agree, whatever their seed");

    checker.list_state(3, EndpointState::Removed, false);
    let without = keyed(&mut checker);
    let moved = |(a, b): &(&EndpointId, &EndpointId)| a != b;
    assert!(before.iter().zip(&without).filter(moved).all(|(a, _)| *a == EndpointId(3)));
    assert!(!without.contains(&EndpointId(3)));
    checker.list_state(3, EndpointState::Ready, false);
    assert_eq!(before, keyed(&mut checker), "and they come back with it");

    // Arcs of 128 points each differ by some 9%, and 100 keys each by 10%: within four deviations of both.
    let (least, most) = spread(&checker.sent());
    let mean = checker.sent().iter().sum::<u32>() / 20;
    assert!(f64::from(least) > 0.5 * f64::from(mean) && f64::from(most) < 1.5 * f64::from(mean));
}

fn oracle(truth: &[(u32, TrueState)], endpoints: u32) -> Checker {
    let seen = Seen(truth.iter().map(|(id, t)| (EndpointId(*id), *t)).collect::<BTreeMap<_, _>>());
    Checker::with_true_state("oracle", settings(), list(endpoints), 1, seen)
}

const IDLE: TrueState = TrueState { is_serving: true, queue_delay: 0, capacity: 1.0, core_speed: 1.0 };

#[test]
fn oracle_avoids_dead_cold_and_busy_endpoints() {
    let cold = TrueState { capacity: 0.1, core_speed: 0.1, ..IDLE };
    let busy = TrueState { queue_delay: 50 * MS, ..IDLE };
    let dead = TrueState { is_serving: false, ..IDLE };
    let mut checker = oracle(&[(0, cold), (1, busy), (2, dead)], 4);
    for _ in 0..20 {
        let id = checker.arrive(0, 10 * S);
        assert_eq!(checker.went(id), [EndpointId(3)]);
        checker.advance(checker.now + 50 * MS);
    }
    // With enough under way to the idle one, the busy one is next; the dead one never is.
    for _ in 0..20 {
        checker.arrive(0, 10 * S);
    }
    let out = checker.out();
    assert!(out[1] > 0 && out[2] == 0, "{out:?}");
}

#[test]
fn oracle_spreads_simultaneous_requests() {
    let mut checker = oracle(&[], 10);
    (0..100).for_each(|_| {
        checker.arrive(0, 10 * S);
    });
    assert_eq!(checker.out(), [10; 10]);
    let mut checker = oracle(&[], 1000);
    (0..1000).for_each(|_| {
        checker.arrive(0, 10 * S);
    });
    assert!(spread(&checker.out()).1 <= 2, "a sample of a long list is as good as all of it");
}

#[test]
fn oracle_sheds_when_no_endpoint_serves() {
    let dead = TrueState { is_serving: false, ..IDLE };
    let mut checker = oracle(&[(0, dead), (1, dead)], 2);
    let id = checker.arrive(0, S);
    assert!(matches!(checker.actions.last(), Some(Action::Shed { request, .. }) if *request == id));
}
