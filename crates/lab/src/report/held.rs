//! Who was held back when: a row for each pair of proxy and server.

use super::axis::Axis;
use super::frame::{self, NotDrawn, WIDE, letters, svg};
use super::over_time;
use super::palette::{Colour, DOWN, SERIES, TEXT};
use crate::run_result::{Held, Window};
use plotters::prelude::*;
use plotters::style::text_anchor::HPos;
use std::collections::BTreeMap;

/// Most rows.
const MOST: usize = 60;

/// Height of a row.
const ROW: u32 = 15;

/// Left of the plot, for names.
const NAMES: u32 = 250;

/// Most letters of a name.
const LETTERS: usize = 36;

/// A pair of proxy and server.
pub(super) struct Row<'a> {
    server: &'a str,
    proxy: &'a str,
    spans: Vec<&'a Held>,
}

/// The pairs that were held back the longest, by server, and how many pairs there are in all.
pub(super) fn rows(held: &[Held]) -> (Vec<Row<'_>>, usize) {
    let mut pairs: BTreeMap<(&str, &str), Vec<&Held>> = BTreeMap::new();
    for span in held {
        pairs.entry((&span.server, &span.proxy)).or_default().push(span);
    }
    let all = pairs.len();
    let rows = pairs.into_iter().map(|((server, proxy), spans)| Row { server, proxy, spans });
    let mut rows: Vec<Row> = rows.collect();
    let time = |row: &Row| row.spans.iter().map(|span| span.to_ms.saturating_sub(span.from_ms)).sum::<u64>();
    rows.sort_by_key(|row| std::cmp::Reverse(time(row)));
    rows.truncate(MOST);
    rows.sort_by_key(|row| (natural(row.server), natural(row.proxy)));
    (rows, all)
}

/// A name by which `web-9` comes before `web-10`.
fn natural(name: &str) -> (&str, u64, &str) {
    let stem = name.trim_end_matches(|letter: char| letter.is_ascii_digit());
    (stem, name[stem.len()..].parse().unwrap_or_default(), name)
}

/// The colour of a reason.
pub(super) fn colour(why: &str) -> Colour {
    if why == "down" { DOWN } else { SERIES[4] }
}

fn name(row: &Row) -> String {
    let name = format!("{} at {}", row.server, row.proxy);
    match name.chars().count() > LETTERS {
        true => name.chars().take(LETTERS - 1).chain(['…']).collect(),
        false => name,
    }
}

/// Bars over the time from the start to the given second at least.
pub(super) fn plot(rows: &[Row], length: f64, faults: &[Window]) -> Result<String, NotDrawn> {
    let ends = rows.iter().flat_map(|row| &row.spans).map(|span| span.to_ms as f64 / 1000.0);
    let length = ends.fold(length, f64::max);
    let x = Axis::linear(0.0, length, 9).unit("s");
    let y = Axis::linear(0.0, rows.len().max(1) as f64, 1).bare();
    svg((WIDE, rows.len().max(1) as u32 * ROW + 34), |area| {
        let mut chart = frame::axes(area, NAMES, &x, &y)?;
        over_time::shade(&mut chart, &y, length, faults)?;
        for (at, row) in rows.iter().enumerate() {
            let top = (rows.len() - at) as f64;
            for span in &row.spans {
                let from = span.from_ms as f64 / 1000.0;
                // What was short is still to be seen.
                let to = (span.to_ms as f64 / 1000.0).max(from + length / 400.0).min(length);
                let bar =
                    Rectangle::new([(from, top - 0.12), (to, top - 0.88)], colour(&span.why).draw().filled());
                chart.draw_series([bar])?;
            }
            let (_, middle) = chart.plotting_area().map_coordinate(&(0.0, top - 0.5));
            area.draw(&Text::new(name(row), (NAMES as i32 - 8, middle), letters(TEXT, HPos::Right)))?;
        }
        Ok(())
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_longest_are_kept_and_sorted_by_server() {
        let held = |server: usize, from_ms, to_ms| Held {
            proxy: "p".into(),
            server: format!("s{server}"),
            from_ms,
            to_ms,
            why: "held".into(),
        };
        let mut all: Vec<Held> = (0..100).map(|server| held(server, 0, 1000 + server as u64)).collect();
        all.extend([held(3, 2000, 9000), held(4, 9, 5)]);
        let (rows, pairs) = rows(&all);
        assert_eq!((rows.len(), pairs), (MOST, 100));
        assert_eq!((rows[0].server, rows[0].spans.len()), ("s3", 2));
        assert_eq!((rows[1].server, rows[MOST - 1].server), ("s41", "s99"));
    }
}
