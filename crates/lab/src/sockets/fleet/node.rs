//! One server on sockets: its simulated machine behind a lock, and a timer for the machine's events.

use super::{Place, Time};
use crate::model::{MachineChange, Topology};
use crate::sockets::clock::{Alarm, Clock};
use crate::sockets::lock;
use crate::sockets::random::{RandomStream, stream};
use crate::sockets::server::{Figures, Machine, RequestEvent, RequestSpec, Shape, Tally, Ticket};
use crate::sockets::stream::Blackhole;
use rand::Rng;
use rustc_hash::FxHashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use tokio::sync::{oneshot, watch};

/// Receives the next event of a request. The channel closes if the machine dies.
pub type EventReceiver = oneshot::Receiver<RequestEvent>;

struct Inner {
    machine: Machine,
    waiting: FxHashMap<Ticket, oneshot::Sender<RequestEvent>>,
    /// When the alarm is set to fire, if it is set.
    alarm: Option<u64>,
    rng: RandomStream,
}

/// A server on sockets.
pub struct Node {
    /// Its tier and its index there.
    pub place: Place,
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: usize,
    /// Its listening address for each zone.
    pub addresses: Vec<SocketAddr>,
    /// Whether it is unreachable, for each zone.
    pub blackholes: Vec<Arc<Blackhole>>,
    vanished: AtomicBool,
    /// When the process last started; 0 if it ran before the start of the clock.
    started: Mutex<u64>,
    inner: Mutex<Inner>,
    /// The number of the current process incarnation; incremented when one ends.
    incarnation: watch::Sender<u32>,
    clock: Clock,
    alarm: Arc<Alarm>,
}

impl Node {
    /// Creates a server. It is warm and running if the topology has it at the start of the run.
    pub fn new(
        topology: &Topology,
        place: Place,
        addresses: Vec<SocketAddr>,
        (clock, alarm): Time,
    ) -> Arc<Node> {
        let spec = place.spec(topology);
        let (kind, rules) = (place.kind(topology).clone(), topology.scenario.rules.clone());
        let shape = Shape { kind, speed: spec.speed, rules };
        let rng = |purpose| stream(topology.seed, purpose, spec.machine.into());
        let inner = Inner {
            machine: Machine::new(shape, rng("machine"), spec.present_at_start),
            waiting: FxHashMap::default(),
            alarm: None,
            rng: rng("node"),
        };
        let blackholes = addresses.iter().map(|_| Arc::default()).collect();
        let (inner, incarnation) = (Mutex::new(inner), watch::channel(1).0);
        let (name, zone, started) = (spec.name.clone(), spec.zone as usize, Mutex::new(0));
        let node = Arc::new(Node {
            place,
            name,
            zone,
            addresses,
            blackholes,
            vanished: AtomicBool::new(false),
            started,
            inner,
            incarnation,
            clock,
            alarm,
        });
        node.with(|_, _| ());
        node
    }

    /// Returns when the process last started, in nanoseconds since the start of the clock; 0 if it ran
    /// before.
    pub fn started(&self) -> u64 {
        *lock(&self.started)
    }

    /// Runs `act` on the machine, delivers the machine's events to the waiting requests, and sets the alarm.
    fn with<T>(self: &Arc<Node>, act: impl FnOnce(&mut Machine, u64) -> T) -> T {
        let now = self.clock.now();
        let mut inner = lock(&self.inner);
        let result = act(&mut inner.machine, now);
        for (ticket, event) in inner.machine.take_events() {
            if let Some(waits) = inner.waiting.remove(&ticket) {
                let _ = waits.send(event); // the receiver was dropped meanwhile
            }
        }
        let due = inner.machine.due(now);
        if let Some(due) = due.filter(|due| inner.alarm.is_none_or(|set| *due < set)) {
            inner.alarm = Some(due);
            let node = Arc::downgrade(self);
            self.alarm.at(self.clock.instant(due), move || {
                if let Some(node) = node.upgrade() {
                    node.on_alarm(due);
                }
            });
        }
        result
    }

    fn on_alarm(self: Arc<Node>, due: u64) {
        {
            let mut inner = lock(&self.inner);
            if inner.alarm == Some(due) {
                inner.alarm = None;
            }
        }
        self.with(|machine, now| machine.advance(now.max(due)));
    }

    /// Accepts a request. Returns its ticket and the receiver for the event of its first part. A cold server
    /// that this request overloads dies.
    pub fn arrive(self: &Arc<Node>, spec: RequestSpec) -> (Ticket, EventReceiver) {
        let (sender, events) = oneshot::channel();
        let now = self.clock.now();
        let (ticket, fell_over) = {
            let mut inner = lock(&self.inner);
            let ticket = inner.machine.arrive(now, spec);
            inner.waiting.insert(ticket, sender);
            (ticket, inner.machine.alive() && inner.machine.fell_over())
        };
        if fell_over {
            self.die();
            self.reset_connections();
        }
        self.with(|_, _| ());
        (ticket, events)
    }

