//! The write gate: the one look just before an attempt's first byte, on a new connection and on a kept one alike.
//!
//! Between the decision and that byte a connection has to come up, which may take as long as its time-out. Each fact
//! is asked of whoever owns it, in that moment. What does not pass was never sent, and is decided anew.

use super::context::Context;
use super::request_table::Attempt;
use crate::backends::Target;
use olivecart_decisions::RequestId;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A head that was built longer ago than this before its first byte tells the endpoint too much time. Well under
/// the slack that a deadline header has (150 ms), since the network and the endpoint take some of it too.
const MAX_HEAD_AGE: Duration = Duration::from_millis(50);

/// Why an attempt must not begin any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Closed {
    /// Its client has gone, or has its answer.
    #[error("request {} has ended", .0.0)]
    Ended(RequestId),
    /// Its endpoint drains, is gone, or is another process by now.
    #[error("endpoint {} takes no more requests", .0.endpoint.0)]
    Withdrawn(Target),
    /// Its time is up.
    #[error("the deadline of request {} is over", .0.0)]
    Overdue(RequestId),
    /// A repeat of it would no longer be known as one.
    #[error("the window for repeats of request {} is over", .0.0)]
    WindowOver(RequestId),
    /// The time left that its head tells is no longer true: the process stood still since it was built.
    #[error("the head of request {} was built too long ago", .0.0)]
    HeadOutdated(RequestId),
}

/// All that has to hold of one attempt.
pub struct WriteGate {
    context: Rc<Context>,
    target: Target,
    request: RequestId,
    until: Instant,
    start_by: Instant,
    /// When the head that is to be written was built.
    head_built_at: Cell<Option<Instant>>,
    /// What the last look came to, if it was not open.
    refused: Cell<Option<Closed>>,
}

impl WriteGate {
    /// For an attempt on a connection to this target.
    pub fn new(context: &Rc<Context>, attempt: &Attempt, target: Target) -> WriteGate {
        let Attempt { request, until, start_by, .. } = *attempt;
        let context = context.clone();
        let (head_built_at, refused) = (Cell::new(None), Cell::new(None));
        WriteGate { context, target, request, until, start_by, head_built_at, refused }
    }

    /// The time that is left for the attempt.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.until.saturating_duration_since(now)
    }

    /// A head is built, which tells the time left by now.
    pub fn head_is_built(&self, now: Instant) {
        self.head_built_at.set(Some(now));
        self.refused.set(None);
    }

    /// Whether all that was wrong with the attempt is its head, which can be built anew.
    pub fn wants_new_head(&self) -> bool {
        matches!(self.refused.get(), Some(Closed::HeadOutdated(_)))
    }

    /// Whether the first byte may be written now.
    ///
    /// # Errors
    /// Something that was so when the attempt was decided is not so any more.
    pub fn check(&self) -> Result<(), Closed> {
        self.check_at(Instant::now()).inspect_err(|closed| self.refused.set(Some(*closed)))
    }

    fn check_at(&self, now: Instant) -> Result<(), Closed> {
        let head_age = self.head_built_at.get().map(|at| now.saturating_duration_since(at));
        if !self.context.request_table.is_open(self.request) {
            Err(Closed::Ended(self.request))
        } else if !self.context.backends.still_takes(self.target) {
            Err(Closed::Withdrawn(self.target))
        } else if now >= self.until {
            Err(Closed::Overdue(self.request))
        } else if now >= self.start_by {
            Err(Closed::WindowOver(self.request))
        } else if head_age.is_some_and(|age| age > MAX_HEAD_AGE) {
            Err(Closed::HeadOutdated(self.request))
        } else {
            Ok(())
        }
    }
}

#[cfg(test)]
mod tests;
