use super::*;

#[test]
fn requests_are_taken_while_they_come_and_can_be_answered() {
    let (ms, times) = (Duration::from_millis, ShutdownTimes::default());
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
        let phase = times.phase(ms(after), ms(quiet), latency);
        assert_eq!(phase == ShutdownPhase::TakingRequests, takes, "{after} {quiet} {latency:?}");
    }
}

#[test]
fn with_short_deadlines_the_end_comes_as_early_as_the_kill_may() {
    let ms = Duration::from_millis;
    for (deadline, killed) in [(6000, 3700), (3000, 3700), (1000, 1700), (200, 900), (0, 700)] {
        let times = ShutdownTimes::new(ms(deadline));
        assert_eq!(times.all_answered + KILL_MARGIN, ms(killed));
        assert!(times.all_answered < times.connections_given_up && times.connections_given_up < ms(killed));
        let last = times.phase(times.all_answered - times.least_left, ms(0), Some(ms(1)));
        assert_eq!(last, ShutdownPhase::ClosingConnections);
        assert_eq!(times.phase(ms(0), ms(9000), None), ShutdownPhase::TakingRequests);
        assert!(times.moving_to_successor < times.all_answered);
    }
}