    /// Begins the next part of a request.
    pub fn resume(self: &Arc<Node>, ticket: Ticket) -> EventReceiver {
        let (sender, events) = oneshot::channel();
        lock(&self.inner).waiting.insert(ticket, sender);
        self.with(|machine, now| machine.resume(now, ticket));
        events
    }

    /// Removes a request; see [`Machine::finish`].
    pub fn finish(self: &Arc<Node>, ticket: Ticket, served: bool) -> Option<bool> {
        self.with(|machine, now| machine.finish(now, ticket, served))
    }

    /// Handles a cancellation by the sender; see [`Machine::cancel_request`].
    pub fn cancel_request(self: &Arc<Node>, ticket: Ticket) -> bool {
        let stops = self.with(|machine, now| machine.cancel_request(now, ticket));
        if stops {
            lock(&self.inner).waiting.remove(&ticket);
        }
        stops
    }

    /// Accepts a connection; see [`Machine::connect`].
    pub fn connect(self: &Arc<Node>) -> bool {
        self.with(|machine, now| machine.connect(now))
    }

    /// Counts a connection that has closed.
    pub fn disconnect(self: &Arc<Node>) {
        self.with(|machine, now| machine.disconnect(now));
    }

    /// Counts a health check.
    pub fn probe(self: &Arc<Node>) {
        self.with(|machine, now| machine.probe(now));
    }

    /// Returns the load report that is visible now.
    pub fn report(self: &Arc<Node>) -> Option<Figures> {
        self.with(|machine, now| machine.report(now))
    }

    /// Draws a value from the server's random stream.
    pub fn draw<T>(&self, draw: impl FnOnce(&mut RandomStream) -> T) -> T {
        draw(&mut lock(&self.inner).rng)
    }

    /// Rounds a mean to one of the two nearest whole numbers at random, so that the mean is kept.
    pub fn round_randomly(&self, mean: f64) -> u32 {
        let floor = mean.floor();
        floor as u32 + u32::from(self.draw(|rng| rng.random::<f64>()) < mean - floor)
    }

    /// Applies a change other than a death or a start.
    pub fn change(self: &Arc<Node>, change: MachineChange) {
        self.with(|machine, now| machine.change(now, change));
    }

    /// Ends the process. Its connections stay open until [`Node::reset_connections`], as after a silent
    /// failure.
    pub fn die(self: &Arc<Node>) {
        self.with(|machine, now| machine.stop(now));
        lock(&self.inner).waiting.clear();
    }

    /// Sets whether the machine has vanished silently.
    pub fn set_vanished(&self, vanished: bool) {
        self.vanished.store(vanished, Ordering::SeqCst);
    }

    /// Returns whether the machine has vanished.
    pub fn has_vanished(&self) -> bool {
        self.vanished.load(Ordering::SeqCst)
    }

    /// Ends the current incarnation, which resets its connections.
    pub fn reset_connections(&self) {
        self.incarnation.send_modify(|incarnation| *incarnation += 1);
    }

    /// Starts the process, cold.
    pub fn start(self: &Arc<Node>) {
        let now = self.with(|machine, now| {
            machine.start(now, true);
            now
        });
        *lock(&self.started) = now;
    }

    /// Returns a handle to the current incarnation, for tasks that end with it.
    pub fn incarnation(&self) -> Incarnation {
        let changes = self.incarnation.subscribe();
        let number = *changes.borrow();
        Incarnation { number, changes }
    }

    /// Returns whether the process runs.
    pub fn alive(&self) -> bool {
        lock(&self.inner).machine.alive()
    }

    /// Returns whether the server failed under overload. It does not start again then.
    pub fn fell_over(&self) -> bool {
        lock(&self.inner).machine.fell_over()
    }

    /// Returns the counters up to now, and cores times speed.
    pub fn tally(self: &Arc<Node>) -> (Tally, f64) {
        self.with(|machine, now| (machine.tally(now), machine.capacity()))
    }
}

/// One incarnation of a server's process.
#[derive(Clone)]
pub struct Incarnation {
    number: u32,
    changes: watch::Receiver<u32>,
}

impl Incarnation {
    /// Returns whether the incarnation has ended.
    pub fn has_ended(&self) -> bool {
        *self.changes.borrow() != self.number
    }

    /// Resolves when the incarnation has ended.
    pub async fn ended(&mut self) {
        let number = self.number;
        let _ = self.changes.wait_for(|incarnation| *incarnation != number).await; // the server was dropped
    }
}
