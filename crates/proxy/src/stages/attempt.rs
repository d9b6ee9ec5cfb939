//! One attempt on one connection, and exactly one outcome for it.

use super::admission::MARGIN;
use super::context::Context;
use super::gate::WriteGate;
use super::request_table::Attempt;
use crate::backends::{Lease, LeaseError};
use crate::bodies::{BodySender, BufferedBody, LONGEST, ON_THE_WAY, RequestBody, SHORT, feed};
use crate::call::{Answer, AnswerBody, Body, Payload, Verdict};
use crate::connect::ConnectFailure;
use crate::platform::backend;
use crate::response_monitor::{Gate, ResponseMonitor};
use actix_http::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use actix_http::{Method, StatusCode, Version};
use awc::error::{ConnectError, PayloadError, SendRequestError};
use awc::{ClientResponse, SendClientRequest};
use bytes::Bytes;
use futures_util::StreamExt;
use olivecart_decisions::{AttemptEnd, EndpointId, Event, LoadReport, Outcome, RequestId};
use slog::debug;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::{sleep_until, timeout};

/// Longest wait for a probe's answer. A probe is answered beside the queue, so that one taking longer than
/// any round trip tells of a machine that hangs.
const PROBE_LIMIT: Duration = Duration::from_millis(400);
/// An answer whose head says that it is long goes on this long after its head at the latest. Before, what is malformed
/// can still be told from what is slow.
const HELD_BACK: Duration = Duration::from_millis(250);
/// Heads that are built for one attempt at most: for a connection that was kept, for one in its place, and once more
/// where the process stood still.
const MOST_HEADS: usize = 3;
/// A long body of which nothing moves for so long has ended, whoever stands still.
const STILL: Duration = Duration::from_secs(10);

/// What an exchange came to.
struct End {
    outcome: Outcome,
    answer: Option<Answer>,
    load: Option<LoadReport>,
    /// The rest of an answer that has only begun.
    rest: Option<Box<Rest>>,
}

/// An answer that has begun to go on.
struct Rest {
    feed: BodySender,
    lease: Lease,
    response: ClientResponse,
    closes: bool,
    /// Bytes of the body so far.
    came: u64,
}

impl From<Outcome> for End {
    fn from(outcome: Outcome) -> End {
        End { outcome, answer: None, load: None, rest: None }
    }
}

/// Runs an attempt to its end and books it.
pub async fn run(context: Rc<Context>, mut attempt: Attempt, endpoint: EndpointId) {
    let began = Instant::now();
    let lease = context.backends.lease(endpoint);
    let seen = lease.as_ref().ok().map(|lease| lease.seen.clone());
    let gate = lease.as_ref().ok().map(|lease| Rc::new(WriteGate::new(&context, &attempt, lease.target)));
    if let Some(seen) = &seen {
        seen.begin(None); // nothing of this request is written yet
    }
    let upload = match &attempt.payload.body {
        Body::Streamed(upload) => Some(upload.clone()),
        Body::Whole { .. } => None,
    };
    let (mut lets_go, mut starts) = (upload.is_some(), began);
    let mut end = {
        let exchange = exchange(&context, lease, gate, &attempt.payload);
        let expires = expires(upload.as_deref(), attempt.until);
        tokio::pin!(exchange, expires);
        loop {
            tokio::select! {
                biased;
                _ = &mut attempt.cancelled => break match &seen {
                    // Danger: taken for one that may have run, it is the last attempt of a request that must not run twice.
                    Some(seen) if !seen.written() => Outcome::NotSent.into(),
                    _ => Outcome::Cancelled.into(),
                },
                () = body_released(upload.as_deref()), if lets_go => {
                    lets_go = false;
                    begun(&context, &attempt);
                }
                end = &mut exchange => break end,
                () = &mut expires => break match &seen {
                    // Time ran out before there was a connection to write to.
                    Some(seen) if !seen.written() => Outcome::ConnectFailed.into(),
                    _ => Outcome::Timeout.into(),
                },
            }
        }
    };
    // The exchange is dropped by now, and with it the connection of an attempt that was given up: only then
    // may the decisions hear of it, since they may send the request elsewhere at once.
    if let Some(upload) = &upload {
        starts = upload.ended_at().unwrap_or(began); // a backend starts when the last byte is there
        if end.answer.is_none() && upload.is_released() {
            give_up(&context, &attempt, &end, upload);
        }
    }
    let took = starts.elapsed();
    // An answer that goes on has served its request. Danger: booked at its last byte, it keeps its place at the endpoint while
    // somebody reads it, and ends with a second copy of its request that is called off.
    let rest = end.rest.take();
    record_outcome(&context, &attempt, endpoint, took, end);
    let Some(rest) = rest else { return };
    let outcome = pass_on(&context, *rest, &attempt.payload.method).await;
    // Danger: an endpoint that dies meanwhile has counted as well just now.
    if !matches!(outcome, Outcome::Ok | Outcome::Cancelled) {
        health_check(context, endpoint).await;
    }
}

