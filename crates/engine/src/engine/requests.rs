//! The lifecycle of a request: accepted, given up, answered, expired.

use super::Engine;
use crate::event::{Action, FinalOutcome, RequestSpec};
use crate::mutant::mutant;
use crate::policy::Policy;
use crate::request::{Request, RequestState};
use shaletide_routing::pools;
use shaletide_types::*;

const SECOND_US: u64 = 1_000_000;

fn round_up_to_seconds(span: Micros) -> Micros {
    Micros(span.0.div_ceil(SECOND_US) * SECOND_US)
}

impl<P: Policy> Engine<P> {
    pub(super) fn accept_request(&mut self, now: Time, spec: RequestSpec) {
        let id = spec.arrival.request;
        if self.requests.contains(id) {
            return;
        }
        let request = Request {
            idempotency: spec.idempotency,
            deadline: now + spec.arrival.time_left,
            requires_intent: spec.requires_intent,
            recorded: spec.recorded,
            state: RequestState::Open,
            last_response_attempt: None,
            attempts: Vec::new(),
            delivery_deadline: None,
        };
        self.requests.insert(id, request);
        self.policy_events.push_back(pools::Event::Request { arrival: spec.arrival, pools: spec.pools });
    }

    pub(super) fn on_client_disconnected(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(state) = self.requests.get(id).map(|request| request.state) else { return };
        if state == RequestState::Finished || mutant!(self.mutant, AnswerAfterDisconnect) {
            return;
        }
        self.requests.finish(id, self.cancellation, self.mutant);
        if state == RequestState::Open {
            self.policy_events.push_back(pools::Event::ClientDisconnected { request: id });
        }
        // No client waits for these attempts: they are cancelled even if cancellation is off.
        self.cancel_attempts(now, id, Outcome::Cancelled, true, actions);
        self.requests.remove_if_ended(id, self.mutant);
    }

    pub(super) fn on_give_up(
        &mut self, now: Time, id: RequestId, retry_after: Micros, actions: &mut Vec<Action>,
    ) {
        if self.requests.is_open(id) {
            self.policy_events.push_back(pools::Event::ClientDisconnected { request: id });
            self.give_up_request(now, id, retry_after, true, actions);
        }
    }

    /// Gives a request up: no further attempt is made. Whether it is rejected or fails depends on whether its attempts
    /// may have been executed. `policy_rejected`: the policy asked for a rejection; only the mutant
    /// `RejectedAfterExecution` reads this.
    pub(super) fn give_up_request(
        &mut self, now: Time, id: RequestId, retry_after: Micros, policy_rejected: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.open_mut(id) else { return };
        request.state = RequestState::GivenUp(retry_after);
        if request.has_attempt_in_flight() {
            request.last_response_attempt = None; // the last attempt will end without a response
        }
        if policy_rejected && mutant!(self.mutant, RejectedAfterExecution) {
            self.answer_request(id, FinalOutcome::Rejected(retry_after), actions);
            self.cancel_attempts(now, id, Outcome::Cancelled, self.cancellation, actions);
            self.requests.remove_if_ended(id, self.mutant);
            return;
        }
        self.cancel_attempts(now, id, Outcome::Cancelled, self.cancellation, actions);
        self.answer_if_settled(now, id, actions);
    }

    /// Answers a request that was given up or has timed out, once it is known for each attempt whether it may have been
    /// executed.
    pub(super) fn answer_if_settled(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        // With cancellation off, a started attempt continues and may be executed, so there is nothing to wait for.
        let is_unsettled = |attempt: &crate::Attempt| {
            attempt.is_in_flight() && (self.cancellation || !attempt.may_have_executed())
        };
        if request.attempts.iter().any(is_unsettled) {
            return;
        }
        let outcome = match request.state {
            RequestState::GivenUp(retry_after) => {
                // `Retry-After` is rounded up to whole seconds, and the client retries after that time.
                let client_retry_at = now + round_up_to_seconds(retry_after);
                if request.is_rejection_harmless(client_retry_at, self.only_deduplication_domain) {
                    FinalOutcome::Rejected(retry_after)
                } else {
                    FinalOutcome::Failed
                }
            }
            RequestState::TimedOut => FinalOutcome::TimedOut,
            RequestState::Open | RequestState::Finished => return,
        };
        self.answer_request(id, outcome, actions);
        self.requests.remove_if_ended(id, self.mutant);
    }

    pub(super) fn answer_request(&mut self, id: RequestId, outcome: FinalOutcome, actions: &mut Vec<Action>) {
        let last_answered = self.requests.get(id).and_then(|request| request.last_response_attempt);
        let last_attempt = match outcome {
            FinalOutcome::Rejected(_) | FinalOutcome::Failed => last_answered,
            FinalOutcome::Served(_) | FinalOutcome::TimedOut => None,
        };
        self.requests.finish(id, self.cancellation, self.mutant);
        actions.push(Action::Answer { request: id, answer: outcome, last_attempt });
    }

    /// Times a request out at its deadline, together with its attempts.
    pub(super) fn expire_request(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        if !self.requests.contains(id) {
            return;
        }
        self.requests.remove_deadline(id);
        if let Some(request) = self.requests.open_mut(id) {
            request.state = RequestState::TimedOut;
            self.policy_events.push_back(pools::Event::ClientDisconnected { request: id });
        }
        self.cancel_attempts(now, id, Outcome::TimedOut, true, actions);
        // The answer does not wait for the connections to be closed.
        if self.requests.get(id).is_some_and(|request| request.state != RequestState::Finished) {
            self.answer_request(id, FinalOutcome::TimedOut, actions);
        }
        self.requests.remove_if_ended(id, self.mutant);
    }
}
