//! Plots over time, with what went wrong shaded behind and named above.

use super::axis::Axis;
use super::frame::{self, LEFT, Line, NotDrawn, RIGHT, WIDE, letters, svg};
use super::palette::{FAULT, TEXT};
use crate::run_result::Window;
use plotters::coord::ranged1d::Ranged;
use plotters::prelude::*;
use plotters::style::text_anchor::HPos;

/// Height of the plot itself.
const HIGH: u32 = 220;

/// Height of a row of names.
const ROW: u32 = 17;

/// Most rows of names.
const MOST_ROWS: usize = 5;

/// About the width of a letter.
const LETTER: f64 = 6.6;

/// A fault's place in the rows of names, in pixels from the left.
#[derive(Debug, PartialEq)]
struct Label {
    row: usize,
    from: f64,
    to: f64,
    text: String,
    /// Where the text begins.
    text_at: f64,
}

/// Puts names into rows so that none covers another. What finds no room is left out: the page lists all.
fn labels(faults: &[Window], length: f64) -> Vec<Label> {
    let (left, right) = (f64::from(LEFT), f64::from(WIDE - RIGHT));
    let pixel = |ms: u64| left + (right - left) * (ms as f64 / 1000.0 / length).clamp(0.0, 1.0);
    let mut rows: Vec<f64> = Vec::new();
    let mut order: Vec<(usize, &Window)> = faults.iter().enumerate().collect();
    order.sort_by_key(|(_, fault)| fault.from_ms);
    let mut labels = Vec::new();
    for (number, fault) in order {
        let text = format!("{} {}", number + 1, fault.kind);
        let (from, to) = (pixel(fault.from_ms), pixel(fault.to_ms.max(fault.from_ms)));
        let wide = text.chars().count() as f64 * LETTER + 8.0;
        let text_at = (from + 4.0).min(right - wide).max(left);
        let free = rows.iter().position(|&end| end <= text_at.min(from));
        let row = free.unwrap_or(rows.len());
        if row == MOST_ROWS {
            continue;
        }
        if row == rows.len() {
            rows.push(0.0);
        }
        rows[row] = to.max(text_at + wide);
        labels.push(Label { row, from, to, text, text_at });
    }
    labels
}

/// Lines over the seconds of a run.
pub(super) fn plot(lines: &[Line], y: &Axis, length: f64, faults: &[Window]) -> Result<String, NotDrawn> {
    let labels = labels(faults, length);
    let rows = labels.iter().map(|label| label.row + 1).max().unwrap_or(0) as u32 * ROW;
    svg((WIDE, HIGH + rows), |area| {
        let (above, below) = area.split_vertically(rows);
        for label in &labels {
            let top = label.row as i32 * ROW as i32 + 2;
            let corners =
                [(label.from as i32, top), (label.to.max(label.from + 2.0) as i32, top + ROW as i32 - 3)];
            above.draw(&Rectangle::new(corners, FAULT.draw().mix(0.25).filled()))?;
            let place = (label.text_at as i32, top + ROW as i32 / 2 - 1);
            above.draw(&Text::new(label.text.clone(), place, letters(TEXT, HPos::Left)))?;
        }
        let x = Axis::linear(0.0, length, 12).unit("s");
        let mut chart = frame::axes(&below, LEFT, &x, y)?;
        shade(&mut chart, y, length, faults)?;
        lines.iter().try_for_each(|line| frame::line(&mut chart, y, line))
    })
}

/// Shades the times of faults.
pub(super) fn shade(
    chart: &mut frame::Chart,
    y: &Axis,
    length: f64,
    faults: &[Window],
) -> Result<(), NotDrawn> {
    let y = y.range();
    for fault in faults {
        let from = (fault.from_ms as f64 / 1000.0).min(length);
        let to = (fault.to_ms as f64 / 1000.0).clamp(from, length);
        let edge = [(from, y.start), (from, y.end)];
        chart.draw_series([Rectangle::new([edge[0], (to, y.end)], FAULT.draw().mix(0.09).filled())])?;
        chart.draw_series(LineSeries::new(edge, FAULT.draw().mix(0.5)))?;
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn names_of_faults_do_not_cover_each_other_and_stay_inside() {
        let fault = |kind: &str, from: u64, to: u64| Window {
            kind: kind.into(),
            from_ms: from * 1000,
            to_ms: to * 1000,
            ..Window::default()
        };
        let mut faults = vec![fault("crash", 10, 12), fault("slow", 11, 30), fault("rolling_deploy", 59, 60)];
        faults.push(fault("crash", 40, 45));
        let found = labels(&faults, 60.0);
        assert_eq!(found.iter().map(|label| label.row).collect::<Vec<_>>(), [0, 1, 0, 0]);
        assert!(found.iter().all(|label| label.text_at + 8.0 < f64::from(WIDE - RIGHT)), "{found:?}");
        let many: Vec<Window> = (0..40).map(|_| fault("partition", 5, 9)).collect();
        assert_eq!(labels(&many, 60.0).len(), MOST_ROWS);
    }
}
