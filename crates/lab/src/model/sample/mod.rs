//! Samples from the distributions that scenarios use.

use crate::scenario::Distribution;
use rand::Rng;
use rand_distr::{Distribution as _, Exp1, Gamma, LogNormal, Pareto};

/// Draws durations in nanoseconds.
#[derive(Clone, Copy, Debug)]
pub enum Sampler {
    /// A constant.
    Fixed(f64),
    /// Exponential with this mean.
    Exponential(f64),
    /// Log-normal.
    LogNormal(LogNormal<f64>),
    /// Gamma.
    Gamma(Gamma<f64>),
    /// Pareto.
    Pareto(Pareto<f64>),
    /// Uniform: minimum and width.
    Uniform(f64, f64),
}

impl Sampler {
    /// Creates a sampler for a distribution whose parameters were checked. If the parameters are unusable
    /// nevertheless, every draw is the mean.
    pub fn new(of: &Distribution) -> Sampler {
        let mean = of.mean_s() * 1e9;
        let fixed = Sampler::Fixed(mean);
        match of {
            Distribution::Fixed { .. } => fixed,
            Distribution::Exponential { .. } => Sampler::Exponential(mean),
            Distribution::Lognormal { cv, .. } => {
                let variance = (1.0 + cv * cv).ln();
                let normal = LogNormal::new(mean.ln() - variance / 2.0, variance.sqrt());
                normal.map_or(fixed, Sampler::LogNormal)
            }
            Distribution::Gamma { cv, .. } => {
                let shape = 1.0 / (cv * cv);
                Gamma::new(shape, mean / shape).map_or(fixed, Sampler::Gamma)
            }
            Distribution::Pareto { shape, .. } => {
                Pareto::new(mean * (shape - 1.0) / shape, *shape).map_or(fixed, Sampler::Pareto)
            }
            Distribution::Uniform { least, most } => {
                Sampler::Uniform(least.nanos() as f64, most.nanos().saturating_sub(least.nanos()) as f64)
            }
        }
    }

    /// Draws one value.
    pub fn draw(&self, rng: &mut impl Rng) -> u64 {
        let value = match self {
            Sampler::Fixed(value) => *value,
            Sampler::Exponential(mean) => mean * rng.sample::<f64, _>(Exp1),
            Sampler::LogNormal(d) => d.sample(rng),
            Sampler::Gamma(d) => d.sample(rng),
            Sampler::Pareto(d) => d.sample(rng),
            Sampler::Uniform(least, width) => least + width * rng.random::<f64>(),
        };
        // A heavy tail may yield any value; no request needs more than a day of work.
        value.clamp(0.0, 86_400e9) as u64
    }
}

#[cfg(test)]
mod tests;
