//! Tests of the latency estimates.

use super::*;

const MS: Nanos = 1_000_000;

fn estimates() -> LatencyEstimates {
    let class = Class { latency_objective: 400 * MS, ..Class::default() };
    LatencyEstimates::new(&[class.clone(), class])
}

fn record_response(estimates: &mut LatencyEstimates, class: usize, duration: Nanos) {
    let duration = duration as f64;
    let ratio = duration / estimates.expected_duration(class, 1.0);
    let sample = LatencySample { class, work_scale: 1.0, duration, ratio, is_response: true };
    estimates.record(&sample, (400 * MS) as f64);
}

#[test]
fn initial_estimate_is_a_quarter_of_the_objective() {
    let estimates = estimates();
    assert_eq!(estimates.expected_duration(0, 1.0), 100e6);
    assert_eq!(estimates.expected_duration(0, 2.0), 200e6);
    // The mean, plus four deviations of the same size.
    assert_eq!(estimates.overdue_after(0, 100e6, 0, 0), 500 * MS);
}

#[test]
fn first_response_sets_the_mean_and_later_ones_move_it_slowly() {
    let mut estimates = estimates();
    record_response(&mut estimates, 0, 20 * MS);
    assert_eq!(estimates.expected_duration(0, 1.0), 20e6);
    (0..1_000).for_each(|_| record_response(&mut estimates, 0, 20 * MS));
    record_response(&mut estimates, 0, 60 * MS);
    assert!(
        (estimates.expected_duration(0, 1.0) - 21e6).abs() < 1.0,
        "moved by a fortieth of the difference"
    );
}

#[test]
fn cancelled_attempt_increases_the_deviation_and_not_the_mean() {
    let mut estimates = estimates();
    (0..100).for_each(|_| record_response(&mut estimates, 0, 20 * MS));
    let before = estimates.classes[0].clone();
    let sample =
        LatencySample { class: 0, work_scale: 1.0, duration: 200e6, ratio: 10.0, is_response: false };
    estimates.record(&sample, (400 * MS) as f64);
    assert_eq!(estimates.classes[0].mean, before.mean);
    assert!(estimates.classes[0].relative_deviation > before.relative_deviation);
}

#[test]
fn overdue_time_has_a_floor_and_doubles_with_each_attempt_while_responses_are_fast() {
    let mut estimates = estimates();
    (0..200).for_each(|_| record_response(&mut estimates, 0, MS));
    let floor = 250 * MS;
    for (attempt, factor) in [(0, 1), (1, 2), (2, 4), (4, 16), (9, 16)] {
        assert_eq!(estimates.overdue_after(0, 1e6, attempt, floor), factor * floor, "attempt {attempt}");
    }
    (0..200).for_each(|_| record_response(&mut estimates, 0, 400 * MS));
    assert!(!estimates.responses_are_fast());
    assert_eq!(estimates.overdue_after(0, 1e6, 4, 100 * floor), 100 * floor);
}

#[test]
fn work_scale_follows_the_estimate_by_half() {
    let mut estimates = estimates();
    assert_eq!(estimates.work_scale(0, None), 1.0);
    assert_eq!(estimates.work_scale(0, Some(10 * MS)), 1.0, "the first estimate is the mean");
    (0..1_000).for_each(|_| record_response(&mut estimates, 0, 20 * MS));
    let heavy = estimates.work_scale(0, Some(30 * MS));
    assert!((1.9..2.0).contains(&heavy), "three times the mean: {heavy}");
}

#[test]
fn mean_over_responses_weights_classes_by_their_responses() {
    let mut estimates = estimates();
    (0..999).for_each(|_| record_response(&mut estimates, 0, 10 * MS));
    record_response(&mut estimates, 1, 1_000 * MS);
    let mean = estimates.mean_over_responses();
    assert!((11e6..13e6).contains(&mean), "{mean}");
    assert!((estimates.mean_over_classes() - 505e6).abs() < 1.0);
}
