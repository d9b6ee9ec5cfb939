use super::*;

const LIFETIME: Duration = Duration::from_secs(10);
const FAST_CONNECT: Duration = Duration::from_millis(2);
const MS: Duration = Duration::from_millis(1);

/// Returns a pool whose endpoint accepts connections within `connect_time`, and the time at which its connections
/// `a` and, 5 ms later, `b` became idle.
fn pool(connect_time: Duration) -> (IdlePool<&'static str>, Instant) {
    let (mut pool, start) = (IdlePool::default(), Instant::now());
    pool.on_connected(connect_time);
    pool.put("a", start, true);
    pool.put("b", start + 5 * MS, true);
    (pool, start)
}

fn take(pool: &mut IdlePool<&'static str>, now: Instant, max_wait: MaxWait) -> Option<&'static str> {
    pool.take(now, max_wait, false).map(|reused| reused.connection)
}

#[test]
fn connection_is_used_at_once_only_after_its_quiet_period() {
    let (mut pool, start) = pool(FAST_CONNECT);
    assert_eq!(take(&mut pool, start + QUIET_PERIOD - 3 * MS, MaxWait::ConnectTime), None);
    assert_eq!(take(&mut pool, start + QUIET_PERIOD, MaxWait::ConnectTime), Some("a"), "b is not quiet yet");
    assert_eq!(take(&mut pool, start + QUIET_PERIOD + 2 * MS, MaxWait::ConnectTime), None);
    let reused = pool.take(start + QUIET_PERIOD + 5 * MS, MaxWait::ConnectTime, false);
    let usable_at = start + 5 * MS + QUIET_PERIOD;
    assert_eq!(reused, Some(ReusedConnection { connection: "b", usable_at, may_receive_copy: false }));
    assert_eq!(pool.len(), 0);
}

#[test]
fn most_recently_used_connection_is_preferred_among_quiet_ones() {
    let (mut pool, start) = pool(FAST_CONNECT);
    assert_eq!(take(&mut pool, start + QUIET_PERIOD + 5 * MS, MaxWait::ConnectTime), Some("b"));
}

#[test]
fn request_waits_for_a_connection_if_a_new_one_takes_as_long() {
    let (mut pool, start) = pool(20 * MS);
    assert_eq!(take(&mut pool, start + 4 * MS, MaxWait::ConnectTime), None, "a new one is there after 20 ms");
    let reused = pool.take(start + 5 * MS, MaxWait::ConnectTime, false);
    let usable_at = start + QUIET_PERIOD;
    assert_eq!(reused, Some(ReusedConnection { connection: "a", usable_at, may_receive_copy: false }));
}

#[test]
fn request_waits_for_the_whole_period_if_no_connection_may_be_established() {
    let (mut pool, start) = pool(FAST_CONNECT);
    let reused = pool.take(start + 5 * MS, MaxWait::QuietPeriod, false);
    let usable_at = start + QUIET_PERIOD;
    assert_eq!(reused, Some(ReusedConnection { connection: "a", usable_at, may_receive_copy: false }));
}

#[test]
fn connection_is_used_at_once_if_copies_are_recognised() {
    let (mut pool, start) = pool(FAST_CONNECT);
    pool.put("after a long response", start + 6 * MS, false);
    let reused = pool.take(start + 6 * MS, MaxWait::ConnectTime, true);
    let usable_at = start + 5 * MS;
    assert_eq!(reused, Some(ReusedConnection { connection: "b", usable_at, may_receive_copy: true }));
    let reused = pool.take(start + QUIET_PERIOD, MaxWait::ConnectTime, true);
    assert_eq!(reused, Some(ReusedConnection { connection: "a", usable_at: start, may_receive_copy: false }));
    assert_eq!(pool.take(start + QUIET_PERIOD, MaxWait::ConnectTime, true), None, "it has no digest");
}

/// Guards against a request on a connection that the endpoint is just closing, which can't be repeated.
#[test]
fn connection_rests_for_a_moment_at_an_endpoint_that_closed_one_lately() {
    let (mut pool, start) = (IdlePool::default(), Instant::now());
    pool.put("a", start, true);
    pool.on_pooled_connection_closed(start);
    let usable_at = start + CLOSE_DETECTION_DELAY;
    assert_eq!(pool.take(start, MaxWait::ConnectTime, true), None);
    let reused = pool.take(usable_at, MaxWait::ConnectTime, true);
    assert_eq!(reused, Some(ReusedConnection { connection: "a", usable_at, may_receive_copy: true }));
    pool.close_expired(start + LIFETIME, LIFETIME);
    pool.put("b", start + LIFETIME, true);
    assert!(pool.take(start + LIFETIME, MaxWait::ConnectTime, true).is_some(), "the close is forgotten");
}

#[test]
fn connection_at_the_end_of_its_lifetime_is_closed() {
    let (mut pool, start) = pool(FAST_CONNECT);
    pool.close_expired(start + LIFETIME, LIFETIME);
    assert_eq!(take(&mut pool, start + LIFETIME, MaxWait::ConnectTime), Some("b"));
    assert_eq!(pool.len(), 0);
    pool.put("d", start, true);
    pool.put("e", start + MS, true);
    pool.close_longest_idle();
    assert_eq!(take(&mut pool, start + QUIET_PERIOD + MS, MaxWait::ConnectTime), Some("e"));
}
