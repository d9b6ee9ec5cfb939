//! What contradicts itself in a scenario whose keys, types and single ranges are right.

mod classes;
mod clients;
mod faults;
mod fleet;
mod names;
mod settings;

use super::{Scenario, Span};
use olivecart_config::document::{Diagnostics, Key};

/// Checks each part, and the parts against each other.
pub(super) fn check(scenario: &Scenario, complaints: &mut Diagnostics) {
    settings::check(scenario, complaints);
    names::check(scenario, complaints);
    classes::check(scenario, complaints);
    clients::check(scenario, complaints);
    fleet::check(scenario, complaints);
    faults::check(scenario, complaints);
}

/// Checks what follows from the fleet as a whole, in a scenario without other faults.
pub(super) fn check_figures(scenario: &Scenario, complaints: &mut Diagnostics) {
    fleet::check_seats(scenario, complaints);
    clients::check_load(scenario, complaints);
    faults::check_reach(scenario, complaints);
}

/// A length of time that must not be 0.
fn above_zero(complaints: &mut Diagnostics, key: Key, span: Span) {
    if span.nanos() == 0 {
        complaints.add(key, "0 is no length of time here", "above 0s");
    }
}

/// Least time from when a client sends a try to when its answer can be there, in nanoseconds.
fn round_trip(scenario: &Scenario) -> u64 {
    2 * (scenario.network.client.nanos() + scenario.network.same_zone.nanos())
}
