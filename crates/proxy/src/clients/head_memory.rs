//! The memory of a request head that is longer than what its connection may hold without a reservation.

use crate::memory::{MemoryAccountant, Owner, PIECE_BYTES, PendingReservation, Priority, Reservation};
use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

/// The memory for [`PIECE_BYTES`] more of a head. The library's buffer doubles when it is full.
const PIECE_MEMORY: usize = 2 * PIECE_BYTES;

/// The reservations of one head. A head that waits for memory holds back no body: it is let go when its time is up.
#[derive(Default)]
pub struct HeadMemory {
    reserved: RefCell<Vec<Reservation>>,
    waiting: RefCell<Option<PendingReservation>>,
}

impl HeadMemory {
    /// Reserves memory for the next piece, and returns how many bytes may be read.
    pub fn poll_piece(&self, memory: &Rc<MemoryAccountant>, cx: &mut Context<'_>) -> Poll<usize> {
        let priority = Priority { weight: 0.0, remaining_bytes: PIECE_BYTES as u64 };
        let mut waiting = self.waiting.borrow_mut();
        let reserving =
            waiting.get_or_insert_with(|| memory.reserve(Owner::RequestHeads, PIECE_MEMORY, priority));
        let reservation = ready!(Pin::new(reserving).poll(cx));
        *waiting = None;
        self.reserved.borrow_mut().push(reservation);
        Poll::Ready(PIECE_BYTES)
    }

    /// Gives up a reservation that waits, since the head is complete.
    pub fn stop_waiting(&self) {
        self.waiting.take();
    }

    /// Releases all memory, once the request has ended.
    pub fn release(&self) {
        self.stop_waiting();
        self.reserved.take();
    }
}
