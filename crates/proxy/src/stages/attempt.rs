//! Runs one attempt of a request on one connection and reports exactly one outcome for it; also runs health
//! checks.
//!
//! Whether a failed attempt is retried is decided by the balancer, not here.

use super::admission::DEADLINE_MARGIN;
use super::context::Context;
use super::endpoint_response::{BODY_IDLE_TIMEOUT, ResponseRemainder, forward_remainder, receive};
use super::request_table::{Attempt, Execution};
use super::response_start::StallPolicy;
use super::write_check::WriteCheck;
use crate::backends::{Lease, LeaseError};
use crate::bodies::{Pieces, RequestBody};
use crate::call::{Body, EndpointResponse, Payload, Verdict};
use crate::connect::ConnectFailure;
use crate::memory::PIECE_BYTES;
use crate::platform::backend;
use crate::response_monitor::{ResponseMonitor, WriteCheckFn};
use actix_http::Method;
use awc::error::{ConnectError, SendRequestError};
use awc::{ClientResponse, SendClientRequest};
use olivecart_decisions::{AttemptEnd, EndpointId, Event, LoadReport, Outcome, RequestId};
use slog::debug;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::{sleep_until, timeout};

/// Endpoints answer health checks without queueing them, so a response that takes longer than any round trip
/// means that the machine hangs.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(400);
/// An attempt may need a head for a pooled connection, another for the connection that replaces it, and a
/// third one if the process was suspended in between.
const MAX_HEADS_PER_ATTEMPT: usize = 3;

/// The result of an attempt or a health check.
struct AttemptResult {
    outcome: Outcome,
    response: Option<EndpointResponse>,
    load: Option<LoadReport>,
    /// The remainder of a response that is streamed.
    remainder: Option<Box<ResponseRemainder>>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> AttemptResult {
        AttemptResult { outcome, response: None, load: None, remainder: None }
    }
}

/// Runs an attempt to its end and reports its outcome.
pub async fn run(context: Rc<Context>, mut attempt: Attempt, endpoint: EndpointId) {
    let began = Instant::now();
    let lease = context.backends.lease(endpoint);
    let monitor = lease.as_ref().ok().map(|lease| lease.monitor.clone());
    let write_check =
        lease.as_ref().ok().map(|lease| Rc::new(WriteCheck::new(&context, &attempt, lease.target)));
    if let Some(monitor) = &monitor {
        monitor.begin_request(None); // resets the state of a pooled connection's previous request
    }
    let upload = match &attempt.payload.body {
        Body::Streamed(upload) => Some(upload.clone()),
        Body::Buffered { .. } => None,
    };
    let (mut awaits_release, mut started) = (upload.is_some(), began);
    let stall_policy = stall_policy(&attempt);
    let mut result = {
        let exchange = exchange(&context, lease, write_check, &attempt.payload, stall_policy);
        let expired = wait_until_expired(upload.as_deref(), attempt.deadline);
        tokio::pin!(exchange, expired);
        loop {
            tokio::select! {
                biased;
                _ = &mut attempt.cancelled => break match &monitor {
                    // Reported as `Cancelled`, an attempt that was never sent would count as one that may
                    // have run, and a request that must not run twice would have no other attempt.
                    Some(monitor) if !monitor.is_written() => Outcome::NotSent.into(),
                    _ => Outcome::Cancelled.into(),
                },
                () = wait_for_body_release(upload.as_deref()), if awaits_release => {
                    awaits_release = false;
                    report_response_started(&context, &attempt);
                }
                result = &mut exchange => break result,
                () = &mut expired => break match &monitor {
                    // The time was spent on establishing the connection.
                    Some(monitor) if !monitor.is_written() => Outcome::ConnectFailed.into(),
                    _ => Outcome::Timeout.into(),
                },
            }
        }
    };
    if result.outcome == Outcome::Timeout
        && let Some(monitor) = &monitor
    {
        context.backends.on_response_missing(monitor);
    }
    // The exchange was dropped above, and with it the connection of a cancelled attempt. The outcome must not
    // be reported earlier, since the balancer may send the request to another endpoint at once.
    let execution = execution(&result, upload.as_deref());
    if let Some(upload) = &upload {
        started = upload.ended_at().unwrap_or(began); // an endpoint starts work once it has the last byte
        if result.response.is_none() && upload.is_released() {
            finish_without_retry(&context, &attempt, execution);
        }
    }
    let elapsed = started.elapsed();
    // The attempt ends here even if its response is still being streamed. If it ended with the last byte, it
    // would occupy its slot at the endpoint while a client reads slowly, and a hedged request would be sent
    // and then cancelled.
    let remainder = result.remainder.take();
    record_outcome(&context, &attempt, endpoint, elapsed, execution, result);
    let Some(remainder) = remainder else { return };
    let outcome = forward_remainder(&context, *remainder, attempt.deadline).await;
    // The attempt was already counted as a success, although the endpoint may have failed during the
    // response.
    if !matches!(outcome, Outcome::Ok | Outcome::Cancelled) {
        health_check(context, endpoint).await;
    }
}

