//! Gives the client its one answer: what the decisions came to, or failed when they came to nothing in time.

use super::admission::Held;
use crate::call::Verdict;
use std::time::Duration;
use tokio::time::sleep_until;

/// An answer that the decisions owe still is given by the proxy this long before the deadline.
const LAST_MOMENT: Duration = Duration::from_millis(2);

/// The end of a request; none if the client went away first. An answer that is streamed has only begun.
pub async fn wait(held: &mut Held, gone: impl Future<Output = ()>) -> Option<Verdict> {
    let (deadline, upload) = (held.deadline, held.upload.clone());
    let last_moment = async {
        // The time of a request runs from its last byte.
        let deadline = match upload {
            Some(upload) => upload.ends().await,
            None => deadline,
        };
        sleep_until(deadline.checked_sub(LAST_MOMENT).unwrap_or(deadline).into()).await;
    };
    tokio::select! {
        biased;
        verdict = held.verdict() => Some(verdict),
        () = gone => None,
        () = last_moment => Some(Verdict::Overdue),
    }
}
