//! The queue, the slots and the cores of a server.

use super::pace::Pace;
use super::reports::{Figures, Now, Reports};
use crate::model::MachineChange;
use crate::scenario::{Cancel, Kind, Rules};
use crate::sockets::chance::Chance;
use rand::Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

/// Names a request at its server; never used again.
pub type Ticket = u64;

/// A request as a server sees it. Times are in nanoseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ask {
    /// Its work here up to its end or its next call to the tier below, on a core of speed 1.
    pub part: u64,
    /// Calls that it makes; each is followed by as much work again.
    pub calls: u32,
    /// When its sender stops waiting.
    pub until: Option<u64>,
}

/// What a server says of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Said {
    /// Turned away: it drains.
    Draining,
    /// Turned away: the queue is full.
    Full,
    /// Turned away: nobody waited any more when its turn came.
    Over,
    /// Failed at once.
    Error,
    /// A part of its work is done. It keeps its slot until it goes [on](Machine::goes_on) or
    /// [leaves](Machine::leave).
    Ran,
}

/// What a server is.
#[derive(Clone)]
pub struct Shape {
    /// Its kind of machine.
    pub kind: Kind,
    /// Speed of a core.
    pub speed: f64,
    /// How a cold one falls over.
    pub rules: Rules,
}

/// Counts over a server's whole life, restarts included. Work is in nanoseconds at speed 1.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Requests that reached it.
    pub attempts: u64,
    /// Those that it turned away.
    pub turned_away: u64,
    /// Work done.
    pub work: f64,
    /// Work done for which nobody got an answer.
    pub wasted: f64,
    /// Most requests that were there at a time.
    pub peak_requests: u64,
    /// Probes.
    pub probes: u64,
    /// Connections made.
    pub handshakes: u64,
    /// Most connections at a time.
    pub peak_connections: u64,
    /// Open connections, summed over time: connections times nanoseconds.
    pub connection_time: f64,
    /// Time that it ran, in nanoseconds.
    pub uptime: u64,
    /// Times that it died.
    pub deaths: u32,
    /// It fell over while cold.
    pub fell_over: bool,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// For a slot.
    Waits,
    /// In a slot; waits for a core, has one, or has had one.
    Works,
}

struct Job {
    ask: Ask,
    stage: Stage,
    /// Work done for it.
    done: f64,
    /// Its sender is gone.
    called_off: bool,
}

struct Running {
    work: f64,
    began: u64,
    ends: u64,
}

/// A server.
pub struct Machine {
    shape: Shape,
    pace: Pace,
    reports: Option<Reports>,
    chance: Chance,
    alive: bool,
    draining: bool,
    /// Share of requests that fail at once.
    errors: f64,
    /// While it hangs nothing begins and nothing ends.
    hangs: bool,
    /// Its load reports are this much older.
    late: u64,
    jobs: BTreeMap<Ticket, Job>,
    /// For a slot.
    queue: VecDeque<Ticket>,
    in_slots: u32,
    /// For a core: requests, and chores with their work.
    for_core: VecDeque<(Ticket, f64)>,
    running: BTreeMap<Ticket, Running>,
    ends: BinaryHeap<Reverse<(u64, Ticket)>>,
    /// Whose work ended while it hung.
    held_up: Vec<Ticket>,
    next: Ticket,
    /// Work that reached it of late while it was cold.
    pressure: VecDeque<(u64, f64)>,
    connections: u64,
    /// All is done and counted up to here.
    counted_until: u64,
    tally: Tally,
    said: Vec<(Ticket, Said)>,
}

impl Machine {
    /// A server that is warm and runs, or is not there yet.
    pub fn new(shape: Shape, chance: Chance, up: bool) -> Machine {
        let kind = &shape.kind;
        let mut machine = Machine {
            pace: Pace::new(shape.speed, kind.cores, kind.cold, kind.crowd, kind.pause),
            reports: None,
            chance,
            alive: false,
            draining: false,
            errors: 0.0,
            hangs: false,
            late: 0,
            jobs: BTreeMap::new(),
            queue: VecDeque::new(),
            in_slots: 0,
            for_core: VecDeque::new(),
            running: BTreeMap::new(),
            ends: BinaryHeap::new(),
            held_up: Vec::new(),
            next: 0,
            pressure: VecDeque::new(),
            connections: 0,
            counted_until: 0,
            tally: Tally::default(),
            said: Vec::new(),
            shape,
        };
        if up {
            machine.start(0, false);
        }
        machine
    }

