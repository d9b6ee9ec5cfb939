//! What has arrived on a client's connection: when, and where its requests end.

use crate::arrivals::Arrivals;
use crate::framing::{BodyFraming, FramingError, RequestScanner, ScannedHead};
use std::cell::RefCell;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Instant;

/// The requests that arrive on one connection.
#[derive(Debug)]
pub struct Incoming {
    arrivals: Rc<Arrivals>,
    scanner: RefCell<RequestScanner>,
    /// Wakes the consumer of a body whose bytes don't fit its framing.
    body_consumer: RefCell<Option<Waker>>,
}

impl Incoming {
    /// Creates the state of a connection on which nothing has arrived.
    pub fn new(now: Instant) -> Incoming {
        Incoming {
            arrivals: Rc::new(Arrivals::new(now)),
            scanner: RefCell::default(),
            body_consumer: RefCell::default(),
        }
    }

    /// When bytes arrived at this machine.
    pub fn arrivals(&self) -> &Rc<Arrivals> {
        &self.arrivals
    }

    /// Scans bytes that were read, and returns how many of them may be passed on to the HTTP library. The others are
    /// unread as before. `has_memory` says whether the library may have the last bytes of a head.
    pub fn accept(&self, bytes: &[u8], now: Instant, has_memory: impl Fn(ScannedHead) -> bool) -> usize {
        self.arrivals.on_at_least_unread(bytes.len() as u64, now);
        let mut scanner = self.scanner.borrow_mut();
        let accepted = scanner.scan_within_memory(bytes, has_memory);
        self.arrivals.on_read(accepted as u64);
        self.arrivals.set_request_end(scanner.request_end());
        if scanner.error().is_some()
            && let Some(consumer) = self.body_consumer.take()
        {
            consumer.wake();
        }
        accepted
    }

    /// Whether bytes may be passed on now. Behind a head, that is so once its framing is decided.
    pub fn accepts_bytes(&self) -> bool {
        self.scanner.borrow().accepts_bytes()
    }

    /// Begins the body of the request whose head was read.
    ///
    /// # Errors
    /// The HTTP library found the end of the head in another place.
    pub fn begin_body(&self, framing: BodyFraming) -> Result<(), FramingError> {
        let mut scanner = self.scanner.borrow_mut();
        let begun = scanner.begin_body(framing);
        self.arrivals.set_request_end(scanner.request_end());
        begun
    }

    /// Why the bytes of the current request's body don't fit its framing, if they don't.
    pub fn framing_error(&self) -> Option<FramingError> {
        self.scanner.borrow().error()
    }

    /// Resolves when the bytes of the current request's body don't fit its framing.
    pub fn poll_framing_error(&self, cx: &Context<'_>) -> Poll<FramingError> {
        if let Some(error) = self.framing_error() {
            return Poll::Ready(error);
        }
        let mut consumer = self.body_consumer.borrow_mut();
        if !consumer.as_ref().is_some_and(|consumer| consumer.will_wake(cx.waker())) {
            *consumer = Some(cx.waker().clone());
        }
        Poll::Pending
    }
}
