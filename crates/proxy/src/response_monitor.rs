//! Monitors what comes on a connection to an endpoint or to discovery: one response for each request written.
//!
//! The bytes of the answer go on to awc as they came. Interim (1xx) answers ahead of it do not; an answer that
//! cannot be read or keeps coming ends the reading with an error; and whatever comes behind an answer is kept
//! from ever being read as the next one's: such a connection is not fit to be used again. The heads and
//! bodies are told apart by actix-http's own codec, so that awc never sees another border than this.

use crate::stats::Stats;
use crate::wire::{Socket, StreamObserver, uninterrupted};
use actix_http::h1::{ClientCodec, ClientPayloadCodec, MessageType};
use actix_http::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use actix_http::{ResponseHead, StatusCode, Version};
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

/// Largest head of an answer, with the interim ones ahead of it.
const HEAD_LIMIT: usize = 16 * 1024;
/// An answer that has begun and brings nothing for so long does not end at all.
const STILL: Duration = Duration::from_millis(1000);
const HTTP_1_0: &[u8] = b"HTTP/1.0";
/// Bytes read at a time.
const READ: usize = 8 * 1024;

/// Says whether the first byte of a request may be written.
pub type Gate = Box<dyn Fn() -> io::Result<()>>;

/// What is known of a connection to an endpoint, or to discovery. Owned by its lease; [`Wire`](crate::wire::Wire) reads
/// and writes through it. It never decides whether a request is retried.
pub struct ResponseMonitor {
    /// It came up, now or for an earlier request: bytes of this one may have been written.
    pub connected: Cell<bool>,
    /// The peer ended its sending, or the stream broke.
    pub peer_closed: Cell<bool>,
    /// What came is not an answer.
    pub malformed: Cell<bool>,
    /// The request allows no body in its answer, whatever the head says.
    pub expects_no_body: Cell<bool>,
    /// The connection kept for this request had ended, and another came up in its place.
    pub reconnected: Cell<bool>,
    /// Where it counts that a request was written, once it was.
    pub attempt_stats: RefCell<Option<Arc<Stats>>>,
    /// Something of this request was written: it may run.
    written: Cell<bool>,
    /// This request was not let through to the connection: it never runs.
    withheld: Cell<bool>,
    /// Asked once, before the first byte of this request.
    gate: RefCell<Option<Gate>>,
    /// Largest body.
    limit: usize,
    /// More came than belongs to the answer.
    has_excess_bytes: Cell<bool>,
    /// When some of the answer came last, since it began.
    begun: Cell<Option<Instant>>,
    began: Notify,
    reading: RefCell<Reading>,
}

#[derive(Default)]
struct Reading {
    phase: Phase,
    /// Came and is not yet told apart.
    raw: BytesMut,
    /// Is awc's.
    out: BytesMut,
    /// Bytes of this answer so far: of heads, then of the body.
    length: usize,
}

/// What comes next.
#[derive(Default)]
enum Phase {
    /// Nothing: no request is out.
    #[default]
    Nothing,
    Head,
    Body(ClientPayloadCodec),
}

impl fmt::Debug for ResponseMonitor {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_struct("ResponseMonitor").field("connected", &self.connected).finish_non_exhaustive()
    }
}

impl ResponseMonitor {
    /// Nothing is known yet; bodies over a limit are not read to their end.
    pub fn new(limit: usize) -> ResponseMonitor {
        let flag = || Cell::new(false);
        ResponseMonitor {
            connected: flag(),
            peer_closed: flag(),
            malformed: flag(),
            expects_no_body: flag(),
            reconnected: flag(),
            attempt_stats: RefCell::default(),
            written: flag(),
            withheld: flag(),
            gate: RefCell::default(),
            limit,
            has_excess_bytes: flag(),
            begun: Cell::new(None),
            began: Notify::new(),
            reading: RefCell::default(),
        }
    }

    /// A request follows; its first byte asks the gate.
    pub fn begin(&self, gate: Option<Gate>) {
        [&self.written, &self.withheld].iter().for_each(|flag| flag.set(false));
        self.gate.replace(gate);
    }

    /// Whether something of the request was written.
    pub fn written(&self) -> bool {
        self.written.get()
    }

    /// Whether the request was not let through.
    pub fn withheld(&self) -> bool {
        self.withheld.get()
    }

    /// A connection has just come up.
    pub fn on_connected(&self) {
        // A second time: the one kept for this request had been ended.
        self.reconnected.set(self.connected.replace(true));
        [&self.peer_closed, &self.malformed, &self.has_excess_bytes].iter().for_each(|flag| flag.set(false));
        self.begun.set(None);
        *self.reading.borrow_mut() = Reading::default();
    }

    /// Whether an answer came to its end.
    pub fn whole(&self) -> bool {
        matches!(self.reading.borrow().phase, Phase::Nothing)
    }

    /// Whether another request may be written: the answer has come whole, nothing came behind it, and the
    /// peer has not ended the connection.
    pub fn reusable(&self) -> bool {
        self.whole() && !self.peer_closed.get() && !self.malformed.get() && !self.has_excess_bytes.get()
    }

    /// Resolves when an answer has begun, is not whole, and brings nothing more.
    pub async fn stalled(&self) {
        loop {
            let Some(begun) = self.begun.get() else {
                self.began.notified().await;
                continue;
            };
            sleep_until((begun + STILL).into()).await;
            if self.begun.get() == Some(begun) {
                return;
            }
        }
    }

