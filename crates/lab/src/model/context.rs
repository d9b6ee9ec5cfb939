//! The context in which a node of the model handles an event, and the state that the nodes of a thread share.

use super::counters::Counters;
use super::faults::TimeSpan;
use super::message::Outbox;
use super::topology::{Tier, Topology};
use crate::policy::{TrueState, TrueStateView};
use olivecart_decisions::{EndpointId, Nanos};
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// If time is measured, one in this many calls of a policy is timed.
const CALLS_PER_SAMPLE: u32 = 16;

/// The context in which a node handles an event.
pub struct Context<'a, 'm> {
    /// The topology of the run.
    pub topology: &'a Topology,
    /// The current time.
    pub now: Nanos,
    /// The random number generator of the node.
    pub rng: &'m mut Pcg64Mcg,
    /// Collects the messages that the node sends.
    pub outbox: &'m mut Outbox,
    /// The state of its thread.
    pub thread: &'m mut ThreadState,
}

/// The true state of all servers at the start of the engine's window, by tier.
pub type TrueStates = Rc<RefCell<Vec<Vec<TrueState>>>>;

/// The state that the nodes of one thread share. To keep runs independent of the number of threads, nodes
/// read only those parts that are the same in all threads: the names, and the true states at the start of a
/// window.
pub struct ThreadState {
    /// The names of servers, by tier.
    pub names: Vec<Vec<Rc<str>>>,
    /// The true states of servers, for policies that may see them.
    pub true_states: TrueStates,
    /// The current time, for those policies.
    pub clock: Rc<Cell<Nanos>>,
    /// The counters of the thread.
    pub counters: Counters,
    /// Requests that clients have open.
    pub open_requests: u64,
    /// Time spent in policies.
    pub policy_time: PolicyTime,
}

impl ThreadState {
    /// Creates the state of a thread at the start of a run.
    pub fn new(topology: &Topology) -> ThreadState {
        let names = |tier: &Tier| tier.servers.iter().map(|server| Rc::from(server.name.as_str())).collect();
        let unknown = |tier: &Tier| vec![TrueState::default(); tier.servers.len()];
        let true_states = if topology.policy_sees_true_state {
            topology.tiers.iter().map(unknown).collect()
        } else {
            Vec::new()
        };
        ThreadState {
            names: topology.tiers.iter().map(names).collect(),
            true_states: Rc::new(RefCell::new(true_states)),
            clock: Rc::default(),
            counters: Counters::new(topology),
            open_requests: 0,
            policy_time: PolicyTime::default(),
        }
    }
}

/// The time spent in policies, estimated from a sample of the calls.
#[derive(Default)]
pub struct PolicyTime {
    calls: u32,
    sampled: Duration,
}

impl PolicyTime {
    /// Runs a call; if `timed`, measures one in [`CALLS_PER_SAMPLE`].
    pub fn measure<T>(&mut self, timed: bool, call: impl FnOnce() -> T) -> T {
        self.calls = self.calls.wrapping_add(1);
        if !timed || !self.calls.is_multiple_of(CALLS_PER_SAMPLE) {
            return call();
        }
        let start = Instant::now();
        let value = call();
        self.sampled += start.elapsed();
        value
    }

    /// The time of all calls, estimated from the sample, in seconds.
    pub fn seconds(&self) -> f64 {
        self.sampled.as_secs_f64() * f64::from(CALLS_PER_SAMPLE)
    }
}

/// The true state of the servers of a tier, as seen from one zone.
pub struct ZoneTrueStateView {
    /// The true states of all servers.
    pub true_states: TrueStates,
    /// The current time.
    pub clock: Rc<Cell<Nanos>>,
    /// The tier.
    pub tier: u8,
    /// The zone of each server.
    pub zones: Rc<[u16]>,
    /// The periods in which a zone is partitioned from the others.
    pub cuts: Rc<[(TimeSpan, u16)]>,
    /// The proxy's zone.
    pub zone: u16,
}

impl TrueStateView for ZoneTrueStateView {
    fn true_state(&self, endpoint: EndpointId) -> TrueState {
        let slot = endpoint.0 as usize;
        let true_states = self.true_states.borrow();
        let tier = true_states.get(self.tier as usize);
        let state = tier.and_then(|tier| tier.get(slot)).copied().unwrap_or_default();
        let zone = self.zones.get(slot).copied().unwrap_or(self.zone);
        TrueState { is_serving: state.is_serving && self.reaches(zone), ..state }
    }
}

impl ZoneTrueStateView {
    fn reaches(&self, zone: u16) -> bool {
        let now = self.clock.get();
        let is_between = |cut: u16| cut == zone || cut == self.zone;
        zone == self.zone || !self.cuts.iter().any(|(span, cut)| span.contains(now) && is_between(*cut))
    }
}
