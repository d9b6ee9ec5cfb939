//! The write gate: the one look just before an attempt's first byte, on a new connection and on a kept one alike.
//!
//! Between the decision and that byte a connection has to come up, which may take as long as its time-out. Each fact
//! is asked of whoever owns it, in that moment. What does not pass was never sent, and is decided anew.

use super::book::Attempt;
use super::context::Context;
use crate::backends::Target;
use olivecart_decisions::RequestId;
use std::rc::Rc;
use std::time::Instant;

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
}

/// All that has to hold of one attempt.
pub struct WriteGate {
    context: Rc<Context>,
    target: Target,
    request: RequestId,
    until: Instant,
    start_by: Instant,
}

impl WriteGate {
    /// For an attempt on a connection to this target.
    pub fn new(context: &Rc<Context>, attempt: &Attempt, target: Target) -> WriteGate {
        let Attempt { request, until, start_by, .. } = *attempt;
        WriteGate { context: context.clone(), target, request, until, start_by }
    }

    /// Whether the first byte may be written now.
    ///
    /// # Errors
    /// Something that was so when the attempt was decided is not so any more.
    pub fn check(&self) -> Result<(), Closed> {
        let now = Instant::now();
        if !self.context.book.is_open(self.request) {
            Err(Closed::Ended(self.request))
        } else if !self.context.backends.still_takes(self.target) {
            Err(Closed::Withdrawn(self.target))
        } else if now >= self.until {
            Err(Closed::Overdue(self.request))
        } else if now >= self.start_by {
            Err(Closed::WindowOver(self.request))
        } else {
            Ok(())
        }
    }
}

#[cfg(test)]
mod tests;
