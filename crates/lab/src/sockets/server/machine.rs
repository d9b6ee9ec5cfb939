//! Simulates a server's queue, slots and cores in virtual time.

use super::pace::Pace;
use super::reports::{Figures, LoadState, Reports};
use crate::model::MachineChange;
use crate::scenario::{Cancel, Kind, Rules};
use crate::sockets::random::RandomStream;
use rand::Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

/// Identifies a request at its server. Tickets are never reused.
pub type Ticket = u64;

/// What a server knows of an arriving request. Times are in nanoseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestSpec {
    /// The work of one part, up to the request's end or its next call to the tier below, on a core of speed
    /// 1.
    pub part: u64,
    /// The number of calls to the tier below. Each call is followed by another part of the same work.
    pub calls: u32,
    /// When the sender's deadline expires.
    pub until: Option<u64>,
}

/// What happened to a request at its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEvent {
    /// Rejected because the server is draining.
    Draining,
    /// Rejected because the queue is full.
    QueueFull,
    /// Rejected because the deadline had expired before work on the request began.
    Expired,
    /// Failed on arrival with an injected error.
    Error,
    /// One part of the work is done. The request keeps its slot until [`Machine::resume`] and the following
    /// parts are done, or until [`Machine::finish`].
    PartDone,
}

/// The fixed properties of a server.
#[derive(Clone)]
pub struct Shape {
    /// The kind of machine.
    pub kind: Kind,
    /// The speed of one core.
    pub speed: f64,
    /// The rules by which a cold server fails under overload.
    pub rules: Rules,
}

/// Counters over a server's whole lifetime, including restarts. Work is in nanoseconds at speed 1.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Attempts that reached the server.
    pub attempts: u64,
    /// Attempts that the server rejected.
    pub turned_away: u64,
    /// Work done.
    pub work: f64,
    /// Work done for requests whose sender received no response.
    pub wasted: f64,
    /// The largest number of requests present at the same time.
    pub peak_requests: u64,
    /// Health checks received.
    pub probes: u64,
    /// Connections accepted.
    pub handshakes: u64,
    /// The largest number of connections open at the same time.
    pub peak_connections: u64,
    /// The integral of open connections over time, in connections times nanoseconds.
    pub connection_time: f64,
    /// How long the process ran, in nanoseconds.
    pub uptime: u64,
    /// How often the process died.
    pub deaths: u32,
    /// Whether the server failed under overload while cold.
    pub fell_over: bool,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum JobState {
    /// The request waits in the queue for a slot.
    Queued,
    /// The request has a slot. It waits for a core, runs on one, or has finished a part.
    Admitted,
}

struct Job {
    spec: RequestSpec,
    state: JobState,
    /// Work done for the request so far.
    done: f64,
    /// The sender no longer waits for the response.
    is_canceled: bool,
}

struct Running {
    work: f64,
    began: u64,
    ends: u64,
}

/// A server's state.
pub struct Machine {
    shape: Shape,
    pace: Pace,
    reports: Option<Reports>,
    rng: RandomStream,
    alive: bool,
    draining: bool,
    /// The share of requests that fail on arrival.
    errors: f64,
    /// While the server is_hung, no work begins and no completion is reported.
    is_hung: bool,
    /// Additional delay of load reports, in nanoseconds.
    report_delay: u64,
    jobs: BTreeMap<Ticket, Job>,
    /// Requests that wait for a slot.
    queue: VecDeque<Ticket>,
    in_slots: u32,
    /// Requests and other tasks that wait for a core, with their work.
    core_queue: VecDeque<(Ticket, f64)>,
    running: BTreeMap<Ticket, Running>,
    ends: BinaryHeap<Reverse<(u64, Ticket)>>,
    /// Requests whose work ended while the server hung.
    deferred_completions: Vec<Ticket>,
    next: Ticket,
    /// Recent work that arrived while the server was cold, by arrival time.
    pressure: VecDeque<(u64, f64)>,
    connections: u64,
    /// All events up to this time are applied and counted.
    counted_until: u64,
    tally: Tally,
    events: Vec<(Ticket, RequestEvent)>,
}

