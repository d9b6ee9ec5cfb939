use super::*;

#[test]
fn one_good_check_is_up_and_three_bad_ones_in_a_row_are_down() {
    let mut health = Health::default();
    let said: Vec<_> = "..+-+--+---.+".chars().map(|c| health.checked(c == '+')).collect();
    let no = None;
    let expected = [no, no, Some(true), no, no, no, no, no, no, no, Some(false), no, Some(true)];
    assert_eq!(said, expected);
    assert_eq!(health.next_check_after(), CHECK_INTERVAL);
    health.checked(false);
    assert_eq!(health.next_check_after(), CHECK_INTERVAL_WHILE_DOWN);
}
