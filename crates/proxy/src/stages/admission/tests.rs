use super::*;
use crate::backends::Backends;
use crate::call::{Body, ClientCheck, Payload};
use crate::descriptors::Descriptors;
use crate::memory::{MemoryAccountant, Owner};
use crate::stages::context::{EventSink, Limits};
use actix_http::Method;
use actix_http::header::{HeaderMap, HeaderValue};
use bytes::Bytes;
use olivecart_decisions::ClassId;
use std::cell::RefCell;

/// Records the events that are reported to it.
#[derive(Default)]
struct Recorder(RefCell<Vec<Event>>);

impl EventSink for Recorder {
    fn report(&self, event: Event) {
        self.0.borrow_mut().push(event);
    }
}

fn context(recorder: &Rc<Recorder>, max_open_requests: usize) -> Rc<Context> {
    let event_sink: Rc<dyn EventSink> = recorder.clone();
    let descriptors = Rc::new(Descriptors::new(1, Rc::default()));
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let backends = Backends::new(Duration::from_secs(1), Duration::from_secs(1), descriptors, log);
    let limits = Limits { max_open_requests, hedging_enabled: false };
    Rc::new(Context::new(Rc::downgrade(&event_sink), Rc::default(), backends, limits, Rc::default(), None))
}

fn call(id: &'static str) -> Call {
    let memory = Rc::new(MemoryAccountant::default());
    let (headers, body) = (HeaderMap::new(), Body::Buffered { bytes: Bytes::new(), _reservation: None });
    Call {
        id: HeaderValue::from_static(id),
        class: ClassId(0),
        tenant: None,
        retry: false,
        deadline: Instant::now() + Duration::from_secs(60),
        authority: None,
        payload: Rc::new(Payload { method: Method::GET, target: None, headers, body }),
        client: ClientCheck::default(),
        is_repeatable: true,
        open_request: memory.try_reserve(Owner::OpenRequests, 1).expect("the first one"),
    }
}

#[test]
fn dropping_an_open_request_reports_one_abort_and_dropping_a_finished_one_reports_none() {
    let recorder = Rc::new(Recorder::default());
    let context = context(&recorder, 2);
    let dropped = admit(&context, call("dropped")).ok().expect("admitted");
    let finished = admit(&context, call("finished")).ok().expect("admitted");
    assert!(context.request_table.finish(RequestId(1), Verdict::Failed));
    drop((dropped, finished));
    let events = recorder.0.borrow();
    let [Event::RequestArrived(dropped), Event::RequestArrived(ended), Event::RequestAborted(aborted)] =
        &events[..]
    else {
        panic!("{events:?}")
    };
    assert_eq!((dropped.id, ended.id, *aborted), (RequestId(0), RequestId(1), RequestId(0)));
}

#[test]
fn rejected_calls_are_not_reported_to_the_balancer() {
    let recorder = Rc::new(Recorder::default());
    let context = context(&recorder, 2);
    let first = admit(&context, call("a")).ok().expect("admitted");
    assert!(matches!(admit(&context, call("a")), Err(AdmissionError::DuplicateId)));
    let _second = admit(&context, call("b")).ok().expect("admitted");
    assert!(matches!(admit(&context, call("c")), Err(AdmissionError::LimitReached)));
    assert_eq!(recorder.0.borrow().len(), 2);
    drop(first);
    context.set_max_open_requests(1);
    assert!(
        matches!(admit(&context, call("a")), Err(AdmissionError::LimitReached)),
        "the cluster's limit is lower than that of the settings"
    );
    context.set_max_open_requests(2);
    assert!(admit(&context, call("a")).is_ok(), "the first request released its id and its slot");
}
