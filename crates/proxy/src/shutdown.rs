//! Graceful shutdown: on SIGTERM the proxy goes on taking requests for a while, answers all that it has taken, and ends.
//!
//! `cli.rs` and `sidecar` await [`on_signal`] or [`drain`], and end the process when it resolves. It steers listeners by
//! their [`AcceptControl`]; [`ShutdownTimes`] decides when each [`ShutdownPhase`] ends. It never cuts off a request.

use crate::listen::AcceptControl;
use slog::{Logger, info, warn};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::sleep;

/// The platform kills a program no sooner after the signal than the longest deadline, of which no more than this counts,
/// and [`KILL_DELAY`].
const LONGEST_DEADLINE: Duration = Duration::from_millis(3000);
/// See [`LONGEST_DEADLINE`].
const KILL_DELAY: Duration = Duration::from_millis(700);
/// Time for the last bytes to reach their clients before the kill.
const KILL_MARGIN: Duration = Duration::from_millis(300);
/// All that was taken is answered at its deadline at the latest; what is left after this is stuck.
pub const LONGEST_SHUTDOWN: Duration = Duration::from_secs(30);
/// How often a condition is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Where a shutdown is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownPhase {
    /// Requests are still taken, on open connections and new ones.
    TakingRequests,
    /// Idle connections are closed, and what was taken is answered.
    ClosingConnections,
}

/// The times of a shutdown, from the signal on. Danger: taken from the longest time that a program may have, they
/// reach past the moment at which one with short deadlines is killed, and what it took last is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownTimes {
    /// For this long requests are taken in any case: other replicas may be away too, and a response takes less than what
    /// is left then.
    always_taking: Duration,
    /// Then they are taken until none has come for this long...
    quiet_period: Duration,
    /// ...but not so late that less than this is left before the end, or than responses usually take.
    least_left: Duration,
    /// What comes after the signal is answered by then.
    all_answered: Duration,
    /// Connections without a request in flight are given up then, whatever their clients still do.
    connections_given_up: Duration,
    /// Where another process serves in this one's place, clients have so long to move there by calling once more.
    moving_to_successor: Duration,
}

impl ShutdownTimes {
    /// Where no class of requests has a longer deadline than this.
    pub fn new(longest_deadline: Duration) -> ShutdownTimes {
        let all_answered = longest_deadline.min(LONGEST_DEADLINE) + KILL_DELAY - KILL_MARGIN;
        let least_left = Duration::from_millis(500).min(all_answered / 2);
        let latest = all_answered - least_left;
        ShutdownTimes {
            always_taking: Duration::from_millis(1500).min(latest),
            quiet_period: Duration::from_millis(500),
            least_left,
            all_answered,
            connections_given_up: all_answered + KILL_MARGIN / 2,
            moving_to_successor: Duration::from_millis(1000).min(latest),
        }
    }

    /// The phase at a time after the signal, when no request has come for `quiet` and nearly all responses take
    /// `latency` at most. Danger: ended while other replicas are away, clients find nobody; ended too late, what came
    /// last is cut off.
    fn phase(&self, after: Duration, quiet: Duration, latency: Option<Duration>) -> ShutdownPhase {
        let usual_latency = latency.unwrap_or(self.all_answered - self.always_taking);
        let latest = self.all_answered.saturating_sub(usual_latency.max(self.least_left));
        let is_in_use = quiet < self.quiet_period && after < latest;
        if after < self.always_taking || is_in_use {
            ShutdownPhase::TakingRequests
        } else {
            ShutdownPhase::ClosingConnections
        }
    }
}

impl Default for ShutdownTimes {
    /// The longest that a program may have.
    fn default() -> ShutdownTimes {
        ShutdownTimes::new(LONGEST_DEADLINE)
    }
}

/// The signals that ask for a shutdown. Once they are registered, none of them ends the program by itself, the second as
/// little as the first.
pub struct ShutdownSignals {
    term: Signal,
    interrupt: Signal,
}

