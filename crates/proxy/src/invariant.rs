//! What must hold: asserted in debug builds, counted in release builds.

use std::cell::RefCell;
use std::collections::BTreeMap;

thread_local! {
    static BROKEN: RefCell<BTreeMap<&'static str, u64>> = const { RefCell::new(BTreeMap::new()) };
}

/// Notes whether something that must hold does.
#[track_caller]
pub fn must(holds: bool, what: &'static str) {
    debug_assert!(holds, "{what}");
    if !holds {
        BROKEN.with_borrow_mut(|broken| *broken.entry(what).or_default() += 1);
    }
}

/// What did not hold since the last call, and how often.
pub fn take_broken() -> Vec<(&'static str, u64)> {
    BROKEN.take().into_iter().collect()
}
