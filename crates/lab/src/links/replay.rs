//! What passed of a flow of datagrams in the last minute: a sample of it, to be sent again.

use shaletide_testkit::SeededRng;
use shaletide_types::{Micros, Time};
use std::collections::VecDeque;

/// How old a datagram is at most when it is sent again.
pub const REPLAY_AGE: Micros = Micros(60_000_000);
/// One datagram is kept of each such span, so that the store reaches back the whole minute.
pub const REPLAY_SPACING: Micros = Micros(1_000_000);
/// Bytes kept of one flow at most; the oldest go first.
pub const MAX_REPLAY_BYTES: usize = 32 * 1024;

/// The store of one flow.
#[derive(Clone, Debug, Default)]
pub(super) struct Replays {
    kept: VecDeque<(Time, Vec<u8>)>,
    bytes: usize,
}

impl Replays {
    /// A datagram that was let through; a copy of it is kept, or not.
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

    /// One of those kept, each as likely as the others.
    pub fn draw(&mut self, now: Time, rng: &mut SeededRng) -> Option<Vec<u8>> {
        self.forget_old(now);
        let count = self.kept.len() as u64;
        let at = rng.word().checked_rem(count)?;
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
