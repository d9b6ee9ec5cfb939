//! What all plots share: an SVG drawing, axes with a grid, and lines with gaps.

use super::axis::Axis;
use super::palette::{AXIS, Colour, GRID, TEXT};
use plotters::coord::Shift;
use plotters::prelude::*;
use plotters::style::text_anchor::{HPos, Pos, VPos};

/// Width of a plot, in pixels.
pub(super) const WIDE: u32 = 960;

/// Left of the plot, for the axis' figures.
pub(super) const LEFT: u32 = 58;

/// Right of it.
pub(super) const RIGHT: u32 = 24;

/// Below it.
const BELOW: u32 = 26;

/// Height of a letter's line.
const LETTERS: i32 = 15;

/// A drawing went wrong; into a text, that should not happen.
#[derive(Debug, thiserror::Error)]
#[error("a plot cannot be drawn: {0}")]
pub struct NotDrawn(String);

impl<E: std::error::Error + Send + Sync> From<DrawingAreaErrorKind<E>> for NotDrawn {
    fn from(error: DrawingAreaErrorKind<E>) -> NotDrawn {
        NotDrawn(error.to_string())
    }
}

pub(super) type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
pub(super) type Chart<'a, 'b> = ChartContext<'b, SVGBackend<'a>, Cartesian2d<Axis, Axis>>;

/// Draws an SVG of a size.
pub(super) fn svg(
    (width, height): (u32, u32),
    draw: impl FnOnce(&Area) -> Result<(), NotDrawn>,
) -> Result<String, NotDrawn> {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, (width, height)).into_drawing_area();
        draw(&area)?;
        area.present()?;
    }
    Ok(text)
}

/// The style of texts.
pub(super) fn letters(colour: Colour, at: HPos) -> TextStyle<'static> {
    ("sans-serif", LETTERS).into_font().color(&colour.draw()).pos(Pos::new(at, VPos::Center))
}

/// Axes and their grid; `left` is the room for the figures of the upright one.
pub(super) fn axes<'a, 'b>(
    area: &'b Area<'a>,
    left: u32,
    x: &Axis,
    y: &Axis,
) -> Result<Chart<'a, 'b>, NotDrawn> {
    let mut chart = ChartBuilder::on(area)
        .margin_top(8)
        .margin_right(RIGHT)
        .x_label_area_size(BELOW)
        .y_label_area_size(left)
        .build_cartesian_2d(x.clone(), y.clone())?;
    chart
        .configure_mesh()
        .light_line_style(TRANSPARENT)
        .bold_line_style(GRID.draw())
        .axis_style(AXIS.draw())
        .label_style(("sans-serif", LETTERS).into_font().color(&TEXT.draw()))
        .draw()?;
    Ok(chart)
}

/// A line of a plot; figures that are none are gaps.
pub(super) struct Line {
    pub name: String,
    pub colour: Colour,
    pub points: Vec<(f64, Option<f64>)>,
}

impl Line {
    /// Its figures.
    pub fn figures(&self) -> impl Iterator<Item = f64> {
        self.points.iter().filter_map(|point| point.1)
    }
}

/// Draws a line; a point that has no neighbour is a dot.
pub(super) fn line(chart: &mut Chart, y: &Axis, line: &Line) -> Result<(), NotDrawn> {
    let style = line.colour.draw().stroke_width(2);
    let placed = line.points.iter().map(|&(x, figure)| Some((x, figure.filter(|&figure| y.takes(figure))?)));
    let placed: Vec<Option<(f64, f64)>> = placed.collect();
    for piece in
        placed.split(Option::is_none).map(|piece| piece.iter().copied().flatten().collect::<Vec<_>>())
    {
        match piece[..] {
            [] => {}
            [point] => {
                chart.draw_series([Circle::new(point, 2, line.colour.draw().filled())])?;
            }
            _ => {
                chart.draw_series(LineSeries::new(piece, style))?;
            }
        }
    }
    Ok(())
}
