//! Splits the body of a discovery response into lines: empty ones, and JSON objects, each on a line of its own or
//! indented over several.
//!
//! [`super`] feeds it the chunks as they come. It looks at the form only as far as that tells where an object ends, or
//! that it never will: a malformed one is seen with the first byte that cannot belong to it, not when all that follows
//! has been read. It never interprets an object.

use bytes::{Bytes, BytesMut};

/// Largest object, in bytes, with the white space in it.
const LARGEST_OBJECT_BYTES: usize = 4 << 20;
/// Most objects and arrays within each other.
const DEEPEST_NESTING: usize = 16;

/// Why a response cannot be split further.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum LineError {
    /// Neither an object nor an empty line.
    #[error("a line that begins with {0:?} and not with an object")]
    NotAnObject(char),
    /// The object breaks off.
    #[error("an object that breaks off: {0:?} at byte {1} of it")]
    Malformed(char, usize),
    /// Something stands behind the object.
    #[error("a line that goes on with {0:?} behind its object")]
    TrailingData(char),
    /// No end of it.
    #[error("an object larger than {LARGEST_OBJECT_BYTES} bytes")]
    TooLarge,
    /// Too much nesting.
    #[error("an object nested more than {DEEPEST_NESTING} deep")]
    TooDeep,
    /// The answer has none.
    #[error("an answer without an object")]
    NoData,
    /// The answer ended within it.
    #[error("an answer that ends within an object")]
    Truncated,
}

/// A whole line, or several that are one object.
#[derive(Debug, PartialEq, Eq)]
pub enum Line {
    /// An empty one.
    Empty,
    /// An object, not yet read.
    Object(Bytes),
}

/// What came and is not yet split.
#[derive(Default)]
pub struct LineSplitter {
    buffer: BytesMut,
    /// So many bytes of it have been scanned.
    scanned: usize,
    /// The brackets that are open: `{` or `[`.
    open_brackets: Vec<u8>,
    /// The last byte that was not white space; none before an object.
    last_byte: Option<u8>,
    /// Within a string: whether the next byte is escaped.
    string: Option<Escape>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Escape {
    No,
    Next,
}

impl LineSplitter {
    /// Some more came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole line; none if it has not come yet.
    ///
    /// # Errors
    /// What came is no line; nothing behind it can be split.
    pub fn next(&mut self) -> Result<Option<Line>, LineError> {
        while let Some(&byte) = self.buffer.get(self.scanned) {
            self.scanned += 1;
            if self.scanned > LARGEST_OBJECT_BYTES {
                return Err(LineError::TooLarge);
            }
            if self.scan(byte)? {
                let line = self.buffer.split_to(self.scanned).freeze();
                self.scanned = 0;
                let empty = self.last_byte.take().is_none();
                return Ok(Some(if empty { Line::Empty } else { Line::Object(line) }));
            }
        }
        Ok(None)
    }

    /// What is left at the end of the response, if it is an object.
    ///
    /// # Errors
    /// It is none, or a part of one.
    pub fn finish(&mut self) -> Result<Option<Bytes>, LineError> {
        match self.last_byte.take() {
            None => Ok(None),
            Some(_) if self.open_brackets.is_empty() => Ok(Some(self.buffer.split().freeze())),
            Some(_) => Err(LineError::Truncated),
        }
    }

    /// Whether a line ends with this byte.
    fn scan(&mut self, byte: u8) -> Result<bool, LineError> {
        match self.string {
            Some(escape) => {
                self.scan_in_string(byte, escape)?;
                Ok(false)
            }
            None if byte.is_ascii_whitespace() => Ok(byte == b'\n' && self.open_brackets.is_empty()),
            None => {
                self.scan_token(byte)?;
                Ok(false)
            }
        }
    }

    fn scan_in_string(&mut self, byte: u8, escape: Escape) -> Result<(), LineError> {
        match escape {
            Escape::Next if byte >= b' ' => self.string = Some(Escape::No),
            _ if byte < b' ' => return Err(self.malformed(byte)), // above all a line's end
            _ if byte == b'\\' => self.string = Some(Escape::Next),
            _ if byte == b'"' => self.string = None,
            _ => {}
        }
        Ok(())
    }

    /// A byte outside of strings that is no white space.
    fn scan_token(&mut self, byte: u8) -> Result<(), LineError> {
        let shown = char::from(byte);
        match (byte, self.open_brackets.last(), self.last_byte) {
            (b'{', None, None) => self.open_brackets.push(byte),
            (_, None, None) => return Err(LineError::NotAnObject(shown)),
            (_, None, Some(_)) => return Err(LineError::TrailingData(shown)),
            (b'{' | b'[', Some(_), Some(b':' | b'[')) => self.open_brackets.push(byte),
            (b'{' | b'[', Some(b'['), Some(b',')) => self.open_brackets.push(byte),
            (b'"', Some(_), Some(b'{' | b'[' | b':' | b',')) => self.string = Some(Escape::No),
            (b'{' | b'[' | b'"', ..) => return Err(self.malformed(byte)),
            (b'}', Some(b'{'), _) | (b']', Some(b'['), _) => _ = self.open_brackets.pop(),
            (b'}' | b']', ..) => return Err(self.malformed(byte)),
            _ => {}
        }
        if self.open_brackets.len() > DEEPEST_NESTING {
            return Err(LineError::TooDeep);
        }
        self.last_byte = Some(byte);
        Ok(())
    }

    fn malformed(&self, byte: u8) -> LineError {
        LineError::Malformed(char::from(byte), self.scanned)
    }
}

#[cfg(test)]
mod tests;
