//! Property tests: random valid sequences of events, with a checker of the invariants. The checker tracks
//! the requests and the endpoint list of one replica; it does not model servers.

mod common;
use common::*;
use olivecart_decisions::*;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    Arrive { class: u16, time_left_ms: u64 },
    End { pick: usize, outcome: Outcome },
    Abort(usize),
    State { endpoint: u32, state: EndpointState, restarted: bool },
    Check { endpoint: u32, passes: bool },
    ListFails,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    use Outcome::*;
    let outcome = prop::sample::select(vec![Ok, Ok, Ok, Error, Overloaded, Timeout, ConnectFailed, Reset]);
    let state = prop::sample::select(vec![
        EndpointState::Ready,
        EndpointState::Ready,
        EndpointState::Draining,
        EndpointState::Removed,
    ]);
    let step = prop_oneof![
        3 => (1..200u64).prop_map(Step::Wait),
        6 => (0..3u16, 0..1200u64).prop_map(|(class, time_left_ms)| Step::Arrive { class, time_left_ms }),
        6 => (any::<usize>(), outcome).prop_map(|(pick, outcome)| Step::End { pick, outcome }),
        1 => any::<usize>().prop_map(Step::Abort),
        1 => (0..8u32, state, any::<bool>())
            .prop_map(|(endpoint, state, restarted)| Step::State { endpoint, state, restarted }),
        1 => (0..8u32, any::<bool>()).prop_map(|(endpoint, passes)| Step::Check { endpoint, passes }),
        1 => Just(Step::ListFails),
    ];
    prop::collection::vec(step, 1..150)
}

struct Attempt {
    endpoint: EndpointId,
    sent_at: Nanos,
    times_out_at: Nanos,
    outcome: Option<Outcome>,
}

struct TrackedRequest {
    class: usize,
    deadline: Nanos,
    ended: bool,
    attempts: Vec<Attempt>,
}

/// Drives one replica and checks its actions against the invariants.
struct Checker {
    balancer: Balancer,
    settings: Settings,
    now: Nanos,
    entries: Vec<EndpointEntry>,
    requests: BTreeMap<RequestId, TrackedRequest>,
    timers: BTreeSet<(Nanos, Timer)>,
    actions: Vec<Action>,
}