/// What of a request's body is not held any more can't be sent again: the decisions are not asked what to do, and the
/// client is told at once. Without its last byte it never ran.
fn give_up(context: &Context, attempt: &Attempt, end: &End, upload: &RequestBody) {
    let never_ran = end.outcome.was_never_executed() || !upload.is_whole();
    let verdict = if never_ran { Verdict::Refused { come_back: Duration::ZERO } } else { Verdict::Failed };
    context.request_table.finish(attempt.request, verdict);
}

/// Nothing else may be tried for the request from now on, and no timer runs for it.
fn begun(context: &Context, attempt: &Attempt) {
    context.tell(Event::ResponseStarted { request: attempt.request, attempt: attempt.number });
}

async fn body_released(upload: Option<&RequestBody>) {
    match upload {
        Some(upload) => upload.released().await,
        None => std::future::pending().await,
    }
}

/// Resolves when an attempt's time is up. That of a body that is still coming runs from its last byte, and until then
/// it must not stand still.
async fn expires(upload: Option<&RequestBody>, until: Instant) {
    let Some(upload) = upload else { return sleep_until(until.into()).await };
    let last_byte = async {
        let deadline = upload.ends().await;
        sleep_until(deadline.checked_sub(MARGIN).unwrap_or(deadline).into()).await;
    };
    tokio::select! {
        () = last_byte => {}
        () = upload.stalled(STILL) => {}
    }
}

fn record_outcome(context: &Context, attempt: &Attempt, endpoint: EndpointId, took: Duration, end: End) {
    let over = context.request_table.attempt_ended(attempt.request, end.answer);
    context.tell(Event::AttemptEnded(AttemptEnd {
        request: attempt.request,
        attempt: attempt.number,
        endpoint,
        outcome: end.outcome,
        duration: took.as_nanos() as u64,
        request_completed: over,
        load: end.load,
    }));
}

/// Books the end of an attempt that never started.
pub fn report_end(
    context: &Context,
    request: RequestId,
    number: u32,
    endpoint: EndpointId,
    outcome: Outcome,
) {
    let over = context.request_table.attempt_ended(request, None);
    let end = AttemptEnd {
        request,
        attempt: number,
        endpoint,
        outcome,
        duration: 0,
        request_completed: over,
        load: None,
    };
    context.tell(Event::AttemptEnded(end));
}

/// Danger: being out of descriptors is no fault of the backend's, and must not be held against it.
async fn exchange(
    context: &Context,
    lease: Result<Lease, LeaseError>,
    gate: Option<Rc<WriteGate>>,
    payload: &Payload,
) -> End {
    let (Ok(lease), Some(gate)) = (lease, gate) else { return Outcome::NotSent.into() };
    let (endpoint, method) = (lease.target.endpoint, &payload.method);
    lease.seen.expects_no_body.set(*method == Method::HEAD);
    let (seen, kept) = (lease.seen.clone(), lease.kept);
    let received = match sent(context, &lease, &gate, payload).await {
        Ok(response) => receive(context, lease, method, response).await,
        Err(outcome) => Err(outcome),
    };
    let reconnected = seen.reconnected.take();
    let broke = matches!(received, Err(Outcome::Reset)) && kept && !reconnected;
    if broke || kept && reconnected {
        context.backends.ended_one(endpoint);
    }
    match received {
        Ok((head, body, rest)) => {
            let outcome = backend::outcome(head.status, &head.headers);
            let load = backend::load(&head.headers);
            let passed_on =
                || Answer { status: head.status, headers: backend::passed_on(&head.headers), body };
            let answer = backend::is_final(head.status).then(passed_on);
            End { outcome, answer, load, rest }
        }
        // That a kept connection broke tells of the connection, not of whether the backend is there.
        Err(_) if broke => Outcome::Error.into(),
        Err(outcome) => outcome.into(),
    }
}

