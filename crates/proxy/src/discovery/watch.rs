//! When discovery is called, when a call or a watch is given up, and when it is called again: a state machine
//! without I/O. Time is passed in, and chance comes from a seed.
//!
//! What it keeps to is one sum: a change is known [`BUDGET`] after discovery has it and can be reached, with room
//! for a second try. All times below are parts of that sum; [`CHAINS`] adds them up, and a build in which one is
//! too long does not compile.

use std::time::Duration;

/// A change is known this long after discovery has it and can be reached, in milliseconds as all below.
const BUDGET: u64 = 6000;
/// What the network, the runtime and the reading of a list may take of it.
const RESERVE: u64 = 300;
/// A watch brings a line this often, if only an empty one.
const HEARTBEAT: u64 = 2000;
/// A line may be so late.
const LATE: u64 = 400;
/// A watch that has brought no whole line for so long has fallen silent.
const SILENCE: u64 = HEARTBEAT + LATE;
/// Longest wait before a watch that fell silent, or a discovery that moved, is called. Danger: without it all
/// copies call in one moment, since what befell one befell all.
const REOPEN: u64 = 300;
/// Longest wait after a watch that ended, or after the first call that failed. Danger: a copy without a watch is held to
/// what changed since after the time that the settings give for asking, which may be 2 s.
const FIRST_RETRY: u64 = 800;
/// From the second failure on a copy calls in a turn of its own: its turns come this far apart,
/// and where the first falls is chance. Danger: a queue at discovery that is longer than its patience answers nobody,
/// and three hundred copies that call in bursts, or again sooner than it can work off their calls, keep it so for good.
const TURNS: u64 = 2300;
/// A turn that comes sooner after a second failure is passed over. It is more than is left of a turn by a call that
/// waited until it was refused: discovery is busy then, and called half as often.
const PAUSE: u64 = 400;
/// The longest wait that comes of it.
const RETRY: u64 = TURNS + PAUSE;
/// The same after a call that was given up: these come apart by themselves, as they began.
const AFTER_SLOW: u64 = 250;
/// A call that has no answer after so long hangs. Danger: a busy discovery lets calls wait for their turn (2 s was
/// seen) before it refuses them. Who gives up before leaves a call behind that takes somebody's turn, and never learns
/// that it was refused.
const ANSWER: u64 = 2150;
/// What a discovery that has room takes to answer (0.25 s was seen).
const TURN: u64 = 600;
/// A new address is given with SIGHUP, and counts as told after this.
const MOVE: u64 = 4000;

/// The longest ways from the moment at which discovery has a change and can be reached to the line that brings it:
/// by what the copy was at then, with a call that hangs on the way, but for one that was refused when its wait was
/// over. Beside each is its bound.
const CHAINS: [(&str, u64, u64); 6] = [
    ("a watch has fallen silent", SILENCE + REOPEN + ANSWER + AFTER_SLOW + TURN, BUDGET),
    ("a call hangs", ANSWER + AFTER_SLOW + ANSWER + AFTER_SLOW + TURN, BUDGET),
    ("a watch is reset", FIRST_RETRY + ANSWER + AFTER_SLOW + TURN, BUDGET),
    ("many calls have failed", RETRY + ANSWER + AFTER_SLOW + TURN, BUDGET),
    ("a call waits and is refused", ANSWER + RETRY + TURN, BUDGET),
    ("discovery moves", REOPEN + ANSWER + AFTER_SLOW + TURN, MOVE),
];

const _: () = {
    let mut at = 0;
    while at < CHAINS.len() {
        assert!(CHAINS[at].1 + RESERVE <= CHAINS[at].2, "a chain is longer than its bound");
        at += 1;
    }
};

/// What is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Asks {
    /// The changes, for good.
    Changes,
    /// The whole list, once.
    Whole,
}

/// The number of a call; each has another.
pub type CallId = u64;

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Discovery is to be called from now on. Nothing if it is already.
    Begin,
    /// No longer.
    End,
    /// Discovery is elsewhere from now on.
    Moved,
    /// The head of an answer came, and it is a good one.
    Head(CallId),
    /// A whole line came; an empty one too.
    Line(CallId),
    /// The whole list came.
    Done(CallId),
    /// A call was refused, broke off or brought what is unreadable.
    Failed(CallId),
    /// The time that [`Watch::due`] names may have come.
    Due,
}

/// What is to be done. Each drops whatever call is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Call.
    Call(CallId),
    /// Nothing is out any longer.
    Drop,
    /// The call that is out has no answer in time.
    GiveUpSlow,
    /// The watch that is out has fallen silent.
    GiveUpSilent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Off,
    /// Nothing is out until then.
    Waiting(Duration),
    /// A call is out since then, without an answer so far.
    Calling(Duration),
    /// The answer of a call that is out since then has begun; the last whole line came then.
    Open {
        since: Duration,
        last: Duration,
    },
}

/// The liveness of what is asked for.
#[derive(Debug)]
pub struct Watch {
    asks: Asks,
    state: State,
    /// Of the call that is out, or was last.
    call: CallId,
    /// Calls that failed at once, one after the other.
    failures: u32,
    /// When its first turn is.
    turn: Duration,
    rng: fastrand::Rng,
}

