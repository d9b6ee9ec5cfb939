//! The work that arrived at a cold server within the overload window, divided into work from proxies that
//! knew of the server's start and work from others.

use super::faults::TimeSpan;
use olivecart_decisions::Nanos;
use std::collections::VecDeque;
use std::fmt;

/// The work of one attempt.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Nanos,
    work: u64,
    /// Whether its proxy knew of the server's start.
    knows_start: bool,
}

/// The work that arrived within the window.
#[derive(Clone, Debug, Default)]
pub struct Pressure {
    arrivals: VecDeque<Arrival>,
    work: u64,
    informed_work: u64,
}

impl Pressure {
    /// Adds work at the end of the window. Returns whether the work in the window exceeds `bearable`.
    pub fn add(&mut self, window: TimeSpan, work: u64, knows_start: bool, bearable: f64) -> bool {
        while let Some(&arrival) = self.arrivals.front().filter(|arrival| arrival.at < window.from) {
            debug_assert!(arrival.at < window.to);
            self.arrivals.pop_front();
            self.work -= arrival.work;
            self.informed_work -= arrival.informed_work();
        }
        let arrival = Arrival { at: window.to - 1, work, knows_start };
        self.arrivals.push_back(arrival);
        self.work += arrival.work;
        self.informed_work += arrival.informed_work();
        self.work as f64 > bearable
    }

    /// Whether at least two thirds of the work came from proxies that knew of the start.
    pub fn is_mostly_informed(&self) -> bool {
        self.informed_work * 3 >= self.work * 2 && self.work > 0
    }
}

impl Arrival {
    fn informed_work(&self) -> u64 {
        if self.knows_start { self.work } else { 0 }
    }
}

impl fmt::Display for Pressure {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let share = 100.0 * self.informed_work as f64 / self.work.max(1) as f64;
        let seconds = self.work as f64 / 1e9;
        write!(
            f,
            "{} attempts with {seconds:.2} core seconds of work, {share:.0}% from proxies aware of its start",
            self.arrivals.len()
        )
    }
}
