//! The random number generator of the balancer.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// A generator that returns the same numbers on every machine for the same seed.
#[derive(Clone, Debug)]
pub(crate) struct Rng(Pcg32);

impl Rng {
    pub fn new(seed: u64) -> Rng {
        Rng(Pcg32::seed_from_u64(seed))
    }

    /// Returns a number from 0 up to, but not including, 1.
    pub fn next_unit(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / 4_294_967_296.0
    }

    /// Returns one of the items, each with a probability in proportion to its weight. Draws exactly one number, even
    /// where there is no item.
    pub fn pick_weighted<T: Copy>(&mut self, weighted: &[(T, f64)]) -> Option<T> {
        let total: f64 = weighted.iter().map(|(_, weight)| weight).sum();
        let mut remaining = self.next_unit() * total;
        for (item, weight) in weighted {
            remaining -= weight;
            if remaining < 0.0 {
                return Some(*item);
            }
        }
        // Reached if all weights are 0, or by rounding of the sum.
        weighted.last().map(|(item, _)| *item)
    }
}
