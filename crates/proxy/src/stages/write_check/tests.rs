use super::*;
use crate::backends::Backends;
use crate::call::ClientCheck;
use crate::call::{Body, Payload, Verdict};
use crate::descriptors::Descriptors;
use crate::stages::context::{EventSink, Limits};
use crate::stages::request_table::RequestKey;
use actix_http::Method;
use actix_http::header::{HeaderMap, HeaderValue};
use bytes::Bytes;
use olivecart_decisions::{EndpointId, Event};
use std::net::SocketAddr;
use std::rc::Weak;
use std::time::Duration;

struct NullSink;

impl EventSink for NullSink {
    fn report(&self, _: Event) {}
}

const ENDPOINT: EndpointId = EndpointId(2);
const STARTED: Option<u64> = Some(7);

fn addr(port: u16) -> Option<SocketAddr> {
    Some(SocketAddr::from(([127, 0, 0, 1], port)))
}

/// A context with one endpoint at port 1, and an open request.
fn context_with_request() -> (Rc<Context>, RequestId) {
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let second = Duration::from_secs(1);
    let backends = Backends::new(second, second, Rc::new(Descriptors::new(1, Rc::default())), log);
    backends.update_endpoint(ENDPOINT, addr(1), STARTED, true);
    let limits = Limits { max_open_requests: 9, hedging_enabled: false };
    let event_sink: Weak<dyn EventSink> = Weak::<NullSink>::new();
    let context = Rc::new(Context::new(event_sink, Rc::default(), backends, limits, Rc::default(), None));
    let (headers, body) = (HeaderMap::new(), Body::Buffered { bytes: Bytes::new(), _reservation: None });
    let payload = Rc::new(Payload { method: Method::GET, target: None, headers, body });
    let deadline = Instant::now() + Duration::from_secs(600);
    let (request, _) = context
        .request_table
        .open(
            RequestKey { id: HeaderValue::from_static("r"), is_repeatable: true },
            payload,
            deadline,
            ClientCheck::default(),
        )
        .expect("opened");
    (context, request)
}

fn write_check(context: &Rc<Context>, request: RequestId, start_by: Instant) -> WriteCheck {
    let (attempt, _) = context.request_table.start_attempt(request, start_by);
    let lease = context.backends.lease(ENDPOINT).expect("the endpoint is listed");
    let Ok(attempt) = attempt else { panic!("the request is open") };
    WriteCheck::new(context, &attempt, lease.target)
}

#[test]
fn write_is_allowed_while_conditions_of_the_decision_hold() {
    let (context, request) = context_with_request();
    let check = write_check(&context, request, Instant::now() + Duration::from_secs(600));
    assert_eq!(check.check(), Ok(()));
    context.backends.update_endpoint(ENDPOINT, addr(1), STARTED, true); // an update that changes nothing
    assert_eq!(check.check(), Ok(()));
}

#[test]
fn write_is_rejected_once_the_request_has_ended() {
    let (context, request) = context_with_request();
    let check = write_check(&context, request, Instant::now() + Duration::from_secs(600));
    assert!(context.request_table.abandon(request), "the client disconnects");
    assert_eq!(check.check(), Err(WriteRejected::RequestEnded(request)));
    let (context, request) = context_with_request();
    let check = self::write_check(&context, request, Instant::now() + Duration::from_secs(600));
    assert!(context.request_table.finish(request, Verdict::Failed), "the client has its response");
    assert_eq!(check.check(), Err(WriteRejected::RequestEnded(request)));
}

#[test]
fn write_is_rejected_once_the_endpoint_is_not_ready_or_another_process() {
    type Change = fn(&Backends);
    let changes: [(&str, Change); 5] = [
        ("draining", |b| b.update_endpoint(ENDPOINT, addr(1), STARTED, false)),
        ("another address", |b| b.update_endpoint(ENDPOINT, addr(2), STARTED, true)),
        ("restarted", |b| b.update_endpoint(ENDPOINT, addr(1), Some(8), true)),
        ("missing in a snapshot", |b| b.mark_all_unready()),
        ("cluster removed", |b| b.close()),
    ];
    for (name, change) in changes {
        let (context, request) = context_with_request();
        let check = write_check(&context, request, Instant::now() + Duration::from_secs(600));
        change(&context.backends);
        assert!(
            matches!(check.check(), Err(WriteRejected::EndpointUnavailable(t)) if t.endpoint == ENDPOINT),
            "{name}"
        );
    }
}

#[test]
fn write_is_rejected_after_the_deadline_and_after_the_deduplication_window() {
    let (context, request) = context_with_request();
    let mut check = write_check(&context, request, Instant::now());
    assert_eq!(check.check(), Err(WriteRejected::DeduplicationWindowExceeded(request)));
    check.deadline = Instant::now();
    assert_eq!(check.check(), Err(WriteRejected::DeadlineExceeded(request)));
}

#[test]
fn write_is_rejected_if_the_head_was_built_too_long_ago() {
    let (context, request) = context_with_request();
    let check = write_check(&context, request, Instant::now() + Duration::from_secs(600));
    let now = Instant::now();
    check.on_head_built(now);
    assert_eq!(check.check_at(now + MAX_HEAD_AGE), Ok(()));
    assert!(!check.needs_new_head());
    let late = now + MAX_HEAD_AGE + Duration::from_millis(1);
    assert_eq!(check.check_at(late), Err(WriteRejected::HeadOutdated(request)));
}
