//! One server on sockets: its machine under a lock, and a timer for what happens there by itself.

use super::{Place, Time};
use crate::model::{MachineChange, Topology};
use crate::sockets::chance::{Chance, stream};
use crate::sockets::clock::{Alarm, Clock};
use crate::sockets::held;
use crate::sockets::server::{Ask, Figures, Machine, Said, Shape, Tally, Ticket};
use crate::sockets::stream::Silence;
use rand::Rng;
use rustc_hash::FxHashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use tokio::sync::{oneshot, watch};

/// What a request hears of its machine; an error: the machine died.
pub type Hears = oneshot::Receiver<Said>;

struct Inner {
    machine: Machine,
    waiting: FxHashMap<Ticket, oneshot::Sender<Said>>,
    /// For when the alarm is set, if it is.
    alarm: Option<u64>,
    chance: Chance,
}

/// One server.
pub struct Node {
    /// Which it is.
    pub place: Place,
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: usize,
    /// Where it is, as seen from each zone.
    pub doors: Vec<SocketAddr>,
    /// Whether it is silent, as seen from each zone.
    pub silences: Vec<Arc<Silence>>,
    vanished: AtomicBool,
    /// When its present life began; 0: long ago.
    started: Mutex<u64>,
    inner: Mutex<Inner>,
    /// Counts its lives; 0: it is not there yet. Changes when one ends.
    life: watch::Sender<u32>,
    clock: Clock,
    alarm: Arc<Alarm>,
}

impl Node {
    /// A server that is warm and runs, or is not there yet.
    pub fn new(topology: &Topology, place: Place, doors: Vec<SocketAddr>, (clock, alarm): Time) -> Arc<Node> {
        let spec = place.spec(topology);
        let (kind, rules) = (place.kind(topology).clone(), topology.scenario.rules.clone());
        let shape = Shape { kind, speed: spec.speed, rules };
        let chance = |purpose| stream(topology.seed, purpose, spec.machine.into());
        let inner = Inner {
            machine: Machine::new(shape, chance("machine"), spec.present_at_start),
            waiting: FxHashMap::default(),
            alarm: None,
            chance: chance("node"),
        };
        let silences = doors.iter().map(|_| Arc::default()).collect();
        let (inner, life) = (Mutex::new(inner), watch::channel(1).0);
        let (name, zone, started) = (spec.name.clone(), spec.zone as usize, Mutex::new(0));
        let node = Arc::new(Node {
            place,
            name,
            zone,
            doors,
            silences,
            vanished: AtomicBool::new(false),
            started,
            inner,
            life,
            clock,
            alarm,
        });
        node.with(|_, _| ());
        node
    }

    /// When its present life began, since the start; 0: long ago.
    pub fn started(&self) -> u64 {
        *held(&self.started)
    }

    /// Does something with the machine, tells whoever waits what the machine says, and sets the alarm.
    fn with<T>(self: &Arc<Node>, act: impl FnOnce(&mut Machine, u64) -> T) -> T {
        let now = self.clock.now();
        let mut inner = held(&self.inner);
        let result = act(&mut inner.machine, now);
        for (ticket, said) in inner.machine.said() {
            if let Some(waits) = inner.waiting.remove(&ticket) {
                let _ = waits.send(said); // it has gone meanwhile
            }
        }
        let due = inner.machine.due(now);
        if let Some(due) = due.filter(|due| inner.alarm.is_none_or(|set| *due < set)) {
            inner.alarm = Some(due);
            let node = Arc::downgrade(self);
            self.alarm.at(self.clock.instant(due), move || {
                if let Some(node) = node.upgrade() {
                    node.rings(due);
                }
            });
        }
        result
    }

    fn rings(self: Arc<Node>, due: u64) {
        {
            let mut inner = held(&self.inner);
            if inner.alarm == Some(due) {
                inner.alarm = None;
            }
        }
        self.with(|machine, now| machine.advance(now.max(due)));
    }

    /// A request has arrived. The second: what it hears of its first part. A cold server that bears no more
    /// of them falls over, and ends.
    pub fn arrive(self: &Arc<Node>, ask: Ask) -> (Ticket, Hears) {
        let (sender, hears) = oneshot::channel();
        let now = self.clock.now();
        let (ticket, fell_over) = {
            let mut inner = held(&self.inner);
            let ticket = inner.machine.arrive(now, ask);
            inner.waiting.insert(ticket, sender);
            (ticket, inner.machine.alive() && inner.machine.fell_over())
        };
        if fell_over {
            self.dies();
            self.ends();
        }
        self.with(|_, _| ());
        (ticket, hears)
    }

