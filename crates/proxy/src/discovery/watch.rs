//! State machine of the calls to discovery: when one starts, when it is abandoned, and when the next one starts.
//!
//! It owns the retry and liveness timing of one [`Query`]. `discovery/mod.rs` drives it and does the I/O. It does no I/O
//! itself and reads no clock: time is passed in, and chance comes from a seed.
//!
//! All timeouts and delays are parts of one sum: a change is known [`CHANGE_BUDGET_MS`] after discovery has it and can
//! be reached, with room for a second try. [`WORST_CASE_SEQUENCES`] adds them up, and a build in which one is too long
//! does not compile.

use std::time::Duration;

/// A change is known this long after discovery has it and can be reached. All constants below are milliseconds.
const CHANGE_BUDGET_MS: u64 = 6000;
/// What the network, the runtime and parsing a list may take of the budget.
const RESERVE_MS: u64 = 300;
/// A watch brings a line this often, if only an empty one.
const HEARTBEAT_INTERVAL_MS: u64 = 2000;
/// A heartbeat may be this late.
const HEARTBEAT_TOLERANCE_MS: u64 = 400;
/// A watch that has brought no whole line for this long is abandoned.
const SILENCE_TIMEOUT_MS: u64 = HEARTBEAT_INTERVAL_MS + HEARTBEAT_TOLERANCE_MS;
/// Longest delay before the call that follows a silent watch or a change of address. Danger: without it all replicas
/// call at the same moment, since what befell one befell all.
const REOPEN_DELAY_MS: u64 = 300;
/// Longest delay after a watch that ended, or after the first call that failed. Danger: a replica without a watch is
/// held to what changed since after the time that the settings give for asking, which may be 2 s.
const FIRST_RETRY_DELAY_MS: u64 = 800;
/// From the second failure on a replica calls in time slots of its own, this far apart; where the first one falls is
/// chance. Danger: a queue at discovery that is longer than its patience answers nobody, and three hundred replicas that
/// call in bursts, or again sooner than it can work off their calls, keep it so for good.
const RETRY_SLOT_INTERVAL_MS: u64 = 2300;
/// A slot that comes sooner than this after a second failure is skipped. It is more than what is left of a slot by a
/// call that waited until it was refused: discovery is busy then, and called half as often.
const RETRY_SLOT_MARGIN_MS: u64 = 400;
/// The longest delay that follows from the slots.
const LONGEST_RETRY_DELAY_MS: u64 = RETRY_SLOT_INTERVAL_MS + RETRY_SLOT_MARGIN_MS;
/// Longest delay after a call that was abandoned: these spread out by themselves, as they began.
const RETRY_AFTER_TIMEOUT_DELAY_MS: u64 = 250;
/// A call that has no response after this long is abandoned. Danger: a busy discovery lets calls wait for their turn
/// (2 s was seen) before it refuses them. A caller that gives up before leaves a call behind that takes somebody's turn,
/// and never learns that it was refused.
const RESPONSE_TIMEOUT_MS: u64 = 2150;
/// What a discovery with spare capacity takes to respond (0.25 s was seen).
const EXPECTED_RESPONSE_MS: u64 = 600;
/// A new address is given with SIGHUP, and its list has to be known after this.
const ADDRESS_CHANGE_BUDGET_MS: u64 = 4000;

/// The longest ways from the moment at which discovery has a change and can be reached to the line that brings it, by
/// the state of the replica at that moment, with a call that hangs on the way; but for a call that was refused at the
/// end of its wait. Beside each is its bound.
const WORST_CASE_SEQUENCES: [(&str, u64, u64); 6] = [
    (
        "a watch has fallen silent",
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
        "many calls have failed",
        LONGEST_RETRY_DELAY_MS + RESPONSE_TIMEOUT_MS + RETRY_AFTER_TIMEOUT_DELAY_MS + EXPECTED_RESPONSE_MS,
        CHANGE_BUDGET_MS,
    ),
    (
        "a call waits and is refused",
        RESPONSE_TIMEOUT_MS + LONGEST_RETRY_DELAY_MS + EXPECTED_RESPONSE_MS,
        CHANGE_BUDGET_MS,
    ),
    (
        "discovery moves",
        REOPEN_DELAY_MS + RESPONSE_TIMEOUT_MS + RETRY_AFTER_TIMEOUT_DELAY_MS + EXPECTED_RESPONSE_MS,
        ADDRESS_CHANGE_BUDGET_MS,
    ),
];

const _: () = {
    let mut index = 0;
    while index < WORST_CASE_SEQUENCES.len() {
        let (_, sum, bound) = WORST_CASE_SEQUENCES[index];
        assert!(sum + RESERVE_MS <= bound, "a sequence is longer than its bound");
        index += 1;
    }
};

/// What discovery is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Query {
    /// The changes, on a watch that is kept open.
    Changes,
    /// The whole list, once.
    Snapshot,
}

/// The number of a call; each has another.
pub type CallId = u64;

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The query is wanted from now on. No effect if it already is.
    Start,
    /// The query is no longer wanted.
    Stop,
    /// Discovery has another address from now on.
    AddressChanged,
    /// The head of a response came, with status 200.
    ResponseStarted(CallId),
    /// A whole line came; an empty one too.
    LineReceived(CallId),
    /// The whole list came.
    SnapshotReceived(CallId),
    /// A call was refused, broke off or brought something unreadable.
    CallFailed(CallId),
    /// The time that [`Watch::due`] names may have come.
    TimerFired,
}

