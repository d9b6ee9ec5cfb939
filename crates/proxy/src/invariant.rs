//! Runtime invariants: asserted in debug builds, counted in release builds.
//!
//! Any module can check an invariant. The maintenance task of a cluster logs and resets the counts. A
//! violated invariant never ends the process in a release build.

use std::cell::RefCell;
use std::collections::BTreeMap;

thread_local! {
    static VIOLATIONS: RefCell<BTreeMap<&'static str, u64>> = const { RefCell::new(BTreeMap::new()) };
}

/// Counts a violation of `invariant` unless `holds` is true.
#[track_caller]
pub fn check_invariant(holds: bool, invariant: &'static str) {
    debug_assert!(holds, "{invariant}");
    if !holds {
        VIOLATIONS.with_borrow_mut(|violations| *violations.entry(invariant).or_default() += 1);
    }
}

/// Returns the invariants violated since the last call, each with its count, and resets the counts.
pub fn take_violations() -> Vec<(&'static str, u64)> {
    VIOLATIONS.take().into_iter().collect()
}
