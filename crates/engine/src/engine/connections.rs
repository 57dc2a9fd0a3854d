//! The life of a connection as the driver reports it, and what that means for the attempt on it.

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

    /// `backend_at_fault`: else the cause is this machine, and the attempt counts as not sent.
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

    /// A report from an outdated address, or of a backend that no list has, is ignored.
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

    /// A complete response came; `reusable`: the connection may be used again after it.
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
            // The driver has been asked to close it.
            AttemptState::Cancelling(..) => drop(self.connections.remove(connection)),
            // Before the last byte was written, the rest of this request would go out ahead of the next one.
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

    /// The response is invalid, or the connection ended before it was complete: `outcome`, if the request was
    /// written to its last byte. A backend executes nothing before that.
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

    /// No byte was written on it: an attempt that was about to be sent on it starts again.
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
        match state {
            AttemptState::Writing(_) => self.start_attempt(now, id, number, actions),
            _ => self.end_attempt(now, id, number, Outcome::NotSent, actions),
        }
    }

    /// A connection is closed, as the engine asked; `written`: the last byte of its request had been written.
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

    /// Keeps a connection as idle if its backend is ready and still listens there; else closes it. `used`: a
    /// response came on it.
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

    /// An attempt that was dispatched at `dispatched_at` was cancelled without a response. If the backend has sent
    /// nothing since, it may be cut off and its idle connections dead without a sign: a request written to one of
    /// them may have been executed for all that is known, while a new connection that does not come up proves that
    /// it was not.
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
