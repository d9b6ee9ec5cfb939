//! The limit on the memory that all streamed bodies together may occupy.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// The limit in bytes, and how many bytes are reserved.
#[derive(Default)]
pub struct BodyMemoryLimit {
    limit: Cell<usize>,
    reserved: Cell<usize>,
    /// The most bytes that were reserved at any time.
    peak: Cell<usize>,
    released: Notify,
}

/// A number of reserved bytes, released when this is dropped.
pub struct BodyMemoryReservation {
    limit: Rc<BodyMemoryLimit>,
    bytes: usize,
}

impl BodyMemoryLimit {
    /// Creates a limit without reservations.
    pub fn new(limit: usize) -> BodyMemoryLimit {
        BodyMemoryLimit { limit: Cell::new(limit), ..BodyMemoryLimit::default() }
    }

    /// Changes the limit. Existing reservations stay.
    pub fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
        self.released.notify_waiters();
    }

    /// The most bytes that were reserved at any time.
    pub fn peak(&self) -> usize {
        self.peak.get()
    }

    /// Reserves bytes if the limit allows it. The only reservation may exceed the limit: otherwise a low
    /// limit would let no long body pass.
    pub fn try_reserve(self: &Rc<Self>, bytes: usize) -> Option<BodyMemoryReservation> {
        let reserved = self.reserved.get() + bytes;
        if reserved > self.limit.get() && self.reserved.get() > 0 {
            return None;
        }
        self.reserved.set(reserved);
        self.peak.set(self.peak.get().max(reserved));
        Some(BodyMemoryReservation { limit: self.clone(), bytes })
    }

    /// Reserves bytes as soon as the limit allows it.
    pub async fn reserve(self: &Rc<Self>, bytes: usize) -> BodyMemoryReservation {
        loop {
            let released = self.released.notified();
            if let Some(reservation) = self.try_reserve(bytes) {
                return reservation;
            }
            released.await;
        }
    }
}

impl Drop for BodyMemoryReservation {
    fn drop(&mut self) {
        self.limit.reserved.set(self.limit.reserved.get() - self.bytes);
        self.limit.released.notify_waiters();
    }
}

#[cfg(test)]
mod tests;
