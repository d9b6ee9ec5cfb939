//! Runs and figures in words.

use crate::results::{Cell, cell_words};
use std::cmp::Ordering;

/// A run by name: `calm (clients.load=0.8), olivecart, seed 3`.
pub(super) fn run_words(scenario: &str, cell: &Cell, policy: &str, seed: u64) -> String {
    format!("{}, {policy}, seed {seed}", place_words(scenario, cell))
}

/// A scenario and its cell.
pub fn place_words(scenario: &str, cell: &Cell) -> String {
    match cell.is_empty() {
        true => scenario.to_owned(),
        false => format!("{scenario} ({})", cell_words(cell)),
    }
}

/// Orders cells of one grid: numbers by size, all else as text.
pub(super) fn order(a: &Cell, b: &Cell) -> Ordering {
    let texts = || cell_words(a).cmp(&cell_words(b));
    let sizes = a.values().zip(b.values()).map(|(a, b)| match (a.as_f64(), b.as_f64()) {
        (Some(a), Some(b)) => a.total_cmp(&b),
        _ => a.to_string().cmp(&b.to_string()),
    });
    sizes.fold(Ordering::Equal, Ordering::then).then_with(texts)
}

/// The first some of a list, and how many are left out.
pub(super) fn first_some(list: &[String], most: usize) -> Vec<String> {
    let mut some: Vec<String> = list.iter().take(most).cloned().collect();
    if list.len() > most {
        some.push(format!("and {} more", list.len() - most));
    }
    some
}

/// A figure to four digits that count.
pub fn figure(value: f64) -> String {
    let size = value.abs();
    if size == 0.0 || !size.is_finite() {
        return format!("{value}");
    }
    // 0.99999 is rounded up, and then has a digit more before the point.
    let decimals = (3 - (size * 1.00005).log10().floor() as i32).clamp(0, 7) as usize;
    format!("{value:.decimals$}")
}

#[cfg(test)]
mod tests {
    use super::figure;

    #[test]
    fn figures_keep_four_digits() {
        for (value, text) in [
            (0.0, "0"),
            (0.99999, "1.000"),
            (0.91234, "0.9123"),
            (-12.3456, "-12.35"),
            (123456.7, "123457"),
            (0.000012345, "0.0000123"),
        ] {
            assert_eq!(figure(value), text);
        }
    }
}
