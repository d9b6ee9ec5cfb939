use super::*;

const SECOND: Nanos = 1_000_000_000;
const HOUR: Nanos = 3600 * SECOND;

/// Clocks that say what a test has them say.
pub struct StandingClocks {
    pub unix: Nanos,
    pub monotonic: Nanos,
}

impl TimeSource for StandingClocks {
    fn unix(&self) -> Nanos {
        self.unix
    }

    fn monotonic(&self) -> Nanos {
        self.monotonic
    }
}

/// Whether a clock says this, but for how long the test takes.
fn says(clock: &Clock, time: Nanos) -> bool {
    (time..time + HOUR / 2).contains(&clock.now())
}

#[test]
fn a_process_that_takes_over_goes_on_from_the_clock_of_the_one_before_wherever_the_wall_clock_stepped() {
    let unix = 500_000 * HOUR;
    let old = Clock::starting(&StandingClocks { unix, monotonic: 7 * SECOND }, None);
    let handed = old.reading(&StandingClocks { unix: 0, monotonic: 9 * SECOND });
    for unix in [unix - HOUR, unix, unix + HOUR] {
        let new = Clock::starting(&StandingClocks { unix, monotonic: 10 * SECOND }, Some(handed));
        assert!(says(&new, handed.time + SECOND));
        assert_eq!(new.start, handed.time + SECOND, "to the nanosecond");
    }
}

#[test]
fn a_reading_of_another_machines_clock_is_not_gone_on_from() {
    let unix = 500_000 * HOUR;
    for monotonic in [0, 100 * SECOND] {
        let handed = ClockReading { monotonic, time: unix + HOUR };
        let clock = Clock::starting(&StandingClocks { unix, monotonic: 50 * SECOND }, Some(handed));
        assert_eq!(clock.start, unix);
    }
}

#[test]
fn the_machines_monotonic_clock_is_the_one_of_instants() {
    let (instant, monotonic) = (Instant::now(), SystemClocks.monotonic());
    let later = SystemClocks.monotonic();
    let elapsed = instant.elapsed().as_nanos() as Nanos;
    assert!(later >= monotonic && later - monotonic <= elapsed);
}
