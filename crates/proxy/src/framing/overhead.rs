//! A limit on what a body in chunks has beside its own bytes.

use super::FramingError;

/// The bytes of sizes, extensions and trailers that any body may have.
const FIXED_BYTES: u64 = 64 * 1024;
/// The bytes beside each byte of the body. Chunks of one byte have five.
const BYTES_PER_BODY_BYTE: u64 = 8;

/// Compares what was read for a body with what the body has received.
#[derive(Clone, Copy, Debug, Default)]
pub struct OverheadLimit {
    read_bytes: u64,
}

impl OverheadLimit {
    /// Records that up to `bytes` more are read for a body that has `body_bytes` so far.
    ///
    /// # Errors
    /// More was read than a body of this length can need.
    pub fn on_read(&mut self, bytes: usize, body_bytes: u64) -> Result<(), FramingError> {
        let limit = FIXED_BYTES + body_bytes + body_bytes * BYTES_PER_BODY_BYTE;
        if self.read_bytes > limit {
            return Err(FramingError::ExcessiveOverhead);
        }
        self.read_bytes += bytes as u64;
        Ok(())
    }
}
