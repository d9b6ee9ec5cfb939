//! One client's request, over all its tries; and the looks at proxies of the front that they come through.

use super::Shared;
use super::schedule::{Planned, again_in};
use crate::model::{CompletedRequest, NO_TENANT, RequestOutcome};
use crate::scenario::Effect;
use crate::sockets::chance::{Chance, stream};
use crate::sockets::client::{Answer, CallError, Outgoing, Pool};
use crate::sockets::held;
use crate::sockets::protocol::{self, API, READY};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::RETRY_AFTER;
use hyper::{HeaderMap, Method, Request, StatusCode};
use rand::Rng;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// A target is looked at this often at least, and at most.
const LOOKS: [Duration; 2] = [Duration::from_millis(50), Duration::from_secs(1)];

/// Looks again and again whether a target is there. One that answers at all is, unless it says that it is not
/// ready.
pub async fn look_after(shared: Arc<Shared>, target: usize) {
    let notices = shared.topology.scenario.clients.notices_dead_proxy.duration();
    let period = (notices / 4).clamp(LOOKS[0], LOOKS[1]);
    let pool = Pool::new(shared.pools[target].to(), 1);
    loop {
        let look = Request::get(READY).header("host", "api.internal").body(Full::default());
        let looked = timeout(period.max(LOOKS[1] / 4), pool.call(look.unwrap_or_default())).await;
        let there = matches!(looked, Ok(Ok(answer)) if answer.status != StatusCode::SERVICE_UNAVAILABLE);
        held(&shared.front).looked(target, there, shared.now());
        sleep(period).await;
    }
}

/// Plays a request from when it is due to its last answer.
pub async fn play(shared: Arc<Shared>, number: usize) {
    let planned = &shared.schedule.requests[number];
    let behind = shared.now().saturating_sub(planned.due) / 1000;
    let _ = held(&shared.lag).record(behind.max(1)); // it grows as it must
    if let Some(lately) = &mut *held(&shared.lately) {
        lately.offered += 1;
    }
    if shared.open.fetch_add(1, Ordering::SeqCst) >= shared.options.most_open {
        shared.dropped.fetch_add(1, Ordering::SeqCst);
        shared.ended(planned, RequestOutcome::Failed, shared.now());
    } else {
        let mut chance = stream(shared.topology.seed, "client", number as u64);
        let (verdict, at) = tries(&shared, number, planned, &mut chance).await;
        shared.ended(planned, verdict, at);
    }
    shared.open.fetch_sub(1, Ordering::SeqCst);
}

/// All tries of a request: how the last one ended, and when.
async fn tries(
    shared: &Shared,
    number: usize,
    planned: &Planned,
    chance: &mut Chance,
) -> (RequestOutcome, u64) {
    for attempt in 0.. {
        let verdict = one_try(shared, number, planned, attempt, chance).await;
        let now = shared.now();
        let Some(wait) = again_in(&shared.topology, planned, attempt, verdict, now) else {
            return (verdict, now);
        };
        held(&shared.counters).client_retry(now);
        sleep(Duration::from_nanos(wait)).await;
    }
    (RequestOutcome::Failed, shared.now())
}

async fn one_try(
    shared: &Shared,
    number: usize,
    planned: &Planned,
    attempt: u32,
    chance: &mut Chance,
) -> RequestOutcome {
    let (clients, class) =
        (&shared.topology.scenario.clients, &shared.topology.scenario.class[planned.class]);
    let now = shared.now();
    let whole = class.deadline.nanos();
    let begins = if attempt == 0 { planned.due } else { now };
    let ends = (planned.due + whole).min(begins + (whole as f64 * clients.patience) as u64);
    let left = Duration::from_nanos(ends.saturating_sub(now));
    let leaves_early = chance.random::<f64>() < clients.impatient;
    let waits = if leaves_early { left.mul_f64(chance.random()) } else { left };
    let target = held(&shared.front).pick(planned.zone, chance.random(), now);
    let Some(target) = target else { return RequestOutcome::Unreachable };
    let id = id(shared.topology.seed, number, attempt);
    let request = outgoing(shared, number, planned, &id, attempt, left);
    let until = Instant::now() + waits;
    match timeout_at(until, shared.pools[target].call(request)).await {
        Ok(Ok(answer)) => verdict(shared, &answer, &id),
        Ok(Err(CallError::Connect(_))) => RequestOutcome::Unreachable,
        Ok(Err(CallError::Broken(_) | CallError::Body)) | Err(_) => RequestOutcome::Failed,
    }
}

/// A try's id. It tells which request it is.
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
    request.body(Full::new(body)).unwrap_or_default() // of texts that were checked
}

fn verdict(shared: &Shared, answer: &Answer, id: &str) -> RequestOutcome {
    match answer.status {
        // Stand-ins answer with the request's id.
        StatusCode::OK if answer.body.starts_with(b"load-") && answer.body != id.as_bytes() => {
            shared.foreign.fetch_add(1, Ordering::SeqCst);
            RequestOutcome::Failed
        }
        StatusCode::OK => RequestOutcome::Served(0),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            RequestOutcome::Refused(come_back(&answer.headers))
        }
        _ => RequestOutcome::Failed,
    }
}

/// When a refusal says to come back, in nanoseconds; 0: it says nothing.
fn come_back(headers: &HeaderMap) -> u64 {
    let text = headers.get(RETRY_AFTER).and_then(|value| value.to_str().ok());
    text.and_then(protocol::retry_after).map_or(0, |after| after.as_nanos() as u64)
}

impl Shared {
    fn ended(&self, planned: &Planned, verdict: RequestOutcome, at: u64) {
        let class = &self.topology.classes[planned.class];
        let took = at.saturating_sub(planned.due);
        let in_time = took <= class.settings.latency_objective;
        let verdict = match verdict {
            RequestOutcome::Served(_) if took > class.settings.client_deadline => RequestOutcome::Failed, // nobody waited any more
            other => other,
        };
        let part = if planned.over_share { self.topology.scenario.over_share_worth } else { 1.0 };
        let worth = |worth: u64| (worth as f64 * part).round() as u64;
        let served = match verdict {
            RequestOutcome::Served(_) if in_time => worth(class.worth),
            RequestOutcome::Served(_) => worth(class.late_worth),
            _ => 0,
        };
        held(&self.counters).request_completed(&CompletedRequest {
            class: planned.class as u16,
            tenant: planned.tenant.map_or(NO_TENANT, |tenant| tenant as u16),
            arrived: planned.due,
            took,
            outcome: verdict,
            in_time,
            asked: worth(class.worth),
            served,
            over_share: planned.over_share,
        });
        let mut lately = held(&self.lately);
        let Some(lately) = &mut *lately else { return };
        match verdict {
            RequestOutcome::Served(_) => {
                *(if in_time { &mut lately.in_time } else { &mut lately.late }) += 1;
                lately.latencies.push(took / 1000);
            }
            RequestOutcome::Refused(_) => lately.refused += 1,
            RequestOutcome::Failed | RequestOutcome::Unreachable => lately.failed += 1,
        }
    }
}
