//! Exponentially weighted figures: arithmetic only.
//!
//! [`DecayingSum`] weighs by age (a time constant), [`move_towards`] by the number of samples (a fixed
//! weight). Every concern that learns from traffic uses these two. This module decides nothing and keeps no
//! clock.

use crate::id::Nanos;

#[cfg(test)]
mod tests;

/// A sum whose parts fade exponentially with age.
///
/// Divided by the time constant it is a rate: amounts per nanosecond, averaged over about that long.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingSum {
    /// The sum as of `updated_at`, in whatever unit was added.
    pub(crate) sum: f64,
    /// When it was last decayed.
    pub(crate) updated_at: Nanos,
}

impl DecayingSum {
    /// Decays the sum to `now`, adds an amount and returns the result.
    ///
    /// `time_constant` is in nanoseconds and greater than 0. A `now` before the last update counts as that
    /// update.
    pub(crate) fn add(&mut self, now: Nanos, time_constant: f64, amount: f64) -> f64 {
        debug_assert!(time_constant > 0.0, "time constant {time_constant}");
        self.sum = self.sum * (-(now.saturating_sub(self.updated_at) as f64) / time_constant).exp() + amount;
        self.updated_at = now;
        self.sum
    }

    /// Decays the sum to `now` and returns it.
    pub(crate) fn decay(&mut self, now: Nanos, time_constant: f64) -> f64 {
        self.add(now, time_constant, 0.0)
    }
}

/// One step of an exponentially weighted moving average: `weight`, 0 to 1, is that of the new sample.
pub(crate) fn move_towards(average: &mut f64, sample: f64, weight: f64) {
    debug_assert!((0.0..=1.0).contains(&weight), "weight {weight}");
    *average += weight * (sample - *average);
}
