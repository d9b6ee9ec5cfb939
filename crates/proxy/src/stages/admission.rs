//! Admits a call: opens its account and puts it to the decisions. The only admission of the proxy's own is
//! the limits on open requests that the settings give, and the cluster's source or its operators; and that nothing
//! waits for what operators took out.

use super::context::Context;
use crate::bodies::RequestBody;
use crate::call::{Body, Call, Verdict};
use olivecart_decisions::{Event, Request, RequestId};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// The decisions and every attempt end this long before the client stops waiting, so that what they come to
/// still reaches it in time.
pub const MARGIN: Duration = Duration::from_millis(6);

/// An open request. Dropped before its end, it tells the decisions that the client has gone.
pub struct Held {
    /// The time by which it must be answered, come what may.
    pub deadline: Instant,
    /// The body, if it was still coming.
    pub upload: Option<Rc<RequestBody>>,
    verdict: oneshot::Receiver<Verdict>,
    /// Closes the account when it is dropped.
    _account: Account,
}

struct Account {
    context: Rc<Context>,
    request: RequestId,
}

/// Why a call is not admitted.
pub enum NotAdmitted {
    /// As many are open as the settings or the cluster's limits allow.
    Full,
    /// Administrators drained whatever could take it.
    AllOut,
    /// One with its id is open.
    Twice,
}

/// Opens a call's account. Danger: a second request with the id of an open one is not that client's, and to a
/// backend would be another copy of it.
pub fn admit(context: &Rc<Context>, call: Call) -> Result<Held, NotAdmitted> {
    if !context.has_room() {
        return Err(NotAdmitted::Full);
    }
    // Danger: the decisions hold a request where news of the list may still save it; here there will be none.
    if context.all_out() {
        return Err(NotAdmitted::AllOut);
    }
    let until = call.deadline.checked_sub(MARGIN).unwrap_or(call.deadline);
    let upload = match &call.payload.body {
        Body::Streamed(upload) => Some(upload.clone()),
        Body::Whole { .. } => None,
    };
    let (request, verdict) =
        context.request_table.open(call.id, call.payload, until).ok_or(NotAdmitted::Twice)?;
    context.enter();
    let account = Account { context: context.clone(), request };
    context.tell(Event::RequestArrived(Request {
        tenant: call.tenant,
        is_retry: call.retry,
        ..Request::new(request, call.class, until.saturating_duration_since(Instant::now()).as_nanos() as u64)
    }));
    Ok(Held { deadline: call.deadline, upload, verdict, _account: account })
}

impl Held {
    /// Waits for the end that the decisions come to.
    pub async fn verdict(&mut self) -> Verdict {
        (&mut self.verdict).await.unwrap_or(Verdict::Failed)
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        self.context.leave();
        if self.context.request_table.abandon(self.request) {
            self.context.tell(Event::RequestAborted(self.request));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::backends::Backends;
    use crate::call::{Body, Payload};
    use crate::descriptors::Descriptors;
    use crate::stages::context::{Decisions, Limits};
    use actix_http::Method;
    use actix_http::header::{HeaderMap, HeaderValue};
    use bytes::Bytes;
    use olivecart_decisions::ClassId;
    use std::cell::RefCell;

    /// Notes what it is told, and answers nothing.
    #[derive(Default)]
    struct Recorder(RefCell<Vec<Event>>);

    impl Decisions for Recorder {
        fn tell(&self, event: Event) {
            self.0.borrow_mut().push(event);
        }
    }

    fn context(decisions: &Rc<Recorder>, open_requests: usize) -> Rc<Context> {
        let decisions: Rc<dyn Decisions> = decisions.clone();
        let descriptors = Rc::new(Descriptors::new(1));
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let backends = Backends::new(Duration::from_secs(1), Duration::from_secs(1), descriptors, log);
        let limits = Limits { open_requests, second_copies: false };
        Rc::new(Context::new(Rc::downgrade(&decisions), Rc::default(), backends, limits, Rc::default(), None))
    }

    fn call(id: &'static str) -> Call {
        let (headers, body) = (HeaderMap::new(), Body::Whole { bytes: Bytes::new(), _share: None });
        Call {
            id: HeaderValue::from_static(id),
            class: ClassId(0),
            tenant: None,
            retry: false,
            deadline: Instant::now() + Duration::from_secs(60),
            authority: None,
            payload: Rc::new(Payload { method: Method::GET, target: None, headers, body }),
        }
    }

    #[test]
    fn a_client_that_leaves_is_told_of_once_and_one_that_was_answered_not_at_all() {
        let decisions = Rc::new(Recorder::default());
        let context = context(&decisions, 2);
        let left = admit(&context, call("left")).ok().expect("room");
        let answered = admit(&context, call("answered")).ok().expect("room");
        assert!(context.request_table.finish(RequestId(1), Verdict::Failed));
        drop((left, answered));
        let told = decisions.0.borrow();
        let [Event::RequestArrived(left), Event::RequestArrived(answered), Event::RequestAborted(gone)] =
            &told[..]
        else {
            panic!("{told:?}")
        };
        assert_eq!((left.id, answered.id, *gone), (RequestId(0), RequestId(1), RequestId(0)));
    }

    #[test]
    fn what_is_not_admitted_is_never_put_to_the_decisions() {
        let decisions = Rc::new(Recorder::default());
        let context = context(&decisions, 2);
        let first = admit(&context, call("a")).ok().expect("room");
        assert!(matches!(admit(&context, call("a")), Err(NotAdmitted::Twice)));
        let _second = admit(&context, call("b")).ok().expect("room");
        assert!(matches!(admit(&context, call("c")), Err(NotAdmitted::Full)));
        assert_eq!(decisions.0.borrow().len(), 2);
        drop(first);
        context.adopt(1);
        assert!(
            matches!(admit(&context, call("a")), Err(NotAdmitted::Full)),
            "this cluster's limit is lower"
        );
        context.adopt(2);
        assert!(admit(&context, call("a")).is_ok(), "its id and its room are free again");
    }
}
