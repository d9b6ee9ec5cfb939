//! How many bytes of a connection may be read before their consumer asks for more.

use std::cell::{Cell, RefCell};
use std::task::{Context, Waker};
use tokio::sync::Notify;

/// The bytes that may still be read from a connection. Shared between the connection, which reads, and the
/// consumer of what was read, which has memory for it.
#[derive(Default)]
pub struct ReadAllowance {
    remaining: Cell<usize>,
    /// Whether a read found that nothing remains.
    exhausted: Cell<bool>,
    exhausted_notify: Notify,
    /// Wakes the task that reads.
    reader: RefCell<Option<Waker>>,
}

impl ReadAllowance {
    /// Creates an allowance.
    pub fn new(bytes: usize) -> ReadAllowance {
        ReadAllowance { remaining: Cell::new(bytes), ..ReadAllowance::default() }
    }

    /// Replaces what remains, and wakes the reader if it waits.
    pub fn set(&self, bytes: usize) {
        self.remaining.set(bytes);
        self.exhausted.set(false);
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    /// Allows more to be read if nothing remains.
    pub fn renew(&self, bytes: usize) {
        if self.remaining.get() == 0 {
            self.set(bytes);
        }
    }

    /// What remains. If that is nothing, notes that the reader waits and tells the consumer.
    pub fn poll_remaining(&self, cx: &Context<'_>) -> usize {
        if self.remaining.get() == 0 {
            *self.reader.borrow_mut() = Some(cx.waker().clone());
            if !self.exhausted.replace(true) {
                self.exhausted_notify.notify_one();
            }
        }
        self.remaining.get()
    }

    /// Whether the reader waits.
    pub fn is_exhausted(&self) -> bool {
        self.exhausted.get()
    }

    /// Resolves when the reader waits.
    pub async fn wait_until_exhausted(&self) {
        while !self.exhausted.get() {
            self.exhausted_notify.notified().await;
        }
    }

    /// Records that bytes were read.
    pub fn consume(&self, bytes: usize) {
        self.remaining.set(self.remaining.get().saturating_sub(bytes));
    }
}

#[cfg(test)]
mod tests;
