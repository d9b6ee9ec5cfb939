//! Random legal sequences of events against an invariant checker of the rules: it keeps the account of one
//! replica's requests and lists; it does not model servers.

mod common;
use common::*;
use olivecart_decisions::*;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    Arrive { class: u16, left_ms: u64 },
    End { pick: usize, outcome: Outcome },
    Abort(usize),
    State { endpoint: u32, state: EndpointState, restarted: bool },
    Check { endpoint: u32, ok: bool },
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
        6 => (0..3u16, 0..1200u64).prop_map(|(class, left_ms)| Step::Arrive { class, left_ms }),
        6 => (any::<usize>(), outcome).prop_map(|(pick, outcome)| Step::End { pick, outcome }),
        1 => any::<usize>().prop_map(Step::Abort),
        1 => (0..8u32, state, any::<bool>())
            .prop_map(|(endpoint, state, restarted)| Step::State { endpoint, state, restarted }),
        1 => (0..8u32, any::<bool>()).prop_map(|(endpoint, ok)| Step::Check { endpoint, ok }),
        1 => Just(Step::ListFails),
    ];
    prop::collection::vec(step, 1..150)
}

struct Attempt {
    endpoint: EndpointId,
    sent: Nanos,
    due: Nanos,
    done: Option<Outcome>,
}

struct Account {
    class: usize,
    deadline: Nanos,
    ended: bool,
    attempts: Vec<Attempt>,
}

/// What one replica was told and did, and whether that keeps the rules.
struct Checker {
    balancer: Balancer,
    settings: Settings,
    now: Nanos,
    entries: Vec<EndpointEntry>,
    accounts: BTreeMap<RequestId, Account>,
    timers: BTreeSet<(Nanos, Timer)>,
    actions: Vec<Action>,
}

