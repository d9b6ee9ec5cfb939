//! Monitors the bytes received on a connection to an endpoint or to discovery: one response for each request
//! written.
//!
//! The body of the final response is passed on to awc unchanged. Interim (1xx) responses are removed. A
//! response that is malformed or too long fails the read. Bytes after the end of a response are dropped, so
//! that they are never read as the start of the next one, and the connection is not used again. Where a body ends is
//! decided by [`framing`] from the head; a head that awc could read in another way is replaced.
//!
//! Some endpoints send a response twice. If the second copy arrives when the next request was already written, only
//! its bytes show that it is not the response to that request. On a connection that was used again so soon
//! ([`ResponseMonitor::set_drops_copies`]), a successful response that equals the one before is dropped, and the
//! next one is awaited.

use crate::framing::{self, BodyFraming, BodyScanner, ExpectedResponse, FramingError};
use crate::response_digest::{DigestBuilder, ResponseDigest};
use crate::stats::Stats;
use crate::wire::{Peek, Socket, StreamObserver, uninterrupted};
use actix_http::StatusCode;
use actix_http::h1::ClientCodec;
use bytes::BytesMut;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};
use tokio::io::ReadBuf;
use tokio::sync::Notify;
use tokio::time::sleep_until;
use tokio_util::codec::Decoder;

/// The maximum length of a response's head, together with the interim responses before it.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// A response that has started is given up if no byte is received for this time.
const RESPONSE_IDLE_TIMEOUT: Duration = Duration::from_millis(1000);
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// Checks whether the first byte of a request may be written.
pub type WriteCheckFn = Box<dyn Fn() -> io::Result<()>>;

/// The state of a connection to an endpoint or to discovery, and of the exchange on it. Owned by the
/// connection's lease; [`ObservedStream`](crate::wire::ObservedStream) reads and writes through it. It never decides whether a
/// request is retried.
pub struct ResponseMonitor {
    /// Whether a connection was established, for this request or an earlier one.
    pub connected: Cell<bool>,
    /// Whether the peer closed its side of the connection, or the stream failed.
    pub peer_closed: Cell<bool>,
    /// Why the received bytes are not a valid response, if they are not.
    malformed: Cell<Option<MalformedResponse>>,
    /// The form for which the response was rejected, until this was asked.
    rejected_form: Cell<Option<FramingError>>,
    /// The framing of the current response, once its head was received.
    framing: Cell<BodyFraming>,
    /// Whether the response has no body, whatever its head says.
    pub expects_no_body: Cell<bool>,
    /// Whether the connection kept for this request was closed, and another was established in its place.
    pub reconnected: Cell<bool>,
    /// The metrics that count the attempt once its request is written.
    pub attempt_stats: RefCell<Option<Arc<Stats>>>,
    /// Whether any byte of this request was written, so that the request may be executed.
    written: Cell<bool>,
    /// Whether the write check rejected this request, so that it is never executed.
    write_rejected: Cell<bool>,
    /// Runs once, before the first byte of this request.
    write_check: RefCell<Option<WriteCheckFn>>,
    max_body_bytes: usize,
    /// Whether bytes were received after the end of the response.
    has_excess_bytes: Cell<bool>,
    /// Whether such bytes were received since this was last asked, on this connection or the one before.
    excess_noticed: Cell<bool>,
    /// Whether bytes were received before the last byte of the request was written.
    responded_early: Cell<bool>,
    /// Whether a copy of the previous response is dropped.
    drops_copies: Cell<bool>,
    /// Whether a copy was dropped on this connection.
    copy_dropped: Cell<bool>,
    /// The last complete response on this connection, unless it was long.
    last_response: Cell<Option<ResponseDigest>>,
    /// When bytes of the current response were last received; `None` before its first byte and after its end.
    last_received_at: Cell<Option<Instant>>,
    response_started: Notify,
    reading: RefCell<Reading>,
}

#[derive(Default)]
struct Reading {
    phase: Phase,
    /// Received bytes that are not decoded yet.
    raw: BytesMut,
    /// Bytes for awc to read.
    decoded: BytesMut,
    /// The length of this response so far: of its heads, then of its body.
    length: usize,
    /// The bytes of this response so far, without interim responses.
    digest: DigestBuilder,
    /// Whether this response reports success.
    is_success: bool,
}

/// The part of a response that is expected next.
#[derive(Default)]
enum Phase {
    /// No part: no request was written, or its response is complete.
    #[default]
    Idle,
    Head,
    Body(BodyScanner),
}

