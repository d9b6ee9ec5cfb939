//! The close of a client's connection, as a state machine without I/O: what is to be done next, and for how long.
//!
//! Every end takes the same way (RFC 9112, 9.6): what is written goes out, our side of the connection is shut, what
//! the client still sends is read and dropped, and the connection is closed. Danger: closed over unread bytes, a
//! connection is reset, and the reset takes the answer that the client has not read yet along.

use std::time::{Duration, Instant};

/// A client that takes nothing of what is written for it for so long, once its connection is to end, is not waited for.
const FLUSH: Duration = Duration::from_secs(2);
/// After our side is shut, a client has so long to read what it was sent and to close...
const LINGER: Duration = Duration::from_secs(1);
/// ...and may send so much meanwhile. Danger: one that goes on sending keeps the proxy busy reading.
const DROPPED: usize = 256 * 1024;

/// One close.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closing {
    phase: Phase,
    /// When this phase is over.
    until: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Flush,
    HalfClose,
    Drain { left: usize },
    Closed,
}

/// What happened on the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The client took some of what is written for it.
    Wrote,
    /// It took all of it, or nothing more is to be written.
    Flushed,
    /// Our side is shut.
    HalfClosed,
    /// So many bytes came and were dropped.
    Dropped(usize),
    /// The client has closed, the connection broke, or its descriptor is needed.
    Over,
}

/// What is to be done next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Write what is left, until then.
    Flush {
        /// When the client is not waited for any more.
        until: Instant,
    },
    /// Shut our side.
    HalfClose,
    /// Read and drop.
    Drain {
        /// So much at most.
        at_most: usize,
        /// Until then.
        until: Instant,
    },
    /// Close the descriptor.
    Close,
}

impl Closing {
    /// A connection is to end; something may still have to be written.
    pub fn begin(now: Instant) -> Closing {
        Closing { phase: Phase::Flush, until: now + FLUSH }
    }

    /// What is to be done now.
    pub fn next(&self, now: Instant) -> Step {
        let until = self.until;
        match self.phase {
            Phase::HalfClose => Step::HalfClose,
            Phase::Flush if now < until => Step::Flush { until },
            Phase::Drain { left } if now < until && left > 0 => Step::Drain { at_most: left, until },
            _ => Step::Close,
        }
    }

    /// What has happened. Something that does not belong to the phase changes nothing.
    #[must_use]
    pub fn after(self, now: Instant, event: Event) -> Closing {
        match (self.phase, event) {
            (_, Event::Over) => Closing { phase: Phase::Closed, ..self },
            (Phase::Flush, Event::Wrote) => Closing { until: now + FLUSH, ..self },
            (Phase::Flush, Event::Flushed) => Closing { phase: Phase::HalfClose, ..self },
            (Phase::HalfClose, Event::HalfClosed) => {
                Closing { phase: Phase::Drain { left: DROPPED }, until: now + LINGER }
            }
            (Phase::Drain { left }, Event::Dropped(n)) => {
                Closing { phase: Phase::Drain { left: left.saturating_sub(n) }, ..self }
            }
            _ => self,
        }
    }
}

#[cfg(test)]
mod tests;
