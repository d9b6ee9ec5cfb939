//! Gives the client its one answer: what the decisions came to, or failed when they came to nothing in time.

use super::admit::Held;
use crate::call::Verdict;
use std::time::Duration;
use tokio::time::sleep_until;

/// An answer that the decisions owe still is given by the proxy this long before the deadline.
const LAST_MOMENT: Duration = Duration::from_millis(2);

/// The end of a request; none if the client went away first.
pub async fn relay(mut held: Held, gone: impl Future<Output = ()>) -> Option<Verdict> {
    let last = held.deadline.checked_sub(LAST_MOMENT).unwrap_or(held.deadline);
    tokio::select! {
        biased;
        verdict = held.verdict() => Some(verdict),
        () = gone => None,
        () = sleep_until(last.into()) => Some(Verdict::Overdue),
    }
}