/// What the next received bytes are.
enum Split {
    /// Not enough of them were received yet.
    Incomplete,
    /// An interim response.
    Interim {
        /// Its length in bytes.
        length: usize,
    },
    /// The head of a final response.
    Head {
        /// Its length in bytes.
        length: usize,
        /// What awc reads in its place.
        canonical: Option<BytesMut>,
    },
    /// A part of the body of a final response.
    Body {
        /// Its length in bytes.
        length: usize,
    },
}

/// The received bytes are not a valid response, or it is too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum MalformedResponse {
    /// Its body has no end that can be relied on.
    #[error("malformed HTTP response: {0}")]
    Framing(#[from] FramingError),
    /// It reports success, and was received before the last byte of the request was written.
    #[error("HTTP response precedes the last byte of its request")]
    Premature,
}

impl fmt::Debug for ResponseMonitor {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_struct("ResponseMonitor").field("connected", &self.connected).finish_non_exhaustive()
    }
}

impl ResponseMonitor {
    /// Creates a monitor without a connection. Longer bodies than `max_body_bytes` count as malformed.
    pub fn new(max_body_bytes: usize) -> ResponseMonitor {
        let flag = || Cell::new(false);
        ResponseMonitor {
            connected: flag(),
            peer_closed: flag(),
            malformed: Cell::default(),
            rejected_form: Cell::default(),
            framing: Cell::new(BodyFraming::Empty),
            expects_no_body: flag(),
            reconnected: flag(),
            attempt_stats: RefCell::default(),
            written: flag(),
            write_rejected: flag(),
            write_check: RefCell::default(),
            max_body_bytes,
            has_excess_bytes: flag(),
            excess_noticed: flag(),
            responded_early: flag(),
            drops_copies: flag(),
            copy_dropped: flag(),
            last_response: Cell::default(),
            last_received_at: Cell::new(None),
            response_started: Notify::new(),
            reading: RefCell::default(),
        }
    }

    /// Prepares for the next request. `write_check` runs before its first byte is written.
    pub fn begin_request(&self, write_check: Option<WriteCheckFn>) {
        [&self.written, &self.write_rejected, &self.responded_early].iter().for_each(|flag| flag.set(false));
        self.write_check.replace(write_check);
    }

    /// Sets whether a successful response that equals the previous one on the connection is dropped.
    pub fn set_drops_copies(&self, drops_copies: bool) {
        self.drops_copies.set(drops_copies);
    }

    /// Whether a copy of the previous response was dropped on this connection.
    pub fn has_dropped_copy(&self) -> bool {
        self.copy_dropped.get()
    }

    /// The last complete response on this connection, or `None` if there was none or it was long.
    pub fn last_response(&self) -> Option<ResponseDigest> {
        self.last_response.get()
    }

    /// Whether any byte of the request was written.
    pub fn is_written(&self) -> bool {
        self.written.get()
    }

    /// Whether the write check rejected the request.
    pub fn is_write_rejected(&self) -> bool {
        self.write_rejected.get()
    }

    /// Resets the state for a connection that was just established.
    pub fn on_connected(&self) {
        // If there was a connection before, it was closed.
        self.reconnected.set(self.connected.replace(true));
        let of_connection =
            [&self.peer_closed, &self.has_excess_bytes, &self.drops_copies, &self.copy_dropped];
        of_connection.iter().for_each(|flag| flag.set(false));
        self.malformed.set(None);
        self.last_response.set(None);
        self.last_received_at.set(None);
        *self.reading.borrow_mut() = Reading::default();
    }

    /// Whether the response was received to its end.
    pub fn is_response_complete(&self) -> bool {
        matches!(self.reading.borrow().phase, Phase::Idle)
    }

    /// Whether the received bytes are not a valid response.
    pub fn is_malformed(&self) -> bool {
        self.malformed.get().is_some()
    }

    /// The framing of the current response, whose head was received.
    pub fn framing(&self) -> BodyFraming {
        self.framing.get()
    }

    /// The form for which a response was rejected since the last call.
    pub fn take_rejected_form(&self) -> Option<FramingError> {
        self.rejected_form.take()
    }

    /// Whether another request may be written: the response is complete, no bytes were received after it, no
    /// copy was dropped before it, and the peer has not closed the connection.
    pub fn is_reusable(&self) -> bool {
        self.is_response_complete()
            && !self.peer_closed.get()
            && !self.is_malformed()
            && !self.has_excess_bytes.get()
            && !self.copy_dropped.get()
    }

    /// Whether bytes were received after the end of a response since the last call.
    pub fn take_excess_noticed(&self) -> bool {
        self.excess_noticed.take()
    }

