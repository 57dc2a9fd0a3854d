//! Whether a peer sends as fast as it has to.

use shaletide_types::{Micros, Time};

/// A minimum rate, and how far a peer may fall behind it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MinimumRate {
    /// In bytes per second; 0: none is required.
    pub bytes_per_s: u64,
    /// How long a peer may send nothing at the beginning, or after it has kept to the rate.
    pub grace: Micros,
}

/// Tracks one peer against a minimum rate.
///
/// A token bucket with time for tokens: each byte is worth `1 / bytes_per_s` seconds, and at most `grace` is saved up.
/// The peer is too slow when nothing is left, which is a single moment: [`RateTracker::due`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateTracker {
    rate: MinimumRate,
    /// When nothing is left.
    due: Time,
}

impl RateTracker {
    /// A peer that begins to send now.
    pub fn new(rate: MinimumRate, now: Time) -> RateTracker {
        RateTracker { rate, due: now + rate.grace }
    }

    /// That many bytes have come.
    pub fn on_bytes(&mut self, now: Time, bytes: usize) {
        if let Some(earned_us) = (bytes as u64).saturating_mul(1_000_000).checked_div(self.rate.bytes_per_s) {
            self.due = (self.due + Micros(earned_us)).min(now + self.rate.grace);
        }
    }

    /// When the peer is too slow if nothing comes until then; `None`: no rate is required.
    pub fn due(&self) -> Option<Time> {
        (self.rate.bytes_per_s > 0).then_some(self.due)
    }
}
