//! The seeded generator and the distributions that sites are drawn from.

use crate::model::Range;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// The least and the greatest ratio between the two ends of a drawn range.
const RANGE_RATIO: (f64, f64) = (1.2, 2.0);

/// A random generator that returns the same values for the same seed. Real values are rounded to three significant
/// digits.
#[derive(Clone, Debug)]
pub struct SeededRng(Pcg32);

impl SeededRng {
    /// Returns a generator with that seed.
    pub fn from_seed(seed: u64) -> SeededRng {
        SeededRng(Pcg32::seed_from_u64(seed))
    }

    /// Returns a seed for a generator that is independent of this one.
    pub fn next_seed(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// Returns a value that is uniform over [0, 1).
    fn unit(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }

    /// Returns true with that probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }

    /// Returns a value that is uniform between two values.
    pub fn uniform(&mut self, low: f64, high: f64) -> f64 {
        round(low + (high - low) * self.unit())
    }

    /// Returns a value that is log-uniform between two positive values: equal ratios are equally likely.
    pub fn log_uniform(&mut self, low: f64, high: f64) -> f64 {
        round(low * (high / low).powf(self.unit()))
    }

    /// Returns an integer from `low` to `high`, both included.
    pub fn integer(&mut self, low: u32, high: u32) -> u32 {
        let choices = u64::from(high - low) + 1;
        let offset = (u64::from(self.0.next_u32()) * choices) >> 32;
        low + offset as u32
    }

    /// Returns one of the options, each with the same probability.
    ///
    /// # Panics
    /// If there are no options.
    pub fn pick<T: Copy>(&mut self, options: &[T]) -> T {
        options[self.index(options.len())]
    }

    /// Returns `count` different options in random order; all of them if there are fewer.
    pub fn sample<T: Copy>(&mut self, options: &[T], count: usize) -> Vec<T> {
        let mut rest = options.to_vec();
        let mut chosen = Vec::with_capacity(count);
        while chosen.len() < count && !rest.is_empty() {
            let at = self.index(rest.len());
            chosen.push(rest.swap_remove(at));
        }
        chosen
    }

    /// Returns a range between `low` and `high` (both positive, at least a factor of 2 apart) whose ends are 1.2 to 2
    /// times apart.
    pub fn range(&mut self, low: f64, high: f64) -> Range<f64> {
        let ratio = self.uniform(RANGE_RATIO.0, RANGE_RATIO.1);
        let start = self.log_uniform(low, high / ratio);
        Range { low: start, high: round(start * ratio).min(high) }
    }

    /// Returns a range from zero to a value between a fifth of `most` and `most`.
    pub fn range_from_zero(&mut self, most: f64) -> Range<f64> {
        Range { low: 0.0, high: self.uniform(most / 5.0, most) }
    }

    /// Returns a range of integers whose start is from `low` to `high`; its end is a quarter to a half above its start.
    pub fn integer_range(&mut self, low: u32, high: u32) -> Range<u32> {
        let start = self.integer(low, high);
        Range { low: start, high: start + self.integer(start.div_ceil(4), start.div_ceil(2)) }
    }

    fn index(&mut self, len: usize) -> usize {
        let last = u32::try_from(len - 1).expect("fewer than 2^32 options");
        self.integer(0, last) as usize
    }
}

/// Rounds a value to three significant digits.
pub fn round(value: f64) -> f64 {
    format!("{value:.2e}").parse().expect("a formatted float parses")
}