    /// Resolves when a response has started, is not complete, and no byte was received for the idle timeout.
    pub async fn wait_until_stalled(&self) {
        loop {
            let Some(last_received_at) = self.last_received_at.get() else {
                self.response_started.notified().await;
                continue;
            };
            sleep_until((last_received_at + RESPONSE_IDLE_TIMEOUT).into()).await;
            if self.last_received_at.get() == Some(last_received_at) {
                return;
            }
        }
    }

    /// Splits the received bytes into heads and bodies. Fails if they are not a valid response.
    fn split_messages(&self, reading: &mut Reading) -> Result<(), MalformedResponse> {
        while !reading.raw.is_empty() {
            let split = match reading.phase {
                Phase::Idle => {
                    self.on_excess_bytes();
                    reading.raw.clear();
                    return Ok(());
                }
                Phase::Head => self.split_head(reading)?,
                Phase::Body(_) => self.split_body(reading)?,
            };
            match split {
                Split::Incomplete => return Ok(()),
                Split::Interim { length } => _ = reading.raw.split_to(length),
                Split::Head { length, canonical } => {
                    let bytes = reading.raw.split_to(length);
                    reading.decoded.extend_from_slice(canonical.as_ref().unwrap_or(&bytes));
                    self.on_response_bytes(reading, &bytes);
                }
                Split::Body { length } => {
                    let bytes = reading.raw.split_to(length);
                    reading.decoded.extend_from_slice(&bytes);
                    self.on_response_bytes(reading, &bytes);
                }
            }
        }
        if !matches!(reading.phase, Phase::Body(_)) {
            self.last_received_at.set(None); // complete, or only interim responses were received so far
        }
        Ok(())
    }

    fn on_response_bytes(&self, reading: &mut Reading, bytes: &[u8]) {
        reading.digest.push(bytes);
        if matches!(reading.phase, Phase::Idle) {
            self.on_response_complete(reading);
        }
    }

    fn split_head(&self, reading: &mut Reading) -> Result<Split, MalformedResponse> {
        // Decoded from a copy, since most heads are passed on as they were received.
        let mut rest = reading.raw.clone();
        let decoded = ClientCodec::default().decode(&mut rest);
        let Some(head) = decoded.map_err(|_| framing::rejected_response_form(&reading.raw))? else {
            let too_long = reading.length + reading.raw.len() > MAX_HEAD_BYTES;
            return if too_long { Err(FramingError::InvalidHead.into()) } else { Ok(Split::Incomplete) };
        };
        if self.is_premature(head.status) {
            return Err(MalformedResponse::Premature);
        }
        let length = reading.raw.len() - rest.len();
        reading.length += length;
        if head.status.is_informational() && head.status != StatusCode::SWITCHING_PROTOCOLS {
            let too_long = reading.length > MAX_HEAD_BYTES;
            return if too_long {
                Err(FramingError::InvalidHead.into())
            } else {
                Ok(Split::Interim { length })
            };
        }
        let framing = framing::of_response(&head, self.expected_response())?;
        if framing.length().is_some_and(|length| length > self.max_body_bytes as u64) {
            return Err(FramingError::BodyTooLong.into());
        }
        self.framing.set(framing);
        reading.phase = BodyScanner::new(framing).map_or(Phase::Idle, Phase::Body);
        reading.length = 0;
        reading.is_success = head.status.is_success();
        reading.digest.reset();
        Ok(Split::Head { length, canonical: framing::canonical_head(&head, framing) })
    }

    fn split_body(&self, reading: &mut Reading) -> Result<Split, MalformedResponse> {
        let Phase::Body(scanner) = &mut reading.phase else { return Ok(Split::Incomplete) };
        let scanned = scanner.scan(&reading.raw)?;
        reading.length += scanned.body_bytes as usize;
        if reading.length > self.max_body_bytes {
            return Err(FramingError::BodyTooLong.into());
        }
        if scanned.is_complete {
            reading.phase = Phase::Idle;
        }
        Ok(Split::Body { length: scanned.bytes })
    }

    fn expected_response(&self) -> ExpectedResponse {
        if self.expects_no_body.get() { ExpectedResponse::WithoutBody } else { ExpectedResponse::WithBody }
    }

    fn on_excess_bytes(&self) {
        self.has_excess_bytes.set(true);
        self.excess_noticed.set(true);
    }