    /// It starts.
    pub fn start(&mut self, now: u64, cold: bool) {
        self.count(now);
        (self.alive, self.draining) = (true, false);
        self.pace.starts(now, cold, &mut self.chance);
        self.reports = self.shape.kind.report.map(|spec| Reports::new(spec, now));
        self.pressure.clear();
    }

    /// It dies with all that it has.
    pub fn stop(&mut self, now: u64) {
        self.advance(now);
        for running in self.running.values() {
            let speed = running.work / ((running.ends - running.began) as f64).max(1.0);
            let done = now.saturating_sub(running.began) as f64 * speed;
            self.tally.work += done;
            self.tally.wasted += done;
        }
        self.tally.wasted += self.jobs.values().map(|job| job.done).sum::<f64>();
        self.tally.deaths += u32::from(self.alive);
        self.alive = false;
        self.jobs.clear();
        self.queue.clear();
        self.for_core.clear();
        self.running.clear();
        self.ends.clear();
        self.held_up.clear();
        self.said.clear();
        (self.in_slots, self.connections, self.hangs) = (0, 0, false);
    }

    /// Something about it changes; for its death and its start there are [`Machine::stop`] and
    /// [`Machine::start`].
    pub fn change(&mut self, now: u64, change: MachineChange) {
        self.advance(now);
        match change {
            MachineChange::Die { .. } | MachineChange::Start => {}
            MachineChange::Drain => self.draining = true,
            MachineChange::Errors(share) => self.errors = share,
            MachineChange::Slow(factor) => self.pace.slow(factor),
            MachineChange::Late(late) => self.late = late,
            MachineChange::Hang(hangs) => self.hangs = hangs && self.alive,
        }
        if !self.hangs {
            let ended = self.held_up.drain(..).filter(|t| self.jobs.contains_key(t));
            self.said.extend(ended.map(|ticket| (ticket, Said::Ran)));
        }
        self.settle(now);
    }

    /// A request whose last byte has arrived. What is said of it is found in [`Machine::said`].
    pub fn arrive(&mut self, now: u64, ask: Ask) -> Ticket {
        self.advance(now);
        let ticket = self.next;
        self.next += 1;
        self.tally.attempts += 1;
        self.press(now, ask.part as f64 * f64::from(ask.calls + 1));
        let error_rate = self.errors.max(self.shape.kind.error_rate);
        let free = self.in_slots < self.shape.kind.slots;
        let job = Job { ask, stage: Stage::Waits, done: 0.0, called_off: false };
        if self.draining {
            self.turn_away(ticket, Said::Draining);
        } else if self.chance.random::<f64>() < error_rate {
            self.said.push((ticket, Said::Error));
        } else if free {
            self.jobs.insert(ticket, job);
            self.takes_slot(ticket);
        } else if self.queue.len() < self.shape.kind.queue as usize {
            self.jobs.insert(ticket, job);
            self.queue.push_back(ticket);
        } else {
            self.turn_away(ticket, Said::Full);
        }
        self.settle(now);
        ticket
    }

    /// The call that a request made is answered: the next part of its work waits for a core.
    pub fn goes_on(&mut self, now: u64, ticket: Ticket) {
        self.advance(now);
        if let Some(job) = self.jobs.get(&ticket) {
            self.for_core.push_back((ticket, job.ask.part as f64));
            self.settle(now);
        }
    }

    /// A request has left: it is answered, or a call that it made has failed. Says whether anybody waits for
    /// the answer; none: it is not here any more.
    pub fn leave(&mut self, now: u64, ticket: Ticket, served: bool) -> Option<bool> {
        self.advance(now);
        let job = self.jobs.remove(&ticket)?;
        self.in_slots -= 1;
        if !served || job.called_off {
            self.tally.wasted += job.done;
        } else if let Some(reports) = &mut self.reports {
            reports.served();
        }
        self.settle(now);
        Some(!job.called_off)
    }

