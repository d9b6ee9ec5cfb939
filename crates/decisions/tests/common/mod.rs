//! A balancer with a clock, for hand-written sequences of events.
#![allow(dead_code, reason = "each test file uses a part of the module")]

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
    let mut settings = Settings { classes: vec![class(idempotency)], ..Settings::default() };
    (settings.limits.cancellation_enabled, settings.limits.hedging_enabled) = (true, true);
    settings
}

/// Returns `n` warm endpoints, two per cell, all in the first zone.
pub fn endpoint_entries(n: u32) -> Vec<EndpointEntry> {
    let entry = |i| EndpointEntry {
        cell: CellId(u64::from(i / 2)),
        ..EndpointEntry::ready(EndpointId(i), &format!("e{i}"))
    };
    (0..n).map(entry).collect()
}

pub struct TestBalancer {
    pub balancer: Balancer,
    pub now: Nanos,
    next_id: u64,
}

impl TestBalancer {
    pub fn new(settings: Settings, entries: Vec<EndpointEntry>) -> TestBalancer {
        TestBalancer::seeded(1, settings, entries)
    }

    pub fn seeded(seed: u64, settings: Settings, entries: Vec<EndpointEntry>) -> TestBalancer {
        let now = 1000 * S;
        let mut balancer = TestBalancer { balancer: Balancer::new(settings, seed, now), now, next_id: 0 };
        balancer.update_endpoints(EndpointUpdate::Cached(entries));
        balancer
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    pub fn update_endpoints(&mut self, update: EndpointUpdate) -> Vec<Action> {
        self.handle(Event::Endpoints(update))
    }

    pub fn set_state(&mut self, entry: &EndpointEntry, state: EndpointState) -> Vec<Action> {
        self.update_endpoints(EndpointUpdate::Delta(vec![EndpointEntry { state, ..entry.clone() }]))
    }

    pub fn request(&mut self, time_left: Nanos) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        (id, self.handle(Event::RequestArrived(Request::new(id, ClassId(0), time_left))))
    }

    pub fn end_attempt(
        &mut self,
        id: RequestId,
        attempt: u32,
        endpoint: EndpointId,
        outcome: Outcome,
        duration: Nanos,
    ) -> Vec<Action> {
        let request_completed = outcome == Outcome::Ok;
        self.handle(Event::AttemptEnded(AttemptEnd {
            request: id,
            attempt,
            endpoint,
            outcome,
            duration,
            request_completed,
            load: None,
        }))
    }

    pub fn complete_health_check(&mut self, endpoint: EndpointId, outcome: Outcome) -> Vec<Action> {
        self.handle(Event::HealthCheckCompleted { endpoint, outcome, duration: MS, load: None })
    }

    /// Sends a request, completes it successfully after `duration` and returns the endpoint.
    pub fn serve(&mut self, duration: Nanos) -> EndpointId {
        let (id, actions) = self.request(S);
        let at = selected_endpoint(&actions).expect("an attempt");
        self.now += duration;
        self.end_attempt(id, 0, at, Outcome::Ok, duration);
        at
    }
}

pub fn selected_endpoint(actions: &[Action]) -> Option<EndpointId> {
    actions.iter().find_map(|a| match a {
        Action::StartAttempt { endpoint, .. } => Some(*endpoint),
        _ => None,
    })
}

pub fn is_shed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Shed { .. }))
}

pub fn has_failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail(_)))
}

pub fn timers(actions: &[Action]) -> Vec<(Nanos, Timer)> {
    let timer = |a: &Action| match a {
        Action::SetTimer { at, timer } => Some((*at, *timer)),
        _ => None,
    };
    actions.iter().filter_map(timer).collect()
}
