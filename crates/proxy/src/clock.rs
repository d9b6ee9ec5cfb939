//! The clock of the decision module. It is monotonic, and starts at Unix time so that its times are
//! comparable to the start times in the endpoint list.
//!
//! The wall clock may be stepped at any time, even before the process starts. Therefore only the start value
//! depends on it; `start_times.rs` corrects listed start times without the wall clock. A successor in a hot
//! restart continues the clock of its predecessor, since the state that it takes over (start times, attach
//! times, learned state) uses the predecessor's times. CLOCK_MONOTONIC is the same for all processes of a
//! machine.

use olivecart_decisions::Nanos;
use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The maximum age of a clock reading that a predecessor hands over. An older reading, or one from the
/// future, comes from another machine or time namespace.
const MAX_READING_AGE_NS: Nanos = 10_000_000_000;

/// The source of wall-clock and monotonic time. Tests substitute clocks that they can step.
pub trait TimeSource {
    /// Returns Unix time, which may be stepped.
    fn unix(&self) -> Nanos;
    /// Returns monotonic time, which is the same for all processes of a machine.
    fn monotonic(&self) -> Nanos;
}

/// The system's clocks.
pub struct SystemClocks;

impl TimeSource for SystemClocks {
    fn unix(&self) -> Nanos {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        unix.as_nanos() as Nanos
    }

    fn monotonic(&self) -> Nanos {
        let time = clock_gettime(ClockId::Monotonic);
        time.tv_sec as Nanos * 1_000_000_000 + time.tv_nsec as Nanos
    }
}

/// The same point in time on the machine's monotonic clock and on a process's [`Clock`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockReading {
    /// CLOCK_MONOTONIC, in nanoseconds.
    pub monotonic: Nanos,
    /// The time of the process's clock, in nanoseconds.
    pub time: Nanos,
}

/// Converts between instants and the time of the decision module.
#[derive(Clone, Copy)]
pub struct Clock {
    origin: Instant,
    /// The time at the origin, in nanoseconds.
    start: Nanos,
}

impl Clock {
    /// Returns a clock that starts at the system's Unix time.
    pub fn start() -> Clock {
        Clock::starting(&SystemClocks, None)
    }

    /// Returns a clock that continues the clock of a predecessor, if it handed over a recent reading;
    /// otherwise a clock that starts at Unix time.
    pub fn starting(times: &impl TimeSource, handed_over: Option<ClockReading>) -> Clock {
        let monotonic = times.monotonic();
        let age = |reading: &ClockReading| monotonic.checked_sub(reading.monotonic);
        let recent = handed_over.filter(|reading| age(reading).is_some_and(|age| age <= MAX_READING_AGE_NS));
        let start = match recent {
            Some(reading) => reading.time + (monotonic - reading.monotonic),
            None => times.unix(),
        };
        Clock { origin: Instant::now(), start }
    }

    /// Returns the current time, in nanoseconds.
    pub fn now(&self) -> Nanos {
        self.start + self.origin.elapsed().as_nanos() as Nanos
    }

    /// Returns the current reading, for the successor in a hot restart.
    pub fn reading(&self, times: &impl TimeSource) -> ClockReading {
        ClockReading { monotonic: times.monotonic(), time: self.now() }
    }

    /// Converts a time of this clock to an instant.
    pub fn instant(&self, at: Nanos) -> Instant {
        self.origin + Duration::from_nanos(at.saturating_sub(self.start))
    }
}

#[cfg(test)]
pub mod tests;
