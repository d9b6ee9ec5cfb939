//! Read-only sight of the decisions, for reports. It decides nothing, and nothing is decided from it.

use super::Balancer;
use crate::interface::{EndpointId, Nanos, State};

#[path = "knowledge.rs"]
mod knowledge; // also sees what is private
pub use knowledge::Knowledge;

/// How an instance sees an endpoint, as of the last event. Of several that hold, the first in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// No list named it yet.
    Unknown,
    /// The list says that it drains or is gone.
    Withdrawn,
    /// Its last check failed.
    Down,
    /// Evidence from calls holds it back.
    Held {
        /// Since when.
        since: Nanos,
    },
    /// It turned a call away and is left alone for a moment.
    Full {
        /// Until when.
        until: Nanos,
    },
    /// It started a short while ago and gets no more than a budget.
    Cold {
        /// When it started.
        started: Nanos,
    },
    /// It gets all that it has room for.
    Good,
}

impl Balancer {
    /// How this instance sees an endpoint.
    pub fn standing(&self, endpoint: EndpointId) -> Standing {
        let Some(e) = self.endpoints.get(endpoint.0 as usize).filter(|e| !e.entry.name.is_empty()) else {
            return Standing::Unknown;
        };
        if e.entry.state != State::Ready {
            return Standing::Withdrawn;
        }
        if !e.up {
            return Standing::Down;
        }
        if let Some(since) = e.held {
            return Standing::Held { since };
        }
        if e.full_until > self.now {
            return Standing::Full { until: e.full_until };
        }
        let cold = |started: &Nanos| self.now.saturating_sub(*started) < self.settings.rules.cold;
        match e.entry.started.filter(cold) {
            Some(started) => Standing::Cold { started },
            None => Standing::Good,
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
        Event::Outcome(AttemptEnd {
            request,
            attempt: 0,
            endpoint,
            outcome,
            took: 1,
            over: false,
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
            names.iter().zip(0..).map(|(name, n)| Entry::ready(EndpointId(n), name)).collect();
        list[4].started = Some(990 * S);
        list[5].started = Some(900 * S); // long warm
        tell(&mut balancer, Event::List(ListChange::Cached(list.clone())));
        list[0].state = State::Draining;
        tell(&mut balancer, Event::List(ListChange::Delta(list[..1].to_vec())));
        let (endpoint, outcome) = (EndpointId(1), Outcome::ConnectFailed);
        tell(&mut balancer, Event::Checked { endpoint, outcome, took: 1, load: None });
        tell(&mut balancer, ended(1, EndpointId(2), Outcome::Full));
        tell(&mut balancer, ended(2, EndpointId(3), Outcome::Error));
        tell(&mut balancer, ended(3, EndpointId(3), Outcome::Error));

        assert_eq!(balancer.standing(EndpointId(0)), Standing::Withdrawn);
        assert_eq!(balancer.standing(EndpointId(1)), Standing::Down);
        assert!(matches!(balancer.standing(EndpointId(2)), Standing::Full { until } if until > 1000 * S));
        assert_eq!(balancer.standing(EndpointId(3)), Standing::Held { since: 1000 * S });
        assert_eq!(balancer.standing(EndpointId(4)), Standing::Cold { started: 990 * S });
        assert_eq!(balancer.standing(EndpointId(5)), Standing::Good);
        assert_eq!(balancer.standing(EndpointId(6)), Standing::Unknown);
    }
}
