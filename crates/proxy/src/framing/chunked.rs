//! Finds the chunks, and the end, of a body in chunks (RFC 9112, section 7.1).

use super::overhead::check_overhead;
use super::{FramingError, Scanned};

/// The longest line of a chunk's size and extensions. No recipient needs extensions.
const MAX_SIZE_LINE_BYTES: usize = 4 * 1024;
/// The longest trailer section.
const MAX_TRAILER_BYTES: usize = 16 * 1024;
const HEX_RADIX: u64 = 16;

/// What the next byte belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The first digit of a size.
    FirstDigit,
    /// Another digit of a size, or what follows it.
    Digit,
    /// Whitespace behind a size.
    Whitespace,
    /// Extensions.
    Extension,
    /// The line feed of a size's line.
    SizeLineFeed,
    /// The bytes of a chunk.
    Data,
    /// The line end behind a chunk.
    DataCarriageReturn,
    DataLineFeed,
    /// The first byte of a trailer field, or the last line end.
    TrailerStart,
    /// The rest of a trailer field.
    Trailer,
    TrailerLineFeed,
    LastLineFeed,
    Complete,
}

/// Follows the chunks of one body.
#[derive(Clone, Debug)]
pub struct ChunkedScanner {
    state: State,
    /// The size of the current chunk, or what is left of it.
    left: u64,
    /// The bytes of the current size line, or of the trailer section.
    line_bytes: usize,
    /// The body's own bytes so far.
    body_bytes: u64,
    /// The bytes of sizes, extensions, trailers and line ends so far.
    overhead_bytes: u64,
}

impl ChunkedScanner {
    /// Creates a scanner at the first chunk.
    pub fn new() -> ChunkedScanner {
        ChunkedScanner { state: State::FirstDigit, left: 0, line_bytes: 0, body_bytes: 0, overhead_bytes: 0 }
    }

    /// Scans the next bytes, up to the end of the body if that is among them.
    ///
    /// # Errors
    /// The bytes are no body in chunks.
    pub fn scan(&mut self, bytes: &[u8]) -> Result<Scanned, FramingError> {
        let (mut at, mut body_bytes) = (0, 0);
        while at < bytes.len() && self.state != State::Complete {
            if self.state == State::Data {
                let data = self.left.min((bytes.len() - at) as u64);
                (at, self.left, body_bytes) = (at + data as usize, self.left - data, body_bytes + data);
                if self.left == 0 {
                    self.state = State::DataCarriageReturn;
                }
            } else {
                self.step(bytes[at])?;
                at += 1;
            }
        }
        self.body_bytes += body_bytes;
        self.overhead_bytes += at as u64 - body_bytes;
        check_overhead(self.overhead_bytes, self.body_bytes)?;
        Ok(Scanned { bytes: at, body_bytes, is_complete: self.state == State::Complete })
    }

    fn step(&mut self, byte: u8) -> Result<(), FramingError> {
        self.state = match self.state {
            State::FirstDigit => {
                (self.left, self.line_bytes) = (hex_digit(byte)?, 0);
                State::Digit
            }
            State::Digit => match self.after_size(byte) {
                Some(state) => state,
                None => {
                    let digit = hex_digit(byte)?;
                    let shifted = self.left.checked_mul(HEX_RADIX).ok_or(FramingError::ChunkSizeOverflow)?;
                    self.left = shifted + digit;
                    State::Digit
                }
            },
            State::Whitespace => self.after_size(byte).ok_or(FramingError::InvalidChunkSize)?,
            State::Extension => match byte {
                b'\r' => State::SizeLineFeed,
                0..=8 | 10..=31 | 127 => return Err(FramingError::InvalidChunkExtension),
                _ => State::Extension,
            },
            State::SizeLineFeed if byte != b'\n' => return Err(FramingError::InvalidChunkSize),
            State::SizeLineFeed if self.left > 0 => State::Data,
            State::SizeLineFeed => {
                self.line_bytes = 0;
                State::TrailerStart
            }
            State::DataCarriageReturn if byte == b'\r' => State::DataLineFeed,
            State::DataLineFeed if byte == b'\n' => State::FirstDigit,
            State::DataCarriageReturn | State::DataLineFeed => return Err(FramingError::InvalidChunkEnd),
            State::TrailerStart | State::Trailer => self.in_trailers(byte)?,
            State::TrailerLineFeed if byte == b'\n' => State::TrailerStart,
            State::LastLineFeed if byte == b'\n' => State::Complete,
            State::TrailerLineFeed | State::LastLineFeed => return Err(FramingError::InvalidTrailers),
            State::Data | State::Complete => self.state, // not stepped through
        };
        self.limit_line()
    }

    /// The state after a byte that ends the digits of a size; `None` if it does not.
    fn after_size(&self, byte: u8) -> Option<State> {
        match byte {
            b' ' | b'\t' => Some(State::Whitespace),
            b';' => Some(State::Extension),
            b'\r' => Some(State::SizeLineFeed),
            _ => None,
        }
    }

    fn in_trailers(&self, byte: u8) -> Result<State, FramingError> {
        match (self.state, byte) {
            (State::TrailerStart, b'\r') => Ok(State::LastLineFeed),
            (_, b'\r') => Ok(State::TrailerLineFeed),
            (_, 0..=8 | 10..=31 | 127) => Err(FramingError::InvalidTrailers),
            _ => Ok(State::Trailer),
        }
    }

    fn limit_line(&mut self) -> Result<(), FramingError> {
        self.line_bytes += 1;
        match self.state {
            State::Digit | State::Whitespace | State::Extension if self.line_bytes > MAX_SIZE_LINE_BYTES => {
                Err(FramingError::InvalidChunkExtension)
            }
            State::Trailer | State::TrailerStart if self.line_bytes > MAX_TRAILER_BYTES => {
                Err(FramingError::InvalidTrailers)
            }
            _ => Ok(()),
        }
    }
}

fn hex_digit(byte: u8) -> Result<u64, FramingError> {
    let digit = char::from(byte).to_digit(HEX_RADIX as u32);
    digit.map(u64::from).ok_or(FramingError::InvalidChunkSize)
}
