//! When idle connections are closed.

use super::*;

#[test]
fn surplus_is_closed_once_after_a_period_that_needed_half_of_the_connections() {
    let mut demand = ConnectionDemand::new(0);
    demand.on_attempt_started(6);
    assert!(!demand.end_period(0), "the period needed all six");
    demand.on_attempt_started(3);
    assert!(demand.end_period(0), "and this one half of them");
    demand.on_attempt_started(3);
    assert!(!demand.end_period(0), "three are left, and needed");
}

#[test]
fn last_connections_are_kept_without_demand() {
    let mut demand = ConnectionDemand::new(2);
    assert!(!demand.end_period(0));
    assert!(!demand.end_period(0));
    let mut demand = ConnectionDemand::new(3);
    assert!(!demand.end_period(0), "three were in flight at the start of the period");
    assert!(demand.end_period(0));
}