impl Checker {
    fn tell(&mut self, event: Event) -> Result<(), TestCaseError> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            self.act(action)?;
        }
        self.actions.extend(actions);
        Ok(())
    }

    fn act(&mut self, action: &Action) -> Result<(), TestCaseError> {
        match action {
            Action::StartAttempt { request, endpoint, timeout, .. } => {
                let entry = &self.entries[endpoint.0 as usize];
                prop_assert_eq!(
                    entry.state,
                    EndpointState::Ready,
                    "sent to an endpoint that does not take requests"
                );
                let account = self.accounts.get_mut(request).expect("known");
                prop_assert!(!account.ended, "sent for a request that has ended");
                prop_assert!(account.attempts.len() < self.settings.limits.max_attempts as usize);
                let ran =
                    account.attempts.iter().filter(|a| !a.done.is_some_and(Outcome::was_never_executed));
                for earlier in ran.clone() {
                    match self.settings.classes[account.class].idempotency {
                        Idempotency::Idempotent => {}
                        Idempotency::NonIdempotent => prop_assert!(false, "an unsafe request was sent again"),
                        Idempotency::Keyed { scope, window } => {
                            prop_assert!(
                                scope.is_shared_by(&self.entries[earlier.endpoint.0 as usize], entry)
                            );
                            prop_assert!(self.now - earlier.sent < window);
                        }
                    }
                }
                let out = account.attempts.iter().any(|a| a.done.is_none());
                prop_assert!(self.settings.limits.hedging_enabled || !out, "two attempts out at once");
                let due =
                    if *timeout == 0 { account.deadline } else { account.deadline.min(self.now + timeout) };
                account.attempts.push(Attempt { endpoint: *endpoint, sent: self.now, due, done: None });
            }
            Action::Shed { request, .. } | Action::Fail(request) => {
                let account = self.accounts.get_mut(request).expect("known");
                prop_assert!(!account.ended, "answered twice");
                account.ended = true;
                let ran = account.attempts.iter().any(|a| !a.done.is_some_and(Outcome::was_never_executed));
                let idempotency = self.settings.classes[account.class].idempotency;
                let harmless = match idempotency {
                    Idempotency::Idempotent | Idempotency::Keyed { scope: DeduplicationScope::All, .. } => {
                        true
                    }
                    _ => !ran,
                };
                prop_assert!(harmless || matches!(action, Action::Fail(_)), "refused what may have run");
            }
            Action::CancelAttempt { request, attempt } => {
                prop_assert!((*attempt as usize) < self.accounts[request].attempts.len());
            }
            Action::SetTimer { at, timer } => {
                prop_assert!(*at > self.now);
                self.timers.insert((*at, *timer));
            }
            Action::StartHealthCheck(_) | Action::CloseIdleConnections(_) | Action::WatchEndpoints(_) => {}
            other => prop_assert!(false, "unexpected {:?}", other),
        }
        Ok(())
    }

    fn end(&mut self, id: RequestId, n: usize, outcome: Outcome) -> Result<(), TestCaseError> {
        let account = self.accounts.get_mut(&id).expect("known");
        let attempt = &mut account.attempts[n];
        attempt.done = Some(outcome);
        account.ended |= outcome == Outcome::Ok;
        let (endpoint, took, over) = (attempt.endpoint, self.now - attempt.sent, account.ended);
        let attempt = n as u32;
        self.tell(Event::AttemptEnded(AttemptEnd {
            request: id,
            attempt,
            endpoint,
            outcome,
            duration: took,
            request_completed: over,
            load: None,
        }))
    }

    /// Lets time pass, with every timer and time-out at its moment, as the wire does.
    fn advance(&mut self, until: Nanos) -> Result<(), TestCaseError> {
        loop {
            let out = self.accounts.iter().flat_map(|(id, a)| {
                a.attempts.iter().enumerate().filter(|(_, t)| t.done.is_none()).map(|(n, t)| (t.due, *id, n))
            });
            let time_out = out.min();
            let timer = self.timers.first().copied();
            let next = [time_out.map(|t| t.0), timer.map(|t| t.0)].into_iter().flatten().min();
            let Some(next) = next.filter(|n| *n <= until) else { break };
            self.now = self.now.max(next);
            match (time_out, timer) {
                (Some((due, id, n)), _) if due == next => self.end(id, n, Outcome::Timeout)?,
                (_, Some(timer)) => {
                    self.timers.remove(&timer);
                    self.tell(Event::TimerFired(timer.1))?;
                }
                _ => unreachable!("one of the two is due"),
            }
            for account in self.accounts.values() {
                prop_assert!(account.ended || self.now <= account.deadline, "no answer by the deadline");
            }
        }
        self.now = until;
        Ok(())
    }

    fn step(&mut self, step: &Step, number: u64) -> Result<(), TestCaseError> {
        match step {
            Step::Wait(ms) => self.advance(self.now + ms * MS)?,
            Step::Arrive { class, left_ms } => {
                let (id, left, ended) = (RequestId(number), left_ms * MS, false);
                let (class, deadline) = (*class, self.now + left);
                let account = Account { class: class as usize, deadline, ended, attempts: Vec::new() };
                self.accounts.insert(id, account);
                self.tell(Event::RequestArrived(Request::new(id, ClassId(class), left)))?;
            }
            Step::End { pick, outcome } => {
                let open = self.accounts.iter().flat_map(|(id, a)| {
                    let out = a.attempts.iter().enumerate().filter(|(_, t)| t.done.is_none());
                    out.map(|(n, _)| (*id, n))
                });
                let open: Vec<_> = open.collect();
                if !open.is_empty() {
                    let (id, n) = open[pick % open.len()];
                    self.end(id, n, *outcome)?;
                }
            }
            Step::Abort(pick) => {
                let open: Vec<_> =
                    self.accounts.iter().filter(|(_, a)| !a.ended).map(|(id, _)| *id).collect();
                if !open.is_empty() {
                    let id = open[pick % open.len()];
                    self.accounts.get_mut(&id).expect("known").ended = true;
                    self.tell(Event::RequestAborted(id))?;
                }
            }
            Step::State { endpoint, state, restarted } => {
                let entry = &mut self.entries[*endpoint as usize];
                entry.state = *state;
                entry.started = if *restarted { Some(self.now) } else { entry.started };
                let entry = entry.clone();
                self.tell(Event::Endpoints(EndpointUpdate::Delta(vec![entry])))?;
            }
            Step::Check { endpoint, ok } => {
                let outcome = if *ok { Outcome::Ok } else { Outcome::Timeout };
                let endpoint = EndpointId(*endpoint);
                self.tell(Event::HealthCheckCompleted { endpoint, outcome, duration: MS, load: None })?;
            }
            Step::ListFails => self.tell(Event::Endpoints(EndpointUpdate::Failed))?,
        }
        Ok(())
    }
}

fn play(steps: &[Step], hedging: bool, seed: u64) -> Result<Vec<Action>, TestCaseError> {
    let mut settings = settings(Idempotency::Idempotent);
    settings.classes.push(class(cell(300 * MS)));
    settings.classes.push(class(Idempotency::NonIdempotent));
    settings.limits.hedging_enabled = hedging;
    let now = 1000 * S;
    let mut checker = Checker {
        balancer: Balancer::new(settings.clone(), seed, now),
        settings,
        now,
        entries: list(8),
        accounts: BTreeMap::new(),
        timers: BTreeSet::new(),
        actions: Vec::new(),
    };
    checker.tell(Event::Endpoints(EndpointUpdate::Cached(list(8))))?;
    for (number, step) in steps.iter().enumerate() {
        checker.step(step, number as u64)?;
    }
    checker.advance(checker.now + 2 * S)?;
    prop_assert!(checker.accounts.values().all(|a| a.ended), "a request was never answered");
    Ok(checker.actions)
}

/// The same cases every time.
fn check(test: impl Fn((Vec<Step>, bool, u64)) -> Result<(), TestCaseError>) {
    let config = ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]));
    runner.run(&(steps(), any::<bool>(), any::<u64>()), test).expect("the rules hold");
}

#[test]
fn the_rules_hold_on_random_legal_sequences() {
    check(|(steps, hedging, seed)| play(&steps, hedging, seed).map(|_| ()));
}

#[test]
fn the_same_events_give_the_same_actions() {
    check(|(steps, hedging, seed)| {
        prop_assert_eq!(play(&steps, hedging, seed)?, play(&steps, hedging, seed)?);
        Ok(())
    });
}
