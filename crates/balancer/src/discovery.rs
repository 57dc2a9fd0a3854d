//! The schedule of discovery polls, where discovery does not push changes.

use crate::interface::DiscoveryMode;
use shaletide_types::*;

/// Minimum backoff after a lost subscription, s.
const MIN_BACKOFF_S: f64 = 0.1;
/// The maximum backoff is the time after which a proxy is assumed to know of a change, divided by this number.
const MAX_BACKOFF_DIVISOR: f64 = 8.0;
/// Fraction of the time after which a proxy is assumed to know of a change, after which an unanswered poll is repeated:
/// the call itself may have been lost.
const UNANSWERED_FRACTION: f64 = 0.5;

/// The schedule of discovery polls.
#[derive(Clone, Debug)]
pub(crate) struct DiscoveryPoll {
    /// When the next poll is due; `None` where changes are pushed, or a subscription is in place.
    due_at: Option<Time>,
    /// The last backoff, s; 0 after a list has arrived.
    backoff_s: f64,
}

impl DiscoveryPoll {
    pub fn new(mode: DiscoveryMode) -> DiscoveryPoll {
        let due_at = match mode {
            DiscoveryMode::Push => None,
            DiscoveryMode::Subscribe(_) => Some(Time(0)),
        };
        DiscoveryPoll { due_at, backoff_s: 0.0 }
    }

    pub fn due_at(&self) -> Option<Time> {
        self.due_at
    }

    /// Records that a list has arrived: the subscription is in place.
    pub fn on_list(&mut self) {
        self.due_at = None;
        self.backoff_s = 0.0;
    }

    /// Schedules the next poll after a lost subscription, with a backoff that doubles each time. `random` is a random
    /// number from 0 to 1 that keeps proxies from polling in step. Returns the wait, s.
    pub fn on_subscription_lost(&mut self, now: Time, assumed_known_after: Micros, random: f64) -> f64 {
        let max_s = (assumed_known_after.secs() / MAX_BACKOFF_DIVISOR).max(MIN_BACKOFF_S);
        self.backoff_s = (self.backoff_s * 2.0).clamp(MIN_BACKOFF_S, max_s);
        let wait_s = self.backoff_s * (0.5 + random);
        self.due_at = Some(now + Micros::from_secs(wait_s));
        wait_s
    }

    /// Returns whether to poll now. If so, schedules the repetition for the case that this poll stays unanswered.
    pub fn poll_if_due(&mut self, now: Time, mode: DiscoveryMode) -> bool {
        let DiscoveryMode::Subscribe(assumed_known_after) = mode else { return false };
        if self.due_at.is_none_or(|at| now < at) {
            return false;
        }
        self.due_at = Some(now + assumed_known_after.times(UNANSWERED_FRACTION));
        true
    }
}
