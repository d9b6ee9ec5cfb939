//! A run's section.

use super::axis::Axis;
use super::buckets::{Bucket, buckets, width};
use super::frame::Line;
use super::page::{facts, figure, name};
use super::palette::{Colour, FAULT, SERIES};
use super::{NotDrawn, Shown, classes, held, over_time, servers};
use crate::experiment::words::figure as number;
use crate::run_result::{Breach, Group, RunResult, Second, Server, Window};
use maud::{Markup, html};

/// Everything about a run; `at` counts runs from 0. A run that is alone has its name at the top of the page.
pub(super) fn section(at: usize, shown: &Shown, alone: bool) -> Result<Markup, NotDrawn> {
    let run = &*shown.run;
    Ok(html! {
        section id={ "run" (at + 1) } {
            @if !alone { h2 { (name(shown)) } }
            p class="soft" {
                "digest " code { (run.digest) } " · scenario " code { (run.scenario_digest) }
                " · revision " code { (run.revision) }
            }
            (warnings(run))
            (head(run))
            (faults(&run.faults))
            (over_time_plots(run)?)
            (latency(run)?)
            (groups("Tenants", &run.tenants))
            (server_plots(run)?)
            (held_plot(run)?)
            p class="soft" {
                "Played in " (number(run.cost.wall_s)) " s; threads: " (run.cost.threads)
                ", events: " (run.cost.events) ", memory: at most " (number(run.cost.peak_mib)) " MiB."
            }
        }
    })
}

fn warnings(run: &RunResult) -> Markup {
    html! {
        @if !run.unsound.is_empty() {
            div class="box bad" {
                p { "The figures are not to be trusted" }
                ul { @for why in &run.unsound { li { (why) } } }
            }
        }
        @for breach in &run.breaches { (rule(breach)) }
        @if !run.out_of_bounds.is_empty() {
            div class="box warn" {
                p { "Out of the scenario's bounds" }
                ul { @for what in &run.out_of_bounds { li { (what) } } }
            }
        }
        @if run.breaches.is_empty() { div class="box good" { p { "No rule was broken" } } }
    }
}

fn rule(breach: &Breach) -> Markup {
    let seconds = format!("{:.3}", breach.at_ms / 1000.0);
    html! {
        div class="box bad" {
            p { "Rule broken: " (breach.rule) ", " (breach.count) " times" }
            p { "First at " (seconds) " s, by " (breach.proxy) ": " (breach.what) }
            @if !breach.events.is_empty() {
                details open="open" {
                    summary { "The events that led to it" }
                    ol { @for event in &breach.events { li { (event) } } }
                }
            }
        }
    }
}

fn head(run: &RunResult) -> Markup {
    let totals = &run.totals;
    let of_all = |count: u64| match totals.offered {
        0 => count.to_string(),
        offered => format!("{count} ({:.2}%)", 100.0 * count as f64 / offered as f64),
    };
    facts(&[
        ("goodput", number(totals.goodput)),
        ("worst window", number(run.worst_window)),
        ("first tries", totals.offered.to_string()),
        ("in time", of_all(totals.in_time)),
        ("late", of_all(totals.late)),
        ("refused", of_all(totals.refused)),
        ("failed", of_all(totals.failed)),
        ("clients' retries", totals.client_retries.to_string()),
        ("attempts per request", number(totals.attempts_per_request)),
        ("attempts, all tiers", totals.attempts_all_tiers.to_string()),
        ("probes", totals.probes.to_string()),
        ("handshakes", totals.handshakes.to_string()),
        ("connections per server", number(totals.connections_per_server)),
        ("wasted work", number(totals.wasted_work)),
        ("second effects", totals.second_effects.to_string()),
    ])
}

fn faults(faults: &[Window]) -> Markup {
    let seconds = |ms: u64| format!("{:.1} s", ms as f64 / 1000.0);
    html! {
        @if !faults.is_empty() {
            h3 { "What went wrong when" }
            div class="scroll" {
                table class="words" {
                    tr { th { "" } th { "fault" } th { "from" } th { "to" } th { "touched" } }
                    @for (at, fault) in faults.iter().enumerate() {
                        tr {
                            td { (at + 1) } td { (fault.kind) } td { (seconds(fault.from_ms)) }
                            td { (seconds(fault.to_ms)) } td { (fault.touched) }
                        }
                    }
                }
            }
        }
    }
}

