//! A small model of discovery and of the copies that call it, in virtual time. It handles calls one after another,
//! and does to them what a script says.

use super::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What a copy is told of its calls.
#[derive(Clone, Copy, Debug)]
pub enum Input {
    Begin,
    Moved,
    Head(CallId),
    /// Bytes that make no line.
    Bytes(CallId),
    Empty(CallId),
    Object(CallId),
    Failed(CallId),
    Due,
}

/// Whoever decides when to call.
pub trait Copy {
    fn handle(&mut self, now: Duration, input: Input) -> Option<Action>;
    fn due(&self) -> Option<Duration>;
}

impl Copy for Watch {
    fn handle(&mut self, now: Duration, input: Input) -> Option<Action> {
        let event = match input {
            Input::Begin => Event::Start,
            Input::Moved => Event::AddressChanged,
            Input::Head(call) => Event::ResponseStarted(call),
            Input::Bytes(_) => return None,
            Input::Empty(call) | Input::Object(call) => Event::LineReceived(call),
            Input::Failed(call) => Event::CallFailed(call),
            Input::Due => Event::TimerFired,
        };
        Watch::handle(self, now, event)
    }

    fn due(&self) -> Option<Duration> {
        Watch::due(self)
    }
}

/// What befalls discovery, or all that is open there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The list changes.
    Change,
    /// It answers.
    Up,
    /// It ends all that is out, and refuses calls.
    Down,
    /// It answers 503 at once; watches go on.
    Refuses,
    /// It ends all that is out, and refuses calls when their patience is over.
    Stuck,
    /// It vanishes: nothing is said from then on, also of what is open.
    Vanishes,
    /// Open watches say nothing any more; or bytes that make no line.
    Silence,
    Drip,
    /// Open watches are reset; or bring what is unreadable.
    Reset,
    Spoilt,
    /// It is elsewhere; the old place says nothing of it.
    Moves,
    /// The next call hangs before its head, or right behind it, or is refused.
    NextHangs,
    NextStalls,
    NextRefused,
}

/// What became of it.
#[derive(Debug, Default)]
pub struct Played {
    /// The longest that a change was not known to a copy although it could have been, by the most, in milliseconds.
    pub worst: u64,
    /// How long the last copy took to know the last change, whatever befell it.
    pub last: u64,
    /// The most calls within a second, and in all.
    pub busiest: usize,
    pub calls: usize,
    pub end: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Conn {
    None,
    /// Not answered so far, and perhaps never.
    Asked,
    Live,
    Mute,
    Drips,
}

struct Seat<C> {
    copy: C,
    call: CallId,
    conn: Conn,
    known: usize,
    /// When each change was known.
    told: Vec<u64>,
    /// Beginnings of what befell its calls; and of times in which discovery could not be reached, and their ends.
    faults: Vec<u64>,
    /// Its next heartbeat is the one of this number.
    beat: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Coming {
    Start { seat: usize },
    Script(usize),
    Head { seat: usize, call: CallId, stalls: bool },
    Refused { seat: usize, call: CallId },
    Beat { seat: usize, call: CallId, beat: u64 },
    Drip { seat: usize, call: CallId },
    Due { seat: usize },
}

/// How long discovery lets a call wait for its turn, as was seen on two deployments.
pub const PATIENCE: u64 = 2000;

pub struct Model<C> {
    seats: Vec<Seat<C>>,
    coming: BinaryHeap<Reverse<(u64, u64, Coming)>>,
    number: u64,
    now: u64,
    condition: Step,
    next: Option<Step>,
    /// When discovery has done with the calls so far; and what each takes.
    free: u64,
    service: u64,
    /// When each change was made.
    changes: Vec<u64>,
    /// From when to when it could not be reached.
    away: Vec<(u64, u64)>,
    calls: Vec<u64>,
}

impl<C: Copy> Model<C> {
    /// `service`: what a call takes, in milliseconds.
    pub fn new(copies: impl Iterator<Item = C>, service: u64) -> Model<C> {
        let seat = |copy| Seat {
            copy,
            call: 0,
            conn: Conn::None,
            known: 0,
            told: Vec::new(),
            faults: Vec::new(),
            beat: 0,
        };
        Model {
            seats: copies.map(seat).collect(),
            coming: BinaryHeap::new(),
            number: 0,
            now: 0,
            condition: Step::Up,
            next: None,
            free: 0,
            service,
            changes: Vec::new(),
            away: Vec::new(),
            calls: Vec::new(),
        }
    }

