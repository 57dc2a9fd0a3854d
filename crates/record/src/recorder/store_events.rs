//! The results of writes, as reported by the store.

use super::attempts::answer_intent;
use super::Recorder;
use crate::event::{Action, KeyDecision, ResolveResult, Ticket};
use crate::pending_writes::OnCommit;
use crate::request::{AttemptId, AttemptState, UnsettledKey};
use crate::row::{ClaimRejection, KeyId, KeyState};
use shaletide_types::Time;

impl Recorder {
    pub(super) fn committed(&mut self, now: Time, ticket: Ticket, seq: u64, actions: &mut Vec<Action>) {
        match self.pending_writes.complete(ticket) {
            Some(OnCommit::IntentPersisted(id)) => self.intent_persisted(now, id, actions),
            Some(OnCommit::KeyFree(key)) => self.mark_free(&key),
            Some(OnCommit::KeyServed(key)) => self.mark_served(now, &key, seq),
            Some(OnCommit::Resolved { key, ran, reply }) => {
                if ran {
                    self.mark_served(now, &key, seq);
                } else {
                    self.unsettled_keys.remove(&key);
                }
                actions.push(Action::Reply { reply, result: ResolveResult::Done });
            }
            Some(OnCommit::Droppable | OnCommit::Nothing) | None => {}
        }
        self.record_dropped(now, actions);
    }

    /// Handles a durable intent: the store has the key for the request. An intent that is too late for its attempt is
    /// withdrawn.
    fn intent_persisted(&mut self, now: Time, id: AttemptId, actions: &mut Vec<Action>) {
        if let Some(request) = self.requests.get_mut(&id.request) {
            request.key_claimed = true;
        }
        match self.attempt_state(id) {
            Some(AttemptState::AwaitingIntent(deadline)) => {
                self.intent_deadlines.remove(&(deadline, id));
                self.set_attempt_state(id, AttemptState::IntentPersisted);
                answer_intent(id, true, actions);
            }
            Some(AttemptState::IntentTooLate) => self.record_withdrawn(now, id, actions),
            _ => {}
        }
    }

    fn mark_free(&mut self, key: &KeyId) {
        if self.unsettled_keys.get(key) == Some(&UnsettledKey::Freeing) {
            self.unsettled_keys.remove(key);
        }
    }

    /// Marks a key as served for the retention period from now on.
    fn mark_served(&mut self, now: Time, key: &KeyId, seq: u64) {
        self.unsettled_keys.remove(key);
        let keep = self.config.keep;
        self.served.add(key, seq, now + keep, keep, self.config.bounds.served);
    }

    /// Handles a row that was rejected because another request has its key. A key in doubt is kept, so that an operator can
    /// resolve it. Any other key is left to the store, because no event reports when it is free again.
    pub(super) fn claim_rejected(
        &mut self, now: Time, ticket: Ticket, why: ClaimRejection, actions: &mut Vec<Action>,
    ) {
        let ClaimRejection::Taken(state) = why;
        match self.pending_writes.complete(ticket) {
            Some(OnCommit::IntentPersisted(id)) => self.key_taken(id, state, actions),
            Some(OnCommit::KeyFree(key)) => self.mark_free(&key),
            _ => {}
        }
        self.record_dropped(now, actions);
    }

    fn key_taken(&mut self, id: AttemptId, state: KeyState, actions: &mut Vec<Action>) {
        let before = self.attempt_state(id);
        self.set_attempt_state(id, AttemptState::NotExecuted);
        let Some(request) = self.requests.get_mut(&id.request) else { return };
        if let Some(key) = request.key.clone().filter(|_| request.owns_key) {
            match state {
                KeyState::InDoubt => {
                    self.unsettled_keys.insert(key, UnsettledKey::InDoubt { resolving: false });
                }
                KeyState::InFlight | KeyState::Served => {
                    self.unsettled_keys.remove(&key);
                }
            }
            request.owns_key = false;
        }
        // The request is rejected even if the attempt was withdrawn meanwhile: a further attempt would set the state of a
        // key that another request has.
        self.reject_request(id.request, KeyDecision::Conflict(state.into()), actions);
        if let Some(AttemptState::AwaitingIntent(deadline)) = before {
            self.intent_deadlines.remove(&(deadline, id));
            answer_intent(id, false, actions);
        }
        self.forget_if_done(id.request);
    }

    /// Handles a write that failed or whose outcome is unknown. An intent may be on record all the same: it is withdrawn, and
    /// its key stays taken until the withdrawal is durable. Any other write is sent again when the store is back.
    pub(super) fn write_failed(&mut self, now: Time, ticket: Ticket, actions: &mut Vec<Action>) {
        if !self.pending_writes.is_store_down() {
            self.pending_writes.set_store_down(now + self.config.retry_after);
        }
        let Some(id) = self.pending_writes.fail(ticket) else { return };
        let was_claimed = self.assume_key_claimed(id);
        let decision = KeyDecision::Reject(self.retry_after(now));
        if let Some(AttemptState::AwaitingIntent(deadline)) = self.attempt_state(id) {
            self.intent_deadlines.remove(&(deadline, id));
            self.set_attempt_state(id, AttemptState::IntentTooLate);
            self.deny_attempt(id, decision, actions);
        } else if !was_claimed {
            // It is not known whether the store has the key for this request, so no further attempt may rely on that.
            self.reject_request(id.request, decision, actions);
        }
        self.record_withdrawn(now, id, actions);
    }

    /// Records that the store may have the request's key, and returns whether that was recorded before.
    fn assume_key_claimed(&mut self, id: AttemptId) -> bool {
        let Some(request) = self.requests.get_mut(&id.request) else { return false };
        std::mem::replace(&mut request.key_claimed, true)
    }
}
