//! What a node has at hand while it plays an event.

use super::message::Out;
use super::tally::Tally;
use super::world::World;
use crate::policy::{TrueState, TrueStateView};
use olivecart_decisions::{EndpointId, Nanos};
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// One in so many calls of a policy is timed, where that is asked for.
const TIMED: u32 = 16;

/// What a node has at hand while it plays an event.
pub struct Ctx<'a, 'm> {
    /// Who there is.
    pub world: &'a World,
    /// The time.
    pub now: Nanos,
    /// The node's own chance.
    pub rng: &'m mut Pcg64Mcg,
    /// Where it puts what it causes.
    pub out: &'m mut Out,
    /// What its thread has.
    pub local: &'m mut Local,
}

/// The true state of all servers as of the begin of the window, by tier.
pub type TrueStates = Rc<RefCell<Vec<Vec<TrueState>>>>;

/// What the nodes of one thread have in common. Nothing in it acts on them but what is the same in all
/// threads: names, and the true states as of the begin of a window.
pub struct Local {
    /// Names of servers, by tier.
    pub names: Vec<Vec<Rc<str>>>,
    /// For policies that may see them.
    pub true_states: TrueStates,
    /// The time, for those.
    pub clock: Rc<Cell<Nanos>>,
    /// Counts.
    pub tally: Tally,
    /// Requests that clients have open.
    pub open: u64,
    /// Time spent in policies.
    pub policy: PolicyTime,
}

impl Local {
    /// A thread's part at its begin.
    pub fn new(world: &World) -> Local {
        let names = |t: &super::world::Tier| t.servers.iter().map(|s| Rc::from(s.name.as_str())).collect();
        let true_states = |t: &super::world::Tier| vec![TrueState::default(); t.servers.len()];
        let true_states = if world.policy_sees_true_state {
            world.tiers.iter().map(true_states).collect()
        } else {
            Vec::new()
        };
        Local {
            names: world.tiers.iter().map(names).collect(),
            true_states: Rc::new(RefCell::new(true_states)),
            clock: Rc::default(),
            tally: Tally::new(world),
            open: 0,
            policy: PolicyTime::default(),
        }
    }
}

/// Time spent in policies, from a sample of the calls.
#[derive(Default)]
pub struct PolicyTime {
    calls: u32,
    sampled: Duration,
}

impl PolicyTime {
    /// Runs a call, and times it if its turn has come.
    pub fn of<T>(&mut self, timed: bool, call: impl FnOnce() -> T) -> T {
        self.calls = self.calls.wrapping_add(1);
        if !timed || !self.calls.is_multiple_of(TIMED) {
            return call();
        }
        let began = Instant::now();
        let value = call();
        self.sampled += began.elapsed();
        value
    }

    /// All of it, in seconds.
    pub fn seconds(&self) -> f64 {
        self.sampled.as_secs_f64() * f64::from(TIMED)
    }
}

/// The true state of the servers of a tier, as reachable from one zone.
pub struct ZoneTrueStateView {
    /// The true states of all servers.
    pub true_states: TrueStates,
    /// The time.
    pub clock: Rc<Cell<Nanos>>,
    /// The tier.
    pub tier: u8,
    /// By server: its zone.
    pub zones: Rc<[u16]>,
    /// Cuts between zones, as they are seen from the proxy's: from when until when, which zones.
    pub cuts: Rc<[(Nanos, Nanos, u16)]>,
    /// The proxy's zone.
    pub zone: u16,
}

impl TrueStateView for ZoneTrueStateView {
    fn true_state(&self, endpoint: EndpointId) -> TrueState {
        let slot = endpoint.0 as usize;
        let true_states = self.true_states.borrow();
        let true_state =
            true_states.get(self.tier as usize).and_then(|t| t.get(slot)).copied().unwrap_or_default();
        let zone = self.zones.get(slot).copied().unwrap_or(self.zone);
        let now = self.clock.get();
        let cut = |(from, to, cut): &(Nanos, Nanos, u16)| {
            (*from..*to).contains(&now) && (*cut == zone || *cut == self.zone)
        };
        let reached = zone == self.zone || !self.cuts.iter().any(cut);
        TrueState { is_serving: true_state.is_serving && reached, ..true_state }
    }
}