    /// Plays steps, each so many milliseconds after the one before, and a while with discovery up behind them.
    pub fn play(mut self, script: &[(u64, Step)]) -> Played {
        let mut at = 0;
        for (index, (after, _)) in script.iter().enumerate() {
            at += after;
            self.push(at, Coming::Script(index));
        }
        // Copies do not start in the same moment.
        for seat in 0..self.seats.len() {
            self.push(seat as u64 * 1000 / self.seats.len() as u64, Coming::Start { seat });
        }
        let end = at + 30_000;
        while let Some(Reverse((at, _, coming))) = self.coming.pop().filter(|next| next.0.0 <= end) {
            self.now = at;
            self.comes(script, coming);
        }
        self.now = end;
        self.sum_up(end)
    }

    fn push(&mut self, at: u64, coming: Coming) {
        self.number += 1;
        self.coming.push(Reverse((at, self.number, coming)));
    }

    fn comes(&mut self, script: &[(u64, Step)], coming: Coming) {
        match coming {
            Coming::Start { seat } => self.input(seat, Input::Begin),
            Coming::Script(index) => self.step(script[index].1),
            Coming::Head { seat, call, stalls } => {
                if self.is_current(seat, call) {
                    self.seats[seat].conn = if stalls { Conn::Mute } else { Conn::Live };
                    self.input(seat, Input::Head(call));
                    if stalls {
                        self.fault(seat);
                    } else {
                        self.tell(seat);
                        self.beats(seat);
                    }
                }
            }
            Coming::Refused { seat, call } => {
                if self.is_current(seat, call) {
                    self.on_failure(seat);
                }
            }
            Coming::Beat { seat, call, beat } => {
                if self.is_current(seat, call)
                    && self.seats[seat].conn == Conn::Live
                    && self.seats[seat].beat == beat
                {
                    self.input(seat, Input::Empty(call));
                    self.beats(seat);
                }
            }
            Coming::Drip { seat, call } => {
                if self.is_current(seat, call) && self.seats[seat].conn == Conn::Drips {
                    self.input(seat, Input::Bytes(call));
                    self.push(self.now + 500, coming);
                }
            }
            Coming::Due { seat } => {
                if self.seats[seat].copy.due().is_some_and(|due| due <= self.time()) {
                    self.input(seat, Input::Due);
                }
            }
        }
    }

    fn time(&self) -> Duration {
        ms(self.now)
    }

    fn is_current(&self, seat: usize, call: CallId) -> bool {
        self.seats[seat].call == call && self.seats[seat].conn != Conn::None
    }

    fn fault(&mut self, seat: usize) {
        self.seats[seat].faults.push(self.now);
    }

    fn beats(&mut self, seat: usize) {
        self.seats[seat].beat += 1;
        let (call, beat) = (self.seats[seat].call, self.seats[seat].beat);
        self.push(self.now + HEARTBEAT_INTERVAL_MS, Coming::Beat { seat, call, beat });
    }

    /// Tells what a watch has not told.
    fn tell(&mut self, seat: usize) {
        let (now, changes) = (self.now, self.changes.len());
        let s = &mut self.seats[seat];
        if s.known < changes {
            s.told.resize(changes, now);
            s.known = changes;
            let call = s.call;
            self.input(seat, Input::Object(call));
        }
    }

    fn on_failure(&mut self, seat: usize) {
        let call = self.seats[seat].call;
        self.seats[seat].conn = Conn::None;
        self.input(seat, Input::Failed(call));
    }

    fn input(&mut self, seat: usize, input: Input) {
        let now = self.time();
        match self.seats[seat].copy.handle(now, input) {
            Some(Action::StartCall(call)) => {
                (self.seats[seat].call, self.seats[seat].conn) = (call, Conn::Asked);
                self.called(seat, call);
            }
            Some(_) => self.seats[seat].conn = Conn::None,
            None => {}
        }
        if let Some(due) = self.seats[seat].copy.due() {
            let at = due.as_micros().div_ceil(1000) as u64;
            self.push(at.max(self.now), Coming::Due { seat });
        }
    }

    fn called(&mut self, seat: usize, call: CallId) {
        self.calls.push(self.now);
        match (self.condition, self.next.take()) {
            (Step::Down | Step::Refuses, next) => {
                self.next = next;
                self.push(self.now, Coming::Refused { seat, call });
            }
            (Step::Stuck, next) => {
                self.next = next;
                self.push(self.now + PATIENCE, Coming::Refused { seat, call });
            }
            (Step::Vanishes, next) => self.next = next,
            (_, Some(Step::NextHangs)) => self.fault(seat),
            (_, Some(Step::NextRefused)) => {
                self.fault(seat);
                self.push(self.now, Coming::Refused { seat, call });
            }
            (_, next) => {
                // Danger: it has the work of every call, whether or not somebody still waits for it.
                let turn = self.free.max(self.now);
                self.free = turn + self.service;
                if turn - self.now > PATIENCE {
                    self.fault(seat);
                    return self.push(self.now + PATIENCE, Coming::Refused { seat, call });
                }
                let stalls = next == Some(Step::NextStalls);
                self.push(self.free, Coming::Head { seat, call, stalls });
            }
        }
    }

