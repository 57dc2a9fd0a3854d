//! Seeded chance: laws of work and waits, parts, gaps between arrivals.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// Random numbers, the same for the same seed.
#[derive(Clone, Debug)]
pub struct SeededRng(Pcg32);

impl SeededRng {
    /// The generator of that seed.
    pub fn new(seed: u64) -> SeededRng {
        SeededRng(Pcg32::seed_from_u64(seed))
    }

    /// The generator that belongs to a name: the same under the same seed wherever and whenever it is met.
    pub fn named(seed: u64, name: &str) -> SeededRng {
        let fold = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3); // FNV-1a
        SeededRng::new(name.bytes().fold(0xcbf2_9ce4_8422_2325 ^ seed, fold))
    }

    /// Even over (0, 1), neither end included.
    pub fn uniform(&mut self) -> f64 {
        (f64::from(self.0.next_u32()) + 0.5) / (f64::from(u32::MAX) + 1.0)
    }

    /// Whether something of that chance happens.
    pub fn chance(&mut self, chance: f64) -> bool {
        self.uniform() < chance
    }

    /// A number that is hardly met twice.
    pub fn next_u64(&mut self) -> u64 {
        self.0.next_u64()
    }

    fn normal(&mut self) -> f64 {
        let (a, b) = (self.uniform(), self.uniform());
        (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos()
    }
}

/// The law of a quantity that is not negative.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Distribution {
    /// Always the same.
    Fixed(f64),
    /// Even between two bounds.
    Even(f64, f64),
    /// Exponential, of that mean.
    Exponential(f64),
    /// Log-normal, of that mean and that ratio of deviation to mean.
    LogNormal(f64, f64),
}

impl Distribution {
    /// A value of this law.
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

    /// Its mean.
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
