//! Classes of requests, their work, and tenants.

use super::{above_zero, round_trip};
use crate::scenario::{Class, Distribution, Effect, Group, Scenario, Span};
use olivecart_config::document::{Diagnostics, Key, top};

pub(super) fn check(scenario: &Scenario, complaints: &mut Diagnostics) {
    for (i, class) in scenario.class.iter().enumerate() {
        let key = top("class").at(i);
        times(scenario, class, &key, complaints);
        effect(class, &key, complaints);
        work(&class.work, &key.name("work"), complaints);
    }
    tenants(scenario, complaints);
}

fn times(scenario: &Scenario, class: &Class, key: &Key, complaints: &mut Diagnostics) {
    let Class { aim, deadline, .. } = class;
    let trip = Span::from_nanos(round_trip(scenario));
    if aim.nanos() == 0 {
        above_zero(complaints, key.name("aim"), *aim);
    } else if aim > deadline {
        let what = format!("the aim, {aim}, is above the deadline, {deadline}");
        complaints.add(key.name("aim"), what, format!("at most {deadline}"));
    } else if *aim <= trip {
        let what = format!("no answer can be there within {aim}: the network alone takes {trip}");
        complaints.add(key.name("aim"), what, format!("above {trip}"));
    }
}

fn effect(class: &Class, key: &Key, complaints: &mut Diagnostics) {
    match (class.effect, class.window) {
        (Effect::ByKey, None) => {
            let right = "for how long a repeat is dropped, such as window = \"10s\"";
            complaints.add(key.name("window"), "effect `by_key` needs a window", right);
        }
        (Effect::ByKey, Some(window)) if window < class.aim => {
            let what = format!("the window, {window}, is shorter than the aim, {}", class.aim);
            complaints.add(key.name("window"), what, format!("at least {}", class.aim));
        }
        (Effect::Repeatable | Effect::Once, Some(_)) => {
            complaints.add_name(
                key.name("window"),
                "a window means something with effect `by_key` alone",
                "",
            );
        }
        _ => (),
    }
    if class.effect != Effect::ByKey && class.group != Group::All {
        complaints.add_name(key.name("group"), "a group means something with effect `by_key` alone", "");
    }
}

fn work(work: &Distribution, key: &Key, complaints: &mut Diagnostics) {
    match work {
        Distribution::Fixed { mean }
        | Distribution::Exponential { mean }
        | Distribution::Lognormal { mean, .. }
        | Distribution::Gamma { mean, .. }
        | Distribution::Pareto { mean, .. } => above_zero(complaints, key.name("mean"), *mean),
        Distribution::Uniform { least, most } if least > most => {
            let what = format!("the least, {least}, is above the most, {most}");
            complaints.add(key.name("least"), what, format!("at most {most}"));
        }
        Distribution::Uniform { most, .. } => above_zero(complaints, key.name("most"), *most),
    }
}

fn tenants(scenario: &Scenario, complaints: &mut Diagnostics) {
    let mut sum = 0.0;
    for (i, tenant) in scenario.tenant.iter().enumerate() {
        let before = sum;
        sum += tenant.share;
        // Shares such as ten times 0.1 add up to a little more than 1.
        let is_over = |sum: f64| sum > 1.0 + 1e-9;
        if is_over(sum) && !is_over(before) {
            let what = format!("with this share, tenants have {sum:.4} of the service together");
            complaints.add(top("tenant").at(i).name("share"), what, "at most 1 in all");
        }
    }
}