    fn step(&mut self, step: Step) {
        let all = 0..self.seats.len();
        let open = |s: &Seat<C>| matches!(s.conn, Conn::Live | Conn::Mute | Conn::Drips);
        match step {
            Step::Change => {
                self.changes.push(self.now);
                for seat in all {
                    if self.seats[seat].conn == Conn::Live {
                        self.tell(seat);
                        self.beats(seat);
                    }
                }
            }
            Step::Up | Step::Down | Step::Refuses | Step::Stuck | Step::Vanishes => {
                let was_up = std::mem::replace(&mut self.condition, step) == Step::Up;
                match (was_up, step == Step::Up) {
                    (true, false) => self.away.push((self.now, u64::MAX)),
                    (false, true) => self.away.last_mut().expect("it was away").1 = self.now,
                    _ => {}
                }
                for seat in all {
                    match step {
                        Step::Down | Step::Stuck if self.seats[seat].conn != Conn::None => {
                            self.on_failure(seat)
                        }
                        Step::Vanishes if self.seats[seat].conn != Conn::None => {
                            self.seats[seat].conn = Conn::Mute;
                        }
                        _ => {}
                    }
                }
                if step == Step::Vanishes {
                    self.coming.retain(|next| !matches!(next.0.2, Coming::Head { .. }));
                }
            }
            Step::Silence | Step::Drip | Step::Reset | Step::Spoilt => {
                for seat in all {
                    if !open(&self.seats[seat]) {
                        continue;
                    }
                    self.fault(seat);
                    let call = self.seats[seat].call;
                    match step {
                        Step::Silence => self.seats[seat].conn = Conn::Mute,
                        Step::Drip => {
                            self.seats[seat].conn = Conn::Drips;
                            self.push(self.now, Coming::Drip { seat, call });
                        }
                        _ => self.on_failure(seat),
                    }
                }
            }
            Step::Moves => {
                for seat in all {
                    self.fault(seat);
                    self.input(seat, Input::Moved);
                }
            }
            Step::NextHangs | Step::NextStalls | Step::NextRefused => self.next = Some(step),
        }
    }

    fn sum_up(&self, end: u64) -> Played {
        let worst = self.seats.iter().map(|seat| self.unknown(seat, end)).max().unwrap_or(0);
        let within = |at: usize| self.calls[at..].iter().take_while(|t| **t < self.calls[at] + 1000).count();
        let busiest = (0..self.calls.len()).map(within).max().unwrap_or(0);
        let knows =
            |seat: &Seat<C>| seat.told.get(self.changes.len().wrapping_sub(1)).copied().unwrap_or(end);
        let last =
            self.seats.iter().map(knows).max().unwrap_or(0) - self.changes.last().copied().unwrap_or(end);
        Played { worst, last, busiest, calls: self.calls.len(), end }
    }

    /// The longest that a change could have been known, and was not. Its clock starts with the change, with the
    /// return of discovery, or with the last fault but one, whichever is latest: there is room for one more.
    fn unknown(&self, seat: &Seat<C>, end: u64) -> u64 {
        let ends = self.away.iter().flat_map(|(from, to)| [*from, *to]);
        let mut marks: Vec<u64> = seat.faults.iter().copied().chain(ends).filter(|at| *at < end).collect();
        marks.sort_unstable();
        marks.push(end);
        let mut worst = 0;
        for (index, made) in self.changes.iter().enumerate() {
            let known = seat.told.get(index).copied().unwrap_or(end);
            let mut from = 0;
            let mut before = 0;
            for mark in &marks {
                // Between two marks all is as it was at the first.
                let is_away = self.away.iter().any(|(a, b)| *a <= from && from < *b);
                let back = self.away.iter().map(|(_, b)| *b).filter(|b| *b <= from).max().unwrap_or(0);
                let clock = (*made).max(before).max(back);
                if !is_away {
                    worst = worst.max(known.min(*mark).saturating_sub(clock));
                }
                (before, from) = (from, *mark);
            }
        }
        worst
    }
}
