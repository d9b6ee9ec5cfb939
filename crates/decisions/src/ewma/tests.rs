//! Tests of decaying sums and moving averages.

use super::*;

#[test]
fn sum_decays_by_a_factor_of_e_over_its_time_constant() {
    let mut sum = DecayingSum::default();
    assert_eq!(sum.add(1_000, 500.0, 8.0), 8.0);
    assert_eq!(sum.decay(1_000, 500.0), 8.0, "no decay at the time of the update");
    let decayed = sum.decay(1_500, 500.0);
    assert!((decayed - 8.0 / std::f64::consts::E).abs() < 1e-12, "{decayed}");
}

#[test]
fn time_before_the_last_update_causes_no_decay() {
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
