//! The lifecycle of an attempt: dispatched, waiting for its intent or connection, sent, cancelled, ended.

use super::Engine;
use crate::attempt_rules;
use crate::event::{Action, FinalOutcome};
use crate::mutant::mutant;
use crate::policy::Policy;
use crate::request::{Attempt, AttemptState, RequestState};
use shaletide_balancer::AttemptEnd;
use shaletide_routing::pools;
use shaletide_types::*;

/// The maximum number of attempts of a request, whatever the policy asks for.
const MAX_ATTEMPTS: usize = 64;

impl<P: Policy> Engine<P> {
    /// Starts an attempt that the policy asks for, or declines it: a declined attempt ends at once as not sent.
    pub(super) fn dispatch_attempt(
        &mut self, now: Time, id: RequestId, number: AttemptNumber, backend: BackendId,
        start_by: Option<Time>, actions: &mut Vec<Action>,
    ) {
        let known = self.backends.get(backend);
        let is_ready = known.is_some_and(|known| known.state == BackendState::Ready);
        let placement = known.map_or(DeduplicationPlacement::default(), |known| known.placement);
        let is_answered = !self.requests.is_open(id);
        let request = self.requests.get_mut(id).filter(|request| {
            request.attempts.len() < MAX_ATTEMPTS && request.attempts.len() == number.0 as usize
        });
        let Some(request) = request else {
            // Every dispatched attempt is reported as ended exactly once, also if its request or number is invalid.
            self.report_attempt_end(id, number, Outcome::NotSent, Micros(0), is_answered);
            return;
        };
        let is_allowed = is_ready && attempt_rules::may_dispatch(now, request, placement, None, self.mutant);
        let intent_requested = request.requires_intent && is_allowed;
        let state = if is_allowed { AttemptState::NotStarted } else { AttemptState::Ended(Outcome::NotSent) };
        request.attempts.push(Attempt {
            backend,
            placement,
            dispatched_at: now,
            ended_at: now,
            start_by,
            intent_requested,
            state,
        });
        self.requests.update_delivery_deadline(id, self.mutant);
        if !is_allowed {
            self.report_attempt_end(id, number, Outcome::NotSent, Micros(0), is_answered);
        } else if intent_requested {
            actions.push(Action::PersistIntent { request: id, attempt: number });
        } else {
            self.start_attempt(now, id, number, actions);
        }
    }

    pub(super) fn on_intent_persisted(
        &mut self, now: Time, id: RequestId, number: AttemptNumber, persisted: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.requests.attempt_mut(id, number) else { return };
        if attempt.state != AttemptState::NotStarted {
            return; // the intent was withdrawn
        }
        if persisted {
            self.start_attempt(now, id, number, actions);
        } else {
            attempt.intent_requested = false; // a failed intent is not withdrawn
            self.end_attempt(now, id, number, Outcome::NotSent, actions);
        }
    }

    /// Sends an attempt on a usable connection, or opens one for it. One that may repeat the execution of a keyed request is
    /// always sent on a new connection: its handshake shows that the path to the backend carries bytes, which an idle
    /// connection does not.
    pub(super) fn start_attempt(
        &mut self, now: Time, id: RequestId, number: AttemptNumber, actions: &mut Vec<Action>,
    ) {
        if !self.may_start(now, id, number) {
            return self.end_attempt(now, id, number, Outcome::NotSent, actions);
        }
        let Some(backend) = self.requests.attempt(id, number).map(|attempt| attempt.backend) else { return };
        let is_keyed_repeat = self.is_keyed_repeat(id, number);
        let usable = self.connections.usable(now, backend).filter(|_| !is_keyed_repeat);
        if let Some(connection) = usable {
            return self.send_request(now, connection, id, number, actions);
        }
        if self.connections.is_full() {
            match self.connections.oldest_idle() {
                Some(connection) => self.close_connection(connection, actions),
                // The connection limit is the cause, not the backend.
                None => return self.end_attempt(now, id, number, Outcome::NotSent, actions),
            }
        }
        let connection = self.connections.open(backend, id, number);
        if let Some(attempt) = self.requests.attempt_mut(id, number) {
            attempt.state = AttemptState::Connecting(connection);
        }
        let repeat_of = is_keyed_repeat.then_some(id);
        actions.push(Action::Connect { connection, backend, repeat_of });
    }

    /// Whether an attempt may still start. Checked before a connection is selected and again before the first byte.
    pub(super) fn may_start(&self, now: Time, id: RequestId, number: AttemptNumber) -> bool {
        let Some(request) = self.requests.get(id) else { return false };
        let own = number.0 as usize;
        let is_ready = request.attempts.get(own).is_some_and(|attempt| self.is_as_dispatched(attempt));
        attempt_rules::may_start(now, request, own, is_ready, self.mutant)
    }

    fn is_keyed_repeat(&self, id: RequestId, number: AttemptNumber) -> bool {
        let is_repeat = |request| attempt_rules::is_keyed_repeat(request, number.0 as usize);
        self.requests.get(id).is_some_and(is_repeat) && !mutant!(self.mutant, RepeatOnIdleConnection)
    }

    /// Whether the attempt's backend is ready and in the same deduplication scopes as when the attempt was
    /// dispatched. In other scopes the backend would discard the repeats of other keys.
    fn is_as_dispatched(&self, attempt: &Attempt) -> bool {
        self.backends
            .get(attempt.backend)
            .is_some_and(|known| known.state == BackendState::Ready && known.placement == attempt.placement)
    }

