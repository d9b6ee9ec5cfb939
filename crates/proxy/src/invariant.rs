//! Invariants: asserted in debug builds, counted in release builds. The maintenance task reports the counts.

use std::cell::RefCell;
use std::collections::BTreeMap;

thread_local! {
    static VIOLATIONS: RefCell<BTreeMap<&'static str, u64>> = const { RefCell::new(BTreeMap::new()) };
}

/// Checks an invariant.
#[track_caller]
pub fn check_invariant(holds: bool, what: &'static str) {
    debug_assert!(holds, "{what}");
    if !holds {
        VIOLATIONS.with_borrow_mut(|violations| *violations.entry(what).or_default() += 1);
    }
}

/// The invariants that were violated since the last call, and how often.
pub fn take_violations() -> Vec<(&'static str, u64)> {
    VIOLATIONS.take().into_iter().collect()
}
