//! Buffers request and response bodies, and streams those that are too long to be buffered whole, at the pace
//! of the slower side.
//!
//! Owns the buffers; the stages and the listener use it. Their memory is reserved with the
//! [`MemoryAccountant`](crate::memory::MemoryAccountant). It knows nothing of requests, endpoints or clients.

mod buffered_body;
mod pieces;
mod request_body;
mod request_clock;
mod response_body;

pub use buffered_body::BufferedBody;
pub use pieces::Pieces;
pub use request_body::{RequestBody, RequestBodyError};
pub use request_clock::RequestClock;
pub use response_body::{BodySender, IncompleteResponse, ResponseBody, body_channel};

use crate::memory::{IN_TRANSIT_BYTES, PIECE_BYTES};

/// Bodies up to this length are buffered whole: a response is known to be complete before any of it is
/// forwarded, and a request can be sent again. Most bodies on the platform are not longer.
pub const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// The longest accepted body of a request or a response.
pub const MAX_BODY_BYTES: u64 = 32 << 20;
/// The most memory of a streamed body: its buffered start, and what is in transit.
pub const STREAMED_BODY_MEMORY: usize = MAX_BUFFERED_BYTES + IN_TRANSIT_BYTES;
/// The memory of the libraries' buffers on both sides that remains in use after the last byte of a request was sent,
/// until the response has come.
pub const SENT_BODY_BUFFERS_BYTES: usize = 3 * PIECE_BYTES;
