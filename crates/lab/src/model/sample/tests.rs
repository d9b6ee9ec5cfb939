//! Checks the mean and the coefficient of variation of each distribution.

use super::*;
use crate::scenario::Span;
use rand::SeedableRng;

#[test]
fn samples_have_the_mean_and_spread_of_their_distribution() {
    let mean = Span::from_nanos(10_000_000);
    let all = [
        (Distribution::Fixed { mean }, 0.0),
        (Distribution::Exponential { mean }, 1.0),
        (Distribution::Lognormal { mean, cv: 0.7 }, 0.7),
        (Distribution::Gamma { mean, cv: 0.5 }, 0.5),
        (Distribution::Pareto { mean, shape: 6.0 }, (1.0 / (6.0 * 4.0f64)).sqrt()),
        (
            Distribution::Uniform { least: Span::default(), most: Span::from_nanos(20_000_000) },
            1.0 / 3f64.sqrt(),
        ),
    ];
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(1);
    for (distribution, cv) in all {
        let sampler = Sampler::new(&distribution);
        let draws: Vec<f64> = (0..200_000).map(|_| sampler.draw(&mut rng) as f64 / 1e7).collect();
        let mean = draws.iter().sum::<f64>() / draws.len() as f64;
        let variance = draws.iter().map(|d| (d - mean).powi(2)).sum::<f64>() / draws.len() as f64;
        assert!((mean - 1.0).abs() < 0.01, "{distribution:?}: mean {mean}");
        assert!((variance.sqrt() - cv).abs() < 0.02, "{distribution:?}: cv {}", variance.sqrt());
    }
}