/// What one figure of a run's seconds is drawn from.
pub(super) type Of = fn(&Bucket) -> Option<f64>;

/// Attempts at the first tier for each arrival.
pub(super) const ATTEMPTS: Of = |bucket| bucket.share(bucket.attempts);

/// 99th percentile of the latency; none: nothing was answered.
pub(super) const P99: Of = |bucket| Some(bucket.p99).filter(|&ms| ms > 0.0);

/// A line over a run's seconds.
pub(super) fn line(name: impl Into<String>, colour: Colour, seconds: &[Second], of: Of) -> Line {
    let points = buckets(seconds).iter().map(|bucket| (bucket.at, of(bucket))).collect();
    Line { name: name.into(), colour, points }
}

/// An axis from 0 that holds all lines.
pub(super) fn from_zero(lines: &[Line], least: f64) -> Axis {
    let highest = lines.iter().flat_map(Line::figures).fold(least, f64::max);
    Axis::linear(0.0, highest * 1.04, 6)
}

/// How many seconds a point stands for, in words; empty if it is one.
pub(super) fn put_together(seconds: usize) -> String {
    match width(seconds) {
        1 => String::new(),
        width => format!(" A point stands for {width} seconds."),
    }
}

/// A plot over time with its legend.
pub(super) fn time_figure(
    title: &str,
    about: &str,
    lines: &[Line],
    y: &Axis,
    seconds: usize,
    faults: &[Window],
) -> Result<Markup, NotDrawn> {
    let svg = over_time::plot(lines, y, seconds as f64, faults)?;
    let legend: Vec<(&str, Colour)> = lines.iter().map(|line| (line.name.as_str(), line.colour)).collect();
    Ok(figure(title, &legend, &format!("{about}{}", put_together(seconds)), &svg))
}

fn over_time_plots(run: &RunResult) -> Result<Markup, NotDrawn> {
    let seconds = &run.seconds;
    if seconds.is_empty() {
        return Ok(html! { p { "There are no seconds to draw: nothing arrived." } });
    }
    let make = |name: &str, colour, of| line(name, colour, seconds, of);
    let shares = [
        make("goodput", SERIES[0], Bucket::goodput),
        make("refused", SERIES[1], |bucket| bucket.share(bucket.refused)),
        make("failed", FAULT, |bucket| bucket.share(bucket.failed)),
    ];
    let latency = [
        make("50th percentile", SERIES[0], |bucket| Some(bucket.p50).filter(|&ms| ms > 0.0)),
        make("99th percentile", SERIES[1], P99),
    ];
    let mut attempts = vec![
        make("first tier", SERIES[0], ATTEMPTS),
        make("all tiers", SERIES[2], |bucket| bucket.share(bucket.attempts_all)),
    ];
    // Of a single tier, the second line would only hide the first.
    attempts.dedup_by(|all, first| all.points == first.points);
    let count = seconds.len();
    let draw =
        |title, about, lines: &[Line], y: &Axis| time_figure(title, about, lines, y, count, &run.faults);
    Ok(html! {
        (draw(
            "Goodput, refusals and failures over time",
            "Worth served over worth asked for, and shares of the requests, by the second in which they \
             arrived.",
            &shares, &from_zero(&shares, 1.0),
        )?)
        (draw(
            "Latency over time",
            "Milliseconds from the arrival of the first try, by the second of that; logarithmic. A gap: \
             nothing was answered.",
            &latency, &Axis::log(latency.iter().flat_map(Line::figures)),
        )?)
        (draw(
            "Attempts per request over time",
            "Attempts sent in a second over the requests that arrived in it.",
            &attempts, &from_zero(&attempts, 1.0),
        )?)
    })
}

fn latency(run: &RunResult) -> Result<Markup, NotDrawn> {
    let lines = classes::lines(&run.classes);
    let legend: Vec<(&str, Colour)> = lines.iter().map(|line| (line.name.as_str(), line.colour)).collect();
    let answered = run.classes.iter().filter(|class| class.latency.count > 0).count();
    let mut about = "Milliseconds, logarithmic.".to_owned();
    if answered > lines.len() {
        about += &format!(" {} classes more are in the table alone.", answered - lines.len());
    }
    Ok(html! {
        @if !lines.is_empty() {
            (figure("Latency by class and percentile", &legend, &about, &classes::plot(&lines)?))
        }
        (groups("Classes", &run.classes))
    })
}

