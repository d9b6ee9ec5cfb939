//! A planned end: on SIGTERM the proxy takes what still comes, answers all it took, and goes.

use crate::listen::Gate;
use slog::{Logger, info, warn};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::sleep;

/// The platform kills a program no sooner after the signal than the longest deadline, of which no more than this counts...
const LONGEST_DEADLINE: Duration = Duration::from_millis(3000);
/// ...and this.
const KILLED: Duration = Duration::from_millis(700);
/// What is left then for the last bytes to reach their clients.
const MARGIN: Duration = Duration::from_millis(300);
/// All that was taken is answered at its deadline at the latest; what is left after this is stuck.
pub const LONGEST: Duration = Duration::from_secs(30);
const STEP: Duration = Duration::from_millis(10);

/// The times of a planned end, from the signal on. Danger: taken from the longest time that a program may have, they
/// reach past the moment at which one with short deadlines is killed, and what it took last is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// For so long clients are still served on the connections they have, and on new ones: others of the group may be
    /// away too, and an answer takes less than what is left then.
    still_coming: Duration,
    /// And then until no request has come for this long...
    quiet: Duration,
    /// ...but not so late that less is left before the end than this, or than answers usually take.
    least_left: Duration,
    /// What comes after the signal is answered by then.
    all_answered: Duration,
    /// Connections on which nothing is in flight are given up then, whatever their clients still do.
    closed: Duration,
    /// Where another process serves in this one's place, clients have so long to move there by calling once more.
    moving: Duration,
}

impl Times {
    /// Where no class of requests is waited for longer than this.
    pub fn new(longest_deadline: Duration) -> Times {
        let ms = Duration::from_millis;
        let all_answered = longest_deadline.min(LONGEST_DEADLINE) + KILLED - MARGIN;
        let least_left = ms(500).min(all_answered / 2);
        let latest = all_answered - least_left;
        let (still_coming, moving) = (ms(1500).min(latest), ms(1000).min(latest));
        let closed = all_answered + MARGIN / 2;
        Times { still_coming, quiet: ms(500), least_left, all_answered, closed, moving }
    }

    /// Whether requests are taken so long after the signal, when none has come for `quiet` and nearly all answers take
    /// `latency` at most. Danger: ended while others of the group are away, clients find nobody; ended too late, what
    /// came last is cut off.
    fn takes_more(&self, after: Duration, quiet: Duration, latency: Option<Duration>) -> bool {
        let least = latency.unwrap_or(self.all_answered - self.still_coming).max(self.least_left);
        after < self.still_coming || quiet < self.quiet && after < self.all_answered.saturating_sub(least)
    }
}

impl Default for Times {
    /// The longest that a program may have.
    fn default() -> Times {
        Times::new(LONGEST_DEADLINE)
    }
}

/// The signals that ask for a planned end. Once registered for, none of them ends the program by itself, the second as
/// little as the first.
pub struct Signals {
    term: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Registers for them. Danger: unregistered, they end the program and all that clients have sent, if only to the
    /// listener's queue.
    ///
    /// # Errors
    /// The system's.
    pub fn register() -> io::Result<Signals> {
        Ok(Signals { term: signal(SignalKind::terminate())?, interrupt: signal(SignalKind::interrupt())? })
    }

    /// Resolves when one of them has come.
    pub async fn come(&mut self) {
        tokio::select! {
            _ = self.term.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Waits for a signal, and then until nothing is left to answer. `leave` hears of the signal, and says whether another
/// process serves in this one's place.
pub async fn on_signal(
    mut signals: Signals,
    gate: Rc<Gate>,
    times: Times,
    leave: impl FnOnce() -> bool,
    log: Logger,
) {
    signals.come().await;
    if leave() { hand_over(gate, times, &log).await } else { drain(&[gate], times, &log).await }
}

/// Another process accepts what comes. Clients that call meanwhile are told to go there; the others' connections are
/// closed then, each after a last look.
async fn hand_over(gate: Rc<Gate>, times: Times, log: &Logger) {
    let began = Instant::now();
    info!(log, "leaving to another process"; "connections" => gate.connections());
    gate.leave(began + times.all_answered);
    while gate.connections() > 0 && began.elapsed() < times.moving {
        sleep(STEP).await;
    }
    gate.retire();
    while left(std::slice::from_ref(&gate), began + times.closed) > 0 && began.elapsed() < LONGEST {
        sleep(STEP).await;
    }
    info!(log, "left"; "after_ms" => began.elapsed().as_millis() as u64);
}

/// Takes what still comes, answers all that was taken, and closes.
pub async fn drain(gates: &[Rc<Gate>], times: Times, log: &Logger) {
    let began = Instant::now();
    info!(log, "leaving"; "connections" => connections(gates),
        "all_answered_ms" => times.all_answered.as_millis() as u64);
    for gate in gates {
        gate.leave(began + times.all_answered);
        gate.hold_idle();
    }
    let latency = || gates.iter().filter_map(|gate| gate.latency()).max();
    let quiet = || gates.iter().map(|gate| gate.last_taken().elapsed()).min().unwrap_or(times.quiet);
    while times.takes_more(began.elapsed(), quiet(), latency()) {
        sleep(STEP).await;
    }
    // The listener stays open: a late connection is answered and closed rather than reset.
    end(gates, began + times.closed, log).await;
    info!(log, "left"; "after_ms" => began.elapsed().as_millis() as u64);
}

/// Closes idle connections, and waits until none is left; after some moment, until no request is in flight.
pub async fn end(gates: &[Rc<Gate>], until: Instant, log: &Logger) {
    let began = Instant::now();
    gates.iter().for_each(|gate| gate.close());
    // Empty once may only mean that the next connection is not accepted yet.
    let mut empty = 0;
    while empty < 2 && began.elapsed() < LONGEST {
        sleep(STEP).await;
        empty = if left(gates, until) == 0 { empty + 1 } else { 0 };
    }
    if connections(gates) > 0 {
        warn!(log, "connections left at the end"; "connections" => connections(gates));
    }
}

/// Connections for whose sake the end is put off. Danger: clients that never close keep the program until it is killed.
fn left(gates: &[Rc<Gate>], until: Instant) -> usize {
    if Instant::now() < until { connections(gates) } else { gates.iter().map(|gate| gate.in_flight()).sum() }
}

fn connections(gates: &[Rc<Gate>]) -> usize {
    gates.iter().map(|gate| gate.connections()).sum()
}

#[cfg(test)]
mod tests;
