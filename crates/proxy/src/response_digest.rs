//! Recognises a response that has the same bytes as another one.

use crate::bodies::MAX_BUFFERED_BYTES;
use std::fmt;
use xxhash_rust::xxh3::Xxh3;

/// Longer responses have no digest: they are forwarded before their end is received.
const MAX_DIGESTED_BYTES: usize = MAX_BUFFERED_BYTES;

/// The length and the hash of a whole response, head included. Two digests are equal if the responses are, and
/// hardly ever otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseDigest {
    length: usize,
    hash: u64,
}

impl ResponseDigest {
    /// The length of the response in bytes.
    pub fn length(self) -> usize {
        self.length
    }
}

/// The part of a response that has been received.
#[derive(Default)]
pub struct DigestBuilder {
    length: usize,
    hasher: Box<Xxh3>,
}

impl fmt::Debug for DigestBuilder {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_struct("DigestBuilder").field("length", &self.length).finish_non_exhaustive()
    }
}

impl DigestBuilder {
    /// Adds the next bytes of the response.
    pub fn push(&mut self, bytes: &[u8]) {
        self.length += bytes.len();
        if self.length <= MAX_DIGESTED_BYTES {
            self.hasher.update(bytes);
        }
    }

    /// Begins another response.
    pub fn reset(&mut self) {
        self.length = 0;
        self.hasher.reset();
    }

    /// The number of bytes so far.
    pub fn length(&self) -> usize {
        self.length
    }

    /// The digest of the bytes so far, or `None` if there are too many.
    pub fn digest(&self) -> Option<ResponseDigest> {
        let is_short = self.length <= MAX_DIGESTED_BYTES;
        is_short.then(|| ResponseDigest { length: self.length, hash: self.hasher.digest() })
    }
}

#[cfg(test)]
mod tests;
