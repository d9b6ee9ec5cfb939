//! Random legal sequences of events against every ordinary policy.

use crate::checker::*;
use olivecart_decisions::*;
use olivecart_lab::policy;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    Arrive { class: u16, left_ms: u64 },
    End { pick: usize, outcome: Outcome },
    Abort(usize),
    State { endpoint: u32, state: EndpointState, restarted: bool },
    ListFails,
    Full,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    use Outcome::*;
    let outcome = prop::sample::select(vec![Ok, Ok, Error, Overloaded, Timeout, ConnectFailed, Reset]);
    let state = prop::sample::select(vec![
        EndpointState::Ready,
        EndpointState::Ready,
        EndpointState::Draining,
        EndpointState::Removed,
    ]);
    let step = prop_oneof![
        3 => (1..200u64).prop_map(Step::Wait),
        6 => (0..4u16, 0..1200u64).prop_map(|(class, left_ms)| Step::Arrive { class, left_ms }),
        6 => (any::<usize>(), outcome).prop_map(|(pick, outcome)| Step::End { pick, outcome }),
        1 => any::<usize>().prop_map(Step::Abort),
        2 => (0..8u32, state, any::<bool>())
            .prop_map(|(endpoint, state, restarted)| Step::State { endpoint, state, restarted }),
        1 => Just(Step::ListFails),
        1 => Just(Step::Full),
    ];
    prop::collection::vec(step, 1..150)
}

fn play(name: &str, steps: &[Step], subscribe: bool, seed: u64) -> Checker {
    let discovery = if subscribe { Discovery::Subscribe } else { Discovery::Automatic };
    let mut checker = Checker::new(name, Settings { discovery, ..settings() }, list(8), seed);
    for step in steps {
        match *step {
            Step::Wait(ms) => checker.advance(checker.now + ms * MS),
            Step::Arrive { class, left_ms } => {
                checker.arrive(class, left_ms * MS);
            }
            Step::End { pick, outcome } => checker.end_some(pick, outcome),
            Step::Abort(pick) => checker.abort_some(pick),
            Step::State { endpoint, state, restarted } => checker.list_state(endpoint, state, restarted),
            Step::ListFails => checker.tell(Event::Endpoints(EndpointUpdate::Failed)),
            Step::Full => {
                let ready =
                    checker.entries.iter().filter(|e| e.state == EndpointState::Ready).cloned().collect();
                checker.tell(Event::Endpoints(EndpointUpdate::Snapshot(ready)));
            }
        }
    }
    checker.advance(checker.now + 2 * S);
    checker
}

/// The same cases every time.
fn check(test: impl Fn((Vec<Step>, bool, u64)) -> Result<(), TestCaseError>) {
    let config = ProptestConfig { cases: 150, failure_persistence: None, ..ProptestConfig::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]));
    runner.run(&(steps(), any::<bool>(), any::<u64>()), test).expect("the rules hold");
}

/// Warm-up is no concern of the textbook policies.
fn rules_but_cold(checker: &Checker) -> Vec<&Breach> {
    checker.breaches.iter().filter(|(rule, _)| *rule != Rule::Cold).collect()
}

#[test]
fn every_ordinary_policy_keeps_the_rules_and_is_deterministic() {
    for name in policy::NAMES {
        check(|(steps, subscribe, seed)| {
            let checker = play(name, &steps, subscribe, seed);
            let broken = rules_but_cold(&checker);
            prop_assert!(broken.is_empty(), "{}: {:?}", name, broken);
            prop_assert_eq!(checker.actions, play(name, &steps, subscribe, seed).actions);
            Ok(())
        });
    }
}