impl Machine {
    /// Creates a server that is warm and running if `up` is set, and not started otherwise.
    pub fn new(shape: Shape, rng: RandomStream, up: bool) -> Machine {
        let kind = &shape.kind;
        let mut machine = Machine {
            pace: Pace::new(shape.speed, kind.cores, kind.cold, kind.crowd, kind.pause),
            reports: None,
            rng,
            alive: false,
            draining: false,
            errors: 0.0,
            is_hung: false,
            report_delay: 0,
            jobs: BTreeMap::new(),
            queue: VecDeque::new(),
            in_slots: 0,
            core_queue: VecDeque::new(),
            running: BTreeMap::new(),
            ends: BinaryHeap::new(),
            deferred_completions: Vec::new(),
            next: 0,
            pressure: VecDeque::new(),
            connections: 0,
            counted_until: 0,
            tally: Tally::default(),
            events: Vec::new(),
            shape,
        };
        if up {
            machine.start(0, false);
        }
        machine
    }

    /// Starts the process, cold or warm.
    pub fn start(&mut self, now: u64, cold: bool) {
        self.count(now);
        (self.alive, self.draining) = (true, false);
        self.pace.start(now, cold, &mut self.rng);
        self.reports = self.shape.kind.report.map(|spec| Reports::new(spec, now));
        self.pressure.clear();
    }

