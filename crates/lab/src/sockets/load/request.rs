//! Runs one client's request with all its attempts, and the clients' checks of the first tier's proxies.

use super::Shared;
use super::schedule::{Planned, retry_delay};
use crate::model::{CompletedRequest, NO_TENANT, RequestOutcome};
use crate::scenario::Effect;
use crate::sockets::client::{Answer, CallError, Outgoing, Pool};
use crate::sockets::lock;
use crate::sockets::protocol::{self, API, READY};
use crate::sockets::random::{RandomStream, stream};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::RETRY_AFTER;
use hyper::{HeaderMap, Method, Request, StatusCode};
use rand::Rng;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// The shortest and the longest time between two checks of a target.
const CHECK_PERIOD_RANGE: [Duration; 2] = [Duration::from_millis(50), Duration::from_secs(1)];

/// Checks a target periodically. Any response counts as up, except for one that says the target is not ready.
pub async fn check_target(shared: Arc<Shared>, target: usize) {
    let notices = shared.topology.scenario.clients.notices_dead_proxy.duration();
    let period = (notices / 4).clamp(CHECK_PERIOD_RANGE[0], CHECK_PERIOD_RANGE[1]);
    let pool = Pool::new(shared.pools[target].address(), 1);
    loop {
        let check = Request::get(READY).header("host", "api.internal").body(Full::default());
        let response =
            timeout(period.max(CHECK_PERIOD_RANGE[1] / 4), pool.call(check.unwrap_or_default())).await;
        let up = matches!(response, Ok(Ok(answer)) if answer.status != StatusCode::SERVICE_UNAVAILABLE);
        lock(&shared.targets).record_check(target, up, shared.now());
        sleep(period).await;
    }
}

/// Runs a request from when it is due until its last attempt ends.
pub async fn run_request(shared: Arc<Shared>, number: usize) {
    let planned = &shared.schedule.requests[number];
    let behind = shared.now().saturating_sub(planned.due) / 1000;
    let _ = lock(&shared.lag).record(behind.max(1)); // cannot fail: the histogram resizes itself
    if let Some(live_counts) = &mut *lock(&shared.live_counts) {
        live_counts.offered += 1;
    }
    if shared.open.fetch_add(1, Ordering::SeqCst) >= shared.options.most_open {
        shared.dropped.fetch_add(1, Ordering::SeqCst);
        shared.record_end(planned, RequestOutcome::Failed, shared.now());
    } else {
        let mut rng = stream(shared.topology.seed, "client", number as u64);
        let (outcome, at) = run_attempts(&shared, number, planned, &mut rng).await;
        shared.record_end(planned, outcome, at);
    }
    shared.open.fetch_sub(1, Ordering::SeqCst);
}

/// Runs all attempts of a request. Returns the outcome of the last attempt, and when it ended.
async fn run_attempts(
    shared: &Shared,
    number: usize,
    planned: &Planned,
    rng: &mut RandomStream,
) -> (RequestOutcome, u64) {
    for attempt in 0.. {
        let outcome = run_attempt(shared, number, planned, attempt, rng).await;
        let now = shared.now();
        let Some(wait) = retry_delay(&shared.topology, planned, attempt, outcome, now) else {
            return (outcome, now);
        };
        lock(&shared.counters).client_retry(now);
        sleep(Duration::from_nanos(wait)).await;
    }
    (RequestOutcome::Failed, shared.now())
}

async fn run_attempt(
    shared: &Shared,
    number: usize,
    planned: &Planned,
    attempt: u32,
    rng: &mut RandomStream,
) -> RequestOutcome {
    let (clients, class) =
        (&shared.topology.scenario.clients, &shared.topology.scenario.class[planned.class]);
    let now = shared.now();
    let total = class.deadline.nanos();
    let begins = if attempt == 0 { planned.due } else { now };
    let ends = (planned.due + total).min(begins + (total as f64 * clients.patience) as u64);
    let left = Duration::from_nanos(ends.saturating_sub(now));
    let gives_up_early = rng.random::<f64>() < clients.impatient;
    let waits = if gives_up_early { left.mul_f64(rng.random()) } else { left };
    let target = lock(&shared.targets).pick(planned.zone, rng.random(), now);
    let Some(target) = target else { return RequestOutcome::Unreachable };
    let id = id(shared.topology.seed, number, attempt);
    let request = outgoing(shared, number, planned, &id, attempt, left);
    let until = Instant::now() + waits;
    match timeout_at(until, shared.pools[target].call(request)).await {
        Ok(Ok(answer)) => outcome_of(shared, &answer, &id),
        Ok(Err(CallError::Connect(_))) => RequestOutcome::Unreachable,
        Ok(Err(CallError::ConnectionFailed(_) | CallError::Body)) | Err(_) => RequestOutcome::Failed,
    }
}