    /// Sends an attempt of which no byte has been written yet.
    pub(super) fn send_request(
        &mut self, now: Time, connection: ConnectionId, id: RequestId, number: AttemptNumber,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(id) else { return };
        let deadline = request.deadline;
        let write_deadline = attempt_rules::write_deadline(now, request, number.0 as usize, self.mutant);
        let discard_on_close = matches!(request.idempotency, Idempotency::Keyed(..));
        if let Some(attempt) = self.requests.attempt_mut(id, number) {
            attempt.state = AttemptState::Writing(connection);
        }
        self.requests.update_delivery_deadline(id, self.mutant);
        self.connections.make_busy(connection, id, number);
        let requires_live_path = self.is_keyed_repeat(id, number);
        actions.push(Action::Send {
            connection,
            request: id,
            attempt: number,
            deadline,
            write_deadline,
            requires_live_path,
            discard_on_close,
        });
    }

    pub(super) fn cancel_attempts(
        &mut self, now: Time, id: RequestId, outcome: Outcome, cancellation: bool, actions: &mut Vec<Action>,
    ) {
        let in_flight = self.requests.get(id).map(|request| request.attempts_in_flight()).unwrap_or_default();
        for number in in_flight {
            self.cancel_attempt(now, id, number, outcome, cancellation, actions);
        }
    }

    /// Aborts attempts whose last byte could arrive after the deduplication window of another attempt, even if cancellation
    /// is off: it would be executed a second time.
    pub(super) fn abort_attempts(
        &mut self, now: Time, id: RequestId, attempts: &[AttemptNumber], actions: &mut Vec<Action>,
    ) {
        for number in attempts {
            self.cancel_attempt(now, id, *number, Outcome::TimedOut, true, actions);
        }
    }

    /// Cancels an attempt. An attempt that has started is cancelled only if `cancellation` is set. One that has not
    /// started ends at once; the connection that it waits for continues to open and can serve other attempts.
    pub(super) fn cancel_attempt(
        &mut self, now: Time, id: RequestId, number: AttemptNumber, outcome: Outcome, cancellation: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.requests.attempt_mut(id, number) else { return };
        match attempt.state {
            AttemptState::NotStarted => self.end_attempt(now, id, number, Outcome::NotSent, actions),
            AttemptState::Connecting(connection) => {
                self.connections.detach_attempt(connection);
                self.end_attempt(now, id, number, Outcome::NotSent, actions);
            }
            AttemptState::Writing(connection) | AttemptState::Written(connection) => {
                if !cancellation {
                    return;
                }
                attempt.state = AttemptState::Cancelling(connection, outcome);
                let backend = attempt.backend;
                let dispatched_at = attempt.dispatched_at;
                actions.push(Action::Close { connection });
                self.requests.update_delivery_deadline(id, self.mutant);
                self.close_suspect_connections(backend, dispatched_at, actions);
            }
            AttemptState::Cancelling(..) | AttemptState::Ended(_) => {}
        }
    }

    /// Ends an attempt that received no response.
    pub(super) fn end_attempt(
        &mut self, now: Time, id: RequestId, number: AttemptNumber, outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        self.settle_attempt(now, id, number, outcome, false, actions);
    }

    /// Ends an attempt, with a complete response if `has_response` is set. Notifies the policy, and answers the request
    /// if its answer is now determined.
    pub(super) fn settle_attempt(
        &mut self, now: Time, id: RequestId, number: AttemptNumber, outcome: Outcome, has_response: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let Some(ended) = request.end_attempt(now, number, outcome, has_response) else { return };
        let state = request.state;
        let is_late = now >= request.deadline;
        if ended.withdraw_intent {
            actions.push(Action::WithdrawIntent { request: id, attempt: number });
        }
        if request.recorded {
            actions.push(Action::AttemptEnded { request: id, attempt: number, outcome });
        }
        self.requests.update_delivery_deadline(id, self.mutant);
        let is_served = outcome == Outcome::Ok && self.may_serve(state, is_late);
        let is_answered = is_served || state != RequestState::Open;
        self.report_attempt_end(id, number, outcome, ended.latency, is_answered);
        if is_served {
            self.answer_request(id, FinalOutcome::Served(number), actions);
            if !mutant!(self.mutant, HedgeNotCancelled) {
                self.cancel_attempts(now, id, Outcome::Cancelled, self.cancellation, actions);
            }
        } else if outcome == Outcome::Ok && state == RequestState::Open {
            self.expire_request(now, id, actions); // the response came after the deadline
        }
        self.answer_if_settled(now, id, actions);
        self.requests.remove_if_ended(id, self.mutant);
    }

    /// Whether a request in that state is answered with a successful response.
    fn may_serve(&self, state: RequestState, is_late: bool) -> bool {
        match state {
            RequestState::Open | RequestState::GivenUp(_) => !is_late,
            RequestState::TimedOut => false,
            RequestState::Finished => mutant!(self.mutant, LateSuccess),
        }
    }

    /// `is_answered`: the request was answered before or is answered by this attempt.
    fn report_attempt_end(
        &mut self, request: RequestId, attempt: AttemptNumber, outcome: Outcome, latency: Micros,
        is_answered: bool,
    ) {
        let end = AttemptEnd { request, attempt, outcome, latency, request_answered: is_answered };
        self.policy_events.push_back(pools::Event::AttemptEnded(end));
    }
}
