//! A body that is collected in memory.

use bytes::{Bytes, BytesMut};

/// The chunks received so far. A body of one chunk, as most are, is not copied.
#[derive(Default)]
pub struct BufferedBody {
    first: Bytes,
    joined: BytesMut,
}

impl BufferedBody {
    /// Appends a chunk.
    pub fn push(&mut self, chunk: Bytes) {
        match (self.first.is_empty(), self.joined.is_empty()) {
            (true, true) => self.first = chunk,
            (_, true) => {
                self.joined.extend_from_slice(&std::mem::take(&mut self.first));
                self.joined.extend_from_slice(&chunk);
            }
            _ => self.joined.extend_from_slice(&chunk),
        }
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