    /// A request goes on with its next part.
    pub fn goes_on(self: &Arc<Node>, ticket: Ticket) -> Hears {
        let (sender, hears) = oneshot::channel();
        held(&self.inner).waiting.insert(ticket, sender);
        self.with(|machine, now| machine.goes_on(now, ticket));
        hears
    }

    /// A request leaves; see [`Machine::leave`].
    pub fn leave(self: &Arc<Node>, ticket: Ticket, served: bool) -> Option<bool> {
        self.with(|machine, now| machine.leave(now, ticket, served))
    }

    /// Nobody waits for a request any more; see [`Machine::call_off`].
    pub fn call_off(self: &Arc<Node>, ticket: Ticket) -> bool {
        let stops = self.with(|machine, now| machine.call_off(now, ticket));
        if stops {
            held(&self.inner).waiting.remove(&ticket);
        }
        stops
    }

    /// A connection is made; see [`Machine::connect`].
    pub fn connect(self: &Arc<Node>) -> bool {
        self.with(|machine, now| machine.connect(now))
    }

    /// A connection has ended.
    pub fn disconnect(self: &Arc<Node>) {
        self.with(|machine, now| machine.disconnect(now));
    }

    /// A probe has come.
    pub fn probe(self: &Arc<Node>) {
        self.with(|machine, now| machine.probe(now));
    }

    /// The load report that is told now.
    pub fn report(self: &Arc<Node>) -> Option<Figures> {
        self.with(|machine, now| machine.report(now))
    }

    /// Draws something by its own chance.
    pub fn draw<T>(&self, draw: impl FnOnce(&mut Chance) -> T) -> T {
        draw(&mut held(&self.inner).chance)
    }

    /// A whole number for a mean that need not be one.
    pub fn around(&self, mean: f64) -> u32 {
        let sure = mean.floor();
        sure as u32 + u32::from(self.draw(|chance| chance.random::<f64>()) < mean - sure)
    }

    /// Something about it changes, but for its death and its start.
    pub fn change(self: &Arc<Node>, change: MachineChange) {
        self.with(|machine, now| machine.change(now, change));
    }

    /// Its process dies. What it held stays open where nobody is told; see [`Node::ends`].
    pub fn dies(self: &Arc<Node>) {
        self.with(|machine, now| machine.stop(now));
        held(&self.inner).waiting.clear();
    }

    /// Its machine vanishes without a word, or is back.
    pub fn vanishes(&self, has: bool) {
        self.vanished.store(has, Ordering::SeqCst);
    }

    /// Whether its machine has vanished.
    pub fn has_vanished(&self) -> bool {
        self.vanished.load(Ordering::SeqCst)
    }

    /// All that belongs to its present life ends: connections are reset.
    pub fn ends(&self) {
        self.life.send_modify(|life| *life += 1);
    }

    /// Its process starts, cold.
    pub fn starts(self: &Arc<Node>) {
        let now = self.with(|machine, now| {
            machine.start(now, true);
            now
        });
        *held(&self.started) = now;
    }

    /// Its present life, for what ends with it.
    pub fn life(&self) -> Life {
        let changes = self.life.subscribe();
        let number = *changes.borrow();
        Life { number, changes }
    }

    /// Whether its process runs.
    pub fn alive(&self) -> bool {
        held(&self.inner).machine.alive()
    }

    /// Whether it fell over; it does not start again then.
    pub fn fell_over(&self) -> bool {
        held(&self.inner).machine.fell_over()
    }

    /// Its counts up to now, and cores times speed.
    pub fn tally(self: &Arc<Node>) -> (Tally, f64) {
        self.with(|machine, now| (machine.tally(now), machine.capacity()))
    }
}

/// One life of a server.
#[derive(Clone)]
pub struct Life {
    number: u32,
    changes: watch::Receiver<u32>,
}

impl Life {
    /// Whether it has ended.
    pub fn is_over(&self) -> bool {
        *self.changes.borrow() != self.number
    }

    /// Resolves when it has ended.
    pub async fn ended(&mut self) {
        let number = self.number;
        let _ = self.changes.wait_for(|life| *life != number).await; // an error: the server is gone with it
    }
}
