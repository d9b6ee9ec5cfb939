//! What an instance has learned, for the one that takes its place: an upgrade. It decides nothing.

use super::super::{Balancer, Decayed, Endpoint, Norm};
use crate::interface::Nanos;
use std::collections::BTreeMap;

/// What an instance has learned, apart from the requests that it holds. Times are on its clock, which the next one's
/// must go on from.
#[derive(Clone, Debug, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct LearnedState {
    /// By class: mean duration, deviation, of how many, mean hint.
    norms: Vec<[f64; 4]>,
    retry_budget: f64,
    sent_work: (f64, Nanos),
    served: (f64, Nanos),
    arrived: (f64, Nanos),
    tenants: Vec<(f64, Nanos)>,
    recent: f64,
    endpoints: BTreeMap<String, Known>,
}

#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
struct Known {
    started: Option<Nanos>,
    up: bool,
    slow: f64,
    answered: Nanos,
    blame: f64,
    held: Option<Nanos>,
    trial_at: Nanos,
    back_off: u32,
    full_until: Nanos,
    rate: (f64, Nanos),
    budget: f64,
    topped: Nanos,
}

fn sum(Decayed { sum, at }: &Decayed) -> (f64, Nanos) {
    (*sum, *at)
}

fn decayed((sum, at): (f64, Nanos)) -> Decayed {
    Decayed { sum, at }
}

impl Balancer {
    /// What it has learned so far.
    pub fn learned_state(&self) -> LearnedState {
        let known = |e: &Endpoint| Known {
            started: e.entry.started,
            up: e.up,
            slow: e.slow,
            answered: e.answered,
            blame: e.blame,
            held: e.held,
            trial_at: e.trial_at,
            back_off: e.back_off,
            full_until: e.full_until,
            rate: sum(&e.rate),
            budget: e.budget,
            topped: e.topped,
        };
        LearnedState {
            norms: self.norms.iter().map(|n| [n.mean, n.deviation, n.seen, n.cost]).collect(),
            retry_budget: self.retry_budget,
            sent_work: sum(&self.sent_work),
            served: sum(&self.served),
            arrived: sum(&self.arrived),
            tenants: self.tenants.iter().map(sum).collect(),
            recent: self.recent,
            endpoints: self.listed().map(|e| (e.entry.name.to_string(), known(e))).collect(),
        }
    }

