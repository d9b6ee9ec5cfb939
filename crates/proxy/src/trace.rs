//! Logs the balancer's events and actions at debug level, one line each.
//!
//! Only [`crate::cluster_runtime`] calls this module. `olivecart-lab count` counts these lines across the
//! logs of all proxies. A changed message needs a new entry in the reader (`lab::fleet_log`), and the keys
//! must not change.

use olivecart_decisions::{Action, EndpointEntry, Event};
use slog::{Logger, debug};

/// Logs a new or changed endpoint, with its id in this process and its name, which is the same for all
/// proxies.
pub fn endpoint(log: &Logger, entry: &EndpointEntry) {
    debug!(log, "endpoint updated"; "started" => entry.started.unwrap_or(0), "state" => ?entry.state,
        "name" => &*entry.name, "endpoint" => entry.id.0);
}

/// Logs an event that the balancer handles.
pub fn event(log: &Logger, event: &Event) {
    match event {
        Event::RequestArrived(request) => {
            debug!(log, "request received"; "left_ms" => request.time_left / 1_000_000, "class" => request.class.0,
            "request" => request.id.0)
        }
        Event::AttemptEnded(end) => {
            debug!(log, "attempt completed"; "took_us" => end.duration / 1_000, "over" => end.request_completed,
            "outcome" => ?end.outcome, "endpoint" => end.endpoint.0, "attempt" => end.attempt,
            "request" => end.request.0)
        }
        Event::RequestAborted(request) => debug!(log, "request aborted"; "request" => request.0),
        Event::HealthCheckCompleted { endpoint, outcome, duration, .. } => {
            debug!(log, "health check completed"; "took_us" => duration / 1_000,
            "outcome" => ?outcome, "endpoint" => endpoint.0)
        }
        Event::Endpoints(_)
        | Event::ResponseStarted { .. }
        | Event::TimerFired(_)
        | Event::PeerMessage { .. } => {}
    }
}

/// Logs an action that the balancer returns.
pub fn action(log: &Logger, action: &Action) {
    match action {
        Action::StartAttempt { request, endpoint, .. } => {
            debug!(log, "attempt started"; "endpoint" => endpoint.0, "request" => request.0);
        }
        Action::CancelAttempt { request, attempt } => {
            debug!(log, "attempt cancelled"; "attempt" => attempt, "request" => request.0);
        }
        Action::Shed { request, retry_after } => {
            debug!(log, "request shed"; "come_back_ms" => retry_after / 1_000_000, "request" => request.0);
        }
        Action::Fail(request) => debug!(log, "request failed"; "request" => request.0),
        Action::StartHealthCheck(endpoint) => debug!(log, "health check started"; "endpoint" => endpoint.0),
        Action::CloseIdleConnections(endpoint) => debug!(log, "idle pool closed"; "endpoint" => endpoint.0),
        Action::WatchEndpoints(enabled) => debug!(log, "endpoint watch changed"; "on" => enabled),
        Action::RefreshEndpoints => debug!(log, "endpoint refresh requested"),
        Action::SetTimer { .. } | Action::Publish { .. } | Action::Log(_) => {}
    }
}
