//! Waits for the verdict on an admitted request, or fails the request if the balancer gives none in time.

use super::admission::AdmittedRequest;
use crate::call::Verdict;
use std::time::Duration;
use tokio::time::sleep_until;

/// Without a verdict, the proxy responds itself this long before the client's deadline.
const RESPONSE_MARGIN: Duration = Duration::from_millis(2);

/// Returns the verdict, or `None` if the client disconnects first. A response that is streamed has only begun
/// when this returns.
pub async fn wait(request: &mut AdmittedRequest, disconnected: impl Future<Output = ()>) -> Option<Verdict> {
    let (deadline, upload) = (request.deadline, request.upload.clone());
    let overdue = async {
        // The time of a streamed request runs from its last byte.
        let deadline = match upload {
            Some(upload) => upload.wait_for_end().await,
            None => deadline,
        };
        sleep_until(deadline.checked_sub(RESPONSE_MARGIN).unwrap_or(deadline).into()).await;
    };
    tokio::select! {
        biased;
        verdict = request.verdict() => Some(verdict),
        () = disconnected => None,
        () = overdue => Some(Verdict::Overdue),
    }
}
