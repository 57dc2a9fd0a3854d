//! The one timer of a balancer: it is set for the earliest time at which time alone calls for anything.

use crate::interface::Action;
use shaletide_types::*;

/// Each time that it is set it gets a token of its own: one set before has no effect when it fires.
#[derive(Clone, Debug)]
pub(crate) struct Timer {
    /// When time alone may next call for something.
    due_at: Time,
    /// Token of the timer that was set last, ...
    token: u64,
    /// ... and when it fires; the end of time where none is set.
    set_for: Time,
}

impl Timer {
    /// Due at once, and not set.
    pub fn new() -> Timer {
        Timer { due_at: Time(0), token: 0, set_for: Time(u64::MAX) }
    }

    pub fn is_due(&self, now: Time) -> bool {
        now >= self.due_at
    }

    /// Makes the timer due at that time, whatever it was due at before.
    pub fn set_due(&mut self, at: Time) {
        self.due_at = at;
    }

    /// Makes the timer due at that time or earlier.
    pub fn due_by(&mut self, at: Time) {
        self.due_at = self.due_at.min(at);
    }

    /// Whether the token is that of the timer that was set last; that timer has fired then.
    pub fn fire(&mut self, token: TimerToken) -> bool {
        let is_current = token == TimerToken(self.token);
        if is_current {
            self.set_for = Time(u64::MAX);
        }
        is_current
    }

    /// Sets a timer, `min_interval` from now at the earliest, unless one is set that fires early enough.
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
