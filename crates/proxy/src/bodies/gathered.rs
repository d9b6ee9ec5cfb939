//! The parts of a body, put together.

use bytes::{Bytes, BytesMut};

/// What has come so far. A body in one piece, as most are, is kept as the very bytes that came.
#[derive(Default)]
pub struct Gathered {
    first: Bytes,
    whole: BytesMut,
}

impl Gathered {
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
mod tests {
    use super::*;

    #[test]
    fn parts_are_put_together_and_a_single_one_is_kept_as_it_is() {
        let one = Bytes::from(vec![b'a'; 9]);
        let mut gathered = Gathered::default();
        gathered.push(one.clone());
        assert_eq!(gathered.bytes().as_ptr(), one.as_ptr());
        let mut gathered = Gathered::default();
        ["", "ab", "", "c", "de"].iter().for_each(|part| gathered.push(Bytes::from_static(part.as_bytes())));
        assert_eq!((gathered.len(), gathered.bytes()), (5, Bytes::from_static(b"abcde")));
    }
}
