//! Checks that a peer sends at a minimum rate.

use shaletide_types::{Micros, Time};

/// A minimum rate, and the time by which a peer may fall behind it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MinimumRate {
    /// The minimum rate in bytes per second; 0: no rate is required.
    pub bytes_per_s: u64,
    /// How long a peer may send nothing at the start, or after it has sent at the minimum rate.
    pub grace: Micros,
}

/// Compares the bytes from one peer with a minimum rate.
///
/// This is a token bucket whose tokens are time: each byte earns `1 / bytes_per_s` seconds, up to a maximum of `grace`. The
/// peer is too slow when the bucket is empty. This time is known in advance: [`RateTracker::slow_at`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateTracker {
    rate: MinimumRate,
    /// When the bucket is empty.
    slow_at: Time,
}

impl RateTracker {
    /// Starts to track a peer that may send from `now` on.
    pub fn new(rate: MinimumRate, now: Time) -> RateTracker {
        RateTracker { rate, slow_at: now + rate.grace }
    }

    /// Records received bytes.
    pub fn on_bytes(&mut self, now: Time, bytes: usize) {
        if let Some(earned_us) = (bytes as u64).saturating_mul(1_000_000).checked_div(self.rate.bytes_per_s) {
            self.slow_at = (self.slow_at + Micros(earned_us)).min(now + self.rate.grace);
        }
    }

    /// The time at which the peer is too slow if it sends nothing before; `None`: no rate is required.
    pub fn slow_at(&self) -> Option<Time> {
        (self.rate.bytes_per_s > 0).then_some(self.slow_at)
    }
}
