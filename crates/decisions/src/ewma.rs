//! Exponentially weighted sums and averages.
//!
//! [`DecayingSum`] weights by age (a time constant), [`move_towards`] by the number of samples (a fixed
//! weight). All modules that learn from traffic use these two. This module only does arithmetic and has no
//! clock.

use crate::id::Nanos;

#[cfg(test)]
mod tests;

/// A sum whose terms decay exponentially with age.
///
/// Divided by the time constant, it is a rate per nanosecond, averaged over about that time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingSum {
    /// The sum as of `updated_at`, in the unit of the amounts added.
    pub(crate) sum: f64,
    /// The time of the last decay.
    pub(crate) updated_at: Nanos,
}

impl DecayingSum {
    /// Decays the sum to `now`, adds an amount and returns the result.
    ///
    /// `time_constant` is in nanoseconds and greater than 0. A `now` before the last update causes no
    /// decay.
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

/// Updates an exponentially weighted moving average with a sample of the given weight, from 0 to 1.
pub(crate) fn move_towards(average: &mut f64, sample: f64, weight: f64) {
    debug_assert!((0.0..=1.0).contains(&weight), "weight {weight}");
    *average += weight * (sample - *average);
}