    /// Splits what came into heads and bodies. Err: it is not a response.
    fn split_messages(&self, reading: &mut Reading) -> Result<(), ()> {
        while !reading.raw.is_empty() {
            // Decoded from a copy: what goes on is the bytes that came.
            let mut rest = reading.raw.clone();
            let mut interim = false;
            match &mut reading.phase {
                Phase::Nothing => {
                    self.has_excess_bytes.set(true);
                    reading.raw.clear();
                    return Ok(());
                }
                Phase::Head => {
                    let mut codec = ClientCodec::default();
                    let Some(mut head) = codec.decode(&mut rest).map_err(drop)? else {
                        let too_long = reading.length + reading.raw.len() > HEAD_LIMIT;
                        return if too_long { Err(()) } else { Ok(()) };
                    };
                    if self.ends_with_connection(&codec, &head) {
                        // The libraries read on to the end of a connection in HTTP/1.0 only.
                        reading.raw[..HTTP_1_0.len()].copy_from_slice(HTTP_1_0);
                        (codec, rest) = (ClientCodec::default(), reading.raw.clone());
                        head = codec.decode(&mut rest).map_err(drop)?.ok_or(())?;
                    }
                    interim = head.status.is_informational() && head.status.as_u16() != 101;
                    reading.length += reading.raw.len() - rest.len();
                    if interim && reading.length > HEAD_LIMIT {
                        return Err(());
                    }
                    if !interim {
                        let none =
                            self.expects_no_body.get() || matches!(codec.message_type(), MessageType::None);
                        let body = || Phase::Body(codec.into_payload_codec());
                        (reading.phase, reading.length) = (if none { Phase::Nothing } else { body() }, 0);
                    }
                }
                Phase::Body(codec) => loop {
                    match codec.decode(&mut rest).map_err(drop)? {
                        Some(Some(part)) => reading.length += part.len(),
                        Some(None) => {
                            reading.phase = Phase::Nothing;
                            break;
                        }
                        None => break,
                    }
                    if reading.length > self.limit {
                        return Err(());
                    }
                },
            }
            let used = reading.raw.len() - rest.len();
            let bytes = reading.raw.split_to(used);
            if !interim {
                reading.out.extend_from_slice(&bytes);
            }
            if used == 0 && matches!(reading.phase, Phase::Body(_)) {
                return Ok(()); // it takes more to tell apart
            }
        }
        if !matches!(reading.phase, Phase::Body(_)) {
            self.begun.set(None); // it is whole, or after interim ones still to come
        }
        Ok(())
    }

    /// Whether a head says that its body goes on to the end of the connection.
    fn ends_with_connection(&self, codec: &ClientCodec, head: &ResponseHead) -> bool {
        let closes = || {
            let said = head.headers.get_all(CONNECTION).filter_map(|v| v.to_str().ok());
            said.flat_map(|v| v.split(',')).any(|option| option.trim().eq_ignore_ascii_case("close"))
        };
        head.version == Version::HTTP_11
            && matches!(codec.message_type(), MessageType::None)
            && !self.expects_no_body.get()
            && !head.status.is_informational()
            && !matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
            && !head.headers.contains_key(CONTENT_LENGTH)
            && !head.headers.contains_key(TRANSFER_ENCODING)
            && closes()
    }

    fn broken() -> Poll<io::Result<()>> {
        Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, "not an answer")))
    }
}

/// Whether something has come, or the end, that the runtime has not heard of yet. Danger: a peer that closes
/// right after its answer, and a request written to what it closed: it may have run, and can't be repeated.
fn has_unread_bytes(stream: &dyn Socket) -> bool {
    match uninterrupted(|| Poll::Ready(stream.peek_byte())) {
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
            if self.malformed.get() {
                return ResponseMonitor::broken();
            }
            // The end of an answer is read past before the answer goes on: what came with it is then known.
            let whole = matches!(reading.phase, Phase::Nothing);
            if !reading.out.is_empty() && (!whole || self.peer_closed.get() || self.has_excess_bytes.get()) {
                break;
            }
            let mut space = [0; READ];
            let mut came = ReadBuf::new(&mut space);
            let read = match uninterrupted(|| stream.as_mut().poll_read(cx, &mut came)) {
                Poll::Pending if !reading.out.is_empty() => break,
                Poll::Pending if whole && has_unread_bytes(&*stream) => {
                    self.peer_closed.set(true);
                    return Poll::Ready(Ok(()));
                }
                read => ready!(read),
            };
            if read.is_err() || came.filled().is_empty() {
                self.peer_closed.set(true);
                if !reading.out.is_empty() {
                    break;
                }
                return Poll::Ready(read);
            }
            if !whole && self.begun.replace(Some(Instant::now())).is_none() {
                self.began.notify_one();
            }
            reading.raw.extend_from_slice(came.filled());
            if self.split_messages(&mut reading).is_err() {
                self.malformed.set(true);
            } else if self.has_excess_bytes.get() && reading.out.is_empty() {
                self.peer_closed.set(true); // for awc, which is asked to take nothing more from it
                return Poll::Ready(Ok(()));
            }
        }
        let part = reading.out.len().min(buf.remaining());
        buf.put_slice(&reading.out.split_to(part));
        Poll::Ready(Ok(()))
    }

    fn on_write(&self) -> io::Result<()> {
        if let Some(gate) = self.gate.take()
            && let Err(closed) = gate()
        {
            self.withheld.set(true);
            return Err(closed);
        }
        self.written.set(true);
        let mut reading = self.reading.borrow_mut();
        if matches!(reading.phase, Phase::Nothing) && !self.has_excess_bytes.get() {
            (reading.phase, reading.length) = (Phase::Head, 0);
            self.begun.set(None);
        }
        // A request that is not streamed goes out in one write, but for a few.
        self.attempt_stats.take().iter().for_each(|stats| stats.count_attempt());
        Ok(())
    }
}

#[cfg(test)]
mod tests;
