//! Delays before reconnections and repeated rejections, and the rate limit for reading responses.

use olivecart_decisions::Nanos;
use std::time::Duration;

pub(super) fn to_nanos(time: Duration) -> Nanos {
    Nanos::try_from(time.as_nanos()).unwrap_or(Nanos::MAX)
}

/// Random delays between 0 and a limit that doubles with each failure (full jitter).
#[derive(Debug)]
pub(super) struct Backoff {
    base: Nanos,
    max: Nanos,
    random: fastrand::Rng,
}

impl Backoff {
    /// The smallest limit. Without a delay, a control plane that refuses connections would be tried in a busy
    /// loop.
    const MIN_LIMIT: Duration = Duration::from_millis(10);

    pub fn new(base: Duration, max: Duration, seed: u64) -> Backoff {
        let (base, max) = (base.max(Backoff::MIN_LIMIT), max.max(Backoff::MIN_LIMIT));
        Backoff { base: to_nanos(base), max: to_nanos(max), random: fastrand::Rng::with_seed(seed) }
    }

    /// Returns a random delay after `failures` earlier consecutive failures.
    pub fn next_wait(&mut self, failures: u32) -> Nanos {
        let limit = self.base.saturating_mul(1 << failures.min(30)).min(self.max);
        self.random.u64(0..=limit)
    }

    /// Returns a random delay of at most `within`.
    pub fn jitter(&mut self, within: Duration) -> Nanos {
        self.random.u64(0..=to_nanos(within))
    }
}

/// Limits the rate at which responses are read: a burst at once, then a constant rate.
///
/// Without it, a control plane that sends too many responses would use up the thread that decodes and
/// compares them. Unread responses stay at the control plane because of the flow control of the stream.
///
/// The cost of a response depends on its size. If only responses were counted, at a rate suitable for 10,000
/// endpoints per response, a draining endpoint would wait for seconds behind many small changes.
#[derive(Debug, Default)]
pub(super) struct ReadPacer {
    /// When the responses read so far would have arrived at the constant rate (theoretical arrival time of
    /// GCRA, ATM Forum traffic management 4.0).
    theoretical_arrival: Nanos,
}

impl ReadPacer {
    /// The burst that may be read at once, as its time at the constant rate.
    const BURST_NANOS: Nanos = 3_000_000_000;
    /// The cost of a response of any size. Each is a step of the event loop, which visits all endpoints of a
    /// large cluster.
    const NANOS_PER_RESPONSE: Nanos = 5_000_000;
    /// The cost of a byte, about four times the time to decode and compare it (`benches/xds.rs`): 10,000
    /// endpoints in 353 kB cost 54 ms.
    const NANOS_PER_BYTE: Nanos = 140;

    pub fn record_read(&mut self, now: Nanos, bytes: usize) {
        let cost = ReadPacer::NANOS_PER_RESPONSE
            .saturating_add(ReadPacer::NANOS_PER_BYTE.saturating_mul(bytes as Nanos));
        self.theoretical_arrival = self.theoretical_arrival.max(now).saturating_add(cost);
    }

    /// Returns the earliest time at which the next response may be read.
    pub fn next_read_at(&self) -> Nanos {
        self.theoretical_arrival.saturating_sub(ReadPacer::BURST_NANOS)
    }
}
