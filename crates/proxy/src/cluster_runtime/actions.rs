//! Carries out the balancer's actions by calling the stages, the timers, discovery and the connection pool.

use super::ClusterRuntime;
use crate::call::Verdict;
use crate::discovery::Discovery;
use crate::invariant::check_invariant;
use crate::stages::{attempt, routing};
use crate::trace;
use olivecart_decisions::{Action, EndpointId, Nanos, RequestId};
use slog::info;
use std::time::Duration;

impl ClusterRuntime {
    pub(super) fn perform(&self, action: Action) {
        trace::action(&self.log, &action);
        match action {
            Action::StartAttempt { request, endpoint, timeout, start_by } => {
                let start_by = self.shared.clock.instant(start_by);
                routing::route(&self.context, request, endpoint, timeout, start_by);
            }
            Action::CancelAttempt { request, attempt } => self.context.request_table.cancel(request, attempt),
            Action::Shed { request, retry_after } => self.shed(request, retry_after),
            Action::Fail(request) => self.finish(request, Verdict::Failed),
            Action::StartHealthCheck(endpoint) => self.start_health_check(endpoint),
            Action::SetTimer { at, timer } => self.timers.insert(at, timer),
            Action::WatchEndpoints(enabled) => self.set_watch(enabled),
            Action::RefreshEndpoints => self.discovery.iter().for_each(Discovery::refresh),
            Action::CloseIdleConnections(endpoint) => self.context.backends.close_idle(endpoint),
            Action::Publish { .. } => check_invariant(false, "replicas exchange no messages"),
            Action::Log(note) => info!(self.log, "decision note logged"; "note" => note),
        }
    }

    pub(super) fn start_health_check(&self, endpoint: EndpointId) {
        actix_rt::spawn(attempt::health_check(self.context.clone(), endpoint));
    }

    fn shed(&self, request: RequestId, retry_after: Nanos) {
        let retry_after = Duration::from_nanos(retry_after);
        self.finish(request, Verdict::Refused { retry_after });
    }

    fn finish(&self, request: RequestId, verdict: Verdict) {
        let is_first_verdict = self.context.request_table.finish(request, verdict);
        check_invariant(is_first_verdict, "each request has only one verdict");
    }
}
