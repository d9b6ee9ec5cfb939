//! A long request body on its way to a backend.

use super::LONGEST;
use super::budget::Share;
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
pub enum UploadError {
    /// Its client broke off.
    #[error("the client's body broke off: {0}")]
    Broken(#[from] PayloadError),
    /// It is longer than any may be.
    #[error("the client's body is longer than {LONGEST} bytes")]
    TooLong,
    /// Some of it was sent elsewhere and let go.
    #[error("the client's body is not held any more")]
    LetGo,
}

type Source = Pin<Box<dyn Stream<Item = Result<Bytes, PayloadError>>>>;

/// A body of which the beginning is held, so that it can be sent again until more than that was asked for.
pub struct Upload {
    length: Option<u64>,
    held: RefCell<Vec<Bytes>>,
    source: RefCell<Source>,
    /// Bytes that came so far.
    came: Cell<u64>,
    /// Which of its bodies has what is not held any more.
    let_go: Cell<Option<u32>>,
    /// How many bodies there were.
    bodies: Cell<u32>,
    /// When its last byte came.
    ended: Cell<Option<Instant>>,
    changed: Notify,
    /// When some of it came last, or went on.
    moved: Cell<Instant>,
    /// How long its client waits once it is whole.
    patience: Duration,
    _share: Share,
}

/// The body of one attempt.
pub struct UploadBody {
    upload: Rc<Upload>,
    number: u32,
    sent: usize,
    /// Called when the last byte has gone.
    written: Option<Box<dyn FnOnce()>>,
}

impl Upload {
    /// `held` came already, the rest is to come; the length may be known.
    pub fn new(
        length: Option<u64>,
        held: Vec<Bytes>,
        source: impl Stream<Item = Result<Bytes, PayloadError>> + 'static,
        patience: Duration,
        share: Share,
    ) -> Upload {
        let came = Cell::new(held.iter().map(|part| part.len() as u64).sum());
        Upload {
            length,
            held: RefCell::new(held),
            source: RefCell::new(Box::pin(source)),
            came,
            let_go: Cell::default(),
            bodies: Cell::default(),
            ended: Cell::new(None),
            changed: Notify::new(),
            moved: Cell::new(Instant::now()),
            patience,
            _share: share,
        }
    }

    /// The body for one attempt, from its beginning. `written` is called with its last byte.
    pub fn body(self: &Rc<Self>, written: impl FnOnce() + 'static) -> UploadBody {
        let number = self.bodies.replace(self.bodies.get() + 1);
        UploadBody { upload: self.clone(), number, sent: 0, written: Some(Box::new(written)) }
    }

    /// Whether some of it is not held any more, so that no other attempt can have it.
    pub fn is_let_go(&self) -> bool {
        self.let_go.get().is_some()
    }

    /// Resolves when some of it is not held any more.
    pub async fn lets_go(&self) {
        while !self.is_let_go() {
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
    pub async fn stands_still(&self, still: Duration) {
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

    fn poll_source(&self, cx: &mut Context<'_>, number: u32) -> Poll<Option<Result<Bytes, UploadError>>> {
        let part = ready!(self.source.borrow_mut().poll_next_unpin(cx));
        self.moved.set(Instant::now());
        if self.let_go.replace(Some(number)).is_none() {
            self.held.take();
            self.changed.notify_waiters();
        }
        Poll::Ready(match part {
            Some(Ok(part)) => {
                self.came.set(self.came.get() + part.len() as u64);
                Some(if self.came.get() > LONGEST { Err(UploadError::TooLong) } else { Ok(part) })
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

impl MessageBody for UploadBody {
    type Error = UploadError;

    fn size(&self) -> BodySize {
        self.upload.length.map_or(BodySize::Stream, BodySize::Sized)
    }

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, UploadError>>> {
        // Danger: where two copies may be out, both would go on with parts of the rest.
        if self.upload.let_go.get().is_some_and(|number| number != self.number) {
            return Poll::Ready(Some(Err(UploadError::LetGo)));
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
mod tests {
    use super::*;
    use crate::bodies::Budget;
    use futures_util::{FutureExt, stream};
    use std::future::poll_fn;

    fn upload(parts: &'static [&'static str]) -> Rc<Upload> {
        let share = Rc::new(Budget::new(1)).take(1).expect("room");
        let rest = stream::iter(parts.iter().map(|part| Ok(Bytes::from_static(part.as_bytes()))));
        Rc::new(Upload::new(
            None,
            vec![Bytes::from_static(b"a"), Bytes::from_static(b"b")],
            rest,
            Duration::from_secs(1),
            share,
        ))
    }

    fn next(body: &mut UploadBody) -> String {
        match poll_fn(|cx| Pin::new(&mut *body).poll_next(cx)).now_or_never().expect("there") {
            Some(Ok(part)) => String::from_utf8_lossy(&part).into_owned(),
            Some(Err(e)) => e.to_string(),
            None => "end".into(),
        }
    }

    #[test]
    fn what_is_held_can_be_sent_again_until_more_was_asked_for() {
        let upload = upload(&["c", "d"]);
        let (mut first, mut second) = (upload.body(|| ()), upload.body(|| ()));
        assert_eq!([next(&mut first), next(&mut first)], ["a", "b"]);
        assert!(!upload.is_let_go() && upload.lets_go().now_or_never().is_none());
        assert_eq!([0; 5].map(|_| next(&mut second)), ["a", "b", "c", "d", "end"]);
        assert!(upload.is_let_go() && upload.ends().now_or_never().is_some());
        for late in [&mut first, &mut upload.body(|| ())] {
            assert_eq!(next(late), "the client's body is not held any more");
        }
    }
}
