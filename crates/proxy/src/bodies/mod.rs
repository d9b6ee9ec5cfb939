//! Buffers request and response bodies, and streams those that are too long to be buffered whole, at the pace
//! of the slower side.
//!
//! Owns the buffers and the [`BodyMemoryLimit`] that bounds them all; the stages and the listener use it. It
//! knows nothing of requests, endpoints or clients.

mod buffered_body;
mod memory_limit;
mod request_body;
mod response_body;

pub use buffered_body::BufferedBody;
pub use memory_limit::{BodyMemoryLimit, BodyMemoryReservation};
pub use request_body::RequestBody;
pub use response_body::{BodySender, IncompleteResponse, ResponseBody, body_channel};

/// Bodies up to this length are buffered whole: a response is known to be complete before any of it is
/// forwarded, and a request can be sent again. Most bodies on the platform are not longer.
pub const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// The longest accepted body of a request or a response.
pub const MAX_BODY_BYTES: u64 = 32 << 20;
/// The most that a streamed body occupies in memory: what the HTTP library has read ahead, one chunk in each
/// queue, and what waits to be written.
pub const MAX_IN_TRANSIT_BYTES: usize = 256 * 1024;
