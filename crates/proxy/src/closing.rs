//! The graceful close of a client connection, as a state machine without I/O. `clients/stream.rs` performs
//! the steps.
//!
//! Every close takes the same steps (RFC 9112, section 9.6): pending writes are flushed, the proxy's side is
//! shut down, further bytes from the client are read and discarded, and the descriptor is closed. Closing a
//! socket with unread bytes would reset the connection, and the reset would destroy the part of the response
//! that the client has not read.

use std::time::{Duration, Instant};

/// Maximum time without write progress before a closing connection is abandoned.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time from the half-close until the client closes its side.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of bytes that are read and discarded after the half-close. Without this limit, a client
/// that keeps sending would keep the proxy busy.
const MAX_DRAINED_BYTES: usize = 256 * 1024;

/// The state of one graceful close.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closing {
    phase: Phase,
    /// The end of the current phase.
    deadline: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Flush,
    HalfClose,
    Drain { remaining: usize },
    Closed,
}

/// An event on the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The socket accepted some of the pending bytes.
    Written,
    /// All pending bytes were written, or there are none.
    Flushed,
    /// The proxy's side was shut down.
    HalfClosed,
    /// This many bytes were read and discarded.
    Drained(usize),
    /// The client has closed, the connection failed, or its descriptor is needed.
    Ended,
}

/// The next step of the close.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Write the pending bytes.
    Flush {
        /// When the close is abandoned.
        deadline: Instant,
    },
    /// Shut down the proxy's side.
    HalfClose,
    /// Read and discard bytes.
    Drain {
        /// The remaining limit.
        max_bytes: usize,
        /// When the descriptor is closed.
        deadline: Instant,
    },
    /// Close the descriptor.
    Close,
}

impl Closing {
    /// Starts a close, with the flush of pending writes.
    pub fn start(now: Instant) -> Closing {
        Closing { phase: Phase::Flush, deadline: now + FLUSH_TIMEOUT }
    }

    /// Returns the step to take now.
    pub fn next_step(&self, now: Instant) -> Step {
        let deadline = self.deadline;
        match self.phase {
            Phase::HalfClose => Step::HalfClose,
            Phase::Flush if now < deadline => Step::Flush { deadline },
            Phase::Drain { remaining } if now < deadline && remaining > 0 => {
                Step::Drain { max_bytes: remaining, deadline }
            }
            _ => Step::Close,
        }
    }

    /// Whether pending writes are still being flushed.
    pub fn is_flushing(&self) -> bool {
        self.phase == Phase::Flush
    }

    /// Returns the state after an event. An event that does not belong to the current phase changes nothing.
    #[must_use]
    pub fn on_event(self, now: Instant, event: Event) -> Closing {
        match (self.phase, event) {
            (_, Event::Ended) => Closing { phase: Phase::Closed, ..self },
            (Phase::Flush, Event::Written) => Closing { deadline: now + FLUSH_TIMEOUT, ..self },
            (Phase::Flush, Event::Flushed) => Closing { phase: Phase::HalfClose, ..self },
            (Phase::HalfClose, Event::HalfClosed) => Closing {
                phase: Phase::Drain { remaining: MAX_DRAINED_BYTES },
                deadline: now + LINGER_TIMEOUT,
            },
            (Phase::Drain { remaining }, Event::Drained(n)) => {
                Closing { phase: Phase::Drain { remaining: remaining.saturating_sub(n) }, ..self }
            }
            _ => self,
        }
    }
}

#[cfg(test)]
mod tests;