    /// Whoever sent a request does not wait any more. True: what it has under way elsewhere is to stop too.
    pub fn call_off(&mut self, now: u64, ticket: Ticket) -> bool {
        self.advance(now);
        let Some(job) = self.jobs.get_mut(&ticket) else { return true };
        job.called_off = true;
        let stops = match (self.shape.kind.cancel, job.stage) {
            (Cancel::None, _) | (Cancel::Queued, Stage::Works) => false,
            (Cancel::Queued, Stage::Waits) | (Cancel::Running, _) => true,
        };
        if stops {
            self.abandon(now, ticket);
            self.settle(now);
        }
        stops
    }

    fn abandon(&mut self, now: u64, ticket: Ticket) {
        let Some(job) = self.jobs.remove(&ticket) else { return };
        match job.stage {
            Stage::Waits => self.queue.retain(|t| *t != ticket),
            Stage::Works => self.in_slots -= 1,
        }
        self.for_core.retain(|(t, _)| *t != ticket);
        if let Some(running) = self.running.remove(&ticket) {
            let whole = ((running.ends - running.began) as f64).max(1.0);
            let done = running.work * (now.saturating_sub(running.began) as f64 / whole).min(1.0);
            self.tally.work += done;
            self.tally.wasted += done;
        }
        self.tally.wasted += job.done;
    }

    /// A probe, answered beside the queue.
    pub fn probe(&mut self, now: u64) {
        self.tally.probes += 1;
        self.chore(now, self.shape.kind.probe_work.nanos());
    }

    /// A new connection. False: there are as many as it holds.
    pub fn connect(&mut self, now: u64) -> bool {
        self.advance(now);
        let spec = self.shape.kind.connections;
        if spec.cap > 0 && self.connections >= u64::from(spec.cap) {
            return false;
        }
        self.connections += 1;
        self.tally.handshakes += 1;
        self.tally.peak_connections = self.tally.peak_connections.max(self.connections);
        self.chore(now, spec.handshake_work.nanos());
        true
    }

    /// A connection has ended.
    pub fn disconnect(&mut self, now: u64) {
        self.advance(now);
        self.connections = self.connections.saturating_sub(1);
    }

    fn chore(&mut self, now: u64, work: u64) {
        self.advance(now);
        if work > 0 {
            self.for_core.push_back((self.next, work as f64));
            self.next += 1;
            self.settle(now);
        }
    }

    /// The load report that is told now, if it makes any.
    pub fn report(&mut self, now: u64) -> Option<Figures> {
        self.advance(now);
        self.reports.as_ref()?.told(now, self.late, &mut self.chance)
    }

    /// What was said since the last call, oldest first.
    pub fn said(&mut self) -> Vec<(Ticket, Said)> {
        std::mem::take(&mut self.said)
    }

    /// Whether it takes part in anything.
    pub fn alive(&self) -> bool {
        self.alive
    }

    /// Whether it fell over. Somebody has to [stop](Machine::stop) it then, for good.
    pub fn fell_over(&self) -> bool {
        self.tally.fell_over
    }

    /// Counts up to now.
    pub fn tally(&mut self, now: u64) -> Tally {
        self.advance(now);
        self.tally.clone()
    }

    /// Cores times speed, when warm and well.
    pub fn capacity(&self) -> f64 {
        f64::from(self.shape.kind.cores) * self.shape.speed
    }

    /// When something next happens by itself.
    pub fn due(&self, now: u64) -> Option<u64> {
        let ends = self.ends.peek().map(|Reverse((at, _))| *at);
        [ends, self.pace.due(now)].into_iter().flatten().min().filter(|_| self.alive)
    }

