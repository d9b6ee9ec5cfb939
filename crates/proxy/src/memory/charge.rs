//! Memory that is charged when something is opened or listed, without waiting for it.

use super::accountant::MemoryAccountant;
use super::{GROWN_BUFFERS_BYTES, USED_BUFFERS_BYTES};
use std::cell::Cell;
use std::rc::Rc;

/// Which side a connection belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionKind {
    /// A client's connection.
    Client,
    /// A connection to a backend.
    Backend,
}

/// The endpoints of a cluster, which are charged until this is dropped.
pub struct EndpointsCharge {
    accountant: Rc<MemoryAccountant>,
    endpoints: Cell<usize>,
}

impl EndpointsCharge {
    /// Creates a charge without endpoints.
    pub(super) fn new(accountant: Rc<MemoryAccountant>) -> EndpointsCharge {
        EndpointsCharge { accountant, endpoints: Cell::new(0) }
    }

    /// Sets the number of endpoints.
    pub fn set(&self, endpoints: usize) {
        let before = self.endpoints.replace(endpoints);
        self.accountant.change_endpoints(before, endpoints);
    }
}

impl Drop for EndpointsCharge {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// How much of the libraries' buffers a connection has used. They keep their capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BufferUse {
    /// Only short messages.
    Short,
    /// Messages that needed no reservation.
    Unreserved,
    /// Messages that needed a reservation.
    Reserved,
}

impl BufferUse {
    /// The memory that is not part of what a new connection is charged for, in bytes.
    fn bytes(self) -> usize {
        match self {
            BufferUse::Short => 0,
            BufferUse::Unreserved => USED_BUFFERS_BYTES,
            BufferUse::Reserved => GROWN_BUFFERS_BYTES,
        }
    }
}

/// An open connection, which is charged until this is dropped.
pub struct ConnectionCharge {
    accountant: Rc<MemoryAccountant>,
    kind: ConnectionKind,
    buffer_use: Cell<BufferUse>,
}

impl ConnectionCharge {
    /// Creates the charge of a connection that the accountant has counted.
    pub(super) fn new(accountant: Rc<MemoryAccountant>, kind: ConnectionKind) -> ConnectionCharge {
        ConnectionCharge { accountant, kind, buffer_use: Cell::new(BufferUse::Short) }
    }

    /// Charges the buffers' use if it is more than before. It is never refused.
    pub fn charge_buffers(&self, buffer_use: BufferUse) {
        if buffer_use > self.buffer_use.get() {
            self.set_buffer_use(buffer_use);
        }
    }

    /// Charges the use of buffers without a reservation, if there is memory for it.
    pub fn try_charge_buffers(&self) -> bool {
        let has_room = self.buffer_use.get() > BufferUse::Short
            || self.accountant.has_room_for_buffers(USED_BUFFERS_BYTES);
        if has_room {
            self.charge_buffers(BufferUse::Unreserved);
        }
        has_room
    }

    /// How much of the buffers the connection has used.
    pub fn buffer_use(&self) -> BufferUse {
        self.buffer_use.get()
    }

    fn set_buffer_use(&self, buffer_use: BufferUse) {
        let before = self.buffer_use.replace(buffer_use);
        self.accountant.change_buffers(before.bytes(), buffer_use.bytes());
    }
}

impl Drop for ConnectionCharge {
    fn drop(&mut self) {
        self.set_buffer_use(BufferUse::Short);
        self.accountant.connection_closed(self.kind);
    }
}
