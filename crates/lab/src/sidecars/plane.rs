//! The control plane: the server side of each stream, behind one queue with a limited service rate.

use super::{GOES, LATENCY, Message, Plan, World};
use crate::control_plane::{Heard, Resources, Said, Session};
use crate::engine::Outbox;
use olivecart_decisions::Nanos;
use std::collections::{BTreeMap, VecDeque};

/// The time to send one byte of resources, in nanoseconds: 100 MB per second.
const BYTE: Nanos = 10;
/// The time to read one request, in nanoseconds.
const READ: Nanos = 20_000;

/// The counters of the control plane.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Connection attempts by second.
    pub dials: Vec<u32>,
    /// The largest number of connection attempts in 100 ms after the return.
    pub most_in_100_ms: u32,
    /// Connections refused after the return.
    pub refused: u64,
    /// The largest number of waiting connections after the return.
    pub longest_queue: usize,
    /// Bytes of resources sent after the return.
    pub sent_bytes: u64,
}

/// A task in the queue of the control plane.
enum Job {
    Accept(u32, u32),
    Hear(u32, u32, Box<Heard>),
    Push(u32, u32),
}

/// The state of the control plane.
pub struct Plane {
    is_up: bool,
    resources: Resources,
    /// The time up to which changes of the fleet are in `resources`.
    told: Nanos,
    /// The number of the connection and the stream, by sidecar.
    streams: BTreeMap<u32, (u32, Session)>,
    queue: VecDeque<Job>,
    /// The number of connections in the queue.
    dialling: usize,
    works: bool,
    tally: Tally,
    /// The current interval of 100 ms and its number of connection attempts.
    burst: (Nanos, u32),
}

impl Plane {
    pub fn new(world: &World, out: &mut Outbox<World>) -> Plane {
        out.schedule(GOES, Message::Goes);
        out.schedule(world.plan.back(), Message::Returns);
        for (generation, at) in world.fleet.changes.iter().enumerate() {
            out.schedule(*at, Message::Changes(generation + 1));
        }
        Plane {
            is_up: true,
            resources: world.fleet.resources(0, 0),
            told: 0,
            streams: BTreeMap::new(),
            queue: VecDeque::new(),
            dialling: 0,
            works: false,
            tally: Tally::default(),
            burst: (0, 0),
        }
    }

    pub fn tally(self) -> Tally {
        self.tally
    }

    pub fn handle(&mut self, world: &World, now: Nanos, message: Message, out: &mut Outbox<World>) {
        match message {
            Message::Dial(from, number) => self.dialled(&world.plan, from, number, now, out),
            Message::Request(from, number, heard) if self.is_up => {
                self.queue.push_back(Job::Hear(from, number, heard));
            }
            Message::HangUp(from, number)
                if self.streams.get(&from).is_some_and(|(known, _)| *known == number) =>
            {
                self.streams.remove(&from);
            }
            Message::Worked => {
                self.works = false;
                self.work(world, now, out);
            }
            Message::Goes => {
                self.is_up = false;
                for (from, (number, _)) in std::mem::take(&mut self.streams) {
                    out.send(from, now + LATENCY, Message::Lost(number));
                }
                for job in std::mem::take(&mut self.queue) {
                    if let Job::Accept(from, number) = job {
                        out.send(from, now + LATENCY, Message::Lost(number));
                    }
                }
                self.dialling = 0;
            }
            Message::Returns => {
                // The restart lost the state, so versions begin again.
                (self.is_up, self.told) = (true, now);
                self.resources = world.fleet.resources(now, 0);
            }
            Message::Changes(_) if self.is_up => {
                world.fleet.change(self.told, now, &mut self.resources);
                self.told = now;
                self.queue.extend(self.streams.iter().map(|(from, (number, _))| Job::Push(*from, *number)));
            }
            _ => {}
        }
        if !self.works && !self.queue.is_empty() {
            self.works = true;
            out.schedule(now, Message::Worked);
        }
    }

    fn dialled(&mut self, plan: &Plan, from: u32, number: u32, now: Nanos, out: &mut Outbox<World>) {
        let second = (now / 1_000_000_000) as usize;
        let dials = &mut self.tally.dials;
        dials.resize(dials.len().max(second + 1), 0);
        dials[second] += 1;
        let is_after = now >= plan.back();
        if is_after {
            let stretch = now / 100_000_000;
            self.burst = if self.burst.0 == stretch { (stretch, self.burst.1 + 1) } else { (stretch, 1) };
            self.tally.most_in_100_ms = self.tally.most_in_100_ms.max(self.burst.1);
        }
        if !self.is_up || self.dialling >= plan.backlog {
            self.tally.refused += u64::from(is_after);
            return out.send(from, now + LATENCY, Message::Lost(number));
        }
        self.dialling += 1;
        if is_after {
            self.tally.longest_queue = self.tally.longest_queue.max(self.dialling);
        }
        self.queue.push_back(Job::Accept(from, number));
    }

    /// Runs the next task, and is busy for as long as the task takes.
    fn work(&mut self, world: &World, now: Nanos, out: &mut Outbox<World>) {
        let Some(job) = self.queue.pop_front() else { return };
        let (from, number, said, mut takes) = match job {
            Job::Accept(from, number) => {
                self.dialling -= 1;
                self.streams.insert(from, (number, Session::default()));
                let takes = (1e9 / world.plan.accepts) as Nanos;
                out.send(from, now + takes + LATENCY, Message::Accepted(number));
                (from, number, Vec::new(), takes)
            }
            Job::Hear(from, number, heard) => {
                let said =
                    self.stream(from, number).map(|(session, resources)| session.hear(&heard, resources));
                (from, number, said.unwrap_or_default(), READ)
            }
            Job::Push(from, number) => {
                let said = self.stream(from, number).map(|(session, resources)| session.push(resources));
                (from, number, said.unwrap_or_default(), 0)
            }
        };
        for said in said {
            let bytes = size(&said);
            takes += bytes * BYTE;
            if now >= world.plan.back() {
                self.tally.sent_bytes += bytes;
            }
            out.send(from, now + takes + LATENCY, Message::Response(number, Box::new(said)));
        }
        self.works = true;
        out.schedule(now + takes.max(1), Message::Worked);
    }

    fn stream(&mut self, from: u32, number: u32) -> Option<(&mut Session, &Resources)> {
        let (known, session) = self.streams.get_mut(&from)?;
        (*known == number).then_some((session, &self.resources))
    }
}

/// Returns the bytes of resources in a response.
fn size(said: &Said) -> u64 {
    let bytes: usize = match said {
        Said::World(r) => r.resources.iter().map(|any| any.value.len()).sum(),
        Said::Delta(r) => {
            r.resources.iter().filter_map(|r| r.resource.as_ref()).map(|any| any.value.len()).sum()
        }
    };
    bytes as u64
}
