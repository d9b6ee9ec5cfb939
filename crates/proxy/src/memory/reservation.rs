//! Memory that is reserved before bytes are read for it.

use super::accountant::MemoryAccountant;
use super::usage::Owner;
use std::cmp::Reverse;
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::sync::oneshot;

/// In which order reservations that wait are granted.
#[derive(Clone, Copy, Debug)]
pub struct Priority {
    /// The weight of the request; a larger one goes first.
    pub weight: f64,
    /// The bytes that are still to come; of the same weight, the request that ends first goes first.
    pub remaining_bytes: u64,
}

impl Priority {
    /// The place among the reservations that wait. The bits of numbers that are not negative have the same order as
    /// the numbers.
    pub(super) fn wait_key(self, sequence: u64) -> WaitKey {
        (Reverse(self.weight.max(0.0).to_bits()), self.remaining_bytes, sequence)
    }
}

/// The order of waiting reservations: by weight, then by remaining bytes, then by arrival.
pub(super) type WaitKey = (Reverse<u64>, u64, u64);

/// A number of reserved bytes, released when this is dropped.
pub struct Reservation {
    accountant: Rc<MemoryAccountant>,
    owner: Owner,
    bytes: usize,
}

impl Reservation {
    /// Creates a reservation of bytes that the accountant has counted.
    pub(super) fn new(accountant: Rc<MemoryAccountant>, owner: Owner, bytes: usize) -> Reservation {
        Reservation { accountant, owner, bytes }
    }

    /// The number of reserved bytes.
    #[cfg(test)]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Releases all but `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        let released = self.bytes.saturating_sub(bytes);
        if released > 0 {
            self.bytes = bytes;
            self.accountant.release(self.owner, released);
        }
    }

    /// Returns a part of the reservation as one of its own.
    pub fn split_off(&mut self, bytes: usize) -> Reservation {
        let part = bytes.min(self.bytes);
        self.bytes -= part;
        Reservation::new(self.accountant.clone(), self.owner, part)
    }

    /// Reserves more, up to `bytes` in all, if that is possible at once. Whoever holds memory must not wait for
    /// more of it.
    pub fn try_grow_to(&mut self, bytes: usize) -> bool {
        let missing = bytes.saturating_sub(self.bytes);
        if missing > 0 {
            let Some(mut more) = self.accountant.try_reserve(self.owner, missing) else { return false };
            self.bytes += std::mem::take(&mut more.bytes);
        }
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.accountant.release(self.owner, self.bytes);
        }
    }
}

impl fmt::Debug for Reservation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_struct("Reservation").field("owner", &self.owner).field("bytes", &self.bytes).finish()
    }
}

/// A reservation that is granted as soon as there is memory for it. Dropped before, it is given up.
pub struct PendingReservation {
    accountant: Rc<MemoryAccountant>,
    queue: usize,
    key: WaitKey,
    reservation: oneshot::Receiver<Reservation>,
}

impl PendingReservation {
    /// Creates the receiving end of a reservation that waits in a queue of the accountant.
    pub(super) fn new(
        accountant: Rc<MemoryAccountant>,
        queue: usize,
        key: WaitKey,
        reservation: oneshot::Receiver<Reservation>,
    ) -> PendingReservation {
        PendingReservation { accountant, queue, key, reservation }
    }
}

impl Future for PendingReservation {
    type Output = Reservation;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Reservation> {
        match Pin::new(&mut self.reservation).poll(cx) {
            Poll::Ready(Ok(reservation)) => Poll::Ready(reservation),
            // Unreachable: the sender is kept until the reservation is granted.
            Poll::Ready(Err(_)) | Poll::Pending => Poll::Pending,
        }
    }
}

impl Drop for PendingReservation {
    fn drop(&mut self) {
        self.accountant.give_up(self.queue, &self.key);
    }
}
