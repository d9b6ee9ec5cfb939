//! The balancer: one replica's decisions, composed of the concerns beside it.
//!
//! It is told what happens and answers with what to do. [`Balancer::handle`] is its one entry; what an event
//! does is in `endpoint_events` and `request_events`, what is learned from the ends of attempts in
//! `outcomes`. Each concern (health checks, outlier detection, admission and so on) owns its state and its
//! arithmetic; the balancer holds them, passes the time on, and turns what they say into actions. It does no
//! I/O, reads no clock, and takes its chance from a seed. Durations are in nanoseconds; "work" is the time
//! that a request should take, in the same unit. `docs/design.md` says why it decides as it does.

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

/// One replica's decisions. Feed it every event in order; do what it answers.
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
    /// Work of the attempts that were sent, decayed over the poll interval.
    pub(crate) sent_work: DecayingSum,
}

impl Balancer {
    /// A balancer that knows nothing yet. `seed` feeds all its chance.
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

    /// Takes one event at time `now` and appends what is to be done. A `now` before that of an earlier event
    /// counts as the latest one.
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
