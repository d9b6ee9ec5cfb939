//! A response body that is streamed to its client: a bounded channel between the attempt and the listener.

use super::Pieces;
use crate::memory::{IN_TRANSIT_BYTES, Reservation};
use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use std::any::Any;
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::sync::mpsc;

/// The number of chunks that may wait for the client. A chunk is the result of one read.
const MAX_QUEUED_CHUNKS: usize = 4;
/// The number of chunks that may wait if no memory is reserved for them. A connection has memory for one.
const MAX_QUEUED_CHUNKS_UNRESERVED: usize = 1;

/// The endpoint's response ended early. The error ends the client's connection, so that the client notices
/// it.
#[derive(Debug, thiserror::Error)]
#[error("response from the endpoint is incomplete")]
pub struct IncompleteResponse;

enum Chunk {
    Bytes(Bytes),
    End,
}

/// The receiving end, which the listener reads for the client.
pub struct ResponseBody {
    length: Option<u64>,
    /// The start of the body, which was received before the rest was streamed.
    start: Pieces,
    chunks: mpsc::Receiver<Chunk>,
    reservation: Option<Reservation>,
    /// Dropped together with the body.
    kept_values: Vec<Box<dyn Any>>,
    /// Called once with whether the whole body was read.
    on_end: Option<Box<dyn FnOnce(bool)>>,
}

/// The sending end, which the attempt owns.
pub struct BodySender {
    chunks: mpsc::Sender<Chunk>,
}

/// Creates both ends of a response body, whose length may be unknown, with its start and the reservation of its
/// memory. Without one, a connection's own memory has to do, and the body is passed on a chunk at a time.
pub fn body_channel(
    length: Option<u64>,
    start: Pieces,
    reservation: Option<Reservation>,
) -> (BodySender, ResponseBody) {
    let queued = if reservation.is_some() { MAX_QUEUED_CHUNKS } else { MAX_QUEUED_CHUNKS_UNRESERVED };
    let (sender, chunks) = mpsc::channel(queued);
    let body = ResponseBody { length, start, chunks, reservation, kept_values: Vec::new(), on_end: None };
    (BodySender { chunks: sender }, body)
}

impl BodySender {
    /// Sends a chunk once the queue has room for it. Returns false if the receiving end was dropped.
    pub async fn send(&self, bytes: Bytes) -> bool {
        bytes.is_empty() || self.chunks.send(Chunk::Bytes(bytes)).await.is_ok()
    }

    /// Marks the body as complete. If the sender is dropped without this call, the reader gets
    /// [`IncompleteResponse`].
    pub async fn finish(&self) -> bool {
        self.chunks.send(Chunk::End).await.is_ok()
    }

    /// Resolves when the receiving end was dropped.
    pub async fn wait_until_reader_dropped(&self) {
        self.chunks.closed().await;
    }
}

impl ResponseBody {
    /// Whether memory is reserved for the body.
    pub fn has_reservation(&self) -> bool {
        self.reservation.is_some()
    }

    /// Keeps `value` until the body is dropped.
    pub fn keep(&mut self, value: impl Any) {
        self.kept_values.push(Box::new(value));
    }

    /// Sets the callback for the end of the body. Its argument is true if the whole body was read.
    pub fn when_ended(&mut self, on_end: impl FnOnce(bool) + 'static) {
        self.on_end = Some(Box::new(on_end));
    }

    fn notify_end(&mut self, complete: bool) {
        self.on_end.take().into_iter().for_each(|on_end| on_end(complete));
    }
}

impl MessageBody for ResponseBody {
    type Error = IncompleteResponse;

    fn size(&self) -> BodySize {
        self.length.map_or(BodySize::Stream, BodySize::Sized)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, IncompleteResponse>>> {
        if let Some(piece) = self.start.next_piece() {
            return Poll::Ready(Some(Ok(piece)));
        }
        if let Some(reservation) = &mut self.reservation {
            reservation.shrink_to(IN_TRANSIT_BYTES);
        }
        match ready!(self.chunks.poll_recv(cx)) {
            Some(Chunk::Bytes(bytes)) => Poll::Ready(Some(Ok(bytes))),
            Some(Chunk::End) => {
                self.notify_end(true);
                Poll::Ready(None)
            }
            None => {
                self.notify_end(false);
                Poll::Ready(Some(Err(IncompleteResponse)))
            }
        }
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        self.notify_end(false);
        // What was kept last is dropped first: a connection is charged for its buffers before their reservation ends.
        while let Some(last) = self.kept_values.pop() {
            drop(last);
        }
    }
}

impl fmt::Debug for ResponseBody {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_struct("ResponseBody").field("length", &self.length).finish_non_exhaustive()
    }
}

#[cfg(test)]
mod tests;
