//! How fast: the waits before another connection or another refusal, and the pace of reading.

use olivecart_decisions::Nanos;
use std::time::Duration;

pub(super) fn nanos(time: Duration) -> Nanos {
    Nanos::try_from(time.as_nanos()).unwrap_or(Nanos::MAX)
}

/// Waits with full jitter between 0 and a limit that doubles.
#[derive(Debug)]
pub(super) struct Backoff {
    base: Nanos,
    most: Nanos,
    random: fastrand::Rng,
}

impl Backoff {
    /// Danger: without a wait a control plane that refuses connections is asked in an endless loop.
    const LEAST: Duration = Duration::from_millis(10);

    pub fn new(base: Duration, most: Duration, seed: u64) -> Backoff {
        let (base, most) = (base.max(Backoff::LEAST), most.max(Backoff::LEAST));
        Backoff { base: nanos(base), most: nanos(most), random: fastrand::Rng::with_seed(seed) }
    }

    /// A wait after so many failures before this one.
    pub fn wait(&mut self, failures: u32) -> Nanos {
        let limit = self.base.saturating_mul(1 << failures.min(30)).min(self.most);
        self.random.u64(0..=limit)
    }

    /// A wait of any length up to this.
    pub fn spread(&mut self, within: Duration) -> Nanos {
        self.random.u64(0..=nanos(within))
    }
}

/// The pace of reading: a burst at once, then so much a second.
///
/// Danger: without it a control plane that floods takes all the time of the thread that decodes and compares
/// whole lists. What is not read waits at the control plane, held back by the flow control of the stream.
///
/// Weighed against counting responses alone: at a pace that 10,000 endpoints at a time allow, a control plane
/// that pushes many small changes would have a drain wait for seconds behind them.
#[derive(Debug, Default)]
pub(super) struct ReadPacer {
    /// When the responses read so far would have come at the even pace (the theoretical arrival time of
    /// GCRA, ATM Forum traffic management 4.0).
    even: Nanos,
}

impl ReadPacer {
    /// What may be read at once, in its time at the even pace.
    const BURST: Nanos = 3_000_000_000;
    /// Time for each response, however small: each is a step of the event loop, which in large clusters looks
    /// at all endpoints.
    const EACH: Nanos = 5_000_000;
    /// Time for each byte, some four times what decoding and comparing takes (`benches/xds.rs`): 10,000
    /// endpoints, 353 kB, count for 54 ms.
    const BYTE: Nanos = 140;

    pub fn note(&mut self, now: Nanos, bytes: usize) {
        let takes = ReadPacer::EACH.saturating_add(ReadPacer::BYTE.saturating_mul(bytes as Nanos));
        self.even = self.even.max(now).saturating_add(takes);
    }

    /// When the next response may be read.
    pub fn next(&self) -> Nanos {
        self.even.saturating_sub(ReadPacer::BURST)
    }
}
