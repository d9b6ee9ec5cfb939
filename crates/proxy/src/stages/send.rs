//! One attempt on one connection, and exactly one outcome for it.

use super::book::Attempt;
use super::context::Context;
use crate::answer::Seen;
use crate::backends::Lease;
use crate::call::{Answer, Payload};
use crate::platform::{BODY_LIMIT, backend};
use actix_http::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use actix_http::{Method, StatusCode};
use awc::SendClientRequest;
use awc::error::{ConnectError, PayloadError, SendRequestError};
use bytes::Bytes;
use olivecart_decisions::{AttemptEnd, EndpointId, Event, Load, Outcome, RequestId};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep_until;

/// Longest wait for a probe's answer. A probe is answered beside the queue, so that one taking longer than
/// any round trip tells of a machine that hangs.
const PROBE_LIMIT: Duration = Duration::from_millis(400);

/// What an exchange came to.
struct End {
    outcome: Outcome,
    answer: Option<Answer>,
    load: Option<Load>,
}

impl From<Outcome> for End {
    fn from(outcome: Outcome) -> End {
        End { outcome, answer: None, load: None }
    }
}

/// Runs an attempt to its end and books it.
pub async fn attempt(context: Rc<Context>, mut attempt: Attempt, endpoint: EndpointId) {
    let began = Instant::now();
    let lease = context.backends.lease(endpoint);
    let seen = lease.as_ref().map(|lease| lease.seen.clone());
    let exchange = exchange(&context, endpoint, lease, &attempt.payload, attempt.until);
    let end = tokio::select! {
        biased;
        _ = &mut attempt.cancelled => Outcome::Cancelled.into(),
        end = exchange => end,
        () = sleep_until(attempt.until.into()) => match seen {
            // Time ran out before there was a connection to write to.
            Some(seen) if !seen.connected.get() => Outcome::ConnectFailed.into(),
            _ => Outcome::Timeout.into(),
        },
    };
    // The exchange is dropped by now, and with it the connection of an attempt that was given up: only then
    // may the decisions hear of it, since they may send the request elsewhere at once.
    book(&context, &attempt, endpoint, began.elapsed(), end);
}

fn book(context: &Context, attempt: &Attempt, endpoint: EndpointId, took: Duration, end: End) {
    let over = context.book.attempt_ended(attempt.request, end.answer);
    context.tell(Event::Outcome(AttemptEnd {
        request: attempt.request,
        attempt: attempt.number,
        endpoint,
        outcome: end.outcome,
        took: took.as_nanos() as u64,
        over,
        load: end.load,
    }));
}

/// Books the end of an attempt that never started.
pub fn ended(context: &Context, request: RequestId, number: u32, endpoint: EndpointId, outcome: Outcome) {
    let over = context.book.attempt_ended(request, None);
    let end = AttemptEnd { request, attempt: number, endpoint, outcome, took: 0, over, load: None };
    context.tell(Event::Outcome(end));
}

async fn exchange(
    context: &Context,
    endpoint: EndpointId,
    lease: Option<Lease>,
    payload: &Payload,
    until: Instant,
) -> End {
    // Danger: being out of descriptors is no fault of the backend's, and must not be held against it.
    let Some(lease) = lease else { return Outcome::Moot.into() };
    let left = until.saturating_duration_since(Instant::now());
    let request = backend::request(&lease.client, lease.addr, payload, left);
    let bodiless = payload.body.is_empty() && matches!(payload.method, Method::GET | Method::HEAD);
    lease.seen.bodiless.set(payload.method == Method::HEAD);
    let sent = if bodiless { request.send() } else { request.send_body(payload.body.clone()) };
    let (seen, kept) = (lease.seen.clone(), lease.kept);
    seen.tries.replace(context.stats.clone());
    let received = whole(context, lease, &payload.method, sent).await;
    let replaced = seen.replaced.take();
    let broke = matches!(received, Err(Outcome::Reset)) && kept && !replaced;
    if broke || kept && replaced {
        context.backends.ended_one(endpoint);
    }
    match received {
        Ok((head, body)) => {
            let outcome = backend::outcome(head.status, &head.headers);
            let load = backend::load(&head.headers);
            let passed_on =
                || Answer { status: head.status, headers: backend::passed_on(&head.headers), body };
            End { outcome, answer: backend::is_final(head.status).then(passed_on), load }
        }
        // That a kept connection broke tells of the connection, not of whether the backend is there.
        Err(_) if broke => Outcome::Error.into(),
        Err(outcome) => outcome.into(),
    }
}

