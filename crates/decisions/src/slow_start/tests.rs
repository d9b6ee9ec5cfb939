//! Tests of the slow start fraction and the token budget.

use super::*;
use crate::settings::Settings;

const SECOND: Nanos = 1_000_000_000;

fn rules() -> Rules {
    Rules {
        slow_start_initial_share: 0.1,
        slow_start_window: 30 * SECOND,
        overload_multiple: 2.0,
        overload_window: SECOND,
        ..Settings::default().rules
    }
}

/// Two warm endpoints with a relative capacity of 1 and `per_s` responses per second each.
fn warm(per_s: f64) -> WarmEndpoints {
    let mut warm = WarmEndpoints::default();
    for _ in 0..2 {
        warm.add(1.0, per_s * RESPONSE_RATE_TIME_CONSTANT / SECOND as f64);
    }
    warm
}

#[test]
fn fraction_grows_from_the_initial_share_to_one_over_the_window() {
    let started = 100 * SECOND;
    for (age, expected) in [(0, 0.1), (15 * SECOND, 0.55), (30 * SECOND, 1.0)] {
        let fraction = slow_start_fraction(Some(started), started + age, &rules());
        assert!((fraction - expected).abs() < 1e-12, "{fraction} after {age}");
    }
    assert_eq!(slow_start_fraction(None, started, &rules()), 1.0, "started long ago");
    assert_eq!(slow_start_fraction(Some(started), started - 1, &rules()), 0.1, "started in the future");
}

#[test]
fn refill_rate_is_a_share_of_the_warm_rate_times_fraction_and_multiple() {
    // 100 per second, times the fraction 0.1, times the multiple 2.0, times the share 0.6.
    let refill = BudgetRefill::new(&warm(100.0), 1.0, 0.1, 0.0, &rules());
    assert!((refill.rate * 1e9 - 12.0).abs() < 1e-9, "{}", refill.rate);
    let small = BudgetRefill::new(&warm(100.0), 0.5, 0.1, 0.0, &rules());
    assert!((small.rate * 1e9 - 6.0).abs() < 1e-9, "half the capacity, half the rate: {}", small.rate);
    let large = BudgetRefill::new(&warm(100.0), 4.0, 0.1, 0.0, &rules());
    assert_eq!(large.rate, refill.rate, "capacity counts up to the mean");
}

#[test]
fn refill_uses_the_rate_sent_without_warm_endpoints() {
    let refill = BudgetRefill::new(&WarmEndpoints::default(), 1.0, 0.5, 20e-9, &rules());
    assert!((refill.rate * 1e9 - 12.0).abs() < 1e-9, "{}", refill.rate);
    let unknown = BudgetRefill::new(&WarmEndpoints::default(), 1.0, 0.5, 0.0, &rules());
    assert_eq!(unknown.rate, 0.0);
}

#[test]
fn overdraft_is_refilled_before_the_next_attempt() {
    let refill = BudgetRefill::new(&warm(100.0), 1.0, 0.1, 0.0, &rules());
    let mut budget = SlowStartBudget::new(0, 0.0);
    assert!(budget.allows(0, 1.0, &refill));
    budget.withdraw(1.0);
    assert!(!budget.allows(SECOND / 24, 1.0, &refill), "only half of the token is refilled");
    assert!(budget.allows(SECOND / 12 + 1, 1.0, &refill));
}

#[test]
fn heavy_request_needs_savings_for_its_excess_work() {
    let refill = BudgetRefill::new(&warm(100.0), 1.0, 0.1, 0.0, &rules());
    let mut budget = SlowStartBudget::new(0, 0.0);
    assert!(!budget.allows(0, 3.0, &refill));
    assert!(budget.allows(2 * SECOND / 12 + 1, 3.0, &refill));
}

#[test]
fn savings_are_at_most_half_a_window_with_warm_endpoints() {
    let refill = BudgetRefill::new(&warm(100.0), 1.0, 0.1, 0.0, &rules());
    let mut budget = SlowStartBudget::new(0, 0.0);
    budget.allows(3_600 * SECOND, 1.0, &refill);
    assert!((5.0..=6.0).contains(&budget.tokens), "{} of 12 tokens per window", budget.tokens);
}

#[test]
fn savings_without_warm_endpoints_suffice_for_one_rare_request() {
    let refill = BudgetRefill::new(&WarmEndpoints::default(), 1.0, 0.1, 1e-12, &rules());
    let mut budget = SlowStartBudget::new(0, 0.0);
    assert!(budget.allows(1_000_000 * SECOND, 4.0, &refill), "the savings cover the excess work");
    assert!((budget.tokens - 5.0).abs() < 1e-9, "{}, expected 1.5 times the work, less one", budget.tokens);
}
