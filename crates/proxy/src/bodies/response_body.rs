//! A response body that is streamed to its client: a bounded channel between the attempt and the listener.

use super::memory_limit::BodyMemoryReservation;
use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use std::any::Any;
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::sync::mpsc;

/// Parts that wait for the client. A part is what one read brought.
const PARTS: usize = 4;

/// The answer broke off: its client must see that it is not whole.
#[derive(Debug, thiserror::Error)]
#[error("the backend's answer broke off")]
pub struct Broken;

enum Part {
    Bytes(Bytes),
    End,
}

/// The receiving end, which the client reads.
pub struct ResponseBody {
    length: Option<u64>,
    parts: mpsc::Receiver<Part>,
    /// What ends with it.
    kept: Vec<Box<dyn Any>>,
    /// Told once whether all of it went on.
    ended: Option<Box<dyn FnOnce(bool)>>,
}

/// The sending end, which the attempt owns.
pub struct BodySender {
    parts: mpsc::Sender<Part>,
}

/// Both ends of an answer, whose length may be known, with its share of the memory.
pub fn feed(length: Option<u64>, share: BodyMemoryReservation) -> (BodySender, ResponseBody) {
    let (sender, parts) = mpsc::channel(PARTS);
    (BodySender { parts: sender }, ResponseBody { length, parts, kept: vec![Box::new(share)], ended: None })
}

impl BodySender {
    /// Puts a part, once there is room for it. False: nobody reads any more.
    pub async fn put(&self, bytes: Bytes) -> bool {
        bytes.is_empty() || self.parts.send(Part::Bytes(bytes)).await.is_ok()
    }

    /// The answer is whole. Dropped without this, it has broken off.
    pub async fn end(&self) -> bool {
        self.parts.send(Part::End).await.is_ok()
    }

    /// Resolves when nobody reads any more.
    pub async fn unread(&self) {
        self.parts.closed().await;
    }
}

impl ResponseBody {
    /// Keeps something until the answer has gone on, or its client has.
    pub fn keep(&mut self, what: impl Any) {
        self.kept.push(Box::new(what));
    }

    /// Has somebody told how it ended: whether all of it went on.
    pub fn when_ended(&mut self, told: impl FnOnce(bool) + 'static) {
        self.ended = Some(Box::new(told));
    }

    fn ends(&mut self, whole: bool) {
        self.ended.take().into_iter().for_each(|told| told(whole));
    }
}

impl MessageBody for ResponseBody {
    type Error = Broken;

    fn size(&self) -> BodySize {
        self.length.map_or(BodySize::Stream, BodySize::Sized)
    }

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Broken>>> {
        match ready!(self.parts.poll_recv(cx)) {
            Some(Part::Bytes(bytes)) => Poll::Ready(Some(Ok(bytes))),
            Some(Part::End) => {
                self.ends(true);
                Poll::Ready(None)
            }
            None => {
                self.ends(false);
                Poll::Ready(Some(Err(Broken)))
            }
        }
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        self.ends(false);
    }
}

impl fmt::Debug for ResponseBody {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_struct("ResponseBody").field("length", &self.length).finish_non_exhaustive()
    }
}

#[cfg(test)]
mod tests;
