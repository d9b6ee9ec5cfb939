//! Debug log of the events that the balancer gets and the actions that it returns, one line each.
//!
//! [`crate::cluster_runtime`] calls it and nothing else does. `olivecart-lab` counts these lines across all proxies:
//! their messages and keys are its input and stay as they are.

use olivecart_decisions::{Action, EndpointEntry, Event};
use slog::{Logger, debug};

/// Logs a listed or changed endpoint: its number in this process, and its name, which all proxies share.
pub fn listed(log: &Logger, entry: &EndpointEntry) {
    debug!(log, "endpoint"; "started" => entry.started.unwrap_or(0), "state" => ?entry.state,
        "name" => &*entry.name, "endpoint" => entry.id.0);
}

/// Logs an event of the balancer.
pub fn event(log: &Logger, event: &Event) {
    match event {
        Event::RequestArrived(request) => {
            debug!(log, "request"; "left_ms" => request.time_left / 1_000_000, "class" => request.class.0,
            "request" => request.id.0)
        }
        Event::AttemptEnded(end) => {
            debug!(log, "outcome"; "took_us" => end.duration / 1_000, "over" => end.request_completed,
            "outcome" => ?end.outcome, "endpoint" => end.endpoint.0, "attempt" => end.attempt,
            "request" => end.request.0)
        }
        Event::RequestAborted(request) => debug!(log, "aborted"; "request" => request.0),
        Event::HealthCheckCompleted { endpoint, outcome, duration, .. } => {
            debug!(log, "checked"; "took_us" => duration / 1_000,
            "outcome" => ?outcome, "endpoint" => endpoint.0)
        }
        Event::Endpoints(_)
        | Event::ResponseStarted { .. }
        | Event::TimerFired(_)
        | Event::PeerMessage { .. } => {}
    }
}

/// Logs an action of the balancer.
pub fn action(log: &Logger, action: &Action) {
    match action {
        Action::StartAttempt { request, endpoint, .. } => {
            debug!(log, "send"; "endpoint" => endpoint.0, "request" => request.0);
        }
        Action::CancelAttempt { request, attempt } => {
            debug!(log, "cancel"; "attempt" => attempt, "request" => request.0);
        }
        Action::Shed { request, retry_after } => {
            debug!(log, "shed"; "come_back_ms" => retry_after / 1_000_000, "request" => request.0);
        }
        Action::Fail(request) => debug!(log, "fail"; "request" => request.0),
        Action::StartHealthCheck(endpoint) => debug!(log, "check"; "endpoint" => endpoint.0),
        Action::CloseIdleConnections(endpoint) => debug!(log, "close"; "endpoint" => endpoint.0),
        Action::WatchEndpoints(enabled) => debug!(log, "watch"; "on" => enabled),
        Action::RefreshEndpoints => debug!(log, "refresh"),
        Action::SetTimer { .. } | Action::Publish { .. } | Action::Log(_) => {}
    }
}
