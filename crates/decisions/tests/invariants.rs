//! Random legal sequences of events against an invariant checker of the rules: it keeps the account of one
//! instance's requests and lists; it does not model servers.

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
    State { endpoint: u32, state: State, restarted: bool },
    Check { endpoint: u32, ok: bool },
    ListFails,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    use Outcome::*;
    let outcome = prop::sample::select(vec![Ok, Ok, Ok, Error, Full, Timeout, ConnectFailed, Reset]);
    let state = prop::sample::select(vec![State::Ready, State::Ready, State::Draining, State::Gone]);
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

/// What one instance was told and did, and whether that keeps the rules.
struct Checker {
    balancer: Balancer,
    settings: Settings,
    now: Nanos,
    entries: Vec<Entry>,
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
            Action::Send { request, endpoint, cap, .. } => {
                let entry = &self.entries[endpoint.0 as usize];
                prop_assert_eq!(entry.state, State::Ready, "sent to an endpoint that does not take requests");
                let account = self.accounts.get_mut(request).expect("known");
                prop_assert!(!account.ended, "sent for a request that has ended");
                prop_assert!(account.attempts.len() < self.settings.limits.max_attempts as usize);
                let ran = account.attempts.iter().filter(|a| !a.done.is_some_and(Outcome::never_ran));
                for earlier in ran.clone() {
                    match self.settings.classes[account.class].effect {
                        Effect::Repeatable => {}
                        Effect::Once => prop_assert!(false, "an unsafe request was sent again"),
                        Effect::ByKey { group, window } => {
                            prop_assert!(group.joins(&self.entries[earlier.endpoint.0 as usize], entry));
                            prop_assert!(self.now - earlier.sent < window);
                        }
                    }
                }
                let out = account.attempts.iter().any(|a| a.done.is_none());
                prop_assert!(self.settings.limits.second_copies || !out, "two attempts out at once");
                let due = if *cap == 0 { account.deadline } else { account.deadline.min(self.now + cap) };
                account.attempts.push(Attempt { endpoint: *endpoint, sent: self.now, due, done: None });
            }
            Action::Shed { request, .. } | Action::Fail(request) => {
                let account = self.accounts.get_mut(request).expect("known");
                prop_assert!(!account.ended, "answered twice");
                account.ended = true;
                let ran = account.attempts.iter().any(|a| !a.done.is_some_and(Outcome::never_ran));
                let effect = self.settings.classes[account.class].effect;
                let harmless = match effect {
                    Effect::Repeatable | Effect::ByKey { group: Group::All, .. } => true,
                    _ => !ran,
                };
                prop_assert!(harmless || matches!(action, Action::Fail(_)), "refused what may have run");
            }
            Action::Cancel { request, attempt } => {
                prop_assert!((*attempt as usize) < self.accounts[request].attempts.len());
            }
            Action::SetTimer { at, timer } => {
                prop_assert!(*at > self.now);
                self.timers.insert((*at, *timer));
            }
            Action::Check(_) | Action::Close(_) | Action::Watch(_) => {}
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
        self.tell(Event::Outcome(AttemptEnd {
            request: id,
            attempt,
            endpoint,
            outcome,
            took,
            over,
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
                    self.tell(Event::Timer(timer.1))?;
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
                self.tell(Event::Request(Request::new(id, ClassId(class), left)))?;
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
                    self.tell(Event::Aborted(id))?;
                }
            }
            Step::State { endpoint, state, restarted } => {
                let entry = &mut self.entries[*endpoint as usize];
                entry.state = *state;
                entry.started = if *restarted { Some(self.now) } else { entry.started };
                let entry = entry.clone();
                self.tell(Event::List(ListChange::Delta(vec![entry])))?;
            }
            Step::Check { endpoint, ok } => {
                let outcome = if *ok { Outcome::Ok } else { Outcome::Timeout };
                let endpoint = EndpointId(*endpoint);
                self.tell(Event::Checked { endpoint, outcome, took: MS, load: None })?;
            }
            Step::ListFails => self.tell(Event::List(ListChange::Failed))?,
        }
        Ok(())
    }
}

fn play(steps: &[Step], second_copies: bool, seed: u64) -> Result<Vec<Action>, TestCaseError> {
    let mut settings = settings(Effect::Repeatable);
    settings.classes.push(class(cell(300 * MS)));
    settings.classes.push(class(Effect::Once));
    settings.limits.second_copies = second_copies;
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
    checker.tell(Event::List(ListChange::Cached(list(8))))?;
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
    check(|(steps, second_copies, seed)| play(&steps, second_copies, seed).map(|_| ()));
}

#[test]
fn the_same_events_give_the_same_actions() {
    check(|(steps, second_copies, seed)| {
        prop_assert_eq!(play(&steps, second_copies, seed)?, play(&steps, second_copies, seed)?);
        Ok(())
    });
}
