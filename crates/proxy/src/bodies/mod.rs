//! Bodies too long to be buffered whole: they are streamed in parts, at the pace of the slower side.
//!
//! Owns the buffers of request and response bodies and the one [`BodyMemoryLimit`] that bounds them; the stages and the
//! listener use it. It never looks at requests, endpoints or clients.

mod buffered_body;
mod memory_limit;
mod request_body;
mod response_body;

pub use buffered_body::BufferedBody;
pub use memory_limit::{BodyMemoryLimit, BodyMemoryReservation};
pub use request_body::RequestBody;
pub use response_body::{BodySender, Broken, ResponseBody, feed};

/// Bodies up to this length are held whole: an answer is known to be good before any of it goes on, and a request can
/// be sent again. The platform's usual bodies are no longer.
pub const SHORT: usize = 64 * 1024;
/// Longest body, either way.
pub const LONGEST: u64 = 32 << 20;
/// What a long body holds on its way at most: what the HTTP library has read ahead of it, a part in each queue, and
/// what waits to be written.
pub const ON_THE_WAY: usize = 256 * 1024;