/// Whether an attempt may have been executed. An endpoint that did not receive the last byte never executed the
/// request.
fn execution(result: &AttemptResult, upload: Option<&RequestBody>) -> Execution {
    let is_incomplete = upload.is_some_and(|upload| !upload.is_complete());
    if is_incomplete || result.outcome.was_never_executed() { Execution::Never } else { Execution::Possible }
}

/// Ends a request whose body can't be sent again, since a part of it is no longer buffered: the client gets
/// its response at once, and the balancer is not asked for another attempt.
fn finish_without_retry(context: &Context, attempt: &Attempt, execution: Execution) {
    let verdict = match execution {
        Execution::Never => Verdict::Refused { retry_after: Duration::ZERO },
        Execution::Possible => Verdict::Failed,
    };
    context.request_table.finish(attempt.request, verdict);
}

/// Reports that the request is bound to this attempt: it is neither retried nor hedged from now on, and the
/// balancer keeps no timer for it.
fn report_response_started(context: &Context, attempt: &Attempt) {
    context.report(Event::ResponseStarted { request: attempt.request, attempt: attempt.number });
}

async fn wait_for_body_release(upload: Option<&RequestBody>) {
    match upload {
        Some(upload) => upload.wait_until_released().await,
        None => std::future::pending().await,
    }
}

/// Resolves when an attempt times out. The time of a streamed body runs from its last byte at this machine; before
/// that, the attempt times out only if the body makes no progress.
async fn wait_until_expired(upload: Option<&RequestBody>, deadline: Instant) {
    let Some(upload) = upload else { return sleep_until(deadline.into()).await };
    tokio::select! {
        () = upload.clock().wait_until_over(DEADLINE_MARGIN) => {}
        () = upload.wait_until_stalled(BODY_IDLE_TIMEOUT) => {}
    }
}

fn record_outcome(
    context: &Context,
    attempt: &Attempt,
    endpoint: EndpointId,
    elapsed: Duration,
    execution: Execution,
    result: AttemptResult,
) {
    let completed = context.request_table.attempt_ended(attempt.request, execution, result.response);
    context.report(Event::AttemptEnded(AttemptEnd {
        request: attempt.request,
        attempt: attempt.number,
        endpoint,
        outcome: result.outcome,
        duration: elapsed.as_nanos() as u64,
        request_completed: completed,
        load: result.load,
    }));
}

/// Records and reports the end of an attempt that was never sent.
pub fn report_unsent(
    context: &Context,
    request: RequestId,
    number: u32,
    endpoint: EndpointId,
    outcome: Outcome,
) {
    let completed = context.request_table.attempt_ended(request, Execution::Never, None);
    let end = AttemptEnd {
        request,
        attempt: number,
        endpoint,
        outcome,
        duration: 0,
        request_completed: completed,
        load: None,
    };
    context.report(Event::AttemptEnded(end));
}

