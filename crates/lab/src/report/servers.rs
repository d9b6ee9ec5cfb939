//! Plots of servers: load against capacity, and load in the order of load.

use super::axis::Axis;
use super::frame::{self, LEFT, Line, NotDrawn, svg};
use super::palette::{Colour, SERIES};
use crate::run_result::Server;
use plotters::prelude::*;

/// Half the width of a page, and a height to match.
const SIZE: (u32, u32) = (472, 260);

/// Most dots of a plot.
const MOST: usize = 2000;

/// A group of servers that is drawn in one colour.
pub(super) struct Set<'a> {
    pub name: &'a str,
    pub colour: Colour,
    pub servers: Vec<&'a Server>,
}

/// Servers by tier, in the order of the run, each by its utilization, least first.
pub(super) fn by_tier(servers: &[Server]) -> Vec<Set<'_>> {
    let mut sets: Vec<Set> = Vec::new();
    for server in servers {
        match sets.iter_mut().find(|set| set.name == server.tier) {
            Some(set) => set.servers.push(server),
            None => {
                let colour = SERIES[sets.len() % SERIES.len()];
                sets.push(Set { name: &server.tier, colour, servers: vec![server] });
            }
        }
    }
    for set in &mut sets {
        set.servers.sort_by(|a, b| a.utilization.total_cmp(&b.utilization));
    }
    sets
}

/// At most so many of a list, evenly taken, the first and the last among them.
fn thinned<T>(list: &[T], most: usize) -> impl Iterator<Item = (usize, &T)> {
    let step = (list.len() as f64 / most.max(1) as f64).max(1.0);
    let last = list.len().saturating_sub(1);
    let mut next = 0.0;
    list.iter().enumerate().filter(move |(at, _)| {
        let take = *at as f64 >= next || *at == last;
        next += if take { step } else { 0.0 };
        take
    })
}

/// Dots that [`scatter`] leaves out.
pub(super) fn left_out(sets: &[Set]) -> usize {
    let each = MOST / sets.len().max(1);
    sets.iter().map(|set| set.servers.len() - thinned(&set.servers, each).count()).sum()
}

fn highest(sets: &[Set], of: impl Fn(&Server) -> f64) -> f64 {
    sets.iter().flat_map(|set| &set.servers).map(|server| of(server)).fold(0.0, f64::max)
}

fn utilization_axis(sets: &[Set]) -> Axis {
    Axis::linear(0.0, highest(sets, |server| server.utilization).max(0.1) * 1.05, 5)
}

/// Utilization against capacity: a dot a server. An even spread is a level band.
pub(super) fn scatter(sets: &[Set]) -> Result<String, NotDrawn> {
    let y = utilization_axis(sets);
    let x = Axis::linear(0.0, highest(sets, |server| server.capacity).max(0.1) * 1.05, 6);
    svg(SIZE, |area| {
        let mut chart = frame::axes(area, LEFT, &x, &y)?;
        for set in sets {
            let dots = thinned(&set.servers, MOST / sets.len());
            let dots = dots.map(|(_, server)| (server.capacity, server.utilization));
            let style = set.colour.draw().mix(0.55).filled();
            chart.draw_series(dots.map(|dot| Circle::new(dot, 3, style)))?;
        }
        Ok(())
    })
}

/// Utilization from the least loaded server to the most, as a share of the servers. An even spread is level.
pub(super) fn sorted(sets: &[Set]) -> Result<String, NotDrawn> {
    let y = utilization_axis(sets);
    let x = Axis::linear(0.0, 100.0, 5).unit("%");
    svg(SIZE, |area| {
        let mut chart = frame::axes(area, LEFT, &x, &y)?;
        for set in sets {
            let last = (set.servers.len() - 1).max(1) as f64;
            let dots = thinned(&set.servers, 500);
            let points =
                dots.map(|(at, server)| (100.0 * at as f64 / last, Some(server.utilization))).collect();
            let line = Line { name: String::new(), colour: set.colour, points };
            frame::line(&mut chart, &y, &line)?;
        }
        Ok(())
    })
}

#[cfg(test)]
mod tests {
    use super::thinned;

    #[test]
    fn thinning_keeps_both_ends() {
        for (count, most) in [(0, 5), (1, 5), (5, 5), (6, 5), (1000, 7), (3, 0)] {
            let list: Vec<usize> = (0..count).collect();
            let some: Vec<usize> = thinned(&list, most).map(|(_, &one)| one).collect();
            assert!(some.len() <= most.max(1) + 1, "{count} {most}: {some:?}");
            assert_eq!((some.first(), some.last()), (list.first(), list.last()));
        }
    }
}
