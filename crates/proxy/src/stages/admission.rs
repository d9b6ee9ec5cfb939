//! Admits a call: registers it as an open request and reports it to the balancer.
//!
//! The proxy itself rejects a call only if a limit on open requests is reached (from the settings, the
//! cluster's source or its operators), if operators detached every endpoint that could take it, or if its id
//! is already in use. All other admission control is the balancer's.

use super::context::Context;
use super::request_table::RequestKey;
use crate::bodies::RequestBody;
use crate::call::{Body, Call, Verdict};
use crate::memory::Reservation;
use olivecart_decisions::{Event, Request, RequestId};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// The balancer and every attempt end this long before the client's deadline, so that the result still
/// reaches the client in time.
pub const DEADLINE_MARGIN: Duration = Duration::from_millis(6);

/// An open request. If it is dropped before the request has a verdict, the balancer is notified that the
/// client aborted the request.
pub struct AdmittedRequest {
    /// When the client stops waiting for a response.
    pub deadline: Instant,
    /// The body, if it is streamed.
    pub upload: Option<Rc<RequestBody>>,
    verdict: oneshot::Receiver<Verdict>,
    _memory: Reservation,
    /// Closes the request when it is dropped.
    _guard: OpenRequestGuard,
}

struct OpenRequestGuard {
    context: Rc<Context>,
    request: RequestId,
}

/// Why a call is not admitted.
pub enum AdmissionError {
    /// The limit on open requests of the settings or of the cluster is reached.
    LimitReached,
    /// Operators detached every endpoint that could take it.
    AllDetached,
    /// Another request with the same id is open, or may have been executed.
    DuplicateId,
}

/// Opens a request. A second request with the id of an open one is rejected: a backend would take it for a
/// repeat of the first, although it may come from another client.
pub fn admit(context: &Rc<Context>, call: Call) -> Result<AdmittedRequest, AdmissionError> {
    if !context.has_capacity() {
        return Err(AdmissionError::LimitReached);
    }
    // The balancer would queue the request until an endpoint update brings a ready endpoint, but none will
    // come while operators keep all endpoints detached.
    if context.all_detached() {
        return Err(AdmissionError::AllDetached);
    }
    let deadline = call.deadline.checked_sub(DEADLINE_MARGIN).unwrap_or(call.deadline);
    let upload = match &call.payload.body {
        Body::Streamed(upload) => Some(upload.clone()),
        Body::Buffered { .. } => None,
    };
    let (request, verdict) = {
        let key = RequestKey { id: call.id, is_repeatable: call.is_repeatable };
        let opened = context.request_table.open(key, call.payload, deadline, call.client);
        opened.ok_or(AdmissionError::DuplicateId)?
    };
    context.on_request_opened();
    let guard = OpenRequestGuard { context: context.clone(), request };
    context.report(Event::RequestArrived(Request {
        tenant: call.tenant,
        is_retry: call.retry,
        ..Request::new(
            request,
            call.class,
            deadline.saturating_duration_since(Instant::now()).as_nanos() as u64,
        )
    }));
    Ok(AdmittedRequest {
        deadline: call.deadline,
        upload,
        verdict,
        _memory: call.open_request,
        _guard: guard,
    })
}

impl AdmittedRequest {
    /// Waits for the verdict on the request.
    pub async fn verdict(&mut self) -> Verdict {
        (&mut self.verdict).await.unwrap_or(Verdict::Failed)
    }
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.context.on_request_closed();
        if self.context.request_table.abandon(self.request) {
            self.context.report(Event::RequestAborted(self.request));
        }
    }
}

#[cfg(test)]
mod tests;
