//! Load-balancing policies by name: the project's decision module, textbook policies for comparison, and
//! deliberately broken policies that the monitors have to detect.
//!
//! Owns the [`Policy`] interface and all of its implementations. The model's proxies and the experiments use
//! them. A policy does no I/O and reads no clock: the time and the random seed are passed in.

mod broken;
mod named;
pub mod pick;
pub mod policy_harness;
pub mod pool;

pub use named::{BROKEN, NAMES, PolicyFactory, UnknownPolicy, named};

use olivecart_decisions::{Action, Balancer, EndpointId, EndpointStatus, Event, Nanos, Settings};
use std::rc::Rc;

/// A load-balancing policy, which makes the decisions of one proxy.
pub trait Policy {
    /// Handles one event at time `now` and appends the resulting actions to `out`.
    fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>);

    /// The health of an endpoint according to this proxy; `None` if the policy does not track health, or if
    /// the endpoint is draining, removed or unknown.
    fn endpoint_health(&self, _endpoint: EndpointId) -> Option<EndpointHealth> {
        None
    }
}

/// The health of an endpoint according to a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointHealth {
    /// It receives requests.
    Healthy,
    /// A health check failed.
    Unhealthy,
    /// It was ejected because of failed or slow attempts.
    Ejected,
}

/// The true state of an endpoint, for a policy that is allowed to see it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TrueState {
    /// Whether it is running and reachable, and responds to the requests that it accepts.
    pub is_serving: bool,
    /// The queued work divided by the capacity: the approximate waiting time of a new request.
    pub queue_delay: Nanos,
    /// The number of cores times their current speed.
    pub capacity: f64,
    /// The current speed of one core; 0 if unknown, in which case the capacity is used instead.
    pub core_speed: f64,
}

/// Provides the recent true state of all endpoints.
pub trait TrueStateView {
    /// The true state of one endpoint.
    fn true_state(&self, endpoint: EndpointId) -> TrueState;

    /// The age of the reported state.
    fn age(&self) -> Nanos {
        0
    }
}

/// The inputs from which a policy is constructed.
pub struct PolicyContext {
    /// The settings of its proxy.
    pub settings: Settings,
    /// The seed of its random numbers.
    pub seed: u64,
    /// The current time.
    pub now: Nanos,
    /// The true state of the endpoints; only the oracle uses it.
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
            // Overload and slow start only reduce an endpoint's share for some time.
            EndpointStatus::Overloaded { .. }
            | EndpointStatus::SlowStart { .. }
            | EndpointStatus::Healthy => Some(EndpointHealth::Healthy),
        }
    }
}
