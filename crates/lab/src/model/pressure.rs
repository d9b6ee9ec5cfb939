//! The work that a cold server was sent within the rule's window, and by whom: by proxies that had been told
//! of its start, or by others.

use super::faults::TimeSpan;
use olivecart_decisions::Nanos;
use std::collections::VecDeque;
use std::fmt;

/// One attempt's work.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Nanos,
    work: u64,
    /// Its proxy had been told of the server's start.
    was_told: bool,
}

/// The work that arrived within the window.
#[derive(Clone, Debug, Default)]
pub struct Pressure {
    arrivals: VecDeque<Arrival>,
    work: u64,
    work_by_told: u64,
}

impl Pressure {
    /// Adds work at the end of a window, and returns whether the window now has more than is bearable.
    pub fn add(&mut self, window: TimeSpan, work: u64, was_told: bool, bearable: f64) -> bool {
        while let Some(&arrival) = self.arrivals.front().filter(|arrival| arrival.at < window.from) {
            debug_assert!(arrival.at < window.to);
            self.arrivals.pop_front();
            self.work -= arrival.work;
            self.work_by_told -= arrival.work_by_told();
        }
        let arrival = Arrival { at: window.to - 1, work, was_told };
        self.arrivals.push_back(arrival);
        self.work += arrival.work;
        self.work_by_told += arrival.work_by_told();
        self.work as f64 > bearable
    }

    /// Whether two thirds of it came from proxies that had been told of the start.
    pub fn by_those_told(&self) -> bool {
        self.work_by_told * 3 >= self.work * 2 && self.work > 0
    }
}

impl Arrival {
    fn work_by_told(&self) -> u64 {
        if self.was_told { self.work } else { 0 }
    }
}

impl fmt::Display for Pressure {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let share = 100.0 * self.work_by_told as f64 / self.work.max(1) as f64;
        let seconds = self.work as f64 / 1e9;
        write!(
            f,
            "{} attempts with {seconds:.2} core seconds of work, {share:.0}% from proxies told of its start",
            self.arrivals.len()
        )
    }
}
