//! The interface to the policy that makes the engine's decisions.

use shaletide_routing::{pools, Pools};
use shaletide_types::Time;

/// Selects backends and decides on retries, rejection and failure. In a program it is [`Pools`].
pub trait Policy {
    /// Handles one event that happened at `now` and appends the resulting actions in order. The engine carries them out
    /// after the call has returned, and declines those that an invariant forbids.
    fn handle(&mut self, now: Time, event: pools::Event, actions: &mut Vec<pools::Action>);
}

impl Policy for Pools {
    fn handle(&mut self, now: Time, event: pools::Event, actions: &mut Vec<pools::Action>) {
        Pools::handle(self, now, event, actions);
    }
}
