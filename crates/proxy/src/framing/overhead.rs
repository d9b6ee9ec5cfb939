//! A limit on what a body in chunks has beside its own bytes.

use super::FramingError;

/// The bytes of sizes, extensions and trailers that any body may have.
const FIXED_BYTES: u64 = 64 * 1024;
/// The bytes beside each byte of the body. Chunks of one byte have five, and more with extensions.
const BYTES_PER_BODY_BYTE: u64 = 32;

/// Checks that a body has no more bytes of sizes, extensions and trailers than it can need.
///
/// # Errors
/// It has more.
pub fn check_overhead(overhead_bytes: u64, body_bytes: u64) -> Result<(), FramingError> {
    let limit = FIXED_BYTES + body_bytes.saturating_mul(BYTES_PER_BODY_BYTE);
    if overhead_bytes > limit { Err(FramingError::ExcessiveOverhead) } else { Ok(()) }
}
