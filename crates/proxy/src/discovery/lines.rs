//! Tells apart what comes on a watch: empty lines, and objects, each on a line of its own or indented over several.
//!
//! It looks at the form only as far as that tells where an object ends, or that it never will: a torn one is seen
//! with the first byte that cannot belong to it, not when all that follows has been swallowed.

use bytes::{Bytes, BytesMut};

/// Largest object, with the white space in it.
const LARGEST: usize = 4 << 20;
/// Objects and lists within each other.
const DEEPEST: usize = 16;

/// Why what came is no line.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadLine {
    /// Neither an object nor an empty line.
    #[error("a line that begins with {0:?} and not with an object")]
    NoObject(char),
    /// The object breaks off.
    #[error("an object that breaks off: {0:?} at byte {1} of it")]
    Torn(char, usize),
    /// Something stands behind the object.
    #[error("a line that goes on with {0:?} behind its object")]
    Surplus(char),
    /// No end of it.
    #[error("an object larger than {LARGEST} bytes")]
    TooLarge,
    /// Too much nesting.
    #[error("an object nested more than {DEEPEST} deep")]
    TooDeep,
    /// The answer has none.
    #[error("an answer without an object")]
    Nothing,
    /// The answer ended within it.
    #[error("an answer that ends within an object")]
    Unfinished,
}

/// A whole line, or several that are one object.
#[derive(Debug, PartialEq, Eq)]
pub enum Line {
    /// An empty one.
    Empty,
    /// An object, not yet read.
    Object(Bytes),
}

/// What came and is not yet told apart.
#[derive(Default)]
pub struct Lines {
    held: BytesMut,
    /// So much of it has been looked at.
    looked: usize,
    /// What is open: `{` or `[`.
    open: Vec<u8>,
    /// The last byte that was not white space; none before an object.
    last: Option<u8>,
    string: Option<Escape>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Escape {
    No,
    Next,
}

impl Lines {
    /// Some more came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// The next whole line; none: there is no more yet.
    ///
    /// # Errors
    /// What came is no line; nothing behind it can be told apart.
    pub fn next(&mut self) -> Result<Option<Line>, BadLine> {
        while let Some(&byte) = self.held.get(self.looked) {
            self.looked += 1;
            if self.looked > LARGEST {
                return Err(BadLine::TooLarge);
            }
            if self.look(byte)? {
                let line = self.held.split_to(self.looked).freeze();
                self.looked = 0;
                let empty = self.last.take().is_none();
                return Ok(Some(if empty { Line::Empty } else { Line::Object(line) }));
            }
        }
        Ok(None)
    }

    /// The answer has ended: what is left, if it is an object.
    ///
    /// # Errors
    /// It is none, or a part of one.
    pub fn finish(&mut self) -> Result<Option<Bytes>, BadLine> {
        match self.last.take() {
            None => Ok(None),
            Some(_) if self.open.is_empty() => Ok(Some(self.held.split().freeze())),
            Some(_) => Err(BadLine::Unfinished),
        }
    }

    /// Whether a line ends with this byte.
    fn look(&mut self, byte: u8) -> Result<bool, BadLine> {
        let shown = char::from(byte);
        let torn = Err(BadLine::Torn(shown, self.looked));
        match self.string {
            Some(Escape::Next) if byte >= b' ' => self.string = Some(Escape::No),
            Some(_) if byte < b' ' => return torn, // above all a line's end
            Some(_) if byte == b'\\' => self.string = Some(Escape::Next),
            Some(_) if byte == b'"' => self.string = None,
            Some(_) => {}
            None if byte.is_ascii_whitespace() => return Ok(byte == b'\n' && self.open.is_empty()),
            None => {
                match (byte, self.open.last(), self.last) {
                    (b'{', None, None) => self.open.push(byte),
                    (_, None, None) => return Err(BadLine::NoObject(shown)),
                    (_, None, Some(_)) => return Err(BadLine::Surplus(shown)),
                    (b'{' | b'[', Some(_), Some(b':' | b'[')) => self.open.push(byte),
                    (b'{' | b'[', Some(b'['), Some(b',')) => self.open.push(byte),
                    (b'"', Some(_), Some(b'{' | b'[' | b':' | b',')) => self.string = Some(Escape::No),
                    (b'{' | b'[' | b'"', ..) => return torn,
                    (b'}', Some(b'{'), _) | (b']', Some(b'['), _) => _ = self.open.pop(),
                    (b'}' | b']', ..) => return torn,
                    _ => {}
                }
                if self.open.len() > DEEPEST {
                    return Err(BadLine::TooDeep);
                }
                self.last = Some(byte);
            }
        }
        Ok(false)
    }
}

#[cfg(test)]
mod tests;
