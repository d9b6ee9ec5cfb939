//! Chance from seeds: a stream of its own for each purpose, and times drawn from a scenario's distributions.

use crate::scenario::{Distribution, Span};
use rand::Rng;
use rand_distr::{Distribution as _, Exp, Gamma, LogNormal, Pareto};
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

/// Why nothing can be drawn from a distribution.
#[derive(Debug, thiserror::Error)]
#[error("{0}: its figures are out of range")]
pub struct Undrawable(String);

/// Draws times from one distribution.
#[derive(Clone, Debug)]
pub enum Draw {
    /// Always this many nanoseconds.
    Fixed(f64),
    /// Between two values, in nanoseconds.
    Uniform(f64, f64),
    /// Exponential.
    Exp(Exp<f64>),
    /// Log-normal.
    LogNormal(LogNormal<f64>),
    /// Gamma.
    Gamma(Gamma<f64>),
    /// Pareto.
    Pareto(Pareto<f64>),
}

impl Draw {
    /// From what a scenario says.
    pub fn new(from: &Distribution) -> Result<Draw, Undrawable> {
        let bad = || Undrawable(format!("{from:?}"));
        let ns = |span: Span| span.nanos() as f64;
        let draw = match *from {
            Distribution::Fixed { mean }
            | Distribution::Exponential { mean }
            | Distribution::Lognormal { mean, .. }
            | Distribution::Gamma { mean, .. }
            | Distribution::Pareto { mean, .. }
                if mean.nanos() == 0 =>
            {
                Draw::Fixed(0.0)
            }
            Distribution::Fixed { mean } => Draw::Fixed(ns(mean)),
            Distribution::Uniform { least, most } if least <= most => Draw::Uniform(ns(least), ns(most)),
            Distribution::Uniform { .. } => return Err(bad()),
            Distribution::Exponential { mean } => Draw::Exp(Exp::new(1.0 / ns(mean)).map_err(|_| bad())?),
            Distribution::Lognormal { mean, cv } => {
                Draw::LogNormal(LogNormal::from_mean_cv(ns(mean), cv).map_err(|_| bad())?)
            }
            Distribution::Gamma { mean, cv } => {
                let variance = cv * cv;
                Draw::Gamma(Gamma::new(1.0 / variance, ns(mean) * variance).map_err(|_| bad())?)
            }
            Distribution::Pareto { mean, shape } if shape > 1.0 => {
                let least = ns(mean) * (shape - 1.0) / shape;
                Draw::Pareto(Pareto::new(least, shape).map_err(|_| bad())?)
            }
            Distribution::Pareto { .. } => return Err(bad()),
        };
        Ok(draw)
    }

    /// One time, in nanoseconds.
    pub fn nanos(&self, chance: &mut Chance) -> u64 {
        let drawn = match self {
            Draw::Fixed(value) => *value,
            Draw::Uniform(least, most) => least + (most - least) * chance.random::<f64>(),
            Draw::Exp(d) => d.sample(chance),
            Draw::LogNormal(d) => d.sample(chance),
            Draw::Gamma(d) => d.sample(chance),
            Draw::Pareto(d) => d.sample(chance),
        };
        drawn as u64 // saturates; a scenario's checks keep means far below
    }
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
    fn every_distribution_has_the_mean_that_it_names() {
        for (text, mean) in [
            (r#"{"dist":"fixed","mean":"3ms"}"#, 3e6),
            (r#"{"dist":"exponential","mean":"3ms"}"#, 3e6),
            (r#"{"dist":"lognormal","mean":"3ms","cv":1.2}"#, 3e6),
            (r#"{"dist":"lognormal","mean":"3ms","cv":0}"#, 3e6),
            (r#"{"dist":"gamma","mean":"3ms","cv":0.5}"#, 3e6),
            (r#"{"dist":"pareto","mean":"3ms","shape":3.0}"#, 3e6),
            (r#"{"dist":"uniform","least":"2ms","most":"4ms"}"#, 3e6),
        ] {
            let draw = Draw::new(&serde_json::from_str(text).unwrap()).unwrap();
            let mut chance = stream(7, "test", 0);
            let sum: f64 = (0..200_000).map(|_| draw.nanos(&mut chance) as f64).sum();
            assert!((sum / 200_000.0 / mean - 1.0).abs() < 0.02, "{text}: {}", sum / 200_000.0);
        }
        let wrong = serde_json::from_str(r#"{"dist":"pareto","mean":"3ms","shape":0.5}"#).unwrap();
        assert!(Draw::new(&wrong).is_err());
    }

    #[test]
    fn weights_are_kept_and_an_empty_choice_is_none() {
        let mut chance = stream(7, "test", 1);
        let hits = (0..10_000).filter(|_| weighted(&[1.0, 0.0, 3.0], &mut chance) == Some(2)).count();
        assert!((7300..7700).contains(&hits), "{hits}");
        assert_eq!(weighted(&[], &mut chance), None);
        assert_eq!(weighted(&[0.0], &mut chance), None);
    }
}
