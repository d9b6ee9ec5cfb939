//! Splits the body of a discovery response into lines: empty lines and JSON objects, each on a single line or
//! indented over several lines.
//!
//! [`super`] passes in the chunks of the body as they are received. The splitter checks the syntax only as
//! far as needed to find the end of an object. It reports a malformed object at the first unexpected byte,
//! without waiting for the rest of the body. It does not parse the objects.

use bytes::{Bytes, BytesMut};

/// Largest object, in bytes, including white space.
const MAX_OBJECT_BYTES: usize = 4 << 20;
/// Deepest nesting of objects and arrays.
const MAX_NESTING_DEPTH: usize = 16;

/// Why a response cannot be split further.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum LineError {
    /// A line is neither empty nor the start of an object.
    #[error("line starts with {0:?} instead of an object")]
    NotAnObject(char),
    /// An object contains an unexpected character, at this byte.
    #[error("malformed object: unexpected {0:?} at byte {1}")]
    Malformed(char, usize),
    /// A line contains more than its object.
    #[error("unexpected {0:?} after the object")]
    TrailingData(char),
    /// An object exceeds the size limit.
    #[error("object is larger than {MAX_OBJECT_BYTES} bytes")]
    TooLarge,
    /// An object exceeds the nesting limit.
    #[error("object is nested more than {MAX_NESTING_DEPTH} levels deep")]
    TooDeep,
    /// The response contains no object.
    #[error("response contains no object")]
    NoData,
    /// The response ended within an object.
    #[error("response ends within an object")]
    Truncated,
}

/// An empty line, or an object on one or more lines.
#[derive(Debug, PartialEq, Eq)]
pub enum Line {
    /// An empty line.
    Empty,
    /// The text of an object, not yet parsed.
    Object(Bytes),
}

/// Splits received bytes into lines.
#[derive(Default)]
pub struct LineSplitter {
    buffer: BytesMut,
    /// The number of bytes of `buffer` that have been scanned.
    scanned: usize,
    /// The brackets that are open, each `{` or `[`.
    open_brackets: Vec<u8>,
    /// The last byte of the current object that was not white space; `None` before an object.
    last_byte: Option<u8>,
    /// Whether the next byte is escaped; `None` outside of strings.
    string: Option<Escape>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Escape {
    No,
    Next,
}

impl LineSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete line, or `None` until it has been received.
    ///
    /// # Errors
    /// The line is malformed. Nothing after it can be split.
    pub fn next(&mut self) -> Result<Option<Line>, LineError> {
        while let Some(&byte) = self.buffer.get(self.scanned) {
            self.scanned += 1;
            if self.scanned > MAX_OBJECT_BYTES {
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

    /// Returns the object at the end of the response, which needs no line end, or `None` if nothing is left.
    ///
    /// # Errors
    /// The response ended within an object.
    pub fn finish(&mut self) -> Result<Option<Bytes>, LineError> {
        match self.last_byte.take() {
            None => Ok(None),
            Some(_) if self.open_brackets.is_empty() => Ok(Some(self.buffer.split().freeze())),
            Some(_) => Err(LineError::Truncated),
        }
    }

    /// Scans a byte and returns whether it ends a line.
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
            _ if byte < b' ' => return Err(self.malformed(byte)), // in particular a line feed
            _ if byte == b'\\' => self.string = Some(Escape::Next),
            _ if byte == b'"' => self.string = None,
            _ => {}
        }
        Ok(())
    }

    /// Scans a byte outside of strings that is not white space.
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
        if self.open_brackets.len() > MAX_NESTING_DEPTH {
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
