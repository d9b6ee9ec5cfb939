//! A model, in virtual time, of discovery and of the replicas that call it. Discovery handles calls one after
//! another and fails as a script says.

use super::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The events that a replica receives.
#[derive(Clone, Copy, Debug)]
pub enum Input {
    Start,
    AddressChanged,
    ResponseStarted(CallId),
    /// Bytes that do not complete a line.
    PartialLine(CallId),
    EmptyLine(CallId),
    ObjectLine(CallId),
    CallFailed(CallId),
    TimerFired,
}

/// The rules by which a replica calls discovery.
pub trait RetryRules {
    fn handle(&mut self, now: Duration, input: Input) -> Option<Action>;
    fn due(&self) -> Option<Duration>;
}

impl RetryRules for Watch {
    fn handle(&mut self, now: Duration, input: Input) -> Option<Action> {
        let event = match input {
            Input::Start => Event::Start,
            Input::AddressChanged => Event::AddressChanged,
            Input::ResponseStarted(call) => Event::ResponseStarted(call),
            Input::PartialLine(_) => return None,
            Input::EmptyLine(call) | Input::ObjectLine(call) => Event::LineReceived(call),
            Input::CallFailed(call) => Event::CallFailed(call),
            Input::TimerFired => Event::TimerFired,
        };
        Watch::handle(self, now, event)
    }

    fn due(&self) -> Option<Duration> {
        Watch::due(self)
    }
}

/// A step of a script: what happens to discovery or to the open watches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The list changes.
    ListChanges,
    /// Discovery answers calls.
    Up,
    /// Discovery ends all calls and watches, and refuses new calls at once.
    Down,
    /// Discovery answers new calls with 503 at once; open watches continue.
    Rejecting,
    /// Discovery ends all calls and watches, and rejects new calls after the queueing timeout.
    Overloaded,
    /// Discovery is unreachable: new calls and open ones get no data and no error.
    Unreachable,
    /// Open watches send no more data.
    WatchesStall,
    /// Open watches send bytes that do not complete a line.
    WatchesTrickle,
    /// Open watches are reset.
    WatchesReset,
    /// Open watches send a malformed line.
    WatchesMalformed,
    /// The address of discovery changes; calls to the old address continue.
    AddressChanges,
    /// The next call gets no response.
    NextHangs,
    /// The next call gets a response head and no data.
    NextStalls,
    /// The next call is rejected.
    NextRejected,
}

/// The result of a script. Times are in milliseconds.
#[derive(Debug, Default)]
pub struct Measured {
    /// The longest time that a replica took to learn of a change, as [`Model::longest_delay`] counts it.
    pub longest_delay: u64,
    /// The time until every replica knew of the last change, including outages.
    pub last_change_delay: u64,
    /// The highest number of calls within one second.
    pub peak_calls: usize,
    /// The number of calls.
    pub calls: usize,
    /// The duration of the run.
    pub end: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Connection {
    None,
    /// A call without a response.
    AwaitingResponse,
    Streaming,
    Stalled,
    Trickling,
}

struct Replica<R> {
    rules: R,
    call: CallId,
    connection: Connection,
    known_changes: usize,
    /// When the replica learned of each change.
    learned_at: Vec<u64>,
    /// When a fault affected its call.
    faults: Vec<u64>,
    /// The number of its next heartbeat; earlier ones in the queue are ignored.
    heartbeat: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Scheduled {
    Start { replica: usize },
    Script(usize),
    ResponseHead { replica: usize, call: CallId, stalls: bool },
    Rejected { replica: usize, call: CallId },
    Heartbeat { replica: usize, call: CallId, heartbeat: u64 },
    Trickle { replica: usize, call: CallId },
    Timer { replica: usize },
}

/// Discovery rejects a call that has been queued for this long.
pub const QUEUE_TIMEOUT_MS: u64 = 2000;

/// The model; times are in milliseconds.
pub struct Model<R> {
    replicas: Vec<Replica<R>>,
    /// By time, then in the order of scheduling.
    scheduled: BinaryHeap<Reverse<(u64, u64, Scheduled)>>,
    sequence: u64,
    now: u64,
    condition: Step,
    next: Option<Step>,
    /// When discovery has worked off all calls so far.
    busy_until: u64,
    /// The time that discovery spends on a call.
    service_time: u64,
    /// When each change was made.
    changes: Vec<u64>,
    /// The start and end of each outage.
    outages: Vec<(u64, u64)>,
    calls: Vec<u64>,
}

impl<R: RetryRules> Model<R> {
    pub fn new(rules: impl Iterator<Item = R>, service_time: u64) -> Model<R> {
        let replica = |rules| Replica {
            rules,
            call: 0,
            connection: Connection::None,
            known_changes: 0,
            learned_at: Vec::new(),
            faults: Vec::new(),
            heartbeat: 0,
        };
        Model {
            replicas: rules.map(replica).collect(),
            scheduled: BinaryHeap::new(),
            sequence: 0,
            now: 0,
            condition: Step::Up,
            next: None,
            busy_until: 0,
            service_time,
            changes: Vec::new(),
            outages: Vec::new(),
            calls: Vec::new(),
        }
    }

