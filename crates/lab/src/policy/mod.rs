//! Load-balancing policies by name: the project's own decisions, textbook policies to compare them with, and
//! deliberately broken ones that the monitors have to catch.
//!
//! Owns the [`Policy`] interface and every implementation of it. The model's proxies and the experiments call
//! it. A policy never does I/O and never reads a clock: time and randomness are passed in.

mod broken;
mod named;
pub mod pick;
pub mod policy_harness;
pub mod pool;

pub use named::{BROKEN, NAMES, PolicyFactory, UnknownPolicy, named};

use olivecart_decisions::{Action, Balancer, EndpointId, EndpointStatus, Event, Nanos, Settings};
use std::rc::Rc;

/// The decisions of one proxy.
pub trait Policy {
    /// Handles one event at time `now` and appends the resulting actions to `out`.
    fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>);

    /// The health of an endpoint as this proxy sees it; `None` if the policy tracks no health, or if the
    /// endpoint takes no requests.
    fn endpoint_health(&self, _endpoint: EndpointId) -> Option<EndpointHealth> {
        None
    }
}

/// The health of an endpoint as a proxy sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointHealth {
    /// It gets requests.
    Healthy,
    /// A health check failed.
    Unhealthy,
    /// It was ejected because of failed or slow calls.
    Ejected,
}

/// The true state of an endpoint, for a policy that is allowed to see it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TrueState {
    /// It runs, can be reached, and answers the requests that it accepts.
    pub is_serving: bool,
    /// Queued work divided by cores and present speed: about how long a new request waits.
    pub queue_delay: Nanos,
    /// Cores times present speed.
    pub capacity: f64,
    /// Present speed of one core; 0 if unknown, in which case the capacity stands in for it.
    pub core_speed: f64,
}

/// Gives the true state of all endpoints, as of a moment ago.
pub trait TrueStateView {
    /// The state of one endpoint.
    fn true_state(&self, endpoint: EndpointId) -> TrueState;

    /// How old the reported state is.
    fn age(&self) -> Nanos {
        0
    }
}

/// What a policy is constructed from.
pub struct PolicyContext {
    /// The settings of its proxy.
    pub settings: Settings,
    /// Seeds all of its random numbers.
    pub seed: u64,
    /// The current time.
    pub now: Nanos,
    /// The true state of the endpoints, for the oracle alone.
    pub true_state: Rc<dyn TrueStateView>,
}

impl Policy for Balancer {
    fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        Balancer::handle(self, now, event, out);
    }

    fn endpoint_health(&self, endpoint: EndpointId) -> Option<EndpointHealth> {
        match Balancer::endpoint_status(self, endpoint) {
            EndpointStatus::Unknown | EndpointStatus::DrainingOrRemoved => None,
            EndpointStatus::Unhealthy => Some(EndpointHealth::Unhealthy),
            EndpointStatus::Ejected { .. } => Some(EndpointHealth::Ejected),
            // Overload and slow start reduce an endpoint's share for a moment; neither takes it out.
            EndpointStatus::Overloaded { .. }
            | EndpointStatus::SlowStart { .. }
            | EndpointStatus::Healthy => Some(EndpointHealth::Healthy),
        }
    }
}
