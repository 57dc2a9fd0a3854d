//! Requests that require intents, from their first attempt to their end.

use super::Recorder;
use crate::event::{Action, KeyDecision, RequestEnding};
use crate::fact::{BackendSnapshot, Fact, RowSubject};
use crate::pending_writes::OnCommit;
use crate::request::{AttemptId, AttemptState, IntentRequest, KeyFate};
use crate::row::{Claim, KeyState};
use shaletide_types::{AttemptNumber, Outcome, RequestId, Time};

impl Recorder {
    pub(super) fn intent_requested(
        &mut self, now: Time, id: AttemptId, seen: BackendSnapshot, actions: &mut Vec<Action>,
    ) {
        if !self.may_request_intent(now, id) {
            return answer_intent(id, false, actions);
        }
        if self.cannot_take_intent(now) {
            return self.deny_attempt(id, KeyDecision::Reject(self.retry_after(now)), actions);
        }
        let latest = now + self.config.intent_timeout;
        let Some(request) = self.requests.get_mut(&id.request) else { return };
        let deadline = request.deadline.min(latest);
        let claim = request.claim_of_intent();
        let key = request.key.clone();
        request.attempts.insert(id.attempt, AttemptState::AwaitingIntent(deadline));
        self.intent_deadlines.insert((deadline, id));
        let about = RowSubject { request: Some(id.request.0), key, backend: Some(seen.backend.clone()) };
        let fact = Fact::Intent { attempt: id.attempt.0, seen };
        self.write(now, fact, about, claim, OnCommit::IntentPersisted(id), actions);
    }

    /// Returns whether a request may have another attempt: it continues, and the store has its key for it or no claim of the
    /// key is pending. The key's state is unknown while the store may still reject an intent.
    fn may_request_intent(&self, now: Time, id: AttemptId) -> bool {
        self.requests.get(&id.request).is_some_and(|request| {
            !request.ended
                && request.rejected_with.is_none()
                && now < request.deadline
                && !request.attempts.contains_key(&id.attempt)
                && (request.key_claimed || !request.awaits_intent())
        })
    }

    /// Returns whether the store is down or stalled, or too many attempts wait for their intents.
    fn cannot_take_intent(&self, now: Time) -> bool {
        self.pending_writes.is_store_down()
            || self.pending_writes.is_stalled(now, self.config.intent_timeout)
            || self.intent_deadlines.len() >= self.config.bounds.awaiting_intent
    }

    /// Denies an attempt. If no attempt of its request may have been executed, the request ends at once.
    pub(super) fn deny_attempt(&mut self, id: AttemptId, decision: KeyDecision, actions: &mut Vec<Action>) {
        // The decision comes first: the engine would answer the request without it once its only attempt has ended.
        self.reject_request(id.request, decision, actions);
        answer_intent(id, false, actions);
    }

    /// Rejects a request if none of its attempts may have been executed. No further attempt of it is sent then.
    pub(super) fn reject_request(
        &mut self, request: RequestId, decision: KeyDecision, actions: &mut Vec<Action>,
    ) {
        let Some(open) = self.requests.get_mut(&request) else { return };
        if !open.ended && open.rejected_with.is_none() && !open.may_have_executed() {
            open.rejected_with = Some(decision);
            actions.push(Action::EndRequest { request, decision });
        }
    }

    /// Denies the attempts whose intents were not durable in time.
    pub(super) fn expire_intent_waits(&mut self, now: Time, actions: &mut Vec<Action>) {
        while let Some(&(deadline, id)) = self.intent_deadlines.first().filter(|(at, _)| *at <= now) {
            self.intent_deadlines.remove(&(deadline, id));
            self.set_attempt_state(id, AttemptState::IntentTooLate);
            self.deny_attempt(id, KeyDecision::Reject(self.retry_after(now)), actions);
        }
    }

    pub(super) fn set_attempt_state(&mut self, id: AttemptId, state: AttemptState) {
        if let Some(request) = self.requests.get_mut(&id.request) {
            request.attempts.insert(id.attempt, state);
        }
    }

    pub(super) fn attempt_state(&self, id: AttemptId) -> Option<AttemptState> {
        self.requests.get(&id.request)?.attempts.get(&id.attempt).copied()
    }

    pub(super) fn intent_withdrawn(&mut self, now: Time, id: AttemptId, actions: &mut Vec<Action>) {
        match self.attempt_state(id) {
            // It is not known whether the intent takes the key. The row that frees the key waits for that, or it could
            // free a key that another request has taken.
            Some(AttemptState::AwaitingIntent(deadline)) => {
                self.intent_deadlines.remove(&(deadline, id));
                self.set_attempt_state(id, AttemptState::IntentTooLate);
            }
            Some(AttemptState::IntentPersisted) => self.record_withdrawn(now, id, actions),
            _ => {}
        }
    }

