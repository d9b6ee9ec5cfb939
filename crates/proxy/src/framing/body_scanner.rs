//! Finds the end of a body among the bytes of its connection.

use super::chunked::ChunkedScanner;
use super::{BodyFraming, FramingError};

/// What was found among some bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scanned {
    /// How many of the bytes belong to the message.
    pub bytes: usize,
    /// How many of these are the body's own.
    pub body_bytes: u64,
    /// Whether the message ends with them.
    pub is_complete: bool,
}

/// Follows one body to its end.
#[derive(Clone, Debug)]
pub enum BodyScanner {
    /// A body of which this many bytes are still to come.
    Length(u64),
    /// A body in chunks.
    Chunked(ChunkedScanner),
    /// A body that ends with the connection.
    UntilClose,
}

impl BodyScanner {
    /// Creates the scanner of a body; `None` if there is no body.
    pub fn new(framing: BodyFraming) -> Option<BodyScanner> {
        match framing {
            BodyFraming::Empty => None,
            BodyFraming::Length(length) => Some(BodyScanner::Length(length)),
            BodyFraming::Chunked => Some(BodyScanner::Chunked(ChunkedScanner::new())),
            BodyFraming::UntilClose => Some(BodyScanner::UntilClose),
        }
    }

    /// Scans the next bytes, up to the end of the body if that is among them.
    ///
    /// # Errors
    /// The bytes do not fit the framing.
    pub fn scan(&mut self, bytes: &[u8]) -> Result<Scanned, FramingError> {
        match self {
            BodyScanner::Length(left) => {
                let taken = (*left).min(bytes.len() as u64);
                *left -= taken;
                Ok(Scanned { bytes: taken as usize, body_bytes: taken, is_complete: *left == 0 })
            }
            BodyScanner::Chunked(scanner) => scanner.scan(bytes),
            BodyScanner::UntilClose => {
                let length = bytes.len();
                Ok(Scanned { bytes: length, body_bytes: length as u64, is_complete: false })
            }
        }
    }
}
