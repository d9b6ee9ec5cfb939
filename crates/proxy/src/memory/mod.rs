//! The memory of the process: who holds how much of it, and who has to wait.
//!
//! One [`MemoryAccountant`] per process knows the limit. Connections are charged when they are opened; every
//! buffer that exceeds what a connection is charged for is reserved before the bytes for it are read. What can't
//! be reserved is not read, so that flow control makes the peer wait. `docs/memory.md` explains the figures.
//!
//! This module does no I/O. It knows nothing of requests, endpoints or clients.

mod accountant;
mod charge;
mod gauges;
mod read_allowance;
mod reservation;
mod usage;

pub use accountant::MemoryAccountant;
pub use charge::{BufferUse, ConnectionCharge, ConnectionKind, EndpointsCharge};
pub use gauges::MemoryGauges;
pub use read_allowance::ReadAllowance;
pub use reservation::{PendingReservation, Priority, Reservation};
pub use usage::{OWNERS, Owner};

/// The program's code and data in memory, in bytes. Processes that share a limit share these pages.
const PROGRAM_BYTES: usize = 6_500_000;
/// The memory of a process without connections and endpoints, in bytes.
const PROCESS_BYTES: usize = 2_000_000;
/// The memory of a client connection with short requests and responses, in bytes.
const CLIENT_CONNECTION_BYTES: usize = 20 * 1024;
/// The memory of a connection to a backend with short requests and responses, in bytes.
const BACKEND_CONNECTION_BYTES: usize = 16 * 1024;
/// What the libraries' buffers on both sides of a request occupy in addition if a message is longer than
/// [`SHORT_MESSAGE_BYTES`], in bytes. They keep it.
const USED_BUFFERS_BYTES: usize = 28 * 1024;
/// The same if a message had more than [`UNRESERVED_BYTES`].
const GROWN_BUFFERS_BYTES: usize = 80 * 1024;
/// The memory of an endpoint in the tables of the proxy and of its balancer, in bytes.
const ENDPOINT_BYTES: usize = 2 * 1024;
/// The share of the memory that is never assigned. The allocator needs it for fragmentation and for pages that
/// it keeps.
const ALLOCATOR_SHARE: f64 = 0.1;

/// The bytes of one message that fit into what a new connection is charged for.
pub const SHORT_MESSAGE_BYTES: usize = 2 * 1024;
/// The bytes of one message that a connection may hold without a reservation.
pub const UNRESERVED_BYTES: usize = 8 * 1024;
/// The most bytes that are read at once for a body, and that are passed on at once.
pub const PIECE_BYTES: usize = 32 * 1024;
/// The most memory that a body occupies on its way, besides its buffered start: a piece in the read buffer and
/// one in the write buffer, whose capacities may be twice their content.
pub const IN_TRANSIT_BYTES: usize = 4 * PIECE_BYTES;

/// Returns how many clients can be connected at the same time under a limit, with a backend connection each and
/// without long bodies.
pub fn max_client_connections(limit: usize) -> usize {
    let usable = accountant::assignable_bytes(limit, 1).saturating_sub(PROGRAM_BYTES + PROCESS_BYTES);
    usable / (CLIENT_CONNECTION_BYTES + BACKEND_CONNECTION_BYTES)
}