    /// Runs a script of steps, each with its delay after the step before, and 30 s more.
    pub fn run(mut self, script: &[(u64, Step)]) -> Measured {
        let mut at = 0;
        for (index, (after, _)) in script.iter().enumerate() {
            at += after;
            self.schedule(at, Scheduled::Script(index));
        }
        // The starts of the replicas are spread over a second.
        for replica in 0..self.replicas.len() {
            self.schedule(replica as u64 * 1000 / self.replicas.len() as u64, Scheduled::Start { replica });
        }
        let end = at + 30_000;
        while let Some(Reverse((at, _, event))) = self.scheduled.pop().filter(|next| next.0.0 <= end) {
            self.now = at;
            self.handle(script, event);
        }
        self.now = end;
        self.measure(end)
    }

    fn schedule(&mut self, at: u64, event: Scheduled) {
        self.sequence += 1;
        self.scheduled.push(Reverse((at, self.sequence, event)));
    }

    fn handle(&mut self, script: &[(u64, Step)], event: Scheduled) {
        match event {
            Scheduled::Start { replica } => self.input(replica, Input::Start),
            Scheduled::Script(index) => self.apply(script[index].1),
            Scheduled::ResponseHead { replica, call, stalls } => {
                if self.is_current(replica, call) {
                    self.replicas[replica].connection =
                        if stalls { Connection::Stalled } else { Connection::Streaming };
                    self.input(replica, Input::ResponseStarted(call));
                    if stalls {
                        self.fault(replica);
                    } else {
                        self.send_changes(replica);
                        self.schedule_heartbeat(replica);
                    }
                }
            }
            Scheduled::Rejected { replica, call } => {
                if self.is_current(replica, call) {
                    self.on_failure(replica);
                }
            }
            Scheduled::Heartbeat { replica, call, heartbeat } => {
                if self.is_current(replica, call)
                    && self.replicas[replica].connection == Connection::Streaming
                    && self.replicas[replica].heartbeat == heartbeat
                {
                    self.input(replica, Input::EmptyLine(call));
                    self.schedule_heartbeat(replica);
                }
            }
            Scheduled::Trickle { replica, call } => {
                if self.is_current(replica, call)
                    && self.replicas[replica].connection == Connection::Trickling
                {
                    self.input(replica, Input::PartialLine(call));
                    self.schedule(self.now + 500, event);
                }
            }
            Scheduled::Timer { replica } => {
                if self.replicas[replica].rules.due().is_some_and(|due| due <= self.time()) {
                    self.input(replica, Input::TimerFired);
                }
            }
        }
    }

