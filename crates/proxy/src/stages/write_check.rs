//! The check that runs just before the first byte of an attempt is written, on new and on pooled connections.
//!
//! Between the balancer's decision and that byte a connection has to be established, which may take as long
//! as its timeout. So each condition is read from its owner at the time of the write. An attempt that is
//! rejected here was never sent, and the balancer decides again.

use super::context::Context;
use super::request_table::Attempt;
use crate::backends::Target;
use olivecart_decisions::RequestId;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The maximum time between building a head and writing its first byte. The head contains the time left when
/// it was built, so a later write would give the endpoint too much time. The limit is well under the slack of
/// a deadline header (150 ms), since the network and the endpoint use some of that too.
const MAX_HEAD_AGE: Duration = Duration::from_millis(50);

/// Why an attempt must no longer be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WriteRejected {
    /// The client disconnected, or has its response.
    #[error("request {} has ended", .0.0)]
    RequestEnded(RequestId),
    /// The endpoint is draining, was removed, or has restarted since.
    #[error("endpoint {} no longer takes requests", .0.endpoint.0)]
    EndpointUnavailable(Target),
    /// The attempt's deadline has passed.
    #[error("deadline of request {} exceeded", .0.0)]
    DeadlineExceeded(RequestId),
    /// The backend would no longer recognise the attempt as a repeat of an earlier one.
    #[error("deduplication window of request {} exceeded", .0.0)]
    DeduplicationWindowExceeded(RequestId),
    /// The head contains more time than is left: the process was suspended after the head had been built.
    #[error("head of request {} is outdated", .0.0)]
    HeadOutdated(RequestId),
}

/// The conditions under which one attempt may be written.
pub struct WriteCheck {
    context: Rc<Context>,
    target: Target,
    request: RequestId,
    deadline: Instant,
    start_by: Instant,
    /// When the head that is to be written was built.
    head_built_at: Cell<Option<Instant>>,
    /// Why the last check failed.
    rejection: Cell<Option<WriteRejected>>,
}

impl WriteCheck {
    /// Creates the check for an attempt on a connection to `target`.
    pub fn new(context: &Rc<Context>, attempt: &Attempt, target: Target) -> WriteCheck {
        let Attempt { request, deadline, start_by, .. } = *attempt;
        let context = context.clone();
        let (head_built_at, rejection) = (Cell::new(None), Cell::new(None));
        WriteCheck { context, target, request, deadline, start_by, head_built_at, rejection }
    }

    /// The time left for the attempt.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Records that a head was built, with the time left at `now`.
    pub fn on_head_built(&self, now: Instant) {
        self.head_built_at.set(Some(now));
        self.rejection.set(None);
    }

    /// Whether the attempt was rejected only because its head is outdated, so that it can be sent with a new
    /// head.
    pub fn needs_new_head(&self) -> bool {
        matches!(self.rejection.get(), Some(WriteRejected::HeadOutdated(_)))
    }

    /// Checks whether the first byte may be written now.
    ///
    /// # Errors
    /// A condition that held when the balancer decided on the attempt no longer holds.
    pub fn check(&self) -> Result<(), WriteRejected> {
        self.check_at(Instant::now()).inspect_err(|rejection| self.rejection.set(Some(*rejection)))
    }

    fn check_at(&self, now: Instant) -> Result<(), WriteRejected> {
        let head_age = self.head_built_at.get().map(|at| now.saturating_duration_since(at));
        if !self.context.request_table.is_awaited(self.request) {
            Err(WriteRejected::RequestEnded(self.request))
        } else if !self.context.backends.still_takes_requests(self.target) {
            Err(WriteRejected::EndpointUnavailable(self.target))
        } else if now >= self.deadline {
            Err(WriteRejected::DeadlineExceeded(self.request))
        } else if now >= self.start_by {
            Err(WriteRejected::DeduplicationWindowExceeded(self.request))
        } else if head_age.is_some_and(|age| age > MAX_HEAD_AGE) {
            Err(WriteRejected::HeadOutdated(self.request))
        } else {
            Ok(())
        }
    }
}

#[cfg(test)]
mod tests;
