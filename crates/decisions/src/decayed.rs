//! A sum that forgets; arithmetic only.

use crate::interface::Nanos;

/// A sum whose parts fade exponentially over a time constant.
#[derive(Clone, Debug, Default)]
pub(crate) struct Decayed {
    pub(crate) sum: f64,
    pub(crate) at: Nanos,
}

impl Decayed {
    /// Adds an amount and returns the sum as of `now`; `span` is the time constant in nanoseconds.
    pub(crate) fn add(&mut self, now: Nanos, span: f64, amount: f64) -> f64 {
        self.sum = self.sum * (-(now.saturating_sub(self.at) as f64) / span).exp() + amount;
        self.at = now;
        self.sum
    }
}