struct Head {
    status: StatusCode,
    headers: HeaderMap,
}

/// The whole answer, with its connection given back; or what its lack means. Danger: an answer that begins
/// and never ends holds the request until its deadline.
async fn whole(
    context: &Context,
    lease: Lease,
    method: &Method,
    sent: SendClientRequest,
) -> Result<(Head, Bytes), Outcome> {
    let seen = lease.seen.clone();
    let received = async {
        let mut response = sent.await.map_err(|e| failure(&e, &seen))?;
        let body = whole_body(&seen, method, &mut response).await?;
        Ok((Head { status: response.status(), headers: response.headers().clone() }, body))
    };
    let (head, body) = tokio::select! {
        biased;
        received = received => received?,
        () = seen.stalls() => return Err(Outcome::Error),
    };
    let closes = head.headers.get(CONNECTION).is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
    if !closes {
        context.backends.give_back(lease);
    }
    Ok((head, body))
}

/// What an attempt without an answer means. awc says `Disconnected` of a connection that ended while the
/// answer was awaited: the request was written by then, so that it may have run. What came and was no answer
/// tells no more of the backend than an error would: it is there, and does not cut calls off.
fn failure(error: &SendRequestError, seen: &Seen) -> Outcome {
    match error {
        _ if seen.spoilt.get() => Outcome::Error,
        SendRequestError::Connect(ConnectError::Disconnected) => Outcome::Reset,
        SendRequestError::Connect(_) => Outcome::ConnectFailed,
        _ => Outcome::Reset,
    }
}

/// The body, if it came whole. awc ends a body quietly where its connection ended in the middle of it, so
/// the length is compared, and a chunked body is not whole if the stream ended before its last chunk. An
/// answer that tells no length could only be told from a part of one by its connection's end.
async fn whole_body(
    seen: &Seen,
    method: &Method,
    response: &mut awc::ClientResponse,
) -> Result<Bytes, Outcome> {
    let body = match response.body().limit(BODY_LIMIT).await {
        Ok(body) => body,
        Err(PayloadError::Overflow) => return Err(Outcome::Error),
        Err(_) if seen.spoilt.get() => return Err(Outcome::Error),
        Err(_) => return Err(Outcome::Reset),
    };
    let length: Option<usize> =
        response.headers().get(CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.trim().parse().ok());
    match length {
        _ if *method == Method::HEAD => Ok(body),
        Some(length) if body.len() == length => Ok(body),
        None if !response.headers().contains_key(TRANSFER_ENCODING) => Err(Outcome::Error),
        None if seen.whole() => Ok(body),
        _ => Err(Outcome::Reset),
    }
}

/// Probes an endpoint and tells the decisions what came of it.
pub async fn probe(context: Rc<Context>, endpoint: EndpointId) {
    let began = Instant::now();
    let lease = context.backends.lease(endpoint);
    let asked = async {
        let Some(lease) = lease else { return Outcome::ConnectFailed.into() };
        lease.seen.bodiless.set(false);
        lease.seen.tries.take(); // a probe is no attempt
        let sent = backend::probe(&lease.client, lease.addr).send();
        match whole(&context, lease, &Method::GET, sent).await {
            Ok((head, _)) => {
                let outcome = backend::outcome(head.status, &head.headers);
                End { outcome, answer: None, load: backend::load(&head.headers) }
            }
            Err(outcome) => outcome.into(),
        }
    };
    let end = tokio::time::timeout(PROBE_LIMIT, asked).await.unwrap_or_else(|_| Outcome::Timeout.into());
    let (outcome, load) = (end.outcome, end.load);
    context.tell(Event::Checked { endpoint, outcome, took: began.elapsed().as_nanos() as u64, load });
}
