//! The module's clock: monotonic, and set to Unix time once at the start so that the start times in the
//! list of backends can be put beside it.

use olivecart_decisions::Nanos;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Turns instants into the module's time and back.
#[derive(Clone, Copy)]
pub struct Clock {
    origin: Instant,
    unix: Nanos,
}

impl Clock {
    /// A clock that starts at the system's Unix time.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { origin: Instant::now(), unix: unix.as_nanos() as Nanos }
    }

    /// The module's time.
    pub fn now(&self) -> Nanos {
        self.unix + self.origin.elapsed().as_nanos() as Nanos
    }

    /// The instant of a point in the module's time.
    pub fn instant(&self, at: Nanos) -> Instant {
        self.origin + Duration::from_nanos(at.saturating_sub(self.unix))
    }
}
