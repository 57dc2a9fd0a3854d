//! The single timer of a balancer, set for the earliest time at which time-driven work is due.

use crate::interface::Action;
use shaletide_types::*;

/// Each time the timer is set it has a new token, so that a timer that was set earlier has no effect when it fires.
#[derive(Clone, Debug)]
pub(crate) struct Timer {
    /// When time-driven work is next due.
    due_at: Time,
    /// Token of the timer that was set last.
    token: u64,
    /// When that timer fires; the maximum time where none is set.
    set_for: Time,
}

impl Timer {
    /// Creates a timer that is due at once and not set.
    pub fn new() -> Timer {
        Timer { due_at: Time(0), token: 0, set_for: Time(u64::MAX) }
    }

    pub fn is_due(&self, now: Time) -> bool {
        now >= self.due_at
    }

    /// Makes the timer due at this time, whatever it was due at before.
    pub fn set_due(&mut self, at: Time) {
        self.due_at = at;
    }

    /// Makes the timer due at this time or earlier.
    pub fn due_by(&mut self, at: Time) {
        self.due_at = self.due_at.min(at);
    }

    /// Handles a timer that fired. Returns whether the token is that of the timer that was set last.
    pub fn fire(&mut self, token: TimerToken) -> bool {
        let is_current = token == TimerToken(self.token);
        if is_current {
            self.set_for = Time(u64::MAX);
        }
        is_current
    }

    /// Returns the action that sets the timer, unless one is set that fires early enough. The timer fires after
    /// `min_interval` at the earliest.
    pub fn set_if_needed(&mut self, now: Time, min_interval: Micros) -> Option<Action> {
        if self.due_at >= self.set_for {
            return None;
        }
        self.token += 1;
        self.set_for = self.due_at;
        let after = (self.due_at - now).max(min_interval);
        Some(Action::SetTimer { token: TimerToken(self.token), after })
    }
}
