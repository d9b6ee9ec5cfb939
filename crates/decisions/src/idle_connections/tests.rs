//! Tests of when idle connections are closed.

use super::*;

#[test]
fn surplus_is_closed_once_after_a_period_that_needed_half_the_connections() {
    let mut demand = ConnectionDemand::new(0);
    demand.on_attempt_started(6);
    assert!(!demand.end_period(0), "the period needed all six connections");
    demand.on_attempt_started(3);
    assert!(demand.end_period(0), "the period needed half of the connections");
    demand.on_attempt_started(3);
    assert!(!demand.end_period(0), "the period needed all three connections left");
}

#[test]
fn two_connections_are_kept_without_demand() {
    let mut demand = ConnectionDemand::new(2);
    assert!(!demand.end_period(0));
    assert!(!demand.end_period(0));
    let mut demand = ConnectionDemand::new(3);
    assert!(!demand.end_period(0), "three were in flight at the start of the period");
    assert!(demand.end_period(0));
}
