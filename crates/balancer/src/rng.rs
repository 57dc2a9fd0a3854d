//! Random numbers of the decisions.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// The proxy's own random numbers, the same on every machine for the same seed.
#[derive(Clone, Debug)]
pub(crate) struct Rng(Pcg32);

impl Rng {
    pub fn new(seed: u64) -> Rng {
        Rng(Pcg32::seed_from_u64(seed))
    }

    /// Even from 0 up to 1.
    pub fn next_unit(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / 4_294_967_296.0
    }

    /// One of the items, each with its weight.
    pub fn pick_weighted<T: Copy>(&mut self, weighted: &[(T, f64)]) -> Option<T> {
        let mut left = self.next_unit() * weighted.iter().map(|w| w.1).sum::<f64>();
        let mut hit = |w: &&(T, f64)| {
            left -= w.1;
            left < 0.0
        };
        weighted.iter().find(&mut hit).or(weighted.last()).map(|w| w.0)
    }
}