    /// Records that an attempt was not sent, whose intent is on record or may be.
    pub(super) fn record_withdrawn(&mut self, now: Time, id: AttemptId, actions: &mut Vec<Action>) {
        self.set_attempt_state(id, AttemptState::NotExecuted);
        self.record_end(now, id.request, Fact::Withdrawn { attempt: id.attempt.0 }, actions);
    }

    pub(super) fn attempt_ended(
        &mut self, now: Time, id: AttemptId, outcome: Outcome, actions: &mut Vec<Action>,
    ) {
        let may_have_run = !outcome.not_executed();
        let fact =
            Fact::Outcome { attempt: id.attempt.0, outcome: outcome_word(outcome).into(), may_have_run };
        match self.attempt_state(id) {
            Some(AttemptState::IntentPersisted) => {
                self.set_attempt_state(id, AttemptState::ended(outcome));
                self.record_end(now, id.request, fact, actions);
            }
            Some(AttemptState::AwaitingIntent(_)) => self.intent_withdrawn(now, id, actions),
            Some(_) => {}
            None => self.recorded_attempt_ended(now, id, fact, actions),
        }
    }

    pub(super) fn request_ended(
        &mut self, now: Time, request: RequestId, ending: RequestEnding, actions: &mut Vec<Action>,
    ) {
        let attempt = match ending {
            RequestEnding::Served(number) => Some(number.0),
            _ => None,
        };
        let fact = Fact::Answer { ending: ending_word(ending).into(), attempt };
        let Some(open) = self.requests.get_mut(&request).filter(|request| !request.ended) else {
            return self.recorded_request_ended(now, request, fact, actions);
        };
        open.ended = true;
        let awaits_intent = |state: &AttemptState| matches!(state, AttemptState::AwaitingIntent(_));
        let waiting = open.attempts.iter().filter(|(_, state)| awaits_intent(state));
        let waiting: Vec<AttemptNumber> = waiting.map(|(number, _)| *number).collect();
        for attempt in waiting {
            self.intent_withdrawn(now, AttemptId { request, attempt }, actions);
        }
        self.record_end(now, request, fact, actions);
    }

    /// Records the end of an attempt or a request, together with the change to the key's state.
    fn record_end(&mut self, now: Time, request: RequestId, fact: Fact, actions: &mut Vec<Action>) {
        let Some(ended) = self.requests.get_mut(&request) else { return };
        let claim = ended.claim();
        let about = RowSubject { request: Some(request.0), key: ended.key.clone(), backend: None };
        let on_commit = match &claim {
            Claim::FreeOwn(key) => OnCommit::KeyFree(key.clone()),
            Claim::Set(key, KeyState::Served) => OnCommit::KeyServed(key.clone()),
            _ => OnCommit::Nothing,
        };
        self.release_key(request);
        self.write(now, fact, about, claim, on_commit, actions);
        self.forget_if_done(request);
    }

    /// Keeps or frees a request's key once its state no longer depends on the request.
    fn release_key(&mut self, request: RequestId) {
        let Some(request) = self.requests.get_mut(&request).filter(|request| request.owns_key) else {
            return;
        };
        let Some(key) = request.key.clone() else { return };
        match request.key_fate() {
            KeyFate::Open => return,
            KeyFate::Kept(unsettled) => {
                self.unsettled_keys.insert(key, unsettled);
            }
            KeyFate::Free => {
                self.unsettled_keys.remove(&key);
            }
        }
        request.owns_key = false;
    }

    /// Removes a request of which no further event is expected.
    pub(super) fn forget_if_done(&mut self, request: RequestId) {
        if self.requests.get(&request).is_some_and(IntentRequest::is_done) {
            self.requests.remove(&request);
        }
    }
}

/// Tells the engine whether an attempt may be sent.
pub(super) fn answer_intent(id: AttemptId, persisted: bool, actions: &mut Vec<Action>) {
    actions.push(Action::IntentPersisted { request: id.request, attempt: id.attempt, persisted });
}

/// Returns the stored word for an outcome.
fn outcome_word(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "served",
        Outcome::Error => "error",
        Outcome::Rejected => "full",
        Outcome::TimedOut => "timed_out",
        Outcome::ConnectFailed => "connect_failed",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::NotSent => "never_sent",
    }
}

/// Returns the stored word for a request's ending.
fn ending_word(ending: RequestEnding) -> &'static str {
    match ending {
        RequestEnding::Served(_) => "served",
        RequestEnding::Rejected => "refused",
        RequestEnding::Failed => "failed",
        RequestEnding::TimedOut => "timed_out",
        RequestEnding::ClientDisconnected => "left",
    }
}
