//! The two averages.

use super::*;

#[test]
fn sum_fades_by_a_factor_of_e_over_its_time_constant() {
    let mut sum = DecayingSum::default();
    assert_eq!(sum.add(1_000, 500.0, 8.0), 8.0);
    assert_eq!(sum.decay(1_000, 500.0), 8.0, "no time has passed");
    let faded = sum.decay(1_500, 500.0);
    assert!((faded - 8.0 / std::f64::consts::E).abs() < 1e-12, "{faded}");
}

#[test]
fn time_before_the_last_update_counts_as_that_update() {
    let mut sum = DecayingSum::default();
    sum.add(1_000, 500.0, 1.0);
    assert_eq!(sum.add(400, 500.0, 1.0), 2.0);
}

#[test]
fn average_moves_by_the_weight_of_the_sample() {
    let mut average = 2.0;
    move_towards(&mut average, 6.0, 0.25);
    assert_eq!(average, 3.0);
    move_towards(&mut average, 9.0, 1.0);
    assert_eq!(average, 9.0);
    move_towards(&mut average, 1.0, 0.0);
    assert_eq!(average, 9.0);
}
