//! Graceful shutdown: on SIGTERM or SIGINT the proxy keeps accepting requests for a while, answers all
//! accepted ones, and exits.
//!
//! `serve.rs` and `sidecar` await [`on_signal`] or [`drain`] and exit when it returns. This module controls
//! listeners through their [`AcceptControl`]; [`ShutdownTimes`] decides when each [`ShutdownPhase`] ends. It
//! does not cancel requests.

use crate::listen::AcceptControl;
use slog::{Logger, info, warn};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::sleep;

/// Upper limit of the longest deadline in the kill time: the platform kills a process no earlier than its
/// longest deadline, limited to this, plus [`KILL_DELAY`] after the signal.
const MAX_DEADLINE: Duration = Duration::from_millis(3000);
/// See [`MAX_DEADLINE`].
const KILL_DELAY: Duration = Duration::from_millis(700);
/// Time reserved before the kill for the last bytes to reach their clients.
const KILL_MARGIN: Duration = Duration::from_millis(300);
/// Maximum duration of a shutdown. Every accepted request is answered by its deadline, so a connection that
/// is still open after this time is stuck.
pub const LONGEST_SHUTDOWN: Duration = Duration::from_secs(30);
/// Interval at which conditions are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The phase of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownPhase {
    /// Requests are still accepted, on open and new connections.
    AcceptingRequests,
    /// Idle connections are closed and accepted requests are answered.
    ClosingConnections,
}

/// The times of a shutdown, measured from the signal. They depend on the longest deadline of the process: a
/// process with short deadlines is killed earlier, and with the times of the longest possible deadline it
/// would lose the requests that it accepted last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownTimes {
    /// Requests are accepted at least until then: other replicas may be unavailable too, and the remaining
    /// time is longer than a response takes.
    min_accepting: Duration,
    /// After `min_accepting`, requests are accepted until none has arrived for this long.
    quiet_period: Duration,
    /// Requests are no longer accepted once the time until `all_answered` is shorter than this or than the
    /// usual latency of responses.
    min_remaining: Duration,
    /// Requests that arrive after the signal are answered by then.
    all_answered: Duration,
    /// From then on, connections without a request in flight are no longer waited for.
    connections_abandoned: Duration,
    /// If a successor has replaced this process, idle connections stay open until then, so that clients can
    /// move to the successor with their next request.
    successor_grace: Duration,
}

impl ShutdownTimes {
    /// Creates the times for a process whose longest deadline of all request classes is `longest_deadline`.
    pub fn new(longest_deadline: Duration) -> ShutdownTimes {
        let all_answered = longest_deadline.min(MAX_DEADLINE) + KILL_DELAY - KILL_MARGIN;
        let min_remaining = Duration::from_millis(500).min(all_answered / 2);
        let latest = all_answered - min_remaining;
        ShutdownTimes {
            min_accepting: Duration::from_millis(1500).min(latest),
            quiet_period: Duration::from_millis(500),
            min_remaining,
            all_answered,
            connections_abandoned: all_answered + KILL_MARGIN / 2,
            successor_grace: Duration::from_millis(1000).min(latest),
        }
    }

    /// Returns the phase at the time `after` the signal, if no request has arrived for `quiet` and nearly all
    /// responses take at most `latency`. If the first phase ended while other replicas are unavailable,
    /// clients would find no replica; if it ended too late, the last requests would not be answered in time.
    fn phase(&self, after: Duration, quiet: Duration, latency: Option<Duration>) -> ShutdownPhase {
        let usual_latency = latency.unwrap_or(self.all_answered - self.min_accepting);
        let latest = self.all_answered.saturating_sub(usual_latency.max(self.min_remaining));
        let is_in_use = quiet < self.quiet_period && after < latest;
        if after < self.min_accepting || is_in_use {
            ShutdownPhase::AcceptingRequests
        } else {
            ShutdownPhase::ClosingConnections
        }
    }
}

impl Default for ShutdownTimes {
    /// The times for a longest deadline of `MAX_DEADLINE`.
    fn default() -> ShutdownTimes {
        ShutdownTimes::new(MAX_DEADLINE)
    }
}

/// The signals that request a shutdown. While they are registered, neither the first nor any further signal
/// terminates the process by itself.
pub struct ShutdownSignals {
    term: Signal,
    interrupt: Signal,
}

