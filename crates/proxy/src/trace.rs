//! What passes between the sockets and the decisions, one line each at the level debug.
//!
//! `olivecart-lab fleet` counts these lines across all proxies; their names and keys are its input.

use olivecart_decisions::{Action, Entry, Event};
use slog::{Logger, debug};

/// An endpoint as a list or a change names it: its number here, and the name that all proxies share.
pub fn listed(log: &Logger, entry: &Entry) {
    debug!(log, "endpoint"; "started" => entry.started.unwrap_or(0), "state" => ?entry.state,
        "name" => &*entry.name, "endpoint" => entry.id.0);
}

/// What is put to the decisions.
pub fn event(log: &Logger, event: &Event) {
    match event {
        Event::Request(r) => debug!(log, "request"; "left_ms" => r.left / 1_000_000, "class" => r.class.0,
            "request" => r.id.0),
        Event::Outcome(end) => debug!(log, "outcome"; "took_us" => end.took / 1_000, "over" => end.over,
            "outcome" => ?end.outcome, "endpoint" => end.endpoint.0, "attempt" => end.attempt,
            "request" => end.request.0),
        Event::Aborted(request) => debug!(log, "aborted"; "request" => request.0),
        Event::Checked { endpoint, outcome, took, .. } => debug!(log, "checked"; "took_us" => took / 1_000,
            "outcome" => ?outcome, "endpoint" => endpoint.0),
        Event::List(_) | Event::Begun { .. } | Event::Timer(_) | Event::Peer { .. } => {}
    }
}

/// What they answer.
pub fn action(log: &Logger, action: &Action) {
    match action {
        Action::Send { request, endpoint, .. } => {
            debug!(log, "send"; "endpoint" => endpoint.0, "request" => request.0);
        }
        Action::Cancel { request, attempt } => {
            debug!(log, "cancel"; "attempt" => attempt, "request" => request.0);
        }
        Action::Shed { request, come_back } => {
            debug!(log, "shed"; "come_back_ms" => come_back / 1_000_000, "request" => request.0);
        }
        Action::Fail(request) => debug!(log, "fail"; "request" => request.0),
        Action::Check(endpoint) => debug!(log, "check"; "endpoint" => endpoint.0),
        Action::Close(endpoint) => debug!(log, "close"; "endpoint" => endpoint.0),
        Action::Watch(on) => debug!(log, "watch"; "on" => on),
        Action::Refresh => debug!(log, "refresh"),
        Action::SetTimer { .. } | Action::Publish { .. } | Action::Remark(_) => {}
    }
}
