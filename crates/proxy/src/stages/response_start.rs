//! Receives a response's body whole, or the start of a long one.

use crate::bodies::{BufferedBody, MAX_BUFFERED_BYTES, STREAMED_BODY_MEMORY};
use crate::memory::{MemoryAccountant, Owner, PIECE_BYTES, Priority, Reservation, UNRESERVED_BYTES};
use awc::error::PayloadError;
use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// The longest time for which the start of a long response is buffered before it is forwarded. Until it is
/// forwarded, a malformed response can still be distinguished from a slow one. A response that gets no memory in
/// this time is forwarded as well: what was received of it is not held back for others.
const MAX_BUFFERING_TIME: Duration = Duration::from_millis(250);

/// The same for a response of which it is not known whether it is long.
const MAX_UNKNOWN_BUFFERING_TIME: Duration = Duration::from_millis(2000);
/// The same if the request would not be sent to another endpoint: its endpoint is waited for. Less than the time after
/// which a response counts as stalled.
const MAX_BUFFERING_TIME_WITHOUT_RETRY: Duration = Duration::from_millis(900);

/// Whether a response that makes no progress is given up, because another endpoint may answer the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StallPolicy {
    /// It is given up.
    GiveUp,
    /// It is waited for: the request must not run again, or another endpoint stalled before.
    Wait,
}

/// What was received of a body.
pub struct ResponseStart {
    /// The bytes; none of a response that is not forwarded.
    pub bytes: Bytes,
    /// The number of bytes received.
    pub received_bytes: u64,
    /// Whether there is more to receive.
    pub has_more: bool,
    /// The memory of the body. Without one, no more than a connection's own memory is in use.
    pub reservation: Option<Reservation>,
}

/// Reads the body of one response.
pub struct StartReader<'a> {
    memory: &'a Rc<MemoryAccountant>,
    /// The length of the body, if the head gives it.
    length: Option<u64>,
    /// Whether the response is forwarded. The body of any other one is discarded.
    is_forwarded: bool,
    forward_at: Instant,
    /// When a response is forwarded that may be long.
    forward_unknown_at: Instant,
    stall_policy: StallPolicy,
    buffered: BufferedBody,
    reservation: Option<Reservation>,
}

impl<'a> StartReader<'a> {
    /// Creates a reader for a response whose head has just been received.
    pub fn new(
        memory: &'a Rc<MemoryAccountant>,
        length: Option<u64>,
        is_forwarded: bool,
        stall_policy: StallPolicy,
    ) -> StartReader<'a> {
        let now = Instant::now();
        let forward_at = now + MAX_BUFFERING_TIME;
        let forward_unknown_at = now
            + match stall_policy {
                StallPolicy::GiveUp => MAX_UNKNOWN_BUFFERING_TIME,
                StallPolicy::Wait => MAX_BUFFERING_TIME_WITHOUT_RETRY,
            };
        StartReader {
            memory,
            length,
            is_forwarded,
            forward_at,
            forward_unknown_at,
            stall_policy,
            buffered: BufferedBody::default(),
            reservation: None,
        }
    }

    /// Reads a short body whole, or the start of a long one.
    ///
    /// # Errors
    /// The body ended early, or its connection failed.
    pub async fn read(
        mut self,
        body: &mut (impl Stream<Item = Result<Bytes, PayloadError>> + Unpin),
    ) -> Result<ResponseStart, PayloadError> {
        if !self.is_forwarded {
            return discard(body).await;
        }
        loop {
            if self.needs_reservation() && !self.reserve().await {
                return Ok(self.finish(true));
            }
            let chunk = tokio::select! {
                biased;
                chunk = body.next() => chunk,
                () = sleep_until(self.forward_at), if self.is_long_and_started() => {
                    return Ok(self.finish(true));
                }
                () = sleep_until(self.forward_unknown_at), if self.may_be_long() => {
                    return Ok(self.finish(true));
                }
            };
            let Some(chunk) = chunk else { return Ok(self.finish(false)) };
            self.buffered.push(chunk?);
            if self.buffered.len() > MAX_BUFFERED_BYTES {
                return Ok(self.finish(true));
            }
        }
    }

    /// Whether the head says that the body is not buffered whole, and a part of it was received.
    fn is_long_and_started(&self) -> bool {
        self.length.is_some_and(|length| length > MAX_BUFFERED_BYTES as u64) && self.buffered.len() > 0
    }

    /// Whether the response is not known to be short, and is waited for or has begun.
    fn may_be_long(&self) -> bool {
        let is_short = self.length.is_some_and(|length| length <= MAX_BUFFERED_BYTES as u64);
        !is_short && (self.stall_policy == StallPolicy::Wait || self.buffered.len() > 0)
    }

    /// Whether the next chunk may exceed what a connection has memory for. What is in the read buffer already
    /// needs no more memory.
    fn needs_reservation(&self) -> bool {
        let is_complete = self.length.is_some_and(|length| self.buffered.len() as u64 >= length);
        self.reservation.is_none() && !is_complete && self.buffered.len() >= UNRESERVED_BYTES / 2
    }

    /// Waits for memory, for as long as the response may be held back.
    async fn reserve(&mut self) -> bool {
        let (required, expected) = match self.length {
            Some(length) if length <= MAX_BUFFERED_BYTES as u64 => {
                (length as usize + PIECE_BYTES, length as usize)
            }
            _ => (STREAMED_BODY_MEMORY, MAX_BUFFERED_BYTES + UNRESERVED_BYTES),
        };
        let remaining =
            self.length.map_or(u64::MAX, |length| length.saturating_sub(self.buffered.len() as u64));
        let priority = Priority { weight: 0.0, remaining_bytes: remaining };
        let reserving = self.memory.reserve(Owner::ResponseBodies, required, priority);
        tokio::select! {
            biased;
            reservation = reserving => self.reservation = Some(reservation),
            () = sleep_until(self.forward_at) => return false,
        }
        self.buffered.expect_bytes(expected);
        true
    }

    fn finish(self, has_more: bool) -> ResponseStart {
        let received_bytes = self.buffered.len() as u64;
        let bytes = self.buffered.bytes();
        ResponseStart { bytes, received_bytes, has_more, reservation: self.reservation }
    }
}

/// Reads a body that is not forwarded, as far as a connection is worth it.
async fn discard(
    body: &mut (impl Stream<Item = Result<Bytes, PayloadError>> + Unpin),
) -> Result<ResponseStart, PayloadError> {
    let mut received_bytes = 0;
    let mut has_more = false;
    while let Some(chunk) = body.next().await {
        received_bytes += chunk?.len() as u64;
        has_more = received_bytes > MAX_BUFFERED_BYTES as u64;
        if has_more {
            break;
        }
    }
    Ok(ResponseStart { bytes: Bytes::new(), received_bytes, has_more, reservation: None })
}

#[cfg(test)]
mod tests;
