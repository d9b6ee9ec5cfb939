//! Axes: ranges with round ticks, linear or logarithmic.

use plotters::coord::ranged1d::{KeyPointHint, NoDefaultFormatting, Ranged, ValueFormatter};
use std::ops::Range;

/// An axis of a plot.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Axis {
    /// Where it begins and ends.
    range: (f64, f64),
    /// Where ticks are.
    ticks: Vec<f64>,
    log: bool,
    unit: &'static str,
    names: &'static [&'static str],
}

impl Axis {
    fn new(range: (f64, f64), ticks: Vec<f64>) -> Axis {
        Axis { range, ticks, log: false, unit: "", names: &[] }
    }

    /// From one figure to another, with about as many ticks. What is not finite, or a range without width, is
    /// made something that can be drawn.
    pub fn linear(low: f64, high: f64, ticks: usize) -> Axis {
        let low = if low.is_finite() { low.clamp(-1e15, 1e15) } else { 0.0 };
        let high = if high.is_finite() { high.clamp(-1e15, 1e15) } else { low };
        let high =
            if high - low > high.abs().max(low.abs()) * 1e-9 { high } else { low + low.abs().max(1.0) };
        let step = round_step((high - low) / ticks.max(1) as f64);
        let (first, last) = ((low / step).ceil() as i64, (high / step * (1.0 + 1e-12)).floor() as i64);
        Axis::new((low, high), (first..=last).map(|at| at as f64 * step).collect())
    }

    /// Logarithmic, over figures above 0, from a round one below the least to one above the greatest. Other
    /// figures have no place on it.
    pub fn log(figures: impl Iterator<Item = f64>) -> Axis {
        let figures = figures.filter(|figure| figure.is_finite() && *figure > 0.0);
        let (low, high) = figures.fold((f64::MAX, 0.0_f64), |(low, high), one| (low.min(one), high.max(one)));
        let (low, high) = if high > 0.0 { (low, high.max(low * 1.01)) } else { (1.0, 10.0) };
        let (low, high) = (low.clamp(1e-9, 1e12), high.clamp(2e-9, 2e12));
        let marks: &[f64] = if high / low < 300.0 { &[1.0, 2.0, 5.0] } else { &[1.0] };
        let decades = (low.log10().floor() as i32)..=(high.log10().ceil() as i32 + 1);
        let all = decades.flat_map(|decade| marks.iter().map(move |mark| mark * 10_f64.powi(decade)));
        let mut ticks: Vec<f64> = all.collect();
        let begin = ticks.iter().rposition(|&tick| tick <= low).unwrap_or(0);
        let end = ticks.iter().position(|&tick| tick >= high).unwrap_or(ticks.len() - 1);
        ticks.truncate(end + 1);
        ticks.drain(..begin.min(end));
        Axis { log: true, ..Axis::new((ticks[0], ticks[ticks.len() - 1]), ticks) }
    }

    /// A place for each name, from 0.
    pub fn named(names: &'static [&'static str]) -> Axis {
        let ticks: Vec<f64> = (0..names.len()).map(|at| at as f64).collect();
        Axis { names, ..Axis::new((-0.4, ticks.len() as f64 - 0.6), ticks) }
    }

    /// The same with a unit at its ticks.
    pub fn unit(self, unit: &'static str) -> Axis {
        Axis { unit, ..self }
    }

    /// The same without ticks.
    pub fn bare(self) -> Axis {
        Axis { ticks: Vec::new(), ..self }
    }

    /// A figure has a place on it.
    pub fn takes(&self, figure: f64) -> bool {
        figure.is_finite() && (figure > 0.0 || !self.log)
    }

    fn place(&self, figure: f64) -> f64 {
        if self.log { figure.max(f64::MIN_POSITIVE).log10() } else { figure }
    }
}

/// The least of 1, 2 and 5 times a power of ten that is not below a step.
fn round_step(step: f64) -> f64 {
    let decade = 10_f64.powf(step.log10().floor());
    let round = [1.0, 2.0, 5.0].into_iter().find(|round| round * decade >= step * 0.999);
    round.unwrap_or(10.0) * decade
}

impl Ranged for Axis {
    type FormatOption = NoDefaultFormatting;
    type ValueType = f64;

    fn map(&self, figure: &f64, (from, to): (i32, i32)) -> i32 {
        let (low, high) = (self.place(self.range.0), self.place(self.range.1));
        let share = ((self.place(*figure) - low) / (high - low)).clamp(0.0, 1.0);
        from + (f64::from(to - from) * share).round() as i32
    }

    fn key_points<Hint: KeyPointHint>(&self, hint: Hint) -> Vec<f64> {
        if hint.weight().allow_light_points() { Vec::new() } else { self.ticks.clone() }
    }

    fn range(&self) -> Range<f64> {
        self.range.0..self.range.1
    }
}

impl ValueFormatter<f64> for Axis {
    fn format_ext(&self, figure: &f64) -> String {
        if let Some(name) = self.names.get(*figure as usize) {
            return (*name).to_owned();
        }
        let finest = match self.ticks[..] {
            [first, second, ..] if !self.log => second - first,
            _ => figure.abs().max(1e-9),
        };
        let decimals = (-finest.log10() - 1e-6).ceil().clamp(0.0, 9.0) as usize;
        let gap = if self.unit.is_empty() { "" } else { " " };
        format!("{figure:.decimals$}{gap}{}", self.unit)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn words(axis: &Axis) -> Vec<String> {
        axis.ticks.iter().map(|tick| axis.format_ext(tick)).collect()
    }

    #[test]
    fn ticks_are_round() {
        assert_eq!(words(&Axis::linear(0.0, 1.0, 5)), ["0.0", "0.2", "0.4", "0.6", "0.8", "1.0"]);
        assert_eq!(words(&Axis::linear(0.0, 60.0, 3).unit("s")), ["0 s", "20 s", "40 s", "60 s"]);
        assert_eq!(words(&Axis::linear(1.9, 2.2, 3)), ["1.9", "2.0", "2.1", "2.2"]);
        assert_eq!(words(&Axis::log([3.0, 40.0].into_iter())), ["2", "5", "10", "20", "50"]);
        assert_eq!(words(&Axis::log([7.0].into_iter())), ["5", "10"]);
        assert_eq!(words(&Axis::log([0.02, 300.0].into_iter())), ["0.01", "0.1", "1", "10", "100", "1000"]);
        assert_eq!(words(&Axis::named(&["a", "b"])), ["a", "b"]);
    }

    #[test]
    fn a_place_is_by_size_or_by_its_logarithm() {
        assert_eq!(Axis::linear(0.0, 10.0, 5).map(&2.5, (0, 100)), 25);
        assert_eq!(Axis::log([1.0, 100.0].into_iter()).map(&10.0, (200, 0)), 100);
        assert_eq!(Axis::linear(0.0, 10.0, 5).map(&11.0, (0, 100)), 100);
    }

    #[test]
    fn nothing_makes_an_axis_that_cannot_be_drawn() {
        let odd = [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, 0.0, 1.0, -1.0, 1e300, 1e-300, f64::MAX];
        for low in odd {
            for high in odd {
                for axis in [Axis::linear(low, high, 5), Axis::log([low, high].into_iter())] {
                    let (from, to) = axis.range;
                    assert!(from < to && from.is_finite() && to.is_finite(), "{low} {high}: {axis:?}");
                    assert!((1..100).contains(&axis.ticks.len()), "{low} {high}: {axis:?}");
                    assert!((0..=100).contains(&axis.map(&high, (0, 100))) || high.is_nan());
                }
            }
        }
    }
}
