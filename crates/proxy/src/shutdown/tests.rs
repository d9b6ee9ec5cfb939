use super::*;

#[test]
fn requests_are_accepted_while_they_arrive_and_can_be_answered_in_time() {
    let (ms, times) = (Duration::from_millis, ShutdownTimes::default());
    for (after, quiet, latency, accepts) in [
        (1499, 9000, Some(5000), true), // within the minimum
        (1500, 0, Some(5000), false),
        (2399, 499, Some(1000), true),
        (2400, 499, Some(1000), false), // would not be answered in time
        (2000, 500, Some(1000), false), // no requests arrive
        (2899, 0, Some(1), true),
        (2900, 0, Some(1), false), // minimum remaining time
        (1600, 0, None, false),    // unknown latency
    ] {
        let latency = latency.map(ms);
        let phase = times.phase(ms(after), ms(quiet), latency);
        assert_eq!(phase == ShutdownPhase::AcceptingRequests, accepts, "{after} {quiet} {latency:?}");
    }
}

#[test]
fn shutdown_with_short_deadlines_ends_before_the_earliest_kill() {
    let ms = Duration::from_millis;
    for (deadline, kill_after) in [(6000, 3700), (3000, 3700), (1000, 1700), (200, 900), (0, 700)] {
        let times = ShutdownTimes::new(ms(deadline));
        assert_eq!(times.all_answered + KILL_MARGIN, ms(kill_after));
        assert!(
            times.all_answered < times.connections_abandoned && times.connections_abandoned < ms(kill_after)
        );
        let last = times.phase(times.all_answered - times.min_remaining, ms(0), Some(ms(1)));
        assert_eq!(last, ShutdownPhase::ClosingConnections);
        assert_eq!(times.phase(ms(0), ms(9000), None), ShutdownPhase::AcceptingRequests);
        assert!(times.successor_grace < times.all_answered);
    }
}