impl ShutdownSignals {
    /// Registers the signals. Unregistered, they would terminate the process and lose all requests that
    /// clients have sent, including those on connections in the listen queue.
    ///
    /// # Errors
    /// Returns the error of the operating system.
    pub fn register() -> io::Result<ShutdownSignals> {
        Ok(ShutdownSignals {
            term: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for one of the signals.
    pub async fn received(&mut self) {
        tokio::select! {
            _ = self.term.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Waits for a signal and then until the shutdown is finished. `has_successor` is called after the signal and
/// returns whether a successor has replaced this process.
pub async fn on_signal(
    mut signals: ShutdownSignals,
    control: Rc<AcceptControl>,
    times: ShutdownTimes,
    has_successor: impl FnOnce() -> bool,
    log: Logger,
) {
    signals.received().await;
    if has_successor() {
        shut_down_replaced(control, times, &log).await;
    } else {
        drain(&[control], times, &log).await;
    }
}

/// Shuts down while the successor accepts new connections. Responses carry `Connection: close`, so that
/// clients move to the successor. After [`ShutdownTimes::successor_grace`], idle connections without an
/// unread request are closed.
async fn shut_down_replaced(control: Rc<AcceptControl>, times: ShutdownTimes, log: &Logger) {
    let started_at = Instant::now();
    info!(log, "shutdown started"; "successor" => true, "connections" => control.connections());
    control.begin_shutdown(started_at + times.all_answered);
    while control.connections() > 0 && started_at.elapsed() < times.successor_grace {
        sleep(POLL_INTERVAL).await;
    }
    control.close_idle();
    wait_for_connections(&[control], started_at, started_at + times.connections_abandoned, log).await;
    info!(log, "shutdown finished"; "duration_ms" => started_at.elapsed().as_millis() as u64);
}

/// Keeps accepting requests for a while, answers all accepted ones, and closes the connections.
pub async fn drain(controls: &[Rc<AcceptControl>], times: ShutdownTimes, log: &Logger) {
    let started_at = Instant::now();
    info!(log, "shutdown started"; "successor" => false, "connections" => open_connections(controls),
        "all_answered_ms" => times.all_answered.as_millis() as u64);
    for control in controls {
        control.begin_shutdown(started_at + times.all_answered);
        control.protect_idle();
    }
    while times.phase(started_at.elapsed(), time_since_last_request(controls, &times), max_latency(controls))
        == ShutdownPhase::AcceptingRequests
    {
        sleep(POLL_INTERVAL).await;
    }
    // The listener stays open: a late connection is answered and closed instead of reset.
    close_connections(controls, started_at + times.connections_abandoned, log).await;
    info!(log, "shutdown finished"; "duration_ms" => started_at.elapsed().as_millis() as u64);
}

/// Closes idle connections and waits until no connection is open or, from `abandon_at` on, until no request
/// is in flight.
pub async fn close_connections(controls: &[Rc<AcceptControl>], abandon_at: Instant, log: &Logger) {
    let started_at = Instant::now();
    for control in controls {
        control.close_connections();
    }
    wait_for_connections(controls, started_at, abandon_at, log).await;
    let connections = open_connections(controls);
    if connections > 0 {
        warn!(log, "connections abandoned"; "connections" => connections);
    }
}

/// Waits until no connection is open or, from `abandon_at` on, until no request is in flight. Reports the requests
/// that are in flight then: they are lost if the process is killed.
async fn wait_for_connections(
    controls: &[Rc<AcceptControl>],
    started_at: Instant,
    abandon_at: Instant,
    log: &Logger,
) {
    // A single poll without connections may precede the accept of one that is in the listen queue.
    let mut consecutive_empty_polls = 0;
    let mut is_reported = false;
    while consecutive_empty_polls < 2 && started_at.elapsed() < LONGEST_SHUTDOWN {
        sleep(POLL_INTERVAL).await;
        let is_empty = awaited_connections(controls, abandon_at) == 0;
        consecutive_empty_polls = if is_empty { consecutive_empty_polls + 1 } else { 0 };
        if !is_empty && !is_reported && Instant::now() >= abandon_at {
            is_reported = true;
            warn!(log, "requests in flight at the end of the shutdown"; "requests" => in_flight(controls));
        }
    }
}

/// Returns the time since the last request on any of the listeners.
fn time_since_last_request(controls: &[Rc<AcceptControl>], times: &ShutdownTimes) -> Duration {
    let quiet = controls.iter().map(|control| control.last_request_at().elapsed());
    quiet.min().unwrap_or(times.quiet_period)
}

/// Returns an upper bound of the latency of nearly all responses on the slowest listener.
fn max_latency(controls: &[Rc<AcceptControl>]) -> Option<Duration> {
    controls.iter().filter_map(|control| control.latency()).max()
}

/// Returns the number of connections that the shutdown waits for. Without `abandon_at`, clients that never
/// close would keep the process running until it is killed.
fn awaited_connections(controls: &[Rc<AcceptControl>], abandon_at: Instant) -> usize {
    if Instant::now() < abandon_at {
        return open_connections(controls);
    }
    in_flight(controls)
}

fn in_flight(controls: &[Rc<AcceptControl>]) -> usize {
    controls.iter().map(|control| control.in_flight()).sum()
}

fn open_connections(controls: &[Rc<AcceptControl>]) -> usize {
    controls.iter().map(|control| control.connections()).sum()
}

#[cfg(test)]
mod tests;