    /// Ends the process. All its requests and connections are lost.
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
        self.core_queue.clear();
        self.running.clear();
        self.ends.clear();
        self.deferred_completions.clear();
        self.events.clear();
        (self.in_slots, self.connections, self.is_hung) = (0, 0, false);
    }

    /// Applies a change by a fault or a deploy. `Die` and `Start` are ignored here: the caller uses
    /// [`Machine::stop`] and [`Machine::start`].
    pub fn change(&mut self, now: u64, change: MachineChange) {
        self.advance(now);
        match change {
            MachineChange::Die { .. } | MachineChange::Start => {}
            MachineChange::Drain => self.draining = true,
            MachineChange::Errors(share) => self.errors = share,
            MachineChange::Slow(factor) => self.pace.set_slowdown(factor),
            MachineChange::Late(delay) => self.report_delay = delay,
            MachineChange::Hang(is_hung) => self.is_hung = is_hung && self.alive,
        }
        if !self.is_hung {
            let ended = self.deferred_completions.drain(..).filter(|t| self.jobs.contains_key(t));
            self.events.extend(ended.map(|ticket| (ticket, RequestEvent::PartDone)));
        }
        self.settle(now);
    }

    /// Accepts a request whose last byte has arrived. Its events are returned by [`Machine::take_events`].
    pub fn arrive(&mut self, now: u64, spec: RequestSpec) -> Ticket {
        self.advance(now);
        let ticket = self.next;
        self.next += 1;
        self.tally.attempts += 1;
        self.record_pressure(now, spec.part as f64 * f64::from(spec.calls + 1));
        let error_rate = self.errors.max(self.shape.kind.error_rate);
        let free = self.in_slots < self.shape.kind.slots;
        let job = Job { spec, state: JobState::Queued, done: 0.0, is_canceled: false };
        if self.draining {
            self.reject(ticket, RequestEvent::Draining);
        } else if self.rng.random::<f64>() < error_rate {
            self.events.push((ticket, RequestEvent::Error));
        } else if free {
            self.jobs.insert(ticket, job);
            self.assign_slot(ticket);
        } else if self.queue.len() < self.shape.kind.queue as usize {
            self.jobs.insert(ticket, job);
            self.queue.push_back(ticket);
        } else {
            self.reject(ticket, RequestEvent::QueueFull);
        }
        self.settle(now);
        ticket
    }

    /// Queues the next part of a request for a core after its call to the tier below was answered.
    pub fn resume(&mut self, now: u64, ticket: Ticket) {
        self.advance(now);
        if let Some(job) = self.jobs.get(&ticket) {
            self.core_queue.push_back((ticket, job.spec.part as f64));
            self.settle(now);
        }
    }

    /// Removes a request that was answered or whose call to the tier below failed. Returns whether the sender
    /// still waits for the response, or `None` if the request was removed before.
    pub fn finish(&mut self, now: u64, ticket: Ticket, served: bool) -> Option<bool> {
        self.advance(now);
        let job = self.jobs.remove(&ticket)?;
        self.in_slots -= 1;
        if !served || job.is_canceled {
            self.tally.wasted += job.done;
        } else if let Some(reports) = &mut self.reports {
            reports.served();
        }
        self.settle(now);
        Some(!job.is_canceled)
    }

    /// Handles a cancellation by the sender. Returns whether the request's calls to other tiers must stop
    /// too.
    pub fn cancel_request(&mut self, now: u64, ticket: Ticket) -> bool {
        self.advance(now);
        let Some(job) = self.jobs.get_mut(&ticket) else { return true };
        job.is_canceled = true;
        let stops = match (self.shape.kind.cancel, job.state) {
            (Cancel::None, _) | (Cancel::Queued, JobState::Admitted) => false,
            (Cancel::Queued, JobState::Queued) | (Cancel::Running, _) => true,
        };
        if stops {
            self.abandon(now, ticket);
            self.settle(now);
        }
        stops
    }

    fn abandon(&mut self, now: u64, ticket: Ticket) {
        let Some(job) = self.jobs.remove(&ticket) else { return };
        match job.state {
            JobState::Queued => self.queue.retain(|t| *t != ticket),
            JobState::Admitted => self.in_slots -= 1,
        }
        self.core_queue.retain(|(t, _)| *t != ticket);
        if let Some(running) = self.running.remove(&ticket) {
            let whole = ((running.ends - running.began) as f64).max(1.0);
            let done = running.work * (now.saturating_sub(running.began) as f64 / whole).min(1.0);
            self.tally.work += done;
            self.tally.wasted += done;
        }
        self.tally.wasted += job.done;
    }

    /// Counts a health check, which is answered without queueing.
    pub fn probe(&mut self, now: u64) {
        self.tally.probes += 1;
        self.run_task(now, self.shape.kind.probe_work.nanos());
    }

    /// Accepts a connection. Returns `false` if the server is at its connection limit.
    pub fn connect(&mut self, now: u64) -> bool {
        self.advance(now);
        let spec = self.shape.kind.connections;
        if spec.cap > 0 && self.connections >= u64::from(spec.cap) {
            return false;
        }
        self.connections += 1;
        self.tally.handshakes += 1;
        self.tally.peak_connections = self.tally.peak_connections.max(self.connections);
        self.run_task(now, spec.handshake_work.nanos());
        true
    }

    /// Counts a connection that has closed.
    pub fn disconnect(&mut self, now: u64) {
        self.advance(now);
        self.connections = self.connections.saturating_sub(1);
    }

    fn run_task(&mut self, now: u64, work: u64) {
        self.advance(now);
        if work > 0 {
            self.core_queue.push_back((self.next, work as f64));
            self.next += 1;
            self.settle(now);
        }
    }

    /// Returns the load report that is visible now, if the server publishes reports.
    pub fn report(&mut self, now: u64) -> Option<Figures> {
        self.advance(now);
        self.reports.as_ref()?.published(now, self.report_delay, &mut self.rng)
    }

    /// Returns and clears the events since the last call, oldest first.
    pub fn take_events(&mut self) -> Vec<(Ticket, RequestEvent)> {
        std::mem::take(&mut self.events)
    }

    /// Returns whether the process runs.
    pub fn alive(&self) -> bool {
        self.alive
    }

    /// Returns whether the server failed under overload. The caller must then [stop](Machine::stop) it for
    /// good.
    pub fn fell_over(&self) -> bool {
        self.tally.fell_over
    }

    /// Returns the counters up to now.
    pub fn tally(&mut self, now: u64) -> Tally {
        self.advance(now);
        self.tally.clone()
    }

    /// Returns cores times speed of the warm server without faults.
    pub fn capacity(&self) -> f64 {
        f64::from(self.shape.kind.cores) * self.shape.speed
    }

    /// Returns when the next event is due without external input.
    pub fn due(&self, now: u64) -> Option<u64> {
        let ends = self.ends.peek().map(|Reverse((at, _))| *at);
        [ends, self.pace.due(now)].into_iter().flatten().min().filter(|_| self.alive)
    }

    /// Applies all events due by now, in order and each at its own time.
    pub fn advance(&mut self, now: u64) {
        let mut at = self.counted_until;
        while let Some(due) = self.due(at).filter(|due| *due <= now) {
            at = due;
            self.record_until(due);
            if let Some(length) = self.pace.begin_pause(due, &mut self.rng) {
                self.running.values_mut().for_each(|r| r.ends += length);
            }
            while let Some(Reverse((_, ticket))) = self.ends.peek().copied().filter(|r| r.0.0 <= due) {
                self.ends.pop();
                self.complete_task(ticket, due);
            }
            self.settle(due);
        }
        self.record_until(now);
    }

    /// Completes a task on a core, unless a pause has postponed its end.
    fn complete_task(&mut self, ticket: Ticket, now: u64) {
        let Some(ends) = self.running.get(&ticket).map(|r| r.ends) else { return };
        if ends > now {
            return self.ends.push(Reverse((ends, ticket)));
        }
        let Some(running) = self.running.remove(&ticket) else { return };
        self.tally.work += running.work;
        if let Some(job) = self.jobs.get_mut(&ticket) {
            job.done += running.work;
            if self.is_hung {
                self.deferred_completions.push(ticket);
            } else {
                self.events.push((ticket, RequestEvent::PartDone));
            }
        }
    }

    fn assign_slot(&mut self, ticket: Ticket) {
        if let Some(job) = self.jobs.get_mut(&ticket) {
            job.state = JobState::Admitted;
            self.in_slots += 1;
            self.core_queue.push_back((ticket, job.spec.part as f64));
        }
    }

    fn reject(&mut self, ticket: Ticket, reason: RequestEvent) {
        self.tally.turned_away += 1;
        self.events.push((ticket, reason));
    }

    /// Gives free slots and cores to who waits for them. What begins says at once that it is over.
    fn settle(&mut self, now: u64) {
        let paused = self.pace.is_paused(now) || self.is_hung;
        loop {
            while self.in_slots < self.shape.kind.slots {
                let Some(ticket) = self.queue.pop_front() else { break };
                self.assign_slot(ticket);
            }
            let has_core = self.running.len() < self.shape.kind.cores as usize && !paused;
            let Some((ticket, work)) = has_core.then(|| self.core_queue.pop_front()).flatten() else { break };
            self.begin_work(now, ticket, work);
        }
        self.pace.set_requests(now, self.jobs.len());
        self.tally.peak_requests = self.tally.peak_requests.max(self.jobs.len() as u64);
    }

    fn begin_work(&mut self, now: u64, ticket: Ticket, work: f64) {
        let has_expired = |job: &Job| job.done == 0.0 && job.spec.until.is_some_and(|until| until <= now);
        if self.jobs.get(&ticket).is_some_and(has_expired) {
            self.jobs.remove(&ticket);
            self.in_slots -= 1;
            return self.reject(ticket, RequestEvent::Expired);
        }
        let ends = now + (work / self.pace.speed(now)) as u64;
        self.running.insert(ticket, Running { work, began: now, ends });
        self.ends.push(Reverse((ends, ticket)));
    }

    /// Adds arriving work to the overload window of a cold server. Rejected requests count too; without them,
    /// a flood would harm a cold server too little.
    fn record_pressure(&mut self, now: u64, work: f64) {
        if !self.pace.is_cold(now) {
            return;
        }
        let window = self.shape.rules.fall_window.nanos();
        self.pressure.push_back((now, work));
        while self.pressure.front().is_some_and(|(at, _)| at + window < now) {
            self.pressure.pop_front();
        }
        let capacity = self.pace.speed(now) * f64::from(self.shape.kind.cores) * window as f64;
        let arrived: f64 = self.pressure.iter().map(|(_, work)| work).sum();
        self.tally.fell_over |= arrived > self.shape.rules.fall_multiple * capacity;
    }

    /// Updates reports and counters with the state that lasted until now.
    fn record_until(&mut self, now: u64) {
        let busy = self.running.len() as f64 / f64::from(self.shape.kind.cores.max(1));
        let state = LoadState { active: self.in_slots as usize, waiting: self.queue.len(), busy };
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
