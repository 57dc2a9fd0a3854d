//! The lifecycle of a connection as the driver reports it, and its effects on the attempt on it.

use super::Engine;
use crate::connection_pool::ConnectionState;
use crate::event::Action;
use crate::mutant::mutant;
use crate::policy::Policy;
use crate::request::AttemptState;
use shaletide_routing::{pools, ResponseClass};
use shaletide_types::*;

impl<P: Policy> Engine<P> {
    pub(super) fn on_connected(&mut self, now: Time, connection: ConnectionId, actions: &mut Vec<Action>) {
        let Some(opened) = self.connections.get(connection) else { return };
        let ConnectionState::Connecting(waiting) = opened.state else { return };
        let backend = opened.backend;
        if let Some((id, number)) = waiting.filter(|(id, number)| self.may_start(now, *id, *number)) {
            return self.send_request(now, connection, id, number, actions);
        }
        self.keep_connection(now, connection, backend, false, actions);
        if let Some((id, number)) = waiting {
            self.end_attempt(now, id, number, Outcome::NotSent, actions);
        }
    }

    /// If not `backend_at_fault`, the cause is this machine, and the attempt counts as not sent.
    pub(super) fn on_connect_failed(
        &mut self, now: Time, connection: ConnectionId, backend_at_fault: bool, actions: &mut Vec<Action>,
    ) {
        let outcome = if backend_at_fault { Outcome::ConnectFailed } else { Outcome::NotSent };
        let state = self.connections.remove(connection).map(|removed| removed.state);
        if let Some(ConnectionState::Connecting(Some((id, number)))) = state {
            self.end_attempt(now, id, number, outcome, actions);
        }
    }

    pub(super) fn on_request_written(&mut self, connection: ConnectionId) {
        let Some((id, number)) = self.connections.attempt_on(connection) else { return };
        let Some(attempt) = self.requests.attempt_mut(id, number) else { return };
        if attempt.state == AttemptState::Writing(connection) {
            attempt.state = AttemptState::Written(connection);
        }
    }

    /// Ignores reports from an outdated address and from a backend that no endpoint list has.
    pub(super) fn on_load_reported(&mut self, connection: ConnectionId, report: LoadReport) {
        let Some(known) = self.connections.get(connection) else { return };
        if known.address_outdated {
            return;
        }
        let backend = known.backend;
        if let Some(listed) = self.backends.get(backend) {
            self.policy_events.push_back(pools::Event::LoadReported { pool: listed.pool, backend, report });
        }
    }

    /// Handles a complete response. `reusable`: the connection may be used again after it.
    pub(super) fn on_response(
        &mut self, now: Time, connection: ConnectionId, class: ResponseClass, reusable: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some((id, number)) = self.connections.attempt_on(connection) else { return };
        let Some(attempt) = self.requests.attempt(id, number) else { return };
        let state = attempt.state;
        let backend = attempt.backend;
        if self.backends.contains(backend) {
            self.connections.record_response(now, backend);
        }
        match state {
            // The driver is already closing the connection.
            AttemptState::Cancelling(..) => drop(self.connections.remove(connection)),
            // Otherwise the unwritten rest of this request would be sent ahead of the next one.
            AttemptState::Written(_) if reusable => {
                self.keep_connection(now, connection, backend, true, actions)
            }
            _ => self.close_connection(connection, actions),
        }
        let outcome = match class {
            ResponseClass::Served => Outcome::Ok,
            ResponseClass::NotExecuted => Outcome::Rejected,
            ResponseClass::Error => Outcome::Error,
        };
        self.settle_attempt(now, id, number, outcome, true, actions);
    }

    /// Handles an invalid response, or a connection that ended before a complete response. The attempt ends with
    /// `outcome` if the request was completely written; a backend executes nothing before its last byte.
    pub(super) fn on_connection_lost(
        &mut self, now: Time, connection: ConnectionId, outcome: Outcome, actions: &mut Vec<Action>,
    ) {
        let attempt_on = self.connections.attempt_on(connection);
        self.close_connection(connection, actions);
        let Some((id, number)) = attempt_on else { return };
        let Some(attempt) = self.requests.attempt(id, number) else { return };
        let may_have_executed = match attempt.state {
            AttemptState::Written(_) | AttemptState::Cancelling(..) => {
                !mutant!(self.mutant, NotExecutedAfterLastByte)
            }
            _ => false,
        };
        let outcome = if may_have_executed { outcome } else { Outcome::ConnectFailed };
        self.end_attempt(now, id, number, outcome, actions);
    }

    /// Handles a connection on which no byte was written: an attempt that was being sent on it starts again.
    pub(super) fn on_connection_unusable(
        &mut self, now: Time, connection: ConnectionId, actions: &mut Vec<Action>,
    ) {
        let attempt_on = self.connections.attempt_on(connection);
        self.close_connection(connection, actions);
        let Some((id, number)) = attempt_on else { return };
        let Some(attempt) = self.requests.attempt_mut(id, number) else { return };
        let state = attempt.state;
        if let AttemptState::Written(_) = state {
            return self.end_attempt(now, id, number, Outcome::Reset, actions);
        }
        attempt.state = AttemptState::NotStarted; // so that its intent can be withdrawn
        self.requests.update_delivery_deadline(id, self.mutant);
        match state {
            AttemptState::Writing(_) => self.start_attempt(now, id, number, actions),
            _ => self.end_attempt(now, id, number, Outcome::NotSent, actions),
        }
    }

    /// Handles the end of a close that the engine requested. `written`: the last byte of the request had been written.
    pub(super) fn on_close_completed(
        &mut self, now: Time, connection: ConnectionId, written: bool, actions: &mut Vec<Action>,
    ) {
        let attempt_on = self.connections.attempt_on(connection);
        self.connections.remove(connection);
        let Some((id, number)) = attempt_on else { return };
        let state = self.requests.attempt(id, number).map(|attempt| attempt.state);
        if let Some(AttemptState::Cancelling(_, outcome)) = state {
            let outcome = if written { outcome } else { Outcome::NotSent };
            self.end_attempt(now, id, number, outcome, actions);
        }
    }

    /// Keeps a connection as idle if its backend is ready and its address is current; else closes it. `used`: the
    /// connection has received a response.
    fn keep_connection(
        &mut self, now: Time, connection: ConnectionId, backend: BackendId, used: bool,
        actions: &mut Vec<Action>,
    ) {
        let is_outdated = self.connections.get(connection).is_some_and(|known| known.address_outdated);
        if is_outdated || !self.backends.is_ready(backend) {
            return self.close_connection(connection, actions);
        }
        self.connections.make_idle(now, connection, used);
    }

    pub(super) fn close_connection(&mut self, connection: ConnectionId, actions: &mut Vec<Action>) {
        if self.connections.remove(connection).is_some() {
            actions.push(Action::Close { connection });
        }
    }

    /// Closes the idle connections of a backend that has not responded since `dispatched_at`, when an attempt dispatched
    /// then is cancelled without a response. The backend may be unreachable and its idle connections dead without having
    /// been closed. A request written to a dead connection counts as possibly executed, while a failure to open a new
    /// connection proves that it was not.
    pub(super) fn close_suspect_connections(
        &mut self, backend: BackendId, dispatched_at: Time, actions: &mut Vec<Action>,
    ) {
        if self.connections.has_responded_since(backend, dispatched_at) {
            return;
        }
        for connection in self.connections.idle_of(backend) {
            self.close_connection(connection, actions);
        }
    }
}
