//! Waits for the verdict on an admitted request, or ends the request if the balancer gives none in time.

use super::admission::AdmittedRequest;
use crate::bodies::RequestBody;
use crate::call::Verdict;
use crate::shutdown_deadline::ShutdownDeadline;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep_until;

/// Without a verdict, the proxy responds itself this long before the client's deadline.
const RESPONSE_MARGIN: Duration = Duration::from_millis(2);

/// Returns the verdict, or `None` if the client disconnects first. A response that is streamed has only begun
/// when this returns.
pub async fn wait(
    request: &mut AdmittedRequest,
    disconnected: impl Future<Output = ()>,
    shutdown: &ShutdownDeadline,
) -> Option<Verdict> {
    let (deadline, upload) = (request.deadline, request.upload.clone());
    tokio::select! {
        biased;
        verdict = request.verdict() => Some(verdict),
        () = disconnected => None,
        verdict = time_out(deadline, upload, shutdown) => Some(verdict),
    }
}

/// Waits until the time of a request is over, and returns its verdict. `deadline` is that of a request without a
/// streamed body: it was limited by a shutdown when the request was dispatched.
async fn time_out(
    deadline: Instant,
    upload: Option<Rc<RequestBody>>,
    shutdown: &ShutdownDeadline,
) -> Verdict {
    let Some(upload) = upload else {
        sleep_until_before(deadline).await;
        return Verdict::Overdue;
    };
    // The time of a streamed request runs from its last byte. A shutdown may begin before that, and end before
    // the client's time does.
    tokio::select! {
        biased;
        () = upload.clock().wait_until_over(RESPONSE_MARGIN) => {}
        () = end_of_shutdown(&upload, shutdown) => {}
    }
    // No endpoint executes a request without its last byte.
    if upload.is_complete() { Verdict::Overdue } else { Verdict::Refused { retry_after: Duration::ZERO } }
}

/// Resolves when a shutdown ends that began before the request's last byte was read. A request that was whole before
/// keeps its own time.
async fn end_of_shutdown(upload: &RequestBody, shutdown: &ShutdownDeadline) {
    tokio::select! {
        biased;
        () = upload.wait_for_end() => match shutdown.at() {
            Some(deadline) => sleep_until_before(deadline).await,
            None => std::future::pending().await,
        },
        () = shutdown.reached() => {}
    }
}

async fn sleep_until_before(deadline: Instant) {
    sleep_until(deadline.checked_sub(RESPONSE_MARGIN).unwrap_or(deadline).into()).await;
}
