//! State machine of the calls to discovery: decides when a call starts, is abandoned and is retried.
//!
//! It owns the retry and liveness timing of one [`Query`]. `discovery/mod.rs` drives it and does the I/O. It
//! does no I/O itself and reads no clock: time is passed in, and random delays come from a seeded generator.
//!
//! All timeouts and delays share one budget: a replica knows of a change within [`CHANGE_BUDGET_MS`] of the
//! moment when discovery has it and is reachable, even if one call fails meanwhile. [`WORST_CASE_SEQUENCES`]
//! adds up the delays; the build fails if a sum exceeds its bound.

use std::time::Duration;

/// Longest time until a replica knows of a change, from the moment when discovery has it and is reachable.
const CHANGE_BUDGET_MS: u64 = 6000;
/// The part of the budget for the network, the runtime and parsing a list.
const RESERVE_MS: u64 = 300;
/// Interval at which discovery sends a line on a watch; an empty one if nothing has changed.
const HEARTBEAT_INTERVAL_MS: u64 = 2000;
/// Tolerated delay of a heartbeat.
const HEARTBEAT_TOLERANCE_MS: u64 = 400;
/// A watch without a complete line for this long is abandoned.
const SILENCE_TIMEOUT_MS: u64 = HEARTBEAT_INTERVAL_MS + HEARTBEAT_TOLERANCE_MS;
/// Longest delay before the call that follows a silent watch or a change of address. Both affect all replicas
/// at once; without the random delay all would call at the same moment.
const REOPEN_DELAY_MS: u64 = 300;
/// Longest delay after a watch that ended or after the first failed call. A replica without a watch must
/// learn of changes within the interval that the settings give for asking, which may be 2 s.
const FIRST_RETRY_DELAY_MS: u64 = 800;
/// Interval between the retry slots of a replica, used from the second failure on. The offset of the first
/// slot is random. If the queue at discovery is longer than its queueing timeout, no call succeeds; 300
/// replicas that call in bursts, or again before discovery has worked off their calls, would keep it in that
/// state.
const RETRY_SLOT_INTERVAL_MS: u64 = 2300;
/// A slot that begins sooner than this after a failure is skipped. It is longer than the rest of a slot
/// interval after a call that discovery queued and then rejected: such a replica calls a busy discovery half
/// as often.
const RETRY_SLOT_MARGIN_MS: u64 = 400;
/// Longest delay until a retry slot that is not skipped.
const LONGEST_RETRY_DELAY_MS: u64 = RETRY_SLOT_INTERVAL_MS + RETRY_SLOT_MARGIN_MS;
/// Longest delay after a call that was abandoned. It is short, since these calls are as spread out as their
/// starts.
const RETRY_AFTER_TIMEOUT_DELAY_MS: u64 = 250;
/// A call without a response after this long is abandoned. A busy discovery queues calls for 2 s before it
/// rejects them. A client that gives up earlier leaves a call in the queue that delays others, and never sees
/// the rejection.
const RESPONSE_TIMEOUT_MS: u64 = 2150;
/// Response time of a discovery with spare capacity (0.25 s), with a margin.
const EXPECTED_RESPONSE_MS: u64 = 600;
/// Longest time from a SIGHUP that changes the address until the list at the new address is known.
const ADDRESS_CHANGE_BUDGET_MS: u64 = 4000;

/// The longest sequences of delays, in milliseconds, between the moment when discovery has a change and is
/// reachable, and the receipt of the change, each with its bound. They are listed by the state of the replica
/// at that moment, and all but the one in which a queued call is rejected include one call that hangs.
const WORST_CASE_SEQUENCES: [(&str, u64, u64); 6] = [
    (
        "a watch is silent",
        SILENCE_TIMEOUT_MS
            + REOPEN_DELAY_MS
            + RESPONSE_TIMEOUT_MS
            + RETRY_AFTER_TIMEOUT_DELAY_MS
            + EXPECTED_RESPONSE_MS,
        CHANGE_BUDGET_MS,
    ),
    (
        "a call hangs",
        RESPONSE_TIMEOUT_MS
            + RETRY_AFTER_TIMEOUT_DELAY_MS
            + RESPONSE_TIMEOUT_MS
            + RETRY_AFTER_TIMEOUT_DELAY_MS
            + EXPECTED_RESPONSE_MS,
        CHANGE_BUDGET_MS,
    ),
    (
        "a watch is reset",
        FIRST_RETRY_DELAY_MS + RESPONSE_TIMEOUT_MS + RETRY_AFTER_TIMEOUT_DELAY_MS + EXPECTED_RESPONSE_MS,
        CHANGE_BUDGET_MS,
    ),
    (
        "repeated calls have failed",
        LONGEST_RETRY_DELAY_MS + RESPONSE_TIMEOUT_MS + RETRY_AFTER_TIMEOUT_DELAY_MS + EXPECTED_RESPONSE_MS,
        CHANGE_BUDGET_MS,
    ),
    (
        "a queued call is rejected",
        RESPONSE_TIMEOUT_MS + LONGEST_RETRY_DELAY_MS + EXPECTED_RESPONSE_MS,
        CHANGE_BUDGET_MS,
    ),
    (
        "the address of discovery changes",
        REOPEN_DELAY_MS + RESPONSE_TIMEOUT_MS + RETRY_AFTER_TIMEOUT_DELAY_MS + EXPECTED_RESPONSE_MS,
        ADDRESS_CHANGE_BUDGET_MS,
    ),
];

