//! Seeded random numbers and the distributions of work, waits and gaps between arrivals.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// A random number generator that is deterministic for a seed.
#[derive(Clone, Debug)]
pub struct SeededRng(Pcg32);

impl SeededRng {
    /// Returns the generator of that seed.
    pub fn new(seed: u64) -> SeededRng {
        SeededRng(Pcg32::seed_from_u64(seed))
    }

    /// Returns the generator of a name. It depends on seed and name alone, not on the order of calls.
    pub fn named(seed: u64, name: &str) -> SeededRng {
        let fold = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3); // FNV-1a
        SeededRng::new(name.bytes().fold(0xcbf2_9ce4_8422_2325 ^ seed, fold))
    }

    /// Returns a number that is uniformly distributed over (0, 1), both ends excluded.
    pub fn uniform(&mut self) -> f64 {
        (f64::from(self.0.next_u32()) + 0.5) / (f64::from(u32::MAX) + 1.0)
    }

    /// Returns `true` with that probability.
    pub fn chance(&mut self, chance: f64) -> bool {
        self.uniform() < chance
    }

    /// Returns 64 random bits.
    pub fn next_u64(&mut self) -> u64 {
        self.0.next_u64()
    }

    fn normal(&mut self) -> f64 {
        let (a, b) = (self.uniform(), self.uniform());
        (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos()
    }
}

/// The distribution of a quantity that is not negative.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Distribution {
    /// Always this value.
    Fixed(f64),
    /// Uniform between two bounds.
    Even(f64, f64),
    /// Exponential with this mean.
    Exponential(f64),
    /// Log-normal with this mean and this ratio of standard deviation to mean.
    LogNormal(f64, f64),
}

impl Distribution {
    /// Draws a value.
    pub fn sample(&self, rng: &mut SeededRng) -> f64 {
        let value = match *self {
            Distribution::Fixed(value) => value,
            Distribution::Even(from, to) => from + (to - from) * rng.uniform(),
            Distribution::Exponential(mean) => -rng.uniform().ln() * mean,
            Distribution::LogNormal(mean, cv) => {
                let variance = (1.0 + cv * cv).ln();
                mean * (variance.sqrt() * rng.normal() - variance / 2.0).exp()
            }
        };
        value.max(0.0)
    }

    /// Returns the mean.
    pub fn mean(&self) -> f64 {
        match *self {
            Distribution::Fixed(mean)
            | Distribution::Exponential(mean)
            | Distribution::LogNormal(mean, _) => mean,
            Distribution::Even(from, to) => (from + to) / 2.0,
        }
    }
}

#[cfg(test)]
mod tests;
