use super::*;

#[test]
fn the_first_answer_counts_for_three_times_its_time_and_equal_ones_come_down_to_it() {
    let after = |times: &[u64]| {
        let mut estimate = LatencyEstimate::default();
        times.iter().for_each(|ms| estimate.observe(Duration::from_millis(*ms)));
        estimate.upper_bound().map(|most| most.as_millis())
    };
    assert_eq!((after(&[]), after(&[200]), after(&[200; 100])), (None, Some(600), Some(200)));
    assert!(after(&[200, 200, 1000]) > Some(1000), "one that strays widens the deviation");
}
