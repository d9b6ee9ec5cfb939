use super::*;
use proptest::prelude::*;

const TICK: Duration = Duration::from_millis(1);

#[test]
fn close_flushes_half_closes_drains_and_closes() {
    let now = Instant::now();
    let closing = Closing::start(now);
    assert_eq!(closing.next_step(now), Step::Flush { deadline: now + FLUSH_TIMEOUT });
    // Write progress restarts the timeout.
    let later = now + FLUSH_TIMEOUT - TICK;
    let closing = closing.on_event(later, Event::Written);
    assert_eq!(closing.next_step(later), Step::Flush { deadline: later + FLUSH_TIMEOUT });
    let closing = closing.on_event(later, Event::Flushed);
    assert_eq!(closing.next_step(later), Step::HalfClose);
    let closing = closing.on_event(later, Event::HalfClosed);
    let deadline = later + LINGER_TIMEOUT;
    assert_eq!(closing.next_step(later), Step::Drain { max_bytes: MAX_DRAINED_BYTES, deadline });
    let closing = closing.on_event(later, Event::Drained(6));
    assert_eq!(
        closing.next_step(deadline - TICK),
        Step::Drain { max_bytes: MAX_DRAINED_BYTES - 6, deadline }
    );
    assert_eq!(closing.on_event(later, Event::Ended).next_step(later), Step::Close);
}

#[test]
fn close_ends_if_the_client_does_not_read_keeps_sending_or_never_closes() {
    let now = Instant::now();
    let closing = Closing::start(now);
    assert_eq!(closing.next_step(now + FLUSH_TIMEOUT - TICK), Step::Flush { deadline: now + FLUSH_TIMEOUT });
    assert_eq!(closing.next_step(now + FLUSH_TIMEOUT), Step::Close);
    let draining = closing.on_event(now, Event::Flushed).on_event(now, Event::HalfClosed);
    assert_eq!(draining.next_step(now + LINGER_TIMEOUT), Step::Close);
    // Received bytes do not extend the time.
    let trickled = draining.on_event(now + LINGER_TIMEOUT - TICK, Event::Drained(1));
    assert_eq!(trickled.next_step(now + LINGER_TIMEOUT), Step::Close);
    let flooded = draining.on_event(now, Event::Drained(MAX_DRAINED_BYTES - 1));
    assert_eq!(flooded.next_step(now), Step::Drain { max_bytes: 1, deadline: now + LINGER_TIMEOUT });
    assert_eq!(flooded.on_event(now, Event::Drained(9)).next_step(now), Step::Close);
}

proptest! {
    /// For any order of events: after the half-close, reading stays within the byte and time limits, and a
    /// connection that has ended stays closed.
    #[test]
    fn every_close_ends_within_its_bounds(events in prop::collection::vec((0..5_u8, 0..2_000_u64), 0..60)) {
        let mut now = Instant::now();
        let mut closing = Closing::start(now);
        let (mut half_closed_at, mut drained, mut ended) = (None, 0, false);
        for (kind, ms) in events {
            let step = closing.next_step(now);
            let event = match kind {
                0 => Event::Written,
                1 => Event::Flushed,
                2 => Event::HalfClosed,
                3 => Event::Drained(ms as usize * 100),
                _ if ms < 100 => Event::Ended,
                _ => Event::Written,
            };
            if let Step::Drain { max_bytes, deadline } = step {
                let since: Instant = half_closed_at.expect("half-closed first");
                prop_assert!(deadline == since + LINGER_TIMEOUT && now < deadline);
                prop_assert_eq!(max_bytes, MAX_DRAINED_BYTES - drained);
            }
            prop_assert!(!ended || step == Step::Close);
            match (step, event) {
                (Step::HalfClose, Event::HalfClosed) => half_closed_at = Some(now),
                (Step::Drain { .. }, Event::Drained(n)) => drained += n,
                _ => {}
            }
            ended |= event == Event::Ended;
            closing = closing.on_event(now, event);
            now += Duration::from_millis(ms);
        }
        // Without further events the close ends.
        let last = if closing.next_step(now) == Step::HalfClose {
            closing.on_event(now, Event::HalfClosed)
        } else {
            closing
        };
        prop_assert_eq!(last.next_step(now + FLUSH_TIMEOUT.max(LINGER_TIMEOUT)), Step::Close);
    }
}
