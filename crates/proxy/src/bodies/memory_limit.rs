//! The limit on the memory that all streamed bodies may hold together.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// The limit in bytes, and how many are reserved.
#[derive(Default)]
pub struct BodyMemoryLimit {
    most: Cell<usize>,
    held: Cell<usize>,
    /// The most that was ever held.
    peak: Cell<usize>,
    freed: Notify,
}

/// A part of the limit, reserved while this lives.
pub struct BodyMemoryReservation {
    budget: Rc<BodyMemoryLimit>,
    bytes: usize,
}

impl BodyMemoryLimit {
    /// Nothing is held.
    pub fn new(most: usize) -> BodyMemoryLimit {
        BodyMemoryLimit { most: Cell::new(most), ..BodyMemoryLimit::default() }
    }

    /// Another limit holds from now on. What is held stays.
    pub fn adopt(&self, most: usize) {
        self.most.set(most);
        self.freed.notify_waiters();
    }

    /// The most that was ever held.
    pub fn peak(&self) -> usize {
        self.peak.get()
    }

    /// Reserves so many bytes, if they are free. The first share is always had: a limit below it would let nothing pass.
    pub fn take(self: &Rc<Self>, bytes: usize) -> Option<BodyMemoryReservation> {
        let held = self.held.get() + bytes;
        if held > self.most.get() && self.held.get() > 0 {
            return None;
        }
        self.held.set(held);
        self.peak.set(self.peak.get().max(held));
        Some(BodyMemoryReservation { budget: self.clone(), bytes })
    }

    /// Reserves so many bytes as soon as they are free.
    pub async fn wait(self: &Rc<Self>, bytes: usize) -> BodyMemoryReservation {
        loop {
            let freed = self.freed.notified();
            if let Some(share) = self.take(bytes) {
                return share;
            }
            freed.await;
        }
    }
}

impl Drop for BodyMemoryReservation {
    fn drop(&mut self) {
        self.budget.held.set(self.budget.held.get() - self.bytes);
        self.budget.freed.notify_waiters();
    }
}

#[cfg(test)]
mod tests;
