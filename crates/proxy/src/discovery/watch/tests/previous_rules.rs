//! The rules that the state machine replaced, for comparison: a response timeout of 1.5 s, a silence timeout
//! of 3 s that any byte resets, and the retry delays of the decision module.

use super::model::{Input, RetryRules};
use super::*;

/// The time in which the list must be refreshed by most settings, in milliseconds.
const REFRESH_DEADLINE_MS: u64 = 10_000;

pub struct PreviousRules {
    state: State,
    call: CallId,
    failures: u32,
    rng: fastrand::Rng,
}

impl PreviousRules {
    pub fn new(seed: u64) -> PreviousRules {
        PreviousRules { state: State::Idle, call: 0, failures: 0, rng: fastrand::Rng::with_seed(seed) }
    }

    fn start_call(&mut self, now: Duration) -> Option<Action> {
        self.call += 1;
        self.state = State::AwaitingResponse(now);
        Some(Action::StartCall(self.call))
    }

    fn on_failure(&mut self, now: Duration) -> Option<Action> {
        self.failures = (self.failures + 1).min(3);
        let delay_ms = (REFRESH_DEADLINE_MS / 16) << self.failures;
        self.state = State::Backoff(now + ms(delay_ms + self.rng.u64(0..=delay_ms)));
        Some(Action::DropCall)
    }
}

impl RetryRules for PreviousRules {
    fn handle(&mut self, now: Duration, input: Input) -> Option<Action> {
        match (input, self.state) {
            (Input::Start | Input::AddressChanged, _) => self.start_call(now),
            (Input::ResponseStarted(call), State::AwaitingResponse(since)) if call == self.call => {
                self.state = State::Streaming { since, last: now };
                None
            }
            (
                Input::PartialLine(call) | Input::EmptyLine(call) | Input::ObjectLine(call),
                State::Streaming { since, .. },
            ) if call == self.call => {
                self.state = State::Streaming { since, last: now };
                if matches!(input, Input::ObjectLine(_)) {
                    self.failures = 0;
                }
                None
            }
            (Input::CallFailed(call), State::AwaitingResponse(_) | State::Streaming { .. })
                if call == self.call =>
            {
                self.on_failure(now)
            }
            (Input::TimerFired, state) if self.due().is_some_and(|due| due <= now) => match state {
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
