//! Bodies too long to be held whole: they pass through in parts, at the pace of the slower side.
//!
//! What is held of them is bounded by one [`Budget`]. Nothing here knows requests, backends or clients.

mod budget;
mod download;
mod gathered;
mod upload;

pub use budget::{Budget, Share};
pub use download::{Broken, Download, Feed, feed};
pub use gathered::Gathered;
pub use upload::Upload;

/// Bodies up to this length are held whole: an answer is known to be good before any of it goes on, and a request can
/// be sent again. The platform's usual bodies are no longer.
pub const SHORT: usize = 64 * 1024;
/// Longest body, either way.
pub const LONGEST: u64 = 32 << 20;
/// What a long body holds on its way at most: what the HTTP library has read ahead of it, a part in each queue, and
/// what waits to be written.
pub const ON_THE_WAY: usize = 256 * 1024;
