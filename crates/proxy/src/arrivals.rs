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
    /// The bytes that were read for earlier requests.
    of_earlier_requests: Cell<u64>,
    /// When the last bytes arrived, or were first noticed.
    last_at: Cell<Instant>,
}

impl Arrivals {
    /// Creates the arrivals of a connection on which nothing has arrived.
    pub fn new(now: Instant) -> Arrivals {
        Arrivals {
            read: Cell::default(),
            unread: Cell::default(),
            of_earlier_requests: Cell::default(),
            last_at: Cell::new(now),
        }
    }

    /// Records how many bytes are unread.
    pub fn on_unread(&self, bytes: u64, now: Instant) {
        if bytes > self.unread.replace(bytes) {
            self.last_at.set(now);
        }
    }

    /// Records that bytes were read. Those that were not noticed before arrived now.
    pub fn on_read(&self, bytes: u64, now: Instant) {
        let noticed = self.unread.get();
        if bytes > noticed {
            self.last_at.set(now);
        }
        self.unread.set(noticed.saturating_sub(bytes));
        self.read.set(self.read.get() + bytes);
    }

    /// Records that all bytes that were read belong to requests that have ended.
    pub fn on_request_ended(&self) {
        self.of_earlier_requests.set(self.read.get());
    }

    /// The bytes of the current request that have arrived, its head included.
    pub fn of_request(&self) -> u64 {
        self.read.get() + self.unread.get() - self.of_earlier_requests.get()
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
