//! What the explorer has to see of the engine to tell two states apart.

use super::{Engine, Policy};
use shaletide_types::*;

impl<P: Policy> Engine<P> {
    /// What the lists say of a backend; none where no list has it.
    pub fn listed(&self, backend: BackendId) -> Option<(PoolId, DeduplicationPlacement, BackendState)> {
        self.backends.get(&backend).map(|p| (p.pool, p.placement, p.state))
    }

    /// How many backends the lists have.
    pub fn count_listed(&self) -> usize {
        self.backends.len()
    }

    /// The idle connections of a backend, the most recently used last.
    pub fn idle_of(&self, backend: BackendId) -> Vec<ConnectionId> {
        self.connection_pool.idle_of(backend)
    }

    /// A connection leads to where its backend listened before.
    pub fn is_address_outdated(&self, connection: ConnectionId) -> bool {
        self.connection_pool.all.get(&connection).is_some_and(|c| c.address_outdated)
    }

    /// When something was last heard of each backend.
    pub fn heard(&self) -> impl Iterator<Item = (BackendId, Time)> + '_ {
        self.connection_pool.last_response_at.iter().map(|(backend, at)| (*backend, *at))
    }

    /// When idle connections are looked through next.
    pub fn sweep_at(&self) -> Option<Time> {
        self.idle_sweep_at
    }

    /// Nothing waits inside: every event has been told to the policy and everything that it asked is done.
    pub fn has_no_pending_events(&self) -> bool {
        self.policy_events.is_empty() && self.policy_actions.is_empty()
    }
}
