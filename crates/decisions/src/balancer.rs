//! The balancer, which makes the decisions of one replica.
//!
//! [`Balancer::handle`] is the only entry point: it receives an event and returns actions. The submodules
//! `endpoint_events` and `request_events` handle the events, `outcomes` learns from the ends of attempts.
//! Modules such as health checks, outlier detection and admission own their state and arithmetic; the
//! balancer owns these parts, gives them the time and turns their results into actions. It does no I/O,
//! reads no clock, and draws all random numbers from a seed. Durations are in nanoseconds; "work" is the
//! expected duration of a request, in the same unit. `docs/design.md` explains the design.

mod endpoint_events;
mod outcomes;
mod request_events;

use crate::admission::AdmissionControl;
use crate::endpoint_list::{EndpointList, ListPolling};
use crate::event::{Action, Event, Timer};
use crate::ewma::DecayingSum;
use crate::id::Nanos;
use crate::in_flight::InFlightRequests;
use crate::latency_estimate::LatencyEstimates;
use crate::request_queue::RequestQueue;
use crate::retry_policy::RetryBudget;
use crate::settings::Settings;

/// The decision module of one replica. It expects every event in order, and every returned action to be
/// carried out.
pub struct Balancer {
    pub(crate) settings: Settings,
    rng: fastrand::Rng,
    /// The time of the latest event.
    pub(crate) now: Nanos,
    pub(crate) endpoints: EndpointList,
    list_polling: ListPolling,
    requests: InFlightRequests,
    queue: RequestQueue,
    pub(crate) latencies: LatencyEstimates,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) admission: AdmissionControl,
    /// The work of the attempts sent, decayed over the poll interval.
    pub(crate) sent_work: DecayingSum,
}

impl Balancer {
    /// Creates a balancer without endpoints or learned state. `seed` determines all its random choices.
    pub fn new(settings: Settings, seed: u64, now: Nanos) -> Balancer {
        Balancer {
            rng: fastrand::Rng::with_seed(seed),
            now,
            endpoints: EndpointList::default(),
            list_polling: ListPolling::default(),
            requests: InFlightRequests::new(),
            queue: RequestQueue::default(),
            latencies: LatencyEstimates::new(&settings.classes),
            retry_budget: RetryBudget::new(),
            admission: AdmissionControl::new(settings.tenants.len()),
            sent_work: DecayingSum::default(),
            settings,
        }
    }

    /// Handles one event at the time `now` and appends the resulting actions. If `now` is before the time
    /// of an earlier event, the latest time is used.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        self.now = now.max(self.now);
        match event {
            Event::Endpoints(update) => self.on_endpoint_update(update, actions),
            Event::RequestArrived(request) => self.on_request_arrived(&request, actions),
            Event::ResponseStarted { request, attempt } => {
                self.on_response_started(request, attempt, actions);
            }
            Event::AttemptEnded(end) => self.on_attempt_ended(&end, actions),
            Event::RequestAborted(request) => self.remove_request(request, actions),
            Event::HealthCheckCompleted { endpoint, outcome, .. } => {
                self.on_health_check_completed(endpoint, outcome, actions);
            }
            Event::TimerFired(Timer::HealthCheck(endpoint)) => {
                self.on_health_check_due(endpoint.0 as usize, actions);
            }
            Event::TimerFired(Timer::Request(request)) => self.on_request_timer(request, actions),
            Event::TimerFired(Timer::Discovery) => actions.push(Action::WatchEndpoints(true)),
            Event::PeerMessage { .. } => {} // replicas share nothing
        }
    }

    fn set_timer(&self, delay: Nanos, timer: Timer, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer { at: self.now + delay.max(1), timer });
    }
}
