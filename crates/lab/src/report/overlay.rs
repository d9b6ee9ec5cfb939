//! Two runs over each other.

use super::axis::Axis;
use super::buckets::Bucket;
use super::frame::Line;
use super::page::{figure, name};
use super::palette::SERIES;
use super::run::{ATTEMPTS, Of, P99, from_zero, line, time_figure};
use super::{NotDrawn, Shown, servers};
use crate::experiment::metrics;
use crate::experiment::words::figure as number;
use crate::run_result::Window;
use maud::{Markup, html};

/// The plots of two runs in one, and their figures side by side.
pub(super) fn section(a: &Shown, b: &Shown) -> Result<Markup, NotDrawn> {
    Ok(html! {
        section id="both" {
            h2 { "Both over each other" }
            p { "A: " (name(a)) } p { "B: " (name(b)) }
            p class="soft" {
                "Two runs do not show whether a difference is more than chance; the command "
                code { "compare" } " does, from many."
            }
            (table(a, b))
            (over_time(a, b)?)
            (spread(a, b)?)
        }
    })
}

fn table(a: &Shown, b: &Shown) -> Markup {
    let (ours, theirs) = (metrics::of(&a.run), metrics::of(&b.run));
    let words = |figure: Option<f64>| figure.map_or_else(|| "-".to_owned(), number);
    let rows = ours.iter().map(|metric| {
        let other = theirs.iter().find(|other| other.name == metric.name).and_then(|other| other.value);
        let difference = metric.value.zip(other).map(|(a, b)| b - a);
        (&metric.name, [metric.value, other, difference].map(words))
    });
    html! {
        div class="scroll" {
            table {
                tr { th { "" } th { "A" } th { "B" } th { "B - A" } }
                @for (name, figures) in rows {
                    tr { td { (name) } @for figure in figures { td { (figure) } } }
                }
            }
        }
    }
}

/// Faults of both, each once.
fn faults(a: &Shown, b: &Shown) -> Vec<Window> {
    let mut all = a.run.faults.clone();
    all.extend(b.run.faults.iter().filter(|fault| !a.run.faults.contains(fault)).cloned());
    all
}

fn over_time(a: &Shown, b: &Shown) -> Result<Markup, NotDrawn> {
    let count = a.run.seconds.len().max(b.run.seconds.len());
    if count == 0 {
        return Ok(html! {});
    }
    let faults = faults(a, b);
    let lines = |of: Of| [line("A", SERIES[0], &a.run.seconds, of), line("B", SERIES[1], &b.run.seconds, of)];
    let (goodput, attempts, latency) = (lines(Bucket::goodput), lines(ATTEMPTS), lines(P99));
    let draw = |title, about, lines: &[Line], y: &Axis| time_figure(title, about, lines, y, count, &faults);
    Ok(html! {
        (draw("Goodput", "Worth served over worth asked for.", &goodput, &from_zero(&goodput, 1.0))?)
        (draw(
            "99th percentile of the latency", "Milliseconds, logarithmic.",
            &latency, &Axis::log(latency.iter().flat_map(Line::figures)),
        )?)
        (draw("Attempts per request", "At the first tier.", &attempts, &from_zero(&attempts, 1.0))?)
    })
}

fn spread(a: &Shown, b: &Shown) -> Result<Markup, NotDrawn> {
    let first = |shown: &Shown| shown.run.servers.first().map(|server| server.tier.clone());
    let mut sets = Vec::new();
    for (name, colour, shown) in [("A", SERIES[0], a), ("B", SERIES[1], b)] {
        let set = servers::by_tier(&shown.run.servers).into_iter().next();
        sets.extend(set.map(|set| servers::Set { name, colour, servers: set.servers }));
    }
    if sets.is_empty() {
        return Ok(html! {});
    }
    let legend: Vec<_> = sets.iter().map(|set| (set.name, set.colour)).collect();
    let tier = first(a).or_else(|| first(b)).unwrap_or_default();
    let about = format!("Servers of the tier {tier}, from the least to the most busy.");
    Ok(figure("Utilization in order", &legend, &about, &servers::sorted(&sets)?))
}