/// What is to be done. Each drops the current call, if there is one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start a call.
    StartCall(CallId),
    /// No call is wanted.
    DropCall,
    /// The current call has had no response in time.
    AbandonUnanswered,
    /// The current watch has fallen silent.
    AbandonSilent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Idle,
    /// No call until then.
    Backoff(Duration),
    /// The current call was started then, and has no response so far.
    AwaitingResponse(Duration),
    /// The current call was started at `since` and its response has begun; the last whole line came at `last`.
    Streaming {
        since: Duration,
        last: Duration,
    },
}

/// The calls of one query.
#[derive(Debug)]
pub struct Watch {
    query: Query,
    state: State,
    /// The current call, or the last one.
    call: CallId,
    /// Calls that failed at once, in a row.
    failures: u32,
    /// When its first retry slot is.
    first_retry_slot: Duration,
    rng: fastrand::Rng,
}

impl Watch {
    /// A query that is not wanted yet. `seed` has to differ between replicas.
    pub fn new(query: Query, seed: u64) -> Watch {
        let mut rng = fastrand::Rng::with_seed(seed);
        let first_retry_slot = Duration::from_micros(rng.u64(0..RETRY_SLOT_INTERVAL_MS * 1000));
        Watch { query, state: State::Idle, call: 0, failures: 0, first_retry_slot, rng }
    }

    /// Takes one event at time `now`.
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

    /// When [`Event::TimerFired`] is due, unless another event comes first.
    pub fn due(&self) -> Option<Duration> {
        match self.state {
            State::Idle => None,
            State::Backoff(until) => Some(until),
            State::AwaitingResponse(since) => Some(since + ms(RESPONSE_TIMEOUT_MS)),
            State::Streaming { last, .. } => Some(last + ms(SILENCE_TIMEOUT_MS)),
        }
    }

    /// Whether a call is the current one. What another brings does not count.
    pub fn is_current(&self, call: CallId) -> bool {
        call == self.call && matches!(self.state, State::AwaitingResponse(_) | State::Streaming { .. })
    }

    /// Whether a response has begun and goes on.
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
                // After a row of failures the replicas have spread out already, and the sum has no room for more.
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

    /// Danger: a response that begins well and breaks off at once, each time. Only one that went on for as long as the
    /// first retry delay ends the row of failures.
    fn on_failure(&mut self, now: Duration) {
        if let State::Streaming { since, .. } = self.state
            && now >= since + ms(FIRST_RETRY_DELAY_MS)
        {
            self.failures = 0;
        }
        self.failures = (self.failures + 1).min(8);
        // Danger: what befell all befell them within one slot, and every second slot would be empty. The first that may
        // be skipped is, by half of the replicas.
        let skips_next_slot = match self.failures {
            1 => return self.back_off(now, FIRST_RETRY_DELAY_MS),
            2 => self.rng.bool(),
            _ => true,
        };
        let from = now + if skips_next_slot { ms(RETRY_SLOT_MARGIN_MS) } else { Duration::ZERO };
        self.state = State::Backoff(self.next_retry_slot(from));
    }

    /// Its first retry slot from a time on.
    fn next_retry_slot(&self, from: Duration) -> Duration {
        let interval = ms(RETRY_SLOT_INTERVAL_MS);
        let since_first = from.saturating_sub(self.first_retry_slot);
        let slots = since_first.as_micros().div_ceil(interval.as_micros());
        self.first_retry_slot + interval * slots as u32
    }

    /// Full jitter: any delay up to the longest is as likely, so that replicas that failed together spread out.
    fn back_off(&mut self, now: Duration, longest_ms: u64) {
        let delay = self.rng.u64(0..=longest_ms * 1000);
        self.state = State::Backoff(now + Duration::from_micros(delay));
    }
}

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// An update that is older than the list held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("version {received}, and version {held} is held")]
pub struct StaleUpdate {
    /// The version that came.
    pub received: u64,
    /// The version held.
    pub held: u64,
}

/// The list as it is held when an update comes.
#[derive(Clone, Copy, Debug)]
pub struct HeldList {
    /// Its version.
    pub version: u64,
    /// A watch keeps it up to date.
    pub is_watched: bool,
}

/// An update that came.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedUpdate {
    /// The version that it brings the list to.
    pub version: u64,
    /// It is the whole list.
    pub is_snapshot: bool,
}

/// Whether an update may be applied to the list held. A whole list on a watch is discovery's word on how things stand
/// and is taken as it is, also where it goes back. A change that goes back is not: it would undo what is newer. Nor is a
/// whole list that was asked for on the side, and that the watch has overtaken: the watch does not tell that part again.
///
/// # Errors
/// It is older than what is held.
pub fn check_version(query: Query, held: HeldList, received: ReceivedUpdate) -> Result<(), StaleUpdate> {
    let must_be_newer = match query {
        Query::Changes => !received.is_snapshot,
        Query::Snapshot => held.is_watched,
    };
    if must_be_newer && received.version < held.version {
        return Err(StaleUpdate { received: received.version, held: held.version });
    }
    Ok(())
}

#[cfg(test)]
mod tests;
