//! Prints the call graph as text.

use super::Calls;
use crate::resolve::Resolved;
use std::fmt::{self, Write};

/// Returns a text with each application, its deadlines, its calls and the attempts that it can receive.
pub fn text(resolved: &[Resolved], client_tries: u32) -> String {
    let mut out = String::new();
    // Writing to a string does not fail.
    let _ = write_graph(&mut out, resolved, client_tries);
    out
}

fn write_graph(out: &mut String, resolved: &[Resolved], client_tries: u32) -> fmt::Result {
    let calls = Calls::of(resolved);
    let arrivals = calls.arrivals(f64::from(client_tries));
    let mut order = calls.order();
    if order.is_empty() {
        order = (0..resolved.len()).collect();
    }
    for index in order {
        let proxy = &resolved[index].proxy;
        let attempts = arrivals[index].sum.max(0.0);
        writeln!(
            out,
            "{} (tier {}): up to {attempts:.0} attempts per client request",
            proxy.name, proxy.tier
        )?;
        for class in &proxy.classes {
            let objective = class.latency_objective;
            writeln!(out, "    class {}: aim {objective}, deadline {}", class.name, class.deadline)?;
        }
        for edge in calls.edges.iter().filter(|edge| edge.from == index) {
            let callee = &resolved[edge.to].proxy.name;
            writeln!(
                out,
                "    -> {callee}: {} calls per request, up to {} attempts each",
                edge.calls_per_request, edge.attempts
            )?;
        }
    }
    Ok(())
}
