//! What the engine asks for decisions.

use shaletide_routing::{pools, Pools};
use shaletide_types::Time;

/// Selects backends and decides on retries, rejection and failure; in a program [`Pools`].
pub trait Policy {
    /// Handles one event that happened at `now` and adds the actions that it calls for, in order. The engine
    /// carries them out after the call has returned, and declines what an invariant forbids.
    fn handle(&mut self, now: Time, event: pools::Event, actions: &mut Vec<pools::Action>);
}

impl Policy for Pools {
    fn handle(&mut self, now: Time, event: pools::Event, actions: &mut Vec<pools::Action>) {
        Pools::handle(self, now, event, actions);
    }
}
