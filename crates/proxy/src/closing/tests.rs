use super::*;
use proptest::prelude::*;

const TICK: Duration = Duration::from_millis(1);

#[test]
fn a_close_flushes_half_closes_drains_and_closes() {
    let now = Instant::now();
    let closing = Closing::begin(now);
    assert_eq!(closing.next(now), Step::Flush { until: now + FLUSH });
    // A client that takes some of it gets the time anew.
    let later = now + FLUSH - TICK;
    let closing = closing.after(later, Event::Wrote);
    assert_eq!(closing.next(later), Step::Flush { until: later + FLUSH });
    let closing = closing.after(later, Event::Flushed);
    assert_eq!(closing.next(later), Step::HalfClose);
    let closing = closing.after(later, Event::HalfClosed);
    let until = later + LINGER;
    assert_eq!(closing.next(later), Step::Drain { at_most: DROPPED, until });
    let closing = closing.after(later, Event::Dropped(6));
    assert_eq!(closing.next(until - TICK), Step::Drain { at_most: DROPPED - 6, until });
    assert_eq!(closing.after(later, Event::Over).next(later), Step::Close);
}

#[test]
fn neither_who_reads_nothing_nor_who_goes_on_sending_nor_who_never_closes_is_waited_for() {
    let now = Instant::now();
    let closing = Closing::begin(now);
    assert_eq!(closing.next(now + FLUSH - TICK), Step::Flush { until: now + FLUSH });
    assert_eq!(closing.next(now + FLUSH), Step::Close);
    let draining = closing.after(now, Event::Flushed).after(now, Event::HalfClosed);
    assert_eq!(draining.next(now + LINGER), Step::Close);
    // What trickles in does not prolong it.
    let trickled = draining.after(now + LINGER - TICK, Event::Dropped(1));
    assert_eq!(trickled.next(now + LINGER), Step::Close);
    let flooded = draining.after(now, Event::Dropped(DROPPED - 1));
    assert_eq!(flooded.next(now), Step::Drain { at_most: 1, until: now + LINGER });
    assert_eq!(flooded.after(now, Event::Dropped(9)).next(now), Step::Close);
}

proptest! {
    /// Whatever happens in whatever order: once our side is shut, no more than the bounds is read or waited for, and a
    /// connection that is over stays so.
    #[test]
    fn every_close_ends_within_its_bounds(events in prop::collection::vec((0..5_u8, 0..2_000_u64), 0..60)) {
        let mut now = Instant::now();
        let mut closing = Closing::begin(now);
        let (mut shut, mut dropped, mut over) = (None, 0, false);
        for (kind, ms) in events {
            let step = closing.next(now);
            let event = match kind {
                0 => Event::Wrote,
                1 => Event::Flushed,
                2 => Event::HalfClosed,
                3 => Event::Dropped(ms as usize * 100),
                _ if ms < 100 => Event::Over,
                _ => Event::Wrote,
            };
            if let Step::Drain { at_most, until } = step {
                let since: Instant = shut.expect("half-closed first");
                prop_assert!(until == since + LINGER && now < until);
                prop_assert_eq!(at_most, DROPPED - dropped);
            }
            prop_assert!(!over || step == Step::Close);
            match (step, event) {
                (Step::HalfClose, Event::HalfClosed) => shut = Some(now),
                (Step::Drain { .. }, Event::Dropped(n)) => dropped += n,
                _ => {}
            }
            over |= event == Event::Over;
            closing = closing.after(now, event);
            now += Duration::from_millis(ms);
        }
        // Left alone, it comes to its end.
        let last = if closing.next(now) == Step::HalfClose { closing.after(now, Event::HalfClosed) } else { closing };
        prop_assert_eq!(last.next(now + FLUSH.max(LINGER)), Step::Close);
    }
}
