//! A planned end: on SIGTERM the proxy takes what still comes, answers all it took, and goes.

use crate::listen::Gate;
use slog::{Logger, info, warn};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Notify;
use tokio::time::sleep;

/// For so long after the signal clients are still served on the connections they have, and on new ones:
/// others of the group may be away too, and an answer takes less than what is left then.
const STILL_COMING: Duration = Duration::from_millis(1500);
/// And then until no request has come for this long...
const QUIET: Duration = Duration::from_millis(500);
/// ...but not so late that less is left before the end than this, or than answers usually take.
const LEAST_LEFT: Duration = Duration::from_millis(500);
/// What comes after the signal is answered by then: the program is killed 3.7 s after it at the earliest.
const ALL_ANSWERED: Duration = Duration::from_millis(3400);
/// All that was taken is answered at its deadline at the latest; what is left after this is stuck.
const LONGEST: Duration = Duration::from_secs(30);
/// Where another process serves in this one's place, clients have so long to move there by calling once more.
const MOVING: Duration = Duration::from_millis(1000);
const STEP: Duration = Duration::from_millis(10);

/// Waits for SIGTERM or an interrupt, and then until nothing is left to answer. `leave` hears of the signal, and says
/// whether another process serves in this one's place.
pub async fn on_signal(gate: Rc<Gate>, leave: impl FnOnce() -> bool, log: Logger) -> io::Result<()> {
    asked(&Notify::new()).await?;
    if leave() {
        hand_over(gate, &log).await
    } else {
        drain(&[gate], &log).await
    }
    Ok(())
}

/// Another process accepts what comes. Clients that call meanwhile are told to go there; the others' connections are
/// closed then, each after a last look.
async fn hand_over(gate: Rc<Gate>, log: &Logger) {
    let began = Instant::now();
    info!(log, "leaving to another process"; "connections" => gate.connections());
    gate.leave(began + ALL_ANSWERED);
    while gate.connections() > 0 && began.elapsed() < MOVING {
        sleep(STEP).await;
    }
    gate.retire();
    while gate.connections() > 0 && began.elapsed() < LONGEST {
        sleep(STEP).await;
    }
    info!(log, "left"; "after_ms" => began.elapsed().as_millis() as u64);
}

/// Waits for SIGTERM, an interrupt, or a word.
pub async fn asked(word: &Notify) -> io::Result<()> {
    let (mut term, mut interrupt) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
        () = word.notified() => {}
    }
    Ok(())
}

/// Takes what still comes, answers all that was taken, and closes.
pub async fn drain(gates: &[Rc<Gate>], log: &Logger) {
    let began = Instant::now();
    info!(log, "leaving"; "connections" => connections(gates));
    for gate in gates {
        gate.leave(began + ALL_ANSWERED);
        gate.hold_idle();
    }
    let latency = || gates.iter().filter_map(|gate| gate.latency()).max();
    let quiet = || gates.iter().map(|gate| gate.last_taken().elapsed()).min().unwrap_or(QUIET);
    while takes_more(began.elapsed(), quiet(), latency()) {
        sleep(STEP).await;
    }
    // The listener stays open: a late connection is answered and closed rather than reset.
    end(gates, log).await;
    info!(log, "left"; "after_ms" => began.elapsed().as_millis() as u64);
}

/// Whether requests are taken so long after the signal, when none has come for `quiet` and nearly all answers take
/// `latency` at most. Danger: ended while others of the group are away, clients find nobody; ended too late, what came
/// last is cut off.
fn takes_more(after: Duration, quiet: Duration, latency: Option<Duration>) -> bool {
    let least = latency.unwrap_or(ALL_ANSWERED - STILL_COMING).max(LEAST_LEFT);
    after < STILL_COMING || quiet < QUIET && after < ALL_ANSWERED.saturating_sub(least)
}

/// Closes idle connections, and waits until none is left.
pub async fn end(gates: &[Rc<Gate>], log: &Logger) {
    let began = Instant::now();
    gates.iter().for_each(|gate| gate.close());
    // Empty once may only mean that the next connection is not accepted yet.
    let mut empty = 0;
    while empty < 2 && began.elapsed() < LONGEST {
        sleep(STEP).await;
        empty = if connections(gates) == 0 { empty + 1 } else { 0 };
    }
    if connections(gates) > 0 {
        warn!(log, "connections left at the end"; "connections" => connections(gates));
    }
}

fn connections(gates: &[Rc<Gate>]) -> usize {
    gates.iter().map(|gate| gate.connections()).sum()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn requests_are_taken_while_they_come_and_can_be_answered() {
        let ms = Duration::from_millis;
        for (after, quiet, latency, takes) in [
            (1499, 9000, Some(5000), true), // always so long
            (1500, 0, Some(5000), false),
            (2399, 499, Some(1000), true),
            (2400, 499, Some(1000), false), // no longer answered in time
            (2000, 500, Some(1000), false), // nobody comes
            (2899, 0, Some(1), true),
            (2900, 0, Some(1), false), // something has to be left
            (1600, 0, None, false),    // nothing is known
        ] {
            let latency = latency.map(ms);
            assert_eq!(takes_more(ms(after), ms(quiet), latency), takes, "{after} {quiet} {latency:?}");
        }
    }
}
