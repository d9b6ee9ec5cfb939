use super::parse_deadline;
use std::time::Duration;

#[test]
fn only_a_decimal_number_with_a_unit_is_a_valid_deadline() {
    assert_eq!(parse_deadline("480m"), Some(Duration::from_millis(480)));
    assert_eq!(parse_deadline("1500u"), Some(Duration::from_micros(1500)));
    assert_eq!(parse_deadline("0.5m"), Some(Duration::from_micros(500)));
    for invalid in ["", "m", "480", "480s", "-1m", "infm", "1e9m", "NaNu", "9999999999999m", "4 8m", "é"] {
        assert_eq!(parse_deadline(invalid), None, "{invalid:?}");
    }
}
