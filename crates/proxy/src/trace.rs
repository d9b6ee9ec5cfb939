//! What passes between the sockets and the decisions, one line each at the level debug.
//!
//! `olivecart-lab fleet` counts these lines across all proxies; their names and keys are its input.

use olivecart_decisions::{Action, EndpointEntry, Event};
use slog::{Logger, debug};

/// An endpoint as a list or a change names it: its number here, and the name that all proxies share.
pub fn listed(log: &Logger, entry: &EndpointEntry) {
    debug!(log, "endpoint"; "started" => entry.started.unwrap_or(0), "state" => ?entry.state,
        "name" => &*entry.name, "endpoint" => entry.id.0);
}

/// What is put to the decisions.
pub fn event(log: &Logger, event: &Event) {
    match event {
        Event::RequestArrived(r) => {
            debug!(log, "request"; "left_ms" => r.time_left / 1_000_000, "class" => r.class.0,
            "request" => r.id.0)
        }
        Event::AttemptEnded(end) => {
            debug!(log, "outcome"; "took_us" => end.duration / 1_000, "over" => end.request_completed,
            "outcome" => ?end.outcome, "endpoint" => end.endpoint.0, "attempt" => end.attempt,
            "request" => end.request.0)
        }
        Event::RequestAborted(request) => debug!(log, "aborted"; "request" => request.0),
        Event::HealthCheckCompleted { endpoint, outcome, duration: took, .. } => {
            debug!(log, "checked"; "took_us" => took / 1_000,
            "outcome" => ?outcome, "endpoint" => endpoint.0)
        }
        Event::Endpoints(_)
        | Event::ResponseStarted { .. }
        | Event::TimerFired(_)
        | Event::PeerMessage { .. } => {}
    }
}

/// What they answer.
pub fn action(log: &Logger, action: &Action) {
    match action {
        Action::StartAttempt { request, endpoint, .. } => {
            debug!(log, "send"; "endpoint" => endpoint.0, "request" => request.0);
        }
        Action::CancelAttempt { request, attempt } => {
            debug!(log, "cancel"; "attempt" => attempt, "request" => request.0);
        }
        Action::Shed { request, retry_after: come_back } => {
            debug!(log, "shed"; "come_back_ms" => come_back / 1_000_000, "request" => request.0);
        }
        Action::Fail(request) => debug!(log, "fail"; "request" => request.0),
        Action::StartHealthCheck(endpoint) => debug!(log, "check"; "endpoint" => endpoint.0),
        Action::CloseIdleConnections(endpoint) => debug!(log, "close"; "endpoint" => endpoint.0),
        Action::WatchEndpoints(on) => debug!(log, "watch"; "on" => on),
        Action::RefreshEndpoints => debug!(log, "refresh"),
        Action::SetTimer { .. } | Action::Publish { .. } | Action::Log(_) => {}
    }
}