    /// Goes on from what another has learned, once it has the list. An endpoint that has started anew since is one
    /// that nothing is known of; so is a class or a tenant that the other did not have.
    ///
    /// Danger: one that begins anew knows no rate, and lets next to nothing go to a cold endpoint. In the middle of a
    /// release that is most of them, and the few warm ones jam.
    pub fn restore(&mut self, other: &LearnedState) {
        if other.norms.len() == self.norms.len() {
            let norm = |&[mean, deviation, seen, cost]: &[f64; 4]| Norm { mean, deviation, seen, cost };
            self.norms = other.norms.iter().map(norm).collect();
            self.sent_work = decayed(other.sent_work); // in units of work
        }
        (self.retry_budget, self.recent) = (other.retry_budget, other.recent);
        (self.served, self.arrived) = (decayed(other.served), decayed(other.arrived));
        if other.tenants.len() == self.tenants.len() {
            self.tenants = other.tenants.iter().copied().map(decayed).collect();
        }
        for e in &mut self.endpoints {
            let Some(known) = other.endpoints.get(&*e.entry.name) else { continue };
            if known.started != e.entry.started {
                continue;
            }
            (e.up, e.slow, e.answered, e.blame) = (known.up, known.slow, known.answered, known.blame);
            (e.held, e.trial_at, e.back_off) = (known.held, known.trial_at, known.back_off);
            (e.full_until, e.rate) = (known.full_until, decayed(known.rate));
            (e.budget, e.topped) = (known.budget, known.topped);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::interface::*;
    use crate::logic::EndpointStatus;

    const S: Nanos = 1_000_000_000;

    /// Takes twenty requests a second, each answered at once, and says how many of them went to an endpoint.
    fn serve(balancer: &mut Balancer, from: u64, seconds: u64, endpoint: EndpointId) -> usize {
        let mut there = 0;
        for n in 0..seconds * 20 {
            let (now, mut out) = ((1000 + from) * S + n * S / 20, Vec::new());
            let request = RequestId(from * 1000 + n);
            balancer.handle(now, Event::RequestArrived(Request::new(request, ClassId(0), S)), &mut out);
            let sent = out.iter().find_map(|action| match action {
                Action::StartAttempt { endpoint, .. } => Some(*endpoint),
                _ => None,
            });
            let Some(at) = sent else { continue };
            there += usize::from(at == endpoint);
            let (outcome, took, load) = (Outcome::Ok, S / 100, None);
            let end = AttemptEnd {
                request,
                attempt: 0,
                endpoint: at,
                outcome,
                duration: took,
                request_completed: true,
                load,
            };
            balancer.handle(now, Event::AttemptEnded(end), &mut Vec::new());
        }
        there
    }

    #[test]
    fn the_next_instance_avoids_who_is_down_and_sends_a_cold_endpoint_what_the_rate_of_calls_allows() {
        let settings = Settings { classes: vec![Class::default()], ..Settings::default() };
        let start = |now| {
            let entry = |n, name: &str, started| EndpointEntry {
                started,
                ..EndpointEntry::ready(EndpointId(n), name)
            };
            // In a release: the cold one is another process for the next instance.
            let list = vec![entry(0, "warm", None), entry(1, "cold", Some(now - S))];
            let mut balancer = Balancer::new(settings.clone(), 1, now);
            balancer.handle(now, Event::Endpoints(EndpointUpdate::Snapshot(list)), &mut Vec::new());
            balancer
        };
        let goes_down = |balancer: &mut Balancer| {
            let (endpoint, outcome) = (EndpointId(0), Outcome::ConnectFailed);
            let checked = Event::HealthCheckCompleted { endpoint, outcome, duration: 1, load: None };
            balancer.handle(1010 * S, checked, &mut Vec::new());
        };
        let mut old = start(1000 * S);
        serve(&mut old, 0, 10, EndpointId(1));
        goes_down(&mut old);
        let (mut taught, mut fresh) = (start(1010 * S), start(1010 * S));
        taught.restore(&old.learned_state());
        assert_eq!(taught.endpoint_status(EndpointId(0)), EndpointStatus::Unhealthy);
        assert_eq!(taught.learned_state().norms, old.learned_state().norms);
        goes_down(&mut fresh);
        let cold = EndpointId(1);
        let [taught, fresh] = [&mut taught, &mut fresh].map(|balancer| serve(balancer, 10, 3, cold));
        assert!(taught > 20 && fresh < 5, "{taught} of 60, and {fresh} where nothing was handed over");
    }

    #[test]
    fn one_that_started_anew_is_not_taken_for_the_one_before() {
        let settings = Settings { classes: vec![Class::default()], ..Settings::default() };
        let mut old = Balancer::new(settings.clone(), 1, 1000 * S);
        let list = |started| vec![EndpointEntry { started, ..EndpointEntry::ready(EndpointId(0), "a") }];
        old.handle(1000 * S, Event::Endpoints(EndpointUpdate::Snapshot(list(None))), &mut Vec::new());
        let (endpoint, outcome) = (EndpointId(0), Outcome::ConnectFailed);
        old.handle(
            1001 * S,
            Event::HealthCheckCompleted { endpoint, outcome, duration: 1, load: None },
            &mut Vec::new(),
        );
        for (started, standing) in [
            (None, EndpointStatus::Unhealthy),
            (Some(1001 * S), EndpointStatus::SlowStart { started: 1001 * S }),
        ] {
            let mut new = Balancer::new(settings.clone(), 1, 1002 * S);
            new.handle(1002 * S, Event::Endpoints(EndpointUpdate::Snapshot(list(started))), &mut Vec::new());
            new.restore(&old.learned_state());
            assert_eq!(new.endpoint_status(EndpointId(0)), standing);
        }
    }
}
