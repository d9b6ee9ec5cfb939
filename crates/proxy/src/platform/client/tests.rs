use super::deadline;
use std::time::Duration;

#[test]
fn deadlines_are_numbers_with_a_unit_and_nothing_else() {
    assert_eq!(deadline("480m"), Some(Duration::from_millis(480)));
    assert_eq!(deadline("1500u"), Some(Duration::from_micros(1500)));
    assert_eq!(deadline("0.5m"), Some(Duration::from_micros(500)));
    for bad in ["", "m", "480", "480s", "-1m", "infm", "1e9m", "NaNu", "9999999999999m", "4 8m", "é"] {
        assert_eq!(deadline(bad), None, "{bad:?}");
    }
}