/// Sends the request and receives the response, or the start of a long one. Without a connection the outcome
/// is `NotSent`: a shortage of descriptors in this process says nothing about the endpoint.
async fn exchange(
    context: &Context,
    lease: Result<Lease, LeaseError>,
    write_check: Option<Rc<WriteCheck>>,
    payload: &Payload,
    stall_policy: StallPolicy,
) -> AttemptResult {
    let (Ok(lease), Some(write_check)) = (lease, write_check) else { return Outcome::NotSent.into() };
    let (target, method) = (lease.target, &payload.method);
    lease.monitor.expects_no_body.set(*method == Method::HEAD);
    let (monitor, reused) = (lease.monitor.clone(), lease.reused);
    let received = match send(context, &lease, &write_check, payload).await {
        Ok(response) => receive(context, lease, response, stall_policy).await,
        Err(outcome) => Err(outcome),
    };
    let reconnected = monitor.reconnected.take();
    let pooled_connection_broke = matches!(received, Err(Outcome::Reset)) && reused && !reconnected;
    if pooled_connection_broke || reused && reconnected {
        context.backends.on_pooled_connection_closed(target.endpoint);
    }
    context.report_faulty_response(target, &monitor);
    match received {
        Ok((head, body, remainder)) => {
            let outcome = backend::outcome(head.status, &head.headers);
            let load = backend::load_report(&head.headers);
            if head.status.is_success() {
                context.backends.on_response(target.endpoint, &monitor);
            }
            let forwarded = || EndpointResponse {
                status: head.status,
                headers: backend::forwarded_headers(head.headers),
                body,
            };
            let response = backend::is_final(head.status).then(forwarded);
            AttemptResult { outcome, response, load, remainder }
        }
        // A pooled connection that breaks does not mean that the endpoint is unreachable.
        Err(_) if pooled_connection_broke => Outcome::Error.into(),
        Err(outcome) => outcome.into(),
    }
}

/// Another endpoint may answer a request that is safe to repeat, unless the second one stalls as the first one did.
fn stall_policy(attempt: &Attempt) -> StallPolicy {
    let may_be_repeated = attempt.number == 0 && attempt.is_repeatable;
    if may_be_repeated { StallPolicy::GiveUp } else { StallPolicy::Wait }
}

/// Sends the request of an attempt and waits for the head of the response. The head of the request contains
/// the time left, and connecting may take the whole connect timeout: the head is therefore built once the
/// connection is established, and built again for another connection.
async fn send(
    context: &Context,
    lease: &Lease,
    write_check: &Rc<WriteCheck>,
    payload: &Payload,
) -> Result<ClientResponse, Outcome> {
    lease.wait_until_usable().await;
    let mut needs_connection = !lease.reused;
    for _ in 0..MAX_HEADS_PER_ATTEMPT {
        if needs_connection {
            connect(context, lease).await?;
            if write_check.needs_new_head() {
                lease.monitor.reconnected.set(false); // the endpoint had not closed the old connection
            }
        }
        match wait_for_head(&lease.monitor, send_once(context, lease, write_check, payload)).await? {
            Ok(response) => return Ok(response),
            Err(error) if !lacked_connection(&error) && !write_check.needs_new_head() => {
                return Err(outcome_of_error(&error, &lease.monitor));
            }
            Err(_) => needs_connection = true, // the pooled connection was closed, or the head was outdated
        }
    }
    Err(Outcome::NotSent)
}

async fn connect(context: &Context, lease: &Lease) -> Result<(), Outcome> {
    let began = Instant::now();
    let connected = lease.connect().await;
    if connected.is_ok() {
        context.backends.on_connected(lease.target.endpoint, began.elapsed());
    }
    connected.map_err(|failure| {
        debug!(context.backends.log(), "connect failed"; "reason" => %failure);
        match failure {
            ConnectFailure::Local(..) => Outcome::NotSent,
            ConnectFailure::TimedOut(_) | ConnectFailure::Unreachable(..) => Outcome::ConnectFailed,
        }
    })
}

/// Sends the request once, on the current connection and with the time that is left now.
fn send_once(
    context: &Context,
    lease: &Lease,
    write_check: &Rc<WriteCheck>,
    payload: &Payload,
) -> SendClientRequest {
    let now = Instant::now();
    let time_left = write_check.time_left(now);
    let request = backend::request(&lease.client, lease.target.addr, payload, time_left);
    let stats = context.stats.clone();
    lease.monitor.attempt_stats.replace(None);
    match &payload.body {
        Body::Buffered { bytes, .. } => {
            write_check.on_head_built(now);
            lease.monitor.begin_request(Some(write_check_fn(write_check)));
            lease.monitor.attempt_stats.replace(stats);
            let without_body = bytes.is_empty() && matches!(payload.method, Method::GET | Method::HEAD);
            match bytes.len() {
                _ if without_body => request.send(),
                ..=PIECE_BYTES => request.send_body(bytes.clone()),
                _ => request.send_body(Pieces::from(bytes.clone())),
            }
        }
        // The time left runs from the last byte of the body, so the head can't become outdated.
        Body::Streamed(upload) => {
            lease.monitor.begin_request(Some(write_check_fn(write_check)));
            let count_attempt = move || stats.iter().for_each(|stats| stats.count_attempt()); // with the last byte
            request.send_body(upload.stream(count_attempt))
        }
    }
}

