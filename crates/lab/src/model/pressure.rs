//! What a cold server was sent within the rule's window, and by whom: by proxies that had been told of its
//! start, or by others.

use super::faults::Stretch;
use olivecart_decisions::Nanos;
use std::collections::VecDeque;
use std::fmt;

/// Work that came lately.
#[derive(Clone, Debug, Default)]
pub struct Pressure {
    /// When it came, how much, and whether from one that was told.
    came: VecDeque<(Nanos, u64, bool)>,
    all: u64,
    told: u64,
}

impl Pressure {
    /// Adds work at the end of a window, and says whether that makes more in it than is bearable.
    pub fn add(&mut self, window: Stretch, work: u64, told: bool, bearable: f64) -> bool {
        while let Some(&(at, old, by_told)) = self.came.front().filter(|(at, ..)| *at < window.from) {
            debug_assert!(at < window.to);
            self.came.pop_front();
            self.all -= old;
            self.told -= if by_told { old } else { 0 };
        }
        self.came.push_back((window.to - 1, work, told));
        self.all += work;
        self.told += if told { work } else { 0 };
        self.all as f64 > bearable
    }

    /// Whether two thirds of it came from those that had been told.
    pub fn by_those_told(&self) -> bool {
        self.told * 3 >= self.all * 2 && self.all > 0
    }
}

impl fmt::Display for Pressure {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let share = 100.0 * self.told as f64 / self.all.max(1) as f64;
        let seconds = self.all as f64 / 1e9;
        write!(
            f,
            "{} attempts with {seconds:.2} core seconds of work, {share:.0}% from proxies told of its start",
            self.came.len()
        )
    }
}
