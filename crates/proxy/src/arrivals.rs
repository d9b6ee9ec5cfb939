//! When the bytes of a client's connection arrived at this machine, which may be long before they are read.
//!
//! While an endpoint takes no more of a body, or a body waits for memory, the proxy stops reading, and the system
//! goes on receiving. The time of a request runs from its last byte at this machine, so the connection reports here
//! what it has read and what lies unread in the system's buffer. This module does no I/O.

use std::cell::Cell;
use std::time::Instant;

/// The arrivals on one connection.
#[derive(Debug)]
pub struct Arrivals {
    /// The bytes that were read so far.
    read: Cell<u64>,
    /// The bytes that arrived and are unread.
    unread: Cell<u64>,
    /// When the last bytes arrived, or were first noticed.
    last_at: Cell<Instant>,
    /// Where the current request ends, counted from the start of the connection, if that is known.
    request_end: Cell<Option<u64>>,
    /// When the last byte of the current request arrived.
    request_ended_at: Cell<Option<Instant>>,
}

impl Arrivals {
    /// Creates the arrivals of a connection on which nothing has arrived.
    pub fn new(now: Instant) -> Arrivals {
        Arrivals {
            read: Cell::default(),
            unread: Cell::default(),
            last_at: Cell::new(now),
            request_end: Cell::default(),
            request_ended_at: Cell::default(),
        }
    }

    /// Records how many bytes are unread.
    pub fn on_unread(&self, bytes: u64, now: Instant) {
        if bytes > self.unread.replace(bytes) {
            self.on_arrival(now);
        }
    }

    /// Records that this many bytes or more are unread.
    pub fn on_at_least_unread(&self, bytes: u64, now: Instant) {
        self.on_unread(bytes.max(self.unread.get()), now);
    }

    /// Records that bytes were read, which were noticed before.
    pub fn on_read(&self, bytes: u64) {
        self.unread.set(self.unread.get().saturating_sub(bytes));
        self.read.set(self.read.get() + bytes);
    }

    fn on_arrival(&self, now: Instant) {
        self.last_at.set(now);
        self.notice_request_end();
    }

    /// Sets where the current request ends, counted from the start of the connection, or that this is not known yet.
    pub fn set_request_end(&self, end: Option<u64>) {
        if self.request_end.replace(end) != end {
            self.request_ended_at.set(None);
            self.notice_request_end();
        }
    }

    fn notice_request_end(&self) {
        let arrived = self.read.get() + self.unread.get();
        let has_ended = self.request_end.get().is_some_and(|end| arrived >= end);
        if has_ended && self.request_ended_at.get().is_none() {
            self.request_ended_at.set(Some(self.last_at.get()));
        }
    }

    /// When the last byte of the current request arrived, if it has and that is known.
    pub fn request_ended_at(&self) -> Option<Instant> {
        self.request_ended_at.get()
    }

    /// The bytes that have arrived since the start of the connection.
    #[cfg(test)]
    pub fn total(&self) -> u64 {
        self.read.get() + self.unread.get()
    }

    /// Whether bytes have arrived that are unread.
    pub fn has_unread(&self) -> bool {
        self.unread.get() > 0
    }

    /// When the last bytes arrived. Nothing that has arrived is younger.
    pub fn last_at(&self) -> Instant {
        self.last_at.get()
    }
}

#[cfg(test)]
mod tests;