/// Sends an attempt's request, and waits for the head of its answer. Danger: a connection may take its whole time-out
/// to come up. So the head, which tells the time that is left, is built when there is one, and built anew for another.
async fn sent(
    context: &Context,
    lease: &Lease,
    gate: &Rc<WriteGate>,
    payload: &Payload,
) -> Result<ClientResponse, Outcome> {
    let mut needs_connection = !lease.kept;
    for _ in 0..MOST_HEADS {
        if needs_connection {
            connect(context, lease).await?;
            if gate.wants_new_head() {
                lease.seen.reconnected.set(false); // the endpoint had not ended it
            }
        }
        match awaited(&lease.seen, send_once(context, lease, gate, payload)).await? {
            Ok(response) => return Ok(response),
            Err(error) if !lacks_connection(&error) && !gate.wants_new_head() => {
                return Err(failure(&error, &lease.seen));
            }
            Err(_) => needs_connection = true, // what was kept had ended, or was not to be written to
        }
    }
    Err(Outcome::NotSent)
}

async fn connect(context: &Context, lease: &Lease) -> Result<(), Outcome> {
    lease.connect().await.map_err(|failure| {
        debug!(context.backends.log(), "connect failed"; "reason" => %failure);
        match failure {
            ConnectFailure::Local(..) => Outcome::NotSent,
            ConnectFailure::TimedOut(_) | ConnectFailure::Unreachable(..) => Outcome::ConnectFailed,
        }
    })
}

/// Sends the request once, with the time that is left now, on the connection there is.
fn send_once(context: &Context, lease: &Lease, gate: &Rc<WriteGate>, payload: &Payload) -> SendClientRequest {
    let now = Instant::now();
    let left = gate.time_left(now);
    let request = backend::request(&lease.client, lease.target.addr, payload, left);
    let stats = context.stats.clone();
    lease.seen.attempt_stats.replace(None);
    match &payload.body {
        Body::Whole { bytes, .. } => {
            gate.head_is_built(now);
            lease.seen.begin(Some(asking(gate)));
            lease.seen.attempt_stats.replace(stats);
            let without_body = bytes.is_empty() && matches!(payload.method, Method::GET | Method::HEAD);
            if without_body { request.send() } else { request.send_body(bytes.clone()) }
        }
        // Its time runs from its last byte: what its head tells is as true however late that goes out.
        Body::Streamed(upload) => {
            lease.seen.begin(Some(asking(gate)));
            let counts = move || stats.iter().for_each(|stats| stats.count_attempt()); // with its last byte
            request.send_body(upload.body(counts))
        }
    }
}

fn asking(gate: &Rc<WriteGate>) -> Gate {
    let gate = gate.clone();
    Box::new(move || gate.check().map_err(std::io::Error::other))
}

/// The head of an answer. Danger: one that begins and never ends holds the request until its deadline.
async fn awaited(
    seen: &ResponseMonitor,
    sending: SendClientRequest,
) -> Result<Result<ClientResponse, SendRequestError>, Outcome> {
    tokio::select! {
        biased;
        response = sending => Ok(response),
        () = seen.stalled() => Err(Outcome::Error),
    }
}

struct Head {
    status: StatusCode,
    headers: HeaderMap,
}

impl Head {
    fn of(response: &ClientResponse) -> Head {
        Head { status: response.status(), headers: response.headers().clone() }
    }

