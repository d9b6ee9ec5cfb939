//! Puts a call where the decisions say: checks that it may go there and starts the attempt.

use super::attempt;
use super::context::Context;
use super::request_table::Attempt;
use crate::invariant::check_invariant;
use olivecart_decisions::{EndpointId, Nanos, Outcome, RequestId};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Starts an attempt, or ends it as never issued.
pub fn route(context: &Rc<Context>, request: RequestId, endpoint: EndpointId, cap: Nanos, start_by: Instant) {
    let ready = context.backends.takes_requests(endpoint);
    check_invariant(ready, "no call is sent to a draining or unknown endpoint");
    let (attempt, lone) = context.request_table.attempt(request, start_by);
    check_invariant(lone || context.limits.second_copies, "no two attempts of a request are out at once");
    match attempt {
        Ok(attempt) if ready => {
            let until = match cap {
                0 => attempt.until,
                cap => attempt.until.min(Instant::now() + Duration::from_nanos(cap)),
            };
            actix_rt::spawn(attempt::run(context.clone(), Attempt { until, ..attempt }, endpoint));
        }
        Ok(attempt) => attempt::report_end(context, request, attempt.number, endpoint, Outcome::NotSent),
        Err(number) => {
            check_invariant(false, "only open requests are sent");
            attempt::report_end(context, request, number, endpoint, Outcome::NotSent);
        }
    }
}
