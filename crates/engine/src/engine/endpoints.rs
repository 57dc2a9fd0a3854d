//! Handles endpoint list changes: which backends take new requests, and which connections are closed.

use super::Engine;
use crate::connection_pool::ConnectionState;
use crate::event::Action;
use crate::mutant::mutant;
use crate::policy::Policy;
use shaletide_routing::pools;
use shaletide_types::*;

impl<P: Policy> Engine<P> {
    pub(super) fn update_endpoints(
        &mut self, now: Time, pool: PoolId, update: EndpointUpdate, entries: Vec<BackendEntry>,
        actions: &mut Vec<Action>,
    ) {
        let is_complete = matches!(update, EndpointUpdate::Snapshot | EndpointUpdate::Cached)
            && !mutant!(self.mutant, DrainMissedInSnapshot);
        let not_ready = self.backends.apply_update(pool, &entries, is_complete);
        self.policy_events.push_back(pools::Event::EndpointsUpdated { pool, update, backends: entries });
        for changed in not_ready {
            if changed.removed {
                self.connections.remove_last_response(changed.backend);
            }
            self.close_unused_connections(now, changed.backend, actions);
        }
    }

    pub(super) fn on_backend_moved(&mut self, backend: BackendId, from: PoolId, to: PoolId) {
        self.backends.move_to_pool(backend, to);
        self.policy_events.push_back(pools::Event::BackendMoved { backend, from, to });
    }

    pub(super) fn on_address_changed(&mut self, now: Time, backend: BackendId, actions: &mut Vec<Action>) {
        self.connections.mark_address_outdated(backend);
        self.close_unused_connections(now, backend, actions);
    }

    pub(super) fn on_pool_closed(&mut self, now: Time, pool: PoolId, actions: &mut Vec<Action>) {
        self.update_endpoints(now, pool, EndpointUpdate::Snapshot, Vec::new(), actions);
        self.policy_events.push_back(pools::Event::PoolClosed { pool });
    }

    /// Closes the backend's idle connections and those that are being opened, so that nothing new is sent on them. Busy
    /// connections are closed when their attempts end.
    fn close_unused_connections(&mut self, now: Time, backend: BackendId, actions: &mut Vec<Action>) {
        for connection in self.connections.idle_of(backend) {
            self.close_connection(connection, actions);
        }
        let of_backend = self.connections.all().iter().filter(|(_, known)| known.backend == backend);
        let states: Vec<(ConnectionId, ConnectionState)> =
            of_backend.map(|(connection, known)| (*connection, known.state)).collect();
        for (connection, state) in states {
            match state {
                ConnectionState::Connecting(Some((request, attempt)))
                    if !mutant!(self.mutant, StaleDrainState) =>
                {
                    self.close_connection(connection, actions);
                    self.end_attempt(now, request, attempt, Outcome::NotSent, actions);
                }
                ConnectionState::Connecting(None) => self.close_connection(connection, actions),
                ConnectionState::Connecting(Some(_))
                | ConnectionState::Idle { .. }
                | ConnectionState::Busy(..) => {}
            }
        }
    }
}