    fn closes(&self) -> bool {
        self.headers.get(CONNECTION).is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"))
    }

    fn length(&self) -> Option<u64> {
        self.headers.get(CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.trim().parse().ok())
    }
}

/// The whole answer with its connection given back, or the beginning of a long one; or what its lack means.
async fn receive(
    context: &Context,
    lease: Lease,
    method: &Method,
    mut response: ClientResponse,
) -> Result<(Head, AnswerBody, Option<Box<Rest>>), Outcome> {
    let seen = lease.seen.clone();
    let received = async {
        let head = Head::of(&response);
        let long =
            if backend::is_final(head.status) && *method != Method::HEAD { head.length() } else { None };
        if long.is_some_and(|length| length > LONGEST) {
            return Err(Outcome::Error);
        }
        let (body, more) = beginning(&seen, &mut response, long.unwrap_or(0)).await?;
        if !more {
            is_whole(&seen, method, &response, body.len() as u64)?;
        } else if !backend::is_final(head.status) {
            return Err(Outcome::Error); // a long error is of no use to anybody
        }
        Ok((head, body, more.then_some(response)))
    };
    let (head, body, response) = tokio::select! {
        biased;
        received = received => received?,
        () = seen.stalled() => return Err(Outcome::Error),
    };
    let closes = head.closes();
    let Some(response) = response else {
        if !closes {
            context.backends.give_back(lease);
        }
        return Ok((head, body.into(), None));
    };
    // Where there is no memory the backend waits. Its time goes on.
    let share = context.budget.wait(ON_THE_WAY).await;
    let (feed, download) = feed(head.length(), share);
    let came = body.len() as u64;
    feed.put(body).await; // there is room for the first
    let rest = Box::new(Rest { feed, lease, response, closes, came });
    Ok((head, AnswerBody::Streamed(download), Some(rest)))
}

/// The body; or the beginning of one that is too long to be held, and whether there is more.
async fn beginning(
    seen: &ResponseMonitor,
    response: &mut ClientResponse,
    length: u64,
) -> Result<(Bytes, bool), Outcome> {
    let held_back = Instant::now() + HELD_BACK;
    let mut gathered = BufferedBody::default();
    loop {
        let part = if length > SHORT as u64 && gathered.len() > 0 {
            tokio::select! {
                biased;
                part = response.next() => part,
                () = sleep_until(held_back.into()) => break,
            }
        } else {
            response.next().await
        };
        let Some(part) = part else { return Ok((gathered.bytes(), false)) };
        gathered.push(part.map_err(|e| broken(&e, seen))?);
        if gathered.len() > SHORT {
            break;
        }
    }
    Ok((gathered.bytes(), true))
}

/// Passes on the rest of an answer, at the pace of its reader.
async fn pass_on(context: &Context, rest: Rest, method: &Method) -> Outcome {
    let Rest { feed, lease, mut response, closes, mut came } = rest;
    let seen = lease.seen.clone();
    let passes = async {
        loop {
            let part = match timeout(STILL, response.next()).await {
                Err(_) => return Outcome::Timeout,
                Ok(Some(Err(e))) => return broken(&e, &seen),
                Ok(Some(Ok(part))) => part,
                Ok(None) => break,
            };
            came += part.len() as u64;
            if came > LONGEST {
                return Outcome::Error;
            }
            match timeout(STILL, feed.put(part)).await {
                Ok(true) => {}
                Ok(false) | Err(_) => return Outcome::Cancelled, // its reader left, or stands still
            }
        }
        if let Err(outcome) = is_whole(&seen, method, &response, came) {
            return outcome;
        }
        feed.end().await;
        if !closes {
            context.backends.give_back(lease);
        }
        Outcome::Ok
    };
    tokio::select! {
        biased;
        outcome = passes => outcome,
        () = feed.unread() => Outcome::Cancelled, // its reader left while the backend was silent
    }
}

/// Whether nothing was sent, since the connection that was kept had ended.
fn lacks_connection(error: &SendRequestError) -> bool {
    matches!(error, SendRequestError::Connect(ConnectError::Io(_)))
}

