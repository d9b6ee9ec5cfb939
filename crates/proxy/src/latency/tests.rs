use super::*;

#[test]
fn bound_starts_at_three_times_the_first_latency_and_converges_to_equal_latencies() {
    let after = |times: &[u64]| {
        let mut estimate = LatencyEstimate::default();
        times.iter().for_each(|ms| estimate.observe(Duration::from_millis(*ms)));
        estimate.upper_bound().map(|bound| bound.as_millis())
    };
    assert_eq!((after(&[]), after(&[200]), after(&[200; 100])), (None, Some(600), Some(200)));
    assert!(after(&[200, 200, 1000]) > Some(1000), "an outlier widens the deviation");
}
