//! Seeded random streams, a separate one for each purpose.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A random stream.
pub type RandomStream = Pcg64Mcg;

/// Returns the stream for a purpose. It is independent of the streams of other purposes and numbers.
pub fn stream(seed: u64, purpose: &str, number: u64) -> RandomStream {
    let low = xxh3_64_with_seed(purpose.as_bytes(), seed);
    let high = xxh3_64_with_seed(&number.to_le_bytes(), low);
    Pcg64Mcg::new(u128::from(high) << 64 | u128::from(low))
}

/// Draws an exponentially distributed time with this mean, in nanoseconds.
pub fn exponential(mean: f64, rng: &mut RandomStream) -> u64 {
    (-mean * (1.0 - rng.random::<f64>()).ln()) as u64
}

/// Draws an index with a probability proportional to its weight. Returns `None` if no weight is above 0.
pub fn weighted(weights: &[f64], rng: &mut RandomStream) -> Option<usize> {
    let total: f64 = weights.iter().sum();
    let mut left = rng.random::<f64>() * total;
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
    fn indices_are_drawn_by_weight_and_none_without_weights() {
        let mut rng = stream(7, "test", 1);
        let hits = (0..10_000).filter(|_| weighted(&[1.0, 0.0, 3.0], &mut rng) == Some(2)).count();
        assert!((7300..7700).contains(&hits), "{hits}");
        assert_eq!(weighted(&[], &mut rng), None);
        assert_eq!(weighted(&[0.0], &mut rng), None);
    }
}
