//! Starts the attempts that the balancer decides on, after checking that the endpoint takes requests and the
//! request is still open.

use super::attempt;
use super::context::Context;
use super::request_table::Attempt;
use crate::invariant::check_invariant;
use olivecart_decisions::{EndpointId, Nanos, Outcome, RequestId};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Starts an attempt, or reports it as not sent. A `timeout` of 0 means that only the request's deadline
/// bounds it.
pub fn route(
    context: &Rc<Context>,
    request: RequestId,
    endpoint: EndpointId,
    timeout: Nanos,
    start_by: Instant,
) {
    let ready = context.backends.takes_requests(endpoint);
    check_invariant(ready, "no request is sent to a draining or unknown endpoint");
    let (attempt, is_only) = context.request_table.start_attempt(request, start_by);
    check_invariant(
        is_only || context.limits.hedging_enabled,
        "without hedging, a request has at most one attempt in flight",
    );
    match attempt {
        Ok(attempt) if ready => {
            let deadline = match timeout {
                0 => attempt.deadline,
                timeout => attempt.deadline.min(Instant::now() + Duration::from_nanos(timeout)),
            };
            actix_rt::spawn(attempt::run(context.clone(), Attempt { deadline, ..attempt }, endpoint));
        }
        Ok(attempt) => attempt::report_unsent(context, request, attempt.number, endpoint, Outcome::NotSent),
        Err(number) => {
            check_invariant(false, "attempts are started for open requests only");
            attempt::report_unsent(context, request, number, endpoint, Outcome::NotSent);
        }
    }
}
