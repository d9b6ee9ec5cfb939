//! Receives an endpoint's response, or the start of a long one, and forwards the rest of that.

use super::context::Context;
use super::response_start::{ResponseStart, StallPolicy, StartReader};
use crate::backends::Lease;
use crate::bodies::{BodySender, MAX_BUFFERED_BYTES, Pieces, body_channel};
use crate::call::ResponseContent;
use crate::framing::BodyFraming;
use crate::platform::backend;
use crate::response_monitor::ResponseMonitor;
use actix_http::header::{CONNECTION, HeaderMap};
use actix_http::{HttpMessage, StatusCode};
use awc::ClientResponse;
use awc::error::PayloadError;
use futures_util::StreamExt;
use olivecart_decisions::Outcome;
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// A long body is given up if neither side makes progress for this time.
pub const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The same for a response of at most [`MAX_BUFFERED_BYTES`] so far, once its request's deadline has passed.
const SHORT_BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// The remainder of a response whose start was already forwarded.
pub struct ResponseRemainder {
    sender: BodySender,
    lease: Lease,
    response: ClientResponse,
    closes_connection: bool,
    /// Bytes of the body received so far.
    received_bytes: u64,
}

/// The head of a response.
pub struct Head {
    /// The status.
    pub status: StatusCode,
    /// All headers.
    pub headers: HeaderMap,
}

impl Head {
    fn of(response: &ClientResponse) -> Head {
        Head { status: response.status(), headers: response.headers().clone() }
    }

    fn closes_connection(&self) -> bool {
        self.headers.get(CONNECTION).is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"))
    }
}

/// Receives a whole response and returns its connection to the pool, or receives the start of a long
/// response.
pub async fn receive(
    context: &Context,
    lease: Lease,
    mut response: ClientResponse,
    stall_policy: StallPolicy,
) -> Result<(Head, ResponseContent, Option<Box<ResponseRemainder>>), Outcome> {
    let monitor = lease.monitor.clone();
    let framing = monitor.framing();
    // Whatever awc reads from the head, a response without a body ends with its head.
    let has_unread_payload =
        framing == BodyFraming::Empty && !matches!(response.take_payload(), actix_http::Payload::None);
    let is_final = backend::is_final(response.status());
    // Nobody waits for the rest of a response that is not forwarded.
    let stall_policy = if is_final { stall_policy } else { StallPolicy::GiveUp };
    let received = async {
        let head = Head::of(&response);
        let reader = StartReader::new(&context.memory, framing.length(), is_final, stall_policy);
        let start = reader.read(&mut response).await.map_err(|e| outcome_of_body_error(&e, &monitor))?;
        if !start.has_more {
            check_complete(&monitor, start.received_bytes)?;
        } else if !is_final {
            return Err(Outcome::Error); // an error response is not forwarded, so its long body is not needed
        }
        Ok((head, start))
    };
    let (head, start) = tokio::select! {
        biased;
        received = received => received?,
        () = monitor.wait_until_stalled(), if stall_policy == StallPolicy::GiveUp => return Err(Outcome::Error),
    };
    let closes_connection = has_unread_payload || head.closes_connection();
    let ResponseStart { bytes, received_bytes, has_more, reservation } = start;
    if !has_more {
        if !closes_connection {
            context.backends.release(lease);
        }
        let body = ResponseContent::Buffered(Pieces::new(bytes, reservation));
        return Ok((head, body, None));
    }
    let (sender, download) = body_channel(framing.length(), bytes.into(), reservation);
    let remainder =
        Box::new(ResponseRemainder { sender, lease, response, closes_connection, received_bytes });
    Ok((head, ResponseContent::Streamed(download), Some(remainder)))
}

/// Forwards the remainder of a response as fast as the client reads it. A response that may still turn out to be short
/// is due at `deadline`: it is given up then if it makes no progress.
pub async fn forward_remainder(
    context: &Context,
    remainder: ResponseRemainder,
    deadline: Instant,
) -> Outcome {
    let ResponseRemainder { sender, lease, mut response, closes_connection, mut received_bytes } = remainder;
    let (monitor, target) = (lease.monitor.clone(), lease.target);
    let forwarding = async {
        loop {
            let chunk = match timeout(idle_timeout(received_bytes, deadline), response.next()).await {
                Err(_) => return Outcome::Timeout,
                Ok(Some(Err(e))) => return outcome_of_body_error(&e, &monitor),
                Ok(Some(Ok(chunk))) => chunk,
                Ok(None) => break,
            };
            received_bytes += chunk.len() as u64;
            match timeout(BODY_IDLE_TIMEOUT, sender.send(chunk)).await {
                Ok(true) => {}
                Ok(false) | Err(_) => return Outcome::Cancelled, // disconnected, or stopped reading
            }
        }
        if let Err(outcome) = check_complete(&monitor, received_bytes) {
            return outcome;
        }
        sender.finish().await;
        if !closes_connection {
            context.backends.release(lease);
        }
        Outcome::Ok
    };
    let outcome = tokio::select! {
        biased;
        outcome = forwarding => outcome,
        () = sender.wait_until_reader_dropped() => Outcome::Cancelled, // the client disconnected
    };
    context.report_faulty_response(target, &monitor);
    outcome
}

/// How long the next bytes of a response are waited for.
fn idle_timeout(received_bytes: u64, deadline: Instant) -> Duration {
    if received_bytes > MAX_BUFFERED_BYTES as u64 {
        return BODY_IDLE_TIMEOUT;
    }
    let left = deadline.saturating_duration_since(Instant::now());
    left.max(SHORT_BODY_IDLE_TIMEOUT).min(BODY_IDLE_TIMEOUT)
}

/// Returns the outcome of an attempt whose response body can't be read to its end.
fn outcome_of_body_error(_: &PayloadError, monitor: &ResponseMonitor) -> Outcome {
    if monitor.is_malformed() { Outcome::Error } else { Outcome::Reset }
}

/// Checks that a body that ended is complete. awc reports no error if the connection ends in the middle of a
/// body. A body that ends with the connection is complete if the endpoint closed it.
fn check_complete(monitor: &ResponseMonitor, received_bytes: u64) -> Result<(), Outcome> {
    let framing = monitor.framing();
    let has_end = match framing {
        BodyFraming::UntilClose => monitor.peer_closed.get(),
        BodyFraming::Empty | BodyFraming::Length(_) | BodyFraming::Chunked => monitor.is_response_complete(),
    };
    let has_length = framing.length().is_none_or(|length| length == received_bytes);
    if has_end && has_length { Ok(()) } else { Err(Outcome::Reset) }
}