    /// Lets everything happen that is due by now, in its order and each at its own time.
    pub fn advance(&mut self, now: u64) {
        let mut at = self.counted_until;
        while let Some(due) = self.due(at).filter(|due| *due <= now) {
            at = due;
            self.note(due);
            if let Some(length) = self.pace.pauses(due, &mut self.chance) {
                self.running.values_mut().for_each(|r| r.ends += length);
            }
            while let Some(Reverse((_, ticket))) = self.ends.peek().copied().filter(|r| r.0.0 <= due) {
                self.ends.pop();
                self.ended(ticket, due);
            }
            self.settle(due);
        }
        self.note(now);
    }

    /// A core's work on something ends, unless a pause has put that off.
    fn ended(&mut self, ticket: Ticket, now: u64) {
        let Some(ends) = self.running.get(&ticket).map(|r| r.ends) else { return };
        if ends > now {
            return self.ends.push(Reverse((ends, ticket)));
        }
        let Some(running) = self.running.remove(&ticket) else { return };
        self.tally.work += running.work;
        if let Some(job) = self.jobs.get_mut(&ticket) {
            job.done += running.work;
            if self.hangs {
                self.held_up.push(ticket);
            } else {
                self.said.push((ticket, Said::Ran));
            }
        }
    }

    fn takes_slot(&mut self, ticket: Ticket) {
        if let Some(job) = self.jobs.get_mut(&ticket) {
            job.stage = Stage::Works;
            self.in_slots += 1;
            self.for_core.push_back((ticket, job.ask.part as f64));
        }
    }

    fn turn_away(&mut self, ticket: Ticket, said: Said) {
        self.tally.turned_away += 1;
        self.said.push((ticket, said));
    }

    /// Gives free slots and cores to who waits for them. What begins says at once that it is over.
    fn settle(&mut self, now: u64) {
        let stands = self.pace.still(now) || self.hangs;
        loop {
            while self.in_slots < self.shape.kind.slots {
                let Some(ticket) = self.queue.pop_front() else { break };
                self.takes_slot(ticket);
            }
            let has_core = self.running.len() < self.shape.kind.cores as usize && !stands;
            let Some((ticket, work)) = has_core.then(|| self.for_core.pop_front()).flatten() else { break };
            self.begins(now, ticket, work);
        }
        self.pace.has(now, self.jobs.len());
        self.tally.peak_requests = self.tally.peak_requests.max(self.jobs.len() as u64);
    }

    fn begins(&mut self, now: u64, ticket: Ticket, work: f64) {
        let over = |job: &Job| job.done == 0.0 && job.ask.until.is_some_and(|until| until <= now);
        if self.jobs.get(&ticket).is_some_and(over) {
            self.jobs.remove(&ticket);
            self.in_slots -= 1;
            return self.turn_away(ticket, Said::Over);
        }
        let ends = now + (work / self.pace.speed(now)) as u64;
        self.running.insert(ticket, Running { work, began: now, ends });
        self.ends.push(Reverse((ends, ticket)));
    }

    /// Work has reached it. Danger: what it turns away presses it too; only that makes a flood of a cold
    /// server as harmful as it is.
    fn press(&mut self, now: u64, work: f64) {
        if !self.pace.is_cold(now) {
            return;
        }
        let window = self.shape.rules.fall_window.nanos();
        self.pressure.push_back((now, work));
        while self.pressure.front().is_some_and(|(at, _)| at + window < now) {
            self.pressure.pop_front();
        }
        let present = self.pace.speed(now) * f64::from(self.shape.kind.cores) * window as f64;
        let pressed: f64 = self.pressure.iter().map(|(_, work)| work).sum();
        self.tally.fell_over |= pressed > self.shape.rules.fall_multiple * present;
    }

    /// Enters what has held until now into reports and counts.
    fn note(&mut self, now: u64) {
        let busy = self.running.len() as f64 / f64::from(self.shape.kind.cores.max(1));
        let state = Now { active: self.in_slots as usize, waiting: self.queue.len(), busy };
        if let Some(reports) = &mut self.reports {
            reports.advance(now, state);
        }
        self.count(now);
    }

    fn count(&mut self, now: u64) {
        let passed = now.saturating_sub(self.counted_until);
        if self.alive {
            self.tally.uptime += passed;
            self.tally.connection_time += self.connections as f64 * passed as f64;
        }
        self.counted_until = self.counted_until.max(now);
    }
}
