//! A body that is collected in memory.

use bytes::{Bytes, BytesMut};

/// The chunks received so far. A body of one chunk, as most are, is not copied.
#[derive(Default)]
pub struct BufferedBody {
    first: Bytes,
    joined: BytesMut,
    /// The capacity that is allocated for several chunks.
    expected_bytes: usize,
}

impl BufferedBody {
    /// Sets the length that the body will have if it has several chunks. Its memory is then allocated once.
    pub fn expect_bytes(&mut self, expected_bytes: usize) {
        self.expected_bytes = expected_bytes;
    }

    /// Appends a chunk.
    pub fn push(&mut self, chunk: Bytes) {
        if self.joined.is_empty() && self.first.is_empty() {
            self.first = chunk;
            return;
        }
        if self.joined.is_empty() {
            let first = std::mem::take(&mut self.first);
            self.joined.reserve(self.expected_bytes.max(first.len() + chunk.len()));
            self.joined.extend_from_slice(&first);
        }
        self.joined.extend_from_slice(&chunk);
    }

    /// The number of bytes received so far.
    pub fn len(&self) -> usize {
        self.first.len() + self.joined.len()
    }

    /// Returns the bytes of all chunks.
    pub fn bytes(self) -> Bytes {
        if self.joined.is_empty() { self.first } else { self.joined.freeze() }
    }
}

#[cfg(test)]
mod tests;