impl Checker {
    fn handle(&mut self, event: Event) -> Result<(), TestCaseError> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            self.check_action(action)?;
        }
        self.actions.extend(actions);
        Ok(())
    }

    fn check_action(&mut self, action: &Action) -> Result<(), TestCaseError> {
        match action {
            Action::StartAttempt { request, endpoint, timeout, .. } => {
                let entry = &self.entries[endpoint.0 as usize];
                prop_assert_eq!(entry.state, EndpointState::Ready, "endpoint is not ready");
                let tracked = self.requests.get_mut(request).expect("a known request");
                prop_assert!(!tracked.ended, "attempt for a request that has ended");
                prop_assert!(tracked.attempts.len() < self.settings.limits.max_attempts as usize);
                let ran =
                    tracked.attempts.iter().filter(|a| !a.outcome.is_some_and(Outcome::was_never_executed));
                for earlier in ran.clone() {
                    match self.settings.classes[tracked.class].idempotency {
                        Idempotency::Idempotent => {}
                        Idempotency::NonIdempotent => prop_assert!(false, "non-idempotent request repeated"),
                        Idempotency::Keyed { scope, window } => {
                            prop_assert!(
                                scope.is_shared_by(&self.entries[earlier.endpoint.0 as usize], entry)
                            );
                            prop_assert!(self.now - earlier.sent_at < window);
                        }
                    }
                }
                let in_flight = tracked.attempts.iter().any(|a| a.outcome.is_none());
                prop_assert!(self.settings.limits.hedging_enabled || !in_flight, "two attempts in flight");
                let times_out_at =
                    if *timeout == 0 { tracked.deadline } else { tracked.deadline.min(self.now + timeout) };
                tracked.attempts.push(Attempt {
                    endpoint: *endpoint,
                    sent_at: self.now,
                    times_out_at,
                    outcome: None,
                });
            }
            Action::Shed { request, .. } | Action::Fail(request) => {
                let tracked = self.requests.get_mut(request).expect("a known request");
                prop_assert!(!tracked.ended, "two final responses");
                tracked.ended = true;
                let ran =
                    tracked.attempts.iter().any(|a| !a.outcome.is_some_and(Outcome::was_never_executed));
                let idempotency = self.settings.classes[tracked.class].idempotency;
                let harmless = match idempotency {
                    Idempotency::Idempotent | Idempotency::Keyed { scope: DeduplicationScope::All, .. } => {
                        true
                    }
                    _ => !ran,
                };
                prop_assert!(harmless || matches!(action, Action::Fail(_)), "shed, but may have run");
            }
            Action::CancelAttempt { request, attempt } => {
                prop_assert!((*attempt as usize) < self.requests[request].attempts.len());
            }
            Action::SetTimer { at, timer } => {
                prop_assert!(*at > self.now);
                self.timers.insert((*at, *timer));
            }
            Action::StartHealthCheck(_) | Action::CloseIdleConnections(_) | Action::WatchEndpoints(_) => {}
            other => prop_assert!(false, "unexpected action {:?}", other),
        }
        Ok(())
    }

    fn end_attempt(&mut self, id: RequestId, n: usize, outcome: Outcome) -> Result<(), TestCaseError> {
        let tracked = self.requests.get_mut(&id).expect("a known request");
        let attempt = &mut tracked.attempts[n];
        attempt.outcome = Some(outcome);
        tracked.ended |= outcome == Outcome::Ok;
        let (endpoint, duration, request_completed) =
            (attempt.endpoint, self.now - attempt.sent_at, tracked.ended);
        let attempt = n as u32;
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

    /// Advances the time and fires every timer and attempt timeout at its time.
    fn advance(&mut self, until: Nanos) -> Result<(), TestCaseError> {
        loop {
            let in_flight = self.requests.iter().flat_map(|(id, a)| {
                a.attempts
                    .iter()
                    .enumerate()
                    .filter(|(_, t)| t.outcome.is_none())
                    .map(|(n, t)| (t.times_out_at, *id, n))
            });
            let timeout_due = in_flight.min();
            let timer = self.timers.first().copied();
            let next = [timeout_due.map(|t| t.0), timer.map(|t| t.0)].into_iter().flatten().min();
            let Some(next) = next.filter(|n| *n <= until) else { break };
            self.now = self.now.max(next);
            match (timeout_due, timer) {
                (Some((due, id, n)), _) if due == next => self.end_attempt(id, n, Outcome::Timeout)?,
                (_, Some(timer)) => {
                    self.timers.remove(&timer);
                    self.handle(Event::TimerFired(timer.1))?;
                }
                _ => unreachable!("a timer or a timeout is due"),
            }
            for tracked in self.requests.values() {
                prop_assert!(tracked.ended || self.now <= tracked.deadline, "no response by the deadline");
            }
        }
        self.now = until;
        Ok(())
    }

    fn step(&mut self, step: &Step, number: u64) -> Result<(), TestCaseError> {
        match step {
            Step::Wait(ms) => self.advance(self.now + ms * MS)?,
            Step::Arrive { class, time_left_ms } => {
                let (id, time_left, ended) = (RequestId(number), time_left_ms * MS, false);
                let (class, deadline) = (*class, self.now + time_left);
                let tracked = TrackedRequest { class: class as usize, deadline, ended, attempts: Vec::new() };
                self.requests.insert(id, tracked);
                self.handle(Event::RequestArrived(Request::new(id, ClassId(class), time_left)))?;
            }
            Step::End { pick, outcome } => {
                let open = self.requests.iter().flat_map(|(id, a)| {
                    let in_flight = a.attempts.iter().enumerate().filter(|(_, t)| t.outcome.is_none());
                    in_flight.map(|(n, _)| (*id, n))
                });
                let open: Vec<_> = open.collect();
                if !open.is_empty() {
                    let (id, n) = open[pick % open.len()];
                    self.end_attempt(id, n, *outcome)?;
                }
            }
            Step::Abort(pick) => {
                let open: Vec<_> =
                    self.requests.iter().filter(|(_, a)| !a.ended).map(|(id, _)| *id).collect();
                if !open.is_empty() {
                    let id = open[pick % open.len()];
                    self.requests.get_mut(&id).expect("a known request").ended = true;
                    self.handle(Event::RequestAborted(id))?;
                }
            }
            Step::State { endpoint, state, restarted } => {
                let entry = &mut self.entries[*endpoint as usize];
                entry.state = *state;
                entry.started = if *restarted { Some(self.now) } else { entry.started };
                let entry = entry.clone();
                self.handle(Event::Endpoints(EndpointUpdate::Delta(vec![entry])))?;
            }
            Step::Check { endpoint, passes } => {
                let outcome = if *passes { Outcome::Ok } else { Outcome::Timeout };
                let endpoint = EndpointId(*endpoint);
                self.handle(Event::HealthCheckCompleted { endpoint, outcome, duration: MS, load: None })?;
            }
            Step::ListFails => self.handle(Event::Endpoints(EndpointUpdate::Failed))?,
        }
        Ok(())
    }
}

fn run(steps: &[Step], hedging: bool, seed: u64) -> Result<Vec<Action>, TestCaseError> {
    let mut settings = settings(Idempotency::Idempotent);
    settings.classes.push(class(cell(300 * MS)));
    settings.classes.push(class(Idempotency::NonIdempotent));
    settings.limits.hedging_enabled = hedging;
    let now = 1000 * S;
    let mut checker = Checker {
        balancer: Balancer::new(settings.clone(), seed, now),
        settings,
        now,
        entries: endpoint_entries(8),
        requests: BTreeMap::new(),
        timers: BTreeSet::new(),
        actions: Vec::new(),
    };
    checker.handle(Event::Endpoints(EndpointUpdate::Cached(endpoint_entries(8))))?;
    for (number, step) in steps.iter().enumerate() {
        checker.step(step, number as u64)?;
    }
    checker.advance(checker.now + 2 * S)?;
    prop_assert!(checker.requests.values().all(|a| a.ended), "a request without a final response");
    Ok(checker.actions)
}

/// Runs a property test on 400 cases from a fixed seed.
fn check_property(test: impl Fn((Vec<Step>, bool, u64)) -> Result<(), TestCaseError>) {
    let config = ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]));
    runner.run(&(steps(), any::<bool>(), any::<u64>()), test).expect("the property holds");
}

#[test]
fn invariants_hold_on_random_valid_sequences() {
    check_property(|(steps, hedging, seed)| run(&steps, hedging, seed).map(|_| ()));
}

#[test]
fn same_seed_and_events_give_the_same_actions() {
    check_property(|(steps, hedging, seed)| {
        prop_assert_eq!(run(&steps, hedging, seed)?, run(&steps, hedging, seed)?);
        Ok(())
    });
}
