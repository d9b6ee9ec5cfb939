use super::*;
use crate::backends::Backends;
use crate::call::{Body, Payload, Verdict};
use crate::descriptors::Descriptors;
use crate::stages::context::{Decisions, Limits};
use actix_http::Method;
use actix_http::header::{HeaderMap, HeaderValue};
use bytes::Bytes;
use olivecart_decisions::{EndpointId, Event};
use std::net::SocketAddr;
use std::rc::Weak;
use std::time::Duration;

struct Nobody;

impl Decisions for Nobody {
    fn tell(&self, _: Event) {}
}

const ENDPOINT: EndpointId = EndpointId(2);
const STARTED: Option<u64> = Some(7);

fn addr(port: u16) -> Option<SocketAddr> {
    Some(SocketAddr::from(([127, 0, 0, 1], port)))
}

/// One endpoint at port 1, and a request that is open.
fn stage() -> (Rc<Context>, RequestId) {
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let second = Duration::from_secs(1);
    let backends = Backends::new(second, second, Rc::new(Descriptors::new(1)), log);
    backends.place(ENDPOINT, addr(1), STARTED, true);
    let limits = Limits { open_requests: 9, second_copies: false };
    let nobody: Weak<dyn Decisions> = Weak::<Nobody>::new();
    let context = Rc::new(Context::new(nobody, Rc::default(), backends, limits, Rc::default(), None));
    let (headers, body) = (HeaderMap::new(), Body::Whole { bytes: Bytes::new(), _share: None });
    let payload = Rc::new(Payload { method: Method::GET, target: None, headers, body });
    let far = Instant::now() + Duration::from_secs(600);
    let (request, _) =
        context.request_table.open(HeaderValue::from_static("r"), payload, far).expect("opened");
    (context, request)
}

fn gate(context: &Rc<Context>, request: RequestId, start_by: Instant) -> WriteGate {
    let (attempt, _) = context.request_table.attempt(request, start_by);
    let lease = context.backends.lease(ENDPOINT).expect("it is listed");
    let Ok(attempt) = attempt else { panic!("it is open") };
    WriteGate::new(context, &attempt, lease.target)
}

#[test]
fn it_is_open_while_all_is_as_it_was_when_the_attempt_was_decided() {
    let (context, request) = stage();
    let gate = gate(&context, request, Instant::now() + Duration::from_secs(600));
    assert_eq!(gate.check(), Ok(()));
    context.backends.place(ENDPOINT, addr(1), STARTED, true); // named again, the same
    assert_eq!(gate.check(), Ok(()));
}

#[test]
fn it_closes_once_the_request_has_ended() {
    let (context, request) = stage();
    let gate = gate(&context, request, Instant::now() + Duration::from_secs(600));
    assert!(context.request_table.abandon(request), "its client leaves");
    assert_eq!(gate.check(), Err(Closed::Ended(request)));
    let (context, request) = stage();
    let gate = self::gate(&context, request, Instant::now() + Duration::from_secs(600));
    assert!(context.request_table.finish(request, Verdict::Failed), "or has its answer");
    assert_eq!(gate.check(), Err(Closed::Ended(request)));
}

#[test]
fn it_closes_once_the_endpoint_is_not_the_process_that_took_requests() {
    type Change = fn(&Backends);
    let changes: [(&str, Change); 5] = [
        ("drains", |b| b.place(ENDPOINT, addr(1), STARTED, false)),
        ("moved", |b| b.place(ENDPOINT, addr(2), STARTED, true)),
        ("started anew", |b| b.place(ENDPOINT, addr(1), Some(8), true)),
        ("not in the whole list", |b| b.forget_all()),
        ("its cluster is gone", |b| b.close()),
    ];
    for (what, change) in changes {
        let (context, request) = stage();
        let gate = gate(&context, request, Instant::now() + Duration::from_secs(600));
        change(&context.backends);
        assert!(matches!(gate.check(), Err(Closed::Withdrawn(t)) if t.endpoint == ENDPOINT), "{what}");
    }
}

#[test]
fn it_closes_with_the_deadline_and_with_the_window_for_repeats() {
    let (context, request) = stage();
    let mut gate = gate(&context, request, Instant::now());
    assert_eq!(gate.check(), Err(Closed::WindowOver(request)));
    gate.until = Instant::now();
    assert_eq!(gate.check(), Err(Closed::Overdue(request)));
}

#[test]
fn it_closes_once_the_head_is_so_old_that_it_tells_too_much_time() {
    let (context, request) = stage();
    let gate = gate(&context, request, Instant::now() + Duration::from_secs(600));
    let now = Instant::now();
    gate.head_is_built(now);
    assert_eq!(gate.check_at(now + MAX_HEAD_AGE), Ok(()));
    assert!(!gate.wants_new_head());
    let late = now + MAX_HEAD_AGE + Duration::from_millis(1);
    assert_eq!(gate.check_at(late), Err(Closed::HeadOutdated(request)));
}
