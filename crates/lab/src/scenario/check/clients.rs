//! Who calls, and how much.

use super::{above_zero, round_trip};
use crate::scenario::{Scenario, Shape, Span};
use olivecart_config::document::{Diagnostics, top};

/// Overload beyond this is a slip of the pen: all that would be measured is refusing.
const MOST_LOAD: f64 = 20.0;

pub(super) fn check(scenario: &Scenario, complaints: &mut Diagnostics) {
    let (clients, key) = (&scenario.clients, top("clients"));
    match (clients.rate, clients.load) {
        (None, None) => complaints.add(key.clone(), "neither `rate` nor `load` is given", "one of them"),
        (Some(_), Some(_)) => {
            let right = "requests a second as `rate`, or a share of the fleet's capacity as `load`";
            complaints.add_name(key.name("load"), "both `rate` and `load` are given", right);
        }
        _ => (),
    }
    let shape = key.name("shape");
    match &clients.shape {
        Shape::Steady => (),
        Shape::Wave { period, .. } => above_zero(complaints, shape.name("period"), *period),
        Shape::Bursts { every, length, .. } => {
            above_zero(complaints, shape.name("length"), *length);
            if length >= every {
                let what = format!("a burst of {length} does not end before the next, every {every}");
                complaints.add(shape.name("length"), what, format!("below {every}"));
            }
        }
    }
    tries(scenario, complaints);
}

fn tries(scenario: &Scenario, complaints: &mut Diagnostics) {
    let (clients, key) = (&scenario.clients, top("clients"));
    let trip = Span::from_nanos(round_trip(scenario));
    for class in &scenario.class {
        // A class whose deadline itself is too short has its own complaint.
        let patience = class.deadline.nanos() as f64 * clients.patience;
        if class.deadline > trip && patience <= trip.nanos() as f64 {
            let given_up = Span::from_nanos(patience as u64);
            let what = format!("each try of class `{}` is given up after {given_up}", class.name);
            complaints.add(key.name("patience"), what, format!("more than the network alone takes, {trip}"));
            break;
        }
    }
    let longest = scenario.class.iter().map(|c| c.deadline).max().unwrap_or_default();
    if clients.retries > 0 && clients.backoff >= longest {
        let what =
            format!("no class waits for as long as the back-off, {}: none is tried again", clients.backoff);
        complaints.add(key.name("backoff"), what, format!("below {longest}"));
    }
}

/// Checks the load against what the fleet can do.
pub(super) fn check_load(scenario: &Scenario, complaints: &mut Diagnostics) {
    let (rate, capacity) = (scenario.rate(), scenario.capacity());
    if rate <= capacity * MOST_LOAD {
        return;
    }
    let name = if scenario.clients.load.is_some() { "load" } else { "rate" };
    let what = format!(
        "{rate:.1} requests a second are {:.1} times what the fleet can do, {capacity:.1} a second",
        rate / capacity
    );
    complaints.add(top("clients").name(name), what, format!("at most {MOST_LOAD} times"));
}
