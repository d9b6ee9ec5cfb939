//! The parts of a body, joined in memory.

use bytes::{Bytes, BytesMut};

/// What has come so far. A body in one piece, as most are, is kept as the very bytes that came.
#[derive(Default)]
pub struct BufferedBody {
    first: Bytes,
    whole: BytesMut,
}

impl BufferedBody {
    /// One more part.
    pub fn push(&mut self, part: Bytes) {
        match (self.first.is_empty(), self.whole.is_empty()) {
            (true, true) => self.first = part,
            (_, true) => {
                self.whole.extend_from_slice(&std::mem::take(&mut self.first));
                self.whole.extend_from_slice(&part);
            }
            _ => self.whole.extend_from_slice(&part),
        }
    }

    /// Bytes so far.
    pub fn len(&self) -> usize {
        self.first.len() + self.whole.len()
    }

    /// All of them.
    pub fn bytes(self) -> Bytes {
        if self.whole.is_empty() { self.first } else { self.whole.freeze() }
    }
}

#[cfg(test)]
mod tests;
