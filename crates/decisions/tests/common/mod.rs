//! A balancer with a clock, for hand-made sequences of events.
#![allow(dead_code, reason = "each test file uses its own part")]

use olivecart_decisions::*;

pub const MS: Nanos = 1_000_000;
pub const S: Nanos = 1_000 * MS;

pub fn class(idempotency: Idempotency) -> Class {
    Class { latency_objective: 200 * MS, client_deadline: 1000 * MS, idempotency, ..Class::default() }
}

pub fn cell(window: Nanos) -> Idempotency {
    Idempotency::Keyed { scope: DeduplicationScope::Cell, window }
}

pub fn settings(idempotency: Idempotency) -> Settings {
    let mut s = Settings { classes: vec![class(idempotency)], ..Settings::default() };
    (s.limits.cancellation_enabled, s.limits.hedging_enabled) = (true, true);
    s
}

/// `n` warm endpoints, two to a cell, all in the first zone.
pub fn list(n: u32) -> Vec<EndpointEntry> {
    let entry = |i| EndpointEntry {
        cell: CellId(u64::from(i / 2)),
        ..EndpointEntry::ready(EndpointId(i), &format!("e{i}"))
    };
    (0..n).map(entry).collect()
}

pub struct Bench {
    pub balancer: Balancer,
    pub now: Nanos,
    next: u64,
}

impl Bench {
    pub fn new(settings: Settings, entries: Vec<EndpointEntry>) -> Bench {
        Bench::seeded(1, settings, entries)
    }

    pub fn seeded(seed: u64, settings: Settings, entries: Vec<EndpointEntry>) -> Bench {
        let now = 1000 * S;
        let mut bench = Bench { balancer: Balancer::new(settings, seed, now), now, next: 0 };
        bench.list(EndpointUpdate::Cached(entries));
        bench
    }

    pub fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    pub fn list(&mut self, change: EndpointUpdate) -> Vec<Action> {
        self.tell(Event::Endpoints(change))
    }

    pub fn state(&mut self, entry: &EndpointEntry, state: EndpointState) -> Vec<Action> {
        self.list(EndpointUpdate::Delta(vec![EndpointEntry { state, ..entry.clone() }]))
    }

    pub fn request(&mut self, left: Nanos) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next);
        self.next += 1;
        (id, self.tell(Event::RequestArrived(Request::new(id, ClassId(0), left))))
    }

    pub fn end(
        &mut self,
        id: RequestId,
        attempt: u32,
        at: EndpointId,
        outcome: Outcome,
        duration: Nanos,
    ) -> Vec<Action> {
        let request_completed = outcome == Outcome::Ok;
        self.tell(Event::AttemptEnded(AttemptEnd {
            request: id,
            attempt,
            endpoint: at,
            outcome,
            duration,
            request_completed,
            load: None,
        }))
    }

    pub fn check(&mut self, endpoint: EndpointId, outcome: Outcome) -> Vec<Action> {
        self.tell(Event::HealthCheckCompleted { endpoint, outcome, duration: MS, load: None })
    }

    /// A request that is served at once where it is sent.
    pub fn serve(&mut self, duration: Nanos) -> EndpointId {
        let (id, actions) = self.request(S);
        let at = sent(&actions).expect("sent");
        self.now += duration;
        self.end(id, 0, at, Outcome::Ok, duration);
        at
    }
}

pub fn sent(actions: &[Action]) -> Option<EndpointId> {
    actions.iter().find_map(|a| match a {
        Action::StartAttempt { endpoint, .. } => Some(*endpoint),
        _ => None,
    })
}

pub fn shed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Shed { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail(_)))
}

pub fn timers(actions: &[Action]) -> Vec<(Nanos, Timer)> {
    let timer = |a: &Action| match a {
        Action::SetTimer { at, timer } => Some((*at, *timer)),
        _ => None,
    };
    actions.iter().filter_map(timer).collect()
}