    fn time(&self) -> Duration {
        ms(self.now)
    }

    fn is_current(&self, replica: usize, call: CallId) -> bool {
        self.replicas[replica].call == call && self.replicas[replica].connection != Connection::None
    }

    fn fault(&mut self, replica: usize) {
        self.replicas[replica].faults.push(self.now);
    }

    fn schedule_heartbeat(&mut self, replica: usize) {
        self.replicas[replica].heartbeat += 1;
        let (call, heartbeat) = (self.replicas[replica].call, self.replicas[replica].heartbeat);
        self.schedule(self.now + HEARTBEAT_INTERVAL_MS, Scheduled::Heartbeat { replica, call, heartbeat });
    }

    /// Sends the changes that a replica does not know yet.
    fn send_changes(&mut self, replica: usize) {
        let (now, changes) = (self.now, self.changes.len());
        let r = &mut self.replicas[replica];
        if r.known_changes < changes {
            r.learned_at.resize(changes, now);
            r.known_changes = changes;
            let call = r.call;
            self.input(replica, Input::ObjectLine(call));
        }
    }

    fn on_failure(&mut self, replica: usize) {
        let call = self.replicas[replica].call;
        self.replicas[replica].connection = Connection::None;
        self.input(replica, Input::CallFailed(call));
    }

    fn input(&mut self, replica: usize, input: Input) {
        let now = self.time();
        match self.replicas[replica].rules.handle(now, input) {
            Some(Action::StartCall(call)) => {
                (self.replicas[replica].call, self.replicas[replica].connection) =
                    (call, Connection::AwaitingResponse);
                self.on_call(replica, call);
            }
            Some(_) => self.replicas[replica].connection = Connection::None,
            None => {}
        }
        if let Some(due) = self.replicas[replica].rules.due() {
            let at = due.as_micros().div_ceil(1000) as u64;
            self.schedule(at.max(self.now), Scheduled::Timer { replica });
        }
    }

    fn on_call(&mut self, replica: usize, call: CallId) {
        self.calls.push(self.now);
        match (self.condition, self.next.take()) {
            (Step::Down | Step::Rejecting, next) => {
                self.next = next;
                self.schedule(self.now, Scheduled::Rejected { replica, call });
            }
            (Step::Overloaded, next) => {
                self.next = next;
                self.schedule(self.now + QUEUE_TIMEOUT_MS, Scheduled::Rejected { replica, call });
            }
            (Step::Unreachable, next) => self.next = next,
            (_, Some(Step::NextHangs)) => self.fault(replica),
            (_, Some(Step::NextRejected)) => {
                self.fault(replica);
                self.schedule(self.now, Scheduled::Rejected { replica, call });
            }
            (_, next) => {
                // Discovery works off every call in its queue, also those that the client has abandoned.
                let begins = self.busy_until.max(self.now);
                self.busy_until = begins + self.service_time;
                if begins - self.now > QUEUE_TIMEOUT_MS {
                    self.fault(replica);
                    return self.schedule(self.now + QUEUE_TIMEOUT_MS, Scheduled::Rejected { replica, call });
                }
                let stalls = next == Some(Step::NextStalls);
                self.schedule(self.busy_until, Scheduled::ResponseHead { replica, call, stalls });
            }
        }
    }

