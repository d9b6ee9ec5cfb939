//! The memory of the process: who holds how much of it, and who has to wait.
//!
//! One [`MemoryAccountant`] per process knows the limit. Connections are charged when they are opened; every
//! buffer that exceeds what a connection is charged for is reserved before the bytes for it are read. What can't
//! be reserved is not read, so that flow control makes the peer wait. `docs/memory.md` explains the figures.
//!
//! What the libraries allocate is only estimated by these charges. So the accountant also asks the allocator what
//! is in use: whatever holds it, nothing new is let in while that exceeds the limit.
//!
//! This module does no I/O. It knows nothing of requests, endpoints or clients.

mod accountant;
mod charge;
mod gauges;
mod heap;
mod read_allowance;
mod reservation;
mod usage;

pub use accountant::MemoryAccountant;
pub use charge::{BufferUse, ConnectionCharge, ConnectionKind, EndpointsCharge};
pub use gauges::MemoryGauges;
pub use heap::allocated_bytes;
pub use read_allowance::ReadAllowance;
pub use reservation::{PendingReservation, Priority, Reservation};
pub use usage::{OWNERS, Owner};

/// The program's code and data in memory, in bytes. Processes that share a limit share these pages.
const PROGRAM_BYTES: usize = 6_500_000;
/// The memory of a process without connections and endpoints, in bytes.
const PROCESS_BYTES: usize = 2_000_000;
/// The memory of a process that the allocator doesn't count, such as stacks, in bytes.
const UNALLOCATED_BYTES: usize = 500_000;
/// The memory of a client connection with short requests and responses, in bytes.
const CLIENT_CONNECTION_BYTES: usize = 20 * 1024;
/// The memory of a connection to a backend with short requests and responses, in bytes.
const BACKEND_CONNECTION_BYTES: usize = 16 * 1024;
/// What the libraries' buffers on both sides of a request occupy in addition if a message is longer than
/// [`SHORT_MESSAGE_BYTES`], in bytes. They keep it.
const USED_BUFFERS_BYTES: usize = 64 * 1024;
/// The same if a message had more than [`UNRESERVED_BYTES`].
const GROWN_BUFFERS_BYTES: usize = 80 * 1024;
/// The memory of an endpoint in the tables of the proxy and of its balancer, in bytes.
const ENDPOINT_BYTES: usize = 2 * 1024;
/// The memory that a request without a long body needs until its response has begun, in bytes: the buffers of a
/// response that is not short.
pub const OPEN_REQUEST_BYTES: usize = USED_BUFFERS_BYTES;
/// The share of the memory beside the process that connections leave to open requests.
const OPEN_REQUEST_SHARE: f64 = 0.25;
/// The header fields of a message whose memory its connection is charged for.
pub const CHARGED_FIELDS: usize = 14;
/// The memory of one slot in a table of header fields, in bytes.
const FIELD_SLOT_BYTES: usize = 208;
/// The memory of a field's name, in bytes.
const FIELD_NAME_BYTES: usize = 48;
/// The tables of one request's fields: the one that was received, and the one that an attempt sends.
const FIELD_TABLES: usize = 2;
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

/// Returns the memory of a request's tables of header fields, of which there are more than [`CHARGED_FIELDS`]. The
/// libraries' hash tables double when seven eighths are in use.
pub fn field_table_bytes(fields: usize) -> usize {
    let slots = (fields * 8 / 7 + 1).next_power_of_two();
    FIELD_TABLES * (slots * FIELD_SLOT_BYTES + fields * FIELD_NAME_BYTES)
}

/// Returns how many clients can be connected at the same time under a limit, with a backend connection each and
/// without long bodies.
pub fn max_client_connections(limit: usize) -> usize {
    let usable = accountant::assignable_bytes(limit, 1).saturating_sub(PROGRAM_BYTES + PROCESS_BYTES);
    let for_connections = (usable as f64 * (1.0 - OPEN_REQUEST_SHARE)) as usize;
    for_connections / (CLIENT_CONNECTION_BYTES + BACKEND_CONNECTION_BYTES)
}