const _: () = {
    let mut index = 0;
    while index < WORST_CASE_SEQUENCES.len() {
        let (_, sum, bound) = WORST_CASE_SEQUENCES[index];
        assert!(sum + RESERVE_MS <= bound, "a worst-case sequence exceeds its bound");
        index += 1;
    }
};

/// The kinds of calls to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Query {
    /// The changes, read from a watch that is kept open.
    Changes,
    /// The full list, fetched once.
    Snapshot,
}

/// The number of a call, unique within its query.
pub type CallId = u64;

/// The inputs of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Start the query. No effect if it is already running.
    Start,
    /// Stop the query.
    Stop,
    /// The address of discovery has changed.
    AddressChanged,
    /// A response head with status 200 was received.
    ResponseStarted(CallId),
    /// A complete line, possibly empty, was received.
    LineReceived(CallId),
    /// The full list was received.
    SnapshotReceived(CallId),
    /// A call was rejected, was interrupted or had a malformed response.
    CallFailed(CallId),
    /// The time of [`Watch::due`] may have been reached.
    TimerFired,
}

/// The outputs of the state machine. Every action drops the current call, if there is one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start the call with this number.
    StartCall(CallId),
    /// Make no call until the next action.
    DropCall,
    /// Abandon the current call: its response timed out.
    AbandonUnanswered,
    /// Abandon the current watch: no complete line was received before the silence timeout.
    AbandonSilent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Idle,
    /// Waiting until this time before the next call.
    Backoff(Duration),
    /// The current call was started at this time and has no response yet.
    AwaitingResponse(Duration),
    /// The response of the call started at `since` has begun; the last complete line was received at `last`.
    Streaming {
        since: Duration,
        last: Duration,
    },
}

/// The state machine of one query.
#[derive(Debug)]
pub struct Watch {
    query: Query,
    state: State,
    /// The number of the current call or, without one, of the last.
    call: CallId,
    /// The number of consecutive failures; at most 8.
    failures: u32,
    /// The time of the first retry slot.
    first_retry_slot: Duration,
    rng: fastrand::Rng,
}

impl Watch {
    /// Creates a stopped query. `seed` must differ between replicas.
    pub fn new(query: Query, seed: u64) -> Watch {
        let mut rng = fastrand::Rng::with_seed(seed);
        let first_retry_slot = Duration::from_micros(rng.u64(0..RETRY_SLOT_INTERVAL_MS * 1000));
        Watch { query, state: State::Idle, call: 0, failures: 0, first_retry_slot, rng }
    }

    /// Handles an event at time `now` and returns the action to carry out, if any.
    pub fn handle(&mut self, now: Duration, event: Event) -> Option<Action> {
        match event {
            Event::Start if self.state == State::Idle => Some(self.start_call(now)),
            Event::Start => None,
            Event::Stop => {
                self.state = State::Idle;
                Some(Action::DropCall)
            }
            Event::AddressChanged if self.query == Query::Snapshot && self.state == State::Idle => None,
            Event::AddressChanged => {
                self.failures = 0;
                self.back_off(now, REOPEN_DELAY_MS);
                Some(Action::DropCall)
            }
            Event::ResponseStarted(call) => {
                if let (true, State::AwaitingResponse(since)) = (call == self.call, self.state) {
                    self.state = State::Streaming { since, last: now };
                }
                None
            }
            Event::LineReceived(call) => {
                if let (true, State::Streaming { last, .. }) = (call == self.call, &mut self.state) {
                    *last = now;
                }
                None
            }
            Event::SnapshotReceived(call) => {
                if self.is_current(call) {
                    self.state = State::Idle;
                    self.failures = 0;
                }
                None
            }
            Event::CallFailed(call) => {
                if self.is_current(call) {
                    self.on_failure(now);
                }
                None
            }
            Event::TimerFired => self.due().filter(|due| *due <= now).and_then(|_| self.on_timer(now)),
        }
    }

