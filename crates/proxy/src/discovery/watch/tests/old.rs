//! The rules before this state machine, for comparison: 1.5 s until an answer, 3 s of silence counted in bytes, and
//! the decisions' waits after a failure.

use super::model::{Copy, Input};
use super::*;

/// The time in which a view of the list has to be renewed, of most settings.
const MUST_ASK: u64 = 10_000;

pub struct Old {
    state: State,
    call: CallId,
    failures: u32,
    rng: fastrand::Rng,
}

impl Old {
    pub fn new(seed: u64) -> Old {
        Old { state: State::Idle, call: 0, failures: 0, rng: fastrand::Rng::with_seed(seed) }
    }

    fn start_call(&mut self, now: Duration) -> Option<Action> {
        self.call += 1;
        self.state = State::AwaitingResponse(now);
        Some(Action::StartCall(self.call))
    }

    fn on_failure(&mut self, now: Duration) -> Option<Action> {
        self.failures = (self.failures + 1).min(3);
        let wait = (MUST_ASK / 16) << self.failures;
        self.state = State::Backoff(now + ms(wait + self.rng.u64(0..=wait)));
        Some(Action::DropCall)
    }
}

impl Copy for Old {
    fn handle(&mut self, now: Duration, input: Input) -> Option<Action> {
        match (input, self.state) {
            (Input::Begin | Input::Moved, _) => self.start_call(now),
            (Input::Head(call), State::AwaitingResponse(since)) if call == self.call => {
                self.state = State::Streaming { since, last: now };
                None
            }
            (
                Input::Bytes(call) | Input::Empty(call) | Input::Object(call),
                State::Streaming { since, .. },
            ) if call == self.call => {
                self.state = State::Streaming { since, last: now };
                if matches!(input, Input::Object(_)) {
                    self.failures = 0;
                }
                None
            }
            (Input::Failed(call), State::AwaitingResponse(_) | State::Streaming { .. })
                if call == self.call =>
            {
                self.on_failure(now)
            }
            (Input::Due, state) if self.due().is_some_and(|due| due <= now) => match state {
                State::Backoff(_) => self.start_call(now),
                _ => self.on_failure(now),
            },
            _ => None,
        }
    }

    fn due(&self) -> Option<Duration> {
        match self.state {
            State::Idle => None,
            State::Backoff(until) => Some(until),
            State::AwaitingResponse(since) => Some(since + ms(1500)),
            State::Streaming { last, .. } => Some(last + ms(3000)),
        }
    }
}
