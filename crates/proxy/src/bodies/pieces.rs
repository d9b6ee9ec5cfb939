//! A buffered body that is passed on in pieces.

use crate::memory::{PIECE_BYTES, Reservation};
use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

/// The bytes of a body and the reservation of their memory, if they need one. The HTTP libraries copy what they
/// are given into their write buffers, so that a long body must not be given to them whole.
#[derive(Debug, Default)]
pub struct Pieces {
    bytes: Bytes,
    reservation: Option<Reservation>,
}

impl Pieces {
    /// Creates a body from its bytes and their reservation.
    pub fn new(bytes: Bytes, reservation: Option<Reservation>) -> Pieces {
        Pieces { bytes, reservation }
    }

    /// The number of bytes that were not passed on yet.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Takes the next piece. With the last one, the reservation is released.
    pub fn next_piece(&mut self) -> Option<Bytes> {
        let piece = self.bytes.split_to(self.bytes.len().min(PIECE_BYTES));
        if self.bytes.is_empty() {
            self.reservation = None;
        }
        (!piece.is_empty()).then_some(piece)
    }
}

impl From<Bytes> for Pieces {
    fn from(bytes: Bytes) -> Pieces {
        Pieces::new(bytes, None)
    }
}

impl MessageBody for Pieces {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.bytes.len() as u64)
    }

    fn poll_next(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Option<Result<Bytes, Infallible>>> {
        Poll::Ready(self.next_piece().map(Ok))
    }
}

#[cfg(test)]
mod tests;
