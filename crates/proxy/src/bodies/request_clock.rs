//! When the time of a request with a streamed body is over.
//!
//! The time runs from the last byte at this machine, whether or not the proxy has read that byte. With a length it
//! is known when the body is whole. Chunks that are unread may or may not have the last one among them: then the
//! time runs from the last bytes that arrived, and starts again whenever more do.

use crate::arrivals::Arrivals;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::{sleep, sleep_until};

/// The shortest wait before a body that is not whole is looked at again.
const MIN_RECHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The clock of one request.
#[derive(Debug)]
pub struct RequestClock {
    arrivals: Rc<Arrivals>,
    /// The length of the body, if the head gives it.
    length: Option<u64>,
    /// How long the client waits for a response after its last byte.
    client_timeout: Duration,
    /// When the last byte arrived, once that is known. The connection's arrivals may be those of its next request
    /// by the time that this one's attempts have ended.
    ended_at: Cell<Option<Instant>>,
}

impl RequestClock {
    /// Creates the clock of the current request of a connection.
    pub fn new(arrivals: Rc<Arrivals>, length: Option<u64>, client_timeout: Duration) -> RequestClock {
        RequestClock { arrivals, length, client_timeout, ended_at: Cell::default() }
    }

    /// When the client stops waiting, or `None` while its last byte has not arrived.
    pub fn deadline(&self) -> Option<Instant> {
        if self.ended_at.get().is_none() {
            self.ended_at.set(self.arrivals.request_ended_at());
        }
        let last_byte_at =
            self.ended_at.get().or_else(|| self.may_be_whole().then(|| self.arrivals.last_at()));
        last_byte_at.map(|at| at + self.client_timeout)
    }

    /// Whether the last chunk may be among the bytes that are unread.
    fn may_be_whole(&self) -> bool {
        self.length.is_none() && self.arrivals.has_unread()
    }

    /// Resolves `margin` before the client stops waiting.
    pub async fn wait_until_over(&self, margin: Duration) {
        loop {
            match self.deadline().map(|deadline| deadline.checked_sub(margin).unwrap_or(deadline)) {
                Some(end) if end <= Instant::now() => return,
                Some(end) => sleep_until(end.into()).await,
                // What makes the body whole has yet to arrive, so that no time that runs from it ends earlier.
                None => sleep(self.client_timeout.saturating_sub(margin).max(MIN_RECHECK_INTERVAL)).await,
            }
        }
    }
}

#[cfg(test)]
mod tests;
