//! Chance from seeds: a stream of its own for each purpose.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A stream of chance.
pub type Chance = Pcg64Mcg;

/// The stream for a purpose; streams of other purposes or numbers do not depend on it.
pub fn stream(seed: u64, purpose: &str, number: u64) -> Chance {
    let low = xxh3_64_with_seed(purpose.as_bytes(), seed);
    let high = xxh3_64_with_seed(&number.to_le_bytes(), low);
    Pcg64Mcg::new(u128::from(high) << 64 | u128::from(low))
}

/// An exponential time of this mean, in nanoseconds.
pub fn exponential(mean: f64, chance: &mut Chance) -> u64 {
    (-mean * (1.0 - chance.random::<f64>()).ln()) as u64
}

/// An index, each with the chance that its weight gives it; none where no weight is above 0.
pub fn weighted(weights: &[f64], chance: &mut Chance) -> Option<usize> {
    let total: f64 = weights.iter().sum();
    let mut left = chance.random::<f64>() * total;
    let fits = |weight: &f64| {
        left -= weight;
        left < 0.0
    };
    weights.iter().position(fits).or_else(|| weights.iter().rposition(|w| *w > 0.0))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn weights_are_kept_and_an_empty_choice_is_none() {
        let mut chance = stream(7, "test", 1);
        let hits = (0..10_000).filter(|_| weighted(&[1.0, 0.0, 3.0], &mut chance) == Some(2)).count();
        assert!((7300..7700).contains(&hits), "{hits}");
        assert_eq!(weighted(&[], &mut chance), None);
        assert_eq!(weighted(&[0.0], &mut chance), None);
    }
}
