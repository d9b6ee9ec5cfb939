//! The page: its head, warnings, and what comes where.

use super::palette::{self, Colour};
use super::{Content, NotDrawn, Shown, overlay, run};
use crate::experiment::words::place_words;
use maud::{DOCTYPE, Markup, PreEscaped, html};

const STYLE: &str = include_str!("style.css");

/// The page as a text.
///
/// # Errors
/// A plot cannot be drawn.
pub fn page(content: &Content) -> Result<String, NotDrawn> {
    let runs = &content.runs;
    let title = match &runs[..] {
        [one] => name(one),
        _ => format!("{} runs", runs.len()),
    };
    let sections = runs.iter().enumerate().map(|(at, shown)| run::section(at, shown, runs.len() == 1));
    let sections = sections.collect::<Result<Vec<Markup>, NotDrawn>>()?;
    let both = match &runs[..] {
        [a, b] => Some(overlay::section(a, b)?),
        _ => None,
    };
    let page = html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta name="viewport" content="width=device-width, initial-scale=1";
                title { (title) }
                style { (PreEscaped(STYLE)) (PreEscaped(palette::style())) }
            }
            body {
                h1 { (title) }
                (unusable(content))
                @if runs.len() > 1 { (contents(runs)) }
                @if runs.is_empty() { p { "There is no run to show." } }
                @if let Some(both) = both { (both) }
                @for section in &sections { (section) }
            }
        }
    };
    Ok(page.into_string())
}

/// A run by name.
pub(super) fn name(shown: &Shown) -> String {
    let run = &shown.run;
    format!("{}, {}, seed {}", place_words(&run.scenario, &shown.cell), run.policy, run.seed)
}

fn unusable(content: &Content) -> Markup {
    html! {
        @if !content.failed.is_empty() {
            div class="box bad" {
                p { "These runs could not be played" }
                ul {
                    @for failed in &content.failed {
                        li {
                            (failed.scenario) ", " (failed.policy) ", seed " (failed.seed) ": " (failed.error)
                        }
                    }
                }
            }
        }
        @for torn in &content.torn { div class="box warn" { p { (torn) } } }
    }
}

fn contents(runs: &[Shown]) -> Markup {
    html! {
        ol {
            @for (at, shown) in runs.iter().enumerate() {
                li {
                    a href={ "#run" (at + 1) } { (name(shown)) }
                    @if !shown.run.unsound.is_empty() { " (unsound)" }
                    @if !shown.run.breaches.is_empty() { " (broke a rule)" }
                    @if !shown.run.out_of_bounds.is_empty() { " (out of bounds)" }
                }
            }
        }
    }
}

/// A plot with its legend and what it shows.
pub(super) fn figure(title: &str, legend: &[(&str, Colour)], about: &str, svg: &str) -> Markup {
    html! {
        figure {
            h3 { (title) }
            @if !legend.is_empty() {
                div class="legend" {
                    @for (name, colour) in legend {
                        span { i style={ "background:var(" (colour.variable()) ")" } {} (name) }
                    }
                }
            }
            (PreEscaped(svg))
            figcaption { (about) }
        }
    }
}

/// Figures by name.
pub(super) fn facts(facts: &[(&str, String)]) -> Markup {
    html! {
        dl class="facts" {
            @for (name, value) in facts { div { dt { (name) } dd { (value) } } }
        }
    }
}
