//! Each broken policy breaks its rule and no other, on a day on which the decisions themselves break none.

use crate::checker::*;
use olivecart_decisions::*;
use olivecart_lab::policy;
use std::collections::BTreeSet;

/// Half a minute of steady traffic at some 40% of what eight servers do, with failures of each kind; now and
/// then a server drains, is gone, and comes back cold. The rules broken by it.
fn rules_broken_by(name: &str, seed: u64) -> BTreeSet<Rule> {
    let mut checker = Checker::new(name, settings(), list(8), seed);
    checker.fate = MIXED;
    for step in 0..10_000u32 {
        checker.advance(checker.now + 3 * MS);
        checker.arrive((step % 4) as u16, 300 * MS);
        let one = step / 3000 % 8;
        match step % 3000 {
            1500 => checker.list_state(one, EndpointState::Draining, false),
            2000 => checker.list_state(one, EndpointState::Removed, false),
            2500 => checker.list_state(one, EndpointState::Ready, true),
            _ => {}
        }
    }
    checker.advance(checker.now + 2 * S);
    checker.breaches.iter().map(|(rule, _)| *rule).collect()
}

#[test]
fn each_broken_policy_breaks_its_rule_and_no_other() {
    let rule = |name: &str| match name {
        "broken_sends_twice" | "broken_resends_keyed" => Rule::Effect,
        "broken_sends_to_draining" => Rule::Drain,
        "broken_answers_twice" | "broken_loses_one" | "broken_answers_late" => Rule::Answer,
        "broken_floods_cold" => Rule::Cold,
        other => panic!("{other} is for no rule"),
    };
    for name in policy::BROKEN {
        for seed in 0..3 {
            assert_eq!(rules_broken_by(name, seed), BTreeSet::from([rule(name)]), "{name}, seed {seed}");
        }
    }
}

#[test]
fn decisions_break_no_rule() {
    for seed in 0..3 {
        assert_eq!(rules_broken_by("olivecart", seed), BTreeSet::new(), "seed {seed}");
    }
}
