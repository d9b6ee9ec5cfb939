use super::*;

#[test]
fn requests_are_taken_while_they_come_and_can_be_answered() {
    let (ms, times) = (Duration::from_millis, Times::default());
    for (after, quiet, latency, takes) in [
        (1499, 9000, Some(5000), true), // always so long
        (1500, 0, Some(5000), false),
        (2399, 499, Some(1000), true),
        (2400, 499, Some(1000), false), // no longer answered in time
        (2000, 500, Some(1000), false), // nobody comes
        (2899, 0, Some(1), true),
        (2900, 0, Some(1), false), // something has to be left
        (1600, 0, None, false),    // nothing is known
    ] {
        let latency = latency.map(ms);
        assert_eq!(times.takes_more(ms(after), ms(quiet), latency), takes, "{after} {quiet} {latency:?}");
    }
}

#[test]
fn with_short_deadlines_the_end_comes_as_early_as_the_kill_may() {
    let ms = Duration::from_millis;
    for (deadline, killed) in [(6000, 3700), (3000, 3700), (1000, 1700), (200, 900), (0, 700)] {
        let times = Times::new(ms(deadline));
        assert_eq!(times.all_answered + MARGIN, ms(killed));
        assert!(times.all_answered < times.closed && times.closed < ms(killed));
        assert!(!times.takes_more(times.all_answered - times.least_left, ms(0), Some(ms(1))));
        assert!(times.takes_more(ms(0), ms(9000), None) && times.moving < times.all_answered);
    }
}
