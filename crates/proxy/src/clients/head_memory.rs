//! The memory of a request head that is longer, or has more fields, than what its connection is charged for.

use crate::memory::{
    CHARGED_FIELDS, MemoryAccountant, Owner, PIECE_BYTES, PendingReservation, Priority, Reservation,
    field_table_bytes,
};
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
    /// The reservation of the tables of the head's fields.
    fields: RefCell<Option<Reservation>>,
    waiting_fields: RefCell<Option<PendingReservation>>,
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

    /// Reserves memory for the tables of a head with so many fields. Returns false if it has to wait for it.
    pub fn has_memory_for_fields(&self, memory: &Rc<MemoryAccountant>, fields: usize) -> bool {
        if fields <= CHARGED_FIELDS || self.fields.borrow().is_some() {
            return true;
        }
        let bytes = field_table_bytes(fields);
        if let Some(reservation) = memory.try_reserve(Owner::RequestHeads, bytes) {
            *self.fields.borrow_mut() = Some(reservation);
            return true;
        }
        if self.waiting_fields.borrow().is_none() {
            let priority = Priority { weight: 0.0, remaining_bytes: bytes as u64 };
            *self.waiting_fields.borrow_mut() = Some(memory.reserve(Owner::RequestHeads, bytes, priority));
        }
        false
    }

    /// Whether a whole head waits for the memory of its fields.
    pub fn holds_head(&self) -> bool {
        self.waiting_fields.borrow().is_some()
    }

    /// Waits for the memory of a head's fields, if it is waited for.
    pub fn poll_fields(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut waiting = self.waiting_fields.borrow_mut();
        if let Some(reserving) = &mut *waiting {
            let reservation = ready!(Pin::new(reserving).poll(cx));
            *waiting = None;
            *self.fields.borrow_mut() = Some(reservation);
        }
        Poll::Ready(())
    }

    /// Gives up a reservation that waits, since the head is complete.
    pub fn stop_waiting(&self) {
        self.waiting.take();
        self.waiting_fields.take();
    }

    /// Releases all memory, once the request has ended.
    pub fn release(&self) {
        self.stop_waiting();
        self.reserved.take();
        self.fields.take();
    }
}
