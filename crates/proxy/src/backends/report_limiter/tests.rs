use super::*;

const MS: Duration = Duration::from_millis(1);

#[test]
fn the_same_is_reported_once_a_minute() {
    let (mut limiter, start) = (ReportLimiter::default(), Instant::now());
    let due = [0, 1, 59_999, 60_000, 60_001].map(|ms| limiter.is_due(start + ms * MS));
    assert_eq!(due, [true, false, false, true, false]);
}