fn write_check_fn(write_check: &Rc<WriteCheck>) -> WriteCheckFn {
    let write_check = write_check.clone();
    Box::new(move || write_check.check().map_err(std::io::Error::other))
}

/// Waits for the head of a response. A head that starts to arrive and never ends would otherwise hold the
/// request until its deadline.
async fn wait_for_head(
    monitor: &ResponseMonitor,
    sending: SendClientRequest,
) -> Result<Result<ClientResponse, SendRequestError>, Outcome> {
    tokio::select! {
        biased;
        response = sending => Ok(response),
        () = monitor.wait_until_stalled() => Err(Outcome::Error),
    }
}

/// Whether nothing was sent because the pooled connection had already been closed.
fn lacked_connection(error: &SendRequestError) -> bool {
    matches!(error, SendRequestError::Connect(ConnectError::Io(_)))
}

/// Returns the outcome of an attempt that had a connection but received no response. awc reports
/// `Disconnected` if the connection ends while the response is awaited: the request was written by then, so
/// it may have run, as after any error of reading or writing. A malformed response counts like an error
/// response: the endpoint is reachable, and does not cut off requests.
fn outcome_of_error(error: &SendRequestError, monitor: &ResponseMonitor) -> Outcome {
    match error {
        _ if monitor.is_malformed() => Outcome::Error,
        _ if monitor.is_write_rejected() => Outcome::NotSent,
        SendRequestError::Connect(ConnectError::Disconnected) => Outcome::Reset,
        SendRequestError::Connect(_) => Outcome::ConnectFailed,
        SendRequestError::Body(_) => Outcome::Cancelled, // the client's body failed, and the request with it
        _ => Outcome::Reset,
    }
}

/// Checks the health of an endpoint and reports the result to the balancer. Reports nothing if the check
/// could not be sent for want of local resources.
pub async fn health_check(context: Rc<Context>, endpoint: EndpointId) {
    let began = Instant::now();
    let lease = context.backends.lease_for_health_check(endpoint);
    let check = async {
        match lease {
            Ok(lease) => run_health_check(&context, lease).await.unwrap_or_else(AttemptResult::from),
            Err(LeaseError::NoAddress(_)) => Outcome::ConnectFailed.into(),
            Err(LeaseError::AtLimit(_)) => Outcome::NotSent.into(),
        }
    };
    let AttemptResult { outcome, load, .. } =
        timeout(HEALTH_CHECK_TIMEOUT, check).await.unwrap_or_else(|_| Outcome::Timeout.into());
    // Reported as a failure, a check that was never sent would take a healthy endpoint out of service.
    if outcome != Outcome::NotSent {
        let duration = began.elapsed().as_nanos() as u64;
        context.report(Event::HealthCheckCompleted { endpoint, outcome, duration, load });
    }
}

async fn run_health_check(context: &Context, lease: Lease) -> Result<AttemptResult, Outcome> {
    let monitor = lease.monitor.clone();
    monitor.expects_no_body.set(false);
    monitor.attempt_stats.take(); // health checks are not counted as attempts
    monitor.begin_request(None);
    lease.wait_until_usable().await;
    if !lease.reused {
        connect(context, &lease).await?;
    }
    let send = || backend::health_check(&lease.client, lease.target.addr).send();
    let mut response = wait_for_head(&monitor, send()).await?;
    if response.as_ref().is_err_and(lacked_connection) {
        connect(context, &lease).await?;
        response = wait_for_head(&monitor, send()).await?;
    }
    let response = response.map_err(|error| outcome_of_error(&error, &monitor))?;
    match receive(context, lease, response, StallPolicy::GiveUp).await? {
        (_, _, Some(_)) => Err(Outcome::Error), // too long for a health check's response
        (head, ..) => {
            let outcome = backend::outcome(head.status, &head.headers);
            Ok(AttemptResult { load: backend::load_report(&head.headers), ..outcome.into() })
        }
    }
}

#[cfg(test)]
mod tests;
