//! Draws the call graph as SVG: tiers from left to right, a box for each application, an arrow for each call.

use super::{Calls, Edge};
use crate::resolve::Resolved;
use std::collections::BTreeMap;
use std::fmt::{self, Write};

/// The size of a box and the distances around it, in pixels.
const BOX_WIDTH: usize = 220;
const BOX_HEIGHT: usize = 64;
const COLUMN_GAP: usize = 100;
const ROW_GAP: usize = 30;
const MARGIN: usize = 40;

/// The width and height of a drawing without boxes, in pixels.
const EMPTY_SIZE: usize = 80;

/// The distance of the control points of an arrow's curve from its ends, in pixels.
const ARROW_BEND: usize = 50;

/// The offsets of the two lines of text in a box, in pixels.
const TEXT_INDENT: usize = 10;
const FIRST_LINE: usize = 22;
const SECOND_LINE: usize = 44;

/// The distance of a call's label above the middle of its arrow, in pixels.
const LABEL_RISE: usize = 4;

/// The upper left corner of a box.
#[derive(Clone, Copy)]
struct Corner {
    x: usize,
    y: usize,
}

/// Returns the call graph as an SVG document.
pub fn svg(resolved: &[Resolved], client_tries: u32) -> String {
    let mut out = String::new();
    // Writing to a string does not fail.
    let _ = write_svg(&mut out, resolved, client_tries);
    out
}

fn write_svg(out: &mut String, resolved: &[Resolved], client_tries: u32) -> fmt::Result {
    let calls = Calls::of(resolved);
    let arrivals = calls.arrivals(f64::from(client_tries));
    let corners = corners(resolved);
    write_header(out, &corners)?;
    for edge in &calls.edges {
        write_arrow(out, edge, corners[edge.from], corners[edge.to])?;
    }
    for (index, application) in resolved.iter().enumerate() {
        write_box(out, application, arrivals[index].sum, corners[index])?;
    }
    out.write_str("</svg>\n")
}

/// Returns the corners of the boxes: a column for each tier, with a row for each application.
fn corners(resolved: &[Resolved]) -> Vec<Corner> {
    let mut rows: BTreeMap<u32, usize> = BTreeMap::new();
    let mut corners = Vec::new();
    for application in resolved {
        let tier = application.proxy.tier;
        let row = rows.entry(tier).or_default();
        corners.push(Corner {
            x: MARGIN + tier as usize * (BOX_WIDTH + COLUMN_GAP),
            y: MARGIN + *row * (BOX_HEIGHT + ROW_GAP),
        });
        *row += 1;
    }
    corners
}

fn write_header(out: &mut String, corners: &[Corner]) -> fmt::Result {
    let width = corners.iter().map(|corner| corner.x + BOX_WIDTH + MARGIN).max().unwrap_or(EMPTY_SIZE);
    let height = corners.iter().map(|corner| corner.y + BOX_HEIGHT + MARGIN).max().unwrap_or(EMPTY_SIZE);
    writeln!(
        out,
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {width} {height}\" width=\"{width}\" \
         height=\"{height}\" font-family=\"sans-serif\" font-size=\"12\">\n\
         <defs><marker id=\"a\" viewBox=\"0 0 10 10\" refX=\"10\" refY=\"5\" markerWidth=\"7\" markerHeight=\"7\" \
         orient=\"auto\"><path d=\"M0 0 10 5 0 10z\" fill=\"#444\"/></marker></defs>"
    )
}

fn write_arrow(out: &mut String, edge: &Edge, from: Corner, to: Corner) -> fmt::Result {
    let start_x = from.x + BOX_WIDTH;
    let start_y = from.y + BOX_HEIGHT / 2;
    let end_x = to.x;
    let end_y = to.y + BOX_HEIGHT / 2;
    writeln!(
        out,
        "<path d=\"M{start_x} {start_y}C{} {start_y} {} {end_y} {end_x} {end_y}\" fill=\"none\" stroke=\"#444\" \
         marker-end=\"url(#a)\"/>",
        start_x + ARROW_BEND,
        end_x.saturating_sub(ARROW_BEND)
    )?;
    let label_x = start_x.midpoint(end_x);
    let label_y = start_y.midpoint(end_y) - LABEL_RISE;
    writeln!(
        out,
        "<text x=\"{label_x}\" y=\"{label_y}\" text-anchor=\"middle\" fill=\"#444\">{} x {}</text>",
        edge.calls_per_request, edge.attempts
    )
}

fn write_box(out: &mut String, application: &Resolved, attempts: f64, corner: Corner) -> fmt::Result {
    let Corner { x, y } = corner;
    let proxy = &application.proxy;
    let longest = proxy.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
    writeln!(
        out,
        "<rect x=\"{x}\" y=\"{y}\" width=\"{BOX_WIDTH}\" height=\"{BOX_HEIGHT}\" rx=\"6\" fill=\"#eef3f8\" \
         stroke=\"#345\"/>"
    )?;
    let text_x = x + TEXT_INDENT;
    writeln!(
        out,
        "<text x=\"{text_x}\" y=\"{}\" font-weight=\"bold\">{}</text>",
        y + FIRST_LINE,
        escaped(&proxy.name)
    )?;
    writeln!(
        out,
        "<text x=\"{text_x}\" y=\"{}\">deadline {longest}, up to {attempts:.0} attempts</text>",
        y + SECOND_LINE
    )
}

/// Escapes a text for XML.
fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