fn groups(title: &str, groups: &[Group]) -> Markup {
    html! {
        @if !groups.is_empty() {
            h3 { (title) }
            div class="scroll" {
                table {
                    tr {
                        th { "" } th { "first tries" } th { "goodput" } th { "refused" } th { "failed" }
                        th { "mean, ms" } th { "50th" } th { "90th" } th { "99th" } th { "99.9th" }
                        th { "greatest" }
                    }
                    @for group in groups {
                        tr {
                            td { (group.name) } td { (group.offered) } td { (number(group.goodput)) }
                            td { (group.refused) } td { (group.failed) }
                            @for ms in latencies(group) { td { (number(ms)) } }
                        }
                    }
                }
            }
        }
    }
}

fn latencies(group: &Group) -> [f64; 6] {
    let at = &group.latency;
    [at.mean_ms, at.p50_ms, at.p90_ms, at.p99_ms, at.p999_ms, at.max_ms]
}

fn server_plots(run: &RunResult) -> Result<Markup, NotDrawn> {
    let sets = servers::by_tier(&run.servers);
    if sets.is_empty() {
        return Ok(html! { p { "There were no servers." } });
    }
    let legend: Vec<(&str, Colour)> = sets.iter().map(|set| (set.name, set.colour)).collect();
    let mut about =
        "Work done over what it could have done (vertical), against cores times speed. A level band: \
                     fast and slow servers are equally busy."
            .to_owned();
    let left_out = servers::left_out(&sets);
    if left_out > 0 {
        about += &format!(" {left_out} servers between the others are left out.");
    }
    let order = "The same from the least to the most busy server, as a share of the servers of its tier. \
                 Level: all are equally busy.";
    Ok(html! {
        div class="pair" {
            (figure("Utilization against capacity", &legend, &about, &servers::scatter(&sets)?))
            (figure("Utilization in order", &legend, order, &servers::sorted(&sets)?))
        }
        (tiers(run, &sets))
    })
}

fn tiers(run: &RunResult, sets: &[servers::Set]) -> Markup {
    let sum = |tier: &str, figure: fn(&Server) -> u64| {
        run.servers.iter().filter(|server| server.tier == tier).map(figure).sum::<u64>()
    };
    let mean = |set: &servers::Set| {
        set.servers.iter().map(|server| server.utilization).sum::<f64>() / set.servers.len() as f64
    };
    html! {
        div class="scroll" {
            table {
                tr {
                    th { "tier" } th { "servers" } th { "mean utilization" } th { "greatest" }
                    th { "attempts" } th { "turned away" } th { "probes" } th { "deaths" }
                    th { "fell over cold" }
                }
                @for set in sets {
                    tr {
                        td { (set.name) } td { (set.servers.len()) } td { (number(mean(set))) }
                        td { (number(set.servers.last().map_or(0.0, |server| server.utilization))) }
                        td { (sum(set.name, |server| server.attempts)) }
                        td { (sum(set.name, |server| server.turned_away)) }
                        td { (sum(set.name, |server| server.probes)) }
                        td { (sum(set.name, |server| server.deaths.into())) }
                        td { (sum(set.name, |server| server.fell_over.into())) }
                    }
                }
            }
        }
    }
}

fn held_plot(run: &RunResult) -> Result<Markup, NotDrawn> {
    let (rows, all) = held::rows(&run.held);
    if rows.is_empty() {
        return Ok(html! { p { "No proxy held a server back." } });
    }
    let mut reasons: Vec<&str> = run.held.iter().map(|span| span.why.as_str()).collect();
    reasons.sort_unstable();
    reasons.dedup();
    let words = |why| match why {
        "down" => "down (a check failed)",
        "held" => "held (evidence from calls)",
        other => other,
    };
    let legend: Vec<(&str, Colour)> = reasons.iter().map(|why| (words(why), held::colour(why))).collect();
    let about = match all - rows.len() {
        0 => "A row for each pair of server and proxy; faults are shaded.".to_owned(),
        _ => format!(
            "The {} pairs of server and proxy that were held longest, of {all}; faults are shaded.",
            rows.len()
        ),
    };
    Ok(figure(
        "Who was held back when",
        &legend,
        &about,
        &held::plot(&rows, run.seconds.len() as f64, &run.faults)?,
    ))
}
