//! The time by which a process that shuts down has to answer its requests.
//!
//! `shutdown.rs` sets it through the listener. A request whose time is known when it is dispatched is given less
//! time at once; all others have to watch for it while they are open.

use std::cell::Cell;
use std::time::Instant;
use tokio::sync::Notify;
use tokio::time::sleep_until;

/// Unset until a shutdown begins.
#[derive(Debug, Default)]
pub struct ShutdownDeadline {
    at: Cell<Option<Instant>>,
    begun: Notify,
}

impl ShutdownDeadline {
    /// Begins a shutdown in which requests are answered by `at`.
    pub fn set(&self, at: Instant) {
        self.at.set(Some(at));
        self.begun.notify_waiters();
    }

    /// Whether a shutdown has begun.
    pub fn is_set(&self) -> bool {
        self.at.get().is_some()
    }

    /// When requests are answered by, if a shutdown has begun.
    pub fn at(&self) -> Option<Instant> {
        self.at.get()
    }

    /// Returns the earlier one of `deadline` and the end of a shutdown that has begun.
    pub fn limit(&self, deadline: Instant) -> Instant {
        self.at.get().map_or(deadline, |at| deadline.min(at))
    }

    /// Resolves when the deadline is reached, and never if no shutdown begins.
    pub async fn reached(&self) {
        loop {
            let begun = self.begun.notified();
            match self.at.get() {
                Some(at) => return sleep_until(at.into()).await,
                None => begun.await,
            }
        }
    }
}

#[cfg(test)]
mod tests;
