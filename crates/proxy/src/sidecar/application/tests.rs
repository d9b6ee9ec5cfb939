use super::*;

#[test]
fn one_passed_check_is_healthy_and_three_consecutive_failures_are_unhealthy() {
    let mut health = Health::default();
    let changes: Vec<_> = "..+-+--+---.+".chars().map(|c| health.record_check(c == '+')).collect();
    let same = None;
    let expected =
        [same, same, Some(true), same, same, same, same, same, same, same, Some(false), same, Some(true)];
    assert_eq!(changes, expected);
    assert_eq!(health.next_check_delay(), CHECK_INTERVAL);
    health.record_check(false);
    assert_eq!(health.next_check_delay(), CHECK_INTERVAL_AFTER_FAILURE);
}