impl Watch {
    /// Nothing is asked yet. `seed` has to differ between copies.
    pub fn new(asks: Asks, seed: u64) -> Watch {
        let mut rng = fastrand::Rng::with_seed(seed);
        let turn = Duration::from_micros(rng.u64(0..TURNS * 1000));
        Watch { asks, state: State::Off, call: 0, failures: 0, turn, rng }
    }

    /// Takes one event at time `now`.
    pub fn handle(&mut self, now: Duration, event: Event) -> Option<Action> {
        match event {
            Event::Begin if self.state == State::Off => Some(self.calls(now)),
            Event::Begin => None,
            Event::End => {
                self.state = State::Off;
                Some(Action::Drop)
            }
            Event::Moved if self.asks == Asks::Whole && self.state == State::Off => None,
            Event::Moved => {
                self.failures = 0;
                self.waits(now, REOPEN);
                Some(Action::Drop)
            }
            Event::Head(call) => {
                if let (true, State::Calling(since)) = (call == self.call, self.state) {
                    self.state = State::Open { since, last: now };
                }
                None
            }
            Event::Line(call) => {
                if let (true, State::Open { last, .. }) = (call == self.call, &mut self.state) {
                    *last = now;
                }
                None
            }
            Event::Done(call) => {
                if self.is_out(call) {
                    (self.state, self.failures) = (State::Off, 0);
                }
                None
            }
            Event::Failed(call) => {
                if self.is_out(call) {
                    self.fails(now);
                }
                None
            }
            Event::Due => self.due().filter(|due| *due <= now).and_then(|_| self.is_due(now)),
        }
    }

    /// When it has to be told [`Event::Due`], unless something else happens first.
    pub fn due(&self) -> Option<Duration> {
        match self.state {
            State::Off => None,
            State::Waiting(until) => Some(until),
            State::Calling(since) => Some(since + ms(ANSWER)),
            State::Open { last, .. } => Some(last + ms(SILENCE)),
        }
    }

    /// Whether a call is the one that is out. What another brings does not count.
    pub fn is_out(&self, call: CallId) -> bool {
        call == self.call && matches!(self.state, State::Calling(_) | State::Open { .. })
    }

    /// Whether an answer has begun and goes on.
    pub fn is_open(&self) -> bool {
        matches!(self.state, State::Open { .. })
    }

    fn is_due(&mut self, now: Duration) -> Option<Action> {
        match self.state {
            State::Off => None,
            State::Waiting(_) => Some(self.calls(now)),
            State::Calling(_) => {
                self.waits(now, AFTER_SLOW);
                Some(Action::GiveUpSlow)
            }
            State::Open { .. } => {
                // Behind a row of failures the copies have come apart already, and the sum has no room for more.
                let most = if self.failures > 0 { 0 } else { REOPEN };
                self.failures = 0;
                self.waits(now, most);
                Some(Action::GiveUpSilent)
            }
        }
    }

    fn calls(&mut self, now: Duration) -> Action {
        self.call += 1;
        self.state = State::Calling(now);
        Action::Call(self.call)
    }

    /// Danger: an answer that begins well and breaks off at once, each time. Only one that went on for as long as the
    /// longest wait ends the row of failures.
    fn fails(&mut self, now: Duration) {
        if let State::Open { since, .. } = self.state
            && now >= since + ms(RETRY)
        {
            self.failures = 0;
        }
        self.failures = (self.failures + 1).min(8);
        // Danger: what befell all befell them within one turn, and every second turn would be empty. The first that may
        // be passed over is, by half of the copies.
        let passes = match self.failures {
            1 => return self.waits(now, FIRST_RETRY),
            2 => self.rng.bool(),
            _ => true,
        };
        let from = now + if passes { ms(PAUSE) } else { Duration::ZERO };
        self.state = State::Waiting(self.turn_from(from));
    }

    /// Its first turn from a time on.
    fn turn_from(&self, from: Duration) -> Duration {
        let turns = from.saturating_sub(self.turn).as_micros().div_ceil(ms(TURNS).as_micros());
        self.turn + ms(TURNS) * turns as u32
    }

    /// Full jitter: any wait up to the most is as likely, so that copies that failed together come apart.
    fn waits(&mut self, now: Duration, most: u64) {
        let wait = self.rng.u64(0..=most * 1000);
        self.state = State::Waiting(now + Duration::from_micros(wait));
    }
}

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// News that is older than the list held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("version {told}, and version {held} is held")]
pub struct Older {
    /// What came.
    pub told: u64,
    /// What is held.
    pub held: u64,
}

/// Whether news fits the version held. A whole list on a watch is discovery's word on how things stand and is taken as
/// it is, also where it goes back. A change that goes back is not: it would undo what is newer. Nor is a whole list
/// that was asked for on the side, and that the `open` watch has overtaken: the watch does not tell that part again.
///
/// # Errors
/// It is older than what is held.
pub fn fits(asks: Asks, open: bool, held: u64, told: u64, full: bool) -> Result<(), Older> {
    let must_be_newer = match asks {
        Asks::Changes => !full,
        Asks::Whole => open,
    };
    if must_be_newer && told < held { Err(Older { told, held }) } else { Ok(()) }
}

#[cfg(test)]
mod tests;
