//! Policies by name: the project's own decisions, textbook ones to compare with, and broken ones that the
//! monitors have to catch. All are driven through the interface of the decisions.

mod broken;
pub mod chassis;
mod named;
pub mod pick;
pub mod pool;

pub use named::{BROKEN, Maker, NAMES, UnknownPolicy, named};

use olivecart_decisions::{Action, Balancer, EndpointId, Event, Nanos, Settings};
use std::rc::Rc;

/// One proxy's decisions.
pub trait Policy {
    /// Takes one event at time `now` and appends what is to be done.
    fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>);

    /// How this proxy sees an endpoint; none where the policy has no such thing, or the endpoint takes no
    /// requests.
    fn standing(&self, _endpoint: EndpointId) -> Option<Standing> {
        None
    }
}

/// How a proxy sees an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// In good standing.
    Good,
    /// A check failed.
    Down,
    /// Evidence from calls holds it back.
    Held,
}

/// The true state of an endpoint, for a policy that is allowed to see it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Truth {
    /// It runs, can be reached, and answers what it takes.
    pub serves: bool,
    /// Work that is there and not yet done, over cores and present speed: about how long a newcomer waits.
    pub wait: Nanos,
    /// Cores times present speed.
    pub capacity: f64,
    /// Present speed of one core; 0: not told, and the capacity is taken for it.
    pub speed: f64,
}

/// Sight of the true state of all endpoints, as of a moment ago.
pub trait Sight {
    /// The state of one.
    fn see(&self, endpoint: EndpointId) -> Truth;

    /// How long ago the state was as told.
    fn age(&self) -> Nanos {
        0
    }
}

/// What a policy is made from.
pub struct Place {
    /// The settings of its proxy.
    pub settings: Settings,
    /// Feeds all its chance.
    pub seed: u64,
    /// The time.
    pub now: Nanos,
    /// Sight of the truth, for the oracle alone.
    pub sight: Rc<dyn Sight>,
}

impl Policy for Balancer {
    fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        Balancer::handle(self, now, event, out);
    }

    fn standing(&self, endpoint: EndpointId) -> Option<Standing> {
        use olivecart_decisions::EndpointStatus as Seen;
        match Balancer::endpoint_status(self, endpoint) {
            Seen::Unknown | Seen::DrainingOrRemoved => None,
            Seen::Unhealthy => Some(Standing::Down),
            Seen::Ejected { .. } => Some(Standing::Held),
            // Left alone for a moment, or within a budget: nobody holds those back.
            Seen::Overloaded { .. } | Seen::SlowStart { .. } | Seen::Healthy => Some(Standing::Good),
        }
    }
}
