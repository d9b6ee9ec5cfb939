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
    /// Whether all that has arrived was passed on, and more is awaited.
    awaits_client: Cell<bool>,
    /// When the last byte arrived, once the body was read to its end.
    completed_at: Cell<Option<Instant>>,
}

impl RequestClock {
    /// Creates the clock of a request whose body arrives on this connection.
    pub fn new(arrivals: Rc<Arrivals>, length: Option<u64>, client_timeout: Duration) -> RequestClock {
        let (awaits_client, completed_at) = (Cell::new(false), Cell::new(None));
        RequestClock { arrivals, length, client_timeout, awaits_client, completed_at }
    }

    /// Records whether all that was received was passed on, so that more is awaited.
    pub fn set_awaits_client(&self, awaits_client: bool) {
        self.awaits_client.set(awaits_client);
    }

    /// Records that the body was read to its end.
    pub fn complete(&self) {
        if self.completed_at.get().is_none() {
            self.completed_at.set(Some(self.arrivals.last_at()));
        }
    }

    /// When the client stops waiting, or `None` while its last byte has not arrived.
    pub fn deadline(&self) -> Option<Instant> {
        let last_byte_at =
            self.completed_at.get().or_else(|| self.may_be_whole().then(|| self.arrivals.last_at()));
        last_byte_at.map(|at| at + self.client_timeout)
    }

    /// Whether the last byte may have arrived.
    fn may_be_whole(&self) -> bool {
        let is_drained = self.awaits_client.get() && !self.arrivals.has_unread();
        !is_drained && self.length.is_none_or(|length| self.arrivals.of_request() >= length)
    }

    /// Resolves `margin` before the client stops waiting.
    pub async fn wait_until_over(&self, margin: Duration) {
        loop {
            let last_byte_at = self.completed_at.get().unwrap_or_else(|| self.arrivals.last_at());
            let deadline = last_byte_at + self.client_timeout;
            let end = deadline.checked_sub(margin).unwrap_or(deadline);
            if end > Instant::now() {
                sleep_until(end.into()).await;
            } else if self.deadline().is_some() {
                return;
            } else {
                // What makes the body whole has yet to arrive, so that no time that runs from it ends earlier.
                let recheck = self.client_timeout.saturating_sub(margin);
                sleep(recheck.max(MIN_RECHECK_INTERVAL)).await;
            }
        }
    }
}

#[cfg(test)]
mod tests;
