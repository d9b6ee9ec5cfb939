//! Read-only sight of the decisions, for reports. It decides nothing, and nothing is decided from it.

use super::Balancer;
use crate::interface::{EndpointId, EndpointState, Nanos};

#[path = "knowledge.rs"]
mod knowledge; // also sees what is private
pub use knowledge::LearnedState;

/// How an instance sees an endpoint, as of the last event. Of several that hold, the first in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// No list named it yet.
    Unknown,
    /// The list says that it drains or is gone.
    DrainingOrRemoved,
    /// Its last check failed.
    Unhealthy,
    /// Evidence from calls holds it back.
    Ejected {
        /// Since when.
        since: Nanos,
    },
    /// It turned a call away and is left alone for a moment.
    Overloaded {
        /// Until when.
        until: Nanos,
    },
    /// It started a short while ago and gets no more than a budget.
    SlowStart {
        /// When it started.
        started: Nanos,
    },
    /// It gets all that it has room for.
    Healthy,
}

impl Balancer {
    /// How this instance sees an endpoint.
    pub fn endpoint_status(&self, endpoint: EndpointId) -> EndpointStatus {
        let Some(e) = self.endpoints.get(endpoint.0 as usize).filter(|e| !e.entry.name.is_empty()) else {
            return EndpointStatus::Unknown;
        };
        if e.entry.state != EndpointState::Ready {
            return EndpointStatus::DrainingOrRemoved;
        }
        if !e.up {
            return EndpointStatus::Unhealthy;
        }
        if let Some(since) = e.held {
            return EndpointStatus::Ejected { since };
        }
        if e.full_until > self.now {
            return EndpointStatus::Overloaded { until: e.full_until };
        }
        let cold =
            |started: &Nanos| self.now.saturating_sub(*started) < self.settings.rules.slow_start_window;
        match e.entry.started.filter(cold) {
            Some(started) => EndpointStatus::SlowStart { started },
            None => EndpointStatus::Healthy,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::interface::*;

    const S: Nanos = 1_000_000_000;

    fn ended(request: u64, endpoint: EndpointId, outcome: Outcome) -> Event {
        let request = RequestId(request);
        Event::AttemptEnded(AttemptEnd {
            request,
            attempt: 0,
            endpoint,
            outcome,
            duration: 1,
            request_completed: false,
            load: None,
        })
    }

    #[test]
    fn each_standing_is_seen() {
        let settings = Settings { classes: vec![Class::default()], ..Settings::default() };
        let mut balancer = Balancer::new(settings, 1, 1000 * S);
        let tell = |balancer: &mut Balancer, event| balancer.handle(1000 * S, event, &mut Vec::new());
        let names = ["a", "b", "c", "d", "e", "f"];
        let mut list: Vec<_> =
            names.iter().zip(0..).map(|(name, n)| EndpointEntry::ready(EndpointId(n), name)).collect();
        list[4].started = Some(990 * S);
        list[5].started = Some(900 * S); // long warm
        tell(&mut balancer, Event::Endpoints(EndpointUpdate::Cached(list.clone())));
        list[0].state = EndpointState::Draining;
        tell(&mut balancer, Event::Endpoints(EndpointUpdate::Delta(list[..1].to_vec())));
        let (endpoint, outcome) = (EndpointId(1), Outcome::ConnectFailed);
        tell(&mut balancer, Event::HealthCheckCompleted { endpoint, outcome, duration: 1, load: None });
        tell(&mut balancer, ended(1, EndpointId(2), Outcome::Overloaded));
        tell(&mut balancer, ended(2, EndpointId(3), Outcome::Error));
        tell(&mut balancer, ended(3, EndpointId(3), Outcome::Error));

        assert_eq!(balancer.endpoint_status(EndpointId(0)), EndpointStatus::DrainingOrRemoved);
        assert_eq!(balancer.endpoint_status(EndpointId(1)), EndpointStatus::Unhealthy);
        assert!(
            matches!(balancer.endpoint_status(EndpointId(2)), EndpointStatus::Overloaded { until } if until > 1000 * S)
        );
        assert_eq!(balancer.endpoint_status(EndpointId(3)), EndpointStatus::Ejected { since: 1000 * S });
        assert_eq!(balancer.endpoint_status(EndpointId(4)), EndpointStatus::SlowStart { started: 990 * S });
        assert_eq!(balancer.endpoint_status(EndpointId(5)), EndpointStatus::Healthy);
        assert_eq!(balancer.endpoint_status(EndpointId(6)), EndpointStatus::Unknown);
    }
}