    fn apply(&mut self, step: Step) {
        let all = 0..self.replicas.len();
        let is_watching = |r: &Replica<R>| {
            matches!(r.connection, Connection::Streaming | Connection::Stalled | Connection::Trickling)
        };
        match step {
            Step::ListChanges => {
                self.changes.push(self.now);
                for replica in all {
                    if self.replicas[replica].connection == Connection::Streaming {
                        self.send_changes(replica);
                        self.schedule_heartbeat(replica);
                    }
                }
            }
            Step::Up | Step::Down | Step::Rejecting | Step::Overloaded | Step::Unreachable => {
                let was_up = std::mem::replace(&mut self.condition, step) == Step::Up;
                match (was_up, step == Step::Up) {
                    (true, false) => self.outages.push((self.now, u64::MAX)),
                    (false, true) => self.outages.last_mut().expect("an outage has begun").1 = self.now,
                    _ => {}
                }
                for replica in all {
                    match step {
                        Step::Down | Step::Overloaded
                            if self.replicas[replica].connection != Connection::None =>
                        {
                            self.on_failure(replica)
                        }
                        Step::Unreachable if self.replicas[replica].connection != Connection::None => {
                            self.replicas[replica].connection = Connection::Stalled;
                        }
                        _ => {}
                    }
                }
                if step == Step::Unreachable {
                    self.scheduled.retain(|next| !matches!(next.0.2, Scheduled::ResponseHead { .. }));
                }
            }
            Step::WatchesStall | Step::WatchesTrickle | Step::WatchesReset | Step::WatchesMalformed => {
                for replica in all {
                    if !is_watching(&self.replicas[replica]) {
                        continue;
                    }
                    self.fault(replica);
                    let call = self.replicas[replica].call;
                    match step {
                        Step::WatchesStall => self.replicas[replica].connection = Connection::Stalled,
                        Step::WatchesTrickle => {
                            self.replicas[replica].connection = Connection::Trickling;
                            self.schedule(self.now, Scheduled::Trickle { replica, call });
                        }
                        _ => self.on_failure(replica),
                    }
                }
            }
            Step::AddressChanges => {
                for replica in all {
                    self.fault(replica);
                    self.input(replica, Input::AddressChanged);
                }
            }
            Step::NextHangs | Step::NextStalls | Step::NextRejected => self.next = Some(step),
        }
    }

    fn measure(&self, end: u64) -> Measured {
        let longest_delay =
            self.replicas.iter().map(|replica| self.longest_delay(replica, end)).max().unwrap_or(0);
        let within_a_second =
            |at: usize| self.calls[at..].iter().take_while(|t| **t < self.calls[at] + 1000).count();
        let peak_calls = (0..self.calls.len()).map(within_a_second).max().unwrap_or(0);
        let learned_last = |replica: &Replica<R>| {
            replica.learned_at.get(self.changes.len().wrapping_sub(1)).copied().unwrap_or(end)
        };
        let last_change_delay = self.replicas.iter().map(learned_last).max().unwrap_or(0)
            - self.changes.last().copied().unwrap_or(end);
        Measured { longest_delay, last_change_delay, peak_calls, calls: self.calls.len(), end }
    }

    /// Returns the longest time that a replica did not know of a change while discovery was reachable. The
    /// time counts from the change, the end of the last outage or the last fault but one, whichever is
    /// latest: the budget allows for one fault.
    fn longest_delay(&self, replica: &Replica<R>, end: u64) -> u64 {
        let bounds = self.outages.iter().flat_map(|(from, to)| [*from, *to]);
        let mut marks: Vec<u64> =
            replica.faults.iter().copied().chain(bounds).filter(|at| *at < end).collect();
        marks.sort_unstable();
        marks.push(end);
        let mut longest = 0;
        for (index, made) in self.changes.iter().enumerate() {
            let learned = replica.learned_at.get(index).copied().unwrap_or(end);
            let mut from = 0;
            let mut before = 0;
            for mark in &marks {
                // Nothing changes between two marks.
                let is_unreachable = self.outages.iter().any(|(a, b)| *a <= from && from < *b);
                let reachable_since =
                    self.outages.iter().map(|(_, b)| *b).filter(|b| *b <= from).max().unwrap_or(0);
                let since = (*made).max(before).max(reachable_since);
                if !is_unreachable {
                    longest = longest.max(learned.min(*mark).saturating_sub(since));
                }
                (before, from) = (from, *mark);
            }
        }
        longest
    }
}