    /// Drops a copy of the previous response, or records this one.
    fn on_response_complete(&self, reading: &mut Reading) {
        let digest = reading.digest.digest();
        if self.drops_copies.get() && reading.is_success && digest == self.last_response.get() {
            self.copy_dropped.set(true);
            self.excess_noticed.set(true);
            reading.decoded.clear();
            (reading.phase, reading.length) = (Phase::Head, 0);
        } else {
            self.last_response.set(digest);
        }
    }

    /// Whether the response received so far may be a copy of the previous one, so that awc must not see it yet.
    fn may_be_copy(&self, reading: &Reading) -> bool {
        let is_in_body = matches!(reading.phase, Phase::Body(_)) && reading.is_success;
        let previous = self.last_response.get().filter(|_| self.drops_copies.get() && is_in_body);
        previous.is_some_and(|previous| reading.digest.length() <= previous.length())
    }

    /// Whether a response can't be an answer to the request, because it reports success and was received before
    /// the endpoint could have the last byte. It is a late copy of the response before it, or noise.
    fn is_premature(&self, status: StatusCode) -> bool {
        if status.is_informational() {
            self.responded_early.set(false); // the early bytes may have been this interim response alone
        }
        self.responded_early.get() && status.is_success()
    }

    fn on_malformed(&self, error: MalformedResponse) {
        self.malformed.set(Some(error));
        if let MalformedResponse::Framing(form) = error {
            self.rejected_form.set(Some(form));
        }
    }
}

/// Whether bytes or the end of the stream were received that the runtime has not reported yet. Without this
/// check, a request could be written to a connection that the peer closed right after its response: such a
/// request may have been executed, and can't be retried.
fn has_unread_bytes(socket: &dyn Peek) -> bool {
    match uninterrupted(|| Poll::Ready(socket.peek_byte())) {
        Poll::Ready(Err(e)) => e.kind() != io::ErrorKind::WouldBlock,
        _ => true,
    }
}

impl StreamObserver for ResponseMonitor {
    fn poll_read(
        &self,
        mut stream: Pin<&mut dyn Socket>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut reading = self.reading.borrow_mut();
        loop {
            if let Some(error) = self.malformed.get() {
                return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, error)));
            }
            // The end of a response is passed on only after another read, which shows whether excess bytes or
            // a close follow it.
            let is_complete = matches!(reading.phase, Phase::Idle);
            let has_decoded = !reading.decoded.is_empty() && !self.may_be_copy(&reading);
            if has_decoded && (!is_complete || self.peer_closed.get() || self.has_excess_bytes.get()) {
                break;
            }
            let mut space = [0; READ_BUFFER_BYTES];
            let mut received = ReadBuf::new(&mut space);
            let read = match uninterrupted(|| stream.as_mut().poll_read(cx, &mut received)) {
                Poll::Pending if has_decoded => break,
                Poll::Pending if is_complete && has_unread_bytes(&*stream) => {
                    self.peer_closed.set(true);
                    return Poll::Ready(Ok(()));
                }
                read => ready!(read),
            };
            if read.is_err() || received.filled().is_empty() {
                self.peer_closed.set(true);
                // A reset is no end of an incomplete response whose bytes were held back as a possible copy.
                if !reading.decoded.is_empty() && (is_complete || read.is_ok()) {
                    break;
                }
                return Poll::Ready(read);
            }
            if !is_complete && self.last_received_at.replace(Some(Instant::now())).is_none() {
                self.response_started.notify_one();
            }
            reading.raw.extend_from_slice(received.filled());
            if let Err(error) = self.split_messages(&mut reading) {
                self.on_malformed(error);
            } else if self.has_excess_bytes.get() && reading.decoded.is_empty() {
                self.peer_closed.set(true); // makes awc drop the connection
                return Poll::Ready(Ok(()));
            }
        }
        let length = reading.decoded.len().min(buf.remaining());
        buf.put_slice(&reading.decoded.split_to(length));
        Poll::Ready(Ok(()))
    }

    fn on_write(&self, socket: &dyn Peek) -> io::Result<()> {
        if let Some(write_check) = self.write_check.take()
            && let Err(rejection) = write_check()
        {
            self.write_rejected.set(true);
            return Err(rejection);
        }
        if self.written.replace(true) && has_unread_bytes(socket) {
            self.responded_early.set(true);
        }
        let mut reading = self.reading.borrow_mut();
        if matches!(reading.phase, Phase::Idle) && !self.has_excess_bytes.get() {
            (reading.phase, reading.length) = (Phase::Head, 0);
            self.last_received_at.set(None);
        }
        // Almost every request that is not streamed is sent in one write.
        self.attempt_stats.take().iter().for_each(|stats| stats.count_attempt());
        Ok(())
    }
}

#[cfg(test)]
mod tests;
