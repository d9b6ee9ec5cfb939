//! A long answer on its way to its client.

use super::budget::Share;
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

/// What the client reads.
pub struct Download {
    length: Option<u64>,
    parts: mpsc::Receiver<Part>,
    /// What ends with it.
    kept: Vec<Box<dyn Any>>,
    /// Told once whether all of it went on.
    ended: Option<Box<dyn FnOnce(bool)>>,
}

/// Where its parts are put.
pub struct Feed {
    parts: mpsc::Sender<Part>,
}

/// Both ends of an answer, whose length may be known, with its share of the memory.
pub fn feed(length: Option<u64>, share: Share) -> (Feed, Download) {
    let (sender, parts) = mpsc::channel(PARTS);
    (Feed { parts: sender }, Download { length, parts, kept: vec![Box::new(share)], ended: None })
}

impl Feed {
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

impl Download {
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

impl MessageBody for Download {
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

impl Drop for Download {
    fn drop(&mut self) {
        self.ends(false);
    }
}

impl fmt::Debug for Download {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_struct("Download").field("length", &self.length).finish_non_exhaustive()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::bodies::Budget;
    use futures_util::FutureExt;
    use std::cell::Cell;
    use std::future::poll_fn;
    use std::rc::Rc;

    fn next(download: &mut Download) -> Option<Option<Result<Bytes, Broken>>> {
        poll_fn(|cx| Pin::new(&mut *download).poll_next(cx)).now_or_never()
    }

    #[test]
    fn parts_wait_for_their_reader_and_its_end_is_told_and_gives_the_memory_back() {
        let budget = Rc::new(Budget::new(10));
        for whole in [true, false] {
            let (feed, mut download) = feed(Some(9), budget.take(10).expect("room"));
            let told = Rc::new(Cell::new(None));
            let tell = told.clone();
            download.when_ended(move |whole| tell.set(Some(whole)));
            let put = || feed.put(Bytes::from_static(b"x")).now_or_never().is_some();
            assert_eq!((0..9).filter(|_| put()).count(), PARTS);
            (0..PARTS).for_each(|_| assert!(matches!(next(&mut download), Some(Some(Ok(_))))));
            assert!(!whole || feed.end().now_or_never().expect("room"));
            drop(feed);
            assert!(matches!(
                (whole, next(&mut download)),
                (true, Some(None)) | (false, Some(Some(Err(Broken))))
            ));
            assert_eq!(told.get(), Some(whole));
            assert!(budget.take(1).is_none(), "held until nobody reads any more");
        }
    }
}
