//! Accessors with which the model checker and the monitors compare engine states.

use super::Engine;
use crate::policy::Policy;
use shaletide_types::*;

impl<P: Policy> Engine<P> {
    /// The pool, deduplication scopes and state of a backend; `None` if no endpoint list has it.
    pub fn listed_backend(
        &self, backend: BackendId,
    ) -> Option<(PoolId, DeduplicationPlacement, BackendState)> {
        self.backends.get(backend).map(|known| (known.pool, known.placement, known.state))
    }

    /// The number of backends in the endpoint lists.
    pub fn listed_backend_count(&self) -> usize {
        self.backends.len()
    }

    /// The idle connections of a backend, the most recently used last.
    pub fn idle_connections_of(&self, backend: BackendId) -> Vec<ConnectionId> {
        self.connections.idle_of(backend)
    }

    /// Whether a connection leads to an address at which its backend no longer listens.
    pub fn is_address_outdated(&self, connection: ConnectionId) -> bool {
        self.connections.get(connection).is_some_and(|known| known.address_outdated)
    }

    /// The time of the last response from each backend.
    pub fn last_responses(&self) -> impl Iterator<Item = (BackendId, Time)> + '_ {
        self.connections.last_responses().iter().map(|(backend, at)| (*backend, *at))
    }

    /// The time of the next sweep for connections past the idle timeout.
    pub fn idle_sweep_at(&self) -> Option<Time> {
        self.connections.idle_sweep_at()
    }

    /// Whether the policy has handled every event and all its actions have been carried out.
    pub fn has_no_pending_events(&self) -> bool {
        self.policy_events.is_empty() && self.policy_actions.is_empty()
    }
}
