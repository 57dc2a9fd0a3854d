//! A sample of a flow's datagrams of the last minute, for replay.

use shaletide_testkit::SeededRng;
use shaletide_types::{Micros, Time};
use std::collections::VecDeque;

/// Maximum age of a replayed datagram.
pub const REPLAY_AGE: Micros = Micros(60_000_000);
/// One datagram is kept per such span, so that the sample covers the whole minute.
pub const REPLAY_SPACING: Micros = Micros(1_000_000);
/// Maximum number of bytes kept of one flow; the oldest are evicted.
pub const MAX_REPLAY_BYTES: usize = 32 * 1024;

/// The sample of one flow.
#[derive(Clone, Debug, Default)]
pub(super) struct Replays {
    kept: VecDeque<(Time, Vec<u8>)>,
    bytes: usize,
}

impl Replays {
    /// Offers a datagram that passed; a copy may be kept.
    pub fn keep(&mut self, now: Time, datagram: &[u8]) {
        let recent = self.kept.back().is_some_and(|(at, _)| now - *at < REPLAY_SPACING);
        if recent || datagram.len() > MAX_REPLAY_BYTES {
            return;
        }
        self.bytes += datagram.len();
        self.kept.push_back((now, datagram.to_vec()));
        while self.bytes > MAX_REPLAY_BYTES {
            self.forget_oldest();
        }
        self.forget_old(now);
    }

    /// One of the kept datagrams, uniformly at random.
    pub fn draw(&mut self, now: Time, rng: &mut SeededRng) -> Option<Vec<u8>> {
        self.forget_old(now);
        let count = self.kept.len() as u64;
        let at = rng.next_u64().checked_rem(count)?;
        Some(self.kept[at as usize].1.clone())
    }

    fn forget_old(&mut self, now: Time) {
        while self.kept.front().is_some_and(|(at, _)| now - *at > REPLAY_AGE) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, datagram)) = self.kept.pop_front() {
            self.bytes -= datagram.len();
        }
    }
}

#[cfg(test)]
mod tests;
