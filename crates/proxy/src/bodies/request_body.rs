//! A request body that is streamed to an endpoint, with the buffered beginning that a retry can send again.

use super::LONGEST;
use super::memory_limit::BodyMemoryReservation;
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

/// Why a body does not go on to its end.
#[derive(Debug, thiserror::Error)]
pub enum RequestBodyError {
    /// Its client broke off.
    #[error("the client's body broke off: {0}")]
    Broken(#[from] PayloadError),
    /// It is longer than any may be.
    #[error("the client's body is longer than {LONGEST} bytes")]
    TooLong,
    /// Some of it was sent elsewhere and let go.
    #[error("the client's body is not held any more")]
    Released,
}

type Source = Pin<Box<dyn Stream<Item = Result<Bytes, PayloadError>>>>;

/// A body of which the beginning is held, so that it can be sent again until more than that was asked for.
pub struct RequestBody {
    length: Option<u64>,
    held: RefCell<Vec<Bytes>>,
    source: RefCell<Source>,
    /// Bytes that came so far.
    came: Cell<u64>,
    /// Which of its bodies has what is not held any more.
    released_to: Cell<Option<u32>>,
    /// How many bodies there were.
    bodies: Cell<u32>,
    /// When its last byte came.
    ended: Cell<Option<Instant>>,
    changed: Notify,
    /// When some of it came last, or went on.
    moved: Cell<Instant>,
    /// How long its client waits once it is whole.
    patience: Duration,
    _share: BodyMemoryReservation,
}

/// The body of one attempt.
pub struct RequestBodyStream {
    upload: Rc<RequestBody>,
    number: u32,
    sent: usize,
    /// Called when the last byte has gone.
    written: Option<Box<dyn FnOnce()>>,
}

impl RequestBody {
    /// `held` came already, the rest is to come; the length may be known.
    pub fn new(
        length: Option<u64>,
        held: Vec<Bytes>,
        source: impl Stream<Item = Result<Bytes, PayloadError>> + 'static,
        patience: Duration,
        share: BodyMemoryReservation,
    ) -> RequestBody {
        let came = Cell::new(held.iter().map(|part| part.len() as u64).sum());
        RequestBody {
            length,
            held: RefCell::new(held),
            source: RefCell::new(Box::pin(source)),
            came,
            released_to: Cell::default(),
            bodies: Cell::default(),
            ended: Cell::new(None),
            changed: Notify::new(),
            moved: Cell::new(Instant::now()),
            patience,
            _share: share,
        }
    }

    /// The body for one attempt, from its beginning. `written` is called with its last byte.
    pub fn body(self: &Rc<Self>, written: impl FnOnce() + 'static) -> RequestBodyStream {
        let number = self.bodies.replace(self.bodies.get() + 1);
        RequestBodyStream { upload: self.clone(), number, sent: 0, written: Some(Box::new(written)) }
    }

    /// Whether some of it is not buffered any more, so that no other attempt can have it.
    pub fn is_released(&self) -> bool {
        self.released_to.get().is_some()
    }

    /// Resolves when some of it is not held any more.
    pub async fn released(&self) {
        while !self.is_released() {
            self.changed.notified().await;
        }
    }

    /// Resolves when its last byte has come, with the time when its client stops waiting.
    pub async fn ends(&self) -> Instant {
        loop {
            if let Some(at) = self.ended.get() {
                return at + self.patience;
            }
            self.changed.notified().await;
        }
    }

    /// When its last byte came.
    pub fn ended_at(&self) -> Option<Instant> {
        self.ended.get()
    }

    /// Whether its last byte has come.
    pub fn is_whole(&self) -> bool {
        self.ended.get().is_some()
    }

    /// Resolves when nothing of it has moved for so long, before its last byte came; at once it never does.
    pub async fn stalled(&self, still: Duration) {
        loop {
            let moved = self.moved.get();
            sleep_until((moved + still).into()).await;
            if self.is_whole() {
                std::future::pending::<()>().await;
            }
            if self.moved.get() == moved {
                return;
            }
        }
    }

    fn poll_source(
        &self,
        cx: &mut Context<'_>,
        number: u32,
    ) -> Poll<Option<Result<Bytes, RequestBodyError>>> {
        let part = ready!(self.source.borrow_mut().poll_next_unpin(cx));
        self.moved.set(Instant::now());
        if self.released_to.replace(Some(number)).is_none() {
            self.held.take();
            self.changed.notify_waiters();
        }
        Poll::Ready(match part {
            Some(Ok(part)) => {
                self.came.set(self.came.get() + part.len() as u64);
                Some(if self.came.get() > LONGEST { Err(RequestBodyError::TooLong) } else { Ok(part) })
            }
            Some(Err(e)) => Some(Err(e.into())),
            None => {
                self.ended.set(Some(self.ended.get().unwrap_or_else(Instant::now)));
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
        // Danger: where two copies may be out, both would go on with parts of the rest.
        if self.upload.released_to.get().is_some_and(|number| number != self.number) {
            return Poll::Ready(Some(Err(RequestBodyError::Released)));
        }
        let held = self.upload.held.borrow().get(self.sent).cloned();
        if let Some(part) = held {
            self.sent += 1;
            self.upload.moved.set(Instant::now());
            return Poll::Ready(Some(Ok(part)));
        }
        let part = ready!(self.upload.poll_source(cx, self.number));
        if part.is_none() {
            self.written.take().into_iter().for_each(|written| written());
        }
        Poll::Ready(part)
    }
}

#[cfg(test)]
mod tests;