/// Returns an attempt's request id, which identifies the scheduled request.
fn id(seed: u64, number: usize, attempt: u32) -> String {
    format!("load-{seed:x}-{number}-{attempt}")
}

fn outgoing(
    shared: &Shared,
    number: usize,
    planned: &Planned,
    id: &str,
    attempt: u32,
    left: Duration,
) -> Outgoing {
    let scenario = &shared.topology.scenario;
    let class = &scenario.class[planned.class];
    let has_key = class.effect != Effect::Repeatable;
    let mut request = Request::builder()
        .method(if has_key { Method::POST } else { Method::GET })
        .uri(API)
        .header("host", "api.internal")
        .header(protocol::REQUEST_ID, id)
        .header(protocol::CLASS, &class.name)
        .header(protocol::DEADLINE, protocol::deadline_text(left))
        .header(protocol::EXTRAS, format!("{}={}", protocol::WORK, planned.work / 1000));
    if let Some(tenant) = planned.tenant {
        request = request.header(protocol::TENANT, &scenario.tenant[tenant].name);
    }
    if attempt > 0 && scenario.clients.marks_retry {
        request = request.header(protocol::RETRY, "1");
    }
    let mut body = Bytes::new();
    if has_key {
        let key = format!("key-{:x}-{number}", shared.topology.seed);
        request = request.header(protocol::KEY, &key);
        body = key.into();
    }
    request.body(Full::new(body)).unwrap_or_default() // cannot fail: names are validated
}

fn outcome_of(shared: &Shared, answer: &Answer, id: &str) -> RequestOutcome {
    match answer.status {
        // Stand-in servers respond with the request's id.
        StatusCode::OK if answer.body.starts_with(b"load-") && answer.body != id.as_bytes() => {
            shared.foreign.fetch_add(1, Ordering::SeqCst);
            RequestOutcome::Failed
        }
        StatusCode::OK => RequestOutcome::Served(0),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            RequestOutcome::Refused(retry_after_ns(&answer.headers))
        }
        _ => RequestOutcome::Failed,
    }
}

/// Returns the `Retry-After` of a refusal in nanoseconds, or 0 if it has none.
fn retry_after_ns(headers: &HeaderMap) -> u64 {
    let text = headers.get(RETRY_AFTER).and_then(|value| value.to_str().ok());
    text.and_then(protocol::retry_after).map_or(0, |after| after.as_nanos() as u64)
}

impl Shared {
    fn record_end(&self, planned: &Planned, outcome: RequestOutcome, at: u64) {
        let class = &self.topology.classes[planned.class];
        let took = at.saturating_sub(planned.due);
        let in_time = took <= class.settings.latency_objective;
        let outcome = match outcome {
            // The client had given up before the response arrived.
            RequestOutcome::Served(_) if took > class.settings.client_deadline => RequestOutcome::Failed,
            other => other,
        };
        let worth_share = if planned.over_share { self.topology.scenario.over_share_worth } else { 1.0 };
        let worth = |worth: u64| (worth as f64 * worth_share).round() as u64;
        let served = match outcome {
            RequestOutcome::Served(_) if in_time => worth(class.worth),
            RequestOutcome::Served(_) => worth(class.late_worth),
            _ => 0,
        };
        lock(&self.counters).request_completed(&CompletedRequest {
            class: planned.class as u16,
            tenant: planned.tenant.map_or(NO_TENANT, |tenant| tenant as u16),
            arrived: planned.due,
            took,
            outcome,
            in_time,
            asked: worth(class.worth),
            served,
            over_share: planned.over_share,
        });
        let mut live_counts = lock(&self.live_counts);
        let Some(live_counts) = &mut *live_counts else { return };
        match outcome {
            RequestOutcome::Served(_) => {
                *(if in_time { &mut live_counts.in_time } else { &mut live_counts.late }) += 1;
                live_counts.latencies.push(took / 1000);
            }
            RequestOutcome::Refused(_) => live_counts.refused += 1,
            RequestOutcome::Failed | RequestOutcome::Unreachable => live_counts.failed += 1,
        }
    }
}
