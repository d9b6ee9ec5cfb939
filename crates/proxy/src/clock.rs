//! The decisions' clock: monotonic, and set to Unix time once at the start so that the start times in the list of
//! endpoints can be put beside it.
//!
//! The wall clock may be stepped at any time, also before the start, so that nothing but the first reading depends on
//! it: what is known of start times without it is `start_times.rs`'s. A process that takes over from another goes on
//! from that one's clock, since what it is handed (start times, what was put back by hand, what the decisions have
//! learned) is on it. CLOCK_MONOTONIC is the same for all processes of a machine.

use olivecart_decisions::Nanos;
use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A reading that is handed over is no older than this, or it is another machine's or another time namespace's.
const OLDEST_READING: Nanos = 10_000_000_000;

/// Where times are read. Tests have one whose wall clock is stepped.
pub trait TimeSource {
    /// Unix time: it may be stepped.
    fn unix(&self) -> Nanos;
    /// Time that runs on steadily, the same for all processes of a machine.
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

/// One moment on the machine's clock and on a process's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockReading {
    /// CLOCK_MONOTONIC, in nanoseconds.
    pub monotonic: Nanos,
    /// The decisions' time, in nanoseconds.
    pub time: Nanos,
}

/// Turns instants into the decisions' time and back.
#[derive(Clone, Copy)]
pub struct Clock {
    origin: Instant,
    /// The decisions' time at the origin.
    start: Nanos,
}

impl Clock {
    /// A clock that starts at the system's Unix time.
    pub fn start() -> Clock {
        Clock::starting(&SystemClocks, None)
    }

    /// A clock that goes on from another process's, if that has handed over a reading of its own.
    pub fn starting(times: &impl TimeSource, handed: Option<ClockReading>) -> Clock {
        let monotonic = times.monotonic();
        let age = |reading: &ClockReading| monotonic.checked_sub(reading.monotonic);
        let recent = handed.filter(|reading| age(reading).is_some_and(|age| age <= OLDEST_READING));
        let start = match recent {
            Some(reading) => reading.time + (monotonic - reading.monotonic),
            None => times.unix(),
        };
        Clock { origin: Instant::now(), start }
    }

    /// The decisions' time.
    pub fn now(&self) -> Nanos {
        self.start + self.origin.elapsed().as_nanos() as Nanos
    }

    /// This moment, for the process that takes over.
    pub fn reading(&self, times: &impl TimeSource) -> ClockReading {
        ClockReading { monotonic: times.monotonic(), time: self.now() }
    }

    /// The instant of a point in the decisions' time.
    pub fn instant(&self, at: Nanos) -> Instant {
        self.origin + Duration::from_nanos(at.saturating_sub(self.start))
    }
}

#[cfg(test)]
pub mod tests;