/// What an attempt without an answer means, once there was a connection for it. awc says `Disconnected` of one that
/// ended while the answer was awaited: the request was written by then, so that it may have run, as after any error of
/// reading or writing. What came and was no answer tells no more of the backend than an error would: it is there, and
/// does not cut calls off.
fn failure(error: &SendRequestError, seen: &ResponseMonitor) -> Outcome {
    match error {
        _ if seen.malformed.get() => Outcome::Error,
        _ if seen.withheld() => Outcome::NotSent,
        SendRequestError::Connect(ConnectError::Disconnected) => Outcome::Reset,
        SendRequestError::Connect(_) => Outcome::ConnectFailed,
        SendRequestError::Body(_) => Outcome::Cancelled, // the client's body broke off, and the call with it
        _ => Outcome::Reset,
    }
}

/// What a body that can't be read further means.
fn broken(_: &PayloadError, seen: &ResponseMonitor) -> Outcome {
    if seen.malformed.get() { Outcome::Error } else { Outcome::Reset }
}

/// Whether a body that ended is whole. awc ends a body quietly where its connection ended in the middle of it, so
/// the length is compared, and a chunked body is not whole if the stream ended before its last chunk. One without
/// either is whole if the backend ended its connection after it, as its head has to say.
fn is_whole(
    seen: &ResponseMonitor,
    method: &Method,
    response: &ClientResponse,
    came: u64,
) -> Result<(), Outcome> {
    match response.headers().get(CONTENT_LENGTH) {
        _ if *method == Method::HEAD => Ok(()),
        Some(length) if length.to_str().is_ok_and(|l| l.trim().parse() == Ok(came)) => Ok(()),
        None if !response.headers().contains_key(TRANSFER_ENCODING) => {
            let ends = response.version() == Version::HTTP_10 && seen.peer_closed.get();
            if ends { Ok(()) } else { Err(Outcome::Error) }
        }
        None if seen.whole() => Ok(()),
        _ => Err(Outcome::Reset),
    }
}

/// Probes an endpoint and tells the decisions what came of it: nothing, where this machine could not ask.
pub async fn health_check(context: Rc<Context>, endpoint: EndpointId) {
    let began = Instant::now();
    let lease = context.backends.lease(endpoint);
    let asked = async {
        match lease {
            Ok(lease) => probed(&context, lease).await.unwrap_or_else(End::from),
            Err(LeaseError::NoAddress(_)) => Outcome::ConnectFailed.into(),
            Err(LeaseError::AtLimit(_)) => Outcome::NotSent.into(),
        }
    };
    let End { outcome, load, .. } =
        timeout(PROBE_LIMIT, asked).await.unwrap_or_else(|_| Outcome::Timeout.into());
    // Danger: taken for a failed one, a probe that was never sent takes a good endpoint out of service.
    if outcome != Outcome::NotSent {
        let duration = began.elapsed().as_nanos() as u64;
        context.tell(Event::HealthCheckCompleted { endpoint, outcome, duration, load });
    }
}

async fn probed(context: &Context, lease: Lease) -> Result<End, Outcome> {
    let seen = lease.seen.clone();
    seen.expects_no_body.set(false);
    seen.attempt_stats.take(); // a probe is no attempt
    seen.begin(None);
    if !lease.kept {
        connect(context, &lease).await?;
    }
    let send = || backend::probe(&lease.client, lease.target.addr).send();
    let mut response = awaited(&seen, send()).await?;
    if response.as_ref().is_err_and(lacks_connection) {
        connect(context, &lease).await?;
        response = awaited(&seen, send()).await?;
    }
    let response = response.map_err(|error| failure(&error, &seen))?;
    match receive(context, lease, &Method::GET, response).await? {
        (_, _, Some(_)) => Err(Outcome::Error), // no probe has so long an answer
        (head, ..) => {
            let outcome = backend::outcome(head.status, &head.headers);
            Ok(End { load: backend::load(&head.headers), ..outcome.into() })
        }
    }
}

#[cfg(test)]
mod tests;
