use super::*;

const SECOND: Nanos = 1_000_000_000;
const HOUR: Nanos = 3600 * SECOND;

/// Clocks that always return the given times.
pub struct FixedClocks {
    pub unix: Nanos,
    pub monotonic: Nanos,
}

impl TimeSource for FixedClocks {
    fn unix(&self) -> Nanos {
        self.unix
    }

    fn monotonic(&self) -> Nanos {
        self.monotonic
    }
}

/// Whether the clock shows `time`, or up to half an hour later, since the test itself takes time.
fn shows(clock: &Clock, time: Nanos) -> bool {
    (time..time + HOUR / 2).contains(&clock.now())
}

#[test]
fn successor_continues_the_clock_of_its_predecessor_after_a_wall_clock_step() {
    let unix = 500_000 * HOUR;
    let predecessor = Clock::starting(&FixedClocks { unix, monotonic: 7 * SECOND }, None);
    let handed_over = predecessor.reading(&FixedClocks { unix: 0, monotonic: 9 * SECOND });
    for unix in [unix - HOUR, unix, unix + HOUR] {
        let successor = Clock::starting(&FixedClocks { unix, monotonic: 10 * SECOND }, Some(handed_over));
        assert!(shows(&successor, handed_over.time + SECOND));
        assert_eq!(successor.start, handed_over.time + SECOND, "to the nanosecond");
    }
}

#[test]
fn reading_from_another_machine_is_ignored() {
    let unix = 500_000 * HOUR;
    for monotonic in [0, 100 * SECOND] {
        let handed_over = ClockReading { monotonic, time: unix + HOUR };
        let clock = Clock::starting(&FixedClocks { unix, monotonic: 50 * SECOND }, Some(handed_over));
        assert_eq!(clock.start, unix);
    }
}

#[test]
fn monotonic_clock_is_the_clock_of_instants() {
    let (instant, monotonic) = (Instant::now(), SystemClocks.monotonic());
    let later = SystemClocks.monotonic();
    let elapsed = instant.elapsed().as_nanos() as Nanos;
    assert!(later >= monotonic && later - monotonic <= elapsed);
}
