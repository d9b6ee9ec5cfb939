//! A request body that is streamed to an endpoint. Its start is buffered, so that a retry can send it again.

use super::{MAX_BODY_BYTES, Pieces, RequestClock, SENT_BODY_BUFFERS_BYTES};
use crate::framing::FramingError;
use crate::memory::{IN_TRANSIT_BYTES, PIECE_BYTES, ReadAllowance, Reservation};
use actix_http::body::{BodySize, MessageBody};
use actix_http::error::PayloadError;
use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::time::sleep_until;

/// Why a body can't be sent to its end.
#[derive(Debug, thiserror::Error)]
pub enum RequestBodyError {
    /// The client's body ended early, or its connection failed.
    #[error("request body is incomplete: {0}")]
    Incomplete(#[from] PayloadError),
    /// The body is longer than the limit.
    #[error("request body is longer than {MAX_BODY_BYTES} bytes")]
    TooLong,
    /// The body's bytes don't fit its framing.
    #[error("{0}")]
    Framing(#[from] FramingError),
    /// A part of the body is no longer buffered, since another attempt has received it.
    #[error("request body is no longer buffered")]
    Released,
}

type Source = Pin<Box<dyn Stream<Item = Result<Bytes, RequestBodyError>>>>;

/// A body whose start is buffered. It can be sent again until an attempt reads beyond the buffered start.
pub struct RequestBody {
    length: Option<u64>,
    buffered: RefCell<Vec<Bytes>>,
    source: RefCell<Source>,
    received_bytes: Cell<u64>,
    /// The number of the stream that reads beyond the buffered start.
    released_to: Cell<Option<u32>>,
    /// The number of streams that were created.
    streams: Cell<u32>,
    /// When the last byte was received.
    ended_at: Cell<Option<Instant>>,
    changed: Notify,
    /// When a chunk was last received or sent.
    last_progress: Cell<Instant>,
    clock: RequestClock,
    /// How much the client's connection may read.
    allowance: Rc<ReadAllowance>,
    reservation: RefCell<Reservation>,
}

/// The body as one attempt sends it.
pub struct RequestBodyStream {
    upload: Rc<RequestBody>,
    number: u32,
    sent: usize,
    /// Called when the last byte was sent.
    on_sent: Option<Box<dyn FnOnce()>>,
}

impl RequestBody {
    /// Creates a body from its start and the source of the rest, whose reads `allowance` permits. The length
    /// may be unknown. The reservation shrinks as soon as less memory is needed.
    pub fn new(
        length: Option<u64>,
        mut start: Pieces,
        source: impl Stream<Item = Result<Bytes, RequestBodyError>> + 'static,
        clock: RequestClock,
        allowance: Rc<ReadAllowance>,
        reservation: Reservation,
    ) -> RequestBody {
        let received_bytes = Cell::new(start.len() as u64);
        let buffered: Vec<Bytes> = std::iter::from_fn(|| start.next_piece()).collect();
        RequestBody {
            length,
            buffered: RefCell::new(buffered),
            source: RefCell::new(Box::pin(source)),
            received_bytes,
            released_to: Cell::default(),
            streams: Cell::default(),
            ended_at: Cell::new(None),
            changed: Notify::new(),
            last_progress: Cell::new(Instant::now()),
            clock,
            allowance,
            reservation: RefCell::new(reservation),
        }
    }

    /// Returns the body for one attempt, from its start. `on_sent` is called with the last byte.
    pub fn stream(self: &Rc<Self>, on_sent: impl FnOnce() + 'static) -> RequestBodyStream {
        let number = self.streams.replace(self.streams.get() + 1);
        RequestBodyStream { upload: self.clone(), number, sent: 0, on_sent: Some(Box::new(on_sent)) }
    }

    /// Whether a part of the body is no longer buffered, so that no other attempt can send it.
    pub fn is_released(&self) -> bool {
        self.released_to.get().is_some()
    }

    /// Resolves when a part of the body is no longer buffered.
    pub async fn wait_until_released(&self) {
        while !self.is_released() {
            self.changed.notified().await;
        }
    }

    /// Resolves when the last byte was received.
    pub async fn wait_for_end(&self) {
        while !self.is_complete() {
            self.changed.notified().await;
        }
    }

    /// When the time of the request is over.
    pub fn clock(&self) -> &RequestClock {
        &self.clock
    }

    /// When the last byte was received, which may be long after it arrived at this machine.
    pub fn ended_at(&self) -> Option<Instant> {
        self.ended_at.get()
    }

    /// Whether the last byte was received.
    pub fn is_complete(&self) -> bool {
        self.ended_at.get().is_some()
    }

    /// Resolves when nothing was received or sent for `timeout`. Never resolves once the body is complete.
    pub async fn wait_until_stalled(&self, timeout: Duration) {
        loop {
            let last_progress = self.last_progress.get();
            sleep_until((last_progress + timeout).into()).await;
            if self.is_complete() {
                std::future::pending::<()>().await;
            }
            if self.last_progress.get() == last_progress {
                return;
            }
        }
    }

    /// Lets the connection read the next piece, as all that it has read was passed on.
    fn allow_next_read(&self) {
        let left = self.length.map(|length| length.saturating_sub(self.received_bytes.get()));
        let piece = left.map_or(PIECE_BYTES, |left| PIECE_BYTES.min(left as usize));
        if piece > 0 {
            self.allowance.renew(piece);
        }
    }

    fn poll_source(
        &self,
        cx: &mut Context<'_>,
        number: u32,
    ) -> Poll<Option<Result<Bytes, RequestBodyError>>> {
        let polled = self.source.borrow_mut().poll_next_unpin(cx);
        if polled.is_pending() {
            self.allow_next_read();
        }
        let chunk = ready!(polled);
        self.last_progress.set(Instant::now());
        if self.released_to.replace(Some(number)).is_none() {
            self.buffered.take();
            self.reservation.borrow_mut().shrink_to(IN_TRANSIT_BYTES);
            self.changed.notify_waiters();
        }
        Poll::Ready(match chunk {
            Some(Ok(chunk)) => {
                self.received_bytes.set(self.received_bytes.get() + chunk.len() as u64);
                Some(if self.received_bytes.get() > MAX_BODY_BYTES {
                    Err(RequestBodyError::TooLong)
                } else {
                    Ok(chunk)
                })
            }
            Some(Err(e)) => Some(Err(e)),
            None => {
                self.ended_at.set(Some(self.ended_at.get().unwrap_or_else(Instant::now)));
                self.reservation.borrow_mut().shrink_to(SENT_BODY_BUFFERS_BYTES);
                self.changed.notify_waiters();
                None
            }
        })
    }
}

impl MessageBody for RequestBodyStream {
    type Error = RequestBodyError;

    fn size(&self) -> BodySize {
        self.upload.length.map_or(BodySize::Stream, BodySize::Sized)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, RequestBodyError>>> {
        // Without this check, two attempts of a hedged request would each send only some of the remaining
        // chunks.
        if self.upload.released_to.get().is_some_and(|number| number != self.number) {
            return Poll::Ready(Some(Err(RequestBodyError::Released)));
        }
        let buffered = self.upload.buffered.borrow().get(self.sent).cloned();
        if let Some(chunk) = buffered {
            self.sent += 1;
            self.upload.last_progress.set(Instant::now());
            return Poll::Ready(Some(Ok(chunk)));
        }
        let chunk = ready!(self.upload.poll_source(cx, self.number));
        if chunk.is_none() {
            self.on_sent.take().into_iter().for_each(|on_sent| on_sent());
        }
        Poll::Ready(chunk)
    }
}

#[cfg(test)]
mod tests;
