//! What the model checker and the monitors read of the engine to tell two states apart.

use super::Engine;
use crate::policy::Policy;
use shaletide_types::*;

impl<P: Policy> Engine<P> {
    /// What the lists say of a backend; none where no list has it.
    pub fn listed_backend(
        &self, backend: BackendId,
    ) -> Option<(PoolId, DeduplicationPlacement, BackendState)> {
        self.backends.get(backend).map(|known| (known.pool, known.placement, known.state))
    }

    /// How many backends the lists have.
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

    /// When the last response came from each backend.
    pub fn last_responses(&self) -> impl Iterator<Item = (BackendId, Time)> + '_ {
        self.connections.last_responses().iter().map(|(backend, at)| (*backend, *at))
    }

    /// When connections that were idle for too long are closed next.
    pub fn idle_sweep_at(&self) -> Option<Time> {
        self.connections.idle_sweep_at()
    }

    /// Whether the policy has been told every event and all that it asked for has been carried out.
    pub fn has_no_pending_events(&self) -> bool {
        self.policy_events.is_empty() && self.policy_actions.is_empty()
    }
}
