//! Latency by class: a line a class over the percentiles.

use super::axis::Axis;
use super::frame::{self, LEFT, Line, NotDrawn, svg};
use super::palette::SERIES;
use crate::run_result::Group;
use plotters::prelude::*;

const NAMES: [&str; 5] = ["50th", "90th", "99th", "99.9th", "greatest"];

/// Lines of the classes that answered anything, at most as many as there are colours.
pub(super) fn lines(classes: &[Group]) -> Vec<Line> {
    let answered = classes.iter().filter(|class| class.latency.count > 0);
    let lines = answered.zip(SERIES).map(|(class, colour)| {
        let at = &class.latency;
        let figures = [at.p50_ms, at.p90_ms, at.p99_ms, at.p999_ms, at.max_ms];
        let points = figures.into_iter().enumerate().map(|(place, figure)| (place as f64, Some(figure)));
        Line { name: class.name.clone(), colour, points: points.collect() }
    });
    lines.collect()
}

/// Milliseconds, on a logarithmic axis.
pub(super) fn plot(lines: &[Line]) -> Result<String, NotDrawn> {
    let y = Axis::log(lines.iter().flat_map(Line::figures));
    let x = Axis::named(&NAMES);
    svg((472, 260), |area| {
        let mut chart = frame::axes(area, LEFT, &x, &y)?;
        for line in lines {
            frame::line(&mut chart, &y, line)?;
            let dots =
                line.points.iter().filter_map(|&(at, figure)| Some((at, figure.filter(|&ms| y.takes(ms))?)));
            chart.draw_series(dots.map(|dot| Circle::new(dot, 3, line.colour.draw().filled())))?;
        }
        Ok(())
    })
}
