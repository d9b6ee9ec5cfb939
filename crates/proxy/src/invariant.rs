//! Runtime invariants: asserted in debug builds, counted in release builds.
//!
//! Any module checks them; the maintenance task of a cluster takes the counts and logs them. A violated invariant never
//! ends the process in a release build.

use std::cell::RefCell;
use std::collections::BTreeMap;

thread_local! {
    static VIOLATIONS: RefCell<BTreeMap<&'static str, u64>> = const { RefCell::new(BTreeMap::new()) };
}

/// Counts a violation of `invariant` unless it holds.
#[track_caller]
pub fn check_invariant(holds: bool, invariant: &'static str) {
    debug_assert!(holds, "{invariant}");
    if !holds {
        VIOLATIONS.with_borrow_mut(|violations| *violations.entry(invariant).or_default() += 1);
    }
}

/// Violated invariants since the last call, each with its count.
pub fn take_violations() -> Vec<(&'static str, u64)> {
    VIOLATIONS.take().into_iter().collect()
}
