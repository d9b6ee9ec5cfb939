//! The slow start fraction and the token budget.

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

/// Two warm endpoints of the size 1 that give `per_s` responses a second each.
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
fn budget_fills_at_part_of_the_warm_rate_times_fraction_and_multiple() {
    // 100 a second, times 0.1, times 2.0, times 0.6.
    let refill = BudgetRefill::new(&warm(100.0), 1.0, 0.1, 0.0, &rules());
    assert!((refill.rate * 1e9 - 12.0).abs() < 1e-9, "{}", refill.rate);
    let small = BudgetRefill::new(&warm(100.0), 0.5, 0.1, 0.0, &rules());
    assert!((small.rate * 1e9 - 6.0).abs() < 1e-9, "half the size, half the rate: {}", small.rate);
    let large = BudgetRefill::new(&warm(100.0), 4.0, 0.1, 0.0, &rules());
    assert_eq!(large.rate, refill.rate, "no larger than the mean counts");
}

#[test]
fn rate_sent_takes_the_place_of_responses_where_no_endpoint_is_warm() {
    let refill = BudgetRefill::new(&WarmEndpoints::default(), 1.0, 0.5, 20e-9, &rules());
    assert!((refill.rate * 1e9 - 12.0).abs() < 1e-9, "{}", refill.rate);
    let unknown = BudgetRefill::new(&WarmEndpoints::default(), 1.0, 0.5, 0.0, &rules());
    assert_eq!(unknown.rate, 0.0);
}

#[test]
fn debt_is_paid_before_the_next_attempt() {
    let refill = BudgetRefill::new(&warm(100.0), 1.0, 0.1, 0.0, &rules());
    let mut budget = SlowStartBudget::new(0, 0.0);
    assert!(budget.allows(0, 1.0, &refill));
    budget.withdraw(1.0);
    assert!(!budget.allows(SECOND / 24, 1.0, &refill), "half of the token is there");
    assert!(budget.allows(SECOND / 12 + 1, 1.0, &refill));
}

#[test]
fn heavy_request_needs_its_excess_work_saved_up() {
    let refill = BudgetRefill::new(&warm(100.0), 1.0, 0.1, 0.0, &rules());
    let mut budget = SlowStartBudget::new(0, 0.0);
    assert!(!budget.allows(0, 3.0, &refill));
    assert!(budget.allows(2 * SECOND / 12 + 1, 3.0, &refill));
}

#[test]
fn savings_are_bounded_by_half_a_window_beside_warm_endpoints() {
    let refill = BudgetRefill::new(&warm(100.0), 1.0, 0.1, 0.0, &rules());
    let mut budget = SlowStartBudget::new(0, 0.0);
    budget.allows(3_600 * SECOND, 1.0, &refill);
    assert!((5.0..=6.0).contains(&budget.tokens), "{} of 12 a window", budget.tokens);
}

#[test]
fn lone_endpoint_saves_up_one_rare_request() {
    let refill = BudgetRefill::new(&WarmEndpoints::default(), 1.0, 0.1, 1e-12, &rules());
    let mut budget = SlowStartBudget::new(0, 0.0);
    assert!(budget.allows(1_000_000 * SECOND, 4.0, &refill), "its excess work is saved up");
    assert!((budget.tokens - 5.0).abs() < 1e-9, "{}: 1.5 times its work, less one", budget.tokens);
}