impl ShutdownSignals {
    /// Registers them. Danger: unregistered, they end the program and all that clients have sent, if only to the
    /// listener's queue.
    ///
    /// # Errors
    /// The system's.
    pub fn register() -> io::Result<ShutdownSignals> {
        Ok(ShutdownSignals {
            term: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Resolves when one of them has come.
    pub async fn received(&mut self) {
        tokio::select! {
            _ = self.term.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Waits for a signal, and then until all is answered. `leave` is told of the signal, and says whether another process
/// serves in this one's place.
pub async fn on_signal(
    mut signals: ShutdownSignals,
    control: Rc<AcceptControl>,
    times: ShutdownTimes,
    leave: impl FnOnce() -> bool,
    log: Logger,
) {
    signals.received().await;
    if leave() {
        leave_to_successor(control, times, &log).await;
    } else {
        drain(&[control], times, &log).await;
    }
}

/// Another process accepts new connections. Clients that call meanwhile are told to go there; the connections of the
/// others are closed then, each after a last look for a request.
async fn leave_to_successor(control: Rc<AcceptControl>, times: ShutdownTimes, log: &Logger) {
    let began = Instant::now();
    info!(log, "shutdown started"; "successor" => true, "connections" => control.connections());
    control.begin_shutdown(began + times.all_answered);
    while control.connections() > 0 && began.elapsed() < times.moving_to_successor {
        sleep(POLL_INTERVAL).await;
    }
    control.close_idle();
    let give_up_at = began + times.connections_given_up;
    while awaited_connections(std::slice::from_ref(&control), give_up_at) > 0
        && began.elapsed() < LONGEST_SHUTDOWN
    {
        sleep(POLL_INTERVAL).await;
    }
    info!(log, "shutdown finished"; "duration_ms" => began.elapsed().as_millis() as u64);
}

/// Takes what still comes, answers all that was taken, and closes.
pub async fn drain(controls: &[Rc<AcceptControl>], times: ShutdownTimes, log: &Logger) {
    let began = Instant::now();
    info!(log, "shutdown started"; "successor" => false, "connections" => open_connections(controls),
        "all_answered_ms" => times.all_answered.as_millis() as u64);
    for control in controls {
        control.begin_shutdown(began + times.all_answered);
        control.protect_idle();
    }
    while times.phase(began.elapsed(), quiet(controls, &times), latency(controls))
        == ShutdownPhase::TakingRequests
    {
        sleep(POLL_INTERVAL).await;
    }
    // The listener stays open: a late connection is answered and closed rather than reset.
    close_connections(controls, began + times.connections_given_up, log).await;
    info!(log, "shutdown finished"; "duration_ms" => began.elapsed().as_millis() as u64);
}

/// Closes idle connections, and waits until none is left; from `give_up_at` on, until no request is in flight.
pub async fn close_connections(controls: &[Rc<AcceptControl>], give_up_at: Instant, log: &Logger) {
    let began = Instant::now();
    for control in controls {
        control.close_connections();
    }
    // Empty once may only mean that the next connection is not accepted yet.
    let mut empty_in_a_row = 0;
    while empty_in_a_row < 2 && began.elapsed() < LONGEST_SHUTDOWN {
        sleep(POLL_INTERVAL).await;
        let is_empty = awaited_connections(controls, give_up_at) == 0;
        empty_in_a_row = if is_empty { empty_in_a_row + 1 } else { 0 };
    }
    let connections = open_connections(controls);
    if connections > 0 {
        warn!(log, "connections abandoned"; "connections" => connections);
    }
}

/// For how long no request has come on any of the listeners.
fn quiet(controls: &[Rc<AcceptControl>], times: &ShutdownTimes) -> Duration {
    let quiet = controls.iter().map(|control| control.last_request_at().elapsed());
    quiet.min().unwrap_or(times.quiet_period)
}

/// What nearly all responses take at most, on the slowest of the listeners.
fn latency(controls: &[Rc<AcceptControl>]) -> Option<Duration> {
    controls.iter().filter_map(|control| control.latency()).max()
}

/// Connections that the end waits for. Danger: clients that never close keep the program until it is killed.
fn awaited_connections(controls: &[Rc<AcceptControl>], give_up_at: Instant) -> usize {
    if Instant::now() < give_up_at {
        return open_connections(controls);
    }
    controls.iter().map(|control| control.in_flight()).sum()
}

fn open_connections(controls: &[Rc<AcceptControl>]) -> usize {
    controls.iter().map(|control| control.connections()).sum()
}

#[cfg(test)]
mod tests;