    /// Returns when [`Event::TimerFired`] is due, unless another event is handled before.
    pub fn due(&self) -> Option<Duration> {
        match self.state {
            State::Idle => None,
            State::Backoff(until) => Some(until),
            State::AwaitingResponse(since) => Some(since + ms(RESPONSE_TIMEOUT_MS)),
            State::Streaming { last, .. } => Some(last + ms(SILENCE_TIMEOUT_MS)),
        }
    }

    /// Returns whether a call is the current one. Data from any other call is ignored.
    pub fn is_current(&self, call: CallId) -> bool {
        call == self.call && matches!(self.state, State::AwaitingResponse(_) | State::Streaming { .. })
    }

    /// Returns whether a response is being received.
    pub fn is_streaming(&self) -> bool {
        matches!(self.state, State::Streaming { .. })
    }

    fn on_timer(&mut self, now: Duration) -> Option<Action> {
        match self.state {
            State::Idle => None,
            State::Backoff(_) => Some(self.start_call(now)),
            State::AwaitingResponse(_) => {
                self.back_off(now, RETRY_AFTER_TIMEOUT_DELAY_MS);
                Some(Action::AbandonUnanswered)
            }
            State::Streaming { .. } => {
                // After consecutive failures the replicas are spread out already, and the budget allows no
                // more delay.
                let longest_ms = if self.failures > 0 { 0 } else { REOPEN_DELAY_MS };
                self.failures = 0;
                self.back_off(now, longest_ms);
                Some(Action::AbandonSilent)
            }
        }
    }

    fn start_call(&mut self, now: Duration) -> Action {
        self.call += 1;
        self.state = State::AwaitingResponse(now);
        Action::StartCall(self.call)
    }

    /// Schedules the next call after a failure. Only a response that lasted at least as long as the longest
    /// first retry delay resets the count of failures: without this, a discovery that breaks off each
    /// response at its start would be called again and again without a longer delay.
    fn on_failure(&mut self, now: Duration) {
        if let State::Streaming { since, .. } = self.state
            && now >= since + ms(FIRST_RETRY_DELAY_MS)
        {
            self.failures = 0;
        }
        self.failures = (self.failures + 1).min(8);
        // A fault that affects all replicas does so within one slot interval. If all skipped the same slot,
        // every second slot would stay empty, so half of the replicas skip at the second failure.
        let skips_next_slot = match self.failures {
            1 => return self.back_off(now, FIRST_RETRY_DELAY_MS),
            2 => self.rng.bool(),
            _ => true,
        };
        let from = now + if skips_next_slot { ms(RETRY_SLOT_MARGIN_MS) } else { Duration::ZERO };
        self.state = State::Backoff(self.next_retry_slot(from));
    }

    /// Returns the first retry slot at or after `from`.
    fn next_retry_slot(&self, from: Duration) -> Duration {
        let interval = ms(RETRY_SLOT_INTERVAL_MS);
        let since_first = from.saturating_sub(self.first_retry_slot);
        let slots = since_first.as_micros().div_ceil(interval.as_micros());
        self.first_retry_slot + interval * slots as u32
    }

    /// Waits for a uniformly random delay up to the longest (full jitter), so that replicas that fail
    /// together spread out.
    fn back_off(&mut self, now: Duration, longest_ms: u64) {
        let delay = self.rng.u64(0..=longest_ms * 1000);
        self.state = State::Backoff(now + Duration::from_micros(delay));
    }
}

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// An update is older than the current list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("version {received} is older than the current version {current}")]
pub struct StaleUpdate {
    /// The version of the update.
    pub received: u64,
    /// The version of the current list.
    pub current: u64,
}

/// The current list when an update is received.
#[derive(Clone, Copy, Debug)]
pub struct CurrentList {
    /// Its version.
    pub version: u64,
    /// Whether a watch is keeping it up to date.
    pub is_watched: bool,
}

/// A received update.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedUpdate {
    /// The version of the list after the update.
    pub version: u64,
    /// Whether it contains the full list.
    pub is_snapshot: bool,
}

/// Checks that an update may be applied to the current list. A full list on a watch is authoritative and
/// always accepted, even with an older version. An older change is rejected, since it would undo newer
/// changes. An older snapshot is rejected while a watch is open, since the watch would not send the changes
/// after it again.
///
/// # Errors
/// The update is older than the current list and must not be.
pub fn check_version(
    query: Query,
    current: CurrentList,
    received: ReceivedUpdate,
) -> Result<(), StaleUpdate> {
    let must_be_newer = match query {
        Query::Changes => !received.is_snapshot,
        Query::Snapshot => current.is_watched,
    };
    if must_be_newer && received.version < current.version {
        return Err(StaleUpdate { received: received.version, current: current.version });
    }
    Ok(())
}

#[cfg(test)]
mod tests;
