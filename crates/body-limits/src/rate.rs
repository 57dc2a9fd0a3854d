//! Whether a peer moves as fast as it has to.

use shaletide_types::{Micros, Time};

/// A least rate, and how far a peer may fall behind it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MinimumRate {
    /// Bytes a second; none is asked for where this is 0.
    pub bytes_per_s: u64,
    /// So long a peer may send nothing in the beginning, or after it has kept to the rate: one stall is no crime.
    pub grace: Micros,
}

/// A peer under such a rate.
///
/// A token bucket with time in place of tokens: each byte is worth `1 / least` seconds, and at most `grace` of that is
/// saved up. The peer is too slow when all of it is spent, which one number tells: the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateTracker {
    rate: MinimumRate,
    /// Nothing is left then.
    due: Time,
}

impl RateTracker {
    /// One that begins now.
    pub fn new(rate: MinimumRate, now: Time) -> RateTracker {
        RateTracker { rate, due: now + rate.grace }
    }

    /// So many bytes have come.
    pub fn moved(&mut self, now: Time, bytes: usize) {
        if let Some(worth) = (bytes as u64).saturating_mul(1_000_000).checked_div(self.rate.bytes_per_s) {
            self.due = (self.due + Micros(worth)).min(now + self.rate.grace);
        }
    }

    /// When it is too slow, if nothing comes until then; never where no rate is asked for.
    pub fn due(&self) -> Option<Time> {
        (self.rate.bytes_per_s > 0).then_some(self.due)
    }
}
